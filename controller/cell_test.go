package controller_test

import (
	"container/heap"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/controller"
	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/lease"
	"github.com/redwingnotch/redwingnotch/loadbudget"
	"github.com/redwingnotch/redwingnotch/platform"
)

// Parameters of fakeCell. A message takes netDelay to twice that. A call to the
// object API without a response fails after storeTimeout. A report is less than
// reportLag old unless reports are frozen. The VM list shows a change after
// listLag.
const (
	testCell         fleet.CellID = "cell"
	tickInterval                  = 50 * time.Millisecond
	netDelay                      = time.Millisecond
	suspicionTimeout              = 5 * time.Second // time after which membership reports an unresponsive node dead
	storeTimeout                  = time.Second
	reportLag                     = 700 * time.Millisecond
	listLag                       = 2 * time.Second
	gib                           = int64(1) << 30
)

var epochStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type event struct {
	at  time.Time
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

// testNode is one entry node with its lease core and its controller.
type testNode struct {
	id                fleet.NodeID
	incarnation       fleet.Incarnation
	lease             *lease.Core
	ctrl              *controller.Core
	crashed           bool
	removed           bool // its VM was removed
	left              bool
	paused            bool
	unresponsiveSince time.Time // time of the last crash or pause
	heldMessages      []func()  // messages received while paused
	authority         lease.Authority
	blocked           []controller.Blocked
	orders            int
	messages          int
}

// reporter is implemented by testing.TB and *rapid.T.
type reporter interface {
	Helper()
	Logf(format string, args ...any)
	Fatalf(format string, args ...any)
}

// startedLoad is a load that an engine started.
type startedLoad struct {
	at    time.Time
	model fleet.ModelID
}

// fakeCell simulates entry nodes, engines and the object API, with delays and
// message losses from a seeded source.
type fakeCell struct {
	t            reporter
	rng          *rand.Rand
	now          time.Time
	seq          int
	events       eventHeap
	nodes        []*testNode
	engines      []*fakeEngine
	store        fakeStore
	release      uint64
	models       []fleet.Model
	adapters     []fleet.Adapter
	budget       loadbudget.Settings
	demandRanks  map[fleet.Target]fleet.Rank
	retention    time.Duration
	lossRate     float64                                         // probability that a message or a response is lost
	partitioned  map[string]bool                                 // keys: "node", "node/engine" and "node/store"
	noDemandNode *testNode                                       // node that receives no demands
	falselyDead  *testNode                                       // running node that membership reports dead
	orderDelay   func(n *testNode, o engine.Order) time.Duration // extra delay of an order on its way to the engine
	violations   []string
	stopping     []fleet.BackendID
	startedLoads []startedLoad // loads started at any engine
}

func newCell(t reporter, seed int64, nodes, engines int, fencing bool) *fakeCell {
	c := &fakeCell{
		t: t, rng: rand.New(rand.NewSource(seed)), now: epochStart,
		demandRanks: map[fleet.Target]fleet.Rank{}, partitioned: map[string]bool{}, retention: 10 * time.Minute,
		budget: loadbudget.Settings{LoadsPerSecond: 5, LoadsInFlight: 4, AdaptersInFlight: 32},
	}
	c.store.up = true
	c.release = 1
	for i := range engines {
		c.engines = append(c.engines, newEngine(c, fmt.Sprintf("e%02d", i), fencing, 40*gib))
	}
	for i := range 6 {
		c.models = append(c.models, fleet.Model{
			ID: fleet.ModelID(fmt.Sprintf("m%d", i)), Version: "1", MaxReplicas: 1 + i%2,
			MemoryBytes: 15 * gib, LoadTime: 4 * time.Second, Slots: 4,
		})
		c.adapters = append(c.adapters, fleet.Adapter{Model: c.models[i].ID, ID: "a", Version: "1", MemoryBytes: gib})
	}
	for i := range nodes {
		n := &testNode{id: fleet.NodeID(fmt.Sprintf("n%d", i))}
		c.nodes = append(c.nodes, n)
		c.start(n)
		c.tickNode(n)
	}
	return c
}

func (c *fakeCell) start(n *testNode) {
	n.incarnation++
	n.crashed, n.paused, n.left, n.removed, n.heldMessages = false, false, false, false, nil
	n.lease = lease.New(lease.Config{}, testCell, lease.Holder{Node: n.id, Incarnation: n.incarnation})
	n.ctrl = controller.New(controller.Config{Incarnation: n.incarnation, Budget: c.budget}, testCell, n.id)
}

func (c *fakeCell) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.now.Add(d), seq: c.seq, run: run})
}

