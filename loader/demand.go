package loader

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of demand and of the worth of copies.
const (
	demandPeriod            = 8 * time.Second // time constant of the long-term request rates
	memoryPeriod            = 2 * time.Minute // time constant of the counts by which models are preloaded
	risePeriod              = 2 * time.Second // time constant of the short-term rates, which show a rise in demand
	fastWeight              = 1.0             // weight of a request whose latency objective is shorter than any load
	slowWeight              = 0.1             // weight of a request that can wait for a load from disk
	unrequestedWorth        = 0.02            // worth of a model without adapters that was not requested yet, in weighted requests per second
	unrequestedAdapterWorth = 0.06            // worth of a model with adapters that was not requested yet, in weighted requests per second
	withdrawnWorth          = -1e-3           // worth of a withdrawn model; negative, so that it is evicted before any other
	surplusWeight           = 0.01            // share of the worth for a copy beyond those needed
	spareWeight             = 0.15            // share of the worth for a copy that is needed only if demand rises
	extraCopyWeight         = 0.5             // share of the worth for a needed copy other than the first
	reloadSeconds           = 1.0             // seconds that unloading the only copy costs each later request
	slotRate                = 0.6             // requests per second that one slot of a copy serves well
	secondCopyRate          = 0.7             // requests per second from which a model needs a second copy
	minCopyRateShare        = 0.25            // least share of slotRate that a copy's learned rate counts as
	surplusFactor           = 1.3             // a copy is surplus only if it is not needed at this multiple of the demand
)

// requestRate holds exponentially decaying request counts of one model, over a long
// and a short period.
type requestRate struct {
	decayedAt   time.Time // time up to which the counts are decayed
	fast, slow  float64   // counts of fast and other requests over demandPeriod
	fastShort   float64   // count of fast requests over risePeriod
	slowShort   float64   // count of other requests over risePeriod
	forAdapters float64   // count of requests for adapters of the model over demandPeriod
	remembered  float64   // count of requests over memoryPeriod
	observed    bool      // whether any request has arrived
}

// decay reduces the counts by the time since they were last decayed.
func (r *requestRate) decay(now time.Time) {
	if age := now.Sub(r.decayedAt); age > 0 && !r.decayedAt.IsZero() {
		long := math.Exp(-float64(age) / float64(demandPeriod))
		short := math.Exp(-float64(age) / float64(risePeriod))
		r.fast *= long
		r.slow *= long
		r.forAdapters *= long
		r.remembered *= math.Exp(-float64(age) / float64(memoryPeriod))
		r.fastShort *= short
		r.slowShort *= short
	}
	r.decayedAt = now
}

// demand holds the request rates by model.
type demand struct{ rates map[string]*requestRate }

func newDemand() demand { return demand{rates: map[string]*requestRate{}} }

// add counts n requests for a model.
func (d demand) add(now time.Time, model string, adapter, fast bool, n int) {
	r := d.rates[model]
	if r == nil {
		r = &requestRate{}
		d.rates[model] = r
	}
	r.decay(now)
	r.observed = true
	r.remembered += float64(n)
	if adapter {
		r.forAdapters += float64(n)
	}
	if fast {
		r.fast += float64(n)
		r.fastShort += float64(n)
	} else {
		r.slow += float64(n)
		r.slowShort += float64(n)
	}
}

// remembered returns how many requests for a model came lately, over memoryPeriod.
func (d demand) remembered(now time.Time, model string) float64 {
	r := d.rates[model]
	if r == nil {
		return 0
	}
	r.decay(now)
	return r.remembered
}

// perSecond returns the fast and the slow requests per second for a model, each over
// the long or the short period, whichever gives more.
func (d demand) perSecond(now time.Time, model string) (fast, slow float64) {
	r := d.rates[model]
	if r == nil {
		return 0, 0
	}
	r.decay(now)
	fast = max(r.fast/demandPeriod.Seconds(), r.fastShort/risePeriod.Seconds())
	slow = max(r.slow/demandPeriod.Seconds(), r.slowShort/risePeriod.Seconds())
	return fast, slow
}

// adapterRate returns the requests per second for adapters of the models that a
// server holds.
func (c *Core) adapterRate(now time.Time, s *server) float64 {
	perSecond := 0.0
	for model := range s.holds {
		if r := c.demand.rates[model]; r != nil {
			r.decay(now)
			perSecond += r.forAdapters / demandPeriod.Seconds()
		}
	}
	return perSecond
}

// total returns the requests per second for a model.
func (d demand) total(now time.Time, model string) float64 {
	fast, slow := d.perSecond(now, model)
	return fast + slow
}

// neededCopies returns how many copies of a model serve its demand multiplied by
// factor.
func (c *Core) neededCopies(now time.Time, model string, factor float64) int {
	all := c.demand.total(now, model) * factor
	n := 1 + int(all/c.copyRate())
	if all >= secondCopyRate {
		n++
	}
	return n
}

// copyRate returns how many requests per second one copy serves well: slotRate for each slot, or
// what the servers were seen to do if that is less. An estimate far below is not followed whole:
// copies that are not needed evict other models.
func (c *Core) copyRate() float64 {
	usual := slotRate * float64(max(1, c.engine.Slots))
	if c.input.CopyRate <= 0 {
		return usual
	}
	return min(usual, max(minCopyRateShare*usual, c.input.CopyRate))
}

// modelWorth returns the worth of holding the only copy of a model, from its
// weighted requests per second. A model that was never requested has a small fixed
// worth, one that was withdrawn none.
func (c *Core) modelWorth(now time.Time, model string) float64 {
	m := c.models[model]
	if m == nil {
		return withdrawnWorth
	}
	fast, slow := c.demand.perSecond(now, model)
	w := fastWeight*fast + slowWeight*slow
	r := c.demand.rates[model]
	if r != nil && r.observed {
		return w * reloadSeconds
	}
	if m.Adapters > 0 {
		return w + unrequestedAdapterWorth
	}
	return w + unrequestedWorth
}

// copyCountAt returns copyCount of the servers that run a version of the software, or of all if it
// is empty.
func (c *Core) copyCountAt(now time.Time, model, software string) int {
	if software == "" {
		return c.copyCount(now, model)
	}
	n := 0
	for _, s := range c.servers {
		if !s.entry.Draining && s.runs(software) && (s.keeps(model) || s.loadPending(model)) {
			n++
		}
	}
	return n
}

// copyHash orders the copies of a model; the copy with the highest hash comes first.
func copyHash(model, server string) uint64 { return xxhash.Sum64String(model + "@" + server) }
