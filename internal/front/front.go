// Package front runs an entry node that is configured by the platform's settings
// file: it forwards callers' requests to backend servers, responds to callers with
// the addresses of entry nodes, exchanges state with the other entry nodes, and sends orders to load and unload
// models in the cells that it leads. Packages replicas, waiting, loader and
// leadership make the decisions; this package carries them out.
package front

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"github.com/redwingnotch/redwingnotch/configsync"
	"github.com/redwingnotch/redwingnotch/dispatch"
	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/internal/bytebudget"
	"github.com/redwingnotch/redwingnotch/internal/closeframe"
	"github.com/redwingnotch/redwingnotch/internal/telemetry"
	"github.com/redwingnotch/redwingnotch/latency"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/poison"
	"github.com/redwingnotch/redwingnotch/replicas"
	"github.com/redwingnotch/redwingnotch/resumption"
	"github.com/redwingnotch/redwingnotch/routes"
	"github.com/redwingnotch/redwingnotch/waiting"
)

// tickInterval is the interval of the node's periodic work.
const tickInterval = 20 * time.Millisecond

// Node is one entry node.
type Node struct {
	settings      platform.Settings
	metricsAddr   string // additional address, host:port, at which the metrics are served; may be empty
	log           log.Logger
	metrics       *telemetry.Metrics
	store         *platform.Client
	freshStore    *platform.Client // opens a connection for each call; kept ones may be dead
	eras          *storeEras
	serverClients *serverClients

	desired        atomic.Pointer[routes.Table] // desired state in force; nil until one was read
	desiredRead    atomic.Uint64                // store version of the object that holds it, as last read
	storeBehind    atomic.Bool                  // see configsync.Core.StoreBehind
	stopping       atomic.Bool                  // a graceful stop has begun
	refuse         atomic.Bool                  // new requests are refused, because the process will exit soon
	refusalsKnown  atomic.Bool                  // what was refused before this node's start has been read, or could not be for too long
	activeRequests atomic.Int64                 // callers' requests in progress
	stopEnd        atomic.Pointer[time.Time]    // when requests in progress are ended by a graceful stop; nil if none has begun
	ended          context.Context              // ends at that time
	endRequests    context.CancelCauseFunc      // ends it
	bodies         *bytebudget.Budget           // memory for the bodies of requests and responses
	allowances     *allowances                  // of the teams

	mu                 sync.Mutex // guards the fields below
	table              *replicas.Table
	queue              *waiting.Queue
	attempts           *latency.Recent                  // times in which servers answered attempts, by route
	durations          *latency.Recent                  // times that answered requests took in all, by route
	waiters            map[uint64]waiter                // by key of the waiting request
	nextKey            uint64                           // key of the latest waiting request or question; a later process does not use it again
	retryBudgets       map[string]*dispatch.RetryBudget // by service
	maxNodesSeen       int                              // most nodes seen alive at the same time, this one included
	arrivals           map[arrivalKey]*arrivalCount
	peers              *peers
	cells              []*cell
	lastStoreContact   time.Time                      // latest time at which the store is known to have responded
	newServers         []newServer                    // servers that this node learned of from the store and still publishes
	sync               *configsync.Core               // how the desired state is followed
	serversDifferSince time.Time                      // since when the servers differ from those of the node that knows them best; zero if they do not
	serversAsOf        time.Time                      // latest time up to which this node has read all changes of servers
	caughtUp           bool                           // the newest desired state known has been in force since the start
	desiredStale       bool                           // the latest desired_state_stale has not been followed by desired_state_confirmed
	desiredLost        time.Time                      // first of the consecutive failed reads of the desired state; zero if the latest succeeded
	lost               map[startKey]*lostRequests     // requests that lost their connections within lossRetention
	poison             *poison.Table                  // traits of requests under which servers ended
	refusedAt          time.Time                      // when this node last decided to refuse a trait
	keys               *keyState                      // API keys; has its own mutex
	refusals           refusalsState                  // what is known of the refusals in the store
	ends               []poison.Report                // ends of servers under this node's requests that it still publishes
	innocent           []innocentTrait                // traits that this node knows to be innocent and still publishes
	expired            []expiredServer                // servers whose entries have not returned after an outage of the store
	departing          []departing                    // servers that this node learned are draining or removed, and still publishes
	streams            *resumption.Records            // origins of streams that may be taken up again
	streamQuestions    map[uint64]chan receivedAnswer // questions to other nodes about streams, by key
	serversFollowed    *resumption.History            // span for which this node has known all servers
	publishedStatus    map[string]publishedStatus     // server statuses as last sent to the other nodes
	nextRepublished    int                            // position of the next unchanged server status to send again
	capacity           learnedCapacity                // what was learned of the servers' capacity

	lastSent         time.Time     // when the last message was sent to any node
	lastPeriodicSent time.Time     // when the last periodic message was sent to all nodes
	minSendGap       time.Duration // least time from lastSent to the next message
	pendingScope     sendScope     // nodes to which a change still has to be sent
}

