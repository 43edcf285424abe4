package controller

import (
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/lease"
	"github.com/redwingnotch/redwingnotch/placement"
)

// maxGenerations bounds the rosters kept in the lease record.
const maxGenerations = 4

// backendSet is a small list of backend servers.
type backendSet []fleet.BackendID

func (s backendSet) contains(id fleet.BackendID) bool { return slices.Contains(s, id) }

// rosterTable holds the durable rosters, newest first, and the candidate sets
// drawn from them.
type rosterTable struct {
	durable   []lease.Roster
	wanted    []lease.Roster // durable ones with the changes asked for
	prepared  []placement.Roster
	current   map[fleet.ModelID]backendSet // by the newest roster
	all       map[fleet.ModelID]backendSet // by any
	changedAt time.Time
}

func (t *rosterTable) set(rosters []lease.Roster) {
	if t.prepared != nil && slices.EqualFunc(t.durable, rosters, lease.Roster.Equal) {
		return
	}
	t.durable = rosters
	t.wanted = rosters
	t.prepared = make([]placement.Roster, len(rosters))
	for i, r := range rosters {
		t.prepared[i] = placement.NewRoster(r.Backends)
	}
	t.current = map[fleet.ModelID]backendSet{}
	t.all = map[fleet.ModelID]backendSet{}
}

// candidates returns where a model may be placed, best rank first.
func (t *rosterTable) candidates(m fleet.ModelID, maxReplicas int) backendSet {
	if len(t.durable) == 0 {
		return nil
	}
	set, ok := t.current[m]
	if !ok {
		set = t.prepared[0].Candidates(m, t.durable[0].Candidates)
		t.current[m] = set
	}
	return set[:min(len(set), placement.CandidateCount(maxReplicas))]
}

// holders returns where a replica of the model may have been placed by this or
// an earlier controller.
func (t *rosterTable) holders(m fleet.ModelID) backendSet {
	if set, ok := t.all[m]; ok || len(t.durable) == 0 {
		return set
	}
	set := t.holdersWithout(m, -1)
	t.all[m] = set
	return set
}

// holdersWithout returns the holders that the rosters but one give.
func (t *rosterTable) holdersWithout(m fleet.ModelID, skip int) backendSet {
	var set backendSet
	for i, r := range t.durable {
		if i == skip {
			continue
		}
		for _, id := range t.prepared[i].Candidates(m, r.Candidates) {
			if !set.contains(id) {
				set = append(set, id)
			}
		}
	}
	return set
}

// names reports whether any durable roster has the backend server.
func (t *rosterTable) names(id fleet.BackendID) bool {
	for _, r := range t.durable {
		if slices.Contains(r.Backends, id) {
			return true
		}
	}
	return false
}

// newest returns the time of the VM list behind the newest roster.
func (t *rosterTable) newest() time.Time {
	if len(t.durable) == 0 {
		return time.Time{}
	}
	return t.durable[0].AsOf
}

// forgetModels drops the candidate sets of models that are no longer asked for.
func (t *rosterTable) forgetModels() {
	clear(t.current)
	clear(t.all)
}

// updateRoster asks for a new generation when the backend servers or the
// largest replica limit have changed, and for the removal of generations by
// which nothing can stand any more.
func (c *Core) updateRoster(t *tick) {
	r := &c.rosters
	settled := slices.EqualFunc(r.durable, r.wanted, lease.Roster.Equal)
	if !settled || (len(r.durable) > 0 && t.now.Sub(r.changedAt) < c.cfg.RosterInterval) {
		return
	}
	kept := c.neededGenerations()
	next := c.desiredRoster()
	same := len(kept) > 0 && kept[0].Candidates == next.Candidates && slices.Equal(kept[0].Backends, next.Backends)
	if !same && len(next.Backends) > 0 && len(kept) < maxGenerations {
		kept = append([]lease.Roster{next}, kept...)
	}
	if slices.EqualFunc(kept, r.durable, lease.Roster.Equal) {
		return
	}
	r.wanted = kept
	r.changedAt = t.now
}

func (c *Core) desiredRoster() lease.Roster {
	next := lease.Roster{Candidates: placement.MinCandidates, AsOf: c.listAsOf}
	for _, b := range c.rows {
		if b.isEngine() && !b.draining(c.stopping) {
			next.Backends = append(next.Backends, b.row.ID)
		}
	}
	for _, m := range c.models {
		next.Candidates = max(next.Candidates, placement.CandidateCount(m.MaxReplicas))
	}
	return next
}

// neededGenerations returns the durable rosters without those by which alone
// nothing can stand: all their backend servers have answered or are gone, no
// intent is open, and each replica stands by another roster too.
func (c *Core) neededGenerations() []lease.Roster {
	durable := c.rosters.durable
	if len(durable) < 2 || len(c.inherited) > 0 {
		return durable
	}
	for i := len(durable) - 1; i > 0; i-- {
		if c.generationDone(i) {
			return slices.Delete(slices.Clone(durable), i, i+1)
		}
	}
	return durable
}

func (c *Core) generationDone(i int) bool {
	for _, id := range c.rosters.durable[i].Backends {
		b := c.backends[id]
		if b == nil && !c.gone(id) || b != nil && !b.raised {
			return false
		}
	}
	for m, at := range c.placed {
		others := c.rosters.holdersWithout(m, i)
		for id := range at {
			if !others.contains(id) {
				return false
			}
		}
	}
	return true
}

// misplaced reports whether a replica stands by an old roster only and the
// record has no room for a new one.
func (c *Core) misplaced(b *backend, m fleet.Model) bool {
	if len(c.rosters.durable) < maxGenerations {
		return false
	}
	return !c.rosters.candidates(m.ID, m.MaxReplicas).contains(b.row.ID)
}
