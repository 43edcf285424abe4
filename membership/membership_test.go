package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// Required time limits in a deployment of clusterSize nodes.
const (
	crashDetectionLimit = 5 * time.Second
	leaveSpreadLimit    = 2 * time.Second
	clusterSize         = 9
)

// newCluster returns a network of count nodes that are all alive and awake.
func newCluster(t testing.TB, seed uint64, count int) *network {
	n := newNetwork(t, seed)
	n.startAll(count)
	n.waitFor(time.Minute, "all nodes alive and awake", func() bool { return n.converged(count) })
	return n
}

func TestCrashDetectedWithinLimit(t *testing.T) {
	for seed := range uint64(20) {
		for _, lossRate := range []float64{0, 0.05} {
			n := newCluster(t, seed, clusterSize)
			n.lossRate = lossRate
			n.run(time.Duration(seed) * 130 * time.Millisecond)
			delete(n.hosts, addrOf(4))
			n.waitFor(crashDetectionLimit, fmt.Sprintf("crash detected, seed %d, loss %v", seed, lossRate), func() bool { return n.allReport(nameOf(4), StateDead) })
		}
	}
}

func TestPlannedLeaveSpreadsWithinLimit(t *testing.T) {
	for seed := range uint64(20) {
		n := newCluster(t, seed, clusterSize)
		n.lossRate = 0.05
		n.apply(addrOf(4), n.host(4).core.Leave(n.now))
		n.waitFor(leaveSpreadLimit, "leaving state at all nodes", func() bool { return n.allReport(nameOf(4), StateLeaving) })
		n.apply(addrOf(4), n.host(4).core.CompleteLeave(n.now))
		delete(n.hosts, addrOf(4))
		n.waitFor(leaveSpreadLimit, "left state at all nodes", func() bool { return n.allReport(nameOf(4), StateLeft) })
		for _, h := range n.hosts {
			assert.Assert(t, !h.sawEvent(EventSuspect, nameOf(4)))
		}
	}
}

func TestCrashWhileLeavingIsDetected(t *testing.T) {
	n := newCluster(t, 1, clusterSize)
	n.apply(addrOf(4), n.host(4).core.Leave(n.now))
	n.run(2 * time.Second)
	delete(n.hosts, addrOf(4))
	n.waitFor(crashDetectionLimit, "crash detected", func() bool { return n.allReport(nameOf(4), StateDead) })
}

func TestPacketLossCausesNoFalseDeaths(t *testing.T) {
	n := newCluster(t, 7, clusterSize)
	n.lossRate = 0.1
	n.run(5 * time.Minute)
	for _, h := range n.hosts {
		for i := range clusterSize {
			assert.Assert(t, !h.sawEvent(EventDead, nameOf(i)), "%s declared %s dead", h.core.Self().ID, nameOf(i))
		}
	}
}

func TestOneWayLossCausesNoFalseDeaths(t *testing.T) {
	n := newCluster(t, 3, clusterSize)
	n.blocked = func(from, to string) bool { return from == addrOf(2) && to == addrOf(5) }
	n.run(time.Minute)
	for _, h := range n.hosts {
		assert.Assert(t, !h.sawEvent(EventDead, nameOf(2)))
		assert.Assert(t, !h.sawEvent(EventDead, nameOf(5)))
	}
	assert.Assert(t, n.converged(clusterSize))
}

func TestZonePartitionHeals(t *testing.T) {
	n := newCluster(t, 4, clusterSize)
	inZone := func(addr string) bool { return addr == addrOf(2) || addr == addrOf(5) || addr == addrOf(8) }
	n.blocked = func(from, to string) bool { return inZone(from) != inZone(to) }
	n.waitFor(10*time.Second, "only the nodes of its own side alive at nodes 0 and 2", func() bool {
		return countAlive(n.host(0).core) == 6 && countAlive(n.host(2).core) == 3
	})
	assert.NilError(t, n.host(0).core.Broadcast(n.now, Item{Kind: ItemRelease, Key: "head", Version: 9}))
	n.run(2 * time.Minute)
	n.blocked = nil
	n.waitFor(20*time.Second, "all nodes alive after the partition", func() bool { return n.converged(clusterSize) })
	n.waitFor(10*time.Second, "item at the other side", func() bool {
		item, ok := n.host(8).core.Item(n.now, ItemRelease, "head")
		return ok && item.Version == 9
	})
	assert.Assert(t, n.host(2).sawEvent(EventSelfDead, nameOf(2)))
}

