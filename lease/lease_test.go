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

// bench steps a few cores against one object by hand.
type bench struct {
	t       *testing.T
	now     time.Time
	obj     platform.Object
	down    bool
	members map[fleet.NodeID]lease.Member
	cores   map[fleet.NodeID]*lease.Core
	writes  int
	reads   int
}

func newBench(t *testing.T, nodes ...fleet.NodeID) *bench {
	b := &bench{t: t, now: start, members: map[fleet.NodeID]lease.Member{}, cores: map[fleet.NodeID]*lease.Core{}}
	for _, n := range nodes {
		b.members[n] = lease.Member{Node: n, Incarnation: 1, Zone: fleet.AvailabilityZone("z" + n)}
		b.cores[n] = lease.New(lease.Config{}, cell, lease.Holder{Node: n, Incarnation: 1})
	}
	return b
}

func (b *bench) state(n fleet.NodeID, s lease.MemberState) {
	m := b.members[n]
	m.State = s
	b.members[n] = m
}

func (b *bench) put(w *lease.Write) (uint64, error) {
	b.writes++
	if w.Expect != b.obj.Version {
		return 0, platform.ErrConflict
	}
	b.obj = platform.Object{Version: b.obj.Version + 1, Writer: w.Writer, Value: w.Value}
	return b.obj.Version, nil
}

// tick steps one core once; loseAnswer loses the answer of its write.
func (b *bench) tick(n fleet.NodeID, loseAnswer bool) {
	c := b.cores[n]
	var ms []lease.Member
	for _, m := range b.members {
		ms = append(ms, m)
	}
	c.SetMembers(b.now, ms)
	eff := c.Tick(b.now)
	if eff.Read {
		b.reads++
		switch {
		case b.down:
			c.HandleRead(b.now, platform.Object{}, platform.ErrUnavailable)
		case b.obj.Version == 0:
			c.HandleRead(b.now, platform.Object{}, platform.ErrNotFound)
		default:
			c.HandleRead(b.now, b.obj, nil)
		}
	}
	if w := eff.Write; w != nil {
		if b.down {
			c.HandleWrite(b.now, w.Writer, 0, platform.ErrUnavailable)
			return
		}
		version, err := b.put(w)
		if loseAnswer {
			version, err = 0, platform.ErrUnknown
		}
		c.HandleWrite(b.now, w.Writer, version, err)
	}
}

func (b *bench) run(d time.Duration, nodes ...fleet.NodeID) {
	for end := b.now.Add(d); b.now.Before(end); b.now = b.now.Add(100 * time.Millisecond) {
		for _, n := range nodes {
			b.tick(n, false)
		}
	}
}

func (b *bench) authority(n fleet.NodeID) lease.Authority { return b.cores[n].Authority(b.now) }

// holder runs until one of the nodes is in office and returns it.
func (b *bench) holder(nodes ...fleet.NodeID) fleet.NodeID {
	b.t.Helper()
	b.run(3*time.Second, nodes...)
	var in []fleet.NodeID
	for _, n := range nodes {
		if b.authority(n).InOffice {
			in = append(in, n)
		}
	}
	assert.Equal(b.t, len(in), 1, "%v", in)
	return in[0]
}

func others(n fleet.NodeID) []fleet.NodeID {
	var rest []fleet.NodeID
	for _, o := range []fleet.NodeID{"a", "b", "c"} {
		if o != n {
			rest = append(rest, o)
		}
	}
	return rest
}

func TestClaimAndQuietHolding(t *testing.T) {
	b := newBench(t, "a", "b", "c")
	h := b.holder("a", "b", "c")
	a := b.authority(h)
	assert.Equal(t, a.Epoch, fleet.Epoch(1))
	assert.Assert(t, a.PredecessorStopped && a.SuccessorsAlive && a.StoreContact)
	writes, reads := b.writes, b.reads
	for range 100 {
		b.cores[h].HandleStoreContact(b.now)
		b.run(time.Second, "a", "b", "c")
	}
	assert.Equal(t, b.writes, writes, "a quiet cell writes")
	assert.Equal(t, b.reads, reads, "a quiet cell with contact reads")
}

