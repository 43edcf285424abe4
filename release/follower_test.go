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

// simulation runs nodes, each with a membership core and a Follower, in virtual
// time. Datagrams arrive immediately; fetches and watches take one tick.
type simulation struct {
	t              testing.TB
	now            time.Time
	store          *objectapi.API
	nodes          []*simNode
	byAddr         map[string]*simNode
	nextTick       []func()                 // fetches and watches that complete on the next tick
	watchesStalled bool                     // whether watches get no response
	partitioned    func(a, b *simNode) bool // whether a and b can't reach each other; nil if all can
	storeReads     int                      // number of fetches from the store
}

type simNode struct {
	core              *membership.Core
	release           *Follower
	headObjectVersion uint64 // version of the head object that the watch returned last
}

// newSimulation starts the nodes and waits until all of them serve.
func newSimulation(t testing.TB, count int) *simulation {
	s := &simulation{t: t, now: time.Unix(1_700_000_000, 0), store: objectapi.New(), byAddr: map[string]*simNode{}}
	for i := range count {
		s.nodes = append(s.nodes, s.start(i, 1))
	}
	s.run(5 * time.Second)
	s.waitFor(time.Minute, "all nodes serve", func(n *simNode) bool { return n.release.SyncState(s.now) == SyncCurrent })
	return s
}

// start returns a new run of the node with the index i. run seeds its random numbers.
func (s *simulation) start(i int, run uint64) *simNode {
	addr := fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)
	zone := fleet.AvailabilityZone(fmt.Sprintf("zone-%d", i%10))
	if len(s.nodes) < 10 {
		zone = fleet.AvailabilityZone(fmt.Sprintf("zone-%d", i%3))
	}
	self := membership.Member{
		ID: fleet.NodeID(fmt.Sprintf("entry-%03d", i)), Incarnation: membership.NewIncarnation(s.now), GossipAddr: addr, Zone: zone,
	}
	rng := rand.New(rand.NewPCG(uint64(i), run))
	core, err := membership.New(s.now, self, membership.DefaultSettings(), make([]byte, 16), rng)
	assert.NilError(s.t, err)
	core.SetSeeds([]string{"10.0.0.0:1", "10.0.0.1:1"})
	n := &simNode{core: core, release: NewFollower(s.now, self.ID, zone, DefaultFollowerSettings(), rng)}
	s.byAddr[addr] = n
	return n
}

// deliver carries out the effects of a node's membership core.
func (s *simulation) deliver(from *simNode, out membership.Effects) {
	for _, e := range out.Events {
		if e.Kind == membership.EventItem && e.Item.Kind == membership.ItemRelease {
			from.release.HandleAnnouncement(e.Item.Version, fleet.NodeID(e.Item.Value))
		}
	}
	for _, p := range out.Packets {
		to := s.byAddr[p.Addr]
		if to != nil && (s.partitioned == nil || !s.partitioned(from, to)) {
			s.deliver(to, to.core.Receive(s.now, p.Data))
		}
	}
}

// run advances the virtual time by d.
func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(membership.TickInterval) {
		due := s.nextTick
		s.nextTick = nil
		for _, do := range due {
			do()
		}
		for _, n := range s.nodes {
			s.deliver(n, n.core.Tick(s.now))
			s.step(n)
		}
	}
}

// step ticks a node's Follower and carries out its effects.
func (s *simulation) step(n *simNode) {
	if s.now.UnixMilli()%1000 == 0 {
		n.release.SetPeers(s.now, peersOf(n.core))
	}
	e := n.release.Tick(s.now)
	if e.Announce > 0 {
		item := membership.Item{Kind: membership.ItemRelease, Key: HeadName, Version: e.Announce, Value: []byte(n.core.Self().ID)}
		_ = n.core.Broadcast(s.now, item) // an error means that others have announced the version before
		n.core.SetReleaseVersion(e.Announce)
	}
	if e.Fetch {
		s.nextTick = append(s.nextTick, func() { s.fetch(n, e) })
	}
	if e.Watch && !s.watchesStalled {
		s.nextTick = append(s.nextTick, func() { s.watch(n) })
	}
}

