package admission

import (
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// ewmaWeight is the weight of a new sample in an exponentially weighted moving
// average.
const ewmaWeight = 0.2

// movingAverages holds moving averages of the requests of one model. Zero means
// that there is no sample yet.
type movingAverages struct {
	slotTime     [fleet.RankCount]time.Duration // slot time of one request, by rank
	tokens       [fleet.RankCount]float64       // tokens of one response, by rank
	firstToken   time.Duration                  // time from dispatch on a free slot to the first token
	firstTokenAt time.Time                      // time of the latest sample of firstToken
	tokenRate    float64                        // tokens per second of one stream
	reportedAt   time.Time                      // measurement time of the latest load report used
}

// updateDuration adds a sample to a moving average of durations.
func updateDuration(average *time.Duration, sample time.Duration) {
	if *average == 0 {
		*average = sample
		return
	}
	*average += time.Duration(ewmaWeight * float64(sample-*average))
}

// updateFloat adds a sample to a moving average of numbers.
func updateFloat(average *float64, sample float64) {
	if *average == 0 {
		*average = sample
		return
	}
	*average += ewmaWeight * (sample - *average)
}

// observeFinish adds the samples of a request that completed.
func (a *movingAverages) observeFinish(now time.Time, rank fleet.Rank, f Finish) {
	if f.Outcome != FinishOK || f.Duration <= 0 {
		return
	}
	updateDuration(&a.slotTime[rank], f.Duration)
	if f.FirstToken > 0 {
		updateDuration(&a.firstToken, f.FirstToken)
		a.firstTokenAt = now
	}
	if decoding := f.Duration - f.FirstToken; f.Tokens > 0 && decoding > 0 {
		updateFloat(&a.tokens[rank], float64(f.Tokens))
		updateFloat(&a.tokenRate, float64(f.Tokens)/decoding.Seconds())
	}
}

// firstTokenMaxAge is the age above which the first-token time is ignored.
// Otherwise a model that was slow for a while would be refused for good, as no
// request would correct the average.
const firstTokenMaxAge = time.Minute

// firstTokenTime returns the average first-token time, or zero if it is too old.
func (a *movingAverages) firstTokenTime(now time.Time) time.Duration {
	if now.Sub(a.firstTokenAt) > firstTokenMaxAge {
		return 0
	}
	return a.firstToken
}

// observeReport adds a sample of the token rate from a load report.
func (a *movingAverages) observeReport(load ReplicaLoad) {
	if load.Running > 0 && load.TokensPerSecond > 0 {
		updateFloat(&a.tokenRate, load.TokensPerSecond/float64(load.Running))
	}
}

// estimateSlotTime estimates the slot time of one request, or returns zero if it
// is unknown. If the caller limits the tokens of the response, the estimate is
// not above the time to generate that many.
func (a *movingAverages) estimateSlotTime(rank fleet.Rank, maxTokens int) time.Duration {
	estimate := a.slotTime[rank]
	if maxTokens <= 0 || a.tokenRate <= 0 {
		return estimate
	}
	tokens := float64(maxTokens)
	bound := a.firstToken + time.Duration(tokens/a.tokenRate*float64(time.Second))
	if estimate == 0 || bound < estimate {
		return bound
	}
	return estimate
}

// slotSupply is the number of slots that a model has and will get from loads in
// progress.
type slotSupply struct {
	readySlots     int       // slots of ready replicas
	loadingSlots   int       // slots of loads with an expected end
	loadEnd        time.Time // earliest expected end of a load
	loadEndUnknown bool      // a load without an expected end is ordered
}

// slotSupplyOf returns the slot supply of a model.
func slotSupplyOf(m *modelState) slotSupply {
	var s slotSupply
	for _, r := range m.replicas {
		switch {
		case r.Draining || r.State == fleet.ReplicaUnloading:
		case r.State == fleet.ReplicaReady:
			s.readySlots += max(1, r.Slots)
		case r.ReadyAt.IsZero():
			s.loadEndUnknown = true
		default:
			s.loadingSlots += max(1, r.Slots)
			if s.loadEnd.IsZero() || r.ReadyAt.Before(s.loadEnd) {
				s.loadEnd = r.ReadyAt
			}
		}
	}
	return s
}

// estimate returns a lower bound of the time until a waiter gets its first
// token, and false if nothing is known. Unknown parts count as zero, so that no
// request is refused because of a guess.
func (q *Queue) estimate(now time.Time, m *modelState, w *waiter) (time.Duration, bool) {
	s := slotSupplyOf(m)
	if s.readySlots == 0 {
		return q.coldEstimate(now, m, s)
	}
	queuedWork, rankWork := q.workAhead(m, w)
	delay := queueDelay(now, queuedWork, s)
	if floor := q.settings.Ranks[w.Rank].Floor; floor > 0 {
		delay = min(delay, time.Duration(float64(queueDelay(now, rankWork, s))/floor))
	}
	delay += m.averages.firstTokenTime(now)
	if w.overdue || now.Add(delay).After(w.targetTime) {
		overdueWaiters := m.overdue(w.Rank)
		delay = max(delay, m.progress[w.Rank].expectedWait(now, overdueWaiters, w.Deadline.Sub(w.Arrival)))
	}
	return delay, true
}

// coldEstimate returns the estimate for a model without a ready replica.
func (q *Queue) coldEstimate(now time.Time, m *modelState, s slotSupply) (time.Duration, bool) {
	switch {
	case !s.loadEnd.IsZero():
		return max(0, s.loadEnd.Sub(now)) + m.averages.firstTokenTime(now), true
	case s.loadEndUnknown || m.coldLoadTime == 0:
		return m.averages.firstTokenTime(now), false
	default:
		return m.coldLoadTime + m.averages.firstTokenTime(now), true
	}
}

// workAhead returns the slot time of the requests that go before the waiter:
// those of its own and more urgent ranks, and those of its own rank only. Within
// a rank, overdue waiters go after those on time.
func (q *Queue) workAhead(m *modelState, w *waiter) (all, own time.Duration) {
	for r := fleet.Rank(0); r < w.Rank; r++ {
		all += time.Duration(m.waiting(r)) * m.averages.slotTime[r]
	}
	n := m.countAhead(w)
	if w.overdue {
		for _, t := range m.targets {
			n += t.onTime[w.Rank].len()
		}
	}
	own = time.Duration(n) * m.averages.slotTime[w.Rank]
	return all + own, own
}

// queueDelay returns how long it takes until a request gets a slot after the
// work queued before it. Loading slots count from the expected end of their
// load.
func queueDelay(now time.Time, work time.Duration, s slotSupply) time.Duration {
	ready := work / time.Duration(s.readySlots)
	if s.loadingSlots == 0 {
		return ready
	}
	wait := max(0, s.loadEnd.Sub(now))
	if ready <= wait {
		return ready
	}
	left := work - wait*time.Duration(s.readySlots)
	return wait + left/time.Duration(s.readySlots+s.loadingSlots)
}
