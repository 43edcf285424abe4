package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// Times that the users state for today's size.
const (
	crashBound = 5 * time.Second
	leaveBound = 2 * time.Second
	todaySize  = 9
)

// formed returns a network of nodes that all know each other.
func formed(t testing.TB, seed uint64, count int) *network {
	n := newNetwork(t, seed)
	n.startAll(count)
	n.within(time.Minute, "the cluster forms", func() bool { return n.whole(count) })
	return n
}

func TestCrashIsFoundInTime(t *testing.T) {
	for seed := range uint64(20) {
		for _, loss := range []float64{0, 0.05} {
			n := formed(t, seed, todaySize)
			n.loss = loss
			n.run(time.Duration(seed) * 130 * time.Millisecond)
			delete(n.hosts, addrOf(4))
			n.within(crashBound, fmt.Sprintf("crash, seed %d, loss %v", seed, loss), func() bool { return n.allSee(nameOf(4), StateDead) })
		}
	}
}

func TestPlannedLeaveIsKnownInTime(t *testing.T) {
	for seed := range uint64(20) {
		n := formed(t, seed, todaySize)
		n.loss = 0.05
		n.carry(addrOf(4), n.host(4).core.Leave(n.now))
		n.within(leaveBound, "leave", func() bool { return n.allSee(nameOf(4), StateLeaving) })
		n.carry(addrOf(4), n.host(4).core.Left(n.now))
		delete(n.hosts, addrOf(4))
		n.within(leaveBound, "left", func() bool { return n.allSee(nameOf(4), StateLeft) })
		for _, h := range n.hosts {
			assert.Assert(t, !h.has(EventSuspect, nameOf(4)))
		}
	}
}

func TestCrashWhileLeavingIsFound(t *testing.T) {
	n := formed(t, 1, todaySize)
	n.carry(addrOf(4), n.host(4).core.Leave(n.now))
	n.run(2 * time.Second)
	delete(n.hosts, addrOf(4))
	n.within(crashBound, "crash", func() bool { return n.allSee(nameOf(4), StateDead) })
}

func TestLossAloneKillsNobody(t *testing.T) {
	n := formed(t, 7, todaySize)
	n.loss = 0.1
	n.run(5 * time.Minute)
	for _, h := range n.hosts {
		for i := range todaySize {
			assert.Assert(t, !h.has(EventDead, nameOf(i)), "%s took %s for dead", h.core.Self().ID, nameOf(i))
		}
	}
}

func TestOneWayLossKillsNobody(t *testing.T) {
	n := formed(t, 3, todaySize)
	n.cut = func(from, to string) bool { return from == addrOf(2) && to == addrOf(5) }
	n.run(time.Minute)
	for _, h := range n.hosts {
		assert.Assert(t, !h.has(EventDead, nameOf(2)))
		assert.Assert(t, !h.has(EventDead, nameOf(5)))
	}
	assert.Assert(t, n.whole(todaySize))
}

func TestZoneCutOffAndBack(t *testing.T) {
	n := formed(t, 4, todaySize)
	inZone := func(addr string) bool { return addr == addrOf(2) || addr == addrOf(5) || addr == addrOf(8) }
	n.cut = func(from, to string) bool { return inZone(from) != inZone(to) }
	n.within(10*time.Second, "both sides see the cut", func() bool {
		return countAlive(n.host(0).core) == 6 && countAlive(n.host(2).core) == 3
	})
	assert.NilError(t, n.host(0).core.Broadcast(n.now, Item{Kind: ItemRelease, Key: "head", Version: 9}))
	n.run(2 * time.Minute)
	n.cut = nil
	n.within(20*time.Second, "the sides find each other", func() bool { return n.whole(todaySize) })
	n.within(10*time.Second, "the item crosses", func() bool {
		item, ok := n.host(8).core.Item(n.now, ItemRelease, "head")
		return ok && item.Version == 9
	})
	assert.Assert(t, n.host(2).has(EventSelfDead, nameOf(2)))
}

func TestPausedNodeMustNotAct(t *testing.T) {
	n := formed(t, 5, todaySize)
	h := n.host(3)
	before := h.core.Self().Incarnation
	h.paused = true
	n.within(crashBound, "the pause looks like a crash", func() bool { return n.allSee(nameOf(3), StateDead) })
	n.run(10 * time.Second)
	assert.Assert(t, !h.core.Awake(n.now), "before the first tick")
	n.resume(addrOf(3))
	assert.Assert(t, !h.core.Awake(n.now), "datagrams from before prove nothing")
	assert.Assert(t, h.has(EventPaused, nameOf(3)))
	n.within(5*time.Second, "the node is back", func() bool { return n.whole(todaySize) })
	assert.Assert(t, h.has(EventSelfDead, nameOf(3)))
	assert.Assert(t, h.core.Self().Incarnation > before)
	assert.Assert(t, SameRun(h.core.Self().Incarnation, before))
	for i := range todaySize {
		assert.Assert(t, !h.has(EventDead, nameOf(i)), "a node that wakes must not blame the others")
	}
}

