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

// day is 24 hours.
const day = 24 * time.Hour

// meanTokens is the mean response length in tokens, by rank.
var meanTokens = [fleet.RankCount]int{150, 300, 900}

// Tenths of the models with each usage pattern. The rest have rare bursts, at
// rareBurstsPerDay.
const (
	scheduledTenths = 2 // bursts at fixed times of day
	randomTenths    = 5 // bursts at random times, 0.2 to 6 per day
	workdayTenths   = 1 // single requests every few minutes of a working day
)

// Parameters of a burst. Callers at the same site start together and send further
// requests for a while.
const (
	burstDuration          = 20 * time.Second
	minBurstRequests       = 3
	meanExtraBurstRequests = 8               // mean number of requests beyond minBurstRequests
	meanSessionRequests    = 6               // mean number of requests that follow the burst
	meanSessionGap         = time.Minute     // mean time between requests that follow the burst
	scheduledBurstJitter   = 4 * time.Minute // standard deviation of the start of a scheduled burst
	meanWorkdayGap         = 3 * time.Minute // mean time between requests of a working day
	rareBurstsPerDay       = 0.15            // burst rate of a rarely used model
)

// workload generates arrivals.
type workload struct {
	rng      *rand.Rand
	arrivals []Arrival
}

// modelRank returns the rank of a model's requests.
func modelRank(model int) fleet.Rank {
	switch {
	case model%10 < 4:
		return fleet.RankUrgent
	case model%10 < 8:
		return fleet.RankStandard
	default:
		return fleet.RankBulk
	}
}

// addRequest adds a request with a response of random length.
func (w *workload) addRequest(at time.Duration, model int, rank fleet.Rank, caller int) {
	mean := meanTokens[rank]
	w.arrivals = append(w.arrivals, Arrival{
		Offset: at,
		Model:  model,
		Rank:   rank,
		Caller: fmt.Sprint("caller-", caller),
		Tokens: mean/2 + w.rng.IntN(mean),
	})
}

// exponential returns an exponentially distributed duration with the given mean.
func (w *workload) exponential(mean time.Duration) time.Duration {
	return time.Duration(w.rng.ExpFloat64() * float64(mean))
}

// addBurst adds a burst and the requests that follow it.
func (w *workload) addBurst(at time.Duration, model int) {
	rank := modelRank(model)
	n := minBurstRequests + int(w.rng.ExpFloat64()*meanExtraBurstRequests)
	for range n {
		w.addRequest(at+time.Duration(w.rng.Int64N(int64(burstDuration))), model, rank, w.rng.IntN(20))
	}
	t := at + burstDuration
	for range int(w.rng.ExpFloat64() * meanSessionRequests) {
		t += w.exponential(meanSessionGap)
		w.addRequest(t, model, rank, w.rng.IntN(20))
	}
}

// addRandomBursts adds bursts at random times, as a Poisson process.
func (w *workload) addRandomBursts(model int, perDay float64, length time.Duration) {
	gap := time.Duration(float64(day) / perDay)
	for t := w.exponential(gap); t < length; t += w.exponential(gap) {
		w.addBurst(t, model)
	}
}

// ordinaryTraffic returns traffic of the given length in which each model has a
// random usage pattern.
func ordinaryTraffic(d Deployment, length time.Duration) []Arrival {
	w := &workload{rng: rand.New(rand.NewPCG(d.Seed, 3))}
	for m := range d.Models {
		switch tenth := w.rng.IntN(10); {
		case tenth < scheduledTenths:
			w.addDailyBursts(m, length)
		case tenth < scheduledTenths+randomTenths:
			w.addRandomBursts(m, 0.2+5.8*w.rng.Float64(), length)
		case tenth < scheduledTenths+randomTenths+workdayTenths:
			w.addWorkdayRequests(m, length)
		default:
			w.addRandomBursts(m, rareBurstsPerDay, length)
		}
	}
	return w.sorted()
}

// addDailyBursts adds bursts at one to three fixed times of day, with jitter.
func (w *workload) addDailyBursts(model int, length time.Duration) {
	for range 1 + w.rng.IntN(3) {
		at := time.Duration(w.rng.IntN(48)) * 30 * time.Minute
		for t := at; t < length; t += day {
			jitter := time.Duration(w.rng.NormFloat64() * float64(scheduledBurstJitter))
			w.addBurst(max(0, t+jitter), model)
		}
	}
}