func (c *fakeCell) run(d time.Duration) {
	end := c.now.Add(d)
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
		if len(c.violations) > 0 {
			c.t.Fatalf("after %v: %v", c.now.Sub(epochStart), c.violations)
		}
	}
	c.now = end
}

func (c *fakeCell) delay() time.Duration {
	return netDelay + time.Duration(c.rng.Int63n(int64(netDelay)))
}

func (c *fakeCell) dropMessage() bool { return c.rng.Float64() < c.lossRate }

// deliver runs a message handler at the given incarnation of a node after d. A
// paused node runs it when it resumes.
func (c *fakeCell) deliver(n *testNode, incarnation fleet.Incarnation, d time.Duration, run func()) {
	c.after(d, func() {
		switch {
		case n.crashed || n.incarnation != incarnation:
		case n.paused:
			n.heldMessages = append(n.heldMessages, run)
		default:
			run()
		}
	})
}

func (c *fakeCell) members() []lease.Member {
	var ms []lease.Member
	for i, n := range c.nodes {
		m := lease.Member{Node: n.id, Incarnation: n.incarnation, Zone: fleet.AvailabilityZone(fmt.Sprintf("z%d", i%3))}
		unresponsive := n.crashed || n.paused || c.partitioned[string(n.id)]
		switch {
		case n.removed:
			m.State = lease.MemberVMRemoved
		case n.left:
			m.State = lease.MemberLeft
		case n == c.falselyDead:
			m.State = lease.MemberDead
		case unresponsive && c.now.Sub(n.unresponsiveSince) >= suspicionTimeout:
			m.State = lease.MemberDead
		}
		ms = append(ms, m)
	}
	return ms
}

func (c *fakeCell) vms() []platform.VMRecord {
	var rs []platform.VMRecord
	for _, e := range c.engines {
		if !e.removedAt.IsZero() && c.now.Sub(e.removedAt) >= listLag {
			continue
		}
		vm := fleet.VM{ID: fleet.VMID("vm-" + e.id), Memory: e.memory}
		if e.listedLeaving && c.now.Sub(e.drainAt) >= listLag {
			vm.State = fleet.VMLeaving
		}
		rs = append(rs, platform.VMRecord{VM: vm, Backend: fleet.BackendServer{
			ID: e.id, VM: vm.ID, Cell: testCell, Address: string(e.id), Fencing: e.fencing,
		}})
	}
	return rs
}

func (c *fakeCell) demands() []fleet.Demand {
	var ds []fleet.Demand
	for target, rank := range c.demandRanks {
		if c.isServed(target) {
			continue
		}
		d := fleet.Demand{Target: target, OldestArrival: c.now, LastArrival: c.now}
		d.Waiting[rank] = 1
		ds = append(ds, d)
	}
	slices.SortFunc(ds, func(a, b fleet.Demand) int {
		if a.Target.String() < b.Target.String() {
			return -1
		}
		return 1
	})
	return ds
}

func (c *fakeCell) isServed(t fleet.Target) bool {
	for _, e := range c.engines {
		r := e.replicas[t.Model]
		if e.up() && r != nil && r.State == fleet.ReplicaReady && (t.Adapter == "" || slices.Contains(r.Adapters, t.Adapter)) {
			return true
		}
	}
	return false
}

// KeepUntil and LoadAhead implement controller.Retention.
func (c *fakeCell) KeepUntil(_ fleet.Target, lastUsed time.Time) time.Time {
	return lastUsed.Add(c.retention)
}
func (c *fakeCell) Preloads(time.Time) []fleet.Target { return nil }