func TestTakeoverByFirstSuccessor(t *testing.T) {
	b := newBench(t, "a", "b", "c")
	h := b.holder("a", "b", "c")
	b.state(h, lease.MemberDead)
	next := b.holder(others(h)...)
	a := b.authority(next)
	assert.Assert(t, a.Epoch > 3, "epoch %d is not above all granted", a.Epoch)
	assert.Assert(t, !a.PredecessorStopped)
	b.state(h, lease.MemberGone)
	b.run(time.Second, next)
	assert.Assert(t, b.authority(next).PredecessorStopped)
}

// tickAs steps one core as the member table looks to it.
func (b *bench) tickAs(n fleet.NodeID, dead ...fleet.NodeID) {
	for _, d := range dead {
		b.state(d, lease.MemberDead)
	}
	b.tick(n, false)
	for _, d := range dead {
		b.state(d, lease.MemberAlive)
	}
}

// TestPartsThatBothReachTheStoreDoNotAlternate cuts the holder off from the
// other nodes but not from the store.
func TestPartsThatBothReachTheStoreDoNotAlternate(t *testing.T) {
	b := newBench(t, "a", "b", "c")
	h := b.holder("a", "b", "c")
	rest := others(h)
	for end := b.now.Add(lease.DefaultClaimGrace); b.now.Before(end); b.now = b.now.Add(100 * time.Millisecond) {
		b.tickAs(h, rest...)
		b.tickAs(rest[0], h)
		b.tickAs(rest[1], h)
		for _, n := range []fleet.NodeID{"a", "b", "c"} {
			if a := b.authority(n); a.InOffice && a.Epoch > b.authority(h).Epoch {
				b.cores[h].HandleDeposed(b.now, a.Epoch)
			}
		}
	}
	assert.Assert(t, !b.authority(h).InOffice)
	assert.Equal(t, b.authority(h).Epoch, fleet.Epoch(4), "one claim above the three granted")
}

func TestNewerIncarnationOfHolder(t *testing.T) {
	b := newBench(t, "a", "b", "c")
	h := b.holder("a", "b", "c")
	m := b.members[h]
	m.Incarnation = 2
	b.members[h] = m
	b.cores[h] = lease.New(lease.Config{}, cell, lease.Holder{Node: h, Incarnation: 2})
	next := b.holder("a", "b", "c")
	assert.Assert(t, b.authority(next).PredecessorStopped, "a restarted process has stopped")
}

func TestLostAnswerIsSettledByWriter(t *testing.T) {
	b := newBench(t, "a")
	b.tick("a", false)
	b.now = b.now.Add(time.Second)
	b.tick("a", true)
	assert.Equal(t, b.obj.Version, uint64(1))
	assert.Assert(t, !b.authority("a").InOffice, "in office before the claim is known")
	b.run(time.Second, "a")
	assert.Assert(t, b.authority("a").InOffice)
	assert.Equal(t, b.writes, 1)
}

func TestUnknownWriteIsSentAgainWithTheSameID(t *testing.T) {
	b := newBench(t, "a")
	b.tick("a", false)
	b.now = b.now.Add(time.Second)
	first := b.cores["a"].Tick(b.now).Write
	b.cores["a"].HandleWrite(b.now, first.Writer, 0, platform.ErrUnknown)
	b.now = b.now.Add(time.Second)
	b.tick("a", false) // reads: nothing written yet
	b.now = b.now.Add(time.Second)
	second := b.cores["a"].Tick(b.now).Write
	assert.DeepEqual(t, first, second)
	_, err := b.put(first) // the first arrives late
	assert.NilError(t, err)
	_, err = b.put(second)
	assert.ErrorIs(t, err, platform.ErrConflict)
	b.cores["a"].HandleWrite(b.now, second.Writer, 0, err)
	b.run(time.Second, "a")
	assert.Assert(t, b.authority("a").InOffice)
}

