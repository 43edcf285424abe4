package node

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/internal/entry"
	"github.com/redwingnotch/redwingnotch/lease"
	"github.com/redwingnotch/redwingnotch/membership"
	"github.com/redwingnotch/redwingnotch/release"
)

// members runs the membership core.
type members struct {
	node *Node
	mu   sync.Mutex
	core *membership.Core

	changeCount atomic.Uint64 // number of changes to the member table so far
}

func newMembers(n *Node, now time.Time) (*members, error) {
	source, err := newRand()
	if err != nil {
		return nil, err
	}
	self := membership.Member{
		ID:          n.cfg.ID,
		Incarnation: n.incarnation,
		Region:      n.cfg.Region,
		Zone:        n.cfg.Zone,
		GossipAddr:  n.cfg.GossipAddress,
		PeerAddr:    n.cfg.PeerAddress,
		EntryAddr:   n.cfg.CallerAddress,
	}
	core, err := membership.New(now, self, n.cfg.Membership, n.cfg.Secret, source)
	if err != nil {
		return nil, fmt.Errorf("create membership core: %w", err)
	}
	core.SetSeeds(n.cfg.Seeds)
	return &members{node: n, core: core}, nil
}

// runCore calls f on the core and applies the effects.
func (m *members) runCore(f func(core *membership.Core, now time.Time) membership.Effects) {
	m.mu.Lock()
	effects := f(m.core, time.Now())
	m.mu.Unlock()
	if err := m.node.cfg.Gossip.Send(effects.Packets); err != nil {
		level.Debug(m.node.cfg.Log).Log("event", "gossip_send_failed", "err", err)
	}
	for _, event := range effects.Events {
		m.handleEvent(event)
	}
}

func (m *members) tick(context.Context, time.Time) error {
	m.runCore((*membership.Core).Tick)
	return nil
}

func (m *members) receiveLoop(ctx context.Context) error {
	return m.node.cfg.Gossip.Run(ctx, func(data []byte) {
		m.runCore(func(core *membership.Core, now time.Time) membership.Effects { return core.Receive(now, data) })
	})
}

// handleEvent passes a membership event on to the parts of the node that depend on
// it.
func (m *members) handleEvent(event membership.Event) {
	n := m.node
	if event.Kind != membership.EventItem {
		m.changeCount.Add(1)
	}
	level.Debug(n.cfg.Log).Log("event", "membership", "kind", event.Kind, "member", event.Member.ID,
		"incarnation", event.Member.Incarnation, "was", event.PreviousIncarnation, "item", event.Item.Key)
	switch event.Kind {
	case membership.EventIDInUse:
		n.stopForNameConflict()
	case membership.EventDead, membership.EventLeft:
		n.cell.dropEntryNode(event.Member.ID, membership.FirstIncarnation(event.Member.Incarnation))
	case membership.EventIncarnation:
		if !membership.SameRun(event.PreviousIncarnation, event.Member.Incarnation) {
			n.cell.dropEntryNode(event.Member.ID, membership.FirstIncarnation(event.PreviousIncarnation))
		}
	case membership.EventPaused:
		n.releaseLoop.reconfirm(time.Now())
	case membership.EventItem:
		m.handleItem(event.Item)
	}
}

func (m *members) handleItem(item membership.Item) {
	switch item.Kind {
	case membership.ItemRelease:
		m.node.releaseLoop.handleAnnouncement(item.Version)
	case membership.ItemQuarantine:
		m.node.cell.handleQuarantineItem(item)
	case membership.ItemLease:
		m.handleLeaseItem(item)
	case membership.ItemController:
		holder, ok := parseHolder(string(item.Value))
		if ok && item.Key == string(m.node.cfg.Cell) {
			m.node.leaseLoop.handleHolderHint(holder, fleet.Epoch(item.Version))
		}
	}
}

// holderSeparator separates node and incarnation in the value of a controller item.
const holderSeparator = "/"

func formatHolder(h lease.Holder) string {
	return string(h.Node) + holderSeparator + strconv.FormatUint(uint64(h.Incarnation), 10)
}

func parseHolder(text string) (lease.Holder, bool) {
	node, incarnation, found := strings.Cut(text, holderSeparator)
	number, err := strconv.ParseUint(incarnation, 10, 64)
	return lease.Holder{Node: fleet.NodeID(node), Incarnation: fleet.Incarnation(number)}, found && err == nil
}

// successorSeparator separates the nodes in the value of a lease item.
const successorSeparator = ","

// announceLease informs the successors of the cell that a newer version of the lease
// can be read.
func (m *members) announceLease(now time.Time, u lease.VersionUpdate) {
	names := make([]string, len(u.Successors))
	for i, id := range u.Successors {
		names[i] = string(id)
	}
	// ErrItemStale is ignored: a newer version has been announced already.
	_ = m.broadcast(now, membership.Item{
		Kind:    membership.ItemLease,
		Key:     string(m.node.cfg.Cell),
		Version: u.Version,
		Value:   []byte(strings.Join(names, successorSeparator)),
	})
}