func (c *fakeCell) tickNode(n *testNode) {
	c.after(tickInterval, func() { c.tickNode(n) })
	if n.crashed || n.paused || n.left {
		return
	}
	n.lease.SetMembers(c.now, c.members())
	c.storeCalls(n, n.lease.Tick(c.now))
	n.authority = n.lease.Authority(c.now)
	c.gossip(n)
	n.ctrl.SetAuthority(c.now, n.authority)
	n.ctrl.SetRelease(c.now, c.release, c.models, c.adapters)
	n.ctrl.SetStopping(c.now, c.stopping)
	n.ctrl.SetBackends(c.now, c.vms(), c.now)
	demands := c.demands()
	if n == c.noDemandNode {
		demands = nil
	}
	eff := n.ctrl.Tick(c.now, demands, c)
	n.blocked = eff.Blocked
	if eff.DesiredRecord != nil {
		n.lease.SetDesired(c.now, *eff.DesiredRecord)
	}
	if eff.HigherEpoch != 0 {
		n.lease.HandleHigherEpoch(c.now, eff.HigherEpoch)
	}
	for _, r := range eff.Reports {
		c.sendReport(n, r)
	}
	for _, o := range eff.Orders {
		c.sendOrder(n, o)
	}
}

// gossip sends one other node what this one knows of the active controller.
func (c *fakeCell) gossip(n *testNode) {
	peer := c.nodes[c.rng.Intn(len(c.nodes))]
	holder, epoch := n.authority.Holder, n.authority.Epoch
	if peer == n || epoch == 0 || c.dropMessage() {
		return
	}
	update, holds := n.lease.VersionUpdate()
	c.deliver(peer, peer.incarnation, c.delay(), func() {
		peer.lease.HandleHolderHint(c.now, holder, epoch)
		if holds {
			peer.lease.HandleVersionUpdate(c.now, update)
		}
	})
}

func (c *fakeCell) isPartitioned(n *testNode, e *fakeEngine) bool {
	return c.partitioned[string(n.id)] || c.partitioned[string(n.id)+"/"+string(e.id)]
}

func (c *fakeCell) sendReport(n *testNode, r controller.ReportRequest) {
	e, incarnation, sent := c.findEngine(r.Backend), n.incarnation, c.now
	n.messages++
	c.after(c.delay(), func() {
		if !e.up() || c.isPartitioned(n, e) || c.dropMessage() {
			return
		}
		report := e.laggingReport()
		c.deliver(n, incarnation, c.delay(), func() { n.ctrl.HandleReport(c.now, sent, report) })
	})
}

func (c *fakeCell) sendOrder(n *testNode, o controller.SendOrder) {
	e, incarnation, sent := c.findEngine(o.Backend), n.incarnation, c.now
	n.orders++
	n.messages++
	extra := time.Duration(0)
	if c.orderDelay != nil {
		extra = c.orderDelay(n, o.Order)
	}
	respond := func(report *engine.Report, err error) {
		res := controller.OrderResult{OrderID: o.Order.ID, Backend: e.id, SentAt: sent, Report: report, Err: err}
		c.deliver(n, incarnation, c.delay(), func() { n.ctrl.HandleOrderResult(c.now, res) })
	}
	boot := e.boot
	if o.VerifyBoot && boot != o.Order.Boot {
		respond(nil, engine.ErrWrongBoot)
		return
	}
	c.after(c.delay()+extra, func() {
		dropped := !e.up() || c.isPartitioned(n, e) || c.dropMessage() || e.dropOrdersFrom == n
		if dropped || (o.VerifyBoot && e.boot != boot) { // the connection closed when the boot ended
			respond(nil, engine.ErrUnknown)
			return
		}
		report, err := e.handleOrder(o.Order)
		if c.dropMessage() {
			respond(nil, engine.ErrUnknown)
			return
		}
		respond(report, err)
	})
}

