package replicas_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/replicas"
)

var now = time.Unix(1000, 0)

func entry(id, zone string, models ...string) replicas.Entry {
	e := replicas.Entry{ID: id, Revision: 10, Start: 1, Service: "llm", Address: id + ":80", Zone: zone, Slots: 4}
	for _, m := range models {
		e.Holds = append(e.Holds, replicas.Holding{Model: m, Adapters: []string{"a1"}})
	}
	return e
}

func table(entries ...replicas.Entry) *replicas.Table {
	t := replicas.NewTable()
	for _, e := range entries {
		t.SetEntry(now, e)
	}
	return t
}

func requirement(model, adapter string) replicas.Requirement {
	return replicas.Requirement{Service: "llm", Model: model, Adapter: adapter, Zone: "z1"}
}

func choose(t *testing.T, tab *replicas.Table, r replicas.Requirement, at time.Time) string {
	t.Helper()
	e, result := tab.Choose(at, r)
	if result != replicas.Chosen {
		return result.String()
	}
	return e.ID
}

func TestChoosePrefersServerWithModelInZone(t *testing.T) {
	tab := table(entry("s1", "z2", "m"), entry("s2", "z1", "m"), entry("s3", "z1", "other"))
	assert.Equal(t, choose(t, tab, requirement("m", ""), now), "s2")
	assert.Equal(t, choose(t, tab, requirement("m", "a1"), now), "s2")
	assert.Equal(t, choose(t, tab, requirement("m", "a2"), now), "no_model")
	assert.Equal(t, choose(t, tab, requirement("none", ""), now), "no_model")
	assert.Equal(t, choose(t, tab, replicas.Requirement{Service: "x"}, now), "no_server")
}

func TestChooseCountsRequestsInFlightOfAllNodes(t *testing.T) {
	tab := table(entry("s1", "z1", "m"), entry("s2", "z2", "m"))
	tab.Begin(now, "s1")
	assert.Equal(t, choose(t, tab, requirement("m", ""), now), "s2")
	tab.SetPeerLoad(now, "peer", map[string]int{"s2": 3}, 0)
	assert.Equal(t, choose(t, tab, requirement("m", ""), now), "s1")
	for range 3 {
		tab.Begin(now, "s1")
	}
	tab.SetPeerLoad(now, "peer", map[string]int{"s2": 4}, 0)
	assert.Equal(t, choose(t, tab, requirement("m", ""), now), "full")
	// Counts of a peer that sends no more messages are ignored.
	assert.Equal(t, choose(t, tab, requirement("m", ""), now.Add(time.Minute)), "s2")
}

func TestDrainingServerIsNotChosen(t *testing.T) {
	draining := entry("s1", "z1", "m")
	draining.Draining = true
	assert.Equal(t, choose(t, table(draining), requirement("m", ""), now), "all_leaving")
}

// TestOlderEntryDoesNotReviveDrainingServer checks that a peer's report that a
// server is draining is not undone by an older entry, which the node's own, slower
// watch may deliver later.
func TestOlderEntryDoesNotReviveDrainingServer(t *testing.T) {
	tab := table(entry("s1", "z1", "m"))
	assert.Assert(t, tab.MarkDraining("s1", 20))
	older := entry("s1", "z1", "m")
	older.Revision = 15
	assert.Assert(t, !tab.SetEntry(now, older))
	assert.Equal(t, choose(t, tab, requirement("m", ""), now), "all_leaving")
	newer := entry("s1", "z1", "m")
	newer.Revision = 21
	assert.Assert(t, tab.SetEntry(now, newer))
	assert.Equal(t, choose(t, tab, requirement("m", ""), now), "s1")
}

func TestOlderEntryDoesNotReviveRemovedServer(t *testing.T) {
	tab := table(entry("s1", "z1", "m"))
	tab.Remove(now, "s1", 12)
	late := entry("s1", "z1", "m")
	late.Revision = 12
	assert.Assert(t, !tab.SetEntry(now, late))
	assert.Equal(t, choose(t, tab, requirement("m", ""), now), "no_server")
	late.Revision = 13
	assert.Assert(t, tab.SetEntry(now, late))
}