// New returns a node with the platform's settings.
func New(s platform.Settings, logger log.Logger, metrics *telemetry.Metrics) *Node {
	now := bootclock.Now()
	ended, endRequests := context.WithCancelCause(context.Background())
	countCall := func(c platform.CallKind) { metrics.StoreCall(string(c.Kind), c.Call) }
	n := &Node{
		ended:           ended,
		endRequests:     endRequests,
		bodies:          bytebudget.New(bodyMemory(s)),
		attempts:        latency.NewRecent(),
		durations:       latency.NewRecent(),
		settings:        s,
		log:             logger,
		metrics:         metrics,
		table:           replicas.NewTable(),
		capacity:        newLearnedCapacity(),
		queue:           waiting.NewQueue(),
		keys:            newKeyState(s),
		waiters:         map[uint64]waiter{},
		retryBudgets:    map[string]*dispatch.RetryBudget{},
		arrivals:        map[arrivalKey]*arrivalCount{},
		publishedStatus: map[string]publishedStatus{},
		lost:            map[startKey]*lostRequests{},
		poison:          poison.New(),
		streams:         resumption.NewRecords(),
		streamQuestions: map[uint64]chan receivedAnswer{},
		serversFollowed: resumption.NewHistory(lapseHeartbeats * s.HeartbeatInterval),
		sync:            configsync.New(now, configsync.Settings{ApplyTimeout: s.Bounds.ConfigApplyTimeout, Spread: spreadOf(s)}),
	}
	n.eras = newStoreEras(logger, metrics, n.eraRose)
	store := platform.Options{BaseURL: "http://" + s.StoreAddress, CallTimeout: storeTimeout, WatchMargin: storeTimeout, OnCall: countCall, Eras: n.eras.Eras}
	n.store = platform.NewClient(store)
	store.SingleUse = true
	n.freshStore = platform.NewClient(store)
	n.serverClients = newServerClients(n.dialed)
	n.table.SpreadBy(s.Node)
	n.table.ShareLimits(s.IP)
	n.table.CountConnections(n.serverClients.connections)
	n.peers = newPeers(now, s)
	n.nextKey = uint64(n.peers.incarnation)
	n.allowances = newAllowances(now, s, n.nextKey, logger, metrics)
	for _, zone := range s.Zones {
		n.cells = append(n.cells, newCell(now, zone, s))
	}
	return n
}

// Memory for the bodies of requests and responses.
const (
	bodyMemoryShare   = 0.125    // part of the VM's memory
	defaultBodyMemory = 32 << 20 // bytes, if the VM's memory is not known
)

// bodyMemory returns how many bytes of bodies a node on the VM may hold.
func bodyMemory(s platform.Settings) int64 {
	if s.MemoryMB <= 0 {
		return defaultBodyMemory
	}
	return int64(bodyMemoryShare * s.MemoryMB * (1 << 20))
}

// ServeMetricsAt serves the metrics at one more address, host:port. Call it
// before Run. Run starts without the address if it can't listen there.
func (n *Node) ServeMetricsAt(address string) { n.metricsAddr = address }

