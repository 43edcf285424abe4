package admission_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/redwingnotch/redwingnotch/admission"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/invariant"
)

// machine drives a queue through random orders of events and keeps its own
// books of what must hold.
type machine struct {
	q        *admission.Queue
	now      time.Time
	replicas []fleet.Replica
	waiting  map[string]admission.Request
	granted  map[string]admission.Decision
	down     map[fleet.BackendID]time.Time // held back after a crash
	next     int
}

// decided checks one decision against the books.
func (m *machine) decided(rt *rapid.T, d admission.Decision) {
	if d.Kind == admission.Wait {
		return
	}
	if _, ok := m.waiting[d.RequestID]; !ok {
		rt.Fatalf("%s decided without waiting: %v", d.RequestID, d.Kind)
	}
	delete(m.waiting, d.RequestID)
	if d.Kind == admission.Grant {
		at := slices.IndexFunc(m.replicas, func(r fleet.Replica) bool { return r.ReplicaKey == d.Grant.Replica })
		if at < 0 || m.replicas[at].Draining || m.replicas[at].State != fleet.ReplicaReady {
			rt.Fatalf("%s granted to a replica that takes no work", d.RequestID)
		}
		m.granted[d.RequestID] = d
	}
}

// collect takes over what the queue decided by itself.
func (m *machine) collect(rt *rapid.T) {
	for _, d := range m.q.Decided() {
		m.decided(rt, d)
	}
}

// anyOf draws one key of a map.
func anyOf[V any](rt *rapid.T, in map[string]V) (string, bool) {
	if len(in) == 0 {
		return "", false
	}
	keys := make([]string, 0, len(in))
	for k := range in {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return rapid.SampledFrom(keys).Draw(rt, "id"), true
}

// actions returns the events of the property.
func (m *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"offer": func(rt *rapid.T) {
			m.next++
			r := request(fmt.Sprint("r", m.next), fleet.Rank(rapid.IntRange(0, 2).Draw(rt, "rank")))
			r.Target.Model = rapid.SampledFrom([]fleet.ModelID{"m", "other"}).Draw(rt, "model")
			r.Caller = rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "caller")
			r.Entry = fleet.NodeID(rapid.SampledFrom([]string{"n1", "n2"}).Draw(rt, "entry"))
			m.waiting[r.ID] = r
			m.decided(rt, m.q.Offer(m.now, r))
		},
		"offer again": func(rt *rapid.T) {
			if id, ok := anyOf(rt, m.waiting); ok {
				m.decided(rt, m.q.Offer(m.now, m.waiting[id]))
			}
		},
		"cancel": func(rt *rapid.T) {
			if id, ok := anyOf(rt, m.waiting); ok {
				m.q.Cancel(m.now, id)
			}
		},
		"finish": func(rt *rapid.T) {
			if id, ok := anyOf(rt, m.granted); ok {
				outcome := rapid.SampledFrom([]admission.FinishOutcome{admission.FinishOK, admission.FinishFailed, admission.FinishCrashed}).Draw(rt, "outcome")
				if outcome == admission.FinishCrashed {
					m.down[m.granted[id].Grant.Replica.Backend] = m.now.Add(15 * time.Second)
				}
				finish(m.q, m.now, m.granted[id], outcome)
				finish(m.q, m.now, m.granted[id], outcome) // repeated by a resend
				delete(m.granted, id)
			}
		},
		"entry lost": func(rt *rapid.T) {
			for id, d := range m.granted {
				if d.Entry == "n2" {
					delete(m.granted, id)
				}
			}
			m.q.EntryLost(m.now, "n2", 1)
		},
		"replicas": func(rt *rapid.T) {
			m.replicas = nil
			for n := range rapid.IntRange(0, 3).Draw(rt, "servers") {
				r := replica(n, rapid.SampledFrom([]fleet.ModelID{"m", "other"}).Draw(rt, "model"), rapid.IntRange(1, 3).Draw(rt, "slots"))
				r.Draining = rapid.Bool().Draw(rt, "draining")
				r.State = fleet.ReplicaState(rapid.IntRange(1, 2).Draw(rt, "state"))
				m.replicas = append(m.replicas, r)
			}
			m.q.SetReplicas(m.now, m.replicas, nil)
		},
		"time": func(rt *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 20000).Draw(rt, "ms")) * time.Millisecond)
			for _, d := range m.q.Tick(m.now) {
				m.decided(rt, d)
			}
		},
	}
}

// check is the invariant after each event.
func (m *machine) check(rt *rapid.T) {
	m.collect(rt)
	total := 0
	for _, d := range m.q.Demands(m.now) {
		total += d.Total()
	}
	if total != len(m.waiting) {
		rt.Fatalf("%d requests wait, the queue knows %d", len(m.waiting), total)
	}
	m.checkIdle(rt)
}

// checkIdle asserts that no ready backend server idles while a request that it
// could run waits, but for those that crashed lately.
func (m *machine) checkIdle(rt *rapid.T) {
	busy := make(map[fleet.BackendID]bool)
	for _, d := range m.granted {
		busy[d.Grant.Replica.Backend] = true
	}
	for _, r := range m.replicas {
		if r.State != fleet.ReplicaReady || r.Draining || busy[r.Backend] || m.now.Before(m.down[r.Backend]) {
			continue
		}
		for id, w := range m.waiting {
			if w.Target.Model == r.Model {
				rt.Fatalf("%s waits while %s is idle", id, r.Backend)
			}
		}
	}
}

