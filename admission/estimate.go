package admission

import (
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// learnWeight is the weight of a new sample in an exponential moving average.
const learnWeight = 0.2

// learntTimes are moving averages for one model. Zero means not learnt.
type learntTimes struct {
	service    [fleet.RankCount]time.Duration // slot time of one request
	tokens     [fleet.RankCount]float64       // of one answer
	firstToken time.Duration                  // from dispatch on a free slot
	answeredAt time.Time                      // of the latest sample of firstToken
	tokenRate  float64                        // tokens a second of one stream
	reportedAt time.Time                      // of the latest load report used
}

// learnDuration moves an average of durations.
func learnDuration(average *time.Duration, sample time.Duration) {
	if *average == 0 {
		*average = sample
		return
	}
	*average += time.Duration(learnWeight * float64(sample-*average))
}

// learnFloat moves an average of numbers.
func learnFloat(average *float64, sample float64) {
	if *average == 0 {
		*average = sample
		return
	}
	*average += learnWeight * (sample - *average)
}

// finish learns from a request that was answered.
func (l *learntTimes) finish(now time.Time, rank fleet.Rank, f Finish) {
	if f.Outcome != FinishOK || f.Duration <= 0 {
		return
	}
	learnDuration(&l.service[rank], f.Duration)
	if f.FirstToken > 0 {
		learnDuration(&l.firstToken, f.FirstToken)
		l.answeredAt = now
	}
	if decoding := f.Duration - f.FirstToken; f.Tokens > 0 && decoding > 0 {
		learnFloat(&l.tokens[rank], float64(f.Tokens))
		learnFloat(&l.tokenRate, float64(f.Tokens)/decoding.Seconds())
	}
}

// staleAfter is the age at which a first-token time is no longer a ground for
// refusal, so that a model that was slow for a while is tried again.
const staleAfter = time.Minute

// firstTokenTime returns the learnt first-token time, or zero if it is stale.
func (l *learntTimes) firstTokenTime(now time.Time) time.Duration {
	if now.Sub(l.answeredAt) > staleAfter {
		return 0
	}
	return l.firstToken
}

// report learns from a lagging report: tokens a second of the whole replica.
func (l *learntTimes) report(load ReplicaLoad) {
	if load.Running > 0 && load.TokensPerSec > 0 {
		learnFloat(&l.tokenRate, load.TokensPerSec/float64(load.Running))
	}
}

// serviceTime estimates the slot time of one request. Zero means unknown. An
// answer whose length is bounded by the caller is not estimated above that.
func (l *learntTimes) serviceTime(rank fleet.Rank, maxTokens int) time.Duration {
	estimate := l.service[rank]
	if maxTokens <= 0 || l.tokenRate <= 0 {
		return estimate
	}
	tokens := float64(maxTokens)
	bound := l.firstToken + time.Duration(tokens/l.tokenRate*float64(time.Second))
	if estimate == 0 || bound < estimate {
		return bound
	}
	return estimate
}

// supply is what a model has and will have to run requests on.
type supply struct {
	readySlots   int
	loadingSlots int
	loadedAt     time.Time // earliest expected end of a load
	reservedOnly bool      // a load is ordered with no expected end
}

// supplyOf sums up a model's replicas.
func supplyOf(m *modelState) supply {
	var s supply
	for _, r := range m.replicas {
		switch {
		case r.Draining || r.State == fleet.ReplicaUnloading:
		case r.State == fleet.ReplicaReady:
			s.readySlots += max(1, r.Slots)
		case r.ReadyAt.IsZero():
			s.reservedOnly = true
		default:
			s.loadingSlots += max(1, r.Slots)
			if s.loadedAt.IsZero() || r.ReadyAt.Before(s.loadedAt) {
				s.loadedAt = r.ReadyAt
			}
		}
	}
	return s
}

// estimate returns the least time until a request gets its first token, from
// what is known: what is unknown counts as nothing, so that no request is
// refused on a guess. It reports false if nothing at all is known.
func (q *Queue) estimate(now time.Time, m *modelState, w *waiter) (time.Duration, bool) {
	s := supplyOf(m)
	if s.readySlots == 0 {
		return q.coldEstimate(now, m, s)
	}
	work, floorWork := q.workAhead(m, w)
	drained := drainTime(now, work, s)
	if floor := q.settings.Ranks[w.Rank].Floor; floor > 0 {
		drained = min(drained, time.Duration(float64(drainTime(now, floorWork, s))/floor))
	}
	drained += m.learnt.firstTokenTime(now)
	if w.overdue || now.Add(drained).After(w.target) {
		n := m.overdue(w.Rank)
		drained = max(drained, m.lateness[w.Rank].wait(now, n, w.Deadline.Sub(w.Arrival)))
	}
	return drained, true
}

// coldEstimate estimates a model that has no ready replica.
func (q *Queue) coldEstimate(now time.Time, m *modelState, s supply) (time.Duration, bool) {
	switch {
	case !s.loadedAt.IsZero():
		return max(0, s.loadedAt.Sub(now)) + m.learnt.firstTokenTime(now), true
	case s.reservedOnly || m.cold == 0:
		return m.learnt.firstTokenTime(now), false
	default:
		return m.cold + m.learnt.firstTokenTime(now), true
	}
}

// workAhead returns the slot time that goes before the waiter: of all ranks in
// order of urgency, and of its own rank only. Those overdue go after those on
// time.
func (q *Queue) workAhead(m *modelState, w *waiter) (all, own time.Duration) {
	for r := fleet.Rank(0); r < w.Rank; r++ {
		all += time.Duration(m.waiting(r)) * m.learnt.service[r]
	}
	n := m.ahead(w)
	if w.overdue {
		for _, t := range m.targets {
			n += t.onTime[w.Rank].len()
		}
	}
	own = time.Duration(n) * m.learnt.service[w.Rank]
	return all + own, own
}

// drainTime returns how long the supply takes to begin a request behind the
// work. Slots that are loading count from when they are expected.
func drainTime(now time.Time, work time.Duration, s supply) time.Duration {
	ready := work / time.Duration(s.readySlots)
	if s.loadingSlots == 0 {
		return ready
	}
	wait := max(0, s.loadedAt.Sub(now))
	if ready <= wait {
		return ready
	}
	left := work - wait*time.Duration(s.readySlots)
	return wait + left/time.Duration(s.readySlots+s.loadingSlots)
}
