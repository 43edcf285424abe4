package lease_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/lease"
	"github.com/redwingnotch/redwingnotch/platform"
)

const cell fleet.CellID = "cell"

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// testCell runs the cores of several nodes against one simulated lease object.
type testCell struct {
	t         *testing.T
	now       time.Time
	obj       platform.Object
	storeDown bool
	members   map[fleet.NodeID]lease.Member
	cores     map[fleet.NodeID]*lease.Core
	writes    int
	reads     int
}

func newTestCell(t *testing.T, nodes ...fleet.NodeID) *testCell {
	tc := &testCell{t: t, now: start, members: map[fleet.NodeID]lease.Member{}, cores: map[fleet.NodeID]*lease.Core{}}
	for _, n := range nodes {
		tc.members[n] = lease.Member{Node: n, Incarnation: 1, Zone: fleet.AvailabilityZone("z" + n)}
		tc.cores[n] = lease.New(lease.Config{}, cell, lease.Holder{Node: n, Incarnation: 1})
	}
	return tc
}

func (tc *testCell) setState(n fleet.NodeID, s lease.MemberState) {
	m := tc.members[n]
	m.State = s
	tc.members[n] = m
}

func (tc *testCell) put(w *lease.Write) (uint64, error) {
	tc.writes++
	if w.Expect != tc.obj.Version {
		return 0, platform.ErrConflict
	}
	tc.obj = platform.Object{Version: tc.obj.Version + 1, Writer: w.Writer, Value: w.Value}
	return tc.obj.Version, nil
}

// tick runs one Tick of a node's core and passes the results of the calls back.
// loseResponse drops the response of a write that took effect.
func (tc *testCell) tick(n fleet.NodeID, loseResponse bool) {
	c := tc.cores[n]
	var rows []lease.Member
	for _, m := range tc.members {
		rows = append(rows, m)
	}
	c.SetMembers(tc.now, rows)
	effects := c.Tick(tc.now)
	if effects.Read {
		tc.reads++
		switch {
		case tc.storeDown:
			c.HandleRead(tc.now, platform.Object{}, platform.ErrUnavailable)
		case tc.obj.Version == 0:
			c.HandleRead(tc.now, platform.Object{}, platform.ErrNotFound)
		default:
			c.HandleRead(tc.now, tc.obj, nil)
		}
	}
	if w := effects.Write; w != nil {
		if tc.storeDown {
			c.HandleWrite(tc.now, w.Writer, 0, platform.ErrUnavailable)
			return
		}
		version, err := tc.put(w)
		if loseResponse {
			version, err = 0, platform.ErrUnknown
		}
		c.HandleWrite(tc.now, w.Writer, version, err)
	}
}

func (tc *testCell) run(d time.Duration, nodes ...fleet.NodeID) {
	for end := tc.now.Add(d); tc.now.Before(end); tc.now = tc.now.Add(100 * time.Millisecond) {
		for _, n := range nodes {
			tc.tick(n, false)
		}
	}
}

func (tc *testCell) authority(n fleet.NodeID) lease.Authority { return tc.cores[n].Authority(tc.now) }

// activeNode runs the nodes for three seconds and returns the only active one.
func (tc *testCell) activeNode(nodes ...fleet.NodeID) fleet.NodeID {
	tc.t.Helper()
	tc.run(3*time.Second, nodes...)
	var active []fleet.NodeID
	for _, n := range nodes {
		if tc.authority(n).Active {
			active = append(active, n)
		}
	}
	assert.Equal(tc.t, len(active), 1, "active nodes: %v", active)
	return active[0]
}

// others returns the nodes a, b and c except for n.
func others(n fleet.NodeID) []fleet.NodeID {
	var rest []fleet.NodeID
	for _, o := range []fleet.NodeID{"a", "b", "c"} {
		if o != n {
			rest = append(rest, o)
		}
	}
	return rest
}

