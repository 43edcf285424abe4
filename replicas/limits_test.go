package replicas

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/pace"
)

// patterns are the loads of docs/design/competing-callers.md.
func patterns(nodes int) []pattern {
	usual := pattern{nodes: nodes, servers: *limitServers, slots: 16, base: 150 * time.Millisecond, hold: 600 * time.Millisecond, load: 0.5, affected: *limitServers / 4, restart: true,
		inTime: time.Second, before: 20 * time.Second}
	cold := func(name string, factor float64, slowFor, says time.Duration) pattern {
		p := usual
		p.name, p.factor, p.slowFor, p.says, p.window = name, factor, slowFor, says, slowFor+12*time.Second
		return p
	}
	half := cold("half of a service replaced, 4 times slower for 8 s", 4, 8*time.Second, 8*time.Second)
	half.affected = *limitServers / 2
	flap := cold("a flap each second for 20 s, 3 times slower", 3, 20*time.Second, 5*time.Second)
	flap.down = func(since time.Duration) bool { return since < 20*time.Second && since/time.Second%2 == 0 }
	alone := cold("the only server of a model, 4 times slower for 8 s", 4, 8*time.Second, 8*time.Second)
	alone.alone, alone.affected, alone.inTime = true, 1, 8*time.Second
	turned := cold("turns slow without a start, 6 times for 20 s", 6, 20*time.Second, 0)
	turned.restart, turned.reports = false, true
	far := cold("slow for one node in ten only", 1, 0, 0)
	far.restart = false
	far.far = func(node int) float64 {
		if node%10 == 0 {
			return 8
		}
		return 1
	}
	uneven := cold("5 times slower for 8 s, all requests at one node", 5, 8*time.Second, 8*time.Second)
	uneven.oneNode = true
	misreports := cold("says that it is slow and is not", 1, 0, time.Minute)
	silent := cold("is 5 times slower for 10 s and does not say so", 5, 10*time.Second, 0)
	return []pattern{
		cold("2 times slower for 1 s", 2, time.Second, time.Second), cold("2 times slower for 20 s", 2, 20*time.Second, 20*time.Second),
		cold("10 times slower for 1 s", 10, time.Second, time.Second), cold("10 times slower for 20 s", 10, 20*time.Second, 20*time.Second),
		half, flap, alone, turned, far, uneven, misreports, silent,
	}
}

// outcome is the mean of a strategy's figures over the seeds.
type outcome struct {
	inTime, late, unserved, used, fullShare float64
	before                                  int // nodes' choices before the event that knew a limit
}

func outcomeOf(p pattern, strategy string, seeds int) outcome {
	var o outcome
	for seed := range uint64(seeds) {
		s := play(p, strategy, seed)
		n := float64(s.offered * seeds)
		o.inTime, o.late, o.unserved = o.inTime+float64(s.served)/n, o.late+float64(s.late)/n, o.unserved+float64(s.unserved)/n
		after, used := s.fullShare()
		o.used, o.fullShare, o.before = o.used+used/float64(seeds), o.fullShare+float64(after)/float64(seeds), o.before+s.limited
	}
	return o
}

var (
	limitNodes   = flag.Int("limit-nodes", 9, "entry nodes in TestLimitPatterns")
	limitSeeds   = flag.Int("limit-seeds", 2, "plays of each pattern in TestLimitPatterns")
	limitServers = flag.Int("limit-servers", 12, "backend servers in TestLimitPatterns")
	limitAll     = flag.Bool("limit-all", false, "play the strategies that are not in use as well")
)

// TestLimitPatterns plays the patterns with each way to limit, and guards against limits that let
// more requests be late or unserved than no limits do, that leave a server idle for long after it
// answers as usual again, and that bind while no server has given a cause.
func TestLimitPatterns(t *testing.T) {
	for _, p := range patterns(*limitNodes) {
		t.Run(p.name, func(t *testing.T) {
			results := map[string]outcome{}
			for _, strategy := range strategies {
				if *limitAll || strategy == "none" || strategy == "multiplicative" {
					o := outcomeOf(p, strategy, *limitSeeds)
					results[strategy] = o
					t.Logf("| %s | %s | %.4f | %.4f | %.4f | %.2f | %.1f |", p.name, strategy, o.inTime, o.late, o.unserved, o.used, o.fullShare)
				}
			}
			o, none := results["multiplicative"], results["none"]
			const noise = 0.004 // of the shares that are late or unserved, between seeds
			assert.Check(t, o.late+o.unserved <= none.late+none.unserved+noise)
			assert.Check(t, o.fullShare >= 0 && o.fullShare <= 5, "full share after %.1f s", o.fullShare)
			assert.Equal(t, o.before, 0, "limits before any cause")
		})
	}
}

