package policybench

import (
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/admission"
	"github.com/redwingnotch/redwingnotch/fleet"
)

// RankResult is what one rank got.
type RankResult struct {
	Offered      int
	Answered     int
	WithinTarget int // first token within the rank's target
	Late         int // answered, first token after the deadline
	RefusedEarly int // before the deadline, so that the caller can turn elsewhere
	RefusedLate  int // at the deadline
	Failed       int
	SlotSeconds  float64
}

// Result is what one run measured.
type Result struct {
	Deployment  string
	Policy      string
	Scenario    string
	Ranks       [fleet.RankCount]RankResult
	Cold        []time.Duration // first token of first requests that found no replica
	ColdBound   []time.Duration // the same with a load from the nearest copy at full speed
	IdleHours   float64         // of loaded replicas
	BoundHours  float64         // idle hours of a policy that knows the arrivals
	Bursts      int             // cold bursts
	Loads       int
	LoadsBurst  int // loads started within the cold bursts
	ServersLost int // to crashes
	Duplicates  int // outcomes given twice, or answers to one call beyond the first
	Lost        int // calls without an outcome
	FalseNotRun int // refused after an answer had been given
	PoisonEnded int // poison calls refused as such

	targets   [fleet.RankCount]time.Duration
	burstLoad map[fleet.ModelID]int // loads since the model's present cold burst began
}

func newResult(d Deployment, policy string) *Result {
	r := &Result{Deployment: d.Name, Policy: policy, burstLoad: make(map[fleet.ModelID]int)}
	for rank, rs := range d.Admission.Ranks {
		r.targets[rank] = rs.FirstTokenTarget
	}
	return r
}

// offered counts an arrival.
func (r *Result) offered(w *world, c *call) {
	if w.measuring && !c.arrival.Poison {
		r.Ranks[c.arrival.Rank].Offered++
	}
}

// coldBurst counts the begin of a cold burst.
func (r *Result) coldBurst(w *world, m fleet.ModelID) {
	if !w.measuring {
		return
	}
	if _, open := r.burstLoad[m]; !open {
		r.Bursts++
		r.burstLoad[m] = 0
	}
}

// loadStarted counts a load and puts it down to a cold burst if one waits.
func (w *world) loadStarted(m fleet.ModelID) {
	if !w.measuring {
		return
	}
	w.result.Loads++
	if _, open := w.result.burstLoad[m]; open {
		w.result.burstLoad[m]++
		w.result.LoadsBurst++
	}
}

// countIdle adds the idle time of a replica that gets work or is unloaded.
func (w *world) countIdle(l *loaded) {
	if !l.ready || len(l.streams) > 0 || !w.measuring {
		return
	}
	since := l.idleSince
	if since.Before(w.measuredFrom) {
		since = w.measuredFrom
	}
	w.result.IdleHours += w.now.Sub(since).Hours()
	l.idleSince = w.now
}

// slotTime counts slot time given to a rank.
func (r *Result) slotTime(w *world, c *call) {
	if w.measuring {
		r.Ranks[c.arrival.Rank].SlotSeconds += w.now.Sub(c.startedAt).Seconds()
	}
}

// ended counts the outcome of a call.
func (r *Result) ended(w *world, c *call, code admission.RefusalCode) {
	delete(r.burstLoad, c.request.Target.Model)
	if c.answers > 1 {
		r.Duplicates++
	}
	if code != "" && c.answers > 0 {
		r.FalseNotRun++
	}
	if c.arrival.Poison {
		if code == admission.CodePoison {
			r.PoisonEnded++
		}
		return
	}
	if !w.measuring || c.sentAt.Before(w.measuredFrom) {
		return
	}
	rank := &r.Ranks[c.arrival.Rank]
	waited := w.now.Sub(c.request.Arrival)
	allowance := w.policies.Admission.Ranks[c.arrival.Rank].MaxWait
	switch {
	case code == "":
		r.answered(w, c, rank, allowance)
	case code == "failed":
		rank.Failed++
	case waited < allowance-time.Second:
		rank.RefusedEarly++
	default:
		rank.RefusedLate++
	}
}

// answered counts an answered call.
func (r *Result) answered(w *world, c *call, rank *RankResult, allowance time.Duration) {
	rank.Answered++
	first := c.firstToken.Sub(c.request.Arrival)
	if first <= r.targets[c.arrival.Rank] {
		rank.WithinTarget++
	}
	if first > allowance {
		rank.Late++
	}
	if c.cold {
		r.Cold = append(r.Cold, first)
		r.ColdBound = append(r.ColdBound, c.bound)
	}
}

// quantile returns a quantile of durations, or zero if there are none.
func quantile(ds []time.Duration, q float64) time.Duration {
	if len(ds) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(ds))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// ratio returns a/b, or zero if b is zero.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
