package poison_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/poison"
)

// Traits of the prompts in the tests below.
const (
	first = 1 // part that sound prompts share
	bad   = 2
	other = 3
)

// loseEach records one end for each request, a second apart, and returns the time after them.
func loseEach(table *poison.Table, requests ...poison.Request) time.Time {
	now := start
	for i, r := range requests {
		now = now.Add(time.Second)
		table.Record(now, poison.Report{End: poison.End(i + 1), At: now, Requests: []poison.Request{r}})
	}
	return now.Add(settled)
}

// TestTraitsSeenTogetherAreRefusedTogether guards against the refusal of sound requests that
// share a part with poison ones, on a route so quiet that none of them was answered.
func TestTraitsSeenTogetherAreRefusedTogether(t *testing.T) {
	table := poison.New()
	request := poison.Request{Traits: []poison.Key{100, first, bad}}
	now := loseEach(table, request, poison.Request{Traits: []poison.Key{101, first, bad}}, poison.Request{Traits: []poison.Key{102, first, bad}})
	table.Decide(now)
	assert.Assert(t, table.Refused(now, []poison.Key{103, first, bad}) > 0)
	assert.Equal(t, table.Refused(now, []poison.Key{104, first, other}), time.Duration(0))
	assert.Equal(t, table.Refused(now, []poison.Key{105, other, bad}), time.Duration(0))
	assert.Assert(t, table.Answered(now, now, 104, first, other))
	assert.Assert(t, table.Refused(now, []poison.Key{105, other, bad}) > 0, "the sound request showed which part it is")
}

// TestRefusalTooNarrowIsWidened guards against a poison part that goes on behind other parts
// than those with which it was seen first.
func TestRefusalTooNarrowIsWidened(t *testing.T) {
	table := poison.New()
	now := loseEach(table, poison.Request{Traits: []poison.Key{100, first, bad}}, poison.Request{Traits: []poison.Key{101, first, bad}}, poison.Request{Traits: []poison.Key{102, first, bad}})
	table.Decide(now)
	for end := range poison.End(2) {
		table.Record(now, poison.Report{End: 8 + end, At: now, Requests: []poison.Request{{Traits: []poison.Key{103 + poison.Key(end), other, bad}}}})
	}
	now = now.Add(settled)
	table.Decide(now)
	assert.Assert(t, table.Refused(now, []poison.Key{104, 4, bad}) > 0)
	assert.Equal(t, table.Refused(now, []poison.Key{105, first, other}), time.Duration(0))
}

// TestTrialEndsWrongRefusal guards against a trait that is refused for ten minutes after ends
// without a cause: one request is let through after two minutes, and not one more.
func TestTrialEndsWrongRefusal(t *testing.T) {
	table := poison.New()
	now := loseEach(table, poison.Request{Traits: []poison.Key{bad}}, poison.Request{Traits: []poison.Key{bad}}, poison.Request{Traits: []poison.Key{bad}})
	table.Decide(now)
	traits := []poison.Key{100, bad}
	assert.Assert(t, table.Refused(now, traits) > 0)
	assert.Assert(t, !table.Trial(now.Add(time.Minute), traits))
	now = now.Add(2 * time.Minute)
	assert.Assert(t, table.Trial(now, traits))
	assert.Assert(t, !table.Trial(now.Add(time.Minute), traits))
	table.Answered(now, now, traits...)
	assert.Equal(t, table.Refused(now, traits), time.Duration(0))
}