func TestHolderOfIdleCellMakesNoStoreCalls(t *testing.T) {
	tc := newTestCell(t, "a", "b", "c")
	holder := tc.activeNode("a", "b", "c")
	a := tc.authority(holder)
	assert.Equal(t, a.Epoch, fleet.Epoch(1))
	assert.Assert(t, a.PredecessorsStopped && a.SuccessorsAlive && a.StoreContact)
	writes, reads := tc.writes, tc.reads
	for range 100 {
		tc.cores[holder].HandleStoreContact(tc.now, tc.now)
		tc.run(time.Second, "a", "b", "c")
	}
	assert.Equal(t, tc.writes, writes, "writes of an idle cell")
	assert.Equal(t, tc.reads, reads, "reads of an idle cell with store contact")
}

func TestSuccessorClaimsAfterHolderFails(t *testing.T) {
	tc := newTestCell(t, "a", "b", "c")
	holder := tc.activeNode("a", "b", "c")
	tc.setState(holder, lease.MemberDead)
	successor := tc.activeNode(others(holder)...)
	a := tc.authority(successor)
	assert.Assert(t, a.Epoch > 3, "epoch %d is not above all granted", a.Epoch)
	assert.Assert(t, !a.PredecessorsStopped)
	tc.setState(holder, lease.MemberVMRemoved)
	tc.run(time.Second, successor)
	assert.Assert(t, tc.authority(successor).PredecessorsStopped)
}

// tickAs runs one tick of a node to which the given other nodes look dead.
func (tc *testCell) tickAs(n fleet.NodeID, dead ...fleet.NodeID) {
	for _, d := range dead {
		tc.setState(d, lease.MemberDead)
	}
	tc.tick(n, false)
	for _, d := range dead {
		tc.setState(d, lease.MemberAlive)
	}
}

// TestPartitionedNodesDoNotAlternateClaims partitions the holder from the other
// nodes while both sides reach the object API. The sides must not keep claiming
// the cell from each other.
func TestPartitionedNodesDoNotAlternateClaims(t *testing.T) {
	tc := newTestCell(t, "a", "b", "c")
	holder := tc.activeNode("a", "b", "c")
	rest := others(holder)
	for end := tc.now.Add(lease.DefaultClaimGrace); tc.now.Before(end); tc.now = tc.now.Add(100 * time.Millisecond) {
		tc.tickAs(holder, rest...)
		tc.tickAs(rest[0], holder)
		tc.tickAs(rest[1], holder)
		for _, n := range []fleet.NodeID{"a", "b", "c"} {
			if a := tc.authority(n); a.Active && a.Epoch > tc.authority(holder).Epoch {
				tc.cores[holder].HandleHigherEpoch(tc.now, a.Epoch)
			}
		}
	}
	assert.Assert(t, !tc.authority(holder).Active)
	assert.Equal(t, tc.authority(holder).Epoch, fleet.Epoch(4), "one claim above the three granted")
}

func TestRestartedHolderCountsAsStopped(t *testing.T) {
	tc := newTestCell(t, "a", "b", "c")
	holder := tc.activeNode("a", "b", "c")
	m := tc.members[holder]
	m.Incarnation = 2
	tc.members[holder] = m
	tc.cores[holder] = lease.New(lease.Config{}, cell, lease.Holder{Node: holder, Incarnation: 2})
	successor := tc.activeNode("a", "b", "c")
	assert.Assert(t, tc.authority(successor).PredecessorsStopped, "the restarted holder's earlier run does not count as stopped")
}

func TestLostWriteResponseIsResolvedByRead(t *testing.T) {
	tc := newTestCell(t, "a")
	tc.tick("a", false)
	tc.now = tc.now.Add(time.Second)
	tc.tick("a", true)
	assert.Equal(t, tc.obj.Version, uint64(1))
	assert.Assert(t, !tc.authority("a").Active, "active before the claim is confirmed")
	tc.run(time.Second, "a")
	assert.Assert(t, tc.authority("a").Active)
	assert.Equal(t, tc.writes, 1)
}