// limitTable returns a table with one server that starts and says that it is slow, and others, all of
// 16 slots.
func limitTable(others ...string) *Table {
	t := NewTable()
	for i, id := range append([]string{"slow"}, others...) {
		e := Entry{ID: id, Start: 1, Revision: 1, Service: "llm", Address: fmt.Sprintf("10.0.0.%d:80", i+1), Zone: "z", Slots: 16, Holds: []Holding{{Model: "m"}}}
		if i == 0 {
			e.ColdRemaining = 5 * time.Second
		}
		t.SetEntry(simEpoch, e)
	}
	return t
}

// chosen sends n requests and returns how many went to the server.
func chosen(t *Table, now time.Time, n int, id string) int {
	count := 0
	for range n {
		if e, result := t.Choose(now, Requirement{Service: "llm", Model: "m", Zone: "z"}); result == Chosen {
			t.Begin(now, e.ID)
			if e.ID == id {
				count++
			}
		}
	}
	return count
}

// TestLimitBindsWhileOthersAnswer guards against a server that is flooded after its start while
// another one has room, that is idle while callers are rejected, and against the only server of a
// model being held back.
func TestLimitBindsWhileOthersAnswer(t *testing.T) {
	tab := limitTable("other")
	assert.Equal(t, chosen(tab, simEpoch, 18, "slow"), 2)
	assert.Equal(t, chosen(tab, simEpoch, 20, "slow"), 6, "up to half its slots while all others are full")
	assert.Equal(t, chosen(limitTable(), simEpoch, 20, "slow"), 16)
	alone := limitTable("other")
	alone.Remove(simEpoch, "other", 1)
	assert.Equal(t, chosen(alone, simEpoch, 20, "slow"), 16)
}

// TestLimitFollowsStart guards against limits that outlive the start of a server, that a node which
// has just started puts in place of the others' newer ones, and that are taken from messages about
// another start.
func TestLimitFollowsStart(t *testing.T) {
	tab, now := limitTable("other"), simEpoch.Add(time.Second)
	state := pace.State{Limit: 8, At: simEpoch.Add(-10 * time.Second), Cause: pace.GoodAnswer}
	assert.Equal(t, len(tab.OwnLimits(now)), 0, "others know of the start as well")
	tab.AdoptLimit(now, ServerLimit{ID: "slow", Start: 2, State: state})
	assert.Equal(t, tab.Limits(now)[0].Limit, 2.0)
	tab.AdoptLimit(now, ServerLimit{ID: "slow", Start: 1, State: state})
	assert.Equal(t, tab.Limits(now)[0].Limit, 8.0)
	e, _ := tab.Entry("slow")
	e.Start, e.Revision, e.Software, e.ColdRemaining = 2, 2, "v2", 0
	tab.SetEntry(now, e)
	assert.Equal(t, tab.Limits(now)[0].Limit, 2.0, "a new start, though it does not say that it is slow")
	changes := tab.TakeLimitChanges()
	assert.Equal(t, changes[len(changes)-1].Cause, pace.Started)
}

// TestLimitAfterRecoveryAndLoad guards against a server that is flooded after it could not be
// reached, was ejected, or has loaded a model, and against a limit below the load that it carries.
func TestLimitAfterRecoveryAndLoad(t *testing.T) {
	now := simEpoch
	for cause, event := range map[pace.Cause]func(*Table){
		pace.Recovered: func(tab *Table) {
			tab.Observe(now, "other", Unreachable, 0)
			tab.Observe(now.Add(time.Second), "other", Answered, 0)
		},
		pace.Loaded: func(tab *Table) {
			tab.SetServerStatus(now, ServerStatus{ID: "other", Start: 1, Holds: []Holding{{Model: "m"}, {Model: "n"}}})
		},
	} {
		tab := limitTable("other", "third")
		tab.SetPeerLoad(now, "peer", map[string]int{"other": 5}, time.Minute)
		event(tab)
		chosen(tab, now.Add(time.Second), 1, "other")
		limits := tab.Limits(now.Add(time.Second))
		assert.Equal(t, limits[0].ID, "other")
		assert.Equal(t, limits[0].Cause, cause)
		assert.Equal(t, limits[0].Limit, 5.0)
		tab.Rejected(now.Add(2*time.Second), "other")
		assert.Equal(t, tab.Limits(now.Add(2 * time.Second))[0].Limit, 3.5)
	}
}

