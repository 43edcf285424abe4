package membership

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// replayWindow records the sequence numbers of the packets received from one run
// of a sender. Packets older than the window count as replayed.
type replayWindow struct {
	run     fleet.Incarnation // incarnation without the refutation bits
	highest uint64            // highest sequence number received
	seen    uint64            // bit i is set if sequence number highest-i was received
}

// replayWindowWidth is the number of bits of replayWindow.seen.
const replayWindowWidth = 64

// accept reports whether the packet was not received before and records it.
// Packets of an earlier run than the recorded one are not accepted.
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

// acceptSender merges the packet's record of its sender and reports whether the
// packet may be handled. It rejects replayed packets, packets of an earlier run,
// and packets of a starting node that has the ID of a running member. A ping of
// a sender rejected for its run or ID gets the known record as response, by
// which the sender detects the conflict.
func (c *Core) acceptSender(now time.Time, p *Packet, out *Effects) bool {
	sender := memberOf(p.Sender)
	e, known := c.members[sender.ID]
	if known && (olderRun(sender.Incarnation, e.Incarnation) || idConflict(e.Member, sender, p.Awake)) {
		if p.Type == PacketType_PACKET_TYPE_PING {
			c.send(now, sender.GossipAddr, &Packet{Type: PacketType_PACKET_TYPE_GOSSIP}, c.correctionsFor(p.Sender), out)
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
			return false // the sender is dead or left and not in the table, or the table is full
		}
		e.window.accept(sender.Incarnation, p.Sequence)
	}
	e.LastContact = now
	e.unresponsiveSince = time.Time{}
	e.ReleaseVersion = max(e.ReleaseVersion, sender.ReleaseVersion)
	return true
}

// olderRun reports whether incarnation a belongs to an earlier run than b.
func olderRun(a, b fleet.Incarnation) bool { return a>>refutationBits < b>>refutationBits }

// idConflict reports whether the sender is a node that is not awake yet and has
// the ID of a member m at another address that is neither dead nor left.
func idConflict(m, sender Member, awake bool) bool {
	return !awake && !m.State.Stopped() && olderRun(m.Incarnation, sender.Incarnation) && m.GossipAddr != sender.GossipAddr
}

// merge applies a received member record if it is newer than the known one: it
// has a higher incarnation, or a higher state at the same incarnation. A new
// member is queued for gossip if spread is set, which it is not for records from
// a digest comparison, as other nodes know them already.
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
	old := e.Member
	m.LastContact = old.LastContact
	if !SameRun(m.Incarnation, old.Incarnation) {
		m.LastContact = time.Time{}
	} else {
		m.ReleaseVersion = max(m.ReleaseVersion, old.ReleaseVersion)
	}
	e.Member = m
	c.recordStateChange(now, e)
	c.receivedChanges++
	c.queue.addMember(m.ID)
	out.Events = append(out.Events, changeEvents(old, m)...)
}

// mergeUnknown adds a member that is not in the table. Dead and left members are
// not added, so that a removed member is not restored by a late record.
func (c *Core) mergeUnknown(now time.Time, m Member, spread bool, out *Effects) {
	if m.State.Stopped() || len(c.members) >= MaxMembers {
		return
	}
	e := &memberEntry{Member: m}
	c.members[m.ID] = e
	c.recordStateChange(now, e)
	at, _ := c.orderIndex(m.ID)
	c.order = slices.Insert(c.order, at, e)
	c.receivedChanges++
	if spread {
		c.queue.addMember(m.ID)
	}
	out.Events = append(out.Events, Event{Kind: EventJoined, Member: m})
	if m.State != StateAlive {
		out.Events = append(out.Events, Event{Kind: stateEvent(m.State), Member: m, PreviousIncarnation: m.Incarnation})
	}
}

// orderIndex returns the member's index in Core.order, or the index at which to
// insert it, and whether it was found.
func (c *Core) orderIndex(id fleet.NodeID) (int, bool) {
	return slices.BinarySearchFunc(c.order, id, func(e *memberEntry, id fleet.NodeID) int {
		return strings.Compare(string(e.ID), string(id))
	})
}

// changeEvents returns the events for the change of a member from old to m.
func changeEvents(old, m Member) []Event {
	var events []Event
	if m.Incarnation != old.Incarnation && !SameRun(m.Incarnation, old.Incarnation) {
		events = append(events, Event{Kind: EventIncarnation, Member: m, PreviousIncarnation: old.Incarnation})
	}
	if m.State == StateAlive && old.State.Stopped() {
		return append(events, Event{Kind: EventJoined, Member: m, PreviousIncarnation: old.Incarnation})
	}
	if m.State != old.State {
		events = append(events, Event{Kind: stateEvent(m.State), Member: m, PreviousIncarnation: old.Incarnation})
	}
	return events
}

// stateEvent returns the kind of the event for a member's change to state s.
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

// mergeSelf handles a received record of this node's own ID. It refutes a
// suspicion or death with a higher incarnation, and marks this node as
// superseded if the record is of a newer run at another address.
func (c *Core) mergeSelf(now time.Time, m Member, out *Effects) {
	if c.self.State == StateLeft {
		return
	}
	otherAddr := m.GossipAddr != c.self.GossipAddr
	switch {
	case otherAddr && olderRun(c.self.Incarnation, m.Incarnation):
		c.supersede(m, out)
	case otherAddr && olderRun(m.Incarnation, c.self.Incarnation):
		c.pingDuplicateID(now, m, out)
	case !SameRun(m.Incarnation, c.self.Incarnation):
		c.raiseAboveEarlierRun(m)
	default:
		c.refute(m, out)
	}
}