func TestEntryExpiredInStoreOutageMayReturn(t *testing.T) {
	tab := table(entry("s1", "z1", "m"), entry("s2", "z1", "m"))
	tab.MarkExpired("s1", now.Add(2*time.Second))
	tab.MarkExpired("s2", now.Add(2*time.Second))
	tab.SetEntry(now, entry("s1", "z1", "m"))
	assert.Equal(t, len(tab.RemoveExpired(now.Add(time.Second))), 0)
	assert.Assert(t, tab.AnyExpired())
	removed := tab.RemoveExpired(now.Add(2 * time.Second))
	assert.Equal(t, len(removed), 1)
	assert.Equal(t, removed[0].ID, "s2")
	assert.Assert(t, !tab.AnyExpired())
	assert.Equal(t, choose(t, tab, requirement("m", ""), now), "s1")
}

func TestServerStatusOverridesEntry(t *testing.T) {
	tab := table(entry("s1", "z1", "old"))
	tab.SetServerStatus(now, replicas.ServerStatus{ID: "s1", Start: 1, Holds: []replicas.Holding{{Model: "new"}, {Model: "unloading"}}, Unloading: "unloading"})
	assert.Equal(t, choose(t, tab, requirement("new", ""), now), "s1")
	assert.Equal(t, choose(t, tab, requirement("unloading", ""), now), "no_model")
	assert.Equal(t, choose(t, tab, requirement("old", ""), now), "no_model")
	// An outdated status is ignored in favour of the entry.
	assert.Equal(t, choose(t, tab, requirement("old", ""), now.Add(time.Minute)), "s1")
	// A status of an earlier start of the server is ignored.
	tab.SetServerStatus(now, replicas.ServerStatus{ID: "s1", Start: 0, Holds: []replicas.Holding{{Model: "x"}}})
	assert.Equal(t, choose(t, tab, requirement("x", ""), now), "no_model")
}

func TestServerRestartDiscardsStatus(t *testing.T) {
	tab := table(entry("s1", "z1", "m"))
	tab.SetServerStatus(now, replicas.ServerStatus{ID: "s1", Start: 1, Holds: []replicas.Holding{{Model: "m"}}})
	restarted := entry("s1", "z1")
	restarted.Start, restarted.Revision = 2, 11
	tab.SetEntry(now, restarted)
	assert.Equal(t, choose(t, tab, requirement("m", ""), now), "no_model")
}

func TestMarkAbsentSkipsServerTemporarily(t *testing.T) {
	tab := table(entry("s1", "z1", "m"))
	tab.MarkAbsent(now, "s1", "m", "")
	assert.Equal(t, choose(t, tab, requirement("m", ""), now), "no_model")
	assert.Equal(t, choose(t, tab, requirement("m", ""), now.Add(time.Second)), "s1")
}

// TestDegradedServerIsEjected checks that a server that fails half of its requests
// is avoided although its entry is unchanged.
func TestDegradedServerIsEjected(t *testing.T) {
	tab := table(entry("s1", "z1", "m"), entry("s2", "z2", "m"), entry("s3", "z2", "m"))
	for i := range 20 {
		at := now.Add(time.Duration(i) * 50 * time.Millisecond)
		tab.Observe(at, "s2", replicas.Answered, 20*time.Millisecond)
		tab.Observe(at, "s3", replicas.Answered, 20*time.Millisecond)
		if i%2 == 0 {
			tab.Observe(at, "s1", replicas.Failed, 0)
		} else {
			tab.Observe(at, "s1", replicas.Answered, 20*time.Millisecond)
		}
	}
	at := now.Add(time.Second)
	assert.Assert(t, choose(t, tab, requirement("m", ""), at) != "s1")
	// It is still chosen if there is no other server, and again once the
	// observations are old.
	withoutOthers := requirement("m", "")
	withoutOthers.Excluded = []replicas.Exclusion{{ID: "s2", Start: 1}, {ID: "s3", Start: 1}}
	assert.Equal(t, choose(t, tab, withoutOthers, at), "s1")
	assert.Equal(t, choose(t, tab, requirement("m", ""), at.Add(time.Minute)), "s1")
}

// TestErrorsOfAllServersEjectNone checks that no server is ejected if all fail
// alike, as the fault is then in the requests.
func TestErrorsOfAllServersEjectNone(t *testing.T) {
	tab := table(entry("s1", "z1", "m"), entry("s2", "z2", "m"))
	for i := range 20 {
		for _, id := range []string{"s1", "s2"} {
			o := replicas.Answered
			if i%3 == 0 {
				o = replicas.Failed
			}
			tab.Observe(now, id, o, 0)
		}
	}
	assert.Equal(t, choose(t, tab, requirement("m", ""), now), "s1")
}

