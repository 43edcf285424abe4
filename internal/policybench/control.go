package policybench

import (
	"time"

	"github.com/redwingnotch/redwingnotch/controller"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/lease"
	"github.com/redwingnotch/redwingnotch/loadbudget"
)

// adaptersAtOnce is the limit of adapter loads in flight of both deployments.
const adaptersAtOnce = 32

// rosterWrite is how long the object API takes to write a roster.
const rosterWrite = 20 * time.Millisecond

// controlled is the real controller core in office for the whole run.
type controlled struct {
	*controller.Core
	world     *world
	authority lease.Authority
}

// newController returns the controller of the deployment's cell.
func newController(w *world) Loader {
	d := w.deployment
	cfg := controller.Config{
		Incarnation: 1,
		Budget: loadbudget.Settings{
			LoadsPerSecond:   d.LoadsPerSecond,
			LoadsInFlight:    d.LoadsAtOnce,
			AdaptersInFlight: adaptersAtOnce,
		},
		ReportInterval: 250 * time.Millisecond,
	}
	c := &controlled{
		Core:  controller.New(cfg, cellID, "n0"),
		world: w,
		authority: lease.Authority{
			Cell:               cellID,
			Epoch:              1,
			Holder:             lease.Holder{Node: "n0", Incarnation: 1},
			InOffice:           true,
			StoreContact:       true,
			PredecessorStopped: true,
			SuccessorsAlive:    true,
		},
	}
	c.SetRelease(w.now, 1, w.models, w.adapters)
	c.SetAuthority(w.now, c.authority)
	return c
}

// Tick runs the core and writes the rosters that it asks for.
func (c *controlled) Tick(now time.Time, demands []fleet.Demand, keep controller.Retention) controller.Effects {
	effects := c.Core.Tick(now, demands, keep)
	if effects.Wanted != nil {
		rosters := effects.Wanted.Rosters
		c.world.after(rosterWrite, func() {
			c.authority.Rosters = rosters
			c.SetAuthority(c.world.now, c.authority)
		})
	}
	return effects
}
