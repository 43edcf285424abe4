package front

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/configsync"
	"github.com/redwingnotch/redwingnotch/credentials"
	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/internal/telemetry"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/routes"
)

// reconcileDesired starts the calls that are due to follow the desired state. The
// caller holds n.mu.
func (n *Node) reconcileDesired(ctx context.Context, now time.Time) {
	n.logDesiredStatus(now)
	n.updateStoreBehind(now)
	actions := n.sync.Tick(now, n.confirms(now))
	if actions.Read {
		go n.readDesired(ctx)
	}
	if actions.Watch != nil {
		ctx, cancel := context.WithTimeout(ctx, actions.Watch.Timeout)
		go n.watchDesired(ctx, cancel, *actions.Watch)
	}
}

// maxBehind is the longest time for which a node takes no requests because others report a newer desired
// state than the store has. The operator writes it again soon after the store has lost it.
const maxBehind = 10 * time.Second

// updateStoreBehind records whether this node may have an older desired state than others because the store
// came back from an older copy. A node that has started does not know before it has heard from the others.
// The caller holds n.mu.
func (n *Node) updateStoreBehind(now time.Time) {
	era, _ := n.eras.Current()
	if era == 0 {
		return
	}
	status := n.sync.Status(now)
	discovering := now.Sub(n.peers.startedAt) < peerDiscoveryDelay && hasOtherSeeds(n.settings)
	if !discovering && status.Version > 0 && status.Version == status.Newest {
		n.caughtUp = true
	}
	older := status.Newest > status.Version && status.Behind < maxBehind
	behind := discovering || older && (!n.caughtUp || n.sync.StoreBehind())
	if n.storeBehind.Swap(behind) != behind && status.Newest > status.Version {
		level.Warn(n.log).Log("event", "desired_state_behind", "behind", behind, "version", status.Version, "newest", status.Newest)
	}
}

// confirms reports whether this node confirms the desired state for the nodes that it
// reaches. The caller holds n.mu.
func (n *Node) confirms(now time.Time) bool { return n.peers.successorPosition(now, "") == 0 }

// readDesired reads the desired state and puts it in force.
func (n *Node) readDesired(ctx context.Context) {
	sent := bootclock.Now()
	objects, revision, err := n.freshStore.List(ctx, platform.KindConfig, "")
	for _, o := range objects {
		err = errors.Join(err, n.setDesired(o))
	}
	n.mu.Lock()
	era, _ := n.eras.Current()
	behind := era > 0 && n.sync.BehindAsOf(sent)
	n.mu.Unlock()
	if !behind {
		n.keys.readDone(sent, objects, err)
	}
	n.answerWaiting(err == nil)
	now := bootclock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		n.storeResponded(now, sent, 0)
	}
	n.logStore(now, err)
	stale := n.sync.Status(now).Stale
	n.sync.ReadDone(now, sent, revision, err, n.confirms(now))
	n.updateStoreBehind(now)
	if err == nil && (stale || n.peers.slowdown() > 1) {
		n.publish(now, sendAllNow) // others may be about to read as well
	}
}

// watchDesired waits for a change of the desired state and puts it in force.
func (n *Node) watchDesired(ctx context.Context, cancel context.CancelFunc, w configsync.Watch) {
	defer cancel()
	sent := bootclock.Now()
	events, revision, err := n.store.Watch(ctx, platform.KindConfig, w.Revision, w.Wait)
	for _, e := range events {
		if !e.Deleted {
			err = errors.Join(err, n.setDesired(e.Object))
		}
	}
	n.keys.watchDone(sent, w.Wait, events, err)
	now := bootclock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if errors.Is(err, platform.ErrCompacted) {
		n.sync.Compacted()
		return
	}
	if err == nil {
		n.storeResponded(now, sent, w.Wait)
	}
	n.sync.WatchDone(now, sent, revision, len(events) > 0, err)
	if err == nil && n.peers.slowdown() > 1 {
		n.publish(now, sendAllNow) // before the others read by themselves
	}
	n.dispatchWaiting(now)
}