func TestSuccessorsActWithoutTheStore(t *testing.T) {
	b := newBench(t, "a", "b", "c")
	h := b.holder("a", "b", "c")
	b.run(time.Second, "a", "b", "c")
	b.down = true
	b.run(time.Minute, "a", "b", "c")
	assert.Assert(t, b.authority(h).InOffice)
	assert.Assert(t, !b.authority(h).StoreContact)
	b.state(h, lease.MemberDead)
	next := b.holder(others(h)...)
	assert.Equal(t, b.authority(next).AdvanceRank, 1)
	assert.Equal(t, b.authority(next).Epoch, fleet.Epoch(2))
	b.state(next, lease.MemberDead)
	var last fleet.NodeID
	for _, n := range others(h) {
		if n != next {
			last = n
		}
	}
	b.run(5*time.Second, last)
	assert.Equal(t, b.authority(last).AdvanceRank, 2)
	assert.Equal(t, b.authority(last).Epoch, fleet.Epoch(3))
	b.down = false
	b.run(time.Second, last)
	assert.Equal(t, b.authority(last).AdvanceRank, 0)
	assert.Equal(t, b.authority(last).Epoch, fleet.Epoch(4))
}

// TestLaterSuccessorKnowsThatItIsOne replaces a successor after the claim, and
// then takes the store away.
func TestLaterSuccessorKnowsThatItIsOne(t *testing.T) {
	b := newBench(t, "a", "b", "c", "d")
	h := b.holder("a", "b", "c", "d")
	record := b.authority(h)
	assert.Assert(t, record.SuccessorsAlive)
	var later []fleet.NodeID
	for _, n := range []fleet.NodeID{"a", "b", "c", "d"} {
		if n == h {
			continue
		}
		// One after the other dies and comes back as a new run that is granted anew.
		b.state(n, lease.MemberDead)
		b.run(time.Second, h)
		m := b.members[n]
		m.Incarnation, m.State = 2, lease.MemberAlive
		b.members[n] = m
		b.cores[n] = lease.New(lease.Config{}, cell, lease.Holder{Node: n, Incarnation: 2})
		later = append(later, n)
		b.run(time.Second, append(later, h)...)
	}
	notice, holds := b.cores[h].Notice()
	assert.Assert(t, holds)
	for _, n := range later {
		b.cores[n].HandleNotice(b.now, notice)
	}
	b.run(time.Second, append(later, h)...)
	b.down = true
	b.state(h, lease.MemberDead)
	b.run(10*time.Second, later...)
	acting := 0
	for _, n := range later {
		if b.authority(n).InOffice {
			acting++
		}
	}
	assert.Equal(t, acting, 1)
}

func TestHandover(t *testing.T) {
	b := newBench(t, "a", "b", "c")
	h := b.holder("a", "b", "c")
	b.run(time.Second, "a", "b", "c")
	b.cores[h].SetLeaving(b.now)
	b.state(h, lease.MemberLeaving)
	b.run(time.Second, h)
	a := b.authority(h)
	assert.Assert(t, !a.InOffice)
	assert.Assert(t, a.Holder.Node != h)
	next := b.cores[a.Holder.Node]
	next.HandleHint(b.now, a.Holder, a.Epoch)
	b.run(time.Second, a.Holder.Node)
	got := next.Authority(b.now)
	assert.Assert(t, got.InOffice && got.PredecessorStopped, "%+v", got)
}

func TestFencedHolderIsOutAtOnceAndClaimsAnew(t *testing.T) {
	b := newBench(t, "a", "b", "c")
	h := b.holder("a", "b", "c")
	b.cores[h].HandleDeposed(b.now, 7)
	assert.Assert(t, !b.authority(h).InOffice)
	b.run(5*time.Second, h)
	a := b.authority(h)
	assert.Assert(t, a.InOffice && a.Epoch > 7, "%+v", a)
}

func TestOldReadChangesNothing(t *testing.T) {
	b := newBench(t, "a", "b", "c")
	h := b.holder("a", "b", "c")
	old := b.obj
	b.state(h, lease.MemberDead)
	next := b.holder(others(h)...)
	epoch := b.authority(next).Epoch
	b.cores[next].HandleRead(b.now, old, nil)
	assert.Equal(t, b.authority(next).Epoch, epoch)
	assert.Assert(t, b.authority(next).InOffice)
}

func TestDamagedRecordIsNotOverwritten(t *testing.T) {
	b := newBench(t, "a")
	b.obj = platform.Object{Version: 9, Writer: "x", Value: []byte("{")}
	b.run(10*time.Second, "a")
	assert.Equal(t, b.writes, 0)
	assert.Assert(t, !b.authority("a").InOffice)
}
