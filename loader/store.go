package loader

import (
	"math"
	"time"
)

// Terms of the weight store.
const (
	atOnceFirst = 3    // loads side by side before anything is learnt
	atOnceMost  = 48   // loads side by side that are ever tried
	slowedFrom  = 1.15 // a load that takes so many times its usual time was slowed by the others
	besideSlack = 0.5  // loads fewer than allowed on the mean, as they do not start at one time
	seenLate    = 200 * time.Millisecond
)

// countBeside adds up, for each load from the weight store in progress, how many
// run side by side. The other cells' loads start and end meanwhile.
func (c *Core) countBeside(now time.Time) {
	n := float64(c.storeLoads())
	for _, s := range c.servers {
		if o := s.order; o != nil && o.store {
			o.beside += n * max(0, now.Sub(o.counted).Seconds())
			o.counted = now
		}
	}
}

// learnSpeed takes the time that a load from the weight store took. Beyond some
// number of loads side by side each takes longer in proportion; the operators do
// not tell that number. It is tried for by doubling until a load is slowed, and
// carefully from then on.
func (c *Core) learnSpeed(now time.Time, o *sentOrder) {
	m := c.engine.Model(o.order.Model)
	took := now.Sub(o.begun)
	if !o.store || !o.answered || m == nil || m.LoadTime <= 0 || took <= 0 {
		return
	}
	beside := o.beside / took.Seconds()
	ratio := float64(took-seenLate) / float64(m.LoadTime)
	switch {
	case ratio > slowedFrom:
		c.atOnce = max(1, int(math.Round(beside/ratio)))
		c.slowed = true
	case beside < float64(c.atOnce)-besideSlack:
	case c.slowed:
		c.atOnce = min(atOnceMost, c.atOnce+1)
	default:
		c.atOnce = min(atOnceMost, max(c.atOnce, int(math.Round(2*beside))))
	}
}

// planStore tells when models that wait for the weight store can be ready, the
// most urgent first.
func (c *Core) planStore(now time.Time, models []string) {
	c.planned = map[string]time.Time{}
	for i, name := range models {
		m := c.engine.Model(name)
		if m == nil {
			continue
		}
		rounds := 1.5 + float64(i/c.atOnce) // half of a load in progress, and those before it
		c.planned[name] = now.Add(time.Duration(rounds*float64(m.LoadTime)) + reportLag)
	}
}

// Planned returns when models that wait for the weight store are expected.
func (c *Core) Planned() map[string]time.Time { return c.planned }
