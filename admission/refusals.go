package admission

import (
	"math"
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// refusalTimeConstant is the time constant of the exponential decay of refusals
// that count as demand. If they did not count, early refusals would hide missing
// capacity from the controller, and a model whose load takes longer than the
// deadlines would never be loaded.
const refusalTimeConstant = time.Minute

// refusals counts the recent refusals of one target for lack of time or
// capacity.
type refusals struct {
	count     [fleet.RankCount]float64 // decayed number of refusals, by rank
	since     time.Time                // time of the first refusal that still counts
	decayedAt time.Time
}

// capacityCodes are the codes of refusals that more capacity would have avoided.
var capacityCodes = []RefusalCode{CodeDeadline, CodeExpired, CodeOverloaded}

// countRefusal counts a refusal as demand if its code is one of capacityCodes.
func (q *Queue) countRefusal(now time.Time, r *Request, code RefusalCode) {
	if q.settings.FIFO || !slices.Contains(capacityCodes, code) {
		return
	}
	m := q.model(r.Target.Model)
	rs := m.refusals[r.Target.Adapter]
	if rs == nil {
		rs = &refusals{since: now, decayedAt: now}
		if m.refusals == nil {
			m.refusals = make(map[fleet.AdapterID]*refusals)
		}
		m.refusals[r.Target.Adapter] = rs
	}
	rs.decay(now)
	rs.count[r.Rank]++
}

// decay reduces the counts by the time since the last decay and reports whether
// any of them still rounds to at least one.
func (rs *refusals) decay(now time.Time) bool {
	factor := math.Exp(-now.Sub(rs.decayedAt).Seconds() / refusalTimeConstant.Seconds())
	rs.decayedAt = now
	left := false
	for r := range rs.count {
		rs.count[r] *= factor
		left = left || rs.count[r] >= 0.5
	}
	return left
}

// addRefusals adds the refusals that still count to the demand rows and deletes
// the others.
func (m *modelState) addRefusals(now time.Time, id fleet.ModelID, rows map[fleet.Target]*fleet.Demand) {
	for adapter, rs := range m.refusals {
		if !rs.decay(now) {
			delete(m.refusals, adapter)
			continue
		}
		d := demandRow(rows, fleet.Target{Model: id, Adapter: adapter})
		for r, n := range rs.count {
			d.Refused[r] = int(math.Round(n))
		}
		if d.OldestArrival.IsZero() || rs.since.Before(d.OldestArrival) {
			d.OldestArrival = rs.since
		}
	}
}
