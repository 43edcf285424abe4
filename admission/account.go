package admission

import (
	"math"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// slotAccount accounts slot time by rank over a sliding window: each entry
// decays with the window as its time constant.
type slotAccount struct {
	byRank [fleet.RankCount]float64 // slot seconds
	at     time.Time
}

// decay brings the account to now.
func (a *slotAccount) decay(now time.Time, window time.Duration) {
	if !now.After(a.at) {
		return
	}
	if !a.at.IsZero() {
		factor := math.Exp(-now.Sub(a.at).Seconds() / window.Seconds())
		for r := range a.byRank {
			a.byRank[r] *= factor
		}
	}
	a.at = now
}

// charge adds slot time, which may be negative to correct an estimate.
func (a *slotAccount) charge(rank fleet.Rank, d time.Duration) {
	a.byRank[rank] = max(0, a.byRank[rank]+d.Seconds())
}

// deficit returns by how many slot seconds the rank is below its floor.
func (a *slotAccount) deficit(rank fleet.Rank, floor float64) float64 {
	total := 0.0
	for _, v := range a.byRank {
		total += v
	}
	return floor*total - a.byRank[rank]
}

// callerAccount accounts slot time by caller for one rank. It counts in whole
// nanoseconds, so that sums do not depend on the order of the entries.
type callerAccount struct {
	bySlotTime map[string]time.Duration
	total      time.Duration
	at         time.Time
}

// fairSlack is the multiple of an equal share that a caller may use before
// others go first.
const fairSlack = 1.5

// forgetBelow is the slot time below which a caller is forgotten.
const forgetBelow = 10 * time.Millisecond

// decayEvery is the interval at which caller accounts decay.
const decayEvery = 5 * time.Second

// charge adds slot time of a caller, which may be negative to correct an
// estimate.
func (a *callerAccount) charge(now time.Time, window time.Duration, caller string, d time.Duration) {
	if a.bySlotTime == nil {
		a.bySlotTime = make(map[string]time.Duration)
		a.at = now
	}
	if elapsed := now.Sub(a.at); elapsed >= decayEvery {
		a.decay(math.Exp(-elapsed.Seconds() / window.Seconds()))
		a.at = now
	}
	before := a.bySlotTime[caller]
	after := max(0, before+d)
	a.bySlotTime[caller] = after
	a.total += after - before
}

// decay scales all entries and forgets small ones.
func (a *callerAccount) decay(factor float64) {
	a.total = 0
	for caller, v := range a.bySlotTime {
		v = time.Duration(float64(v) * factor)
		if v < forgetBelow {
			delete(a.bySlotTime, caller)
			continue
		}
		a.bySlotTime[caller] = v
		a.total += v
	}
}

// overShare reports whether the caller used more than its share lately.
func (a *callerAccount) overShare(caller string) bool {
	n := len(a.bySlotTime)
	if n < 2 {
		return false
	}
	return float64(a.bySlotTime[caller]) > fairSlack*float64(a.total)/float64(n)
}