// peersOf returns the live members other than the node itself.
func peersOf(c *membership.Core) []Peer {
	var peers []Peer
	for _, m := range c.Members() {
		if m.ID != c.Self().ID && !m.State.Stopped() {
			peers = append(peers, Peer{ID: m.ID, Zone: m.Zone, Version: m.ReleaseVersion, LastContact: m.LastContact})
		}
	}
	return peers
}

var errNoResponse = errors.New("no response")

// fetch completes a fetch of the node.
func (s *simulation) fetch(n *simNode, e FollowerEffects) {
	if e.From.store() {
		s.storeReads++
		u, err := LoadUpdate(context.Background(), s.store, e.After)
		n.release.HandleUpdate(s.now, s.now, e.From, u, err)
		return
	}
	for _, peer := range s.nodes {
		if peer.core.Self().ID != e.From.Peer || (s.partitioned != nil && s.partitioned(n, peer)) {
			continue
		}
		if a, ok := peer.release.EncodedUpdate(e.After); ok {
			u, err := a.Update()
			n.release.HandleUpdate(s.now, s.now, e.From, u, err)
			return
		}
	}
	n.release.HandleUpdate(s.now, s.now, e.From, Update{}, errNoResponse)
}

// watch completes one watch call of the node.
func (s *simulation) watch(n *simNode) {
	obj, err := s.store.Get(context.Background(), platform.KindRelease, HeadName)
	if errors.Is(err, platform.ErrNotFound) || (err == nil && obj.Version == n.headObjectVersion) {
		n.release.HandleWatch(s.now, 0)
		return
	}
	if err != nil {
		return
	}
	n.headObjectVersion = obj.Version
	head, err := DecodeHead(obj)
	assert.NilError(s.t, err)
	n.release.HandleWatch(s.now, head.Version)
	u, err := head.Update(context.Background(), s.store, n.release.Version())
	n.release.HandleUpdate(s.now, s.now, Source{}, u, err)
}

// waitFor runs until the condition holds on all nodes, and returns the time that it
// took.
func (s *simulation) waitFor(limit time.Duration, what string, holds func(*simNode) bool) time.Duration {
	s.t.Helper()
	start := s.now
	for {
		all := true
		for _, n := range s.nodes {
			all = all && holds(n)
		}
		if all {
			return s.now.Sub(start)
		}
		if s.now.Sub(start) >= limit {
			s.t.Fatalf("%s: not within %v", what, limit)
		}
		s.run(membership.TickInterval)
	}
}

// publish publishes a note and returns its version.
func (s *simulation) publish(slots int) uint64 {
	a, err := publish(s.t, s.store, "ana", modelNote("m", slots))
	assert.NilError(s.t, err)
	return a.Version
}

// hasVersion returns a condition for waitFor: the node has at least the version.
func hasVersion(version uint64) func(*simNode) bool {
	return func(n *simNode) bool { return n.release.Version() >= version }
}

// Required limits of the time from the acceptance of a note until it is in force on
// all nodes.
const (
	maxDelay         = 3 * time.Second  // with 9 nodes
	maxDelayDegraded = 16 * time.Second // with 780 nodes, or with stalled watches
)

func TestReleasePropagatesInTime(t *testing.T) {
	s := newSimulation(t, 9)
	for i := range 5 {
		s.waitFor(maxDelay, "note in force", hasVersion(s.publish(i+1)))
		s.run(700 * time.Millisecond)
	}
}

func TestReleasePropagatesFromOneRelayDuringOutage(t *testing.T) {
	s := newSimulation(t, 9)
	version := s.publish(1)
	for _, n := range s.nodes {
		if n.release.IsRelay() {
			s.watch(n)
			break
		}
	}
	s.store.Faults.SetOutage(true)
	s.waitFor(maxDelay, "note in force", hasVersion(version))
}

