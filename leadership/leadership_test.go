package leadership_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/redwingnotch/redwingnotch/leadership"
)

const orderLease = 3 * time.Second

var start = time.Unix(1000, 0)

// store holds one record with conditional writes, as the platform's store does.
type store struct {
	record  leadership.Record
	version uint64
}

func (s *store) write(a leadership.Action) (uint64, leadership.WriteResult) {
	if a.Version != s.version {
		return 0, leadership.Conflict
	}
	s.record = a.Record
	s.version++
	return s.version, leadership.Written
}

// perform carries out an action immediately.
func perform(c *leadership.Core, now time.Time, s *store, a leadership.Action) {
	switch a.Kind {
	case leadership.Read:
		c.ReadDone(now, s.record, s.version, nil)
	case leadership.Write:
		version, result := s.write(a)
		c.WriteDone(now, a.Record, version, result)
	}
}

func newCore(name string) *leadership.Core {
	return leadership.New(start, name, false, leadership.DefaultSettings(orderLease))
}

// run ticks the core every 100 ms for the duration d, carries out its actions and
// returns the time after the last tick.
func run(c *leadership.Core, now time.Time, d time.Duration, s *store, p leadership.Peers) time.Time {
	for end := now.Add(d); now.Before(end); now = now.Add(100 * time.Millisecond) {
		perform(c, now, s, c.Tick(now, p))
	}
	return now
}

// eligible describes a node that may lead, has no rank delay and knows of no leader.
var eligible = leadership.Peers{Eligible: true}

func TestFirstNodeBecomesLeader(t *testing.T) {
	c, s := newCore("a"), &store{}
	now := run(c, start, time.Second, s, eligible)
	token, ok := c.Authority(now)
	assert.Assert(t, ok)
	assert.Equal(t, token, uint64(1))
	assert.Equal(t, s.record.Holder, "a")
}

func TestLeaderRenews(t *testing.T) {
	c, s := newCore("a"), &store{}
	now := run(c, start, time.Minute, s, eligible)
	token, ok := c.Authority(now)
	assert.Assert(t, ok)
	assert.Equal(t, token, uint64(1))
}

func TestSuccessorWaitsForValidityAndOrderLease(t *testing.T) {
	settings := leadership.DefaultSettings(orderLease)
	a, b, s := newCore("a"), newCore("b"), &store{}
	now := run(a, start, time.Second, s, eligible)
	from := now // the leader makes no calls from here on
	for !b.Leading(now) {
		perform(b, now, s, b.Tick(now, eligible))
		now = now.Add(100 * time.Millisecond)
		assert.Assert(t, now.Sub(from) < time.Minute)
	}
	// The validity counts from the leader's last write, which was before from.
	assert.Assert(t, now.Sub(from) >= settings.Validity+settings.OrderLease, "took over after %v", now.Sub(from))
	token, ok := b.Authority(now)
	assert.Assert(t, ok)
	assert.Equal(t, token, uint64(2))
}

func TestLeaderThatCannotRenewStopsWithinValidity(t *testing.T) {
	settings := leadership.DefaultSettings(orderLease)
	c, s := newCore("a"), &store{}
	now := run(c, start, time.Second, s, eligible)
	outageStart := now
	for c.Leading(now) {
		a := c.Tick(now, eligible)
		switch a.Kind {
		case leadership.Read:
			c.ReadDone(now, leadership.Record{}, 0, errors.New("store unavailable"))
		case leadership.Write:
			c.WriteDone(now, a.Record, 0, leadership.Unknown)
		}
		now = now.Add(50 * time.Millisecond)
	}
	assert.Assert(t, now.Sub(outageStart) <= settings.Validity)
}

// TestLateRenewalDoesNotReviveLeadership checks that a renewal whose response is
// lost, and which the store applies only after the leadership has expired, does not
// restore it: the node has to acquire the leadership again, with a new token.
func TestLateRenewalDoesNotReviveLeadership(t *testing.T) {
	c, s := newCore("a"), &store{}
	now := run(c, start, time.Second, s, eligible)
	var pending leadership.Action
	for pending.Kind != leadership.Write {
		pending = c.Tick(now, eligible)
		now = now.Add(100 * time.Millisecond)
	}
	c.WriteDone(now, pending.Record, 0, leadership.Unknown)
	now = now.Add(time.Minute)
	assert.Assert(t, !c.Leading(now))
	s.write(pending)
	now = run(c, now, 5*time.Second, s, eligible)
	token, ok := c.Authority(now)
	assert.Assert(t, ok)
	assert.Equal(t, token, uint64(2))
}

