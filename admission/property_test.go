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

// stateMachine applies random events to a queue and tracks the expected state of
// its requests.
type stateMachine struct {
	q           *admission.Queue
	now         time.Time
	replicas    []fleet.Replica
	waiting     map[string]admission.Request  // by request ID
	granted     map[string]admission.Decision // by request ID
	pausedUntil map[fleet.BackendID]time.Time // after a crash
	lastID      int                           // number of the last request ID
}

// recordDecision checks a decision against the expected state and updates that.
func (m *stateMachine) recordDecision(rt *rapid.T, d admission.Decision) {
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
			rt.Fatalf("%s granted to a replica that is not ready or is draining", d.RequestID)
		}
		m.granted[d.RequestID] = d
	}
}

// recordPending records the decisions that Offer did not return.
func (m *stateMachine) recordPending(rt *rapid.T) {
	for _, d := range m.q.TakeDecisions() {
		m.recordDecision(rt, d)
	}
}

// drawKey draws a key of the map. It returns false if the map is empty.
func drawKey[V any](rt *rapid.T, in map[string]V) (string, bool) {
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

// actions returns the events that rapid draws from.
func (m *stateMachine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"offer": func(rt *rapid.T) {
			m.lastID++
			r := request(fmt.Sprint("r", m.lastID), fleet.Rank(rapid.IntRange(0, 2).Draw(rt, "rank")))
			r.Target.Model = rapid.SampledFrom([]fleet.ModelID{"m", "other"}).Draw(rt, "model")
			r.Caller = rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "caller")
			r.Entry = fleet.NodeID(rapid.SampledFrom([]string{"n1", "n2"}).Draw(rt, "entry"))
			m.waiting[r.ID] = r
			m.recordDecision(rt, m.q.Offer(m.now, r))
		},
		"offer again": func(rt *rapid.T) {
			if id, ok := drawKey(rt, m.waiting); ok {
				m.recordDecision(rt, m.q.Offer(m.now, m.waiting[id]))
			}
		},
		"cancel": func(rt *rapid.T) {
			if id, ok := drawKey(rt, m.waiting); ok {
				m.q.Cancel(m.now, id)
			}
		},
		"finish": func(rt *rapid.T) {
			if id, ok := drawKey(rt, m.granted); ok {
				outcome := rapid.SampledFrom([]admission.FinishOutcome{admission.FinishOK, admission.FinishFailed, admission.FinishCrashed}).Draw(rt, "outcome")
				if outcome == admission.FinishCrashed {
					m.pausedUntil[m.granted[id].Grant.Replica.Backend] = m.now.Add(15 * time.Second)
				}
				finish(m.q, m.now, m.granted[id], outcome)
				finish(m.q, m.now, m.granted[id], outcome) // sent again
				delete(m.granted, id)
			}
		},
		"entry lost": func(rt *rapid.T) {
			for id, d := range m.granted {
				if d.Entry == "n2" {
					delete(m.granted, id)
				}
			}
			m.q.EntryNodeFailed(m.now, "n2", 1)
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
				m.recordDecision(rt, d)
			}
		},
	}
}

// check asserts after each event that exactly the expected requests wait.
func (m *stateMachine) check(rt *rapid.T) {
	m.recordPending(rt)
	total := 0
	for _, d := range m.q.Demands(m.now) {
		total += d.Total()
	}
	if total != len(m.waiting) {
		rt.Fatalf("%d requests wait, the demand contains %d", len(m.waiting), total)
	}
	m.checkIdle(rt)
}

// checkIdle asserts that no request waits while a ready backend server that
// could run it is idle. It ignores backend servers that are paused after a
// crash.
func (m *stateMachine) checkIdle(rt *rapid.T) {
	busy := make(map[fleet.BackendID]bool)
	for _, d := range m.granted {
		busy[d.Grant.Replica.Backend] = true
	}
	for _, r := range m.replicas {
		if r.State != fleet.ReplicaReady || r.Draining || busy[r.Backend] || m.now.Before(m.pausedUntil[r.Backend]) {
			continue
		}
		for id, w := range m.waiting {
			if w.Target.Model == r.Model {
				rt.Fatalf("%s waits while %s is idle", id, r.Backend)
			}
		}
	}
}

func TestEveryWaitEndsWithExactlyOneDecision(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &stateMachine{
			q:           admission.New(admission.DefaultSettings()),
			now:         start,
			waiting:     map[string]admission.Request{},
			granted:     map[string]admission.Decision{},
			pausedUntil: map[fleet.BackendID]time.Time{},
		}
		actions := m.actions()
		actions[""] = m.check
		rt.Repeat(actions)

		// All requests that still wait are past their deadlines an hour later.
		m.now = m.now.Add(time.Hour)
		for _, d := range m.q.Tick(m.now) {
			m.recordDecision(rt, d)
		}
		if len(m.waiting) > 0 {
			rt.Fatalf("%d requests without a decision after their deadlines", len(m.waiting))
		}
	})
}