// addWorkdayRequests adds single requests from 06:00 to 18:00 of each day.
func (w *workload) addWorkdayRequests(model int, length time.Duration) {
	for begin := 6 * time.Hour; begin < length; begin += day {
		for t := begin; t < min(length, begin+12*time.Hour); t += w.exponential(meanWorkdayGap) {
			w.addRequest(t, model, modelRank(model), w.rng.IntN(20))
		}
	}
}

// addAtRate adds requests for random models at a mean rate per second.
func (w *workload) addAtRate(from, to time.Duration, perSecond float64, models int, rank fleet.Rank, callers int) {
	gap := time.Duration(float64(time.Second) / perSecond)
	for t := from + w.exponential(gap); t < to; t += w.exponential(gap) {
		w.addRequest(t, w.rng.IntN(models), rank, w.rng.IntN(callers))
	}
}

// sorted returns the arrivals sorted by time.
func (w *workload) sorted() []Arrival {
	slices.SortStableFunc(w.arrivals, func(a, b Arrival) int { return cmp.Compare(a.Offset, b.Offset) })
	return w.arrivals
}

// Times of a flood scenario, in which one rank exceeds capacity.
const (
	floodBegin = 10 * time.Minute // start of the overload
	floodEnd   = 20 * time.Minute // end of the overload and of all traffic
	floodTail  = 5 * time.Minute  // measured time after the traffic
)

// floodLoadFactor is the request rate of the flooding rank, in multiples of
// capacity.
const floodLoadFactor = 3.0

// floodTraffic returns moderate traffic of all ranks on a few models that share
// the servers. During the overload, the flooding rank exceeds capacity.
func floodTraffic(d Deployment, flooding fleet.Rank) []Arrival {
	w := &workload{rng: rand.New(rand.NewPCG(d.Seed, 4))}
	models := max(1, d.Servers/2-1)
	slots := float64(models * slotsPerReplica) // with one replica per model
	rate := func(rank fleet.Rank, share float64) float64 {
		return share * slots / (float64(meanTokens[rank])/streamTokensPerSecond + prefillTime.Seconds())
	}
	ordinaryShare := [fleet.RankCount]float64{0.2, 0.2, 0.2}
	for rank := range fleet.Rank(fleet.RankCount) {
		w.addAtRate(0, floodEnd, rate(rank, ordinaryShare[rank]), models, rank, 20)
	}
	w.addAtRate(floodBegin, floodEnd, rate(flooding, floodLoadFactor), models, flooding, 20)
	return w.sorted()
}

// poisonTraffic returns standard traffic on a few models and a poison request that
// its caller sends 30 times, every two seconds.
func poisonTraffic(d Deployment) []Arrival {
	w := &workload{rng: rand.New(rand.NewPCG(d.Seed, 5))}
	models := max(1, d.Servers/2-1)
	w.addAtRate(0, 20*time.Minute, 0.3*float64(models), models, fleet.RankStandard, 20)
	for i := range 30 {
		at := 5*time.Minute + time.Duration(i)*2*time.Second
		w.arrivals = append(w.arrivals, Arrival{Offset: at, Rank: fleet.RankStandard, Caller: "poison", Tokens: 100, Poison: true})
	}
	return w.sorted()
}

// optimalIdleHours returns the idle hours of the optimal policy, which knows all
// arrivals and keeps a model loaded between two of them if that costs less than a
// cold start.
func optimalIdleHours(arrivals []Arrival, k keepwarm.Settings, from, to time.Duration) float64 {
	type use struct{ until time.Duration }
	lastUse := make(map[int]use)
	total := 0.0
	for _, a := range arrivals {
		previous, seen := lastUse[a.Model]
		idle := a.Offset - previous.until
		if seen && idle > 0 && a.Offset >= from && a.Offset < to {
			if k.IdleHourPrice*idle.Hours() < k.ColdWorth[a.Rank] {
				total += idle.Hours()
			}
		}
		end := a.Offset + prefillTime + time.Duration(float64(a.Tokens)/streamTokensPerSecond*float64(time.Second))
		lastUse[a.Model] = use{until: max(previous.until, end)}
	}
	return total
}
