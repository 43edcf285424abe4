package policybench

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/keepwarm"
)

// day is the length of a day.
const day = 24 * time.Hour

// Mean lengths of answers in tokens, by rank.
var meanTokens = [fleet.RankCount]int{150, 300, 900}

// Shares of the models by how they are used, in tenths.
const (
	shiftTenths  = 2 // bursts at fixed times of the day
	randomTenths = 5 // bursts at any time, 0.2 to 6 a day
	steadyTenths = 1 // a request every few minutes of a working day; the rest are asked for once in days
)

// Shape of a burst: callers of one shop or hall begin together and go on for a
// while.
const (
	burstSpread   = 20 * time.Second
	burstMin      = 3
	burstMean     = 8
	sessionMean   = 6 // further requests
	sessionGap    = time.Minute
	shiftJitter   = 4 * time.Minute
	steadyGap     = 3 * time.Minute
	dormantPerDay = 0.15
)

// workload makes arrivals.
type workload struct {
	rng      *rand.Rand
	arrivals []Arrival
}

// rankOf returns the rank of a model's bursts.
func rankOf(model int) fleet.Rank {
	switch {
	case model%10 < 4:
		return fleet.RankUrgent
	case model%10 < 8:
		return fleet.RankStandard
	default:
		return fleet.RankBulk
	}
}

// add adds one request with an answer of random length.
func (l *workload) add(at time.Duration, model int, rank fleet.Rank, caller int) {
	mean := meanTokens[rank]
	l.arrivals = append(l.arrivals, Arrival{
		At:     at,
		Model:  model,
		Rank:   rank,
		Caller: fmt.Sprint("caller-", caller),
		Tokens: mean/2 + l.rng.IntN(mean),
	})
}

// exponential returns a duration with the given mean.
func (l *workload) exponential(mean time.Duration) time.Duration {
	return time.Duration(l.rng.ExpFloat64() * float64(mean))
}

// burst adds a burst with its session.
func (l *workload) burst(at time.Duration, model int) {
	rank := rankOf(model)
	n := burstMin + int(l.rng.ExpFloat64()*burstMean)
	for range n {
		l.add(at+time.Duration(l.rng.Int64N(int64(burstSpread))), model, rank, l.rng.IntN(20))
	}
	t := at + burstSpread
	for range int(l.rng.ExpFloat64() * sessionMean) {
		t += l.exponential(sessionGap)
		l.add(t, model, rank, l.rng.IntN(20))
	}
}

// poisson adds bursts at random times.
func (l *workload) poisson(model int, perDay float64, length time.Duration) {
	gap := time.Duration(float64(day) / perDay)
	for t := l.exponential(gap); t < length; t += l.exponential(gap) {
		l.burst(t, model)
	}
}

// ordinary returns days of ordinary use of all models.
func ordinary(d Deployment, length time.Duration) []Arrival {
	l := &workload{rng: rand.New(rand.NewPCG(d.Seed, 3))}
	for m := range d.Models {
		switch tenth := l.rng.IntN(10); {
		case tenth < shiftTenths:
			l.shifts(m, length)
		case tenth < shiftTenths+randomTenths:
			l.poisson(m, 0.2+5.8*l.rng.Float64(), length)
		case tenth < shiftTenths+randomTenths+steadyTenths:
			l.steady(m, length)
		default:
			l.poisson(m, dormantPerDay, length)
		}
	}
	return l.sorted()
}

// shifts adds bursts at one to three fixed times of the day.
func (l *workload) shifts(model int, length time.Duration) {
	for range 1 + l.rng.IntN(3) {
		at := time.Duration(l.rng.IntN(48)) * 30 * time.Minute
		for t := at; t < length; t += day {
			jitter := time.Duration(l.rng.NormFloat64() * float64(shiftJitter))
			l.burst(max(0, t+jitter), model)
		}
	}
}

// steady adds single requests from 06:00 to 18:00.
func (l *workload) steady(model int, length time.Duration) {
	for begin := 6 * time.Hour; begin < length; begin += day {
		for t := begin; t < min(length, begin+12*time.Hour); t += l.exponential(steadyGap) {
			l.add(t, model, rankOf(model), l.rng.IntN(20))
		}
	}
}

// steadyRate adds requests at a rate a second over a span.
func (l *workload) steadyRate(from, to time.Duration, perSecond float64, models int, rank fleet.Rank, callers int) {
	gap := time.Duration(float64(time.Second) / perSecond)
	for t := from + l.exponential(gap); t < to; t += l.exponential(gap) {
		l.add(t, l.rng.IntN(models), rank, l.rng.IntN(callers))
	}
}

// sorted returns the arrivals in order of time.
func (l *workload) sorted() []Arrival {
	slices.SortStableFunc(l.arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return l.arrivals
}

// Lengths of the phases of an overload.
const (
	floodBegin = 10 * time.Minute
	floodEnd   = 20 * time.Minute
	floodTail  = 5 * time.Minute
)

// floodFactor is the rate of the rank that floods, in multiples of capacity.
const floodFactor = 3.0

// flood returns ordinary traffic of all ranks on a few models that share the
// servers, with one rank in excess of capacity for a time.
func flood(d Deployment, flooding fleet.Rank) []Arrival {
	l := &workload{rng: rand.New(rand.NewPCG(d.Seed, 4))}
	models := max(1, d.Servers/2-1)
	slots := float64(models * slotsPerReplica) // with one replica each
	rate := func(rank fleet.Rank, share float64) float64 {
		return share * slots / (float64(meanTokens[rank])/streamRate + firstTokenTime.Seconds())
	}
	ordinaryShare := [fleet.RankCount]float64{0.2, 0.2, 0.2}
	for rank := range fleet.Rank(fleet.RankCount) {
		l.steadyRate(0, floodEnd, rate(rank, ordinaryShare[rank]), models, rank, 20)
	}
	l.steadyRate(floodBegin, floodEnd, rate(flooding, floodFactor), models, flooding, 20)
	return l.sorted()
}

// poison returns ordinary traffic on a few models, with one poison request that
// its caller sends again every two seconds.
func poison(d Deployment) []Arrival {
	l := &workload{rng: rand.New(rand.NewPCG(d.Seed, 5))}
	models := max(1, d.Servers/2-1)
	l.steadyRate(0, 20*time.Minute, 0.3*float64(models), models, fleet.RankStandard, 20)
	for i := range 30 {
		at := 5*time.Minute + time.Duration(i)*2*time.Second
		l.arrivals = append(l.arrivals, Arrival{At: at, Rank: fleet.RankStandard, Caller: "poison", Tokens: 100, Poison: true})
	}
	return l.sorted()
}

// idleBound returns the idle hours of a policy that knows all arrivals: it
// keeps a model over an idle time if that costs less than a cold start.
func idleBound(arrivals []Arrival, k keepwarm.Settings, from, to time.Duration) float64 {
	type use struct{ until time.Duration }
	last := make(map[int]use)
	total := 0.0
	for _, a := range arrivals {
		before, seen := last[a.Model]
		idle := a.At - before.until
		if seen && idle > 0 && a.At >= from && a.At < to {
			if k.IdleHourPrice*idle.Hours() < k.ColdWorth[a.Rank] {
				total += idle.Hours()
			}
		}
		end := a.At + firstTokenTime + time.Duration(float64(a.Tokens)/streamRate*float64(time.Second))
		last[a.Model] = use{until: max(before.until, end)}
	}
	return total
}