func (m *members) handleLeaseItem(item membership.Item) {
	if item.Key != string(m.node.cfg.Cell) {
		return
	}
	update := lease.VersionUpdate{Version: item.Version}
	for _, name := range strings.Split(string(item.Value), successorSeparator) {
		update.Successors = append(update.Successors, fleet.NodeID(name))
	}
	m.node.leaseLoop.update(update)
}

// announceController announces to all members which run controls the cell.
func (m *members) announceController(now time.Time, epoch fleet.Epoch, holder lease.Holder) {
	// ErrItemStale is ignored: a higher epoch is known already and has been passed to
	// the lease core.
	_ = m.broadcast(now, membership.Item{
		Kind:    membership.ItemController,
		Key:     string(m.node.cfg.Cell),
		Version: uint64(epoch),
		Value:   []byte(formatHolder(holder)),
	})
}

func (m *members) broadcast(now time.Time, item membership.Item) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.Broadcast(now, item)
}

func (m *members) awake(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.Awake(now)
}

func (m *members) member(id fleet.NodeID) (membership.Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.Member(id)
}

func (m *members) list() []membership.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.Members()
}

// count returns the number of members, including those that left or failed.
func (m *members) count() int { return len(m.list()) }

// startLeaving announces the start of a planned stop, announceLeft its end.
func (m *members) startLeaving() { m.runCore((*membership.Core).Leave) }
func (m *members) announceLeft() { m.runCore((*membership.Core).CompleteLeave) }

// firstReleaseWait is the time after its start for which a node that knows of no release takes
// that for its own delay. Later, no release may be in force at all.
const firstReleaseWait = 5 * time.Second

// entryAddresses returns the entry nodes of this region that are alive, not leaving and
// know the release in force. If none of them does, it returns all once firstReleaseWait has passed, for
// calls to plain services, and none before.
func (m *members) entryAddresses() []entry.Address {
	var ready, others []entry.Address
	for _, row := range m.list() {
		if row.State != membership.StateAlive || row.Region != m.node.cfg.Region {
			continue
		}
		address := entry.Address{Node: row.ID, Address: row.EntryAddr, Zone: row.Zone}
		serves := row.ReleaseVersion > 0
		if row.ID == m.node.cfg.ID {
			serves = m.node.catalog.Version() > 0
		}
		if serves {
			ready = append(ready, address)
		} else {
			others = append(others, address)
		}
	}
	if len(ready) > 0 || time.Since(m.node.startedAt) < firstReleaseWait {
		return ready
	}
	return others
}

// refreshTracker decides when a copy of the member table must be renewed: after each
// change, and otherwise every maxTableAge, since release versions and contact times
// change without an event. It is used by one goroutine.
type refreshTracker struct {
	changeCount uint64
	lastCopied  time.Time
}

// maxTableAge is the maximum age of a copy of the member table.
const maxTableAge = time.Second

// due reports whether the copy must be renewed now. If so, it records the copy as
// renewed, which the caller must then do.
func (w *refreshTracker) due(m *members, now time.Time) bool {
	changeCount := m.changeCount.Load()
	if changeCount == w.changeCount && now.Sub(w.lastCopied) < maxTableAge {
		return false
	}
	w.changeCount, w.lastCopied = changeCount, now
	return true
}

// releasePeers returns the other members in the form that package release uses.
func (m *members) releasePeers() []release.Peer {
	var peers []release.Peer
	for _, row := range m.list() {
		if row.ID == m.node.cfg.ID || row.State.Stopped() {
			continue
		}
		peers = append(peers, release.Peer{ID: row.ID, Zone: row.Zone, Version: row.ReleaseVersion, LastContact: row.LastContact})
	}
	return peers
}

// leaseMembers returns the member table in the form that package lease uses.
func (m *members) leaseMembers() []lease.Member {
	rows := m.list()
	out := make([]lease.Member, 0, len(rows))
	for _, row := range rows {
		state := leaseState(row.State)
		if m.node.backends.vmRemoved(row.ID) && row.State.Stopped() {
			state = lease.MemberVMRemoved
		}
		out = append(out, lease.Member{Node: row.ID, Incarnation: membership.FirstIncarnation(row.Incarnation), Zone: row.Zone, State: state})
	}
	return out
}

func leaseState(s membership.State) lease.MemberState {
	switch s {
	case membership.StateLeaving:
		return lease.MemberLeaving
	case membership.StateLeft:
		return lease.MemberLeft
	case membership.StateDead:
		return lease.MemberDead
	}
	return lease.MemberAlive
}

func (m *members) setSeeds(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.core.SetSeeds(addresses)
}

func (m *members) setReleaseVersion(version uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.core.SetReleaseVersion(version)
}