// TestServicesWithoutCauseHaveNoLimits guards against limits in deployments whose servers never say
// that they are slow and never turn slow, whatever else happens to them.
func TestServicesWithoutCauseHaveNoLimits(t *testing.T) {
	tab, now := limitTable(), simEpoch
	for i := range 3 {
		tab.SetEntry(now, Entry{ID: fmt.Sprint("s", i), Start: 1, Revision: 1, Service: "plain", Address: "10.0.1.1:80", Zone: "z", Slots: 6})
	}
	for range 50 {
		now = now.Add(500 * time.Millisecond)
		for i, o := range []Observation{Answered, Answered, Failed, Unreachable} {
			tab.Observe(now, fmt.Sprint("s", i%3), o, 30*time.Millisecond)
			tab.Rejected(now, "s2")
		}
		_, _ = tab.Choose(now, Requirement{Service: "plain", Zone: "z"})
	}
	assert.Equal(t, len(tab.Limits(now)), 0)
	tab.SetEntry(now, Entry{ID: "s0", Start: 2, Revision: 2, Service: "plain", Address: "10.0.1.1:80", Zone: "z", Slots: 6})
	assert.Equal(t, len(tab.Limits(now)), 0)
	assert.Equal(t, len(tab.TakeLimitChanges()), 2, "of the server that says that it is slow")
}

// TestFalseReportIsDoubted guards against a sound server that always reports to be slow and gets a limit
// with each of its slower answers.
func TestFalseReportIsDoubted(t *testing.T) {
	tab, now := limitTable("other", "false"), simEpoch
	answer := func(id string, took time.Duration, reported float64) int {
		now = now.Add(time.Second)
		tab.SetReportedLoad(now, id, ReportedLoad{Requests: 4, Pace: reported})
		tab.Observe(now, id, Answered, took)
		return len(slices.DeleteFunc(tab.Limits(now), func(l ServerLimit) bool { return l.ID == "slow" }))
	}
	for range 40 {
		answer("other", 100*time.Millisecond, 1)
	}
	assert.Equal(t, answer("false", 100*time.Millisecond, 6), 0, "a report alone")
	assert.Equal(t, answer("false", 600*time.Millisecond, 6), 1)
	for range 3 {
		answer("false", 100*time.Millisecond, 6)
	}
	assert.Equal(t, answer("false", 600*time.Millisecond, 6), 0, "good answers have contradicted it")
	answer("false", 100*time.Millisecond, 1)
	assert.Equal(t, answer("false", 600*time.Millisecond, 6), 1)
}

// BenchmarkChooseLimited measures one choice of a server, half of which have limits.
func BenchmarkChooseLimited(b *testing.B) {
	for _, c := range []struct{ nodes, limited int }{{9, 0}, {9, 45}, {90, 0}, {90, 45}, {300, 0}, {300, 45}} {
		nodes := c.nodes
		b.Run(fmt.Sprintf("%d_nodes_%d_limits", c.nodes, c.limited), func(b *testing.B) {
			tab, now := limitTable(), simEpoch
			for i := range 90 {
				e := Entry{ID: fmt.Sprint("i-", i), Start: 1, Revision: 1, Service: "llm", Address: "10.0.1.1:80", Zone: "z", Slots: 16, Holds: []Holding{{Model: "m"}}}
				if i < c.limited {
					e.ColdRemaining = time.Hour
				}
				tab.SetEntry(now, e)
			}
			for i := range nodes - 1 {
				tab.SetPeerLoad(now, fmt.Sprint("ip", i), map[string]int{fmt.Sprint("i-", i%90): 1}, time.Hour)
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				tab.Choose(now, Requirement{Service: "llm", Model: "m", Zone: "z"})
			}
		})
	}
}