func (c *fakeCell) storeCalls(n *testNode, eff lease.Effects) {
	incarnation := n.incarnation
	if eff.Read {
		c.after(c.delay(), func() {
			obj, err := c.store.get()
			if !c.store.up || c.dropMessage() || c.partitioned[string(n.id)+"/store"] {
				c.deliver(n, incarnation, storeTimeout, func() { n.lease.HandleRead(c.now, platform.Object{}, platform.ErrUnavailable) })
				return
			}
			c.deliver(n, incarnation, c.delay(), func() { n.lease.HandleRead(c.now, obj, err) })
		})
	}
	if w := eff.Write; w != nil {
		c.after(c.delay(), func() {
			reached := c.store.up && !c.partitioned[string(n.id)+"/store"] && !c.dropMessage()
			version, err := uint64(0), platform.ErrUnknown
			if reached {
				version, err = c.store.put(w)
			}
			if !reached || c.dropMessage() || c.store.loseResponse() {
				c.deliver(n, incarnation, storeTimeout, func() { n.lease.HandleWrite(c.now, w.Writer, 0, platform.ErrUnknown) })
				return
			}
			c.deliver(n, incarnation, c.delay(), func() { n.lease.HandleWrite(c.now, w.Writer, version, err) })
		})
	}
}

func (c *fakeCell) findEngine(id fleet.BackendID) *fakeEngine {
	for _, e := range c.engines {
		if e.id == id {
			return e
		}
	}
	c.t.Fatalf("no engine %s", id)
	return nil
}

func (c *fakeCell) pause(n *testNode) { n.paused, n.unresponsiveSince = true, c.now }

func (c *fakeCell) resume(n *testNode) {
	n.paused = false
	for _, run := range n.heldMessages {
		run()
	}
	n.heldMessages = nil
}

func (c *fakeCell) crash(n *testNode) { n.crashed, n.unresponsiveSince = true, c.now }

// activeNode returns the active node with the highest epoch.
func (c *fakeCell) activeNode() *testNode {
	var best *testNode
	for _, n := range c.nodes {
		down := n.crashed || n.paused || n.left
		if !down && n.authority.Active && (best == nil || n.authority.Epoch > best.authority.Epoch) {
			best = n
		}
	}
	return best
}

// waitUntil runs the cell until done holds and returns how long that took.
func (c *fakeCell) waitUntil(limit time.Duration, what string, done func() bool) time.Duration {
	c.t.Helper()
	start := c.now
	for !done() {
		if c.now.Sub(start) > limit {
			if h := c.activeNode(); h != nil {
				c.t.Logf("active controller has replicas %+v", h.ctrl.Replicas())
			}
			for _, n := range c.nodes {
				c.t.Logf("%s/%d crashed %t left %t: %+v blocked %v", n.id, n.incarnation, n.crashed, n.left, n.authority, n.blocked)
			}
			for _, e := range c.engines {
				c.t.Logf("%s boot %s epoch %d: %v", e.id, e.boot, e.epoch, e.replicas)
			}
			c.t.Fatalf("%s: not reached within %v", what, limit)
		}
		c.run(tickInterval)
	}
	return c.now.Sub(start)
}

func (c *fakeCell) addDemand(m string) fleet.Target {
	target := fleet.Target{Model: fleet.ModelID(m)}
	c.demandRanks[target] = fleet.RankUrgent
	return target
}

func (c *fakeCell) waitServed(limit time.Duration, m string) time.Duration {
	c.t.Helper()
	target := c.addDemand(m)
	return c.waitUntil(limit, m+" served", func() bool { return c.isServed(target) })
}

// waitForActive runs the cell until a node is active and has had time to raise
// the epoch of all engines.
func (c *fakeCell) waitForActive() *testNode {
	c.t.Helper()
	c.waitUntil(time.Minute, "an active controller", func() bool { return c.activeNode() != nil && len(c.activeNode().authority.ServerSets) > 0 })
	c.run(time.Second)
	return c.activeNode()
}

func (c *fakeCell) replicaCount(m string) int {
	n := 0
	for _, e := range c.engines {
		if e.up() && e.replicas[fleet.ModelID(m)] != nil {
			n++
		}
	}
	return n
}

func TestColdStartLoadsOnce(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		c := newCell(t, 1, 3, 6, fencing)
		c.waitForActive()
		c.waitServed(6*time.Second, "m0")
		c.run(10 * time.Second)
		assert.Equal(t, c.replicaCount("m0"), 1)
		assert.Equal(t, c.loadCount("m0"), 1)
	}
}

func (c *fakeCell) loadCount(m string) int {
	n := 0
	for _, e := range c.engines {
		n += e.loadCount[fleet.ModelID(m)]
	}
	return n
}
