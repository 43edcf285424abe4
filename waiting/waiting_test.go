package waiting_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/redwingnotch/redwingnotch/replicas"
	"github.com/redwingnotch/redwingnotch/routes"
	"github.com/redwingnotch/redwingnotch/waiting"
)

var now = time.Unix(1000, 0)

func services() map[string]*routes.Service {
	engine := &routes.Engine{Slots: 2, WeightsMB: 200, Models: []routes.Model{
		{Name: "m", LoadTime: 6 * time.Second, DiskLoadTime: time.Second, WarmLoadTime: 400 * time.Millisecond},
	}}
	return map[string]*routes.Service{"llm": {Name: "llm", Engine: engine}, "plain": {Name: "plain"}}
}

func server(id, service string, slots int, models ...string) replicas.Entry {
	e := replicas.Entry{ID: id, Start: 1, Service: service, Address: id + ":80", Zone: "z", Slots: slots}
	for _, m := range models {
		e.Holds = append(e.Holds, replicas.Holding{Model: m})
	}
	return e
}

func state(entries ...replicas.Entry) waiting.State {
	t := replicas.NewTable()
	for _, e := range entries {
		t.SetEntry(now, e)
	}
	return waiting.State{Table: t, Services: services(), LeaderAlive: true}
}

func request(key uint64, service, model string, priority int, limit time.Duration) waiting.Request {
	return waiting.Request{Key: key, Requirement: replicas.Requirement{Service: service, Model: model}, Priority: priority, Arrived: now, Deadline: now.Add(limit)}
}

func TestOfferAssignsFreeSlotImmediately(t *testing.T) {
	s := state(server("s1", "plain", 1))
	d, done := waiting.NewQueue().Offer(now, request(1, "plain", "", 0, time.Second), s)
	assert.Assert(t, done)
	assert.Equal(t, d.Server.ID, "s1")
}

// TestMostUrgentRequestIsSentFirst checks that a free slot goes to an urgent
// request although many less urgent requests were queued before it.
func TestMostUrgentRequestIsSentFirst(t *testing.T) {
	s, q := state(server("s1", "plain", 1)), waiting.NewQueue()
	_, done := q.Offer(now, request(1, "plain", "", 2, 10*time.Second), s)
	assert.Assert(t, done)
	for key := uint64(2); key < 10; key++ {
		_, done := q.Offer(now, request(key, "plain", "", 2, 10*time.Second), s)
		assert.Assert(t, !done)
	}
	_, done = q.Offer(now, request(99, "plain", "", 0, 10*time.Second), s)
	assert.Assert(t, !done)
	s.Table.End("s1")
	decisions := q.Dispatch(now, s)
	assert.Equal(t, len(decisions), 1)
	assert.Equal(t, decisions[0].Key, uint64(99))
}

// TestModelThatLoadsTooLateIsRefusedImmediately checks that a request is refused
// at once if its model's load from the weight store takes longer than its time
// limit, instead of holding the request until the limit.
func TestModelThatLoadsTooLateIsRefusedImmediately(t *testing.T) {
	s := state(server("s1", "llm", 2))
	d, done := waiting.NewQueue().Offer(now, request(1, "llm", "m", 0, 4*time.Second), s)
	assert.Assert(t, done)
	assert.Equal(t, d.Refused, waiting.ModelNotReady)
	assert.Assert(t, d.RetryAfter >= 6*time.Second, "RetryAfter must not end before the model can be ready: %v", d.RetryAfter)
}

// TestWithdrawnModelIsRefusedImmediately guards against requests that wait for a model, or an
// adapter of one, which the desired state no longer has, until their time has passed.
func TestWithdrawnModelIsRefusedImmediately(t *testing.T) {
	s := state(server("s1", "llm", 2, "withdrawn"))
	d, done := waiting.NewQueue().Offer(now, request(1, "llm", "withdrawn", 0, time.Minute), s)
	assert.Assert(t, done)
	assert.Equal(t, d.Server.ID, "s1", "a copy is used while there is one")
	adapter := request(2, "llm", "withdrawn", 0, time.Minute)
	adapter.Requirement.Adapter = "a1"
	for _, r := range []waiting.Request{adapter, request(3, "llm", "unknown", 0, time.Minute)} {
		d, done := waiting.NewQueue().Offer(now, r, s)
		assert.Assert(t, done)
		assert.Equal(t, d.Refused, waiting.ModelNotReady)
	}
}

func TestModelThatLoadsInTimeIsAwaited(t *testing.T) {
	s, q := state(server("s1", "llm", 2)), waiting.NewQueue()
	_, done := q.Offer(now, request(1, "llm", "m", 0, 17*time.Second), s)
	assert.Assert(t, !done)
	demand := q.Demand(now, s.Table)
	assert.Equal(t, len(demand), 1)
	assert.Equal(t, demand[0].Model, "m")
	e := server("s1", "llm", 2, "m")
	s.Table.SetEntry(now, e)
	decisions := q.Dispatch(now, s)
	assert.Equal(t, len(decisions), 1)
	assert.Equal(t, decisions[0].Server.ID, "s1")
}

