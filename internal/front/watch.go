package front

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/replicas"
)

// Limits of calls to the store.
const (
	storeTimeout             = 700 * time.Millisecond  // timeout of one call, which usually takes milliseconds
	storeRetryDelay          = 400 * time.Millisecond  // delay after a failed call
	relaxedStoreRetryDelay   = 1500 * time.Millisecond // delay after the second and each further consecutive failed call, at nodes that are not among the frequentWatchers
	storePollInterval        = 100 * time.Millisecond  // interval at which a pausing watcher checks whether its pause is to end
	relaxedServersWatchPause = 4 * time.Second         // pause between two lists of servers at nodes that are not among the frequentWatchers, if these tell no digest
	digestDiffersFor         = 1200 * time.Millisecond // time for which the digest of a frequentWatcher differs before a node lists the servers by itself
	digestListPause          = 6 * time.Second         // least time between two lists for that reason
	returnDiffersFor         = 300 * time.Millisecond  // digestDiffersFor while entries may return that expired in an outage of the store
	returnListPause          = 700 * time.Millisecond  // digestListPause in that time
	frequentWatchers         = 2                       // number of nodes that watch the servers' entries; the others receive changes from them
)

// Shares of Bounds.DrainTimeout, within which the nodes must know that a server leaves.
const (
	serversWaitShare   = 0.25 // wait of one watch for servers at the frequentWatchers
	serversPauseShare  = 0.3  // pause between two watches there, to receive several changes at once
	serversMarginShare = 0.2  // time after the wait by which the response must have arrived
	serversMinAgeShare = 0.65 // age of the newest confirmed list of servers at which the first node reads it by itself
	serversMaxAgeShare = 0.8  // the same for the last node; the first ones tell the others
)

// watcher follows the store objects of one kind.
type watcher struct {
	node        *Node
	kind        platform.Kind
	timeouts    func() (wait, margin time.Duration)              // return the wait of a watch, and the time after it by which the response must have arrived
	pause       func() time.Duration                             // returns the time between two calls
	lists       func() bool                                      // reports whether each call is to be a list
	onList      func(objects []platform.Object, revision uint64) // handles the complete list, as of a revision
	onEvent     func(e platform.Event)                           // handles one change
	revision    uint64                                           // revision from which the next watch starts; zero to list first
	onConfirmed func(asOf time.Time)                             // handles that all changes up to a time are known
	overdue     func() bool                                      // reports whether the next call is due at once, whatever the pause
	outage      *storeOutage
}

// run lists and watches until the context ends.
func (w *watcher) run(ctx context.Context) error {
	for ctx.Err() == nil {
		sent := bootclock.Now()
		if err := w.step(ctx); err != nil && ctx.Err() == nil {
			sleep(ctx, w.recordFailure(sent, err))
			continue
		}
		w.recordSuccess(sent)
		w.sleepUntilDue(ctx)
	}
	return nil
}

// sleepUntilDue waits for the pause, until the next call is overdue, or until the context
// ends. The pause may change meanwhile.
func (w *watcher) sleepUntilDue(ctx context.Context) {
	for began := bootclock.Now(); ctx.Err() == nil; {
		left := w.pause() - bootclock.Now().Sub(began)
		sleep(ctx, min(left, storePollInterval))
		if left <= storePollInterval || w.overdue() {
			return
		}
	}
}

// step makes one call: a list if there is no revision to watch from, else a
// watch.
func (w *watcher) step(ctx context.Context) error {
	if w.revision == 0 || w.lists() {
		sent := bootclock.Now()
		objects, revision, err := w.node.freshStore.List(ctx, w.kind, "")
		if err != nil {
			return err
		}
		w.onList(objects, revision)
		w.onConfirmed(sent)
		w.revision = revision
		return nil
	}
	sent := bootclock.Now()
	wait, margin := w.timeouts()
	ctx, cancel := context.WithTimeout(ctx, wait+margin)
	defer cancel()
	events, revision, err := w.node.store.Watch(ctx, w.kind, w.revision, wait)
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
	asOf := sent
	if end := sent.Add(wait); len(events) == 0 {
		if asOf = bootclock.Now(); asOf.After(end) {
			asOf = end
		}
	}
	w.onConfirmed(asOf)
	return nil
}

// recordFailure records a failed call, sent at the given time, and returns the delay before the
// next.
func (w *watcher) recordFailure(sent time.Time, err error) time.Duration {
	pause := storeRetryDelay
	if w.outage.failed(bootclock.Now(), sent) {
		level.Warn(w.node.log).Log("event", "store_lost", "kind", w.kind, "err", err)
	} else if !w.node.watchesFrequently() {
		pause = relaxedStoreRetryDelay
	}
	// Continue with a list, which responds or fails soon. A watch sent just
	// before the store recovers may block until its timeout.
	w.revision = 0
	return pause
}

