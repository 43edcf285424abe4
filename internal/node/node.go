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

// Node is one entry node. Create it with New.
type Node struct {
	cfg         Config
	incarnation fleet.Incarnation // identifies this run

	startedAt time.Time

	entry *entry.Handler
	keys  *idempotency.Executor
	// claims is the durable part of keys. nextSweepPrefix is the next prefix of object
	// names to sweep.
	claims          *idempotency.ClaimStore
	nextSweepPrefix uint8

	members     *members
	leaseLoop   *leaseLoop
	cell        *cell
	backends    *backends
	catalog     *catalog
	releaseLoop *releaseLoop
	peers       *peerClients

	callerServer *http.Server
	peerServer   *http.Server
	background   tasks.Group // short tasks that Run waits for before it returns
	stopping     atomic.Bool
	cancelLoops  context.CancelFunc // cancels loopsCtx, which ends the loops
	loopsCtx     context.Context
	done         chan struct{} // closed when Run has returned
	nameConflict chan struct{} // closed when another live node has this node's name
}

// New returns a node that is not running. It sends nothing.
func New(cfg Config) (*Node, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	cfg.Callers = limitConnections(cfg.Callers, cfg.MaxConnections)
	n := &Node{cfg: cfg, startedAt: now.UTC(), incarnation: membership.NewIncarnation(now), done: make(chan struct{}), nameConflict: make(chan struct{})}
	n.loopsCtx, n.cancelLoops = context.WithCancel(context.Background())
	n.claims = idempotency.NewClaimStore(cfg.Store)
	n.catalog = newCatalog()
	n.backends = newBackends(n)
	n.peers = newPeerClients(n)
	n.leaseLoop = newLeaseLoop(n)
	n.cell = newCell(n)
	if n.members, err = newMembers(n, now); err != nil {
		return nil, err
	}
	if n.releaseLoop, err = newReleaseLoop(n, now); err != nil {
		return nil, err
	}
	if n.keys, err = newKeys(n); err != nil {
		return nil, err
	}
	n.entry = entry.New(n.entryConfig())
	n.callerServer, n.peerServer = n.newCallerServer(), n.newPeerServer()
	return n, nil
}

// newKeys returns the service that runs keyed calls, with a new random secret for
// the keys that it issues.
func newKeys(n *Node) (*idempotency.Executor, error) {
	secret := make([]byte, 32)
	if _, err := rand.Read(secret); err != nil {
		return nil, fmt.Errorf("generate the secret for issued keys: %w", err)
	}
	owner := idempotency.Owner{Node: n.cfg.ID, Incarnation: n.incarnation}
	core := idempotency.NewCore(n.cfg.Idempotency, owner, secret)
	logFailure := func(event string, key idempotency.Key, err error) {
		level.Warn(n.cfg.Log).Log("event", event, "key", key, "err", err)
	}
	return idempotency.NewExecutor(core, n.claims, n.backends, keyOwners{n}, logFailure), nil
}

// newRand returns a randomly seeded random number generator for a core.
func newRand() (*mathrand.Rand, error) {
	seed, err := rand.Int(rand.Reader, new(big.Int).SetUint64(1<<63))
	if err != nil {
		return nil, fmt.Errorf("generate a random seed: %w", err)
	}
	return mathrand.New(mathrand.NewPCG(seed.Uint64(), uint64(time.Now().UnixNano()))), nil
}