func TestModelCachedOnDiskIsAwaited(t *testing.T) {
	e := server("s1", "llm", 2)
	e.OnDisk = []string{"m"}
	_, done := waiting.NewQueue().Offer(now, request(1, "llm", "m", 0, 4*time.Second), state(e))
	assert.Assert(t, !done)
}

// TestReportedLoadTimeOverridesEstimate checks that the end time of a load in
// progress decides whether a request waits, not the estimate for a new load.
func TestReportedLoadTimeOverridesEstimate(t *testing.T) {
	s, q := state(server("s1", "llm", 2)), waiting.NewQueue()
	s.Table.SetServerStatus(now, replicas.ServerStatus{ID: "s1", Start: 1, Loading: "m", LoadEnds: now.Add(time.Second)})
	_, done := q.Offer(now, request(1, "llm", "m", 0, 4*time.Second), s)
	assert.Assert(t, !done)
	s.Table.SetServerStatus(now, replicas.ServerStatus{ID: "s1", Start: 1, Loading: "m", LoadEnds: now.Add(5 * time.Second)})
	decisions := q.Dispatch(now, s)
	assert.Equal(t, len(decisions), 1)
	assert.Equal(t, decisions[0].Refused, waiting.ModelNotReady)
}

// TestRequestIsRefusedBeforeTimeLimit checks that a queued request is refused
// within the time reserved for its response, not when its time limit ends.
func TestRequestIsRefusedBeforeTimeLimit(t *testing.T) {
	s, q := state(server("s1", "plain", 1)), waiting.NewQueue()
	s.Table.Begin(now, "s1")
	_, done := q.Offer(now, request(1, "plain", "", 0, time.Second), s)
	assert.Assert(t, !done)
	decisions := q.Dispatch(now.Add(900*time.Millisecond), s)
	assert.Equal(t, len(decisions), 1)
	assert.Equal(t, decisions[0].Refused, waiting.DeadlineExceeded)
}

func TestServiceWithoutServersRefusesEarly(t *testing.T) {
	s, q := state(), waiting.NewQueue()
	_, done := q.Offer(now, request(1, "plain", "", 0, time.Second), s)
	assert.Assert(t, !done)
	decisions := q.Dispatch(now.Add(400*time.Millisecond), s)
	assert.Equal(t, len(decisions), 1)
	assert.Equal(t, decisions[0].Refused, waiting.NoServer)
}

func TestCancelRemovesRequest(t *testing.T) {
	s, q := state(), waiting.NewQueue()
	q.Offer(now, request(1, "plain", "", 0, time.Second), s)
	q.Cancel(now, 1)
	assert.Equal(t, q.Len(), 0)
}

// TestEveryRequestGetsOneDecision offers random requests at random times and
// checks that each gets exactly one decision, that none is sent after its time
// limit and that no slot is used twice.
func TestEveryRequestGetsOneDecision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, q := state(server("s1", "plain", 2), server("s2", "llm", 2, "m")), waiting.NewQueue()
		at := now
		undecided := map[uint64]waiting.Request{}
		running := map[string]int{}
		check := func(d waiting.Decision) {
			r, known := undecided[d.Key]
			if !known {
				t.Fatalf("request %d decided twice", d.Key)
			}
			delete(undecided, d.Key)
			if d.Refused != "" {
				if d.RetryAfter <= 0 {
					t.Fatalf("refused without RetryAfter: %+v", d)
				}
				return
			}
			if at.After(r.Deadline) {
				t.Fatalf("sent after its time limit: %+v", d)
			}
			if running[d.Server.ID]++; running[d.Server.ID] > 2 {
				t.Fatalf("slot used twice at %s", d.Server.ID)
			}
		}
		for key := uint64(1); key < 60; key++ {
			at = at.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			for _, id := range []string{"s1", "s2"} {
				if running[id] > 0 && rapid.Bool().Draw(t, "ends") {
					running[id]--
					s.Table.End(id)
				}
			}
			r := request(key, "plain", "", rapid.IntRange(0, 2).Draw(t, "priority"), time.Second)
			if rapid.Bool().Draw(t, "model") {
				r.Requirement.Service, r.Requirement.Model = "llm", "m"
			}
			r.Arrived, r.Deadline = at, at.Add(time.Duration(rapid.IntRange(100, 3000).Draw(t, "limit"))*time.Millisecond)
			undecided[key] = r
			if d, done := q.Offer(at, r, s); done {
				check(d)
			}
			for _, d := range q.Dispatch(at, s) {
				check(d)
			}
		}
		at = at.Add(time.Minute)
		for _, d := range q.Dispatch(at, s) {
			check(d)
		}
		if len(undecided) > 0 || q.Len() > 0 {
			t.Fatalf("%d requests got no decision", len(undecided))
		}
	})
}