// recordSuccess records a successful call that was sent at the given time.
func (w *watcher) recordSuccess(sent time.Time) {
	wait, _ := w.timeouts()
	w.node.recordStoreContact(sent, wait)
	if away := w.outage.succeeded(bootclock.Now()); away > 0 {
		level.Info(w.node.log).Log("event", "store_back", "kind", w.kind, "away_ms", away.Milliseconds())
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

// watchServers follows the backend servers' entries.
func (n *Node) watchServers(ctx context.Context) error {
	w := &watcher{node: n, kind: platform.KindServers, timeouts: n.serversWatchTimeouts, pause: n.serversPause,
		lists: func() bool { return !n.watchesFrequently() }, onConfirmed: n.serversConfirmed, overdue: n.serversOverdue, outage: newStoreOutage(n.settings.Bounds)}
	afterOutage := func() bool {
		now := bootclock.Now()
		return w.outage.mayHaveExpired(now) || n.eras.entriesMayReturn(now, n.settings.Bounds)
	}
	w.onList = func(objects []platform.Object, revision uint64) { n.setServers(objects, revision, afterOutage()) }
	w.onEvent = func(e platform.Event) { n.changeServer(e, afterOutage()) }
	return w.run(ctx)
}

// serversWatchTimeouts returns the wait of a watch for servers and the time after it by
// which the response must have arrived.
func (n *Node) serversWatchTimeouts() (wait, margin time.Duration) {
	drain := float64(n.settings.Bounds.DrainTimeout)
	return time.Duration(serversWaitShare * drain), time.Duration(serversMarginShare * drain)
}

// serversConfirmed records that this node knows all changes of servers up to the time, and
// tells the others before they read the list by themselves.
func (n *Node) serversConfirmed(asOf time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if asOf.After(n.serversAsOf) {
		n.serversAsOf = asOf
		n.serversDifferSince = time.Time{}
	}
	n.serversFollowed.Confirm(asOf)
	if n.peers.slowdown() > 1 {
		n.publish(bootclock.Now(), sendAllNow)
	}
}

// serversOverdue reports whether neither this node nor another whose changes it receives
// has confirmed the list of servers for so long that this one reads it by itself.
func (n *Node) serversOverdue() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := bootclock.Now()
	age := now.Sub(n.serversAsOf)
	for _, p := range n.peers.byIP {
		if p.alive(now) && p.ServersAgeMS != nil {
			age = min(age, now.Sub(p.received)+time.Duration(*p.ServersAgeMS)*time.Millisecond)
		}
	}
	return age >= n.serversMaxAge() || n.serversDiffer(now)
}

// serversMaxAge returns the age of the newest confirmed list of servers at which this node
// reads it by itself. It differs from node to node, so that the first can tell the others.
func (n *Node) serversMaxAge() time.Duration {
	share := serversMinAgeShare + (serversMaxAgeShare-serversMinAgeShare)*spreadOf(n.settings)
	return time.Duration(share * float64(n.settings.Bounds.DrainTimeout))
}

// spreadOf returns a number from 0 to 1 that differs from node to node, so that not all do the
// same at one moment.
func spreadOf(s platform.Settings) float64 { return float64(xxhash.Sum64String(s.IP)>>11) / (1 << 53) }

// newestServersDigest returns the digest of the live node that has confirmed the list of
// servers last, and false if none tells it. The caller holds n.mu.
func (n *Node) newestServersDigest(now time.Time) (uint64, bool) {
	var digest *uint64
	var newest time.Time
	for _, p := range n.peers.byIP {
		if p.ServersDigest == nil || p.ServersAgeMS == nil || !p.alive(now) {
			continue
		}
		if asOf := p.received.Add(-time.Duration(*p.ServersAgeMS) * time.Millisecond); asOf.After(newest) {
			newest, digest = asOf, p.ServersDigest
		}
	}
	if digest == nil {
		return 0, false
	}
	return *digest, true
}

// serversDiffer reports whether this node's servers differ from those of the node that knows
// them best, for so long that a change must have been missed. The caller holds n.mu.
func (n *Node) serversDiffer(now time.Time) bool {
	digest, known := n.newestServersDigest(now)
	switch {
	case !known || digest == n.table.Digest():
		n.serversDifferSince = time.Time{}
		return false
	case n.serversDifferSince.IsZero():
		n.serversDifferSince = now
	}
	differ, pause := digestDiffersFor, digestListPause
	if n.table.AnyExpired() {
		differ, pause = returnDiffersFor, returnListPause
	}
	return now.Sub(n.serversDifferSince) >= differ && now.Sub(n.serversAsOf) >= pause
}

// serversPause returns the pause between two calls for servers. Only frequentWatchers nodes
// watch; they publish new and departing servers to the others, and a digest of all, by which
// these see that they have missed one. A node that knows no live peers is one of them.
func (n *Node) serversPause() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := bootclock.Now()
	if n.peers.successorPosition(now, "") < frequentWatchers {
		return time.Duration(serversPauseShare * float64(n.settings.Bounds.DrainTimeout))
	}
	if _, told := n.newestServersDigest(now); told {
		return math.MaxInt64
	}
	return relaxedServersWatchPause
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
	entry.Revision, entry.Era = e.Object.Version, platform.EraOf(e.Object.Version)
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
		n.table.MarkExpired(id, bootclock.Now().Add(min(expiredGrace, n.settings.Bounds.DrainTimeout)))
		return
	}
	now := bootclock.Now()
	n.table.Remove(now, id, revision)
	entry.Revision = max(entry.Revision, revision)
	n.announceDeparture(entry, true)
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
	entry, _ = n.table.Entry(entry.ID) // draining if the server has said so
	n.entryChanged(entry)
	if known && before.Draining == entry.Draining && before.Start == entry.Start {
		return
	}
	level.Info(n.log).Log("event", "server", "server", entry.ID, "service", entry.Service, "draining", entry.Draining, "software", entry.Software, "start", entry.Start, "revision", entry.Revision, "source", source)
	if entry.Draining {
		n.announceDeparture(entry, false)
		return
	}
	if source != entrySourceStore {
		return // the node that read it from the store sends it to all others
	}
	n.newServers = append(n.newServers, newServer{entry: entry, at: bootclock.Now()})
	n.publish(bootclock.Now(), sendAllNow)
}

// announceDeparture publishes that a server is draining or its entry removed. The caller
// holds n.mu.
func (n *Node) announceDeparture(e replicas.Entry, removed bool) {
	now := bootclock.Now()
	n.departing = append(n.departing, departing{ID: e.ID, Revision: e.Revision, Removed: removed, at: now})
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
