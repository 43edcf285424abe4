package release

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/membership"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/standin/objectapi"
)

// followers steps nodes with a membership core and a replica each in virtual
// time. Datagrams arrive at once, fetches and watches take one tick.
type followers struct {
	t       testing.TB
	now     time.Time
	store   *objectapi.API
	nodes   []*follower
	byAddr  map[string]*follower
	later   []func()
	noWatch bool // whether watches are silent
	cut     func(a, b *follower) bool
	reads   int // of the store by replicas
}

type follower struct {
	core    *membership.Core
	replica *Replica
	object  uint64 // version of the head object last seen by the watch
}

func newFollowers(t testing.TB, count int) *followers {
	f := &followers{t: t, now: time.Unix(1_700_000_000, 0), store: objectapi.New(), byAddr: map[string]*follower{}}
	for i := range count {
		f.nodes = append(f.nodes, f.start(i, 1))
	}
	f.run(5 * time.Second)
	f.within(time.Minute, "all nodes serve", func(n *follower) bool { return n.replica.Standing(f.now) == StandingCurrent })
	return f
}

func (f *followers) start(i int, run uint64) *follower {
	addr := fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)
	zone := fleet.AvailabilityZone(fmt.Sprintf("zone-%d", i%10))
	if len(f.nodes) < 10 {
		zone = fleet.AvailabilityZone(fmt.Sprintf("zone-%d", i%3))
	}
	self := membership.Member{
		ID: fleet.NodeID(fmt.Sprintf("entry-%03d", i)), Incarnation: membership.NewIncarnation(f.now), GossipAddr: addr, Zone: zone,
	}
	rng := rand.New(rand.NewPCG(uint64(i), run))
	core, err := membership.New(f.now, self, membership.DefaultSettings(), make([]byte, 16), rng)
	assert.NilError(f.t, err)
	core.SetSeeds([]string{"10.0.0.0:1", "10.0.0.1:1"})
	n := &follower{core: core, replica: NewReplica(f.now, self.ID, zone, DefaultReplicaSettings(), rng)}
	f.byAddr[addr] = n
	return n
}

func (f *followers) carry(from *follower, out membership.Effects) {
	for _, e := range out.Events {
		if e.Kind == membership.EventItem && e.Item.Kind == membership.ItemRelease {
			from.replica.HandleHeard(e.Item.Version, fleet.NodeID(e.Item.Value))
		}
	}
	for _, p := range out.Packets {
		to := f.byAddr[p.Addr]
		if to != nil && (f.cut == nil || !f.cut(from, to)) {
			f.carry(to, to.core.Receive(f.now, p.Data))
		}
	}
}

func (f *followers) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(membership.TickInterval) {
		due := f.later
		f.later = nil
		for _, do := range due {
			do()
		}
		for _, n := range f.nodes {
			f.carry(n, n.core.Tick(f.now))
			f.follow(n)
		}
	}
}

// follow carries out what a node's replica asks for.
func (f *followers) follow(n *follower) {
	if f.now.UnixMilli()%1000 == 0 {
		n.replica.SetPeers(f.now, peersOf(n.core))
	}
	e := n.replica.Tick(f.now)
	if e.Announce > 0 {
		item := membership.Item{Kind: membership.ItemRelease, Key: HeadName, Version: e.Announce, Value: []byte(n.core.Self().ID)}
		_ = n.core.Broadcast(f.now, item) // others may have announced it before
		n.core.SetReleaseVersion(e.Announce)
	}
	if e.Fetch {
		f.later = append(f.later, func() { f.fetch(n, e) })
	}
	if e.Watch && !f.noWatch {
		f.later = append(f.later, func() { f.watch(n) })
	}
}

func peersOf(c *membership.Core) []Peer {
	var peers []Peer
	for _, m := range c.Members() {
		if m.ID != c.Self().ID && !m.State.Gone() {
			peers = append(peers, Peer{ID: m.ID, Zone: m.Zone, Version: m.ReleaseVersion, HeardAt: m.HeardAt})
		}
	}
	return peers
}

var errNoAnswer = errors.New("no answer")

func (f *followers) fetch(n *follower, e ReplicaEffects) {
	if e.From.store() {
		f.reads++
		u, err := Load(context.Background(), f.store, e.After)
		n.replica.HandleUpdate(f.now, e.From, u, err)
		return
	}
	for _, peer := range f.nodes {
		if peer.core.Self().ID != e.From.Peer || (f.cut != nil && f.cut(n, peer)) {
			continue
		}
		if a, ok := peer.replica.Answer(e.After); ok {
			u, err := a.Update()
			n.replica.HandleUpdate(f.now, e.From, u, err)
			return
		}
	}
	n.replica.HandleUpdate(f.now, e.From, Update{}, errNoAnswer)
}