func TestUnknownWriteIsRetriedWithSameWriterID(t *testing.T) {
	tc := newTestCell(t, "a")
	tc.tick("a", false)
	tc.now = tc.now.Add(time.Second)
	first := tc.cores["a"].Tick(tc.now).Write
	tc.cores["a"].HandleWrite(tc.now, first.Writer, 0, platform.ErrUnknown)
	tc.now = tc.now.Add(time.Second)
	tc.tick("a", false) // reads the object, which the first write has not reached yet
	tc.now = tc.now.Add(time.Second)
	second := tc.cores["a"].Tick(tc.now).Write
	assert.DeepEqual(t, first, second)
	_, err := tc.put(first) // the first write takes effect late
	assert.NilError(t, err)
	_, err = tc.put(second)
	assert.ErrorIs(t, err, platform.ErrConflict)
	tc.cores["a"].HandleWrite(tc.now, second.Writer, 0, err)
	tc.run(time.Second, "a")
	assert.Assert(t, tc.authority("a").Active)
}

func TestSuccessorsTakeOverDuringStoreOutage(t *testing.T) {
	tc := newTestCell(t, "a", "b", "c")
	holder := tc.activeNode("a", "b", "c")
	tc.run(time.Second, "a", "b", "c")
	tc.storeDown = true
	tc.run(time.Minute, "a", "b", "c")
	assert.Assert(t, tc.authority(holder).Active)
	assert.Assert(t, !tc.authority(holder).StoreContact)
	tc.setState(holder, lease.MemberDead)
	successor := tc.activeNode(others(holder)...)
	assert.Equal(t, tc.authority(successor).SuccessorPosition, 1)
	assert.Equal(t, tc.authority(successor).Epoch, fleet.Epoch(2))
	tc.setState(successor, lease.MemberDead)
	var last fleet.NodeID
	for _, n := range others(holder) {
		if n != successor {
			last = n
		}
	}
	tc.run(5*time.Second, last)
	assert.Equal(t, tc.authority(last).SuccessorPosition, 2)
	assert.Equal(t, tc.authority(last).Epoch, fleet.Epoch(3))
	tc.storeDown = false
	tc.run(time.Second, last)
	assert.Equal(t, tc.authority(last).SuccessorPosition, 0)
	assert.Equal(t, tc.authority(last).Epoch, fleet.Epoch(4))
}

// TestReplacedSuccessorLearnsItsGrant restarts every other node after the claim,
// so that the holder grants epochs to their new runs. A new run must learn from
// the holder's VersionUpdate that it is a successor, and take over during an outage.
func TestReplacedSuccessorLearnsItsGrant(t *testing.T) {
	tc := newTestCell(t, "a", "b", "c", "d")
	holder := tc.activeNode("a", "b", "c", "d")
	initial := tc.authority(holder)
	assert.Assert(t, initial.SuccessorsAlive)
	var restarted []fleet.NodeID
	for _, n := range []fleet.NodeID{"a", "b", "c", "d"} {
		if n == holder {
			continue
		}
		// The node fails and restarts; its new run may be granted an epoch.
		tc.setState(n, lease.MemberDead)
		tc.run(time.Second, holder)
		m := tc.members[n]
		m.Incarnation, m.State = 2, lease.MemberAlive
		tc.members[n] = m
		tc.cores[n] = lease.New(lease.Config{}, cell, lease.Holder{Node: n, Incarnation: 2})
		restarted = append(restarted, n)
		tc.run(time.Second, append(restarted, holder)...)
	}
	update, holds := tc.cores[holder].VersionUpdate()
	assert.Assert(t, holds)
	for _, n := range restarted {
		tc.cores[n].HandleVersionUpdate(tc.now, update)
	}
	tc.run(time.Second, append(restarted, holder)...)
	tc.storeDown = true
	tc.setState(holder, lease.MemberDead)
	tc.run(10*time.Second, restarted...)
	activeCount := 0
	for _, n := range restarted {
		if tc.authority(n).Active {
			activeCount++
		}
	}
	assert.Equal(t, activeCount, 1)
}