func TestReleasePropagatesWithStalledWatches(t *testing.T) {
	s := newSimulation(t, 9)
	s.watchesStalled = true
	s.waitFor(maxDelayDegraded, "note in force", hasVersion(s.publish(1)))
}

func TestRestartedNodeSyncsFromPeersDuringOutage(t *testing.T) {
	s := newSimulation(t, 9)
	version := s.publish(1)
	s.waitFor(maxDelay, "note in force", hasVersion(version))
	s.store.Faults.SetOutage(true)
	s.nodes[4] = s.start(4, 2)
	s.waitFor(10*time.Second, "the node serves again", func(n *simNode) bool {
		assert.Assert(t, n.release.SyncState(s.now) == SyncUnknown || n.release.Version() == version)
		return n.release.SyncState(s.now) == SyncCurrent
	})
}

func TestAllNodesRestartedDuringOutageRefuse(t *testing.T) {
	s := newSimulation(t, 9)
	version := s.publish(1)
	s.waitFor(maxDelay, "note in force", hasVersion(version))
	s.store.Faults.SetOutage(true)
	for i := range s.nodes {
		s.nodes[i] = s.start(i, 2)
	}
	s.run(time.Minute)
	for _, n := range s.nodes {
		assert.Equal(t, n.release.SyncState(s.now), SyncUnknown)
	}
	s.store.Faults.SetOutage(false)
	s.waitFor(10*time.Second, "all serve again", func(n *simNode) bool {
		return n.release.SyncState(s.now) == SyncCurrent && n.release.Version() == version
	})
}

func TestDisconnectedNodeExpires(t *testing.T) {
	s := newSimulation(t, 9)
	isolated := s.nodes[4]
	s.partitioned = func(a, b *simNode) bool { return a == isolated || b == isolated }
	s.store.Faults.SetOutage(true)
	s.run(DefaultFollowerSettings().DisconnectedAfter + 3*time.Second)
	assert.Equal(t, isolated.release.SyncState(s.now), SyncDisconnected)
	assert.Equal(t, s.nodes[0].release.SyncState(s.now), SyncCurrent)
	s.run(DefaultFollowerSettings().RefuseAfter)
	assert.Equal(t, isolated.release.SyncState(s.now), SyncExpired)
	s.store.Faults.SetOutage(false)
	s.partitioned = nil
	s.waitFor(10*time.Second, "the node serves again", func(n *simNode) bool { return n.release.SyncState(s.now) == SyncCurrent })
}

func TestStaleUpdatesNeverLowerVersion(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	r := NewFollower(now, "entry-000", "zone-0", DefaultFollowerSettings(), rand.New(rand.NewPCG(1, 1)))
	r.SetPeers(now, []Peer{{ID: "entry-001", Zone: "zone-0", Version: 3, LastContact: now}})
	old := stateAfter(t, modelNote("m", 1), modelNote("m", 2))
	assert.Assert(t, r.HandleUpdate(now, now, Source{}, Update{Version: 2, State: old.Clone()}, nil))
	assert.Equal(t, r.SyncState(now), SyncUnknown, "the store has an older version than a peer")
	newer := stateAfter(t, modelNote("m", 1), modelNote("m", 2), modelNote("m", 3))
	assert.Assert(t, r.HandleUpdate(now, now, Source{Peer: "entry-001"}, Update{Version: 3, State: newer}, nil))
	assert.Equal(t, r.SyncState(now), SyncCurrent)
	assert.Assert(t, !r.HandleUpdate(now, now, Source{}, Update{Version: 2, State: old}, nil))
	r.HandleWatch(now, 1)
	r.HandleAnnouncement(2, "entry-001")
	assert.Equal(t, r.Version(), uint64(3))
	gap := &Difference{Version: 9}
	assert.Assert(t, !r.HandleUpdate(now, now, Source{}, Update{Version: 9, Differences: []*Difference{gap}}, nil))
	assert.Equal(t, r.Version(), uint64(3))
	r.Reconfirm(now)
	assert.Equal(t, r.SyncState(now), SyncUnknown)
}

