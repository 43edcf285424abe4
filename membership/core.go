// Package membership implements a SWIM-style gossip protocol. Each node keeps a
// table of the other nodes with their state (alive, suspect, leaving, dead,
// left) and a small set of items that are replicated to all nodes. Nodes probe
// random members for failure detection, piggyback changes on the probes and
// repair missed changes by comparing digests (anti-entropy). No external store
// is needed.
//
// Core implements the protocol without I/O: received datagrams and the current
// time are its input, datagrams to send and events are its output. Package
// membership/udp sends and receives the datagrams.
package membership

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// Core is the membership state machine of one node. It is not safe for
// concurrent use.
type Core struct {
	settings Settings
	secret   []byte
	rng      *rand.Rand

	self        Member
	highestDead fleet.Incarnation // highest incarnation of this node that another node reported as dead or left
	sequence    uint64            // sequence number of the last packet sent
	seeds       []string

	members  map[fleet.NodeID]*memberEntry
	order    []*memberEntry                // values of members, sorted by node ID
	notAlive map[fleet.NodeID]*memberEntry // entries of members whose state is not StateAlive
	items    map[itemKey]Item
	queue    updateQueue

	probes     map[uint64]*probe // pings awaiting an ACK, by nonce
	relays     map[uint64]relay  // pings sent on behalf of other members, by nonce
	probeRound []fleet.NodeID    // members still to be probed in the current round

	nextProbe       time.Time
	nextGossip      time.Time
	nextCompare     time.Time
	nextRejoin      time.Time
	nonce           uint64
	receivedChanges uint64 // number of table and item changes made by received packets

	awake    awakeState
	counters Counters
}

// memberEntry is a member with the state of this node's exchange with it.
type memberEntry struct {
	Member
	stateChangedAt    time.Time // time of the last state change
	window            replayWindow
	unresponsiveSince time.Time // time of the first failed probe since the member's last packet; zero if none failed
	acked             bool      // whether the member acknowledged a ping since this node's start or last pause
}

// Counters counts the packets and bytes of a node since its start.
type Counters struct {
	SentPackets     uint64
	SentBytes       uint64
	ReceivedPackets uint64
	ReceivedBytes   uint64
	Rejected        uint64 // packets that are malformed, have a wrong MAC or exceed the clock skew
	RejectedSender  uint64 // packets that are replayed, of an earlier run of their sender, of a starting node with the ID of a running one, or of a sender that can't be added to the table
}

// New returns the core of the node described by self. The secret is shared by
// all nodes of the deployment and authenticates their packets. The node may not
// act until Awake returns true. The error joins all invalid arguments.
func New(now time.Time, self Member, s Settings, secret []byte, rng *rand.Rand) (*Core, error) {
	if err := validate(self, s, secret); err != nil {
		return nil, err
	}
	self.State = StateAlive
	self.LastContact = now
	c := &Core{
		settings: s,
		secret:   slices.Clone(secret),
		rng:      rng,
		self:     self,
		members:  map[fleet.NodeID]*memberEntry{},
		notAlive: map[fleet.NodeID]*memberEntry{},
		items:    map[itemKey]Item{},
		probes:   map[uint64]*probe{},
		relays:   map[uint64]relay{},
		nonce:    rng.Uint64(),
	}
	c.startTimers(now)
	c.awake = awakeState{since: now, starting: true}
	return c, nil
}

// validate returns all invalid arguments of New as one joined error.
func validate(self Member, s Settings, secret []byte) error {
	errs := []error{s.Validate()}
	if err := checkRecord(recordOf(self)); err != nil {
		errs = append(errs, fmt.Errorf("own member row: %w", err))
	}
	names := strings.Join([]string{string(self.ID), string(self.Region), string(self.Zone), self.GossipAddr, self.PeerAddr, self.EntryAddr}, "")
	if !utf8.ValidString(names) {
		errs = append(errs, errors.New("own member row: an ID, zone, region or address is not valid UTF-8"))
	}
	if self.Incarnation == 0 {
		errs = append(errs, errors.New("own member row: incarnation is zero, must be positive"))
	}
	if len(secret) < MinSecretBytes {
		errs = append(errs, fmt.Errorf("cluster secret has %d bytes, must have at least %d", len(secret), MinSecretBytes))
	}
	return errors.Join(errs...)
}

// startTimers schedules all periodic work to run at the next tick.
func (c *Core) startTimers(now time.Time) {
	c.nextProbe = now
	c.nextGossip = now
	c.nextRejoin = now
	c.nextCompare = now
}

// SetSeeds sets the gossip addresses (host:port) that are pinged to find
// members, unless a reachable member already has the address. The node's own
// address is ignored.
func (c *Core) SetSeeds(addrs []string) {
	c.seeds = slices.DeleteFunc(slices.Clone(addrs), func(a string) bool { return a == c.self.GossipAddr })
}

// SetReleaseVersion sets the release version in force at this node. It is
// published in each packet of this node. A lower version than the last is ignored:
// callers of different goroutines may arrive out of order.
func (c *Core) SetReleaseVersion(v uint64) { c.self.ReleaseVersion = max(c.self.ReleaseVersion, v) }

// Self returns the node's own member row.
func (c *Core) Self() Member { return c.self }

// Counters returns the packets and bytes sent and received so far.
func (c *Core) Counters() Counters { return c.counters }

