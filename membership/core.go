// Package membership keeps each node's table of the other nodes: who is alive,
// who leaves, who is dead, and a few small items that all nodes share. It
// probes random members, spreads changes with the probes, and repairs gaps by
// comparing digests. It needs no store.
//
// Core holds all of it, without I/O: datagrams and the time come in, datagrams
// and events go out. Package membership/udp carries the datagrams.
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

// Core is the membership logic of one node. It is not safe for concurrent use.
type Core struct {
	settings Settings
	secret   []byte
	rng      *rand.Rand

	self     Member
	diedAt   fleet.Incarnation // highest own incarnation that others took for dead
	sequence uint64
	seeds    []string

	members   map[fleet.NodeID]*entry
	order     []*entry                // of members, sorted by id
	unsettled map[fleet.NodeID]*entry // members that are not alive
	items     map[itemKey]Item
	queue     updateQueue

	probes    map[uint64]*probe // by nonce
	relayed   map[uint64]relay  // by nonce
	probeList []fleet.NodeID    // the rest of the current round of probes

	nextProbe   time.Time
	nextGossip  time.Time
	nextCompare time.Time
	nextRejoin  time.Time
	nonce       uint64
	changes     uint64 // that packets of others brought

	wake     wakeState
	counters Counters
}

// entry is a member with what this node knows of its packets.
type entry struct {
	Member
	changedAt   time.Time // of the state
	window      replayWindow
	silentSince time.Time // first probe that it did not answer; zero if it was heard since
	answered    bool      // whether it answered a ping since this node started or last woke
}

// Counters count the packets and bytes of a node since its start.
type Counters struct {
	SentPackets     uint64
	SentBytes       uint64
	ReceivedPackets uint64
	ReceivedBytes   uint64
	Refused         uint64 // malformed, with another secret, or too old
	Replayed        uint64 // received before
}

// New returns the core of the node self. The secret is shared by all nodes of
// the deployment. The node may not act until Awake says so.
func New(now time.Time, self Member, s Settings, secret []byte, rng *rand.Rand) (*Core, error) {
	if err := validate(self, s, secret); err != nil {
		return nil, err
	}
	self.State = StateAlive
	self.HeardAt = now
	c := &Core{
		settings:  s,
		secret:    slices.Clone(secret),
		rng:       rng,
		self:      self,
		members:   map[fleet.NodeID]*entry{},
		unsettled: map[fleet.NodeID]*entry{},
		items:     map[itemKey]Item{},
		probes:    map[uint64]*probe{},
		relayed:   map[uint64]relay{},
		nonce:     rng.Uint64(),
	}
	c.startTimers(now)
	c.wake = wakeState{since: now, starting: true}
	return c, nil
}

// validate returns all faults of the arguments of New, joined.
func validate(self Member, s Settings, secret []byte) error {
	errs := []error{s.Validate()}
	if err := checkRecord(recordOf(self)); err != nil {
		errs = append(errs, fmt.Errorf("own member row: %w", err))
	}
	names := strings.Join([]string{string(self.ID), string(self.Region), string(self.Zone), self.GossipAddr, self.PeerAddr, self.EntryAddr}, "")
	if !utf8.ValidString(names) {
		errs = append(errs, errors.New("own member row: not UTF-8"))
	}
	if self.Incarnation == 0 {
		errs = append(errs, errors.New("own member row: incarnation is zero"))
	}
	if len(secret) < MinSecretBytes {
		errs = append(errs, fmt.Errorf("cluster secret has %d bytes, want at least %d", len(secret), MinSecretBytes))
	}
	return errors.Join(errs...)
}

// startTimers sets the times of periodic work, due at once.
func (c *Core) startTimers(now time.Time) {
	c.nextProbe = now
	c.nextGossip = now
	c.nextRejoin = now
	c.nextCompare = now
}

// SetSeeds sets gossip addresses to try while members are missing. The node's
// own address among them is ignored.
func (c *Core) SetSeeds(addrs []string) {
	c.seeds = slices.DeleteFunc(slices.Clone(addrs), func(a string) bool { return a == c.self.GossipAddr })
}

// SetReleaseVersion sets the release version in force at this node. Others
// learn it from packets of this node itself.
func (c *Core) SetReleaseVersion(v uint64) { c.self.ReleaseVersion = v }

// Self returns the node's own row.
func (c *Core) Self() Member { return c.self }

// Counters returns what was sent and received so far.
func (c *Core) Counters() Counters { return c.counters }

