package capacity_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/redwingnotch/redwingnotch/capacity"
)

const slots = 48

var (
	server  = capacity.Server{ID: "s", Start: 1}
	request = capacity.Request{Service: "llm", OutputTokens: 100, Limit: 6 * time.Second, Target: time.Second}
)

// observe records a complete response of 50 events, which has 100 ms for each.
func observe(e *capacity.Estimator, now time.Time, s capacity.Server, load int, perEvent time.Duration) {
	const events = 50
	e.ObserveFirst(now, request, load, 2*perEvent)
	e.ObserveEvents(now, request, s, load, events-1, (events-1)*perEvent)
	e.ObserveComplete(now, request, events)
}

// learnedAt returns what an estimator learns from responses that take slow at loads above bound
// and fast below.
func learnedAt(bound int, fast, slow time.Duration) *capacity.Estimator {
	e := capacity.New()
	for i := range 200 {
		load, perEvent := 1+i%40, fast
		if load > bound {
			perEvent = slow
		}
		at := began.Add(time.Duration(i) * 50 * time.Millisecond)
		observe(e, at, capacity.Server{ID: fmt.Sprint(i % 20), Start: 1}, load, perEvent)
		e.Refresh(at)
	}
	return e
}

// TestLearnsLoadBeyondWhichResponsesAreLate guards against slots that servers can't run, and
// against limits where the load is not the cause or there is no trouble.
func TestLearnsLoadBeyondWhichResponsesAreLate(t *testing.T) {
	const fast, late = 10 * time.Millisecond, 90 * time.Millisecond
	assert.Equal(t, capacity.New().Learned("llm", server, slots), float64(slots))
	assert.Equal(t, learnedAt(15, fast, 40*time.Millisecond).Learned("llm", server, slots), float64(slots))
	assert.Equal(t, learnedAt(0, fast, late).Learned("llm", server, slots), float64(slots))
	e := learnedAt(15, fast, late)
	assert.Equal(t, e.Learned("llm", server, slots), 15.0)
	assert.Equal(t, e.Learned("llm", server, 8), 8.0)
	assert.Equal(t, e.Learned("other", server, slots), float64(slots))
	rate := e.Rate("llm", slots)
	assert.Assert(t, rate > 20 && rate < 30, "a response takes about 0.52 s, 15 at once: %v", rate)
	assert.Equal(t, e.Rate("llm", 8), 0.0)
}

// TestNodeWithoutResponsesUsesOthers guards against nodes that have just started, and against one
// node that spoils the estimates of all.
func TestNodeWithoutResponsesUsesOthers(t *testing.T) {
	e := capacity.New()
	for i, told := range []float64{12, 13, 14, math.NaN(), math.Inf(1), -1, 1e9} {
		e.Merge(began, fmt.Sprint(i), capacity.Report{
			Services: map[string]capacity.Estimate{"llm": {Slots: told, Rate: 5}},
			Servers:  []capacity.ServerReport{{ID: "s", Start: 1, Sum: 2 * math.Log(3), Weight: 2}, {ID: "t", Start: 1, Sum: math.NaN(), Weight: 1}},
		})
	}
	e.Refresh(began)
	assert.Equal(t, e.Learned("llm", capacity.Server{ID: "t", Start: 1}, slots), 13.0)
	assert.Equal(t, e.Learned("llm", capacity.Server{ID: "s", Start: 2}, slots), 13.0)
	assert.Assert(t, e.Learned("llm", server, slots) < 8)
	e.Merge(began, "0", capacity.Report{Servers: []capacity.ServerReport{{ID: "s", Start: 1, Sum: 0, Weight: 1}}})
	assert.Equal(t, len(e.Services()), 1)
	e.Refresh(began.Add(61 * time.Second))
	assert.Equal(t, len(e.Services()), 0)
}

