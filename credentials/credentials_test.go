package credentials_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/credentials"
	"github.com/redwingnotch/redwingnotch/routes"
)

// Guards against keys that are read from anything but one field with the scheme, and against an empty
// key that matches a team.
func TestParseKey(t *testing.T) {
	for _, known := range []string{"Token k1", "token k1", "TOKEN  k1", " Token k1 "} {
		assert.Equal(t, credentials.ParseKey([]string{known}), credentials.Key{Form: credentials.Present, Hash: routes.HashKey("k1")}, "%q", known)
	}
	assert.Equal(t, credentials.ParseKey(nil), credentials.Key{Form: credentials.Missing})
	for _, fields := range [][]string{{""}, {"Token"}, {"Token "}, {"k1"}, {"Bearer k1"}, {"Tokenk1"}, {"Token k1", "Token k1"}, {"Token k1", ""}} {
		assert.Equal(t, credentials.ParseKey(fields), credentials.Key{Form: credentials.Malformed}, "%q", fields)
	}
}

// Guards against a key that two teams hold and that matches one of them, and against one that matches
// none because its team lists it twice.
func TestKeyOfTwoTeamsMatchesNone(t *testing.T) {
	shared, own, twice := routes.HashKey("shared"), routes.HashKey("own"), routes.HashKey("twice")
	teams := []routes.Team{
		{Name: "a", Index: 0, Keys: []routes.KeyHash{shared, own}},
		{Name: "b", Index: 2, Keys: []routes.KeyHash{twice, twice}},
		{Name: "c", Index: 3, Keys: []routes.KeyHash{shared}},
		{Name: "d", Index: 5, Keys: []routes.KeyHash{shared}},
	}
	index, faults := credentials.NewIndex(1, teams)
	assert.Assert(t, index.Find(shared) == nil)
	assert.Equal(t, index.Find(own), &teams[0])
	assert.Equal(t, index.Find(twice), &teams[1])
	assert.Equal(t, len(faults), 2)
	assert.Error(t, faults[1], "teams 0 and 5 hold the same key, which matches neither")
}

// Guards against a key that is accepted or judged at the wrong age of the state, at a node that has
// just started, and at one that knows of a newer version.
func TestCheckByAge(t *testing.T) {
	start, known, unknown := time.Unix(500, 0), credentials.ParseKey([]string{"Token k"}), credentials.ParseKey([]string{"Token x"})
	index, _ := credentials.NewIndex(4, []routes.Team{{Name: "a", Keys: []routes.KeyHash{known.Hash}}})
	for _, failClosed := range []bool{true, false} {
		b := credentials.Bounds{FailClosed: failClosed, Revocation: 5 * time.Second, Apply: 3 * time.Second}
		c := credentials.NewChecker(b)
		check := func(age time.Duration, key credentials.Key, closed, open credentials.Result) {
			t.Helper()
			want := open
			if failClosed {
				want = closed
			}
			assert.Equal(t, c.Check(start.Add(age), key).Result, want)
		}
		check(0, known, credentials.NoState, credentials.NoState)
		c.PutInForce(index)
		check(0, known, credentials.Stale, credentials.Accepted)
		check(0, unknown, credentials.Stale, credentials.Behind)
		c.ConfirmOwn(start)
		check(2699*time.Millisecond, unknown, credentials.Unknown, credentials.Unknown)
		check(2699*time.Millisecond, credentials.ParseKey(nil), credentials.NoKey, credentials.NoKey)
		check(2700*time.Millisecond, unknown, credentials.Behind, credentials.Behind)
		check(2999*time.Millisecond, known, credentials.Accepted, credentials.Accepted)
		check(3000*time.Millisecond, known, credentials.Stale, credentials.Accepted)
		c.NoteVersion(5)
		check(time.Second, known, credentials.Accepted, credentials.Accepted)
		check(time.Second, unknown, credentials.Behind, credentials.Behind)
		assert.Assert(t, c.Check(start, unknown).Refresh && !c.Check(start, credentials.ParseKey(nil)).Refresh)
	}
}

// Guards against a reply that counts although it belongs to no query of this run, or comes from a
// node with a newer version, or without a confirmation.
func TestReplyCountsOnlyForItsQuery(t *testing.T) {
	now, b := time.Unix(500, 0), credentials.Bounds{FailClosed: true, Revocation: 5 * time.Second, Apply: 3 * time.Second}
	c, r := credentials.NewChecker(b), credentials.NewRefresher(b, 0)
	index, _ := credentials.NewIndex(4, nil)
	c.PutInForce(index)
	r.Tick(now, c, false, 1)
	sent := now.Add(time.Second)
	assert.Equal(t, r.Tick(sent, c, false, 17), credentials.Refresh{Ask: credentials.AskWatcher, Nonce: 17})
	now = sent.Add(30 * time.Millisecond)
	r.Replied(now, c, 16, 4, 0)
	r.Replied(now, c, 17, 5, 0)
	r.Replied(now, c, 17, 4, -1)
	assert.Equal(t, c.Age(now), time.Duration(-1))
	r.Replied(now, c, 17, 3, 20*time.Millisecond)
	assert.Equal(t, c.Age(now), 50*time.Millisecond)
	assert.Equal(t, c.OwnAge(now), time.Duration(-1))
}

// Guards against queries that grow with the number of requests with unknown keys.
func TestUnknownKeysRefreshAtMostOnceInATenthOfASecond(t *testing.T) {
	now, b := time.Unix(500, 0), credentials.Bounds{FailClosed: true, Revocation: 5 * time.Second, Apply: 3 * time.Second}
	c, r := credentials.NewChecker(b), credentials.NewRefresher(b, 0)
	index, _ := credentials.NewIndex(1, nil)
	c.PutInForce(index)
	asked := 0
	for i := range uint64(1000) { // ten seconds
		for range 50 {
			r.Hurry()
		}
		if next := r.Tick(now, c, false, i); next.Ask != credentials.AskNone {
			asked++
			r.Replied(now, c, i, 1, 0)
		}
		now = now.Add(10 * time.Millisecond)
	}
	assert.Assert(t, asked > 50 && asked <= 100, asked)
}

// Guards against ranks in which a route precedes a team, and against priorities at an engine that
// reverse the order of ranks or merge them while there is room.
func TestRanks(t *testing.T) {
	teams := []routes.Team{{Priority: 0}, {Priority: 1}, {Priority: 3}}
	assert.Equal(t, credentials.Rank(nil, 2), 2)
	assert.Equal(t, credentials.Rank(&teams[0], 2), 2)
	assert.Assert(t, credentials.Rank(&teams[1], 0) > credentials.Rank(&teams[0], 1e9))
	assert.Assert(t, credentials.Rank(&routes.Team{Priority: 1 << 62}, 1) > credentials.Rank(&teams[2], 1))
	for _, priorities := range [][]int{{0, 1, 2}, {0, 1, 2, 5}, {0}, {0, 1, 2, 3, 4, 5, 6, 7, 8, 9}} {
		ranks := credentials.NewEngineRanks(teams, priorities)
		before, distinct := -1, 0
		for _, rank := range ranks {
			p := ranks.Priority(rank)
			assert.Assert(t, p >= before && p <= 9)
			if p > before {
				distinct++
			}
			before = p
		}
		assert.Equal(t, distinct, min(len(ranks), 10), "%v", ranks)
	}
	assert.Equal(t, credentials.NewEngineRanks(nil, []int{0, 1, 2}).Priority(2), 4) // as without teams
}
