package front

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/replicas"
	"github.com/redwingnotch/redwingnotch/routes"
)

// Limits of calls to the store.
const (
	storeTimeout             = 700 * time.Millisecond  // timeout of one call, which usually takes milliseconds
	storeRetryDelay          = 400 * time.Millisecond  // delay after a failed call
	relaxedStoreRetryDelay   = 1500 * time.Millisecond // delay after the second and each further consecutive failed call, at nodes that are not among the frequentWatchers
	desiredWatchTimeout      = 15 * time.Second        // timeout of one watch for the desired state; other nodes also publish newer versions
	serversWatchTimeout      = 4 * time.Second         // timeout of one watch for servers
	serversWatchPause        = 500 * time.Millisecond  // pause between two watches for servers, to receive several changes at once
	relaxedServersWatchPause = 4 * time.Second         // pause between two watches for servers at nodes that are not among the frequentWatchers, in small fleets
	serversWatchPausePerNode = 200 * time.Millisecond  // pause between two watches for servers, per live node, at nodes that are not among the frequentWatchers in large fleets; keeps the total rate of watches constant
	frequentWatchers         = 2                       // number of nodes that watch the servers' entries with serversWatchPause; the others watch less often and receive changes from them
	storeOutageAfter         = 1 * time.Second         // time of consecutive failures that counts as an outage; entries that expire in an outage may be written again
	storeRecoveryPeriod      = 3 * time.Second         // time after an outage in which removed entries are still treated as expired by it
)

// watcher follows the store objects of one kind.
type watcher struct {
	node         *Node
	kind         platform.Kind
	timeout      time.Duration                                    // timeout of one watch
	pause        func() time.Duration                             // returns the time between two watches
	onList       func(objects []platform.Object, revision uint64) // handles the complete list, as of a revision
	onEvent      func(e platform.Event)                           // handles one change
	onConfirmed  func(asOf time.Time)                             // handles that all changes up to a time are known; may be nil
	revision     uint64                                           // revision from which the next watch starts; zero to list first
	failingSince time.Time                                        // time of the first of the consecutive failures; zero if the last call succeeded
}

// run lists and watches until the context ends.
func (w *watcher) run(ctx context.Context) error {
	for ctx.Err() == nil {
		sent := bootclock.Now()
		if err := w.step(ctx); err != nil && ctx.Err() == nil {
			sleep(ctx, w.recordFailure(err))
			continue
		}
		w.recordSuccess(sent)
		if w.onConfirmed != nil {
			w.onConfirmed(sent)
		}
		sleep(ctx, w.pause())
	}
	return nil
}

// step makes one call: a list if there is no revision to watch from, else a
// watch.
func (w *watcher) step(ctx context.Context) error {
	if w.revision == 0 {
		objects, revision, err := w.node.store.List(ctx, w.kind, "")
		if err != nil {
			return err
		}
		w.onList(objects, revision)
		w.revision = revision
		return nil
	}
	events, revision, err := w.node.store.Watch(ctx, w.kind, w.revision, w.timeout)
	if errors.Is(err, platform.ErrCompacted) {
		w.revision = 0
		return nil
	}
	if err != nil {
		return err
	}
	for _, e := range events {
		w.onEvent(e)
	}
	w.revision = max(w.revision, revision)
	return nil
}

// recordFailure records a failed call and returns the delay before the next.
func (w *watcher) recordFailure(err error) time.Duration {
	pause := storeRetryDelay
	if !w.failingSince.IsZero() && !w.node.watchesFrequently() {
		pause = relaxedStoreRetryDelay
	}
	if w.failingSince.IsZero() {
		w.failingSince = bootclock.Now()
		level.Warn(w.node.log).Log("event", "store_lost", "kind", w.kind, "err", err)
	}
	// Continue with a list, which responds or fails soon. A watch sent just
	// before the store recovers may block until its timeout.
	w.revision = 0
	return pause
}

