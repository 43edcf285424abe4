package admission

import (
	"math"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// slotUsage holds the slot time that each rank used recently. It decays
// exponentially, with the window as time constant.
type slotUsage struct {
	byRank    [fleet.RankCount]float64 // slot seconds
	decayedAt time.Time
}

// decay reduces the usage by the time since the last decay.
func (a *slotUsage) decay(now time.Time, window time.Duration) {
	if !now.After(a.decayedAt) {
		return
	}
	if !a.decayedAt.IsZero() {
		factor := math.Exp(-now.Sub(a.decayedAt).Seconds() / window.Seconds())
		for r := range a.byRank {
			a.byRank[r] *= factor
		}
	}
	a.decayedAt = now
}

// charge adds slot time. A negative duration corrects an estimate.
func (a *slotUsage) charge(rank fleet.Rank, d time.Duration) {
	a.byRank[rank] = max(0, a.byRank[rank]+d.Seconds())
}

// deficit returns how many slot seconds the rank is below its floor. It is
// negative above the floor.
func (a *slotUsage) deficit(rank fleet.Rank, floor float64) float64 {
	total := 0.0
	for _, v := range a.byRank {
		total += v
	}
	return floor*total - a.byRank[rank]
}

// callerUsage holds the slot time that each caller of one rank used recently. It
// counts whole nanoseconds, so that sums do not depend on the order of the
// entries.
type callerUsage struct {
	byCaller  map[string]time.Duration
	total     time.Duration
	decayedAt time.Time
}

// fairShareFactor is the multiple of an equal share of slot time above which a
// caller's requests go after those of other callers.
const fairShareFactor = 1.5

// minTrackedSlotTime is the slot time below which a caller's entry is deleted.
const minTrackedSlotTime = 10 * time.Millisecond

// callerDecayInterval is the shortest time between two decays of callerUsage.
const callerDecayInterval = 5 * time.Second

// charge adds slot time of a caller. A negative duration corrects an estimate.
func (a *callerUsage) charge(now time.Time, window time.Duration, caller string, d time.Duration) {
	if a.byCaller == nil {
		a.byCaller = make(map[string]time.Duration)
		a.decayedAt = now
	}
	if elapsed := now.Sub(a.decayedAt); elapsed >= callerDecayInterval {
		a.decay(math.Exp(-elapsed.Seconds() / window.Seconds()))
		a.decayedAt = now
	}
	before := a.byCaller[caller]
	after := max(0, before+d)
	a.byCaller[caller] = after
	a.total += after - before
}

// decay multiplies all entries by the factor and deletes small ones.
func (a *callerUsage) decay(factor float64) {
	a.total = 0
	for caller, v := range a.byCaller {
		v = time.Duration(float64(v) * factor)
		if v < minTrackedSlotTime {
			delete(a.byCaller, caller)
			continue
		}
		a.byCaller[caller] = v
		a.total += v
	}
}

// exceedsFairShare reports whether the caller recently used more than
// fairShareFactor times an equal share of the slot time.
func (a *callerUsage) exceedsFairShare(caller string) bool {
	n := len(a.byCaller)
	if n < 2 {
		return false
	}
	return float64(a.byCaller[caller]) > fairShareFactor*float64(a.total)/float64(n)
}
