// Package front runs an entry node on the users' platform: it takes callers'
// requests and sends them to backend servers, tells callers where to connect,
// shares what it knows with the other nodes, and orders loads while it holds the
// tenure. Decisions are made by the packages replicas, waiting, loader and
// tenure; this package carries them out.
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

	"github.com/redwingnotch/redwingnotch/dispatch"
	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/internal/telemetry"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/replicas"
	"github.com/redwingnotch/redwingnotch/routes"
	"github.com/redwingnotch/redwingnotch/waiting"
)

// tickEvery is the interval of the node's decisions that no event brings about.
const tickEvery = 20 * time.Millisecond

// Node is one entry node.
type Node struct {
	settings  platform.Settings
	metricsAt string // address at which the metrics are served besides the control address, or ""
	log       log.Logger
	metrics   *telemetry.Metrics
	store     *platform.Client
	links     *links

	desired atomic.Pointer[routes.Table]
	leaving atomic.Bool // a stop was asked for
	refuse  atomic.Bool // new requests are refused, as the stop is near
	running atomic.Int64

	mu        sync.Mutex // guards what follows
	table     *replicas.Table
	list      *waiting.List
	waiters   map[uint64]chan waiting.Decision
	nextKey   uint64
	budgets   map[string]*dispatch.Budget // by service
	mostNodes int                         // seen alive at once, this one included
	arrivals  map[arrivalKey]*arrivalCount
	peers     *peers
	cells     []*cell
	storeAt   time.Time // when the store last answered
	fetching  bool      // a desired state that another node has
	started   []startedServer
	parting   []parting                // servers of which this node learnt that they leave or are gone
	told      map[string]replicas.View // views as last told to the other nodes
	toldNext  int

	lastTell    time.Time     // the newest message to any node
	lastRegular time.Time     // the newest to all that was due
	tellPause   time.Duration // after lastTell
	toTell      audience      // whom a change concerns that was not told yet
}

// New returns a node with the platform's settings.
func New(s platform.Settings, logger log.Logger, metrics *telemetry.Metrics) *Node {
	now := bootclock.Now()
	n := &Node{
		settings: s,
		log:      logger,
		metrics:  metrics,
		store: platform.NewClient(platform.Options{
			BaseURL:     "http://" + s.StoreAddress,
			CallTimeout: storeTimeout,
			WatchMargin: storeTimeout,
		}),
		links:    newLinks(),
		table:    replicas.NewTable(),
		list:     waiting.NewList(),
		waiters:  map[uint64]chan waiting.Decision{},
		budgets:  map[string]*dispatch.Budget{},
		arrivals: map[arrivalKey]*arrivalCount{},
		told:     map[string]replicas.View{},
	}
	n.peers = newPeers(now, s)
	for _, zone := range s.Zones {
		n.cells = append(n.cells, newCell(now, zone, s))
	}
	return n
}

// ServeMetricsAt serves the metrics also at an address, host:port. It is called
// before Run.
func (n *Node) ServeMetricsAt(address string) { n.metricsAt = address }

// Run serves until the context ends, and then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	level.Info(n.log).Log("event", "start", "zone", n.settings.Zone, "address", n.settings.FrontListen, "first_start", n.settings.FirstStart)
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
	group.Go(func() error { return n.watchDesired(work) })
	group.Go(func() error { return n.watchServers(work) })
	select {
	case <-ctx.Done():
		n.stop()
	case <-work.Done():
	}
	stopWork()
	err = errors.Join(socket.Close(), closeAll(servers), group.Wait())
	level.Info(n.log).Log("event", "stop", "running", n.running.Load(), "err", err)
	return nil
}

func closeAll(servers []*http.Server) error {
	var errs []error
	for _, s := range servers {
		errs = append(errs, s.Close())
	}
	return errors.Join(errs...)
}

// Terms of connections of callers.
const (
	headerTimeout  = 10 * time.Second // for a caller to send a header; the operators' limits are shorter
	idleTimeout    = 90 * time.Second // the operators' limits are shorter
	maxHeaderBytes = 64 << 10         // the operators' limits are lower
)

// listener is an address of this node and what answers there.
type listener struct {
	address string
	handler http.HandlerFunc
}

