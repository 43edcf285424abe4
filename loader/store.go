package loader

import (
	"math"
	"time"
)

// Terms of the weight store.
const (
	atOnceFirst = 3    // loads side by side before anything is learnt
	atOnceMost  = 12   // loads side by side that are ever tried
	slowedFrom  = 1.15 // a load that takes so many times its usual time was slowed by the others
	seenLate    = 200 * time.Millisecond
)

// learnSpeed takes the time that a load from the weight store took. Beyond some
// number of loads side by side each takes longer in proportion; the operators do
// not tell that number.
func (c *Core) learnSpeed(now time.Time, o *sentOrder) {
	m := c.engine.Model(o.order.Model)
	if !o.store || !o.answered || m == nil || m.LoadTime <= 0 {
		return
	}
	ratio := float64(now.Sub(o.begun)-seenLate) / float64(m.LoadTime)
	switch {
	case ratio > slowedFrom:
		c.atOnce = max(1, int(math.Round(float64(o.beside)/ratio)))
	case o.beside >= c.atOnce:
		c.atOnce = min(atOnceMost, c.atOnce+1)
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
