package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// indirectProbes is the number of members asked to ping an unresponsive member.
const indirectProbes = 3

// unconfirmedProbes is the number of members, and of seeds, that a node pings per
// interval while it is not awake.
const unconfirmedProbes = 3

// relayTimeout is the time for which a ping on behalf of another member is
// stored to relay its ACK.
const relayTimeout = 2 * time.Second

// probe is a ping that awaits an ACK.
type probe struct {
	target      fleet.NodeID // empty for an address whose node ID is not known
	incarnation fleet.Incarnation
	sentAt      time.Time
	indirect    bool // whether indirect probes were sent
}

// relay is a ping sent on behalf of another member.
type relay struct {
	addr   string // gossip address of the member that asked for the ping
	nonce  uint64 // nonce of that member's request
	sentAt time.Time
}

// reachable reports whether the member is neither dead nor left.
func reachable(e *memberEntry) bool { return !e.State.Stopped() }

// randomMembers returns up to n distinct random members for which match returns
// true. In large tables it may return fewer than exist.
func (c *Core) randomMembers(n int, match func(*memberEntry) bool) []*memberEntry {
	var found []*memberEntry
	if len(c.order) == 0 {
		return nil
	}
	offset := c.rng.IntN(len(c.order))
	if len(c.order) <= 4*n {
		for _, i := range c.rng.Perm(len(c.order)) {
			if match(c.order[i]) && len(found) < n {
				found = append(found, c.order[i])
			}
		}
		return found
	}
	for tries := 0; tries < len(c.order) && len(found) < n; tries++ {
		e := c.order[offset]
		if match(e) && !slices.Contains(found, e) {
			found = append(found, e)
		}
		offset = c.rng.IntN(len(c.order))
	}
	return found
}

// probeNext pings the next members of the current round. A round covers all
// reachable members in random order. A node that is not awake also pings seeds.
func (c *Core) probeNext(now time.Time, out *Effects) {
	n := probesPerInterval(len(c.order) + 1)
	if !c.awake.confirmed {
		n = unconfirmedProbes
		c.pingSeeds(now, unconfirmedProbes, out)
	}
	for range n {
		e := c.nextInRound()
		if e == nil {
			return
		}
		c.ping(now, e, out)
	}
}

// nextInRound returns the next reachable member of the round and starts a new
// round at its end. It returns nil if no member is reachable.
func (c *Core) nextInRound() *memberEntry {
	for range 2 {
		for len(c.probeRound) > 0 {
			id := c.probeRound[0]
			c.probeRound = c.probeRound[1:]
			if e := c.members[id]; e != nil && reachable(e) {
				return e
			}
		}
		c.startRound()
	}
	return nil
}

// startRound sets probeRound to the reachable members in random order.
func (c *Core) startRound() {
	c.probeRound = c.probeRound[:0]
	for _, e := range c.order {
		if reachable(e) {
			c.probeRound = append(c.probeRound, e.ID)
		}
	}
	c.rng.Shuffle(len(c.probeRound), func(i, j int) {
		c.probeRound[i], c.probeRound[j] = c.probeRound[j], c.probeRound[i]
	})
}

// ping pings the member and registers a probe. The packet to a member that is
// not alive carries its record, so that it can refute it.
func (c *Core) ping(now time.Time, e *memberEntry, out *Effects) {
	nonce := c.nextNonce()
	c.probes[nonce] = &probe{target: e.ID, incarnation: e.Incarnation, sentAt: now}
	var records []*MemberRecord
	if e.State != StateAlive {
		records = []*MemberRecord{recordOf(e.Member)}
	}
	c.send(now, e.GossipAddr, &Packet{Type: PacketType_PACKET_TYPE_PING, Nonce: nonce}, records, out)
}

func (c *Core) nextNonce() uint64 {
	c.nonce++
	return c.nonce
}

// pingSeeds pings up to n random seeds whose address no reachable member has.
func (c *Core) pingSeeds(now time.Time, n int, out *Effects) {
	for _, i := range c.rng.Perm(len(c.seeds)) {
		if n == 0 {
			return
		}
		if c.isReachableAddr(c.seeds[i]) {
			continue
		}
		n--
		nonce := c.nextNonce()
		c.probes[nonce] = &probe{sentAt: now}
		c.send(now, c.seeds[i], &Packet{Type: PacketType_PACKET_TYPE_PING, Nonce: nonce}, nil, out)
	}
}