// listen opens the addresses that the platform names.
func (n *Node) listen(group *errgroup.Group) ([]*http.Server, error) {
	handlers := []listener{
		{n.settings.FrontListen, n.serve},
		{n.settings.ReadyListen, n.serveReadiness},
		{n.settings.ResolveListen, n.serveAddresses},
	}
	admin := telemetry.Admin(n.metrics, n.notReady, false, http.NotFoundHandler())
	if n.settings.ControlListen != "" {
		handlers = append(handlers, listener{n.settings.ControlListen, admin.ServeHTTP})
	}
	if n.metricsAt != "" {
		handlers = append(handlers, listener{n.metricsAt, admin.ServeHTTP})
	}
	var servers []*http.Server
	for _, h := range handlers {
		l, err := net.Listen("tcp", h.address)
		if err != nil && h.address == n.metricsAt {
			// The port is the same on all days, and the platform's may be the same.
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
			ErrorLog:          nil,
		}
		servers = append(servers, s)
		group.Go(func() error {
			if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				return fmt.Errorf("serve %s: %w", h.address, err)
			}
			return nil
		})
	}
	return servers, nil
}

// tick makes the decisions that come with time.
func (n *Node) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := bootclock.Now()
		n.mu.Lock()
		for _, id := range n.table.DropLapsed(now) {
			level.Info(n.log).Log("event", "server_gone", "server", id, "reason", "entry did not come back with the store")
		}
		n.pump(now)
		for _, c := range n.cells {
			n.tendTenure(ctx, now, c)
		}
		n.tendLoads(ctx, now)
		n.tell(now, whenDue)
		n.mu.Unlock()
	}
}

// state is what waiting requests are decided by. n.mu is held.
func (n *Node) state(now time.Time) waiting.State {
	s := waiting.State{Table: n.table}
	for _, c := range n.cells {
		s.LoaderLive = s.LoaderLive || c.tenure.Holding(now) || n.peers.holderAlive(now, c.zone)
	}
	if t := n.desired.Load(); t != nil {
		s.Services = t.Services
	}
	return s
}

// pump decides on waiting requests. n.mu is held.
func (n *Node) pump(now time.Time) {
	if n.list.Len() == 0 {
		return
	}
	for _, d := range n.list.Pump(now, n.state(now)) {
		n.waiters[d.Key] <- d // buffered
		delete(n.waiters, d.Key)
	}
}

// acquire waits until the request may be sent to a server or is refused.
func (n *Node) acquire(ctx context.Context, r waiting.Request) (waiting.Decision, error) {
	now := bootclock.Now()
	n.mu.Lock()
	if n.refuse.Load() {
		n.mu.Unlock()
		return waiting.Decision{Refused: waiting.Stopping, RetryAfter: stoppingRetry}, nil
	}
	n.nextKey++
	r.Key = n.nextKey
	d, done := n.list.Offer(now, r, n.state(now))
	if done {
		n.mu.Unlock()
		return d, nil
	}
	answer := make(chan waiting.Decision, 1)
	n.waiters[r.Key] = answer
	if r.Ask.Model != "" {
		n.tell(now, holdersAtOnce)
	}
	n.mu.Unlock()
	select {
	case d := <-answer:
		return d, nil
	case <-ctx.Done():
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.list.Cancel(r.Key)
	delete(n.waiters, r.Key)
	select {
	case d := <-answer: // decided just before
		if d.Refused == "" {
			n.table.End(d.Server.ID)
		}
	default:
	}
	return waiting.Decision{}, context.Cause(ctx)
}

// budget returns the service's budget of repeated sends. The slack is shared by
// all nodes that were ever seen, and by assumedNodes at least: a node that has
// just started knows of none. n.mu is held.
func (n *Node) budget(now time.Time, service string) *dispatch.Budget {
	if nodes := n.peers.alive(now) + 1; nodes > n.mostNodes {
		n.mostNodes = nodes
		clear(n.budgets)
	}
	b := n.budgets[service]
	if b == nil {
		b = dispatch.NewBudget(dispatch.BudgetSettings{
			Share: retryShareUsed * n.settings.Bounds.RetryBudgetRatio,
			Burst: max(1, retryShareUsed*n.settings.Bounds.RetryBudgetSlack/float64(max(n.mostNodes, assumedNodes))),
		})
		n.budgets[service] = b
	}
	return b
}

// assumedNodes is the number of nodes of a deployment of today.
const assumedNodes = 8

// retryShareUsed is the part of the operators' retry budget that is used: nodes
// count by themselves, and some may be gone while others count as if all lived.
const retryShareUsed = 0.7

// mayRetry takes one repeated send out of the service's budget.
func (n *Node) mayRetry(service string) bool {
	now := bootclock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.budget(now, service).TryRetry(now)
}

// draw returns a number in [0, 1).
func draw() float64 { return rand.Float64() }