func TestPausedNodeIsNotAwake(t *testing.T) {
	n := newCluster(t, 5, clusterSize)
	h := n.host(3)
	before := h.core.Self().Incarnation
	h.paused = true
	n.waitFor(crashDetectionLimit, "paused node declared dead", func() bool { return n.allReport(nameOf(3), StateDead) })
	n.run(10 * time.Second)
	assert.Assert(t, !h.core.Awake(n.now), "awake before the first tick after the pause")
	n.resume(addrOf(3))
	assert.Assert(t, !h.core.Awake(n.now), "awake through datagrams received during the pause")
	assert.Assert(t, h.sawEvent(EventPaused, nameOf(3)))
	n.waitFor(5*time.Second, "resumed node alive and awake", func() bool { return n.converged(clusterSize) })
	assert.Assert(t, h.sawEvent(EventSelfDead, nameOf(3)))
	assert.Assert(t, h.core.Self().Incarnation > before)
	assert.Assert(t, SameRun(h.core.Self().Incarnation, before))
	for i := range clusterSize {
		assert.Assert(t, !h.sawEvent(EventDead, nameOf(i)), "resumed node declared another node dead")
	}
}

func TestPausedAndPartitionedNodeIsNotAwake(t *testing.T) {
	n := newCluster(t, 6, clusterSize)
	h := n.host(3)
	h.paused = true
	n.run(3 * time.Second)
	n.blocked = func(from, to string) bool { return from == addrOf(3) || to == addrOf(3) }
	n.resume(addrOf(3))
	for range 20 {
		n.run(TickInterval)
		assert.Assert(t, !h.core.Awake(n.now))
	}
}

func TestRollingReplacementKeepsItems(t *testing.T) {
	n := newCluster(t, 8, clusterSize)
	assert.NilError(t, n.host(0).core.Broadcast(n.now, Item{Kind: ItemController, Key: "sk-central", Version: 3, Value: []byte("entry-000")}))
	for i := 1; i < clusterSize; i++ {
		n.run(6 * time.Second)
		delete(n.hosts, addrOf(i))
		n.start(100+i, addrOf(100+i), addrOf(0), addrOf(1))
	}
	n.waitFor(10*time.Second, "node 0 and the new nodes alive", func() bool { return n.converged(clusterSize) })
	item, ok := n.host(108).core.Item(n.now, ItemController, "sk-central")
	assert.Assert(t, ok)
	assert.Equal(t, string(item.Value), "entry-000")
	n.run(DefaultSettings().StoppedRetention + time.Minute)
	for _, h := range n.hosts {
		assert.Equal(t, len(h.core.Members()), clusterSize, "members after the retention of replaced nodes")
	}
}

func TestRestartedNodeReplacesEarlierRun(t *testing.T) {
	n := newCluster(t, 9, clusterSize)
	old := n.host(4).core.Self()
	lateTick := n.host(4).core.Tick(n.now.Add(TickInterval))
	delete(n.hosts, addrOf(4))
	n.run(300 * time.Millisecond)
	h := n.start(4, addrOf(40), addrOf(0), addrOf(1))
	n.waitFor(10*time.Second, "new run alive at all nodes", func() bool { return n.converged(clusterSize) })
	assert.Assert(t, n.host(0).sawEvent(EventIncarnation, nameOf(4)))
	assert.Assert(t, !h.sawEvent(EventIDInUse, nameOf(4)))
	members := n.host(0).core.Members()
	for _, o := range lateTick.Packets {
		n.apply(o.Addr, n.hosts[o.Addr].core.Receive(n.now, o.Data))
	}
	assert.DeepEqual(t, n.host(0).core.Members(), members)
	m, _ := n.host(0).core.Member(nameOf(4))
	assert.Assert(t, m.Incarnation > old.Incarnation)
}

func TestSecondNodeWithSameIDIsSuperseded(t *testing.T) {
	n := newCluster(t, 10, clusterSize)
	n.run(10 * time.Second)
	second := n.start(4, addrOf(40), addrOf(0), addrOf(1))
	n.waitFor(5*time.Second, "second node reports that its ID is in use", func() bool { return second.sawEvent(EventIDInUse, nameOf(4)) })
	assert.Assert(t, !second.core.Awake(n.now))
	delete(n.hosts, addrOf(40))
	n.waitFor(20*time.Second, "first node still alive at all nodes", func() bool { return n.converged(clusterSize) })
	m, _ := n.host(0).core.Member(nameOf(4))
	assert.Equal(t, m.GossipAddr, addrOf(4))
	assert.Assert(t, !n.host(0).sawEvent(EventIncarnation, nameOf(4)))
}

func TestFullClusterRestartConverges(t *testing.T) {
	n := newCluster(t, 11, clusterSize)
	n.hosts = map[string]*host{}
	n.run(time.Second)
	n.startAll(clusterSize)
	n.waitFor(15*time.Second, "all nodes alive after the restart", func() bool { return n.converged(clusterSize) })
}

func TestSingleNodeIsAwakeAfterTimeout(t *testing.T) {
	n := newNetwork(t, 12)
	h := n.start(0, addrOf(0), addrOf(1))
	n.run(DefaultSettings().StandaloneTimeout - TickInterval)
	assert.Assert(t, !h.core.Awake(n.now))
	n.run(3 * TickInterval)
	assert.Assert(t, h.core.Awake(n.now))
}