// Run serves until ctx ends, then stops gracefully. It returns ErrNameInUse if
// another live node has the same name, and ErrRequestsInterrupted if the stop
// interrupted requests in progress.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.done)
	if err := n.register(ctx); err != nil {
		n.closeListeners()
		return err
	}
	group, groupCtx := errgroup.WithContext(n.loopsCtx)
	group.Go(func() error { return n.members.receiveLoop(groupCtx) })
	group.Go(func() error { return runEvery(groupCtx, membership.TickInterval, n.members.tick) })
	group.Go(func() error { return runEvery(groupCtx, leaseTick, n.leaseLoop.tick) })
	group.Go(func() error { return runEvery(groupCtx, n.cfg.Tick, n.cell.tick) })
	group.Go(func() error { return runNowAndEvery(groupCtx, n.cfg.VMListInterval, n.backends.refresh) })
	group.Go(func() error { return runNowAndEvery(groupCtx, snapshotInterval, n.refreshSnapshot) })
	group.Go(func() error { return runEvery(groupCtx, sweepInterval, n.sweep) })
	group.Go(func() error { return runEvery(groupCtx, rejoinInterval, n.rejoin) })
	group.Go(func() error { return runEvery(groupCtx, releaseTick, n.releaseLoop.tick) })
	group.Go(func() error { return serve(n.callerServer, n.cfg.Callers) })
	group.Go(func() error { return serve(n.peerServer, n.cfg.Peers) })
	level.Info(n.cfg.Log).Log("event", "started", "incarnation", n.incarnation, "callers", n.cfg.CallerAddress, "peers", n.cfg.PeerAddress)
	var stopErr error
	select {
	case <-ctx.Done():
		stopErr = n.Stop(context.WithoutCancel(ctx))
	case <-n.nameConflict:
		stopErr = ErrNameInUse
	case <-groupCtx.Done():
	}
	n.cancelLoops()
	n.closeListeners()
	err := errors.Join(stopErr, ignoreCancel(group.Wait()))
	n.background.Close()
	return err
}

// runEvery calls f at each interval until ctx ends or f fails.
func runEvery(ctx context.Context, interval time.Duration, f func(ctx context.Context, now time.Time) error) error {
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

// runNowAndEvery calls f once immediately and then as runEvery does.
func runNowAndEvery(ctx context.Context, interval time.Duration, f func(ctx context.Context, now time.Time) error) error {
	if err := f(ctx, time.Now()); err != nil {
		return err
	}
	return runEvery(ctx, interval, f)
}

// ignoreCancel returns err, or nil for the errors of a normal stop.
func ignoreCancel(err error) error {
	if errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// sweepInterval is the interval at which expired keys are deleted.
const sweepInterval = time.Minute

// sweepTimeout is the timeout of one sweep of the store.
const sweepTimeout = 10 * time.Second

// sweep deletes expired keys from memory. On the active controller it also deletes
// expired claims from the store, those of one of 256 prefixes of object names per
// call.
func (n *Node) sweep(ctx context.Context, now time.Time) error {
	n.keys.Sweep(now)
	if _, active := n.Active(); !active {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	count, err := n.claims.Sweep(ctx, now, fmt.Sprintf("%02x", n.nextSweepPrefix))
	if err != nil {
		level.Info(n.cfg.Log).Log("event", "sweep_failed", "err", err)
		return nil
	}
	n.nextSweepPrefix++
	level.Debug(n.cfg.Log).Log("event", "claims_swept", "count", count)
	return nil
}

// NotReadyReason returns why the node can't serve callers, or the empty string if it can.
func (n *Node) NotReadyReason() string {
	switch {
	case n.stopping.Load():
		return "stopping"
	case n.catalog.Version() == 0:
		return "the release in force is not known yet"
	case !n.members.awake(time.Now()):
		return "membership is not confirmed yet"
	}
	return ""
}

// ID returns the node's name.
func (n *Node) ID() fleet.NodeID { return n.cfg.ID }

// ReleaseVersion returns the release version in force at this node, or zero while the
// node may not serve requests by it.
func (n *Node) ReleaseVersion() uint64 { return n.catalog.Version() }

// CallerAddress returns the address published to callers.
func (n *Node) CallerAddress() string { return n.cfg.CallerAddress }

// Active returns the highest epoch that this node knows and whether this node is
// the active controller of its cell. If it is, the epoch is its own.
func (n *Node) Active() (fleet.Epoch, bool) {
	a := n.leaseLoop.authority(time.Now())
	return a.Epoch, a.Active
}