func (f *followers) watch(n *follower) {
	obj, err := f.store.Get(context.Background(), platform.KindRelease, HeadName)
	if errors.Is(err, platform.ErrNotFound) || (err == nil && obj.Version == n.object) {
		n.replica.HandleWatch(f.now, 0)
		return
	}
	if err != nil {
		return
	}
	n.object = obj.Version
	head, err := DecodeHead(obj)
	assert.NilError(f.t, err)
	n.replica.HandleWatch(f.now, head.Version)
	u, err := head.Update(context.Background(), f.store, n.replica.Version())
	n.replica.HandleUpdate(f.now, Source{}, u, err)
}

// within lets time pass until the condition holds at all nodes.
func (f *followers) within(limit time.Duration, what string, holds func(*follower) bool) time.Duration {
	f.t.Helper()
	start := f.now
	for {
		all := true
		for _, n := range f.nodes {
			all = all && holds(n)
		}
		if all {
			return f.now.Sub(start)
		}
		if f.now.Sub(start) >= limit {
			f.t.Fatalf("%s: not within %v", what, limit)
		}
		f.run(membership.TickInterval)
	}
}

// publish makes the next version and returns it.
func (f *followers) publish(slots int) uint64 {
	a, err := publish(f.t, f.store, "ana", modelNote("m", slots))
	assert.NilError(f.t, err)
	return a.Version
}

func at(version uint64) func(*follower) bool {
	return func(n *follower) bool { return n.replica.Version() >= version }
}

// Bounds that the users state, for today's and the plan's size.
const (
	boundToday = 3 * time.Second
	boundPlan  = 16 * time.Second
)

func TestNoteIsInForceEverywhereInTime(t *testing.T) {
	f := newFollowers(t, 9)
	for i := range 5 {
		f.within(boundToday, "note in force", at(f.publish(i+1)))
		f.run(700 * time.Millisecond)
	}
}

func TestNoteWithTheStoreDownAfterOneRelaySawIt(t *testing.T) {
	f := newFollowers(t, 9)
	version := f.publish(1)
	for _, n := range f.nodes {
		if n.replica.Relay() {
			f.watch(n)
			break
		}
	}
	f.store.Faults.SetOutage(true)
	f.within(boundToday, "note in force", at(version))
}

func TestSilentWatchesAreBridgedByReads(t *testing.T) {
	f := newFollowers(t, 9)
	f.noWatch = true
	f.within(boundPlan, "note in force", at(f.publish(1)))
}

func TestRestartedNodeWithTheStoreDown(t *testing.T) {
	f := newFollowers(t, 9)
	version := f.publish(1)
	f.within(boundToday, "note in force", at(version))
	f.store.Faults.SetOutage(true)
	f.nodes[4] = f.start(4, 2)
	f.within(10*time.Second, "the node serves again", func(n *follower) bool {
		assert.Assert(t, n.replica.Standing(f.now) == StandingUnknown || n.replica.Version() == version)
		return n.replica.Standing(f.now) == StandingCurrent
	})
}

func TestAllRestartedWithTheStoreDownServeNothing(t *testing.T) {
	f := newFollowers(t, 9)
	version := f.publish(1)
	f.within(boundToday, "note in force", at(version))
	f.store.Faults.SetOutage(true)
	for i := range f.nodes {
		f.nodes[i] = f.start(i, 2)
	}
	f.run(time.Minute)
	for _, n := range f.nodes {
		assert.Equal(t, n.replica.Standing(f.now), StandingUnknown)
	}
	f.store.Faults.SetOutage(false)
	f.within(10*time.Second, "all serve again", func(n *follower) bool {
		return n.replica.Standing(f.now) == StandingCurrent && n.replica.Version() == version
	})
}

func TestCutOffNodeKnowsTheAgeOfItsView(t *testing.T) {
	f := newFollowers(t, 9)
	lonely := f.nodes[4]
	f.cut = func(a, b *follower) bool { return a == lonely || b == lonely }
	f.store.Faults.SetOutage(true)
	f.run(DefaultReplicaSettings().CutOffAfter + 3*time.Second)
	assert.Equal(t, lonely.replica.Standing(f.now), StandingCutOff)
	assert.Equal(t, f.nodes[0].replica.Standing(f.now), StandingCurrent)
	f.run(DefaultReplicaSettings().RefuseAfter)
	assert.Equal(t, lonely.replica.Standing(f.now), StandingExpired)
	f.store.Faults.SetOutage(false)
	f.cut = nil
	f.within(10*time.Second, "the node is back", func(n *follower) bool { return n.replica.Standing(f.now) == StandingCurrent })
}

