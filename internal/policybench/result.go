package policybench

import (
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/admission"
	"github.com/redwingnotch/redwingnotch/fleet"
)

// RankResult counts the calls of one rank and their outcomes.
type RankResult struct {
	Offered      int
	Answered     int
	WithinTarget int // answered, first token within the rank's target
	LateAnswers  int // answered, first token more than the rank's MaxWait after arrival
	RefusedEarly int // refused more than 1 s before MaxWait had passed since arrival, so that the caller can try elsewhere
	RefusedLate  int // refused in the last second before MaxWait had passed, or later
	Failed       int
	SlotSeconds  float64 // slot time of answered calls
}

// Result holds the measurements of one run.
type Result struct {
	Deployment        string
	Policy            string
	Scenario          string
	Ranks             [fleet.RankCount]RankResult
	ColdFirstTokens   []time.Duration // times to first token of answered cold calls
	ColdBound         []time.Duration // least possible times to first token of the same calls
	IdleHours         float64         // idle time of ready replicas
	OptimalIdleHours  float64         // idle time of the optimal policy
	ColdBursts        int             // number of cold bursts
	Loads             int             // number of loads
	LoadsInColdBursts int             // loads started for cold bursts
	ServersLost       int             // servers crashed by poison requests
	Duplicates        int             // second outcomes or responses of a call
	Lost              int             // calls without an outcome
	FalseNotRun       int             // calls refused or failed after a complete response
	PoisonRefused     int             // calls refused as poison requests

	targets    [fleet.RankCount]time.Duration
	openBursts map[fleet.ModelID]int // loads since the start of a model's current cold burst
}

func newResult(d Deployment, policy string) *Result {
	r := &Result{Deployment: d.Name, Policy: policy, openBursts: make(map[fleet.ModelID]int)}
	for rank, settings := range d.Admission.Ranks {
		r.targets[rank] = settings.FirstTokenTarget
	}
	return r
}

// countOffered counts an arrival.
func (r *Result) countOffered(sim *simulation, c *call) {
	if sim.measuring && !c.arrival.Poison {
		r.Ranks[c.arrival.Rank].Offered++
	}
}

// countColdBurst counts the start of a cold burst: a cold call for a model without
// an open one.
func (r *Result) countColdBurst(sim *simulation, m fleet.ModelID) {
	if !sim.measuring {
		return
	}
	if _, open := r.openBursts[m]; !open {
		r.ColdBursts++
		r.openBursts[m] = 0
	}
}

// countLoad counts a load and attributes it to the model's open cold burst, if any.
func (sim *simulation) countLoad(m fleet.ModelID) {
	if !sim.measuring {
		return
	}
	sim.result.Loads++
	if _, open := sim.result.openBursts[m]; open {
		sim.result.openBursts[m]++
		sim.result.LoadsInColdBursts++
	}
}

// addIdleTime adds the idle time of a replica up to now. It is called before the
// replica gets work or is removed.
func (sim *simulation) addIdleTime(r *replica) {
	if !r.ready || len(r.streams) > 0 || !sim.measuring {
		return
	}
	since := r.idleSince
	if since.Before(sim.measuredFrom) {
		since = sim.measuredFrom
	}
	sim.result.IdleHours += sim.now.Sub(since).Hours()
	r.idleSince = sim.now
}

// addSlotTime adds the slot time of a call to its rank.
func (r *Result) addSlotTime(sim *simulation, c *call) {
	if sim.measuring {
		r.Ranks[c.arrival.Rank].SlotSeconds += sim.now.Sub(c.startedAt).Seconds()
	}
}

// countOutcome counts the outcome of a call.
func (r *Result) countOutcome(sim *simulation, c *call, code admission.RefusalCode) {
	delete(r.openBursts, c.request.Target.Model)
	if c.responses > 1 {
		r.Duplicates++
	}
	if code != "" && c.responses > 0 {
		r.FalseNotRun++
	}
	if c.arrival.Poison {
		if code == admission.CodePoison {
			r.PoisonRefused++
		}
		return
	}
	if !sim.measuring || c.sentAt.Before(sim.measuredFrom) {
		return
	}
	counts := &r.Ranks[c.arrival.Rank]
	waited := sim.now.Sub(c.request.Arrival)
	maxWait := sim.policies.Admission.Ranks[c.arrival.Rank].MaxWait
	switch {
	case code == "":
		r.countAnswered(sim, c, counts, maxWait)
	case code == "failed":
		counts.Failed++
	case waited < maxWait-time.Second:
		counts.RefusedEarly++
	default:
		counts.RefusedLate++
	}
}

// countAnswered counts an answered call.
func (r *Result) countAnswered(sim *simulation, c *call, counts *RankResult, maxWait time.Duration) {
	counts.Answered++
	first := c.firstToken.Sub(c.request.Arrival)
	if first <= r.targets[c.arrival.Rank] {
		counts.WithinTarget++
	}
	if first > maxWait {
		counts.LateAnswers++
	}
	if c.cold {
		r.ColdFirstTokens = append(r.ColdFirstTokens, first)
		r.ColdBound = append(r.ColdBound, c.coldBound)
	}
}

// quantile returns the q-quantile of durations, or zero if there are none.
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
