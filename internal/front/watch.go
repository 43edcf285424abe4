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

// Terms of the store's use.
const (
	storeTimeout    = 700 * time.Millisecond  // for an answer; the store usually takes milliseconds
	storePause      = 400 * time.Millisecond  // after a failed call
	storePauseFar   = 1500 * time.Millisecond // the same at nodes that others tell of changes, after the second failure
	desiredWait     = 15 * time.Second        // of one watch for the desired state; peers tell of newer versions too
	serversWait     = 4 * time.Second         // of one watch for servers
	serversSpacing  = 500 * time.Millisecond  // between two watches for servers; changes gather meanwhile
	serversRelaxed  = 4 * time.Second         // the same at nodes that others tell of changes, in small fleets
	serversPerNode  = 200 * time.Millisecond  // the same for each node of larger ones, so that all nodes together keep to one rate
	serversWatchers = 2                       // nodes that watch closely
	storeAwayFrom   = 1 * time.Second         // without an answer, after which entries that vanish may come back
	storeReturnedIn = 3 * time.Second         // after the store's return entries may still vanish and come back
)

// watcher follows one kind of objects.
type watcher struct {
	node     *Node
	kind     platform.Kind
	wait     time.Duration
	spacing  func() time.Duration
	list     func(objects []platform.Object, revision uint64)
	event    func(e platform.Event)
	revision uint64
	failedAt time.Time // of the first failure in a row
}

func (w *watcher) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := w.step(ctx); err != nil && ctx.Err() == nil {
			sleep(ctx, w.failed(err))
			continue
		}
		w.worked()
		sleep(ctx, w.spacing())
	}
	return nil
}

// step lists once, and then watches.
func (w *watcher) step(ctx context.Context) error {
	if w.revision == 0 {
		objects, revision, err := w.node.store.List(ctx, w.kind, "")
		if err != nil {
			return err
		}
		w.list(objects, revision)
		w.revision = revision
		return nil
	}
	events, revision, err := w.node.store.Watch(ctx, w.kind, w.revision, w.wait)
	if errors.Is(err, platform.ErrCompacted) {
		w.revision = 0
		return nil
	}
	if err != nil {
		return err
	}
	for _, e := range events {
		w.event(e)
	}
	w.revision = max(w.revision, revision)
	return nil
}

// failed notes a failed call and returns the pause before the next.
func (w *watcher) failed(err error) time.Duration {
	pause := storePause
	if !w.failedAt.IsZero() && !w.node.watchesClosely() {
		pause = storePauseFar
	}
	if w.failedAt.IsZero() {
		w.failedAt = bootclock.Now()
		level.Warn(w.node.log).Log("event", "store_lost", "kind", w.kind, "err", err)
	}
	// A list is answered at once or fails soon, while a watch that is sent just
	// before the store is back may wait in vain.
	w.revision = 0
	return pause
}

func (w *watcher) worked() {
	w.node.sawStore()
	if !w.failedAt.IsZero() {
		level.Info(w.node.log).Log("event", "store_back", "kind", w.kind, "away_ms", bootclock.Now().Sub(w.failedAt).Milliseconds())
		w.failedAt = time.Time{}
	}
}

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
	w := &watcher{node: n, kind: platform.KindConfig, wait: desiredWait, spacing: func() time.Duration { return 0 }}
	w.list = func(objects []platform.Object, _ uint64) {
		for _, o := range objects {
			n.setDesired(o)
		}
	}
	w.event = func(e platform.Event) {
		if !e.Deleted {
			n.setDesired(e.Object)
		}
	}
	return w.run(ctx)
}

// setDesired puts a desired state in force if it is newer.
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

func (n *Node) putInForce(t *routes.Table) {
	for {
		old := n.desired.Load()
		if old != nil && old.Version >= t.Version {
			return
		}
		if n.desired.CompareAndSwap(old, t) {
			level.Info(n.log).Log("event", "desired_state", "version", t.Version, "routes", len(t.Routes), "services", len(t.Services))
			return
		}
	}
}