// TestAvoidedServerCountsAsUsualAgain guards against a server that gets no requests as it was slow
// once, and so never shows that it is not.
func TestAvoidedServerCountsAsUsualAgain(t *testing.T) {
	e := learnedAt(40, 10*time.Millisecond, 0)
	now := began.Add(10 * time.Second)
	for range 30 {
		now = now.Add(250 * time.Millisecond)
		observe(e, now, server, 5, 250*time.Millisecond)
		for range 3 {
			observe(e, now, capacity.Server{ID: "other", Start: 1}, 5, 10*time.Millisecond)
		}
		e.Refresh(now)
	}
	slow := now
	assert.Assert(t, e.Factor(server) > 2)
	for e.Factor(server) != 1 {
		now = now.Add(250 * time.Millisecond)
		e.Refresh(now)
		assert.Assert(t, now.Sub(slow) < 15*time.Second)
	}
	t.Logf("after %v", now.Sub(slow))
}

// TestFailingServerIsNotFast guards against a server that attracts requests by failing them at
// once.
func TestFailingServerIsNotFast(t *testing.T) {
	e := learnedAt(40, 10*time.Millisecond, 0)
	now := began.Add(10 * time.Second)
	for range 30 {
		observe(e, now, server, 5, time.Millisecond)
		e.Failed(now, server)
	}
	e.Refresh(now)
	assert.Equal(t, e.Factor(server), 1.0)
}

// TestLearnedSlotsStayWithinBounds guards against estimates outside 1 and the slots, whatever is
// observed and told.
func TestLearnedSlotsStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := capacity.New()
		now := began
		for range rapid.IntRange(1, 80).Draw(t, "responses") {
			now = now.Add(time.Duration(rapid.Int64Range(-1e8, 2e9).Draw(t, "after")))
			took := time.Duration(rapid.Int64Range(-1, 1e11).Draw(t, "took"))
			r := request
			r.MaxGap, r.OutputTokens = time.Duration(rapid.Int64Range(0, 1e9).Draw(t, "gap")), rapid.IntRange(-1, 200).Draw(t, "tokens")
			load, events := rapid.IntRange(-1, 1000).Draw(t, "load"), rapid.IntRange(-1, 100).Draw(t, "events")
			e.ObserveFirst(now, r, load, took)
			e.ObserveEvents(now, r, server, load, events, took)
			e.ObserveComplete(now, r, events)
			e.Merge(now, "n", capacity.Report{Services: map[string]capacity.Estimate{"llm": {Slots: rapid.Float64().Draw(t, "slots"), Rate: rapid.Float64().Draw(t, "rate")}},
				Servers: []capacity.ServerReport{{ID: "s", Start: 1, Sum: rapid.Float64().Draw(t, "sum"), Weight: rapid.Float64().Draw(t, "weight")}}})
			e.Refresh(now)
			learned := e.Learned("llm", server, slots)
			assert.Assert(t, learned >= 1 && learned <= slots, "%v", learned)
			assert.Assert(t, e.Rate("llm", slots) >= 0)
		}
	})
}

// BenchmarkRefresh measures new estimates of two services with 60 servers, which a node makes four
// times a second, and BenchmarkObserve what a response costs.
func BenchmarkRefresh(b *testing.B) {
	for _, nodes := range []int{9, 90, 300} {
		b.Run(fmt.Sprint(nodes, "_nodes"), func(b *testing.B) {
			e := learnedAt(15, 10*time.Millisecond, 90*time.Millisecond)
			now := began.Add(10 * time.Second)
			report := e.Report(now, 16)
			for i := range nodes - 1 {
				e.Merge(now, fmt.Sprint(i), report)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				e.Refresh(now.Add(time.Duration(i%2+1) * 300 * time.Millisecond))
			}
		})
	}
}

func BenchmarkObserve(b *testing.B) {
	e := learnedAt(15, 10*time.Millisecond, 90*time.Millisecond)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		observe(e, began.Add(10*time.Second), server, 1+i%40, 20*time.Millisecond)
	}
}
