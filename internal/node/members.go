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

// members carries out the membership core.
type members struct {
	node *Node
	mu   sync.Mutex
	core *membership.Core

	changes atomic.Uint64 // of the member table, as told by events
}

func newMembers(n *Node, now time.Time) (*members, error) {
	source, err := newSource()
	if err != nil {
		return nil, err
	}
	self := membership.Member{
		ID:          n.cfg.ID,
		Incarnation: n.run,
		Region:      n.cfg.Region,
		Zone:        n.cfg.Zone,
		GossipAddr:  n.cfg.GossipAddress,
		PeerAddr:    n.cfg.PeerAddress,
		EntryAddr:   n.cfg.CallerAddress,
	}
	core, err := membership.New(now, self, n.cfg.Membership, n.cfg.Secret, source)
	if err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	core.SetSeeds(n.cfg.Seeds)
	return &members{node: n, core: core}, nil
}

// do calls the core and carries out its effects.
func (m *members) do(f func(core *membership.Core, now time.Time) membership.Effects) {
	m.mu.Lock()
	effects := f(m.core, time.Now())
	m.mu.Unlock()
	if err := m.node.cfg.Gossip.Send(effects.Packets); err != nil {
		level.Debug(m.node.cfg.Log).Log("event", "gossip_send_failed", "err", err)
	}
	for _, event := range effects.Events {
		m.handle(event)
	}
}

func (m *members) tick(context.Context, time.Time) error {
	m.do((*membership.Core).Tick)
	return nil
}

func (m *members) receive(ctx context.Context) error {
	return m.node.cfg.Gossip.Run(ctx, func(data []byte) {
		m.do(func(core *membership.Core, now time.Time) membership.Effects { return core.Receive(now, data) })
	})
}

func (m *members) handle(event membership.Event) {
	n := m.node
	if event.Kind != membership.EventItem {
		m.changes.Add(1)
	}
	level.Debug(n.cfg.Log).Log("event", "membership", "kind", event.Kind, "member", event.Member.ID,
		"incarnation", event.Member.Incarnation, "was", event.Was, "item", event.Item.Key)
	switch event.Kind {
	case membership.EventNameTaken:
		n.giveUpName()
	case membership.EventDead, membership.EventLeft:
		n.cell.entryLost(event.Member.ID, membership.RunOf(event.Member.Incarnation))
	case membership.EventIncarnation:
		if !membership.SameRun(event.Was, event.Member.Incarnation) {
			n.cell.entryLost(event.Member.ID, membership.RunOf(event.Was))
		}
	case membership.EventPaused:
		n.releases.reconfirm(time.Now())
	case membership.EventItem:
		m.handleItem(event.Item)
	}
}

func (m *members) handleItem(item membership.Item) {
	switch item.Kind {
	case membership.ItemRelease:
		m.node.releases.announced(item.Version)
	case membership.ItemQuarantine:
		m.node.cell.importQuarantine(item)
	case membership.ItemLease:
		m.handleLeaseItem(item)
	case membership.ItemController:
		holder, ok := parseHolder(string(item.Value))
		if ok && item.Key == string(m.node.cfg.Cell) {
			m.node.office.hint(holder, fleet.Epoch(item.Version))
		}
	}
}

// holderSeparator stands between node and incarnation in an item's value.
const holderSeparator = "/"

func formatHolder(h lease.Holder) string {
	return string(h.Node) + holderSeparator + strconv.FormatUint(uint64(h.Incarnation), 10)
}

func parseHolder(text string) (lease.Holder, bool) {
	node, incarnation, found := strings.Cut(text, holderSeparator)
	number, err := strconv.ParseUint(incarnation, 10, 64)
	return lease.Holder{Node: fleet.NodeID(node), Incarnation: fleet.Incarnation(number)}, found && err == nil
}

// successorSeparator stands between the nodes in the value of a lease's item.
const successorSeparator = ","

// announceLease tells the successors of the cell that there is a newer version
// of the lease for them to read.
func (m *members) announceLease(now time.Time, n lease.Notice) {
	names := make([]string, len(n.Successors))
	for i, id := range n.Successors {
		names[i] = string(id)
	}
	// A stale item means that a newer version was told.
	_ = m.broadcast(now, membership.Item{
		Kind:    membership.ItemLease,
		Key:     string(m.node.cfg.Cell),
		Version: n.Version,
		Value:   []byte(strings.Join(names, successorSeparator)),
	})
}

func (m *members) handleLeaseItem(item membership.Item) {
	if item.Key != string(m.node.cfg.Cell) {
		return
	}
	notice := lease.Notice{Version: item.Version}
	for _, name := range strings.Split(string(item.Value), successorSeparator) {
		notice.Successors = append(notice.Successors, fleet.NodeID(name))
	}
	m.node.office.notice(notice)
}

// announce tells all members that this node controls the cell.
func (m *members) announce(now time.Time, epoch fleet.Epoch, holder lease.Holder) {
	// A stale item means that a higher epoch is known, which the lease learns.
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

func (m *members) all() []membership.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.Members()
}

// count returns the number of members, gone ones included.
func (m *members) count() int { return len(m.all()) }

// leave announces a planned stop, and left its end.
func (m *members) leave() { m.do((*membership.Core).Leave) }
func (m *members) left()  { m.do((*membership.Core).Left) }

// entryAddresses lists the entry nodes of this region that do not leave.
func (m *members) entryAddresses() []entry.Address {
	var addresses []entry.Address
	for _, row := range m.all() {
		if row.State != membership.StateAlive || row.Region != m.node.cfg.Region {
			continue
		}
		addresses = append(addresses, entry.Address{Node: row.ID, Address: row.EntryAddr, Zone: row.Zone})
	}
	return addresses
}

// watcher tells when a copy of the member table is due: at each change, and
// else at an interval, as versions and times change without an event. It is
// used by one goroutine.
type watcher struct {
	changes uint64
	at      time.Time
}

// tableInterval is the longest age of a copy of the member table.
const tableInterval = time.Second

func (w *watcher) due(m *members, now time.Time) bool {
	changes := m.changes.Load()
	if changes == w.changes && now.Sub(w.at) < tableInterval {
		return false
	}
	w.changes, w.at = changes, now
	return true
}

// releasePeers is the member table as the release needs it.
func (m *members) releasePeers() []release.Peer {
	var peers []release.Peer
	for _, row := range m.all() {
		if row.ID == m.node.cfg.ID || row.State.Gone() {
			continue
		}
		peers = append(peers, release.Peer{ID: row.ID, Zone: row.Zone, Version: row.ReleaseVersion, HeardAt: row.HeardAt})
	}
	return peers
}

// leaseMembers is the member table as the lease needs it.
func (m *members) leaseMembers() []lease.Member {
	rows := m.all()
	out := make([]lease.Member, 0, len(rows))
	for _, row := range rows {
		state := leaseState(row.State)
		if m.node.backends.vmGone(row.ID) && row.State.Gone() {
			state = lease.MemberGone
		}
		out = append(out, lease.Member{Node: row.ID, Incarnation: membership.RunOf(row.Incarnation), Zone: row.Zone, State: state})
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