// watchServers follows the backend servers' entries.
func (n *Node) watchServers(ctx context.Context) error {
	w := &watcher{node: n, kind: platform.KindServers, wait: serversWait, spacing: n.serversSpacing}
	var away bool // entries may have lapsed because the store was away
	var awayUntil time.Time
	lapses := func() bool {
		now := bootclock.Now()
		if !w.failedAt.IsZero() && now.Sub(w.failedAt) > storeAwayFrom {
			away, awayUntil = true, now.Add(storeReturnedIn)
		}
		away = away && now.Before(awayUntil)
		return away
	}
	w.list = func(objects []platform.Object, revision uint64) { n.setServers(objects, revision, lapses()) }
	w.event = func(e platform.Event) { n.changeServer(e, lapses()) }
	return w.run(ctx)
}

// serversSpacing returns the pause between two watches for servers. A few nodes
// watch closely and tell the others which servers come and leave; a node that
// hears of no other is one of them.
func (n *Node) serversSpacing() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := bootclock.Now()
	if n.peers.rank(now, "") < serversWatchers {
		return serversSpacing
	}
	return max(serversRelaxed, time.Duration(n.peers.alive(now))*serversPerNode)
}

func (n *Node) watchesClosely() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peers.rank(bootclock.Now(), "") < serversWatchers
}

// setServers takes over the whole list as of a revision of the store.
func (n *Node) setServers(objects []platform.Object, revision uint64, lapses bool) {
	listed := map[string]bool{}
	for _, o := range objects {
		listed[o.Name] = true
		n.changeServer(platform.Event{Object: o}, lapses)
	}
	n.mu.Lock()
	entries := n.table.Entries()
	n.mu.Unlock()
	for _, e := range entries {
		if !listed[e.ID] && e.Revision <= revision {
			n.removeServer(e.ID, e.Revision, lapses)
		}
	}
	n.afterServers()
}

func (n *Node) changeServer(e platform.Event, lapses bool) {
	if e.Deleted {
		n.removeServer(e.Object.Name, e.Object.Version, lapses)
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
	n.takeEntry(entry, entryFromStore)
	n.pump(bootclock.Now())
}

func (n *Node) removeServer(id string, revision uint64, lapses bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	entry, known := n.table.Entry(id)
	if !known || revision < entry.Revision {
		return // not known, or written anew since
	}
	if lapses && !entry.Draining {
		n.table.Lapse(bootclock.Now(), id)
		return
	}
	now := bootclock.Now()
	n.table.Remove(now, id, revision)
	entry.Revision = max(entry.Revision, revision)
	n.part(entry)
	level.Info(n.log).Log("event", "server_gone", "server", id, "reason", "entry removed")
}

// entryFromStore is the source of entries that this node read itself.
const entryFromStore = "store"

// takeEntry takes over an entry from the store, or as another node had it. n.mu is held.
func (n *Node) takeEntry(entry replicas.Entry, source string) {
	before, known := n.table.Entry(entry.ID)
	if !n.table.SetEntry(bootclock.Now(), entry) {
		return
	}
	if known && before.Draining == entry.Draining && before.Start == entry.Start {
		return
	}
	level.Info(n.log).Log("event", "server", "server", entry.ID, "service", entry.Service, "draining", entry.Draining, "start", entry.Start, "revision", entry.Revision, "source", source)
	if entry.Draining {
		n.part(entry)
		return
	}
	if source != entryFromStore {
		return // the nodes that watch closely tell all others
	}
	n.started = append(n.started, startedServer{entry: entry, at: bootclock.Now()})
	n.tell(bootclock.Now(), allAtOnce)
}

// part notes that a server leaves or is gone, and tells the other nodes. n.mu is held.
func (n *Node) part(e replicas.Entry) {
	now := bootclock.Now()
	n.parting = append(n.parting, parting{ID: e.ID, Revision: e.Revision, at: now})
	n.tell(now, allAtOnce)
}

// afterServers drops connections to servers that are gone.
func (n *Node) afterServers() {
	n.mu.Lock()
	entries := n.table.Entries()
	n.mu.Unlock()
	n.links.retain(entries)
}

// entriesOf returns the entries of a service. n.mu is held.
func (n *Node) entriesOf(service string) []replicas.Entry {
	var entries []replicas.Entry
	for _, e := range n.table.Entries() {
		if e.Service == service {
			entries = append(entries, e)
		}
	}
	return entries
}