// recordSuccess records a successful call that was sent at the given time.
func (w *watcher) recordSuccess(sent time.Time) {
	w.node.recordStoreContact(sent, w.timeout)
	if !w.failingSince.IsZero() {
		level.Info(w.node.log).Log("event", "store_back", "kind", w.kind, "away_ms", bootclock.Now().Sub(w.failingSince).Milliseconds())
		w.failingSince = time.Time{}
	}
}

// sleep waits for the duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// watchDesired follows the operators' desired state.
func (n *Node) watchDesired(ctx context.Context) error {
	w := &watcher{node: n, kind: platform.KindConfig, timeout: desiredWatchTimeout, pause: func() time.Duration { return 0 }}
	w.onConfirmed = n.desiredConfirmed
	w.onList = func(objects []platform.Object, _ uint64) {
		for _, o := range objects {
			n.setDesired(o)
		}
	}
	w.onEvent = func(e platform.Event) {
		if !e.Deleted {
			n.setDesired(e.Object)
		}
	}
	return w.run(ctx)
}

// setDesired puts a desired state in force if it is newer. One with errors is put
// in force as far as it is readable, if that includes routes.
func (n *Node) setDesired(o platform.Object) {
	if o.Name != platform.ConfigName {
		return
	}
	t, err := platform.DecodeDesired(o.Value)
	if err != nil {
		level.Error(n.log).Log("event", "desired_state_unreadable", "revision", o.Version, "err", err)
		if t == nil || len(t.Routes) == 0 {
			return
		}
	}
	n.putInForce(t)
}

// putInForce puts the table in force unless the one in force is as new or newer.
func (n *Node) putInForce(t *routes.Table) {
	for {
		old := n.desired.Load()
		if old != nil && old.Version >= t.Version {
			return
		}
		if n.desired.CompareAndSwap(old, t) {
			n.mu.Lock()
			n.noteDesiredVersion(bootclock.Now(), t.Version)
			n.mu.Unlock()
			level.Info(n.log).Log("event", "desired_state", "version", t.Version, "routes", len(t.Routes), "services", len(t.Services))
			return
		}
	}
}

// watchServers follows the backend servers' entries.
func (n *Node) watchServers(ctx context.Context) error {
	w := &watcher{node: n, kind: platform.KindServers, timeout: serversWatchTimeout, pause: n.serversWatchPause}
	var outage bool // entries may have expired because the store was down
	var outageUntil time.Time
	afterOutage := func() bool {
		now := bootclock.Now()
		if !w.failingSince.IsZero() && now.Sub(w.failingSince) > storeOutageAfter {
			outage, outageUntil = true, now.Add(storeRecoveryPeriod)
		}
		outage = outage && now.Before(outageUntil)
		return outage
	}
	w.onList = func(objects []platform.Object, revision uint64) { n.setServers(objects, revision, afterOutage()) }
	w.onEvent = func(e platform.Event) { n.changeServer(e, afterOutage()) }
	return w.run(ctx)
}

// serversWatchPause returns the pause between two watches for servers. Only
// frequentWatchers nodes watch frequently; they publish new and departing servers to
// the others. A node that knows no live peers is one of them.
func (n *Node) serversWatchPause() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := bootclock.Now()
	if n.peers.successorPosition(now, "") < frequentWatchers {
		return serversWatchPause
	}
	return max(relaxedServersWatchPause, time.Duration(n.peers.alive(now))*serversWatchPausePerNode)
}

// watchesFrequently reports whether this node is one of the frequentWatchers.
func (n *Node) watchesFrequently() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peers.successorPosition(bootclock.Now(), "") < frequentWatchers
}

