package admission

import (
	"math"
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// capacityUnits is the capacity of one backend server. A request on a replica
// with s slots uses capacityUnits/s, so that models on the same backend server
// share its slots. The number is divisible by 1 to 16.
const capacityUnits = 720720

// finishedRetention is how long a finished grant is kept, to interpret load
// reports that were measured before it finished. Older load reports are ignored.
const finishedRetention = 30 * time.Second

// bootKey identifies one boot of a backend server.
type bootKey struct {
	backend fleet.BackendID
	boot    fleet.BootID
}

// backendState is the state of one boot of a backend server.
type backendState struct {
	key         bootKey
	replicas    []*replicaState
	used        [fleet.RankCount]int        // capacity units of running grants, by rank
	external    int                         // capacity units of requests that this queue did not grant
	externalAt  time.Time                   // time at which external was last computed
	finished    []finishedGrant             // grants that finished within finishedRetention
	usage       slotUsage                   // slot time used recently
	downUntil   time.Time                   // gets no requests until then, after a crash
	pausedUntil map[fleet.ModelID]time.Time // by model; the replica gets no requests until then
}

// pause keeps requests from the replica of the model until the given time.
func (b *backendState) pause(m fleet.ModelID, until time.Time) {
	if b.pausedUntil == nil {
		b.pausedUntil = make(map[fleet.ModelID]time.Time)
	}
	b.pausedUntil[m] = until
}

// finishedGrant is a grant that finished recently.
type finishedGrant struct {
	model             fleet.ModelID
	started, finished time.Time
}

// replicaState is a replica and the number of its running grants.
type replicaState struct {
	fleet.Replica
	backend *backendState
	running int // grants of this queue that run on the replica
}

// cost returns the capacity units that one request on the replica uses.
func (r *replicaState) cost() int { return capacityUnits / max(1, r.Slots) }

// isReady reports whether the replica is ready and not draining.
func (r *replicaState) isReady() bool {
	return r.State == fleet.ReplicaReady && !r.Draining
}

// isAvailable reports whether the replica may get a request now: it is ready and
// not paused after a failure.
func (r *replicaState) isAvailable(now time.Time) bool {
	b := r.backend
	return r.isReady() && !now.Before(b.downUntil) && !now.Before(b.pausedUntil[r.Model])
}

// usedUnits returns the capacity units in use.
func (b *backendState) usedUnits() int {
	sum := b.external
	for _, u := range b.used {
		sum += u
	}
	return sum
}

// admits reports whether a request of the rank and cost may start. An idle
// backend server admits any rank. Otherwise the request must fit into the
// capacity, and the rank and lower ones together must stay within their ceiling
// and leave the reserve of higher ranks free. While they use less than their
// floors, one more request is admitted regardless of ceiling and reserve.
func (b *backendState) admits(rank fleet.Rank, cost int, limits *rankLimits) bool {
	usedUnits := b.usedUnits()
	if usedUnits == 0 {
		return true
	}
	if usedUnits+cost > capacityUnits {
		return false
	}
	rankUnits := cost
	for r := rank; r < fleet.RankCount; r++ {
		rankUnits += b.used[r]
	}
	reserved := 0
	for r := fleet.Rank(0); r < rank; r++ {
		reserved += b.reserve(r, cost, limits.usageWindow)
	}
	maxUnits := min(limits.ceilings[rank], capacityUnits-reserved)
	return rankUnits <= maxUnits || rankUnits-cost < limits.floors[rank]
}

// reserveStdDevs determines the slots reserved for a rank: its recent mean use
// plus this many standard deviations, assuming that arrivals follow a Poisson
// process.
const reserveStdDevs = 1.5

// reserve returns the capacity units to keep free of lower ranks, for the
// requests of the rank that are expected from its recent use.
func (b *backendState) reserve(rank fleet.Rank, cost int, window time.Duration) int {
	mean := b.usage.byRank[rank] / window.Seconds()
	return int((mean + reserveStdDevs*math.Sqrt(mean)) * float64(cost))
}

// rankLimits limit the capacity units of one backend server that a rank and
// lower ones may use together.
type rankLimits struct {
	ceilings    [fleet.RankCount]int // largest use by the rank and lower ones
	floors      [fleet.RankCount]int // use by the rank and lower ones below which one more request is admitted
	usageWindow time.Duration        // time constant of slotUsage
}

// newRankLimits computes the limits from the settings.
func newRankLimits(s *Settings) rankLimits {
	limits := rankLimits{usageWindow: s.FloorWindow}
	sum := 0.0
	for r := fleet.RankCount - 1; r >= 0; r-- {
		sum += s.Ranks[r].Floor
		limits.floors[r] = int(sum * capacityUnits)
		limits.ceilings[r] = int(s.Ranks[r].Ceiling * capacityUnits)
		if s.FIFO {
			limits.floors[r] = capacityUnits
		}
	}
	return limits
}

// updateExternal computes from load reports the capacity used by requests that
// this queue did not grant: those granted by a predecessor or sent without a
// grant. The reports lag, so the grants that ran when a report was measured are
// subtracted. The function granted returns how many unfinished grants of a
// replica had started by a time.
func (b *backendState) updateExternal(now time.Time, loads []ReplicaLoad, granted func(fleet.ReplicaKey, time.Time) int) {
	b.finished = slices.DeleteFunc(b.finished, func(f finishedGrant) bool {
		return now.Sub(f.finished) > finishedRetention
	})
	units := 0
	for _, load := range loads {
		own := granted(load.Key, load.MeasuredAt)
		for _, f := range b.finished {
			if f.model == load.Key.Model && !f.started.After(load.MeasuredAt) && f.finished.After(load.MeasuredAt) {
				own++
			}
		}
		for _, r := range b.replicas {
			if r.ReplicaKey == load.Key {
				units += max(0, load.Running+load.Waiting-own) * r.cost()
			}
		}
	}
	b.external = units
	b.externalAt = now
}
