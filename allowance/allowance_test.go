package allowance

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	start = time.Unix(1000, 0)
	terms = Terms{Rate: 1000, Burst: 2000, Window: 8 * time.Second, Overage: 0.1, Slack: 5000}
	whole = Part{Live: 10, Nodes: 10, Silence: time.Second}
)

// run looks at the holder every 100 ms, as a node does, until the time.
func (h *Holder) run(until time.Time) {
	for now := h.bucket.at; now.Before(until); now = now.Add(100 * time.Millisecond) {
		h.Set(now, h.terms, h.part, nil)
	}
	h.Set(until, h.terms, h.part, nil)
}

// TestNewHolderDoesNotGrantTheBurstAnew guards against a holder that takes its empty count for an
// allowance that was not used: after each kill the team would have its burst again.
func TestNewHolderDoesNotGrantTheBurstAnew(t *testing.T) {
	h := NewHolder(start, 1, terms, whole, start)
	assert.Equal(t, h.Level(start), int64(200))
	h.run(start.Add(time.Second))
	assert.Equal(t, h.Level(start.Add(time.Second)), int64(1200))
}

// TestFrozenHolderGetsNothingForItsFreeze guards against a holder that thaws with a full bucket
// although another one has granted the tokens meanwhile.
func TestFrozenHolderGetsNothingForItsFreeze(t *testing.T) {
	h := NewHolder(start, 1, terms, whole, start)
	h.run(start.Add(10 * time.Second))
	assert.Equal(t, h.Level(start.Add(10*time.Second)), int64(2000))
	thawed := start.Add(20 * time.Second)
	assert.Equal(t, h.Level(thawed), int64(200+600)) // a tenth of the burst, and MaxGap at the rate
}

// TestRepeatedQueryIsChargedOnce guards against a query that is sent again, or arrives twice or
// late, and takes the tokens again.
func TestRepeatedQueryIsChargedOnce(t *testing.T) {
	h := NewHolder(start, 1, terms, whole, start)
	q := Query{Key: 5, Needs: []int64{150}}
	first, ok := h.Grant(start, "a", q)
	assert.Assert(t, ok && first.Admitted == 1)
	again, ok := h.Grant(start, "a", q)
	assert.Assert(t, ok)
	assert.Equal(t, again, first)
	_, ok = h.Grant(start, "a", Query{Key: 4, Needs: []int64{10}})
	assert.Assert(t, !ok)
	assert.Equal(t, h.Level(start), int64(50))
}

// TestLargeRequestPutsTheBucketIntoDebt guards against a request that is larger than the burst and
// never runs, and against small parts of a fleet that each run one.
func TestLargeRequestPutsTheBucketIntoDebt(t *testing.T) {
	h := NewHolder(start, 1, terms, whole, start)
	g, ok := h.Grant(start, "a", Query{Key: 1, Needs: []int64{9000}})
	assert.Assert(t, ok && g.Admitted == 0)
	assert.Equal(t, g.Wait, 1800*time.Millisecond) // until the bucket is full
	full := start.Add(1800 * time.Millisecond)
	h.run(full)
	g, _ = h.Grant(full, "a", Query{Key: 2, Needs: []int64{9000, 1}})
	assert.Equal(t, g.Admitted, uint64(1))
	assert.Equal(t, h.Level(full), int64(-7000))
	assert.Equal(t, g.Wait, 7001*time.Millisecond)

	h = NewHolder(start, 1, terms, Part{Live: 3, Nodes: 10}, start)
	h.run(full)
	g, _ = h.Grant(full, "a", Query{Key: 1, Needs: []int64{9000}})
	assert.Equal(t, g.Admitted, uint64(0))
	assert.Equal(t, g.Wait, noRoomWait)
}

// TestPartsOfAFleetShareTheRate guards against parts that each grant the whole rate.
func TestPartsOfAFleetShareTheRate(t *testing.T) {
	parts := []int{1, 3, 6}
	granted, overdraft := int64(0), 0.0
	for _, live := range parts {
		h := NewHolder(start, 1, terms, Part{Live: live, Nodes: 10}, start)
		overdraft += h.overdraft()
		for i := range 100 {
			g, _ := h.Grant(start.Add(time.Duration(i)*100*time.Millisecond), "a", Query{Key: uint64(i + 1), Needs: []int64{1, 1, 1, 1, 10, 10, 10, 10, 10, 100, 100, 100}})
			for bit, n := range []int64{1, 1, 1, 1, 10, 10, 10, 10, 10, 100, 100, 100} {
				granted += n * int64(g.Admitted>>bit&1)
			}
		}
	}
	assert.Assert(t, float64(granted) <= 200+9900+overdraft+1, "%d", granted)
	assert.Assert(t, overdraft <= terms.margin()/8)
	assert.Assert(t, granted > 9000, "%d", granted)
}

