package policybench

import (
	"time"

	"github.com/redwingnotch/redwingnotch/controller"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/lease"
	"github.com/redwingnotch/redwingnotch/loadbudget"
)

// adapterLoadsInFlight limits concurrent adapter loads in both deployments.
const adapterLoadsInFlight = 32

// serverSetWriteTime is the time of an object API write that stores server sets.
const serverSetWriteTime = 20 * time.Millisecond

// controllerLoader is a Loader that runs the real controller core, which stays
// active for the whole run.
type controllerLoader struct {
	*controller.Core
	simulation *simulation
	authority  lease.Authority
}

// newControllerLoader returns a loader whose controller is active in the
// deployment's cell.
func newControllerLoader(sim *simulation) Loader {
	d := sim.deployment
	cfg := controller.Config{
		Incarnation: 1,
		Budget: loadbudget.Settings{
			LoadsPerSecond:   d.LoadsPerSecond,
			LoadsInFlight:    d.MaxLoadsInFlight,
			AdaptersInFlight: adapterLoadsInFlight,
		},
		ReportInterval: 250 * time.Millisecond,
	}
	loader := &controllerLoader{
		Core:       controller.New(cfg, cellID, "n0"),
		simulation: sim,
		authority: lease.Authority{
			Cell:                cellID,
			Epoch:               1,
			Holder:              lease.Holder{Node: "n0", Incarnation: 1},
			Active:              true,
			StoreContact:        true,
			PredecessorsStopped: true,
			SuccessorsAlive:     true,
		},
	}
	loader.SetRelease(sim.now, 1, sim.models, sim.adapters)
	loader.SetAuthority(sim.now, loader.authority)
	return loader
}

// Tick runs the core and stores the server sets that it requests.
func (c *controllerLoader) Tick(now time.Time, demands []fleet.Demand, keep controller.Retention) controller.Effects {
	effects := c.Core.Tick(now, demands, keep)
	if effects.DesiredRecord != nil {
		serverSets := effects.DesiredRecord.ServerSets
		c.simulation.after(serverSetWriteTime, func() {
			c.authority.ServerSets = serverSets
			c.SetAuthority(c.simulation.now, c.authority)
		})
	}
	return effects
}
