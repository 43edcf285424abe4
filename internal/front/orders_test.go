package front

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/leadership"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/replicas"
	"github.com/redwingnotch/redwingnotch/routes"
	"github.com/redwingnotch/redwingnotch/waiting"
)

const testOrderLease = 3 * time.Second

// orderedServer is a backend server that holds no model and responds to orders once
// released.
type orderedServer struct {
	*httptest.Server
	entry   replicas.Entry
	orders  atomic.Int64
	release chan struct{}
}

func newOrderedServer(t *testing.T) *orderedServer {
	s := &orderedServer{release: make(chan struct{})}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.orders.Add(1)
		<-s.release
		w.WriteHeader(http.StatusAccepted)
	}))
	t.Cleanup(s.Close)
	s.entry = replicas.Entry{ID: "s1", Address: s.Listener.Addr().String(), Service: "s", Zone: "z", Slots: 4, Start: 1, Revision: 1}
	return s
}

// newOrderingNode returns a node of which the leader of its only cell can order the
// server.
func newOrderingNode(t *testing.T, s *orderedServer, peers ...string) *testNode {
	n := newTestNode(t, platform.Settings{Bounds: platform.Bounds{OrderLease: testOrderLease}}, peers...)
	n.table.SetEntry(bootclock.Now(), s.entry)
	return n
}

// reconcileWaiting runs the loader of the node's cell while a request waits for a model
// that the server does not hold.
func (n *testNode) reconcileWaiting(now time.Time, s *orderedServer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.cells[0]
	service := &routes.Service{Name: "s", Engine: &routes.Engine{Slots: 4, WeightsMB: 200, LoadsPerSecond: 5,
		Models: []routes.Model{{Name: "m", WeightsMB: 60, LoadTime: time.Second, DiskLoadTime: time.Second, WarmLoadTime: time.Second}}}}
	demand := []waiting.ModelDemand{{Service: "s", Model: "m", Count: 1, Deadline: now.Add(time.Minute)}}
	n.reconcileService(n.t.Context(), now, c, service, nil, []string{"z"})
	c.loader(now, "s", n.settings).HandleReport(now, s.entry.ID, s.entry.Start, replicas.Report{Start: s.entry.Start, OnDisk: []string{"m"}}, nil)
	n.reconcileService(n.t.Context(), now, c, service, demand, []string{"z"})
}

// published returns what the node publishes about the leadership of its cell.
func (n *testNode) published(now time.Time) *leaderState {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaderState(now, n.cells[0])
}

// waitForResignation waits until the node publishes a resignation.
func (n *testNode) waitForResignation() *leaderState {
	n.t.Helper()
	var s *leaderState
	poll.WaitOn(n.t, func(poll.LogT) poll.Result {
		if s = n.published(bootclock.Now()); s == nil || s.Leading {
			return poll.Continue("no resignation")
		}
		return poll.Success()
	})
	return s
}

// TestResignationIsWithheldWhileOrderIsInFlight guards against a successor that orders a
// server at which an order of this node has yet to arrive, or right after one.
func TestResignationIsWithheldWhileOrderIsInFlight(t *testing.T) {
	s := newOrderedServer(t)
	n := newOrderingNode(t, s)
	now := n.acquire(bootclock.Now(), n.cells[0], 1)
	n.reconcileWaiting(now, s)
	n.cells[0].leadership.StepDown(now)
	assert.Assert(t, n.published(now) == nil)
	close(s.release)
	resignation := n.waitForResignation()
	assert.Equal(t, resignation.Token, uint64(1))
	_, published := resignation.OrderAgeMS[s.entry.ID]
	assert.Assert(t, published)
}

// TestServerOrderedByFormerLeaderIsNotOrdered guards against orders of two nodes to one
// server within OrderLease.
func TestServerOrderedByFormerLeaderIsNotOrdered(t *testing.T) {
	const former = "127.0.0.2"
	s := newOrderedServer(t)
	close(s.release)
	n := newOrderingNode(t, s, former)
	n.received(message{Node: "former", IP: former, Zone: "z", Incarnation: 1, Sequence: 2,
		Leaders: map[string]*leaderState{"z": {Token: 1, OrderAgeMS: map[string]int64{s.entry.ID: 0}}}})
	now := n.acquire(bootclock.Now(), n.cells[0], 1)
	n.reconcileWaiting(now, s)
	n.cells[0].leadership.StepDown(now)
	assert.Assert(t, n.published(now) != nil, "an order is in flight")
}

// TestOrderIsNotSentAfterValidity guards against an order that is decided while the
// leadership is valid and sent after it has expired, for example after a suspension.
func TestOrderIsNotSentAfterValidity(t *testing.T) {
	const late = 50 * time.Millisecond // from the end of the validity to the sending
	s := newOrderedServer(t)
	close(s.release)
	n := newOrderingNode(t, s)
	settings := leadership.DefaultSettings(testOrderLease)
	before := bootclock.Now().Add(-settings.Validity - settings.CallPause - late)
	n.cells[0] = newCell(before, "z", n.settings)
	acquired := n.acquire(before, n.cells[0], 1)
	n.reconcileWaiting(acquired.Add(settings.Validity-time.Millisecond), s)
	n.waitForResignation()
	assert.Equal(t, s.orders.Load(), int64(0))
}