func TestPausedAndCutOffNodeMustNotAct(t *testing.T) {
	n := formed(t, 6, todaySize)
	h := n.host(3)
	h.paused = true
	n.run(3 * time.Second)
	n.cut = func(from, to string) bool { return from == addrOf(3) || to == addrOf(3) }
	n.resume(addrOf(3))
	for range 20 {
		n.run(TickInterval)
		assert.Assert(t, !h.core.Awake(n.now))
	}
}

func TestAllButOneReplaced(t *testing.T) {
	n := formed(t, 8, todaySize)
	assert.NilError(t, n.host(0).core.Broadcast(n.now, Item{Kind: ItemController, Key: "sk-central", Version: 3, Value: []byte("entry-000")}))
	for i := 1; i < todaySize; i++ {
		n.run(6 * time.Second)
		delete(n.hosts, addrOf(i))
		n.start(100+i, addrOf(100+i), addrOf(0), addrOf(1))
	}
	n.within(10*time.Second, "new nodes only", func() bool { return n.whole(todaySize) })
	item, ok := n.host(108).core.Item(n.now, ItemController, "sk-central")
	assert.Assert(t, ok)
	assert.Equal(t, string(item.Value), "entry-000")
	n.run(DefaultSettings().RetainGone + time.Minute)
	for _, h := range n.hosts {
		assert.Equal(t, len(h.core.Members()), todaySize, "replaced nodes are forgotten")
	}
}

func TestSameNameReplacesItsEarlierRun(t *testing.T) {
	n := formed(t, 9, todaySize)
	old := n.host(4).core.Self()
	late := n.host(4).core.Tick(n.now.Add(TickInterval))
	delete(n.hosts, addrOf(4))
	n.run(300 * time.Millisecond)
	h := n.start(4, addrOf(40), addrOf(0), addrOf(1))
	n.within(10*time.Second, "the new run is known", func() bool { return n.whole(todaySize) })
	assert.Assert(t, n.host(0).has(EventIncarnation, nameOf(4)))
	assert.Assert(t, !h.has(EventNameTaken, nameOf(4)))
	members := n.host(0).core.Members()
	for _, o := range late.Packets {
		n.carry(o.Addr, n.hosts[o.Addr].core.Receive(n.now, o.Data))
	}
	assert.DeepEqual(t, n.host(0).core.Members(), members)
	m, _ := n.host(0).core.Member(nameOf(4))
	assert.Assert(t, m.Incarnation > old.Incarnation)
}

func TestSecondNodeOfARunningNameGivesWay(t *testing.T) {
	n := formed(t, 10, todaySize)
	n.run(10 * time.Second)
	second := n.start(4, addrOf(40), addrOf(0), addrOf(1))
	n.within(5*time.Second, "the second node finds its name taken", func() bool { return second.has(EventNameTaken, nameOf(4)) })
	assert.Assert(t, !second.core.Awake(n.now))
	delete(n.hosts, addrOf(40))
	n.within(20*time.Second, "the first node goes on", func() bool { return n.whole(todaySize) })
	m, _ := n.host(0).core.Member(nameOf(4))
	assert.Equal(t, m.GossipAddr, addrOf(4))
	assert.Assert(t, !n.host(0).has(EventIncarnation, nameOf(4)))
}

func TestWholeClusterRestartsAtOnce(t *testing.T) {
	n := formed(t, 11, todaySize)
	n.hosts = map[string]*host{}
	n.run(time.Second)
	n.startAll(todaySize)
	n.within(15*time.Second, "the cluster forms again", func() bool { return n.whole(todaySize) })
}

func TestLoneNodeActsAfterAWhile(t *testing.T) {
	n := newNetwork(t, 12)
	h := n.start(0, addrOf(0), addrOf(1))
	n.run(DefaultSettings().AloneAfter - TickInterval)
	assert.Assert(t, !h.core.Awake(n.now))
	n.run(3 * TickInterval)
	assert.Assert(t, h.core.Awake(n.now))
}

