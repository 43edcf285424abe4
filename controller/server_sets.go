package controller

import (
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/lease"
	"github.com/redwingnotch/redwingnotch/placement"
)

// maxGenerations is the maximum number of generations of the server set in the
// lease record. The record lists one server set for each generation.
const maxGenerations = 4

// backendSet is a small set of backend servers.
type backendSet []fleet.BackendID

func (s backendSet) contains(id fleet.BackendID) bool { return slices.Contains(s, id) }

// serverSetTable holds the durable server sets, newest first, as last read from
// or written to the lease record, and the same sets prepared for placement, which
// hashes over them. It caches the candidates that placement computes from them for
// each model.
type serverSetTable struct {
	durable       []lease.ServerSet
	desired       []lease.ServerSet // durable sets with the requested changes
	prepared      []placement.ServerSet
	newestByModel map[fleet.ModelID]backendSet // candidates by the newest server set
	allByModel    map[fleet.ModelID]backendSet // candidates by any server set
	changedAt     time.Time                    // when the last change was requested
}

func (t *serverSetTable) update(serverSets []lease.ServerSet) {
	if t.prepared != nil && slices.EqualFunc(t.durable, serverSets, lease.ServerSet.Equal) {
		return
	}
	t.durable = serverSets
	t.desired = serverSets
	t.prepared = make([]placement.ServerSet, len(serverSets))
	for i, s := range serverSets {
		t.prepared[i] = placement.NewServerSet(s.Backends)
	}
	t.newestByModel = map[fleet.ModelID]backendSet{}
	t.allByModel = map[fleet.ModelID]backendSet{}
}

// candidates returns the backend servers on which a model may be placed, most
// preferred first.
func (t *serverSetTable) candidates(m fleet.ModelID, maxReplicas int) backendSet {
	if len(t.durable) == 0 {
		return nil
	}
	set, ok := t.newestByModel[m]
	if !ok {
		set = t.prepared[0].Candidates(m, t.durable[0].Candidates)
		t.newestByModel[m] = set
	}
	return set[:min(len(set), placement.CandidateCount(maxReplicas))]
}

// possibleServers returns the backend servers on which this or an earlier
// controller may have placed a replica of the model.
func (t *serverSetTable) possibleServers(m fleet.ModelID) backendSet {
	if set, ok := t.allByModel[m]; ok || len(t.durable) == 0 {
		return set
	}
	set := t.possibleServersWithout(m, -1)
	t.allByModel[m] = set
	return set
}

// possibleServersWithout returns the possible servers by all server sets but
// the one at index skip; -1 skips none.
func (t *serverSetTable) possibleServersWithout(m fleet.ModelID, skip int) backendSet {
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

// lists reports whether any durable server set contains the backend server.
func (t *serverSetTable) lists(id fleet.BackendID) bool {
	for _, r := range t.durable {
		if slices.Contains(r.Backends, id) {
			return true
		}
	}
	return false
}

// newestListTime returns the time of the VM list from which the newest server
// set was made.
func (t *serverSetTable) newestListTime() time.Time {
	if len(t.durable) == 0 {
		return time.Time{}
	}
	return t.durable[0].AsOf
}

// resetCandidates drops the cached candidates of all models.
func (t *serverSetTable) resetCandidates() {
	clear(t.newestByModel)
	clear(t.allByModel)
}

// updateServerSet requests a new generation when the backend servers or the
// largest replica limit have changed, and the removal of a generation that is
// no longer needed.
func (c *Core) updateServerSet(t *tick) {
	s := &c.serverSets
	written := slices.EqualFunc(s.durable, s.desired, lease.ServerSet.Equal)
	if !written || (len(s.durable) > 0 && t.now.Sub(s.changedAt) < c.cfg.ServerSetInterval) {
		return
	}
	retained := c.neededGenerations()
	nextSet := c.desiredServerSet()
	same := len(retained) > 0 && retained[0].Candidates == nextSet.Candidates && slices.Equal(retained[0].Backends, nextSet.Backends)
	if !same && len(nextSet.Backends) > 0 && len(retained) < maxGenerations {
		retained = append([]lease.ServerSet{nextSet}, retained...)
	}
	if slices.EqualFunc(retained, s.durable, lease.ServerSet.Equal) {
		return
	}
	s.desired = retained
	s.changedAt = t.now
}

func (c *Core) desiredServerSet() lease.ServerSet {
	next := lease.ServerSet{Candidates: placement.MinCandidates, AsOf: c.vmListTime}
	for _, b := range c.sorted {
		if b.isEngine() && !b.draining(c.stopping) {
			next.Backends = append(next.Backends, b.record.ID)
		}
	}
	for _, m := range c.models {
		next.Candidates = max(next.Candidates, placement.CandidateCount(m.MaxReplicas))
	}
	return next
}

// neededGenerations returns the durable server sets, less the oldest one that
// is no longer needed, if any. A set is no longer needed if all its backend
// servers have confirmed the epoch or have been removed, no inherited intent is
// unresolved, and another set contains each replica's backend server among the
// candidates of its model.
func (c *Core) neededGenerations() []lease.ServerSet {
	durable := c.serverSets.durable
	if len(durable) < 2 || len(c.inheritedIntents) > 0 {
		return durable
	}
	for i := len(durable) - 1; i > 0; i-- {
		if c.generationUnused(i) {
			return slices.Delete(slices.Clone(durable), i, i+1)
		}
	}
	return durable
}

func (c *Core) generationUnused(i int) bool {
	for _, id := range c.serverSets.durable[i].Backends {
		b := c.backends[id]
		if b == nil && !c.confirmedRemoved(id) || b != nil && !b.epochRaised {
			return false
		}
	}
	for m, at := range c.placedOn {
		others := c.serverSets.possibleServersWithout(m, i)
		for id := range at {
			if !others.contains(id) {
				return false
			}
		}
	}
	return true
}

// misplaced reports whether a replica's backend server is no candidate by the
// newest server set while the record has no room for a new set.
func (c *Core) misplaced(b *backend, m fleet.Model) bool {
	if len(c.serverSets.durable) < maxGenerations {
		return false
	}
	return !c.serverSets.candidates(m.ID, m.MaxReplicas).contains(b.record.ID)
}