// setDesired puts a desired state in force if it is newer.
func (n *Node) setDesired(o platform.Object) error {
	if o.Name != platform.ConfigName {
		return nil
	}
	t, err := platform.DecodeDesired(o.Value)
	var index *credentials.Index
	if t != nil {
		var faults []error
		index, faults = credentials.NewIndex(t.Version, t.Teams)
		err = errors.Join(append([]error{err}, faults...)...)
	}
	if err != nil && n.keys.firstFault(o.Version) {
		level.Error(n.log).Log("event", "desired_state_unreadable", "revision", o.Version, "err", err)
	}
	if t == nil || t.Version == 0 {
		return err
	}
	if old := n.desired.Load(); old != nil && t.Version < old.Version && platform.EraOf(o.Version) > platform.EraOf(n.desiredRead.Load()) {
		return fmt.Errorf("%w: version %d, %d in force", errOlderState, t.Version, old.Version)
	}
	n.putInForce(t, index)
	if n.desired.Load().Version == t.Version {
		n.desiredRead.Store(o.Version)
	}
	return nil
}

// errOlderState means that the store came back from a copy with an older desired state. It confirms nothing
// until the operator's is written again.
var errOlderState = errors.New("the store holds an older desired state than the one in force")

// putInForce puts the table in force unless the one in force is as new or newer.
func (n *Node) putInForce(t *routes.Table, index *credentials.Index) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if old := n.desired.Load(); old != nil && old.Version >= t.Version {
		return
	}
	now := bootclock.Now()
	n.keys.putInForce(t, index) // first: a request that finds the table must not be judged by older keys
	n.desired.Store(t)
	n.sync.PutInForce(now, t.Version)
	inForce := map[string]bool{}
	for _, r := range t.Routes {
		inForce[r.Name] = true
	}
	n.attempts.Keep(func(route string) bool { return inForce[route] })
	n.durations.Keep(func(route string) bool { return inForce[route] })
	level.Info(n.log).Log("event", "desired_state", "version", t.Version, "routes", len(t.Routes), "services", len(t.Services))
	if !n.peers.knowDesired(now, t.Version) {
		n.publish(now, sendAllNow)
	}
}

// observeDesired is the desired state's status for the metrics.
func (n *Node) observeDesired() telemetry.DesiredState {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.sync.Status(bootclock.Now())
	return telemetry.DesiredState{Version: s.Version, ConfirmedAge: s.ConfirmedAge, Behind: s.Behind}
}

// logDesiredStatus logs when the confirmation of the desired state becomes older than the
// time within which a new one must be in force, and when it is renewed. The caller
// holds n.mu.
func (n *Node) logDesiredStatus(now time.Time) {
	status := n.sync.Status(now)
	if status.Stale == n.desiredStale {
		return
	}
	n.desiredStale = status.Stale
	logger := log.With(level.Info(n.log), "version", status.Version, "newest", status.Newest,
		"age_ms", status.ConfirmedAge.Milliseconds(), "behind_ms", status.Behind.Milliseconds())
	if status.Stale {
		logger.Log("event", "desired_state_stale")
		return
	}
	logger.Log("event", "desired_state_confirmed")
}

// logStore logs the first failed read of the desired state and the first that works
// again. The caller holds n.mu.
func (n *Node) logStore(now time.Time, err error) {
	switch {
	case err != nil && n.desiredLost.IsZero():
		n.desiredLost = now
		level.Warn(n.log).Log("event", "store_lost", "kind", platform.KindConfig, "err", err)
	case err == nil && !n.desiredLost.IsZero():
		level.Info(n.log).Log("event", "store_back", "kind", platform.KindConfig, "away_ms", now.Sub(n.desiredLost).Milliseconds())
		n.desiredLost = time.Time{}
	}
}