// TestLimitsChange guards against a lower limit that leaves a full bucket, and a higher one that a
// team has to wait for.
func TestLimitsChange(t *testing.T) {
	h := NewHolder(start, 1, terms, whole, start)
	now := start.Add(5 * time.Second)
	h.run(now)
	lower, higher := terms, terms
	lower.Rate, lower.Burst, higher.Burst = 100, 200, 20000
	h.Set(now, lower, whole, nil)
	assert.Equal(t, h.Level(now), int64(200))
	h.Set(now, higher, whole, nil)
	assert.Equal(t, h.Level(now), int64(20000))
	h.Grant(now, "a", Query{Key: 1, Needs: []int64{20000}})
	h.Set(now, lower, whole, nil)
	h.Set(now, higher, whole, nil)
	assert.Equal(t, h.Level(now), int64(0)) // a change back and forth gains nothing

	a := NewAccount(start, 0, terms, whole)
	a.addLot(lot{tokens: 50, at: start, holder: "h", epoch: 1})
	a.Set(start, lower, whole)
	_, done := a.Take(start, 1, 10)
	assert.Assert(t, !done)
	assert.DeepEqual(t, a.Returns(start), []Return{{"h", 1, 50}})
}

// TestInvalidNumbersAreNotGranted guards against numbers in datagrams that overflow or raise the
// level.
func TestInvalidNumbersAreNotGranted(t *testing.T) {
	h := NewHolder(start, 1, terms, whole, start)
	for i, q := range []Query{{Needs: []int64{-5}}, {Needs: []int64{0}}, {Needs: []int64{math.MaxInt64}}, {Ahead: -1}, {Stock: math.MinInt64},
		{Return: -1}, {Return: math.MaxInt64}, {Needs: make([]int64, MaxNeeds+1)}} {
		q.Key = uint64(i + 1)
		_, ok := h.Grant(start, "a", q)
		assert.Assert(t, !ok, "%v", q)
	}
	h.Grant(start, "a", Query{Key: 100, Return: MaxTokens, Epoch: 1}) // never granted
	assert.Equal(t, h.Level(start), int64(200))
	h.Grant(start, "a", Query{Key: 101, Needs: []int64{150}})
	h.Grant(start, "a", Query{Key: 102, Return: 150, Epoch: 2}) // of an earlier bucket
	assert.Equal(t, h.Level(start), int64(50))
	h.Grant(start, "a", Query{Key: 103, Return: 150, Epoch: 1})
	assert.Equal(t, h.Level(start), int64(200))

	assert.Equal(t, Cost(0, 0, 0), int64(200))
	assert.Equal(t, Cost(0, 0, 0.5), int64(1))
	assert.Equal(t, Cost(-5, 3, 100), int64(3))
	assert.Equal(t, Cost(-5, 0, math.NaN()), int64(200))
	assert.Equal(t, Cost(math.MaxInt64, math.MaxInt64, 0), int64(MaxTokens))
}

// TestLateGrantIsNotSpent guards against tokens that are spent twice: by a request that its node's
// own budget has admitted meanwhile, and by those after it.
func TestLateGrantIsNotSpent(t *testing.T) {
	a := NewAccount(start, 0, terms, whole)
	_, done := a.Take(start, 1, 100)
	assert.Assert(t, !done)
	q, to, due := a.Ask(start, "h", false)
	assert.Assert(t, due && to == "h")
	_, _, due = a.Ask(start.Add(RepeatAfter-1), "h", false)
	assert.Assert(t, !due)
	again, to, due := a.Ask(start.Add(RepeatAfter), "other", false) // the same query again, to the same node
	assert.Assert(t, due && to == "h")
	assert.DeepEqual(t, again, q)
	late := start.Add(AnswerTimeout)
	grant := Grant{Key: q.Key, Epoch: 1, Admitted: 1, Ahead: 100}
	assert.Equal(t, len(a.Receive(late, "h", grant)), 0) // arrives before the time-out is noticed
	decisions := a.GiveUp(late)
	assert.Equal(t, len(decisions), 1)
	assert.Equal(t, decisions[0].Source, FromBudget)
	assert.Equal(t, len(a.Receive(late, "h", grant)), 0)
	assert.Equal(t, a.stock(), int64(0))
	d, done := a.Take(late, 2, 1) // decided at once while the holder is silent
	assert.Assert(t, done && d.Source == FromBudget)
	late = late.Add(askAgainAfter)
	q, _, due = a.Ask(late, "h", false) // and the holder is asked again
	assert.Assert(t, due && len(q.Needs) == 0)
	a.Receive(late, "h", Grant{Key: q.Key, Epoch: 1, Ahead: 101})
	assert.Equal(t, a.stock(), q.Ahead)
}

