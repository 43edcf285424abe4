package membership

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// replayWindow remembers which packets of one run of a sender have come in.
// Packets older than the window's width count as replayed.
type replayWindow struct {
	run     fleet.Incarnation
	highest uint64
	seen    uint64 // bit i stands for highest-i
}

const replayWindowWidth = 64

// accept reports whether the packet is new and remembers it. An older run is
// never accepted after a newer one.
func (w *replayWindow) accept(inc fleet.Incarnation, sequence uint64) bool {
	run := inc >> refutationBits
	if run < w.run {
		return false
	}
	if run > w.run {
		*w = replayWindow{run: run}
	}
	if sequence > w.highest {
		shift := sequence - w.highest
		w.highest = sequence
		w.seen = w.seen<<min(shift, replayWindowWidth) | 1
		return true
	}
	age := w.highest - sequence
	if age >= replayWindowWidth || w.seen&(1<<age) != 0 {
		return false
	}
	w.seen |= 1 << age
	return true
}

// acceptSender checks that the packet is neither a replay nor of an earlier run
// nor of a second node of a running one's name, and takes over what it says of
// its sender. It tells such a sender what is known of its name.
func (c *Core) acceptSender(now time.Time, p *Packet, out *Effects) bool {
	sender := memberOf(p.Sender)
	e, known := c.members[sender.ID]
	if known && (olderRun(sender.Incarnation, e.Incarnation) || contested(e.Member, sender, p.Awake)) {
		if p.Type == PacketType_PACKET_TYPE_PING {
			c.send(now, sender.GossipAddr, &Packet{Type: PacketType_PACKET_TYPE_GOSSIP}, c.viewOf(p.Sender), out)
		}
		return false
	}
	if known && !e.window.accept(sender.Incarnation, p.Sequence) {
		return false
	}
	c.merge(now, sender, true, out)
	if !known {
		e = c.members[sender.ID]
		if e == nil {
			return false // gone before this node knew it, or the table is full
		}
		e.window.accept(sender.Incarnation, p.Sequence)
	}
	e.HeardAt = now
	e.silentSince = time.Time{}
	e.ReleaseVersion = max(e.ReleaseVersion, sender.ReleaseVersion)
	return true
}

// olderRun reports whether a belongs to an earlier run than b.
func olderRun(a, b fleet.Incarnation) bool { return a>>refutationBits < b>>refutationBits }

// contested reports whether the sender is a node that comes up under the name
// of a member at another address that is not known to be gone.
func contested(m, sender Member, awake bool) bool {
	return !awake && !m.State.Gone() && olderRun(m.Incarnation, sender.Incarnation) && m.GossipAddr != sender.GossipAddr
}

// merge takes over what a packet says of a member if it is newer than what is
// known: a higher incarnation, or a later state at the same one. It sends a
// member that was unknown on to others if spread is set; what a comparison
// brought is known to others already.
func (c *Core) merge(now time.Time, m Member, spread bool, out *Effects) {
	if m.ID == c.self.ID {
		c.mergeSelf(now, m, out)
		return
	}
	e, ok := c.members[m.ID]
	if !ok {
		c.mergeUnknown(now, m, spread, out)
		return
	}
	newer := m.Incarnation > e.Incarnation
	if !newer && (m.Incarnation < e.Incarnation || m.State <= e.State) {
		return
	}
	was := e.Member
	m.HeardAt = was.HeardAt
	if !SameRun(m.Incarnation, was.Incarnation) {
		m.HeardAt = time.Time{}
	} else {
		m.ReleaseVersion = max(m.ReleaseVersion, was.ReleaseVersion)
	}
	e.Member = m
	c.stateChanged(now, e)
	c.changes++
	c.queue.addMember(m.ID)
	out.Events = append(out.Events, changeEvents(was, m)...)
}

// mergeUnknown adds a member that is not known. Gone ones are not added, so
// that a forgotten member does not come back.
func (c *Core) mergeUnknown(now time.Time, m Member, spread bool, out *Effects) {
	if m.State.Gone() || len(c.members) >= MaxMembers {
		return
	}
	e := &entry{Member: m}
	c.members[m.ID] = e
	c.stateChanged(now, e)
	at, _ := c.position(m.ID)
	c.order = slices.Insert(c.order, at, e)
	c.changes++
	if spread {
		c.queue.addMember(m.ID)
	}
	out.Events = append(out.Events, Event{Kind: EventJoined, Member: m})
	if m.State != StateAlive {
		out.Events = append(out.Events, Event{Kind: stateEvent(m.State), Member: m, Was: m.Incarnation})
	}
}

// position returns where the member stands in the order.
func (c *Core) position(id fleet.NodeID) (int, bool) {
	return slices.BinarySearchFunc(c.order, id, func(e *entry, id fleet.NodeID) int {
		return strings.Compare(string(e.ID), string(id))
	})
}

// changeEvents returns the events of a member's change.
func changeEvents(was, m Member) []Event {
	var events []Event
	if m.Incarnation != was.Incarnation && !SameRun(m.Incarnation, was.Incarnation) {
		events = append(events, Event{Kind: EventIncarnation, Member: m, Was: was.Incarnation})
	}
	if m.State == StateAlive && was.State.Gone() {
		return append(events, Event{Kind: EventJoined, Member: m, Was: was.Incarnation})
	}
	if m.State != was.State {
		events = append(events, Event{Kind: stateEvent(m.State), Member: m, Was: was.Incarnation})
	}
	return events
}