// Run serves until the context ends, and then stops gracefully. It returns an
// error if the node could not start; errors after the start are logged.
func (n *Node) Run(ctx context.Context) error {
	level.Info(n.log).Log("event", "start", "zone", n.settings.Zone, "address", n.settings.CallerListen, "first_start", n.settings.FirstStart)
	if err := errors.Join(n.metrics.ObserveDesiredState(n.observeDesired), n.metrics.ObserveCapacity(n.observeCapacity)); err != nil {
		return err
	}
	if err := n.metrics.ObserveServerLimits(n.observeLimits); err != nil {
		return err
	}
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	group, work := errgroup.WithContext(work)
	servers, err := n.listen(group)
	if err != nil {
		return err
	}
	socket, err := listenPeers(n.settings)
	if err != nil {
		return errors.Join(err, closeAll(servers))
	}
	n.peers.socket = socket
	group.Go(func() error { return n.receive(work) })
	group.Go(func() error { return n.tick(work) })
	group.Go(func() error { return n.watchServers(work) })
	select {
	case <-ctx.Done():
		n.stop()
	case <-work.Done():
	}
	stopWork()
	err = errors.Join(socket.Close(), shutdown(servers, n.flushTime()), group.Wait())
	level.Info(n.log).Log("event", "stop", "running", n.activeRequests.Load(), "err", err)
	return nil
}

// closeAll closes the servers and returns all errors.
func closeAll(servers []*frontServer) error {
	var errs []error
	for _, s := range servers {
		errs = append(errs, s.Close())
	}
	return errors.Join(errs...)
}

// Limits of callers' connections. The operators' limits are stricter.
const (
	headerTimeout  = 10 * time.Second // time for a caller to send a request's header
	idleTimeout    = 90 * time.Second // time after which an idle connection is closed
	maxHeaderBytes = 64 << 10
)

// listener is a listen address of this node and its handler.
type listener struct {
	address string
	handler http.HandlerFunc
}

// listen opens the addresses that the platform assigned, and the additional one
// for metrics, and starts their servers in the group.
func (n *Node) listen(group *errgroup.Group) ([]*frontServer, error) {
	handlers := []listener{
		{n.settings.CallerListen, n.serve},
		{n.settings.ReadyListen, n.serveReadiness},
		{n.settings.ResolveListen, n.serveAddresses},
	}
	admin := telemetry.NewAdminHandler(n.metrics, n.notReady, false, http.NotFoundHandler())
	if n.settings.ControlListen != "" {
		handlers = append(handlers, listener{n.settings.ControlListen, admin.ServeHTTP})
	}
	if n.metricsAddr != "" {
		handlers = append(handlers, listener{n.metricsAddr, admin.ServeHTTP})
	}
	var servers []*frontServer
	for _, h := range handlers {
		l, err := listenDraining(h.address)
		if err != nil && h.address == n.metricsAddr {
			// The metrics port is fixed and may be in use already, also by an
			// address that the platform assigned.
			level.Error(n.log).Log("event", "metrics_not_served", "address", h.address, "err", err)
			continue
		}
		if err != nil {
			return nil, errors.Join(fmt.Errorf("listen on %s: %w", h.address, err), closeAll(servers))
		}
		s := &http.Server{
			Handler:           h.handler,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			ConnContext:       closeframe.ConnContext,
			ErrorLog:          nil,
		}
		servers = append(servers, newFrontServer(s, l))
		group.Go(func() error {
			if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				return fmt.Errorf("serve %s: %w", h.address, err)
			}
			return nil
		})
	}
	return servers, nil
}

// tick runs the node's periodic work until the context ends.
func (n *Node) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := bootclock.Now()
		n.mu.Lock()
		n.removeExpired(now)
		n.reconcileDesired(ctx, now)
		n.reconcileKeys(now)
		n.logLimits()
		n.decidePoison(now)
		n.reconcileRefusals(ctx, now)
		n.refreshCapacity(now)
		n.dispatchWaiting(now)
		for _, c := range n.cells {
			n.reconcileLeadership(ctx, now, c)
		}
		n.reconcileLoads(ctx, now)
		n.publish(now, sendPeriodic)
		n.tickAllowances(now)
		n.mu.Unlock()
	}
}