// isReachableAddr reports whether a reachable member has the gossip address.
func (c *Core) isReachableAddr(addr string) bool {
	return slices.ContainsFunc(c.order, func(e *memberEntry) bool { return reachable(e) && e.GossipAddr == addr })
}

// rejoin pings one random dead member and, if this node is awake, one seed, so
// that the two sides of a healed partition merge.
func (c *Core) rejoin(now time.Time, out *Effects) {
	dead := func(e *memberEntry) bool { return e.State == StateDead }
	for _, e := range c.randomMembers(1, dead) {
		c.ping(now, e, out)
	}
	if c.awake.confirmed {
		c.pingSeeds(now, 1, out)
	}
}

// expireProbes starts indirect probes of members that did not respond within
// Settings.DirectTimeout, ends probes after Settings.ProbeTimeout as failed, and
// removes expired relays.
func (c *Core) expireProbes(now time.Time, out *Effects) {
	for _, nonce := range slices.Sorted(maps.Keys(c.probes)) {
		p := c.probes[nonce]
		age := now.Sub(p.sentAt)
		if age >= c.settings.ProbeTimeout {
			delete(c.probes, nonce)
			c.probeFailed(now, p, out)
			continue
		}
		if age >= c.settings.DirectTimeout && !p.indirect {
			p.indirect = true
			c.probeIndirectly(now, nonce, p, out)
		}
	}
	maps.DeleteFunc(c.relays, func(_ uint64, r relay) bool { return now.Sub(r.sentAt) >= relayTimeout })
}

// probeIndirectly asks up to indirectProbes random members to ping the target.
func (c *Core) probeIndirectly(now time.Time, nonce uint64, p *probe, out *Effects) {
	target := c.members[p.target]
	if target == nil || target.State.Stopped() {
		return
	}
	notTarget := func(e *memberEntry) bool { return reachable(e) && e.ID != p.target }
	for _, e := range c.randomMembers(indirectProbes, notTarget) {
		request := &Packet{Type: PacketType_PACKET_TYPE_INDIRECT_PING, Nonce: nonce, Target: recordOf(target.Member)}
		c.send(now, e.GossipAddr, request, nil, out)
	}
}

// probeFailed marks the target as unresponsive and suspects it if it is alive. It
// does nothing if a packet or a new incarnation of the target arrived since.
func (c *Core) probeFailed(now time.Time, p *probe, out *Effects) {
	e := c.members[p.target]
	if e == nil || e.Incarnation != p.incarnation || e.LastContact.After(p.sentAt) {
		return
	}
	if e.unresponsiveSince.IsZero() {
		e.unresponsiveSince = now
	}
	if e.State == StateAlive {
		c.setState(now, e, StateSuspect, out)
	}
}

// relayPing pings the target on behalf of the sender. The packet carries the
// sender's record of the target, so that the target can refute it.
func (c *Core) relayPing(now time.Time, p *Packet, out *Effects) {
	nonce := c.nextNonce()
	c.relays[nonce] = relay{addr: p.Sender.GossipAddr, nonce: p.Nonce, sentAt: now}
	c.send(now, p.Target.GossipAddr, &Packet{Type: PacketType_PACKET_TYPE_PING, Nonce: nonce}, []*MemberRecord{p.Target}, out)
}

// receiveAck relays an ACK to the member that asked for the ping, or ends the
// probe that the ACK belongs to.
func (c *Core) receiveAck(now time.Time, p *Packet, out *Effects) {
	if r, ok := c.relays[p.Nonce]; ok {
		delete(c.relays, p.Nonce)
		ack := &Packet{Type: PacketType_PACKET_TYPE_ACK, Nonce: r.nonce, Target: p.Sender}
		c.send(now, r.addr, ack, nil, out)
		return
	}
	if _, ok := c.probes[p.Nonce]; !ok {
		return
	}
	delete(c.probes, p.Nonce)
	if p.Target != nil {
		c.merge(now, memberOf(p.Target), true, out)
		return
	}
	if e := c.members[fleet.NodeID(p.Sender.Id)]; e != nil {
		e.acked = true
		c.awake.acked = c.awake.acked || p.Awake
	}
}