func TestOldAnswersNeverLowerTheVersion(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	r := NewReplica(now, "entry-000", "zone-0", DefaultReplicaSettings(), rand.New(rand.NewPCG(1, 1)))
	r.SetPeers(now, []Peer{{ID: "entry-001", Zone: "zone-0", Version: 3, HeardAt: now}})
	old := stateAfter(t, modelNote("m", 1), modelNote("m", 2))
	assert.Assert(t, r.HandleUpdate(now, Source{}, Update{Version: 2, State: old.Clone()}, nil))
	assert.Equal(t, r.Standing(now), StandingUnknown, "the store shows less than a peer")
	newer := stateAfter(t, modelNote("m", 1), modelNote("m", 2), modelNote("m", 3))
	assert.Assert(t, r.HandleUpdate(now, Source{Peer: "entry-001"}, Update{Version: 3, State: newer}, nil))
	assert.Equal(t, r.Standing(now), StandingCurrent)
	assert.Assert(t, !r.HandleUpdate(now, Source{}, Update{Version: 2, State: old}, nil))
	r.HandleWatch(now, 1)
	r.HandleHeard(2, "entry-001")
	assert.Equal(t, r.Version(), uint64(3))
	gap := &Difference{Version: 9}
	assert.Assert(t, !r.HandleUpdate(now, Source{}, Update{Version: 9, Differences: []*Difference{gap}}, nil))
	assert.Equal(t, r.Version(), uint64(3))
	r.Reconfirm(now)
	assert.Equal(t, r.Standing(now), StandingUnknown)
}

func TestVersionInvariantFires(t *testing.T) {
	s := stateAfter(t, modelNote("m", 1))
	defer func() {
		assert.ErrorContains(t, recover().(error), "version_monotonic")
	}()
	s.setVersion(1, time.Time{}, "")
}

// BenchmarkScaleRelease gives the virtual time from an accepted note to in
// force at the last of N nodes, and the store's reads a second meanwhile.
func BenchmarkScaleRelease(b *testing.B) {
	for _, nodes := range []int{8, 80, 780} {
		b.Run(fmt.Sprintf("N=%d", nodes), func(b *testing.B) {
			f := newFollowers(b, nodes)
			f.run(10 * time.Second)
			b.ResetTimer()
			var last, longest time.Duration
			start, reads := f.now, f.reads
			for i := range b.N {
				took := f.within(time.Minute, "note in force", at(f.publish(i+1)))
				last += took
				longest = max(longest, took)
				f.run(6 * time.Second)
			}
			b.ReportMetric(last.Seconds()/float64(b.N), "virtual-s")
			b.ReportMetric(longest.Seconds(), "longest-virtual-s")
			b.ReportMetric(float64(f.reads-reads)/f.now.Sub(start).Seconds(), "store-reads/s")
		})
	}
}

// BenchmarkScaleState gives the time to apply one change and the sizes, for
// states of 200 to 27,000 adapters.
func BenchmarkScaleState(b *testing.B) {
	for _, adapters := range []int{200, 2000, 27000} {
		b.Run(fmt.Sprintf("adapters=%d", adapters), func(b *testing.B) {
			s := stateAfter(b, adaptersNote(adapters))
			encoded := EncodeState(s)
			note := mustParse(b, "adapters:\n  - {model: m, id: customer-00007, version: v9, memory: 100MiB}\n")
			d, err := note.Merge(s, "ana", time.Unix(1, 0))
			assert.NilError(b, err)
			data := EncodeDifference(d)
			b.ResetTimer()
			for range b.N {
				got, err := DecodeDifference(data)
				assert.NilError(b, err)
				got.Version = s.Version + 1
				assert.NilError(b, s.Apply(got))
			}
			b.StopTimer()
			start := time.Now()
			for range 10 {
				_, _ = s.Models("c"), s.Adapters("c")
			}
			b.ReportMetric(float64(time.Since(start).Microseconds())/10, "rows-us")
			before := heapBytes()
			start = time.Now()
			decoded, err := DecodeState(encoded)
			assert.NilError(b, err)
			b.ReportMetric(float64(time.Since(start).Microseconds()), "whole-us")
			b.ReportMetric(float64(heapBytes()-before), "heapB")
			runtime.KeepAlive(decoded)
			b.ReportMetric(float64(len(encoded)), "stateB")
			b.ReportMetric(float64(len(data)), "differenceB")
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkScaleReplicaTick gives the time of one tick of a node's view among N
// members, the table of members taken over anew.
func BenchmarkScaleReplicaTick(b *testing.B) {
	for _, nodes := range []int{8, 80, 780} {
		b.Run(fmt.Sprintf("N=%d", nodes), func(b *testing.B) {
			now := time.Unix(1_700_000_000, 0)
			r := NewReplica(now, "entry-000", "zone-0", DefaultReplicaSettings(), rand.New(rand.NewPCG(1, 1)))
			var peers []Peer
			for i := 1; i < nodes; i++ {
				zone := fleet.AvailabilityZone(fmt.Sprintf("zone-%d", i%10))
				peers = append(peers, Peer{ID: fleet.NodeID(fmt.Sprintf("entry-%03d", i)), Zone: zone, HeardAt: now})
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				at := now.Add(time.Duration(i) * membership.TickInterval)
				r.SetPeers(at, peers)
				r.Tick(at)
			}
		})
	}
}