// TestSuccessorDelaysOrdersAfterResignation checks that after a resignation a
// successor acquires the leadership immediately, but may not yet order the servers
// that the former leader ordered within OrderLease.
func TestSuccessorDelaysOrdersAfterResignation(t *testing.T) {
	a, b, s := newCore("a"), newCore("b"), &store{}
	now := run(a, start, time.Second, s, eligible)
	a.Resign()
	assert.Assert(t, !a.Leading(now))
	b.LeaderResigned(now, leadership.Resignation{Token: 1, OrderAges: map[string]time.Duration{"s1": time.Second}})
	now = run(b, now, time.Second, s, eligible)
	_, ok := b.Authority(now)
	assert.Assert(t, ok)
	assert.Assert(t, b.MayOrder(now, "s2"))
	assert.Assert(t, !b.MayOrder(now, "s1"))
	assert.Assert(t, b.MayOrder(now.Add(orderLease), "s1"))
}

func TestResignationOfOlderTokenIsIgnored(t *testing.T) {
	a, b, s := newCore("a"), newCore("b"), &store{}
	now := run(a, start, time.Second, s, eligible)
	a.StepDown(now)
	now = run(a, now, time.Second, s, eligible) // becomes leader again, with token 2
	_, ok := a.Authority(now)
	assert.Assert(t, ok)
	b.LeaderResigned(now, leadership.Resignation{Token: 1})
	now = run(b, now, 2*time.Second, s, eligible)
	assert.Assert(t, !b.Leading(now))
}

func TestRestartedLeaderResumesWithNewToken(t *testing.T) {
	a, s := newCore("a"), &store{}
	now := run(a, start, time.Second, s, eligible)
	restarted := leadership.New(now, "a", true, leadership.DefaultSettings(orderLease))
	now = run(restarted, now, 1500*time.Millisecond, s, leadership.Peers{Eligible: true, SuccessorPosition: 3})
	token, ok := restarted.Authority(now)
	assert.Assert(t, ok)
	assert.Equal(t, token, uint64(2))
}

func TestLiveLeaderIsNotReplaced(t *testing.T) {
	a, b, s := newCore("a"), newCore("b"), &store{}
	now := run(a, start, time.Second, s, eligible)
	for range 600 {
		perform(a, now, s, a.Tick(now, eligible))
		perform(b, now, s, b.Tick(now, leadership.Peers{Eligible: true, LeaderAlive: true}))
		now = now.Add(100 * time.Millisecond)
	}
	assert.Assert(t, a.Leading(now))
	assert.Assert(t, !b.Leading(now))
}

// delayedWrite is a write that the store applies later and whose response is lost.
type delayedWrite struct {
	core   int // index of the writer in simulation.nodes
	action leadership.Action
	at     time.Time // when the store applies it
}

// simulation subjects nodes to network partitions, lost and late writes,
// suspensions, restarts and resignations, and checks their orders as servers see them.
type simulation struct {
	t       *rapid.T
	now     time.Time
	store   store
	nodes   []*simulatedNode
	writes  []delayedWrite
	orders  map[string]sentOrder // most recent order by server
	history []string
}

type simulatedNode struct {
	core           *leadership.Core
	partitioned    bool      // reaches neither the store nor other nodes
	suspendedUntil time.Time // the node does nothing until then
}

type sentOrder struct {
	node  int
	token uint64
	at    time.Time
}

func (r *simulation) logf(format string, args ...any) {
	r.history = append(r.history, fmt.Sprintf("%v ", r.now.Sub(start))+fmt.Sprintf(format, args...))
}

func (r *simulation) fail(format string, args ...any) {
	r.t.Fatalf("%s\n%s", strings.Join(r.history, "\n"), fmt.Sprintf(format, args...))
}

// applyDelayedWrites applies the delayed writes that are due.
func (r *simulation) applyDelayedWrites() {
	var later []delayedWrite
	for _, w := range r.writes {
		if r.now.Before(w.at) {
			later = append(later, w)
			continue
		}
		_, result := r.store.write(w.action)
		r.logf("delayed write of node %d: %+v: %v", w.core, w.action.Record, result)
	}
	r.writes = later
}

// injectFault randomly injects a fault into the node and reports whether the node
// continues in this step.
func (r *simulation) injectFault(i int) bool {
	n := r.nodes[i]
	switch rapid.IntRange(0, 60).Draw(r.t, "event") {
	case 0:
		n.partitioned = !n.partitioned
	case 1:
		n.suspendedUntil = r.now.Add(time.Duration(rapid.IntRange(1, 150).Draw(r.t, "sleep")) * 100 * time.Millisecond)
		return false
	case 2:
		r.logf("node %d restarts", i)
		n.core = leadership.New(r.now, fmt.Sprint("n", i), true, leadership.DefaultSettings(orderLease))
	case 3:
		n.core.StepDown(r.now)
		r.logf("node %d steps down", i)
	}
	return true
}

// publishResignation sends the resignation of a node that gave up the leadership to
// all reachable nodes.
func (r *simulation) publishResignation(i int) {
	n := r.nodes[i]
	resignation, resigned := n.core.Resignation(r.now)
	if !resigned {
		return
	}
	for j, other := range r.nodes {
		if j != i && !n.partitioned && !other.partitioned && !r.now.Before(other.suspendedUntil) {
			other.core.LeaderResigned(r.now, resignation)
			r.logf("node %d reports its resignation to node %d: %+v", i, j, resignation)
		}
	}
}

