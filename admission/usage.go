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
func (u *slotUsage) decay(now time.Time, window time.Duration) {
	if !now.After(u.decayedAt) {
		return
	}
	if !u.decayedAt.IsZero() {
		factor := math.Exp(-now.Sub(u.decayedAt).Seconds() / window.Seconds())
		for r := range u.byRank {
			u.byRank[r] *= factor
		}
	}
	u.decayedAt = now
}

// charge adds slot time. A negative duration corrects an estimate.
func (u *slotUsage) charge(rank fleet.Rank, d time.Duration) {
	u.byRank[rank] = max(0, u.byRank[rank]+d.Seconds())
}

// deficit returns how many slot seconds the rank is below its floor. It is
// negative above the floor.
func (u *slotUsage) deficit(rank fleet.Rank, floor float64) float64 {
	total := 0.0
	for _, v := range u.byRank {
		total += v
	}
	return floor*total - u.byRank[rank]
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
func (u *callerUsage) charge(now time.Time, window time.Duration, caller string, d time.Duration) {
	if u.byCaller == nil {
		u.byCaller = make(map[string]time.Duration)
		u.decayedAt = now
	}
	if elapsed := now.Sub(u.decayedAt); elapsed >= callerDecayInterval {
		u.decay(math.Exp(-elapsed.Seconds() / window.Seconds()))
		u.decayedAt = now
	}
	before := u.byCaller[caller]
	after := max(0, before+d)
	u.byCaller[caller] = after
	u.total += after - before
}

// decay multiplies all entries by the factor and deletes small ones.
func (u *callerUsage) decay(factor float64) {
	u.total = 0
	for caller, v := range u.byCaller {
		v = time.Duration(float64(v) * factor)
		if v < minTrackedSlotTime {
			delete(u.byCaller, caller)
			continue
		}
		u.byCaller[caller] = v
		u.total += v
	}
}

// exceedsFairShare reports whether the caller recently used more than
// fairShareFactor times an equal share of the slot time.
func (u *callerUsage) exceedsFairShare(caller string) bool {
	n := len(u.byCaller)
	if n < 2 {
		return false
	}
	return float64(u.byCaller[caller]) > fairShareFactor*float64(u.total)/float64(n)
}