// Parameters of runOverload.
const (
	overloadSlots    = 4               // slots of the only replica
	overloadSlotTime = 4 * time.Second // slot time of a request
	overloadLength   = 5 * time.Minute // duration of the overload
)

// runOverload simulates one replica that gets two and a half times its capacity
// in requests of the overloading rank and a sixth of its capacity from each
// other rank. It returns by rank how many requests got a slot within the rank's
// target.
func runOverload(s admission.Settings, overloading fleet.Rank) (withinTarget [fleet.RankCount]int) {
	q := admission.New(s)
	q.SetReplicas(start, []fleet.Replica{replica(1, "m", overloadSlots)}, nil)
	ends := map[string]time.Time{}
	arrivals := map[string]admission.Request{}
	record := func(now time.Time, d admission.Decision) {
		if d.Kind == admission.Grant {
			ends[d.Grant.ID] = now.Add(overloadSlotTime)
			r := arrivals[d.RequestID]
			if now.Sub(r.Arrival) <= s.Ranks[r.Rank].FirstTokenTarget {
				withinTarget[r.Rank]++
			}
		}
	}
	for ms := 0; ms < int(overloadLength.Milliseconds()); ms += 100 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for id, end := range ends {
			if !end.After(now) {
				delete(ends, id)
				q.Finish(now, admission.Finish{GrantID: id, Outcome: admission.FinishOK, Tokens: 100, FirstToken: 100 * time.Millisecond, Duration: overloadSlotTime})
			}
		}
		for rank := range fleet.Rank(fleet.RankCount) {
			intervalMs := 6000 // a sixth of the capacity
			if rank == overloading {
				intervalMs = 400 // two and a half times the capacity
			}
			if ms%intervalMs == 0 {
				r := request(fmt.Sprint(rank, ms), rank)
				r.Arrival = now
				arrivals[r.ID] = r
				record(now, q.Offer(now, r))
			}
		}
		for _, d := range q.Tick(now) {
			record(now, d)
		}
	}
	return withinTarget
}

func TestOverloadIsNotWorseThanFIFO(t *testing.T) {
	ranked := admission.DefaultSettings()
	ranked.PollTimeout = time.Hour
	fifo := ranked
	fifo.FIFO = true
	for _, overloading := range []fleet.Rank{fleet.RankUrgent, fleet.RankStandard, fleet.RankBulk} {
		got, baseline := runOverload(ranked, overloading), runOverload(fifo, overloading)
		for rank := range got {
			// Ranks other than urgent are guaranteed their floor only, as urgent requests
			// take the capacity above it.
			guaranteed := baseline[rank]
			if fleet.Rank(rank) != fleet.RankUrgent {
				guaranteed = min(guaranteed, floorRequests(ranked, fleet.Rank(rank)))
			}
			assert.Assert(t, got[rank] >= guaranteed, "overload of %v: %v, FIFO baseline %v", overloading, got, baseline)
		}
	}
}

// floorRequests returns how many requests the rank's floor guarantees it during
// runOverload. The floor is met in whole requests, so one may still be
// outstanding at the end.
func floorRequests(s admission.Settings, rank fleet.Rank) int {
	return int(s.Ranks[rank].Floor*overloadSlots*float64(overloadLength/overloadSlotTime)) - 1
}

func TestRankFloorsHoldInUrgentOverload(t *testing.T) {
	s := admission.DefaultSettings()
	s.PollTimeout = time.Hour
	got := runOverload(s, fleet.RankUrgent)
	// Standard and bulk requests each need a sixth of the capacity, which is 50
	// requests. That is below the floor of standard and above the floor of bulk.
	assert.Assert(t, got[fleet.RankStandard] == 50, "%v", got)
	assert.Assert(t, got[fleet.RankBulk] >= floorRequests(s, fleet.RankBulk), "%v", got)
}

func TestInvariantFailsOnGrantToDrainingReplica(t *testing.T) {
	defer func() {
		v, ok := recover().(invariant.Violation)
		assert.Assert(t, ok)
		assert.Equal(t, v.Name, invariant.NoWorkToDraining)
	}()
	q := newQueue(replica(1, "m", 1))
	admission.GrantToDraining(q, start, request("a", fleet.RankUrgent))
}

func TestInvariantFailsOnLostWaiter(t *testing.T) {
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
