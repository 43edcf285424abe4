package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// indirectProbes is the number of members asked to ping a silent one.
const indirectProbes = 3

// wakingProbes is the number of members pinged at a time by a node that may
// not act yet.
const wakingProbes = 3

// relayTimeout is how long a ping on another member's behalf is remembered.
const relayTimeout = 2 * time.Second

// probe is a ping that waits for its answer.
type probe struct {
	target      fleet.NodeID // empty for a seed that is not known by name
	incarnation fleet.Incarnation
	sentAt      time.Time
	indirect    bool // whether others were asked
}

// relay is a ping sent on behalf of another member.
type relay struct {
	addr   string
	nonce  uint64
	sentAt time.Time
}

// reachable selects the members that are worth a packet.
func reachable(e *entry) bool { return !e.State.Gone() }

// randomMembers returns up to n distinct members that want selects.
func (c *Core) randomMembers(n int, want func(*entry) bool) []*entry {
	var found []*entry
	if len(c.order) == 0 {
		return nil
	}
	offset := c.rng.IntN(len(c.order))
	if len(c.order) <= 4*n {
		for _, i := range c.rng.Perm(len(c.order)) {
			if want(c.order[i]) && len(found) < n {
				found = append(found, c.order[i])
			}
		}
		return found
	}
	for tries := 0; tries < len(c.order) && len(found) < n; tries++ {
		e := c.order[offset]
		if want(e) && !slices.Contains(found, e) {
			found = append(found, e)
		}
		offset = c.rng.IntN(len(c.order))
	}
	return found
}

// probeNext pings the next members of a shuffled round over all members.
func (c *Core) probeNext(now time.Time, out *Effects) {
	n := probesAtOnce(len(c.order) + 1)
	if !c.wake.awake {
		n = wakingProbes
		c.pingSeeds(now, wakingProbes, out)
	}
	for range n {
		e := c.nextInRound()
		if e == nil {
			return
		}
		c.ping(now, e, out)
	}
}

// nextInRound returns the next reachable member, or nil if there is none.
func (c *Core) nextInRound() *entry {
	for range 2 {
		for len(c.probeList) > 0 {
			id := c.probeList[0]
			c.probeList = c.probeList[1:]
			if e := c.members[id]; e != nil && reachable(e) {
				return e
			}
		}
		c.startRound()
	}
	return nil
}

// startRound lists the reachable members in random order.
func (c *Core) startRound() {
	c.probeList = c.probeList[:0]
	for _, e := range c.order {
		if reachable(e) {
			c.probeList = append(c.probeList, e.ID)
		}
	}
	c.rng.Shuffle(len(c.probeList), func(i, j int) {
		c.probeList[i], c.probeList[j] = c.probeList[j], c.probeList[i]
	})
}

// ping sends a ping that the member is expected to answer. It tells a member
// that is suspected or gone so, for it to refute.
func (c *Core) ping(now time.Time, e *entry, out *Effects) {
	nonce := c.nextNonce()
	c.probes[nonce] = &probe{target: e.ID, incarnation: e.Incarnation, sentAt: now}
	var tell []*MemberRecord
	if e.State != StateAlive {
		tell = []*MemberRecord{recordOf(e.Member)}
	}
	c.send(now, e.GossipAddr, &Packet{Type: PacketType_PACKET_TYPE_PING, Nonce: nonce}, tell, out)
}

func (c *Core) nextNonce() uint64 {
	c.nonce++
	return c.nonce
}

// pingSeeds pings up to n random seeds that are not the address of a reachable
// member.
func (c *Core) pingSeeds(now time.Time, n int, out *Effects) {
	for _, i := range c.rng.Perm(len(c.seeds)) {
		if n == 0 {
			return
		}
		if c.knownAddr(c.seeds[i]) {
			continue
		}
		n--
		nonce := c.nextNonce()
		c.probes[nonce] = &probe{sentAt: now}
		c.send(now, c.seeds[i], &Packet{Type: PacketType_PACKET_TYPE_PING, Nonce: nonce}, nil, out)
	}
}

// knownAddr reports whether a reachable member has the gossip address.
func (c *Core) knownAddr(addr string) bool {
	return slices.ContainsFunc(c.order, func(e *entry) bool { return reachable(e) && e.GossipAddr == addr })
}

// rejoin pings one dead member and one seed, so that the two sides of a healed
// partition find each other.
func (c *Core) rejoin(now time.Time, out *Effects) {
	dead := func(e *entry) bool { return e.State == StateDead }
	for _, e := range c.randomMembers(1, dead) {
		c.ping(now, e, out)
	}
	if c.wake.awake {
		c.pingSeeds(now, 1, out)
	}
}

// expireProbes asks others about members that did not answer, and suspects
// them if these get no answer either.
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
	maps.DeleteFunc(c.relayed, func(_ uint64, r relay) bool { return now.Sub(r.sentAt) >= relayTimeout })
}

// probeIndirectly asks some members to ping the target.
func (c *Core) probeIndirectly(now time.Time, nonce uint64, p *probe, out *Effects) {
	target := c.members[p.target]
	if target == nil || target.State.Gone() {
		return
	}
	others := func(e *entry) bool { return reachable(e) && e.ID != p.target }
	for _, e := range c.randomMembers(indirectProbes, others) {
		request := &Packet{Type: PacketType_PACKET_TYPE_INDIRECT_PING, Nonce: nonce, Target: recordOf(target.Member)}
		c.send(now, e.GossipAddr, request, nil, out)
	}
}

// probeFailed suspects the target unless it was replaced meanwhile.
func (c *Core) probeFailed(now time.Time, p *probe, out *Effects) {
	e := c.members[p.target]
	if e == nil || e.Incarnation != p.incarnation || e.HeardAt.After(p.sentAt) {
		return
	}
	if e.silentSince.IsZero() {
		e.silentSince = now
	}
	if e.State == StateAlive {
		c.setState(now, e, StateSuspect, out)
	}
}

// relayPing pings the target on behalf of the sender.
func (c *Core) relayPing(now time.Time, p *Packet, out *Effects) {
	nonce := c.nextNonce()
	c.relayed[nonce] = relay{addr: p.Sender.GossipAddr, nonce: p.Nonce, sentAt: now}
	c.send(now, p.Target.GossipAddr, &Packet{Type: PacketType_PACKET_TYPE_PING, Nonce: nonce}, []*MemberRecord{p.Target}, out)
}

// receiveAck ends the probe that the packet answers, or passes it on.
func (c *Core) receiveAck(now time.Time, p *Packet, out *Effects) {
	if r, ok := c.relayed[p.Nonce]; ok {
		delete(c.relayed, p.Nonce)
		answer := &Packet{Type: PacketType_PACKET_TYPE_ACK, Nonce: r.nonce, Target: p.Sender}
		c.send(now, r.addr, answer, nil, out)
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
		e.answered = true
		c.wake.answered = c.wake.answered || p.Awake
	}
}
