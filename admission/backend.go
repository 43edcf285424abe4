package admission

import (
	"math"
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// capacityUnits is the capacity of one backend server. A request on a replica
// with s slots takes capacityUnits/s, so models that share a backend server
// share its slots. The number divides evenly by 1 to 16.
const capacityUnits = 720720

// finishMemory is how long a finished grant is kept to interpret reports that
// were measured before it finished.
const finishMemory = 30 * time.Second

// bootKey names one run of one backend server.
type bootKey struct {
	backend fleet.BackendID
	boot    fleet.BootID
}

// backendState is what the queue knows of one run of a backend server.
type backendState struct {
	key       bootKey
	replicas  []*replicaState
	used      [fleet.RankCount]int // capacity units granted, by rank
	foreign   int                  // capacity units taken by requests that this queue did not grant
	foreignAt time.Time
	finished  []finishedGrant
	usage     slotAccount
	downUntil time.Time                   // gets no work before, as a crash was reported
	paused    map[fleet.ModelID]time.Time // replicas that get no work before
}

// pause keeps work from a replica until the time given.
func (b *backendState) pause(m fleet.ModelID, until time.Time) {
	if b.paused == nil {
		b.paused = make(map[fleet.ModelID]time.Time)
	}
	b.paused[m] = until
}

// finishedGrant is a grant that ended lately.
type finishedGrant struct {
	model             fleet.ModelID
	started, finished time.Time
}

// replicaState is one replica with its grants.
type replicaState struct {
	fleet.Replica
	backend *backendState
	running int
}

// cost returns the capacity units of one request on the replica.
func (r *replicaState) cost() int { return capacityUnits / max(1, r.Slots) }

// serves reports whether the replica may take new work.
func (r *replicaState) serves() bool {
	return r.State == fleet.ReplicaReady && !r.Draining
}

// takes reports whether the replica may get a request now.
func (r *replicaState) takes(now time.Time) bool {
	b := r.backend
	return r.serves() && !now.Before(b.downUntil) && !now.Before(b.paused[r.Model])
}

// total returns the capacity units in use.
func (b *backendState) total() int {
	sum := b.foreign
	for _, u := range b.used {
		sum += u
	}
	return sum
}

// admits reports whether a request of the rank and cost fits. A backend server
// that runs nothing takes any rank, and one on which the rank and those below
// have less than their floors takes one more.
func (b *backendState) admits(rank fleet.Rank, cost int, limits *rankLimits) bool {
	total := b.total()
	if total == 0 {
		return true
	}
	if total+cost > capacityUnits {
		return false
	}
	lower := cost
	for r := rank; r < fleet.RankCount; r++ {
		lower += b.used[r]
	}
	reserved := 0
	for r := fleet.Rank(0); r < rank; r++ {
		reserved += b.reserve(r, cost, limits.window)
	}
	most := min(limits.ceilings[rank], capacityUnits-reserved)
	return lower <= most || lower-cost < limits.floors[rank]
}

// reserveDeviations is the number of standard deviations above its recent mean
// up to which slots are kept free for a rank, taking arrivals as Poisson.
const reserveDeviations = 1.5

// reserve returns the capacity units to keep from lower ranks for the requests
// of a rank that are to be expected from its recent use.
func (b *backendState) reserve(rank fleet.Rank, cost int, window time.Duration) int {
	mean := b.usage.byRank[rank] / window.Seconds()
	return int((mean + reserveDeviations*math.Sqrt(mean)) * float64(cost))
}

// rankLimits bound what a rank and those below it may fill of one backend
// server, in capacity units.
type rankLimits struct {
	ceilings [fleet.RankCount]int
	floors   [fleet.RankCount]int // of the rank and those below
	window   time.Duration        // of slot accounts
}

// newRankLimits derives the limits from the settings.
func newRankLimits(s *Settings) rankLimits {
	limits := rankLimits{window: s.FloorWindow}
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

// setForeign derives from a lagging report how many requests run that this
// queue did not grant: those of a predecessor or dispatched directly.
func (b *backendState) setForeign(now time.Time, loads []ReplicaLoad, grants func(fleet.ReplicaKey, time.Time) int) {
	b.finished = slices.DeleteFunc(b.finished, func(f finishedGrant) bool {
		return now.Sub(f.finished) > finishMemory
	})
	units := 0
	for _, load := range loads {
		own := grants(load.Key, load.MeasuredAt)
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
	b.foreign = units
	b.foreignAt = now
}