// pingDuplicateID pings the other address at which m, an earlier run of this
// node's ID, is known. An ACK of an awake node from there means that the ID is
// in use.
func (c *Core) pingDuplicateID(now time.Time, m Member, out *Effects) {
	if c.awake.confirmed || m.State.Stopped() {
		return
	}
	nonce := c.nextNonce()
	c.probes[nonce] = &probe{sentAt: now}
	c.send(now, m.GossipAddr, &Packet{Type: PacketType_PACKET_TYPE_PING, Nonce: nonce}, nil, out)
}

// raiseAboveEarlierRun raises this node's incarnation above that of an earlier
// run m at the same address. The earlier run has the higher one if the clock was
// set back between the runs.
func (c *Core) raiseAboveEarlierRun(m Member) {
	if olderRun(m.Incarnation, c.self.Incarnation) {
		return
	}
	c.self.Incarnation = (m.Incarnation>>refutationBits + 1) << refutationBits
	c.queue.addMember(c.self.ID)
}

// refute raises this node's incarnation above that of the record m of the same
// run if m would override this node's state.
func (c *Core) refute(m Member, out *Effects) {
	old := c.self.Incarnation
	if m.Incarnation > old || (m.Incarnation == old && m.State > c.self.State) {
		c.self.Incarnation = m.Incarnation + 1
		c.queue.addMember(c.self.ID)
	}
	if m.State.Stopped() && m.Incarnation > c.highestDead {
		c.highestDead = m.Incarnation
		out.Events = append(out.Events, Event{Kind: EventSelfDead, Member: c.self, PreviousIncarnation: m.Incarnation})
	}
}

// supersede marks this node as permanently replaced by another node of its ID.
func (c *Core) supersede(other Member, out *Effects) {
	if c.awake.superseded {
		return
	}
	c.awake.superseded = true
	out.Events = append(out.Events, Event{Kind: EventIDInUse, Member: other, PreviousIncarnation: c.self.Incarnation})
}

// receiveDuplicateID handles a packet of another node that has this node's ID. It
// acknowledges a ping so that a starting node detects that the ID is in use.
func (c *Core) receiveDuplicateID(now time.Time, p *Packet, out *Effects) {
	other := memberOf(p.Sender)
	if other.GossipAddr == c.self.GossipAddr {
		return // this node's own packet or one of its earlier run at this address
	}
	switch {
	case p.Type == PacketType_PACKET_TYPE_PING && c.awake.confirmed:
		c.send(now, other.GossipAddr, &Packet{Type: PacketType_PACKET_TYPE_ACK, Nonce: p.Nonce}, nil, out)
	case p.Type == PacketType_PACKET_TYPE_ACK && p.Awake && c.probes[p.Nonce] != nil:
		c.supersede(other, out)
	}
}

// recordStateChange updates the entry's state change time and Core.notAlive.
func (c *Core) recordStateChange(now time.Time, e *memberEntry) {
	e.stateChangedAt = now
	if e.State == StateAlive {
		delete(c.notAlive, e.ID)
		return
	}
	c.notAlive[e.ID] = e
}

// expireMembers declares suspected and leaving members dead after the suspicion
// timeout, and removes members that are dead or left for Settings.StoppedRetention.
func (c *Core) expireMembers(now time.Time, out *Effects) {
	if len(c.notAlive) == 0 {
		return
	}
	suspicionTimeout := c.settings.suspicionTimeout(len(c.order) + 1)
	for _, id := range slices.Sorted(maps.Keys(c.notAlive)) {
		e := c.notAlive[id]
		age := now.Sub(e.stateChangedAt)
		switch {
		case e.State == StateSuspect && age >= suspicionTimeout:
			c.setState(now, e, StateDead, out)
		case e.State == StateLeaving && !e.unresponsiveSince.IsZero() && now.Sub(e.unresponsiveSince) >= suspicionTimeout:
			c.setState(now, e, StateDead, out)
		case e.State.Stopped() && age >= c.settings.StoppedRetention:
			c.deleteMember(e, out)
		}
	}
}

// deleteMember removes a member from the table.
func (c *Core) deleteMember(e *memberEntry, out *Effects) {
	delete(c.members, e.ID)
	delete(c.notAlive, e.ID)
	at, _ := c.orderIndex(e.ID)
	c.order = slices.Delete(c.order, at, at+1)
	c.queue.removeMember(e.ID)
	out.Events = append(out.Events, Event{Kind: EventRemoved, Member: e.Member, PreviousIncarnation: e.Incarnation})
}

// setState changes a member's state as a result of this node's own probes.
func (c *Core) setState(now time.Time, e *memberEntry, s State, out *Effects) {
	e.State = s
	c.recordStateChange(now, e)
	c.queue.addMember(e.ID)
	out.Events = append(out.Events, Event{Kind: stateEvent(s), Member: e.Member, PreviousIncarnation: e.Incarnation})
}
