package loader

import (
	"math"
	"time"
)

// Limits of concurrent loads from the weight store.
const (
	initialStoreConcurrency = 3                      // concurrent loads before any load time is known
	maxStoreConcurrency     = 12                     // most concurrent loads ever tried
	slowLoadRatio           = 1.15                   // a load that takes this many times its usual time was slowed down by concurrent ones
	completionLag           = 200 * time.Millisecond // usual delay from the end of a load until a report shows it; subtracted from the measured duration of the load
)

// learnStoreConcurrency adjusts storeConcurrency by the duration of a load from the
// weight store. When more loads run concurrently than the store serves at full
// speed, each takes proportionally longer. Operators do not configure that number,
// so it is learned.
func (c *Core) learnStoreConcurrency(now time.Time, o *sentOrder) {
	m := c.models[o.order.Model]
	if !o.usesStore || !o.accepted || m == nil || m.LoadTime <= 0 {
		return
	}
	ratio := float64(now.Sub(o.sentAt)-completionLag) / float64(m.LoadTime)
	switch {
	case ratio > slowLoadRatio:
		c.storeConcurrency = max(1, int(math.Round(float64(o.concurrentLoads)/ratio)))
	case o.concurrentLoads >= c.storeConcurrency:
		c.storeConcurrency = min(maxStoreConcurrency, c.storeConcurrency+1)
	}
}

// estimateReady estimates when the models that wait for the weight store will be
// loaded. The models are ordered from most to least urgent.
func (c *Core) estimateReady(now time.Time, models []string) {
	c.expectedReady = map[string]time.Time{}
	for i, name := range models {
		m := c.models[name]
		if m == nil {
			continue
		}
		rounds := 1.5 + float64(i/c.storeConcurrency) // half of a load in progress, the model's own load, and the loads before it
		c.expectedReady[name] = now.Add(time.Duration(rounds*float64(m.LoadTime)) + reportLag)
	}
}

// ExpectedReady returns when the models that wait for the weight store are expected to be
// loaded, by model.
func (c *Core) ExpectedReady() map[string]time.Time { return c.expectedReady }