func TestSetVersionAssertsIncrease(t *testing.T) {
	s := stateAfter(t, modelNote("m", 1))
	defer func() {
		assert.ErrorContains(t, recover().(error), "version_monotonic")
	}()
	s.setVersion(1, time.Time{}, "")
}

// BenchmarkScaleRelease measures the virtual time from the acceptance of a note
// until it is in force on the last of N nodes, and the reads of the store per
// second meanwhile.
func BenchmarkScaleRelease(b *testing.B) {
	for _, nodes := range []int{8, 80, 780} {
		b.Run(fmt.Sprintf("N=%d", nodes), func(b *testing.B) {
			s := newSimulation(b, nodes)
			s.run(10 * time.Second)
			b.ResetTimer()
			var last, longest time.Duration
			start, storeReads := s.now, s.storeReads
			for i := range b.N {
				took := s.waitFor(time.Minute, "note in force", hasVersion(s.publish(i+1)))
				last += took
				longest = max(longest, took)
				s.run(6 * time.Second)
			}
			b.ReportMetric(last.Seconds()/float64(b.N), "virtual-s")
			b.ReportMetric(longest.Seconds(), "longest-virtual-s")
			b.ReportMetric(float64(s.storeReads-storeReads)/s.now.Sub(start).Seconds(), "store-reads/s")
		})
	}
}

// BenchmarkScaleState measures the time to apply one difference, and the sizes of
// the state, for 200 to 27,000 adapters.
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

// heapBytes returns the size of the live heap.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkScaleReplicaTick measures the time of SetPeers and one Tick of a Follower
// among N nodes.
func BenchmarkScaleReplicaTick(b *testing.B) {
	for _, nodes := range []int{8, 80, 780} {
		b.Run(fmt.Sprintf("N=%d", nodes), func(b *testing.B) {
			now := time.Unix(1_700_000_000, 0)
			r := NewFollower(now, "entry-000", "zone-0", DefaultFollowerSettings(), rand.New(rand.NewPCG(1, 1)))
			var peers []Peer
			for i := 1; i < nodes; i++ {
				zone := fleet.AvailabilityZone(fmt.Sprintf("zone-%d", i%10))
				peers = append(peers, Peer{ID: fleet.NodeID(fmt.Sprintf("entry-%03d", i)), Zone: zone, LastContact: now})
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

// TestResponseFromBeforePauseDoesNotConfirm: a response to a fetch that was made
// before the process was paused must not let the node serve by the version that it
// had then.
func TestResponseFromBeforePauseDoesNotConfirm(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	for _, from := range []Source{{Peer: "entry-001"}, {}} {
		r := NewFollower(start, "entry-000", "zone-0", DefaultFollowerSettings(), rand.New(rand.NewPCG(1, 1)))
		r.SetPeers(start, []Peer{{ID: "entry-001", Zone: "zone-0", Version: 2, LastContact: start}})
		state := stateAfter(t, modelNote("m", 1), modelNote("m", 2))
		assert.Assert(t, r.HandleUpdate(start, start, from, Update{Version: 2, State: state}, nil))
		assert.Equal(t, r.SyncState(start), SyncCurrent)
		resumed := start.Add(time.Minute)
		r.Reconfirm(resumed)
		r.HandleUpdate(resumed, start, from, Update{Version: 2}, nil)
		assert.Equal(t, r.SyncState(resumed), SyncUnknown, "from %q", from.Peer)
		r.HandleUpdate(resumed, resumed, from, Update{Version: 2}, nil)
		assert.Equal(t, r.SyncState(resumed), SyncCurrent, "from %q", from.Peer)
	}
}
