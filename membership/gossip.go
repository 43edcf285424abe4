package membership

import (
	"time"

	"google.golang.org/protobuf/proto"
)

// gossipFanout is the number of members to which updates are sent per
// Settings.GossipInterval.
const gossipFanout = 3

// fieldOverhead is the maximum encoded size of the tag and length of an update or
// item, in bytes.
const fieldOverhead = 3

// packer fills a packet up to MaxPacketBytes.
type packer struct {
	packet *Packet
	size   int // encoded size in bytes, including the MAC
}

// newPacker returns a packer for a packet whose fields other than updates and
// items are set.
func newPacker(p *Packet) *packer {
	return &packer{packet: p, size: MACSize + proto.Size(p)}
}

// reserve reserves space for the message and reports whether it fits.
func (k *packer) reserve(m proto.Message) bool {
	need := proto.Size(m) + fieldOverhead
	if k.size+need > MaxPacketBytes {
		return false
	}
	k.size += need
	return true
}

// addMember adds the record and reports whether it fit.
func (k *packer) addMember(r *MemberRecord) bool {
	if !k.reserve(r) {
		return false
	}
	k.packet.Updates = append(k.packet.Updates, r)
	return true
}

// addItem adds the item and reports whether it fit.
func (k *packer) addItem(r *ItemRecord) bool {
	if !k.reserve(r) {
		return false
	}
	k.packet.Items = append(k.packet.Items, r)
	return true
}

// send adds the common fields, the given records and as many queued updates as
// fit to the packet, and adds the encoded packet to the effects.
func (c *Core) send(now time.Time, addr string, p *Packet, records []*MemberRecord, out *Effects) {
	c.setCommonFields(now, p)
	k := newPacker(p)
	for _, r := range records {
		k.addMember(r)
	}
	c.addUpdates(k)
	c.emit(addr, p, out)
}

// setCommonFields sets the fields that every packet carries.
func (c *Core) setCommonFields(now time.Time, p *Packet) {
	c.sequence++
	p.Sender = recordOf(c.self)
	p.Sequence = c.sequence
	p.SentUnixMs = now.UnixMilli()
	p.Awake = c.awake.confirmed && !c.awake.superseded
}

// emit encodes the packet, counts it and adds it to the effects.
func (c *Core) emit(addr string, p *Packet, out *Effects) {
	data := seal(c.secret, p)
	c.counters.SentPackets++
	c.counters.SentBytes += uint64(len(data))
	out.Packets = append(out.Packets, Datagram{Addr: addr, Data: data})
}

// addUpdates adds queued updates while they fit, least often sent ones first.
func (c *Core) addUpdates(k *packer) {
	if c.queue.empty() {
		return
	}
	c.queue.offer(transmitLimit(len(c.order)+1), func(key updateKey) bool { return c.addUpdate(k, key) })
}

// addUpdate adds one queued update and reports whether it fit. An update of a
// member that is no longer in the table is skipped.
func (c *Core) addUpdate(k *packer, key updateKey) bool {
	if key.member == "" {
		return k.addItem(itemRecordOf(c.items[key.item]))
	}
	m, ok := c.Member(key.member)
	return !ok || k.addMember(recordOf(m))
}

// sendGossip sends queued updates to up to gossipFanout random members.
func (c *Core) sendGossip(now time.Time, out *Effects) {
	for _, e := range c.randomMembers(gossipFanout, reachable) {
		if c.queue.empty() {
			return
		}
		c.send(now, e.GossipAddr, &Packet{Type: PacketType_PACKET_TYPE_GOSSIP}, nil, out)
	}
}

// correctionsFor returns this node's record of the sender if its incarnation or
// state differs from what the sender published, for example if this node
// considers the sender dead.
func (c *Core) correctionsFor(sender *MemberRecord) []*MemberRecord {
	m := memberOf(sender)
	e := c.members[m.ID]
	if e == nil || (e.Incarnation == m.Incarnation && e.State == m.State) {
		return nil
	}
	return []*MemberRecord{recordOf(e.Member)}
}