// Members returns all members, gone ones and the node itself included, ordered
// by id.
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

// Member returns the row of one member.
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

// Tick does what is due. It is called each TickInterval.
func (c *Core) Tick(now time.Time) Effects {
	var out Effects
	c.noticePause(now, &out)
	if c.self.State == StateLeft {
		return out
	}
	c.expireProbes(now, &out)
	c.expireMembers(now, &out)
	if due(now, &c.nextProbe, c.settings.ProbeInterval) {
		c.probeNext(now, &out)
	}
	if due(now, &c.nextRejoin, c.settings.RejoinInterval) {
		c.dropExpiredItems(now)
		c.rejoin(now, &out)
	}
	if !now.Before(c.nextCompare) && c.sendDigest(now, &out) {
		c.nextCompare = now.Add(c.settings.CompareInterval)
	}
	if due(now, &c.nextGossip, c.settings.GossipInterval) {
		c.sendGossip(now, &out)
	}
	c.settleAwake(now, &out)
	return out
}

// due reports whether the time has come and sets the next one.
func due(now time.Time, next *time.Time, interval time.Duration) bool {
	if now.Before(*next) {
		return false
	}
	*next = next.Add(interval)
	if next.Before(now) {
		*next = now.Add(interval)
	}
	return true
}

// Receive handles one datagram. One that is damaged, replayed, or made without
// the cluster secret changes nothing but Counters.
func (c *Core) Receive(now time.Time, data []byte) Effects {
	var out Effects
	c.noticePause(now, &out)
	c.counters.ReceivedPackets++
	c.counters.ReceivedBytes += uint64(len(data))
	p, err := open(c.secret, data)
	if err != nil || c.skewed(now, p) {
		c.counters.Refused++
		return out
	}
	if p.Sender.Id == string(c.self.ID) {
		c.receiveOwnName(now, p, &out)
		return out
	}
	if !c.acceptSender(now, p, &out) {
		c.counters.Replayed++
		return out
	}
	before := c.changes
	for _, r := range p.Updates {
		c.merge(now, memberOf(r), p.Type != PacketType_PACKET_TYPE_SYNC, &out)
	}
	for _, r := range p.Items {
		c.receiveItem(now, itemOf(r), &out)
	}
	c.handle(now, p, c.changes != before, &out)
	c.settleAwake(now, &out)
	return out
}

// skewed reports whether the packet is too old or from too far ahead.
func (c *Core) skewed(now time.Time, p *Packet) bool {
	return now.Sub(time.UnixMilli(p.SentUnixMs)).Abs() > c.settings.MaxClockSkew
}

// handle answers the packet according to its type. News says whether its
// updates changed anything.
func (c *Core) handle(now time.Time, p *Packet, news bool, out *Effects) {
	if c.self.State == StateLeft {
		return
	}
	switch p.Type {
	case PacketType_PACKET_TYPE_PING:
		c.send(now, p.Sender.GossipAddr, &Packet{Type: PacketType_PACKET_TYPE_ACK, Nonce: p.Nonce}, c.viewOf(p.Sender), out)
	case PacketType_PACKET_TYPE_ACK:
		c.receiveAck(now, p, out)
	case PacketType_PACKET_TYPE_INDIRECT_PING:
		c.relayPing(now, p, out)
	case PacketType_PACKET_TYPE_DIGEST:
		c.receiveDigest(now, p, out)
	case PacketType_PACKET_TYPE_SYNC:
		c.receiveSync(now, p, news, out)
	}
}

// Leave begins a planned stop: the node answers and finishes what runs, but
// others give it no new work.
func (c *Core) Leave(now time.Time) Effects { return c.announce(now, StateLeaving) }

// Left ends the planned stop: the node is gone and sends nothing more.
func (c *Core) Left(now time.Time) Effects { return c.announce(now, StateLeft) }

// announce sets the node's own state and tells some members at once.
func (c *Core) announce(now time.Time, s State) Effects {
	var out Effects
	if c.self.State >= s {
		return out
	}
	c.self.State = s
	c.queue.addMember(c.self.ID)
	for _, e := range c.randomMembers(announceFanout, reachable) {
		c.send(now, e.GossipAddr, &Packet{Type: PacketType_PACKET_TYPE_GOSSIP}, nil, &out)
	}
	return out
}

// announceFanout is the number of members that hear of a planned stop at once.
const announceFanout = 10