// tick lets the node tick and carries out its action.
func (r *simulation) tick(i int) {
	n := r.nodes[i]
	action := n.core.Tick(r.now, leadership.Peers{Eligible: true, SuccessorPosition: rapid.IntRange(0, 2).Draw(r.t, "rank")})
	switch {
	case action.Kind == leadership.Read && n.partitioned:
		n.core.ReadDone(r.now, leadership.Record{}, 0, errors.New("partitioned"))
	case action.Kind == leadership.Read:
		n.core.ReadDone(r.now, r.store.record, r.store.version, nil)
	case action.Kind == leadership.Write && n.partitioned:
		n.core.WriteDone(r.now, action.Record, 0, leadership.Unknown)
	case action.Kind == leadership.Write && rapid.IntRange(0, 4).Draw(r.t, "lost") == 0:
		late := time.Duration(rapid.IntRange(0, 60).Draw(r.t, "late")) * 100 * time.Millisecond
		r.writes = append(r.writes, delayedWrite{core: i, action: action, at: r.now.Add(late)})
		n.core.WriteDone(r.now, action.Record, 0, leadership.Unknown)
	case action.Kind == leadership.Write:
		version, result := r.store.write(action)
		r.logf("write of node %d: %+v: %v", i, action.Record, result)
		n.core.WriteDone(r.now, action.Record, version, result)
	}
}

// order lets the node order a random server if it may. It fails the test if the
// order breaks OrderLease or its token is lower than that of an earlier order.
func (r *simulation) order(i int) {
	n := r.nodes[i]
	token, ok := n.core.Authority(r.now)
	server := rapid.SampledFrom([]string{"s1", "s2"}).Draw(r.t, "server")
	if !ok || !n.core.MayOrder(r.now, server) {
		return
	}
	before := r.orders[server]
	if before.token > token || before.token == token && before.token > 0 && before.node != i {
		r.fail("token %d of node %d after token %d of node %d", token, i, before.token, before.node)
	}
	if before.token > 0 && before.node != i && r.now.Sub(before.at) < orderLease {
		r.fail("nodes %d and %d ordered %s within %v", before.node, i, server, r.now.Sub(before.at))
	}
	r.logf("node %d orders %s, token %d", i, server, token)
	r.orders[server] = sentOrder{i, token, r.now}
	n.core.OrderSent(server, token)
	n.core.OrderEnded(r.now, server, token)
}

// TestNoTwoLeadersOrderOneServer checks under random faults that no two nodes order
// the same server within OrderLease, and that the tokens a server sees never
// decrease.
func TestNoTwoLeadersOrderOneServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &simulation{t: t, now: start, orders: map[string]sentOrder{}}
		for i := range 3 {
			r.nodes = append(r.nodes, &simulatedNode{core: newCore(fmt.Sprint("n", i))})
		}
		for range 400 {
			r.now = r.now.Add(100 * time.Millisecond)
			r.applyDelayedWrites()
			for i, n := range r.nodes {
				if r.now.Before(n.suspendedUntil) || !r.injectFault(i) {
					continue
				}
				r.publishResignation(i)
				r.tick(i)
				r.order(i)
			}
		}
	})
}

// TestRestartedLeaderDoesNotReportOrderTimes checks that a restarted leader, which
// has lost the times of its earlier orders, does not report order times until those
// orders are older than OrderLease.
func TestRestartedLeaderDoesNotReportOrderTimes(t *testing.T) {
	settings := leadership.DefaultSettings(orderLease)
	a, s := newCore("a"), &store{}
	now := run(a, start, time.Second, s, eligible)
	restarted := leadership.New(now, "a", true, settings)
	restartedAt := now
	now = run(restarted, now, time.Second, s, eligible)
	assert.Assert(t, restarted.Leading(now))
	restarted.StepDown(now)
	_, resigned := restarted.Resignation(now)
	assert.Assert(t, !resigned)
	_, resigned = restarted.Resignation(restartedAt.Add(settings.OrderLease + settings.MaxOrderDelay - time.Millisecond))
	assert.Assert(t, !resigned)
	_, resigned = restarted.Resignation(restartedAt.Add(settings.OrderLease + settings.MaxOrderDelay + time.Second))
	assert.Assert(t, resigned)
}

func TestRecordEncodeDecode(t *testing.T) {
	r := leadership.Record{Holder: "10.0.0.1", Token: 7, Renewal: 9, AcquiredRenewal: 8}
	value, err := r.Encode()
	assert.NilError(t, err)
	decoded, err := leadership.Decode(value)
	assert.NilError(t, err)
	assert.Equal(t, decoded, r)
	_, err = leadership.Decode([]byte("{"))
	assert.ErrorContains(t, err, "decode leadership record")
}