// waitingState returns the state on which decisions about waiting requests are
// based. The caller holds n.mu.
func (n *Node) waitingState(now time.Time) waiting.State {
	s := waiting.State{Table: n.table}
	for _, c := range n.cells {
		s.LeaderAlive = s.LeaderAlive || c.leadership.Leading(now) || n.peers.leaderAlive(now, c.zone)
	}
	if t := n.desired.Load(); t != nil {
		s.Services = t.Services
	}
	return s
}

// dispatchWaiting decides about the waiting requests again, after a change or
// with time. The caller holds n.mu.
func (n *Node) dispatchWaiting(now time.Time) {
	if n.queue.Len() == 0 {
		return
	}
	for _, d := range n.queue.Dispatch(now, n.waitingState(now)) {
		n.decideWaiter(d)
	}
}

// waiter is a request in the queue.
type waiter struct {
	decided chan waiting.Decision // has room for the decision
	traits  []poison.Key
}

// decideWaiter hands a request that left the queue its decision. The caller holds n.mu.
func (n *Node) decideWaiter(d waiting.Decision) {
	n.waiters[d.Key].decided <- d // buffered
	delete(n.waiters, d.Key)
}

// acquire waits until the request is assigned to a server or refused. If ctx ends
// first, it returns the cause.
func (n *Node) acquire(ctx context.Context, r waiting.Request, traits []poison.Key) (waiting.Decision, error) {
	now := bootclock.Now()
	n.mu.Lock()
	if n.refuse.Load() {
		n.mu.Unlock()
		return waiting.Decision{Refused: waiting.Stopping, RetryAfter: shortRetryAfter}, nil
	}
	if left := n.refusedFor(now, traits); left > 0 {
		n.mu.Unlock()
		return waiting.Decision{Refused: reasonPoison, RetryAfter: left}, nil
	}
	n.nextKey++
	r.Key = n.nextKey
	d, done := n.queue.Offer(now, r, n.waitingState(now))
	if done {
		n.mu.Unlock()
		return d, nil
	}
	decided := make(chan waiting.Decision, 1)
	n.waiters[r.Key] = waiter{decided, traits}
	if r.Requirement.Model != "" {
		n.publish(now, sendLeadersNow)
	}
	n.mu.Unlock()
	select {
	case d := <-decided:
		return d, nil
	case <-ctx.Done():
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	wait := n.queue.Cancel(bootclock.Now(), r.Key)
	delete(n.waiters, r.Key)
	select {
	case d := <-decided: // decided just before ctx ended
		if d.Refused == "" && n.table.SameStart(d.Server) {
			n.table.EndSized(d.Server.ID, r.Requirement.Size())
		}
	default:
	}
	return waiting.Decision{Wait: wait}, context.Cause(ctx)
}

// retryBudget returns the service's retry budget. The operators' slack is divided
// among the most nodes seen alive at once, but at least among minAssumedNodes,
// because a node that has just started knows no others. The caller holds n.mu.
func (n *Node) retryBudget(now time.Time, service string) *dispatch.RetryBudget {
	if nodes := n.peers.alive(now) + 1; nodes > n.maxNodesSeen {
		n.maxNodesSeen = nodes
		clear(n.retryBudgets)
	}
	b := n.retryBudgets[service]
	if b == nil {
		b = dispatch.NewRetryBudget(dispatch.RetryBudgetSettings{
			RetriesPerRequest: retryBudgetShare * n.settings.Bounds.RetryBudgetRatio,
			Burst:             max(1, retryBudgetShare*n.settings.Bounds.RetryBudgetSlack/float64(max(n.maxNodesSeen, minAssumedNodes))),
		})
		n.retryBudgets[service] = b
	}
	return b
}

// minAssumedNodes is the least number of nodes among which the retry slack is
// divided, for nodes that do not know all others yet: the size of a usual
// deployment.
const minAssumedNodes = 8

// retryBudgetShare is the part of the operators' retry budget that is used. Each
// node counts on its own, and after some have failed the others' shares are still
// counted as if all were alive.
const retryBudgetShare = 0.7

// takeRetry takes one retry out of the service's budget and reports whether there
// was one.
func (n *Node) takeRetry(service string) bool {
	now := bootclock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.retryBudget(now, service).TryRetry(now)
}

// randomFraction returns a random number in [0, 1).
func randomFraction() float64 { return rand.Float64() }