// Members returns all members sorted by ID, including the node itself and
// members that are dead or left.
func (c *Core) Members() []Member {
	rows := make([]Member, 0, len(c.order)+1)
	for _, e := range c.order {
		rows = append(rows, e.Member)
	}
	at, _ := slices.BinarySearchFunc(rows, c.self.ID, func(m Member, id fleet.NodeID) int {
		return strings.Compare(string(m.ID), string(id))
	})
	return slices.Insert(rows, at, c.self)
}

// Member returns the row of one member and whether it is in the table.
func (c *Core) Member(id fleet.NodeID) (Member, bool) {
	if id == c.self.ID {
		return c.self, true
	}
	e, ok := c.members[id]
	if !ok {
		return Member{}, false
	}
	return e.Member, true
}

// Tick runs the periodic work whose time has come. It must be called once per
// TickInterval.
func (c *Core) Tick(now time.Time) Effects {
	var out Effects
	c.detectPause(now, &out)
	if c.self.State == StateLeft {
		return out
	}
	c.expireProbes(now, &out)
	c.expireMembers(now, &out)
	if advanceIfDue(now, &c.nextProbe, c.settings.ProbeInterval) {
		c.probeNext(now, &out)
	}
	if advanceIfDue(now, &c.nextRejoin, c.settings.RejoinInterval) {
		c.dropExpiredItems(now)
		c.rejoin(now, &out)
	}
	if !now.Before(c.nextCompare) && c.sendDigest(now, &out) {
		c.nextCompare = now.Add(c.settings.CompareInterval)
	}
	if advanceIfDue(now, &c.nextGossip, c.settings.GossipInterval) {
		c.sendGossip(now, &out)
	}
	c.updateConfirmed(now, &out)
	return out
}

// advanceIfDue reports whether the time in next has come and, if so, advances it
// by the interval. Missed intervals are skipped.
func advanceIfDue(now time.Time, next *time.Time, interval time.Duration) bool {
	if now.Before(*next) {
		return false
	}
	*next = next.Add(interval)
	if next.Before(now) {
		*next = now.Add(interval)
	}
	return true
}

// Receive handles one datagram. A datagram that is damaged, replayed or not
// authenticated with the cluster secret changes only Counters, apart from the
// detection of a pause, which every call does.
func (c *Core) Receive(now time.Time, data []byte) Effects {
	var out Effects
	c.detectPause(now, &out)
	c.counters.ReceivedPackets++
	c.counters.ReceivedBytes += uint64(len(data))
	p, err := open(c.secret, data)
	if err != nil || c.exceedsClockSkew(now, p) {
		c.counters.Rejected++
		return out
	}
	if p.Sender.Id == string(c.self.ID) {
		c.receiveDuplicateID(now, p, &out)
		return out
	}
	if !c.acceptSender(now, p, &out) {
		c.counters.RejectedSender++
		return out
	}
	before := c.receivedChanges
	for _, r := range p.Updates {
		c.merge(now, memberOf(r), p.Type != PacketType_PACKET_TYPE_SYNC, &out)
	}
	for _, r := range p.Items {
		c.receiveItem(now, itemOf(r), &out)
	}
	c.handle(now, p, c.receivedChanges != before, &out)
	c.updateConfirmed(now, &out)
	return out
}

// exceedsClockSkew reports whether the packet's send time differs from the
// local time by more than Settings.MaxClockSkew.
func (c *Core) exceedsClockSkew(now time.Time, p *Packet) bool {
	return now.Sub(time.UnixMilli(p.SentUnixMs)).Abs() > c.settings.MaxClockSkew
}

// handle responds to the packet according to its type. changed reports whether
// the packet's updates or items changed anything.
func (c *Core) handle(now time.Time, p *Packet, changed bool, out *Effects) {
	if c.self.State == StateLeft {
		return
	}
	switch p.Type {
	case PacketType_PACKET_TYPE_PING:
		c.send(now, p.Sender.GossipAddr, &Packet{Type: PacketType_PACKET_TYPE_ACK, Nonce: p.Nonce}, c.correctionsFor(p.Sender), out)
	case PacketType_PACKET_TYPE_ACK:
		c.receiveAck(now, p, out)
	case PacketType_PACKET_TYPE_INDIRECT_PING:
		c.relayPing(now, p, out)
	case PacketType_PACKET_TYPE_DIGEST:
		c.receiveDigest(now, p, out)
	case PacketType_PACKET_TYPE_SYNC:
		c.receiveSync(now, p, changed, out)
	}
}

// Leave begins a planned stop: the node still responds and finishes running
// work, but other nodes send it no new work.
func (c *Core) Leave(now time.Time) Effects { return c.publishState(now, StateLeaving) }

// CompleteLeave completes the planned stop. The node sends no packets after the returned
// ones.
func (c *Core) CompleteLeave(now time.Time) Effects { return c.publishState(now, StateLeft) }

// publishState sets the node's own state and gossips it to publishFanout members
// at once.
func (c *Core) publishState(now time.Time, s State) Effects {
	var out Effects
	if c.self.State >= s {
		return out
	}
	c.self.State = s
	c.queue.addMember(c.self.ID)
	for _, e := range c.randomMembers(publishFanout, reachable) {
		c.send(now, e.GossipAddr, &Packet{Type: PacketType_PACKET_TYPE_GOSSIP}, nil, &out)
	}
	return out
}

// publishFanout is the number of members to which a planned stop is sent
// immediately.
const publishFanout = 10
