package node

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"math/big"
	mathrand "math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/idempotency"
	"github.com/redwingnotch/redwingnotch/internal/entry"
	"github.com/redwingnotch/redwingnotch/internal/tasks"
	"github.com/redwingnotch/redwingnotch/membership"
)

// Node is one entry node. Use New.
type Node struct {
	cfg Config
	run fleet.Incarnation // of this run

	startedAt time.Time

	entry *entry.Handler
	keys  *idempotency.Service
	// claims are the durable part of keys. swept is the next prefix to sweep.
	claims *idempotency.Claims
	swept  uint8

	members  *members
	office   *office
	cell     *cell
	backends *backends
	catalog  *catalog
	releases *releases
	peers    *peerClients

	callerServer *http.Server
	peerServer   *http.Server
	background   tasks.Group // short tasks that a stop waits for
	stopping     atomic.Bool
	halt         context.CancelFunc // ends the loops
	halted       context.Context
	done         chan struct{} // closed when Run has returned
	nameTaken    chan struct{} // closed when another node proves to bear this node's name
}

// New returns a node that does not run yet. It sends nothing.
func New(cfg Config) (*Node, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	cfg.Callers = limitConnections(cfg.Callers, cfg.MaxConnections)
	n := &Node{cfg: cfg, startedAt: now.UTC(), run: membership.NewIncarnation(now), done: make(chan struct{}), nameTaken: make(chan struct{})}
	n.halted, n.halt = context.WithCancel(context.Background())
	n.claims = idempotency.NewClaims(cfg.Store)
	n.catalog = newCatalog()
	n.backends = newBackends(n)
	n.peers = newPeerClients(n)
	n.office = newOffice(n)
	n.cell = newCell(n)
	if n.members, err = newMembers(n, now); err != nil {
		return nil, err
	}
	if n.releases, err = newReleases(n, now); err != nil {
		return nil, err
	}
	if n.keys, err = newKeys(n); err != nil {
		return nil, err
	}
	n.entry = entry.New(n.entryConfig())
	n.callerServer, n.peerServer = n.newCallerServer(), n.newPeerServer()
	return n, nil
}

func newKeys(n *Node) (*idempotency.Service, error) {
	secret := make([]byte, 32)
	if _, err := rand.Read(secret); err != nil {
		return nil, fmt.Errorf("secret of issued keys: %w", err)
	}
	owner := idempotency.Owner{Node: n.cfg.ID, Incarnation: n.run}
	core := idempotency.NewCore(n.cfg.Idempotency, owner, secret)
	logFailure := func(event string, key idempotency.Key, err error) {
		level.Warn(n.cfg.Log).Log("event", event, "key", key, "err", err)
	}
	return idempotency.NewService(core, n.claims, n.backends, keyOwners{n}, logFailure), nil
}

// newSource returns a source of random numbers for a core.
func newSource() (*mathrand.Rand, error) {
	seed, err := rand.Int(rand.Reader, new(big.Int).SetUint64(1<<63))
	if err != nil {
		return nil, fmt.Errorf("random seed: %w", err)
	}
	return mathrand.New(mathrand.NewPCG(seed.Uint64(), uint64(time.Now().UnixNano()))), nil
}

// Run serves until ctx ends, then stops gracefully. It returns ErrNameInUse if
// another node of the same name is alive, and ErrCut if the stop ended requests
// in progress.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.done)
	if err := n.register(ctx); err != nil {
		n.closeListeners()
		return err
	}
	group, groupCtx := errgroup.WithContext(n.halted)
	group.Go(func() error { return n.members.receive(groupCtx) })
	group.Go(func() error { return every(groupCtx, membership.TickInterval, n.members.tick) })
	group.Go(func() error { return every(groupCtx, officeTick, n.office.tick) })
	group.Go(func() error { return every(groupCtx, n.cfg.Tick, n.cell.tick) })
	group.Go(func() error { return everyNow(groupCtx, n.cfg.VMListInterval, n.backends.refresh) })
	group.Go(func() error { return everyNow(groupCtx, snapshotInterval, n.refreshSnapshot) })
	group.Go(func() error { return every(groupCtx, sweepInterval, n.sweep) })
	group.Go(func() error { return every(groupCtx, rejoinInterval, n.rejoin) })
	group.Go(func() error { return every(groupCtx, releaseTick, n.releases.tick) })
	group.Go(func() error { return serve(n.callerServer, n.cfg.Callers) })
	group.Go(func() error { return serve(n.peerServer, n.cfg.Peers) })
	level.Info(n.cfg.Log).Log("event", "started", "incarnation", n.run, "callers", n.cfg.CallerAddress, "peers", n.cfg.PeerAddress)
	var stopErr error
	select {
	case <-ctx.Done():
		stopErr = n.Stop(context.WithoutCancel(ctx))
	case <-n.nameTaken:
		stopErr = ErrNameInUse
	case <-groupCtx.Done():
	}
	n.halt()
	n.closeListeners()
	err := errors.Join(stopErr, ignoreCancel(group.Wait()))
	n.background.Close()
	return err
}

// every calls f at each interval until ctx ends or f fails.
func every(ctx context.Context, interval time.Duration, f func(ctx context.Context, now time.Time) error) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if err := f(ctx, time.Now()); err != nil {
				return err
			}
		}
	}
}

// everyNow is every with a first call at once.
func everyNow(ctx context.Context, interval time.Duration, f func(ctx context.Context, now time.Time) error) error {
	if err := f(ctx, time.Now()); err != nil {
		return err
	}
	return every(ctx, interval, f)
}

func ignoreCancel(err error) error {
	if errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// sweepInterval is the interval at which expired keys are forgotten.
const sweepInterval = time.Minute

// sweepTimeout bounds one sweep of the store.
const sweepTimeout = 10 * time.Second

// sweep forgets expired keys in memory, and in the store, while in office, those
// of one of 256 prefixes of object names.
func (n *Node) sweep(ctx context.Context, now time.Time) error {
	n.keys.Sweep(now)
	if _, in := n.InOffice(); !in {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	count, err := n.claims.Sweep(ctx, now, fmt.Sprintf("%02x", n.swept))
	if err != nil {
		level.Info(n.cfg.Log).Log("event", "sweep_failed", "err", err)
		return nil
	}
	n.swept++
	level.Debug(n.cfg.Log).Log("event", "claims_swept", "count", count)
	return nil
}

// NotReady says why the node can't serve callers yet, or is empty if it can.
func (n *Node) NotReady() string {
	switch {
	case n.stopping.Load():
		return "stopping"
	case n.catalog.Version() == 0:
		return "the release in force is not known yet"
	case !n.members.awake(time.Now()):
		return "membership is not settled"
	}
	return ""
}

// ID returns the node's name.
func (n *Node) ID() fleet.NodeID { return n.cfg.ID }

// ReleaseVersion returns the release version in force at this node; zero if it
// may not serve by what it knows.
func (n *Node) ReleaseVersion() uint64 { return n.catalog.Version() }

// CallerAddress returns the address told to callers.
func (n *Node) CallerAddress() string { return n.cfg.CallerAddress }

// InOffice reports whether this node controls its cell, and with which epoch.
func (n *Node) InOffice() (fleet.Epoch, bool) {
	a := n.office.authority(time.Now())
	return a.Epoch, a.InOffice
}