// setServers applies the complete list of entries as of a revision of the store: a
// missing entry is removed as of that revision. afterOutage says that missing
// entries may return.
func (n *Node) setServers(objects []platform.Object, revision uint64, afterOutage bool) {
	listed := map[string]bool{}
	for _, o := range objects {
		listed[o.Name] = true
		n.changeServer(platform.Event{Object: o}, afterOutage)
	}
	n.mu.Lock()
	entries := n.table.Entries()
	n.mu.Unlock()
	for _, e := range entries {
		if !listed[e.ID] && e.Revision <= revision {
			n.removeServer(e.ID, revision, afterOutage)
		}
	}
	n.closeUnlistedClients()
}

// changeServer applies a change of one entry.
func (n *Node) changeServer(e platform.Event, afterOutage bool) {
	if e.Deleted {
		n.removeServer(e.Object.Name, e.Object.Version, afterOutage)
		return
	}
	entry, err := platform.DecodeEntry(e.Object.Name, e.Object.Value)
	entry.Revision = e.Object.Version
	if err != nil {
		level.Warn(n.log).Log("event", "server_entry_unusable", "server", e.Object.Name, "revision", e.Object.Version, "err", err)
		n.removeServer(e.Object.Name, e.Object.Version, false)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applyEntry(entry, entrySourceStore)
	n.dispatchWaiting(bootclock.Now())
}

// removeServer handles the removal of an entry at a revision. After an outage of
// the store the entry may return, so the server is retained for a while, unless it
// was draining.
func (n *Node) removeServer(id string, revision uint64, afterOutage bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	entry, known := n.table.Entry(id)
	if !known || revision < entry.Revision {
		return // unknown, or written again since
	}
	if afterOutage && !entry.Draining {
		n.table.MarkExpired(bootclock.Now(), id)
		return
	}
	now := bootclock.Now()
	n.table.Remove(now, id, revision)
	if !entry.Draining {
		n.serverEnded(entry, endRemoved)
	}
	entry.Revision = max(entry.Revision, revision)
	n.announceDeparture(entry)
	level.Info(n.log).Log("event", "server_gone", "server", id, "reason", "entry removed")
}

// entrySourceStore is the log's source of entries that this node read from the
// store itself.
const entrySourceStore = "store"

// applyEntry applies an entry that this node read from the store or received from
// another node. The caller holds n.mu.
func (n *Node) applyEntry(entry replicas.Entry, source string) {
	before, known := n.table.Entry(entry.ID)
	if !n.table.SetEntry(bootclock.Now(), entry) {
		return
	}
	if known && before.Start != entry.Start {
		n.serverEnded(before, endRestarted)
	}
	if known && before.Draining == entry.Draining && before.Start == entry.Start {
		return
	}
	level.Info(n.log).Log("event", "server", "server", entry.ID, "service", entry.Service, "draining", entry.Draining, "start", entry.Start, "revision", entry.Revision, "source", source)
	if entry.Draining {
		n.announceDeparture(entry)
		return
	}
	if source != entrySourceStore {
		return // the node that read it from the store sends it to all others
	}
	n.newServers = append(n.newServers, newServer{entry: entry, at: bootclock.Now()})
	n.publish(bootclock.Now(), sendAllNow)
}

// announceDeparture publishes that a server is draining or removed. The caller
// holds n.mu.
func (n *Node) announceDeparture(e replicas.Entry) {
	now := bootclock.Now()
	n.departing = append(n.departing, departing{ID: e.ID, Revision: e.Revision, at: now})
	n.publish(now, sendAllNow)
}

// closeUnlistedClients closes idle connections to servers that were removed.
func (n *Node) closeUnlistedClients() {
	n.mu.Lock()
	entries := n.table.Entries()
	n.mu.Unlock()
	n.serverClients.closeUnlisted(entries)
}

// entriesOf returns the entries of a service. The caller holds n.mu.
func (n *Node) entriesOf(service string) []replicas.Entry {
	var entries []replicas.Entry
	for _, e := range n.table.Entries() {
		if e.Service == service {
			entries = append(entries, e)
		}
	}
	return entries
}