func TestSlowServerIsEjected(t *testing.T) {
	tab := table(entry("s1", "z1", "m"), entry("s2", "z2", "m"), entry("s3", "z2", "m"), entry("s4", "z2", "m"))
	for range 10 {
		tab.Observe(now, "s1", replicas.Answered, 400*time.Millisecond)
		for _, id := range []string{"s2", "s3", "s4"} {
			tab.Observe(now, id, replicas.Answered, 20*time.Millisecond)
		}
	}
	assert.Assert(t, choose(t, tab, requirement("m", ""), now) != "s1")
}

func TestUnreachableServerIsReportedAndRecovers(t *testing.T) {
	tab, peer := table(entry("s1", "z1", "m"), entry("s2", "z2", "m")), table(entry("s1", "z1", "m"), entry("s2", "z2", "m"))
	tab.Observe(now, "s1", replicas.Unreachable, 0)
	assert.DeepEqual(t, tab.Unreachable(now), []string{"s1"})
	peer.MarkUnreachable(now, "s1")
	assert.Equal(t, choose(t, peer, requirement("m", ""), now), "s2")
	assert.Equal(t, len(peer.Unreachable(now)), 0, "a peer's report must not be passed on")
	assert.Assert(t, !peer.Disconnected(now, "s1"))
	peer.MarkUnreachable(now.Add(time.Second), "s1")
	assert.Assert(t, peer.Disconnected(now.Add(time.Second), "s1"))
	peer.Observe(now.Add(time.Second), "s1", replicas.Answered, 0)
	assert.Assert(t, !peer.Disconnected(now.Add(time.Second), "s1"))
	assert.Equal(t, choose(t, peer, requirement("m", ""), now.Add(time.Second)), "s1")
}

// TestLongSharedPromptPrefersSameServerOnAllNodes checks that all nodes send
// requests with a long shared prompt to the same server, which has the prompt
// cached, unless that server is full.
func TestLongSharedPromptPrefersSameServerOnAllNodes(t *testing.T) {
	var entries []replicas.Entry
	for i := range 6 {
		entries = append(entries, entry(fmt.Sprint("s", i), fmt.Sprint("z", i%3), "m"))
	}
	long := requirement("m", "")
	long.SharedTokens, long.PrefixKey = 6300, "manual"
	tab := table(entries...)
	preferred := choose(t, tab, long, now)
	for _, zone := range []string{"z0", "z1", "z2"} {
		otherZone := long
		otherZone.Zone = zone
		assert.Equal(t, choose(t, table(entries...), otherZone, now), preferred)
	}
	for range 4 {
		tab.Begin(now, preferred)
	}
	assert.Assert(t, choose(t, tab, long, now) != preferred)
}

func TestReadyAtReturnsEarliestLoadEnd(t *testing.T) {
	tab := table(entry("s1", "z1"), entry("s2", "z1"))
	_, known := tab.ReadyAt(now, replicas.Requirement{Service: "llm", Model: "m"})
	assert.Assert(t, !known)
	tab.SetServerStatus(now, replicas.ServerStatus{ID: "s1", Start: 1, Loading: "m", LoadEnds: now.Add(6 * time.Second)})
	tab.SetServerStatus(now, replicas.ServerStatus{ID: "s2", Start: 1, Loading: "m", LoadEnds: now.Add(time.Second)})
	at, known := tab.ReadyAt(now, replicas.Requirement{Service: "llm", Model: "m"})
	assert.Assert(t, known)
	assert.Equal(t, at, now.Add(time.Second))
}

func TestShortestLoadTimeUsesFastestSource(t *testing.T) {
	onDisk, inMemory := entry("s1", "z1"), entry("s2", "z1")
	onDisk.OnDisk, inMemory.InMemory = []string{"d", "m"}, []string{"m"}
	tab := table(onDisk, inMemory)
	shortest := func(model string) time.Duration {
		return tab.ShortestLoadTime(replicas.Requirement{Service: "llm", Model: model}, 400*time.Millisecond, time.Second, 6*time.Second)
	}
	assert.Equal(t, shortest("m"), 400*time.Millisecond)
	assert.Equal(t, shortest("d"), time.Second)
	assert.Equal(t, shortest("x"), 6*time.Second)
}
