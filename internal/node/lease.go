package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/lease"
	"github.com/redwingnotch/redwingnotch/platform"
)

// Intervals and timeouts of the lease loop.
const (
	leaseTick    = 50 * time.Millisecond   // interval of the loop
	leaseTimeout = 1500 * time.Millisecond // timeout of one store call
)

// leaseLoop runs the lease core, which decides whether this node is the active
// controller of its cell.
type leaseLoop struct {
	node             *Node
	mu               sync.Mutex
	core             *lease.Core
	announcedEpoch   fleet.Epoch    // highest epoch announced to the members; used by tick only
	announcedVersion uint64         // newest version of the lease object announced; used by tick only
	tableRefresh     refreshTracker // of the core's member table; used by tick only
}

func newLeaseLoop(n *Node) *leaseLoop {
	self := lease.Holder{Node: n.cfg.ID, Incarnation: n.incarnation}
	return &leaseLoop{node: n, core: lease.New(n.cfg.Lease, n.cfg.Cell, self)}
}

// tick updates the member table of the core and makes the store calls that the core
// requests. A node that may have been paused does nothing until it is awake.
func (l *leaseLoop) tick(ctx context.Context, now time.Time) error {
	if !l.node.members.awake(now) {
		return nil
	}
	if l.tableRefresh.due(l.node.members, now) {
		l.setMembers(now, l.node.members.leaseMembers())
	}
	l.mu.Lock()
	effects := l.core.Tick(now)
	authority := l.core.Authority(now)
	update, isHolder := l.core.VersionUpdate()
	l.mu.Unlock()
	if isHolder && update.Version > l.announcedVersion {
		l.announcedVersion = update.Version
		l.node.members.announceLease(now, update)
	}
	if authority.Epoch > l.announcedEpoch {
		// A node that handed the cell over also announces the new controller.
		l.announcedEpoch = authority.Epoch
		l.node.members.announceController(now, authority.Epoch, authority.Holder)
	}
	if effects.Read {
		l.node.background.Go(func() { l.read(ctx) })
	}
	if effects.Write != nil {
		l.node.background.Go(func() { l.write(ctx, *effects.Write) })
	}
	return nil
}

func (l *leaseLoop) setMembers(now time.Time, rows []lease.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.SetMembers(now, rows)
}

func (l *leaseLoop) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	object, err := l.node.cfg.Store.Get(ctx, platform.KindLease, string(l.node.cfg.Cell))
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		level.Debug(l.node.cfg.Log).Log("event", "lease_read_failed", "err", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.HandleRead(time.Now(), object, err)
}

func (l *leaseLoop) write(ctx context.Context, w lease.Write) {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	version, err := l.node.cfg.Store.Put(ctx, platform.KindLease, string(l.node.cfg.Cell), w.Value, w.Expect, w.Writer)
	if ctx.Err() != nil && err != nil {
		err = errors.Join(platform.ErrUnknown, err)
	}
	level.Info(l.node.cfg.Log).Log("event", "lease_written", "version", version, "writer", w.Writer, "err", err)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.HandleWrite(time.Now(), w.Writer, version, err)
}

// authority returns the core's authority. A node that is not awake is never the
// active controller.
func (l *leaseLoop) authority(now time.Time) lease.Authority {
	awake := l.node.members.awake(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.core.Authority(now)
	a.Active = a.Active && awake
	return a
}

// handleHolderHint handles the message of another node that says which run controls
// the cell and with which epoch.
func (l *leaseLoop) handleHolderHint(holder lease.Holder, epoch fleet.Epoch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.HandleHolderHint(time.Now(), holder, epoch)
}

// update handles the message of the holder that the lease has a new version.
func (l *leaseLoop) update(u lease.VersionUpdate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.HandleVersionUpdate(time.Now(), u)
}

// leaseVersion returns the version of the lease object as last read.
func (l *leaseLoop) leaseVersion() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	update, _ := l.core.VersionUpdate()
	return update.Version
}

// setDesired sets the server sets and intents that the core writes to the lease record.
func (l *leaseLoop) setDesired(now time.Time, d lease.DesiredRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.SetDesired(now, d)
}

// handleHigherEpoch ends this node's term, as an engine reported a higher epoch.
func (l *leaseLoop) handleHigherEpoch(now time.Time, epoch fleet.Epoch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.HandleHigherEpoch(now, epoch)
}

// startLeaving starts the handover of the cell to a successor.
func (l *leaseLoop) startLeaving(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.SetLeaving(now)
}

// recordStoreContact records that the object API responded to a call of this node that
// was sent at sentAt.
func (l *leaseLoop) recordStoreContact(now, sentAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.HandleStoreContact(now, sentAt)
}
