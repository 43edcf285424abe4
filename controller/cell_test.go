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

const (
	testCell     fleet.CellID = "cell"
	tickEvery                 = 50 * time.Millisecond
	netDelay                  = time.Millisecond
	deadAfter                 = 5 * time.Second // until membership calls a silent node dead
	storeTimeout              = time.Second
	reportLag                 = 700 * time.Millisecond
	listLag                   = 2 * time.Second
	gib                       = int64(1) << 30
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

// testNode is one entry VM with its cores.
type testNode struct {
	id       fleet.NodeID
	inc      fleet.Incarnation
	lease    *lease.Core
	ctrl     *controller.Core
	crashed  bool
	gone     bool // VM gone from the list
	left     bool
	paused   bool
	downAt   time.Time // of the last crash or pause
	inbox    []func()  // held back while paused
	auth     lease.Authority
	blocked  []controller.Blocked
	orders   int
	messages int
}

// reporter is what a test and a randomised run have in common.
type reporter interface {
	Helper()
	Logf(format string, args ...any)
	Fatalf(format string, args ...any)
}

// startedLoad is one load that an engine began.
type startedLoad struct {
	at    time.Time
	model fleet.ModelID
}

// fakeCell is the smallest world that the cores can run in: entry VMs, engines
// and the object API, with delays and losses from a seeded source.
type fakeCell struct {
	t        reporter
	rng      *rand.Rand
	now      time.Time
	seq      int
	events   eventHeap
	nodes    []*testNode
	engines  []*fakeEngine
	store    fakeStore
	release  uint64
	models   []fleet.Model
	adapter  []fleet.Adapter
	budget   loadbudget.Settings
	demand   map[fleet.Target]fleet.Rank
	keep     time.Duration
	loss     float64 // of each message or answer
	cut      map[string]bool
	unasked  *testNode                                       // hears of no demand
	dead     *testNode                                       // called dead by membership though it lives
	order    func(n *testNode, o engine.Order) time.Duration // extra delay on the way to the engine
	faults   []string
	stopping []fleet.BackendID
	started  []startedLoad // at any engine
}

func newCell(t reporter, seed int64, nodes, engines int, fencing bool) *fakeCell {
	c := &fakeCell{
		t: t, rng: rand.New(rand.NewSource(seed)), now: epochStart,
		demand: map[fleet.Target]fleet.Rank{}, cut: map[string]bool{}, keep: 10 * time.Minute,
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
		c.adapter = append(c.adapter, fleet.Adapter{Model: c.models[i].ID, ID: "a", Version: "1", MemoryBytes: gib})
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
	n.inc++
	n.crashed, n.paused, n.left, n.gone, n.inbox = false, false, false, false, nil
	n.lease = lease.New(lease.Config{}, testCell, lease.Holder{Node: n.id, Incarnation: n.inc})
	n.ctrl = controller.New(controller.Config{Incarnation: n.inc, Budget: c.budget}, testCell, n.id)
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
		if len(c.faults) > 0 {
			c.t.Fatalf("after %v: %v", c.now.Sub(epochStart), c.faults)
		}
	}
	c.now = end
}

func (c *fakeCell) delay() time.Duration {
	return netDelay + time.Duration(c.rng.Int63n(int64(netDelay)))
}

func (c *fakeCell) lost() bool { return c.rng.Float64() < c.loss }

// toNode delivers to one run of a node; a paused one gets it on waking.
func (c *fakeCell) toNode(n *testNode, inc fleet.Incarnation, d time.Duration, run func()) {
	c.after(d, func() {
		switch {
		case n.crashed || n.inc != inc:
		case n.paused:
			n.inbox = append(n.inbox, run)
		default:
			run()
		}
	})
}

func (c *fakeCell) members() []lease.Member {
	var ms []lease.Member
	for i, n := range c.nodes {
		m := lease.Member{Node: n.id, Incarnation: n.inc, Zone: fleet.AvailabilityZone(fmt.Sprintf("z%d", i%3))}
		silent := n.crashed || n.paused || c.cut[string(n.id)]
		switch {
		case n.gone:
			m.State = lease.MemberGone
		case n.left:
			m.State = lease.MemberLeft
		case n == c.dead:
			m.State = lease.MemberDead
		case silent && c.now.Sub(n.downAt) >= deadAfter:
			m.State = lease.MemberDead
		}
		ms = append(ms, m)
	}
	return ms
}

func (c *fakeCell) vms() []platform.VMRecord {
	var rs []platform.VMRecord
	for _, e := range c.engines {
		if !e.goneAt.IsZero() && c.now.Sub(e.goneAt) >= listLag {
			continue
		}
		vm := fleet.VM{ID: fleet.VMID("vm-" + e.id), Memory: e.memory}
		if e.leavingList && c.now.Sub(e.drainAt) >= listLag {
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
	for target, rank := range c.demand {
		if c.serves(target) {
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

func (c *fakeCell) serves(t fleet.Target) bool {
	for _, e := range c.engines {
		r := e.replicas[t.Model]
		if e.up() && r != nil && r.State == fleet.ReplicaReady && (t.Adapter == "" || slices.Contains(r.Adapters, t.Adapter)) {
			return true
		}
	}
	return false
}

// KeepUntil and LoadAhead make the cell its own retention policy.
func (c *fakeCell) KeepUntil(_ fleet.Target, lastUsed time.Time) time.Time {
	return lastUsed.Add(c.keep)
}
func (c *fakeCell) LoadAhead(time.Time) []fleet.Target { return nil }

func (c *fakeCell) tickNode(n *testNode) {
	c.after(tickEvery, func() { c.tickNode(n) })
	if n.crashed || n.paused || n.left {
		return
	}
	n.lease.SetMembers(c.now, c.members())
	c.storeCalls(n, n.lease.Tick(c.now))
	n.auth = n.lease.Authority(c.now)
	c.gossip(n)
	n.ctrl.SetAuthority(c.now, n.auth)
	n.ctrl.SetRelease(c.now, c.release, c.models, c.adapter)
	n.ctrl.SetStopping(c.now, c.stopping)
	n.ctrl.SetBackends(c.now, c.vms(), c.now)
	demands := c.demands()
	if n == c.unasked {
		demands = nil
	}
	eff := n.ctrl.Tick(c.now, demands, c)
	n.blocked = eff.Blocked
	if eff.Wanted != nil {
		n.lease.SetWanted(c.now, *eff.Wanted)
	}
	if eff.Deposed != 0 {
		n.lease.HandleDeposed(c.now, eff.Deposed)
	}
	for _, r := range eff.Reports {
		c.sendReport(n, r)
	}
	for _, o := range eff.Orders {
		c.sendOrder(n, o)
	}
}

// gossip tells one other node what this one knows of the holder.
func (c *fakeCell) gossip(n *testNode) {
	peer := c.nodes[c.rng.Intn(len(c.nodes))]
	holder, epoch := n.auth.Holder, n.auth.Epoch
	if peer == n || epoch == 0 || c.lost() {
		return
	}
	notice, holds := n.lease.Notice()
	c.toNode(peer, peer.inc, c.delay(), func() {
		peer.lease.HandleHint(c.now, holder, epoch)
		if holds {
			peer.lease.HandleNotice(c.now, notice)
		}
	})
}

func (c *fakeCell) cutOff(n *testNode, e *fakeEngine) bool {
	return c.cut[string(n.id)] || c.cut[string(n.id)+"/"+string(e.id)]
}

func (c *fakeCell) sendReport(n *testNode, r controller.ReportRequest) {
	e, inc, sent := c.engine(r.Backend), n.inc, c.now
	n.messages++
	c.after(c.delay(), func() {
		if !e.up() || c.cutOff(n, e) || c.lost() {
			return
		}
		report := e.laggingReport()
		c.toNode(n, inc, c.delay(), func() { n.ctrl.HandleReport(c.now, sent, report) })
	})
}

func (c *fakeCell) sendOrder(n *testNode, o controller.SendOrder) {
	e, inc, sent := c.engine(o.Backend), n.inc, c.now
	n.orders++
	n.messages++
	extra := time.Duration(0)
	if c.order != nil {
		extra = c.order(n, o.Order)
	}
	answer := func(report *engine.Report, err error) {
		res := controller.OrderResult{OrderID: o.Order.ID, Backend: e.id, SentAt: sent, Report: report, Err: err}
		c.toNode(n, inc, c.delay(), func() { n.ctrl.HandleOrderResult(c.now, res) })
	}
	boot := e.boot
	if o.VerifyBoot && boot != o.Order.Boot {
		answer(nil, engine.ErrWrongBoot)
		return
	}
	c.after(c.delay()+extra, func() {
		silent := !e.up() || c.cutOff(n, e) || c.lost() || e.deafTo == n
		if silent || (o.VerifyBoot && e.boot != boot) { // the connection ended with the boot
			answer(nil, engine.ErrUnknown)
			return
		}
		report, err := e.carryOut(o.Order)
		if c.lost() {
			answer(nil, engine.ErrUnknown)
			return
		}
		answer(report, err)
	})
}

func (c *fakeCell) storeCalls(n *testNode, eff lease.Effects) {
	inc := n.inc
	if eff.Read {
		c.after(c.delay(), func() {
			obj, err := c.store.get()
			if !c.store.up || c.lost() || c.cut[string(n.id)+"/store"] {
				c.toNode(n, inc, storeTimeout, func() { n.lease.HandleRead(c.now, platform.Object{}, platform.ErrUnavailable) })
				return
			}
			c.toNode(n, inc, c.delay(), func() { n.lease.HandleRead(c.now, obj, err) })
		})
	}
	if w := eff.Write; w != nil {
		c.after(c.delay(), func() {
			reached := c.store.up && !c.cut[string(n.id)+"/store"] && !c.lost()
			version, err := uint64(0), platform.ErrUnknown
			if reached {
				version, err = c.store.put(w)
			}
			if !reached || c.lost() || c.store.loseNext() {
				c.toNode(n, inc, storeTimeout, func() { n.lease.HandleWrite(c.now, w.Writer, 0, platform.ErrUnknown) })
				return
			}
			c.toNode(n, inc, c.delay(), func() { n.lease.HandleWrite(c.now, w.Writer, version, err) })
		})
	}
}

func (c *fakeCell) engine(id fleet.BackendID) *fakeEngine {
	for _, e := range c.engines {
		if e.id == id {
			return e
		}
	}
	c.t.Fatalf("no engine %s", id)
	return nil
}

func (c *fakeCell) pause(n *testNode) { n.paused, n.downAt = true, c.now }

func (c *fakeCell) wake(n *testNode) {
	n.paused = false
	for _, run := range n.inbox {
		run()
	}
	n.inbox = nil
}

func (c *fakeCell) crash(n *testNode) { n.crashed, n.downAt = true, c.now }

// holder returns the node in office with the highest epoch.
func (c *fakeCell) holder() *testNode {
	var best *testNode
	for _, n := range c.nodes {
		down := n.crashed || n.paused || n.left
		if !down && n.auth.InOffice && (best == nil || n.auth.Epoch > best.auth.Epoch) {
			best = n
		}
	}
	return best
}

// until runs until done holds and returns how long it took.
func (c *fakeCell) until(limit time.Duration, what string, done func() bool) time.Duration {
	c.t.Helper()
	start := c.now
	for !done() {
		if c.now.Sub(start) > limit {
			if h := c.holder(); h != nil {
				c.t.Logf("holder has %+v", h.ctrl.Replicas())
			}
			for _, n := range c.nodes {
				c.t.Logf("%s/%d crashed %t left %t: %+v blocked %v", n.id, n.inc, n.crashed, n.left, n.auth, n.blocked)
			}
			for _, e := range c.engines {
				c.t.Logf("%s boot %s epoch %d: %v", e.id, e.boot, e.epoch, e.replicas)
			}
			c.t.Fatalf("%s: not within %v", what, limit)
		}
		c.run(tickEvery)
	}
	return c.now.Sub(start)
}

func (c *fakeCell) ask(m string) fleet.Target {
	target := fleet.Target{Model: fleet.ModelID(m)}
	c.demand[target] = fleet.RankUrgent
	return target
}

func (c *fakeCell) untilServed(limit time.Duration, m string) time.Duration {
	c.t.Helper()
	target := c.ask(m)
	return c.until(limit, m+" served", func() bool { return c.serves(target) })
}

// settle runs until a node holds the cell and all engines are raised.
func (c *fakeCell) settle() *testNode {
	c.t.Helper()
	c.until(time.Minute, "a holder", func() bool { return c.holder() != nil && len(c.holder().auth.Rosters) > 0 })
	c.run(time.Second)
	return c.holder()
}

func (c *fakeCell) count(m string) int {
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
		c.settle()
		c.untilServed(6*time.Second, "m0")
		c.run(10 * time.Second)
		assert.Equal(t, c.count("m0"), 1)
		assert.Equal(t, c.loads("m0"), 1)
	}
}

func (c *fakeCell) loads(m string) int {
	n := 0
	for _, e := range c.engines {
		n += e.loads[fleet.ModelID(m)]
	}
	return n
}
