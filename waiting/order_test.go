package waiting_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/redwingnotch/redwingnotch/replicas"
	"github.com/redwingnotch/redwingnotch/waiting"
)

// TestWithoutTeamsOrderIsRankDeadlineKey guards against fair shares in deployments without teams:
// the order of decisions there is that of rank, deadline and key, whatever the requests cost.
func TestWithoutTeamsOrderIsRankDeadlineKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, q := state(server("s1", "llm", 1, "m"), server("s2", "plain", 1)), waiting.NewQueue()
		s.Table.Begin(now, "s1")
		s.Table.Begin(now, "s2")
		var queued []waiting.Request
		for key := uint64(1); key <= 40; key++ {
			r := request(key, "plain", "", rapid.IntRange(0, 2).Draw(t, "rank"), time.Duration(rapid.IntRange(1, 9).Draw(t, "limit"))*time.Second)
			if rapid.Bool().Draw(t, "model") {
				r.Requirement.Service, r.Requirement.Model = "llm", "m"
			}
			r.Cost = float64(rapid.IntRange(0, 9000).Draw(t, "cost"))
			_, done := q.Offer(now, r, s)
			assert.Assert(t, !done)
			queued = append(queued, r)
		}
		slices.SortFunc(queued, func(a, b waiting.Request) int {
			return cmp.Or(cmp.Compare(a.Priority, b.Priority), a.Deadline.Compare(b.Deadline), cmp.Compare(a.Key, b.Key))
		})
		for len(queued) > 0 {
			s.Table.End("s1")
			s.Table.End("s2")
			for _, d := range q.Dispatch(now, s) {
				at := slices.IndexFunc(queued, func(r waiting.Request) bool { return r.Requirement.Service == d.Server.Service })
				assert.Equal(t, d.Key, queued[at].Key)
				queued = slices.Delete(queued, at, at+1)
			}
		}
	})
}

// TestTeamPriorityPrecedesRoutePriority guards against a route's rank that outweighs the team's.
func TestTeamPriorityPrecedesRoutePriority(t *testing.T) {
	s, q := state(server("s1", "plain", 1)), waiting.NewQueue()
	s.Table.Begin(now, "s1")
	for key, priorities := range [][2]int{{1, 0}, {0, 2}, {0, 1}} {
		r := request(uint64(key), "plain", "", priorities[1], time.Second)
		r.Team, r.TeamPriority = fmt.Sprint(key), priorities[0]
		_, done := q.Offer(now, r, s)
		assert.Assert(t, !done)
	}
	for _, want := range []uint64{2, 1, 0} {
		s.Table.End("s1")
		decisions := q.Dispatch(now, s)
		assert.Equal(t, len(decisions), 1)
		assert.Equal(t, decisions[0].Key, want)
	}
}

// TestCancelledRequestsTakeNoShare guards against a team whose requests wait for those of its own
// that were cancelled.
func TestCancelledRequestsTakeNoShare(t *testing.T) {
	s, q := state(server("s1", "plain", 1)), waiting.NewQueue()
	s.Table.Begin(now, "s1")
	for key := uint64(1); key <= 9; key++ {
		r := request(key, "plain", "", 0, time.Minute)
		r.Team, r.Cost = "leaves", 726
		if key > 5 && key < 9 {
			r.Team = "stays"
		}
		_, done := q.Offer(now, r, s)
		assert.Assert(t, !done)
	}
	for key := range uint64(6) {
		q.Cancel(now, key)
	}
	for _, want := range []uint64{6, 9, 7, 8} {
		s.Table.End("s1")
		assert.Equal(t, q.Dispatch(now, s)[0].Key, want)
	}
}

// TestRequestLargerThanKVCacheIsRejectedAtOnce guards against a request that waits, or is told to
// come again, although no server can ever hold it.
func TestRequestLargerThanKVCacheIsRejectedAtOnce(t *testing.T) {
	s, q := state(server("s1", "llm", 2, "m")), waiting.NewQueue()
	s.Services["llm"].Engine.KVCacheTokens = 1000
	r := request(1, "llm", "m", 0, 5*time.Second)
	r.Requirement.Tokens = 1001
	d, done := q.Offer(now, r, s)
	assert.Assert(t, done)
	assert.Equal(t, d.Refused, waiting.ExceedsCache)
	assert.Equal(t, d.RetryAfter, time.Duration(0))
	r.Key, r.Requirement.Tokens = 2, 1000
	d, done = q.Offer(now, r, s)
	assert.Assert(t, done && d.Server.ID == "s1")
	r.Key, r.Requirement.Tokens = 3, 10
	_, done = q.Offer(now, r, s)
	assert.Assert(t, !done, "a full KV cache means to wait")
	assert.DeepEqual(t, q.CacheWaiters(), map[string]int{"llm": 1})
	s.Table.EndSized("s1", replicas.Size{Tokens: 1000})
	assert.Equal(t, len(q.Dispatch(now, s)), 1)
}

// BenchmarkDecision measures the decision on a new request, and on all waiting ones, at the size
// in the page on competing callers: 300 nodes, 100 teams and 1,000 waiting requests. All wait for
// room in KV caches, as that takes longer to find out than that there is no slot.
func BenchmarkDecision(b *testing.B) {
	for _, models := range []int{1, 30} {
		s, q := state(), waiting.NewQueue()
		for i := range 90 {
			s.Table.SetEntry(now, server(fmt.Sprint("s", i), "llm", 512, fmt.Sprint("m", i%30), fmt.Sprint("m", (i+1)%30), fmt.Sprint("m", (i+2)%30)))
		}
		s.Services["llm"].Engine.KVCacheTokens = 171805
		for i := range 300 {
			counts, tokens := map[string]int{}, map[string]int{}
			for j := range 90 {
				counts[fmt.Sprint("s", j)], tokens[fmt.Sprint("s", j)] = 1, 3
			}
			s.Table.SetPeerLoad(now, fmt.Sprint(i), counts, time.Hour)
			s.Table.SetPeerTokens(fmt.Sprint(i), replicas.PeerTokens{Tokens: tokens, Waiting: map[string]int{"llm": 1}})
		}
		var names [2][100]string
		for i := range 100 {
			names[0][i], names[1][i] = fmt.Sprint("m", i%models), fmt.Sprint("team", i)
		}
		make := func(key uint64) waiting.Request {
			r := request(key, "llm", names[0][key%uint64(models)], 0, time.Minute+time.Duration(key%977)*time.Millisecond)
			r.Team, r.Cost, r.Requirement.Tokens = names[1][key*7%100], 726, 726
			return r
		}
		for key := range uint64(1000) {
			q.Offer(now, make(key), s)
		}
		name := fmt.Sprintf("%d_models", models)
		b.Run("Offer/"+name, func(b *testing.B) {
			b.ReportAllocs()
			for key := uint64(1000); b.Loop(); key++ {
				q.Offer(now, make(key), s)
				if key%100 == 99 { // the queue keeps its size
					b.StopTimer()
					for gone := key - 99; gone <= key; gone++ {
						q.Cancel(now, gone)
					}
					b.StartTimer()
				}
			}
		})
		b.Run("Dispatch/"+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				q.Dispatch(now, s)
			}
		})
	}
}
