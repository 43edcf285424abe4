package admission

import (
	"math"
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// pressureMemory is the time constant over which refusals count as demand, so
// that refusing early does not hide from the controller that capacity is
// missing, and a model that is refused for its load time gets loaded.
const pressureMemory = time.Minute

// pressure counts the refusals of one target for lack of time or capacity.
type pressure struct {
	count [fleet.RankCount]float64
	since time.Time // of the first refusal that still counts
	at    time.Time
}

// capacityCodes are the refusals that more capacity would have spared.
var capacityCodes = []RefusalCode{CodeDeadline, CodeExpired, CodeOverloaded}

// noteRefused counts a refusal as demand if capacity was missing.
func (q *Queue) noteRefused(now time.Time, r *Request, code RefusalCode) {
	if q.settings.FIFO || !slices.Contains(capacityCodes, code) {
		return
	}
	m := q.model(r.Target.Model)
	p := m.pressure[r.Target.Adapter]
	if p == nil {
		p = &pressure{since: now, at: now}
		if m.pressure == nil {
			m.pressure = make(map[fleet.AdapterID]*pressure)
		}
		m.pressure[r.Target.Adapter] = p
	}
	p.decay(now)
	p.count[r.Rank]++
}

// decay brings the counts to now and reports whether any is left.
func (p *pressure) decay(now time.Time) bool {
	factor := math.Exp(-now.Sub(p.at).Seconds() / pressureMemory.Seconds())
	p.at = now
	left := false
	for r := range p.count {
		p.count[r] *= factor
		left = left || p.count[r] >= 0.5
	}
	return left
}

// addPressure adds the refusals that still count to the demand rows.
func (m *modelState) addPressure(now time.Time, id fleet.ModelID, rows map[fleet.Target]*fleet.Demand) {
	for adapter, p := range m.pressure {
		if !p.decay(now) {
			delete(m.pressure, adapter)
			continue
		}
		d := demandOf(rows, fleet.Target{Model: id, Adapter: adapter})
		for r, n := range p.count {
			d.Refused[r] = int(math.Round(n))
		}
		if d.OldestArrival.IsZero() || p.since.Before(d.OldestArrival) {
			d.OldestArrival = p.since
		}
	}
}
