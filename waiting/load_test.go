package waiting_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

// urgent is a latency-sensitive stream: its first event is due within 500 ms.
var urgent = call{model: "common", tokens: 726, limit: 2 * time.Second, first: 50 * ms, hold: time.Second}

// capacity of servers(4, 16) with requests that take a second.
const perSecond = 64.0

// TestTeamAtSevenTimesItsLoad guards against a team whose burst delays the other teams of its
// rank. The load: eight teams, one of them a quarter of it, which comes at seven times its usual
// load for 8 s.
func TestTeamAtSevenTimesItsLoad(t *testing.T) {
	build := func() *load {
		l := &load{servers: servers(4, 16), cache: 171805}
		for i := range 8 {
			c, share := urgent, 0.75/7
			c.team = fmt.Sprint("team", i)
			if i == 0 {
				share = 0.25
				l.calls = append(l.calls, stream(100, 6*share*0.7*perSecond, 4*time.Second, 12*time.Second, c)...)
			}
			l.calls = append(l.calls, stream(uint64(i), share*0.7*perSecond, 0, 20*time.Second, c)...)
		}
		return l
	}
	_, after := compare(t, build, "team0")
	others := after.outcomeOf(func(c *call) bool { return c.team != "team0" })
	t.Logf("other teams: %v", others)
	assert.Assert(t, others.inTimeShare() >= 0.99, "%v", others)
	assert.Assert(t, others.p99 <= 500*ms, "first events of the other teams are due within 500 ms: %v", others)
	flood := after.outcomeOf(func(c *call) bool { return c.team == "team0" })
	assert.Assert(t, flood.rejectedLate <= flood.rejected/20, "the others' requests that come later are not foreseen: %v", flood)
}

// TestBurstOfStreamsOnRareModels guards against latency-tolerant streams to models with one
// server each that take the slots of latency-sensitive ones there. The load: they come at 2.4
// times the usual load for 6 s.
func TestBurstOfStreamsOnRareModels(t *testing.T) {
	build := func() *load {
		l := &load{servers: servers(4, 16), cache: 171805}
		sensitive := urgent
		sensitive.team = "a"
		l.calls = stream(1, 0.5*perSecond, 0, 16*time.Second, sensitive)
		for i := range 4 {
			tolerant := call{model: fmt.Sprint("rare", i), team: "b", rank: 2, tokens: 800, limit: 8 * time.Second, first: 100 * ms, hold: 2 * time.Second}
			l.calls = append(l.calls, stream(uint64(10+i), 1.5, 0, 16*time.Second, tolerant)...)
			l.calls = append(l.calls, stream(uint64(20+i), 1.4*1.5, 4*time.Second, 10*time.Second, tolerant)...)
		}
		return l
	}
	_, after := compare(t, build, "")
	sensitive := after.outcomeOf(func(c *call) bool { return c.team == "a" })
	tolerant := after.outcomeOf(func(c *call) bool { return c.team == "b" })
	t.Logf("latency-sensitive: %v; latency-tolerant: %v", sensitive, tolerant)
	assert.Assert(t, sensitive.inTimeShare() >= 0.99, "%v", sensitive)
	assert.Equal(t, tolerant.late, 0)
}

// TestLargeRequestsAlongsideSmallOnes guards against servers that hold more than their KV cache,
// and against small requests that wait for large ones although there is room. The load: prompts
// of 9,190 tokens that come faster than the KV caches take them, alongside streams.
func TestLargeRequestsAlongsideSmallOnes(t *testing.T) {
	const cache = 211383
	build := func() *load {
		l := &load{servers: servers(2, 48), cache: cache}
		small, large := urgent, call{model: "common", team: "large", rank: 1, tokens: 9190, limit: 3 * time.Second, first: 700 * ms, hold: 4 * time.Second}
		small.team = "small"
		l.calls = append(stream(1, 24, 0, 20*time.Second, small), stream(2, 12, 0, 20*time.Second, large)...)
		return l
	}
	before, after := compare(t, build, "")
	small := after.outcomeOf(func(c *call) bool { return c.team == "small" })
	t.Logf("small: %v; large: %v", small, after.outcomeOf(func(c *call) bool { return c.team == "large" }))
	assert.Assert(t, before.mostTokens > cache, "the load must exceed the KV cache without the bound")
	assert.Assert(t, after.mostTokens <= cache)
	assert.Assert(t, small.inTimeShare() >= 0.99, "%v", small)
}

// TestNodesTogetherKeepWithinKVCache guards against nodes that each see room in the same KV cache
// and fill it together. The load: prompts of 9,190 tokens that need 70% of the caches, at 9 and 30
// nodes, and more than the caches hold, at 9 nodes.
func TestNodesTogetherKeepWithinKVCache(t *testing.T) {
	const cache = 211383
	for _, size := range []struct {
		nodes, servers int
		interval       time.Duration
		rate           float64 // of large requests, per server
	}{{9, 9, 200 * ms, 4}, {9, 9, 200 * ms, 6}, {9, 9, 203 * ms, 6}, {30, 20, 600 * ms, 4}} {
		build := func() *load {
			l := &load{nodes: size.nodes, interval: size.interval, servers: servers(size.servers, 48), cache: cache}
			small, large := urgent, call{model: "common", team: "large", rank: 1, tokens: 9190, limit: 3 * time.Second, first: 700 * ms, hold: 4 * time.Second}
			small.team = "small"
			l.calls = append(stream(1, 12*float64(size.servers), 0, 8*time.Second, small), stream(2, size.rate*float64(size.servers), 0, 8*time.Second, large)...)
			return l
		}
		t.Logf("%+v", size)
		_, after := compare(t, build, "large")
		assert.Assert(t, after.mostTokens <= cache, "%+v", size)
		small := after.outcomeOf(func(c *call) bool { return c.team == "small" })
		assert.Assert(t, small.inTimeShare() >= 0.99, "%v", small)
	}
}