// stateEvent returns the event of a member that comes into the state.
func stateEvent(s State) EventKind {
	switch s {
	case StateSuspect:
		return EventSuspect
	case StateLeaving:
		return EventLeaving
	case StateDead:
		return EventDead
	case StateLeft:
		return EventLeft
	default:
		return EventRefuted
	}
}

// mergeSelf answers what others say of this node: it refutes a suspicion or
// death with a higher incarnation, and gives way to another node of its name
// that others hold to be the newer one.
func (c *Core) mergeSelf(now time.Time, m Member, out *Effects) {
	if c.self.State == StateLeft {
		return
	}
	elsewhere := m.GossipAddr != c.self.GossipAddr
	switch {
	case elsewhere && olderRun(c.self.Incarnation, m.Incarnation):
		c.giveWay(m, out)
	case elsewhere && olderRun(m.Incarnation, c.self.Incarnation):
		c.checkName(now, m, out)
	case !SameRun(m.Incarnation, c.self.Incarnation):
		c.outnumber(m)
	default:
		c.refute(m, out)
	}
}

// checkName pings the member that was known under this node's name before it
// came up. An answer means that the name is taken.
func (c *Core) checkName(now time.Time, m Member, out *Effects) {
	if c.wake.awake || m.State.Gone() {
		return
	}
	nonce := c.nextNonce()
	c.probes[nonce] = &probe{sentAt: now}
	c.send(now, m.GossipAddr, &Packet{Type: PacketType_PACKET_TYPE_PING, Nonce: nonce}, nil, out)
}

// outnumber takes a higher incarnation than an earlier run of this node at the
// same address, if the clock was set back between them.
func (c *Core) outnumber(m Member) {
	if olderRun(m.Incarnation, c.self.Incarnation) {
		return
	}
	c.self.Incarnation = (m.Incarnation>>refutationBits + 1) << refutationBits
	c.queue.addMember(c.self.ID)
}

// refute takes a higher incarnation than one that is suspected or gone.
func (c *Core) refute(m Member, out *Effects) {
	was := c.self.Incarnation
	if m.Incarnation > was || (m.Incarnation == was && m.State > c.self.State) {
		c.self.Incarnation = m.Incarnation + 1
		c.queue.addMember(c.self.ID)
	}
	if m.State.Gone() && m.Incarnation > c.diedAt {
		c.diedAt = m.Incarnation
		out.Events = append(out.Events, Event{Kind: EventSelfDead, Member: c.self, Was: m.Incarnation})
	}
}

// giveWay makes the node stop acting for good.
func (c *Core) giveWay(other Member, out *Effects) {
	if c.wake.superseded {
		return
	}
	c.wake.superseded = true
	out.Events = append(out.Events, Event{Kind: EventNameTaken, Member: other, Was: c.self.Incarnation})
}

// receiveOwnName handles a packet of another node that bears this node's name.
// It answers a ping, so that a node that comes up finds the name taken.
func (c *Core) receiveOwnName(now time.Time, p *Packet, out *Effects) {
	other := memberOf(p.Sender)
	if other.GossipAddr == c.self.GossipAddr {
		return // an echo of this node's own packet, or of its earlier run
	}
	switch {
	case p.Type == PacketType_PACKET_TYPE_PING && c.wake.awake:
		c.send(now, other.GossipAddr, &Packet{Type: PacketType_PACKET_TYPE_ACK, Nonce: p.Nonce}, nil, out)
	case p.Type == PacketType_PACKET_TYPE_ACK && p.Awake && c.probes[p.Nonce] != nil:
		c.giveWay(other, out)
	}
}

// stateChanged notes the time and whether the member's state may run out.
func (c *Core) stateChanged(now time.Time, e *entry) {
	e.changedAt = now
	if e.State == StateAlive {
		delete(c.unsettled, e.ID)
		return
	}
	c.unsettled[e.ID] = e
}

// expireMembers declares suspects dead that did not refute in time, and drops
// members that are gone for long.
func (c *Core) expireMembers(now time.Time, out *Effects) {
	if len(c.unsettled) == 0 {
		return
	}
	suspicion := c.settings.suspicion(len(c.order) + 1)
	for _, id := range slices.Sorted(maps.Keys(c.unsettled)) {
		e := c.unsettled[id]
		age := now.Sub(e.changedAt)
		switch {
		case e.State == StateSuspect && age >= suspicion:
			c.setState(now, e, StateDead, out)
		case e.State == StateLeaving && !e.silentSince.IsZero() && now.Sub(e.silentSince) >= suspicion:
			c.setState(now, e, StateDead, out)
		case e.State.Gone() && age >= c.settings.RetainGone:
			c.forget(e, out)
		}
	}
}

// forget drops a member from the table.
func (c *Core) forget(e *entry, out *Effects) {
	delete(c.members, e.ID)
	delete(c.unsettled, e.ID)
	at, _ := c.position(e.ID)
	c.order = slices.Delete(c.order, at, at+1)
	c.queue.removeMember(e.ID)
	out.Events = append(out.Events, Event{Kind: EventForgotten, Member: e.Member, Was: e.Incarnation})
}

// setState changes a member's state by this node's own finding.
func (c *Core) setState(now time.Time, e *entry, s State, out *Effects) {
	e.State = s
	c.stateChanged(now, e)
	c.queue.addMember(e.ID)
	out.Events = append(out.Events, Event{Kind: stateEvent(s), Member: e.Member, Was: e.Incarnation})
}