func TestForeignAndReplayedPacketsAreIgnored(t *testing.T) {
	n := newCluster(t, 13, 3)
	foreign, err := New(n.now, Member{ID: "entry-666", Incarnation: 1, GossipAddr: "10.9.9.9:1"},
		DefaultSettings(), []byte("another cluster's secret"), rand.New(rand.NewPCG(1, 1)))
	assert.NilError(t, err)
	foreign.SetSeeds([]string{addrOf(0)})
	target := n.host(0).core
	var recorded [][]byte
	n.onSend = func(_ string, o Datagram) {
		if o.Addr == addrOf(0) {
			recorded = append(recorded, o.Data)
		}
	}
	n.run(5 * time.Second)
	n.onSend = nil
	members, counters := target.Members(), target.Counters()
	for _, o := range foreign.Tick(n.now).Packets {
		assert.Equal(t, len(target.Receive(n.now, o.Data).Packets), 0)
	}
	for _, data := range recorded {
		assert.Equal(t, len(target.Receive(n.now, data).Packets), 0, "response to a replayed packet")
		damaged := append([]byte{}, data...)
		damaged[len(damaged)/2] ^= 1
		assert.Equal(t, len(target.Receive(n.now, damaged).Packets), 0)
	}
	assert.DeepEqual(t, target.Members(), members)
	after := target.Counters()
	assert.Equal(t, after.RejectedSender-counters.RejectedSender, uint64(len(recorded)))
	assert.Equal(t, after.Rejected-counters.Rejected, uint64(len(recorded)+1))
}

func TestDeadRecordDoesNotRestoreRemovedMember(t *testing.T) {
	n := newCluster(t, 14, 3)
	dead := n.host(2).core.Self()
	dead.State = StateDead
	c := n.host(0).core
	delete(c.members, dead.ID)
	c.order = c.order[:1]
	var out Effects
	c.merge(n.now, dead, true, &out)
	assert.Equal(t, len(out.Events), 0)
	_, ok := c.Member(dead.ID)
	assert.Assert(t, !ok)
}

func TestHighestItemVersionWinsAndItemsExpire(t *testing.T) {
	n := newCluster(t, 15, clusterSize)
	c := n.host(0).core
	item := Item{Kind: ItemQuarantine, Key: "hash", Version: 2, Value: []byte("x"), Expires: n.now.Add(20 * time.Second)}
	assert.NilError(t, c.Broadcast(n.now, item))
	assert.ErrorIs(t, c.Broadcast(n.now, item), ErrItemStale)
	assert.ErrorIs(t, c.Broadcast(n.now, Item{Key: "k", Value: make([]byte, MaxItemValueBytes+1)}), ErrItemTooLarge)
	atAllNodes := func() bool {
		for _, h := range n.hosts {
			if got := h.core.Items(n.now, ItemQuarantine); len(got) != 1 || got[0].Version != 2 {
				return false
			}
		}
		return true
	}
	n.waitFor(2*time.Second, "item at all nodes", atAllNodes)
	assert.ErrorIs(t, n.host(5).core.Broadcast(n.now, Item{Kind: ItemQuarantine, Key: "hash", Version: 1}), ErrItemStale)
	n.run(25 * time.Second)
	for _, h := range n.hosts {
		assert.Equal(t, len(h.core.items), 0)
	}
}

func TestItemLimitIsEnforced(t *testing.T) {
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
		assert.Equal(t, w.accept(step.inc, step.seq), step.want, "incarnation %d, sequence %d", step.inc, step.seq)
	}
}

func TestNewReportsAllInvalidArguments(t *testing.T) {
	_, err := New(testStart, Member{}, Settings{}, nil, nil)
	assert.ErrorContains(t, err, "member name")
	assert.ErrorContains(t, err, "incarnation is zero")
	assert.ErrorContains(t, err, "cluster secret")
	assert.ErrorContains(t, err, "probe interval")
}

func FuzzOpen(f *testing.F) {
	n := newCluster(f, 17, 3)
	for _, o := range n.host(0).core.Leave(n.now).Packets {
		f.Add(o.Data[MACSize:])
	}
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, body []byte) {
		data := append(packetMAC(testSecret, body), body...)
		core := newNetwork(t, 18).start(0, addrOf(0)).core
		out := core.Receive(testStart, data)
		for _, o := range out.Packets {
			_, err := open(testSecret, o.Data)
			assert.NilError(t, err, "response is malformed")
		}
	})
}

// TestReleaseVersionDoesNotDecrease: two updates may be reported out of order, and a
// node must not publish the older version as the one in force.
func TestReleaseVersionDoesNotDecrease(t *testing.T) {
	core := newNetwork(t, 1).start(0, addrOf(0)).core
	core.SetReleaseVersion(6)
	core.SetReleaseVersion(5)
	assert.Equal(t, core.Self().ReleaseVersion, uint64(6))
}
