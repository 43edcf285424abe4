package poison_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/poison"
)

const settled = 2 * time.Second // longer than the reports of an end take to arrive

var start = time.Unix(1000, 0)

// record merges a report of each end with the contents.
func record(t *poison.Table, at time.Time, ends map[poison.End][]poison.Key) {
	for end, keys := range ends {
		t.Record(at, report(at, end, keys...))
	}
}

// report returns a report of one request for each key, which has no other trait.
func report(at time.Time, end poison.End, keys ...poison.Key) poison.Report {
	r := poison.Report{End: end, At: at}
	for _, k := range keys {
		r.Requests = append(r.Requests, poison.Request{Traits: []poison.Key{k}})
	}
	return r
}

// decide returns the traits that the table refuses from now on, each alone.
func decide(table *poison.Table, now time.Time) []poison.Key {
	var keys []poison.Key
	refused, _ := table.Decide(now)
	for _, r := range refused {
		keys = append(keys, r.Traits...)
	}
	return keys
}

// refusedFor returns for how long a request with the traits is refused.
func refusedFor(table *poison.Table, now time.Time, traits ...poison.Key) time.Duration {
	return table.Refused(now, traits)
}

// TestInnocentBesidePoisonIsNotRefused guards against a request that is refused because it
// ran beside a poison request each time.
func TestInnocentBesidePoisonIsNotRefused(t *testing.T) {
	const bad, innocent = 1, 2
	table := poison.New()
	record(table, start, map[poison.End][]poison.Key{1: {bad, innocent}, 2: {bad, innocent}, 3: {bad, innocent}})
	now := start.Add(settled)
	assert.Equal(t, len(decide(table, now)), 0, "nothing tells the two apart")
	record(table, now, map[poison.End][]poison.Key{4: {bad}})
	now = now.Add(settled)
	assert.DeepEqual(t, decide(table, now), []poison.Key{bad})
	assert.Equal(t, refusedFor(table, now, innocent), time.Duration(0))
	assert.Assert(t, refusedFor(table, now, bad) > 0)
	record(table, now, map[poison.End][]poison.Key{5: {innocent}})
	assert.Equal(t, len(decide(table, now)), 0, "one end of its own is no evidence yet")
}

// TestWronglyRefusedContentExplainsNothing guards against a poison request that is not refused,
// because another content, which was refused before all reports had arrived, has most of
// its ends.
func TestWronglyRefusedContentExplainsNothing(t *testing.T) {
	const bad, innocent = 1, 2
	table := poison.New()
	record(table, start, map[poison.End][]poison.Key{1: {innocent}, 2: {innocent}, 3: {innocent}, 4: {innocent}})
	now := start.Add(settled)
	assert.DeepEqual(t, decide(table, now), []poison.Key{innocent})
	record(table, now, map[poison.End][]poison.Key{1: {bad}, 2: {bad}, 3: {bad}, 4: {bad}, 5: {bad}})
	assert.DeepEqual(t, decide(table, now.Add(settled)), []poison.Key{bad})
}

// TestLateReportOfSameEndIsAwaited guards against a request that is refused before another
// node's report shows what it ran beside.
func TestLateReportOfSameEndIsAwaited(t *testing.T) {
	const bad, innocent = 1, 2
	table := poison.New()
	record(table, start, map[poison.End][]poison.Key{1: {innocent}, 2: {innocent}, 3: {innocent}})
	assert.Equal(t, len(decide(table, start.Add(100*time.Millisecond))), 0)
	record(table, start.Add(100*time.Millisecond), map[poison.End][]poison.Key{1: {bad}, 2: {bad}, 3: {bad}, 4: {bad}})
	assert.DeepEqual(t, decide(table, start.Add(settled)), []poison.Key{bad})
}

// TestAnsweredContentIsInnocent guards against the refusal of a request that many callers
// repeat, after servers ended at which it happened to run.
func TestAnsweredContentIsInnocent(t *testing.T) {
	table := poison.New()
	table.Answered(start, start, 1)
	innocent := table.Record(start.Add(time.Millisecond), report(start.Add(time.Millisecond), 1, 1, 2))
	assert.DeepEqual(t, innocent, []poison.Key{1})
	record(table, start, map[poison.End][]poison.Key{2: {2}, 3: {2}})
	assert.DeepEqual(t, decide(table, start.Add(settled)), []poison.Key{2})
	assert.Assert(t, table.Answered(start.Add(settled), start.Add(settled), 2))
	assert.Equal(t, refusedFor(table, start.Add(settled), 2), time.Duration(0))
}

// TestRefusalEnds checks that a content may run again after RefuseFor, and that a node that
// has just started learns of it from others.
func TestRefusalEnds(t *testing.T) {
	table, starting := poison.New(), poison.New()
	record(table, start, map[poison.End][]poison.Key{1: {1}, 2: {1}, 3: {1}})
	now := start.Add(settled)
	decide(table, now)
	for _, r := range table.Refusals(now, 10) {
		starting.Refuse(now, r)
	}
	assert.Equal(t, refusedFor(starting, now, 1), refusedFor(table, now, 1))
	assert.Equal(t, refusedFor(table, start.Add(poison.RefuseFor), 1), time.Duration(0))
}

// TestTableIsBounded guards against a table that grows with the number of contents that were
// in flight where servers ended.
func TestTableIsBounded(t *testing.T) {
	table := poison.New()
	key := poison.Key(10)
	for end := range poison.End(3000) {
		keys := []poison.Key{1, key, key + 1, key + 2}
		key += 3
		table.Record(start, report(start, end, keys...))
		table.Answered(start, start, key+1_000_000)
	}
	assert.Assert(t, table.Size() <= 2048, "%d suspects", table.Size())
	decide(table, start.Add(settled))
	assert.Assert(t, refusedFor(table, start.Add(settled), 1) > 0, "the content with most ends is retained")
}

// TestFastEndsAreRefused guards against a request that is never refused, because a caller that
// repeats it ends servers so fast that none of the ends that are retained is ever old enough to
// count, while other nodes report those that were dropped again (BUDGET).
func TestFastEndsAreRefused(t *testing.T) {
	const bad, every, perRound, rounds = 1, 20 * time.Millisecond, 8, 40
	here, there := poison.New(), poison.New()
	refusedAfter := 0
	for i := 0; i < rounds*perRound && refusedAfter == 0; i++ {
		now := start.Add(time.Duration(i) * every)
		r := report(now, poison.End(i+1), bad)
		here.Record(now, r)
		there.Record(now, r)
		for _, known := range there.Reports(8) {
			here.Record(now, known)
		}
		for _, known := range here.Reports(8) {
			there.Record(now, known)
		}
		for _, recent := range []int{i - 30, i - 20, i - 10} {
			if recent >= 0 { // nodes report an end for some time
				here.Record(now, report(start.Add(time.Duration(recent)*every), poison.End(recent+1), bad))
			}
		}
		if len(decide(here, now)) > 0 {
			refusedAfter = i + 1
		}
	}
	assert.Assert(t, refusedAfter > 0, "never refused")
	assert.Assert(t, refusedAfter <= 80, "refused after %d ends", refusedAfter)
}