// TestCallersThatRetryImmediately guards against a team whose callers come again at once after
// each rejection, which must not gain a larger share, nor delay the other teams.
func TestCallersThatRetryImmediately(t *testing.T) {
	build := func() *load {
		l := &load{servers: servers(4, 16), cache: 171805}
		eager, patient := urgent, urgent
		eager.team, eager.retries, patient.team = "eager", 20, "patient"
		l.calls = append(stream(1, 2.5*perSecond, 2*time.Second, 8*time.Second, eager), stream(2, 0.4*perSecond, 0, 10*time.Second, patient)...)
		return l
	}
	_, after := compare(t, build, "eager")
	patient := after.outcomeOf(func(c *call) bool { return c.team == "patient" })
	assert.Assert(t, patient.inTimeShare() >= 0.99, "%v", patient)
	assert.Assert(t, patient.p99 <= 500*ms, "%v", patient)
}

// TestCallersThatDisconnect guards against requests that count in their team's share although
// their callers left while they waited: the team's other requests would wait for them.
func TestCallersThatDisconnect(t *testing.T) {
	build := func() *load {
		l := &load{servers: servers(4, 16), cache: 171805}
		for _, team := range []string{"stays", "leaves"} {
			c := urgent
			c.team = team
			l.calls = append(l.calls, stream(uint64(len(team)), 0.4*perSecond, 0, 12*time.Second, c)...)
			if team == "leaves" {
				c.leaves = 300 * ms
				l.calls = append(l.calls, stream(9, 2*perSecond, 2*time.Second, 8*time.Second, c)...)
			}
		}
		return l
	}
	_, after := compare(t, build, "leaves")
	stays := after.outcomeOf(func(c *call) bool { return c.team == "stays" })
	assert.Assert(t, stays.inTimeShare() >= 0.99, "%v", stays)
	assert.Assert(t, stays.p99 <= 500*ms, "%v", stays)
}

// TestShortSpikeLosesNothing guards against an expected wait that rejects what would have been
// served: 300 ms at three times the capacity, whose backlog is served well before the deadlines.
func TestShortSpikeLosesNothing(t *testing.T) {
	build := func() *load {
		l := &load{servers: servers(4, 16), cache: 171805, calls: stream(1, 0.6*perSecond, 0, 6*time.Second, urgent)}
		l.calls = append(l.calls, stream(2, 2.4*perSecond, 2*time.Second, 2300*ms, urgent)...)
		return l
	}
	_, after := compare(t, build, "none")
	o := after.outcomeOf(all)
	assert.Equal(t, o.inTime, o.calls, "%v", o)
}

// TestLastingBurstIsRejectedEarly guards against requests that are held until their deadline
// although the burst was foreseeably too much for the servers: 6 s at three times the capacity.
func TestLastingBurstIsRejectedEarly(t *testing.T) {
	for seed := range uint64(5) {
		build := func() *load {
			l := &load{servers: servers(4, 16), cache: 171805, calls: stream(2*seed, 0.6*perSecond, 0, 10*time.Second, urgent)}
			l.calls = append(l.calls, stream(2*seed+1, 2.4*perSecond, 2*time.Second, 8*time.Second, urgent)...)
			return l
		}
		_, after := compare(t, build, "none")
		o := after.outcomeOf(all)
		assert.Equal(t, o.rejectedLate, 0, "seed %d: %v", seed, o)
		assert.Equal(t, o.late, 0, "seed %d: %v", seed, o)
		busy := after.busyShare(3*time.Second, 8*time.Second)
		assert.Assert(t, busy >= 0.99, "seed %d: the servers are idle while requests are rejected: %.3f", seed, busy)
	}
}

// TestLastingBurstAtSeveralNodes guards against estimates that hold for a node with servers of its
// own only. Nodes that share servers can't foresee their parts exactly: of what is rejected, 1%
// may come later than a second after the request.
func TestLastingBurstAtSeveralNodes(t *testing.T) {
	build := func() *load {
		const full = 9 * 48.0
		l := &load{servers: servers(9, 48), nodes: 9, interval: 200 * ms, calls: stream(1, 0.6*full, 0, 6*time.Second, urgent)}
		l.calls = append(l.calls, stream(2, 2.4*full, 2*time.Second, 6*time.Second, urgent)...)
		return l
	}
	_, after := compare(t, build, "none")
	o := after.outcomeOf(all)
	assert.Assert(t, o.rejectedLate <= o.rejected/100, "%v", o)
	assert.Equal(t, o.late, 0, "%v", o)
	busy := after.busyShare(3*time.Second, 6*time.Second)
	assert.Assert(t, busy >= 0.99, "the servers are idle while requests are rejected: %.3f", busy)
}