// TestUnusedTokensAreReturned guards against stock that is hoarded, and against tokens of
// requests that did not run and are lost.
func TestUnusedTokensAreReturned(t *testing.T) {
	a := NewAccount(start, 0, terms, Part{Live: 90, Nodes: 90, Silence: 3 * time.Second})
	a.Take(start, 1, 100)
	q, _, _ := a.Ask(start, "h", false)
	assert.Equal(t, q.Ahead, int64(100))
	d := a.Receive(start, "h", Grant{Key: q.Key, Epoch: 7, Admitted: 1, Ahead: 60})
	assert.Assert(t, len(d) == 1 && d[0].Admitted)
	a.GiveBack(start, d[0].Charge)
	stock, done := a.Take(start, 2, 160)
	assert.Assert(t, done && stock.Admitted && stock.Source == FromStock)
	a.GiveBack(start.Add(time.Second), stock.Charge)
	assert.DeepEqual(t, a.Returns(start.Add(time.Second)), []Return{{"h", 7, 160}})
	q, _, due := a.Ask(start.Add(contactFor), "h", false)
	assert.Assert(t, due && q.Last) // of the regular queries
	a.Receive(start.Add(contactFor), "h", Grant{Key: q.Key})
	assert.Assert(t, a.Idle())
}

// TestFleetSize guards against a node that takes itself for the whole fleet: after a start, after a
// freeze, or once others are cut off; and against nodes that are lost for ever and count for ever.
func TestFleetSize(t *testing.T) {
	span := 7 * time.Second
	f := NewFleet(start, span, true)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	observe := func(from, to, nodes int) {
		for ms := from; ms < to; ms += 100 {
			assert.Assert(t, f.Observe(at(ms), nodes))
		}
	}
	observe(0, 1900, 9)
	assert.Equal(t, f.Size(at(1900)), UnknownSize)
	observe(1900, 4000, 9)
	assert.Equal(t, f.Size(at(4000)), 9)
	observe(4000, 10800, 3)
	assert.Equal(t, f.Size(at(10800)), 9)
	observe(10800, 12000, 3)
	assert.Equal(t, f.Size(at(12000)), 3)
	assert.Assert(t, !f.Observe(at(30000), 1)) // frozen
	assert.Equal(t, f.Size(at(30000)), UnknownSize)
	observe(30100, 32100, 1)
	assert.Equal(t, f.Size(at(32100)), UnknownSize) // hears no other
	observe(32100, 37200, 1)
	assert.Equal(t, f.Size(at(37200)), 1)

	single := NewFleet(start, span, false)
	single.Observe(at(2000), 1)
	assert.Equal(t, single.Size(at(2000)), 1)
}

// TestNodeOfAnotherPartCountsLate guards against two parts of a fleet that both count a node which moves
// between them, and so exceed the rate together.
func TestNodeOfAnotherPartCountsLate(t *testing.T) {
	n := NewNode(start, Config{Self: "a", Span: time.Minute})
	n.SetTeams(map[string]Terms{"team": terms})
	for ms := 0; ms <= 5000; ms += 100 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		v := View{Candidates: []string{"a"}, Silence: 2 * time.Second, Reached: map[string]Contact{"b": {Heard: now}, "c": {Heard: now, Young: true}}}
		if ms == 3000 {
			delete(v.Reached, "b") // and comes back
		}
		n.SetView(now, v)
		counted := ms >= 2000 && ms < 3000 || ms >= 5100
		want := map[bool]int{false: 2, true: 3}[counted] // c has just started, so it was in no other part
		assert.Equal(t, n.Part().Live, want, "%d ms", ms)
	}
}

// TestNothingIsSentWithoutRequests guards against messages in deployments that have no teams, or whose
// teams send nothing.
func TestNothingIsSentWithoutRequests(t *testing.T) {
	n := NewNode(start, Config{Self: "a", Span: time.Minute})
	assert.Assert(t, !n.Active())
	n.SetTeams(map[string]Terms{"held": terms, "team": terms, "other": terms})
	for ms := 0; ms <= 5000; ms += 20 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		view := View{Candidates: []string{"a", "b"}, Silence: 2 * time.Second, Reached: map[string]Contact{"b": {Heard: now}}}
		// A node that starts asks the one that may have held its teams before.
		assert.Assert(t, len(n.SetView(now, view).Send) == 0 || ms < 2000, "%d ms", ms)
		assert.Equal(t, len(n.Tick(now).Send), 0)
	}
}