func TestLeavingHolderHandsOver(t *testing.T) {
	tc := newTestCell(t, "a", "b", "c")
	holder := tc.activeNode("a", "b", "c")
	tc.run(time.Second, "a", "b", "c")
	tc.cores[holder].SetLeaving(tc.now)
	tc.setState(holder, lease.MemberLeaving)
	tc.run(time.Second, holder)
	a := tc.authority(holder)
	assert.Assert(t, !a.Active)
	assert.Assert(t, a.Holder.Node != holder)
	successor := tc.cores[a.Holder.Node]
	successor.HandleHolderHint(tc.now, a.Holder, a.Epoch)
	tc.run(time.Second, a.Holder.Node)
	got := successor.Authority(tc.now)
	assert.Assert(t, got.Active && got.PredecessorsStopped, "%+v", got)
}

// TestResponseFromBeforePauseShowsNoContact: a response that arrived while the process
// was paused must not count as contact with the object API after the pause. Another
// node may have claimed the cell since.
func TestResponseFromBeforePauseShowsNoContact(t *testing.T) {
	tc := newTestCell(t, "a", "b", "c")
	holder := tc.activeNode("a", "b", "c")
	core := tc.cores[holder]
	core.HandleStoreContact(tc.now, tc.now)
	tc.now = tc.now.Add(lease.DefaultStoreTimeout)
	sentAt := tc.now
	assert.Assert(t, core.Tick(sentAt).Read)
	late := tc.obj
	tc.now = tc.now.Add(time.Minute)
	core.HandleRead(tc.now, late, nil)
	core.HandleStoreContact(tc.now, sentAt)
	assert.Assert(t, !tc.authority(holder).StoreContact)
	tc.run(time.Second, holder)
	assert.Assert(t, tc.authority(holder).StoreContact)
}

// TestHintDuringReadIsReadAgain: the response of a read that was sent before the cell
// was handed over must not count as the read that the holder hint requires. No other
// hint would follow.
func TestHintDuringReadIsReadAgain(t *testing.T) {
	tc := newTestCell(t, "a", "b", "c")
	holder := tc.activeNode("a", "b", "c")
	tc.run(time.Second, "a", "b", "c")
	before, _ := tc.cores[holder].VersionUpdate()
	successor := tc.cores[before.Successors[0]]
	before.Version++ // a version whose read is on its way when the cell is handed over
	successor.HandleVersionUpdate(tc.now, before)
	assert.Assert(t, successor.Tick(tc.now).Read)
	late := tc.obj

	tc.cores[holder].SetLeaving(tc.now)
	tc.setState(holder, lease.MemberLeaving)
	tc.run(time.Second, holder)
	a := tc.authority(holder)
	assert.Equal(t, a.Holder.Node, before.Successors[0])
	successor.HandleHolderHint(tc.now, a.Holder, a.Epoch)
	successor.HandleRead(tc.now, late, nil)
	tc.run(time.Second, a.Holder.Node)
	assert.Assert(t, tc.authority(a.Holder.Node).Active)
}

func TestFencedHolderBecomesInactiveAndReclaims(t *testing.T) {
	tc := newTestCell(t, "a", "b", "c")
	holder := tc.activeNode("a", "b", "c")
	tc.cores[holder].HandleHigherEpoch(tc.now, 7)
	assert.Assert(t, !tc.authority(holder).Active)
	tc.run(5*time.Second, holder)
	a := tc.authority(holder)
	assert.Assert(t, a.Active && a.Epoch > 7, "%+v", a)
}

func TestStaleReadIsIgnored(t *testing.T) {
	tc := newTestCell(t, "a", "b", "c")
	holder := tc.activeNode("a", "b", "c")
	old := tc.obj
	tc.setState(holder, lease.MemberDead)
	successor := tc.activeNode(others(holder)...)
	epoch := tc.authority(successor).Epoch
	tc.cores[successor].HandleRead(tc.now, old, nil)
	assert.Equal(t, tc.authority(successor).Epoch, epoch)
	assert.Assert(t, tc.authority(successor).Active)
}

func TestMalformedRecordIsNotOverwritten(t *testing.T) {
	tc := newTestCell(t, "a")
	tc.obj = platform.Object{Version: 9, Writer: "x", Value: []byte("{")}
	tc.run(10*time.Second, "a")
	assert.Equal(t, tc.writes, 0)
	assert.Assert(t, !tc.authority("a").Active)
}