func TestEveryWaitEndsInOneDecision(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &machine{
			q:       admission.New(admission.DefaultSettings()),
			now:     start,
			waiting: map[string]admission.Request{},
			granted: map[string]admission.Decision{},
			down:    map[fleet.BackendID]time.Time{},
		}
		actions := m.actions()
		actions[""] = m.check
		rt.Repeat(actions)

		// All that still waits ends once time passes.
		m.now = m.now.Add(time.Hour)
		for _, d := range m.q.Tick(m.now) {
			m.decided(rt, d)
		}
		if len(m.waiting) > 0 {
			rt.Fatalf("%d requests never decided", len(m.waiting))
		}
	})
}

// Shape of the overloads below.
const (
	overloadSlots   = 4
	overloadService = 4 * time.Second
	overloadLength  = 5 * time.Minute
)

// overload plays a fixed overload of one rank against one replica and returns
// the answered requests by rank that got a slot within the rank's target.
func overload(s admission.Settings, flooding fleet.Rank) (answered [fleet.RankCount]int) {
	q := admission.New(s)
	q.SetReplicas(start, []fleet.Replica{replica(1, "m", overloadSlots)}, nil)
	ends := map[string]time.Time{}
	arrivals := map[string]admission.Request{}
	note := func(now time.Time, d admission.Decision) {
		if d.Kind == admission.Grant {
			ends[d.Grant.ID] = now.Add(overloadService)
			r := arrivals[d.RequestID]
			if now.Sub(r.Arrival) <= s.Ranks[r.Rank].FirstTokenTarget {
				answered[r.Rank]++
			}
		}
	}
	for ms := 0; ms < int(overloadLength.Milliseconds()); ms += 100 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for id, end := range ends {
			if !end.After(now) {
				delete(ends, id)
				q.Finish(now, admission.Finish{GrantID: id, Outcome: admission.FinishOK, Tokens: 100, FirstToken: 100 * time.Millisecond, Duration: overloadService})
			}
		}
		for rank := range fleet.Rank(fleet.RankCount) {
			every := 6000 // each rank asks for a sixth of the capacity
			if rank == flooding {
				every = 400 // two and a half times the capacity
			}
			if ms%every == 0 {
				r := request(fmt.Sprint(rank, ms), rank)
				r.Arrival = now
				arrivals[r.ID] = r
				note(now, q.Offer(now, r))
			}
		}
		for _, d := range q.Tick(now) {
			note(now, d)
		}
	}
	return answered
}

func TestNeverWorseThanNaiveInOverloads(t *testing.T) {
	ours := admission.DefaultSettings()
	ours.PollTimeout = time.Hour
	naive := ours
	naive.FIFO = true
	for _, flooding := range []fleet.Rank{fleet.RankUrgent, fleet.RankStandard, fleet.RankBulk} {
		got, base := overload(ours, flooding), overload(naive, flooding)
		for rank := range got {
			// What a rank is promised is its floor; above it urgent work goes first.
			promised := base[rank]
			if fleet.Rank(rank) != fleet.RankUrgent {
				promised = min(promised, floorRequests(ours, fleet.Rank(rank)))
			}
			assert.Assert(t, got[rank] >= promised, "flood of %v: %v, naive %v", flooding, got, base)
		}
	}
}

// floorRequests returns the requests that a rank's floor gives it in overload.
// Deficits are served in whole requests, so one may be outstanding.
func floorRequests(s admission.Settings, rank fleet.Rank) int {
	return int(s.Ranks[rank].Floor*overloadSlots*float64(overloadLength/overloadService)) - 1
}

func TestFloorsHoldInUrgentFlood(t *testing.T) {
	s := admission.DefaultSettings()
	s.PollTimeout = time.Hour
	got := overload(s, fleet.RankUrgent)
	// Standard and bulk work each asks for a sixth of the capacity: 50 requests,
	// less than standard work's floor and more than bulk work's.
	assert.Assert(t, got[fleet.RankStandard] == 50, "%v", got)
	assert.Assert(t, got[fleet.RankBulk] >= floorRequests(s, fleet.RankBulk), "%v", got)
}

func TestInvariantFiresOnWorkToLeaving(t *testing.T) {
	defer func() {
		v, ok := recover().(invariant.Violation)
		assert.Assert(t, ok)
		assert.Equal(t, v.Name, invariant.NoWorkToLeaving)
	}()
	q := newQueue(replica(1, "m", 1))
	admission.GrantToDraining(q, start, request("a", fleet.RankUrgent))
}

func TestInvariantFiresOnLostWaiter(t *testing.T) {
	defer func() {
		v, ok := recover().(invariant.Violation)
		assert.Assert(t, ok)
		assert.Equal(t, v.Name, invariant.NoLostWaiter)
	}()
	q := newQueue()
	q.Offer(start, request("a", fleet.RankUrgent))
	admission.LoseWaiter(q, "a")
	q.Tick(start)
}