func TestStrangersAndReplaysChangeNothing(t *testing.T) {
	n := formed(t, 13, 3)
	stranger, err := New(n.now, Member{ID: "entry-666", Incarnation: 1, GossipAddr: "10.9.9.9:1"},
		DefaultSettings(), []byte("another cluster's secret"), rand.New(rand.NewPCG(1, 1)))
	assert.NilError(t, err)
	stranger.SetSeeds([]string{addrOf(0)})
	target := n.host(0).core
	var recorded [][]byte
	n.spy = func(_ string, o Outgoing) {
		if o.Addr == addrOf(0) {
			recorded = append(recorded, o.Data)
		}
	}
	n.run(5 * time.Second)
	n.spy = nil
	members, counters := target.Members(), target.Counters()
	for _, o := range stranger.Tick(n.now).Packets {
		assert.Equal(t, len(target.Receive(n.now, o.Data).Packets), 0)
	}
	for _, data := range recorded {
		assert.Equal(t, len(target.Receive(n.now, data).Packets), 0, "no answer to a replayed packet")
		damaged := append([]byte{}, data...)
		damaged[len(damaged)/2] ^= 1
		assert.Equal(t, len(target.Receive(n.now, damaged).Packets), 0)
	}
	assert.DeepEqual(t, target.Members(), members)
	after := target.Counters()
	assert.Equal(t, after.Replayed-counters.Replayed, uint64(len(recorded)))
	assert.Equal(t, after.Refused-counters.Refused, uint64(len(recorded)+1))
}

func TestForgottenMemberDoesNotComeBackByItsTombstone(t *testing.T) {
	n := formed(t, 14, 3)
	gone := n.host(2).core.Self()
	gone.State = StateDead
	c := n.host(0).core
	delete(c.members, gone.ID)
	c.order = c.order[:1]
	var out Effects
	c.merge(n.now, gone, true, &out)
	assert.Equal(t, len(out.Events), 0)
	_, ok := c.Member(gone.ID)
	assert.Assert(t, !ok)
}

func TestItemsLastVersionWinsAndExpire(t *testing.T) {
	n := formed(t, 15, todaySize)
	c := n.host(0).core
	item := Item{Kind: ItemQuarantine, Key: "hash", Version: 2, Value: []byte("x"), Expires: n.now.Add(20 * time.Second)}
	assert.NilError(t, c.Broadcast(n.now, item))
	assert.ErrorIs(t, c.Broadcast(n.now, item), ErrItemStale)
	assert.ErrorIs(t, c.Broadcast(n.now, Item{Key: "k", Value: make([]byte, MaxItemValueBytes+1)}), ErrItemTooLarge)
	everywhere := func() bool {
		for _, h := range n.hosts {
			if got := h.core.Items(n.now, ItemQuarantine); len(got) != 1 || got[0].Version != 2 {
				return false
			}
		}
		return true
	}
	n.within(2*time.Second, "the item is everywhere", everywhere)
	assert.ErrorIs(t, n.host(5).core.Broadcast(n.now, Item{Kind: ItemQuarantine, Key: "hash", Version: 1}), ErrItemStale)
	n.run(25 * time.Second)
	for _, h := range n.hosts {
		assert.Equal(t, len(h.core.items), 0)
	}
}

func TestItemCountIsBounded(t *testing.T) {
	n := newNetwork(t, 16)
	c := n.start(0, addrOf(0)).core
	for i := range MaxItems {
		assert.NilError(t, c.Broadcast(n.now, Item{Kind: ItemQuarantine, Key: fmt.Sprint(i), Version: 1}))
	}
	assert.ErrorIs(t, c.Broadcast(n.now, Item{Kind: ItemQuarantine, Key: "more", Version: 1}), ErrItemLimit)
}

func TestReplayWindow(t *testing.T) {
	run := fleet.Incarnation(1 << refutationBits)
	var w replayWindow
	for _, step := range []struct {
		inc  fleet.Incarnation
		seq  uint64
		want bool
	}{
		{run, 5, true}, {run, 5, false}, {run, 3, true}, {run, 3, false}, {run + 1, 5, false},
		{run, 200, true}, {run, 136, false}, {run, 137, true}, {2 * run, 1, true}, {run, 300, false},
	} {
		assert.Equal(t, w.accept(step.inc, step.seq), step.want, "%d/%d", step.inc, step.seq)
	}
}

func TestNewReportsAllFaults(t *testing.T) {
	_, err := New(testStart, Member{}, Settings{}, nil, nil)
	assert.ErrorContains(t, err, "member name")
	assert.ErrorContains(t, err, "incarnation is zero")
	assert.ErrorContains(t, err, "cluster secret")
	assert.ErrorContains(t, err, "probe interval")
}

func FuzzOpen(f *testing.F) {
	n := formed(f, 17, 3)
	for _, o := range n.host(0).core.Leave(n.now).Packets {
		f.Add(o.Data[MacSize:])
	}
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, body []byte) {
		data := append(keyedHash(testSecret, body), body...)
		core := newNetwork(t, 18).start(0, addrOf(0)).core
		out := core.Receive(testStart, data)
		for _, o := range out.Packets {
			_, err := open(testSecret, o.Data)
			assert.NilError(t, err, "an answer is well formed")
		}
	})
}
