package membership

import (
	"time"

	"google.golang.org/protobuf/proto"
)

// gossipFanout is the number of members that get a packet of updates at once.
const gossipFanout = 3

// fieldOverhead is the encoded size of a repeated field's tag and length.
const fieldOverhead = 3

// packer fills a packet up to the size limit.
type packer struct {
	packet *Packet
	size   int
}

// newPacker starts with a packet whose own fields are set.
func newPacker(p *Packet) *packer {
	return &packer{packet: p, size: MacSize + proto.Size(p)}
}

// fits reserves room for a message of the size, if there is any.
func (k *packer) fits(m proto.Message) bool {
	need := proto.Size(m) + fieldOverhead
	if k.size+need > MaxPacketBytes {
		return false
	}
	k.size += need
	return true
}

// addMember adds the record and reports whether there was room.
func (k *packer) addMember(r *MemberRecord) bool {
	if !k.fits(r) {
		return false
	}
	k.packet.Updates = append(k.packet.Updates, r)
	return true
}

// addItem adds the item and reports whether there was room.
func (k *packer) addItem(r *ItemRecord) bool {
	if !k.fits(r) {
		return false
	}
	k.packet.Items = append(k.packet.Items, r)
	return true
}

// send completes the packet with the sender's row, the given records and as
// many updates as fit, and adds it to the effects.
func (c *Core) send(now time.Time, addr string, p *Packet, records []*MemberRecord, out *Effects) {
	c.stamp(now, p)
	k := newPacker(p)
	for _, r := range records {
		k.addMember(r)
	}
	c.addUpdates(k)
	c.emit(addr, p, out)
}

// stamp sets the fields that each packet carries.
func (c *Core) stamp(now time.Time, p *Packet) {
	c.sequence++
	p.Sender = recordOf(c.self)
	p.Sequence = c.sequence
	p.SentUnixMs = now.UnixMilli()
	p.Awake = c.wake.awake && !c.wake.superseded
}

func (c *Core) emit(addr string, p *Packet, out *Effects) {
	data := seal(c.secret, p)
	c.counters.SentPackets++
	c.counters.SentBytes += uint64(len(data))
	out.Packets = append(out.Packets, Outgoing{Addr: addr, Data: data})
}

// addUpdates adds queued updates while they fit, the least sent ones first.
func (c *Core) addUpdates(k *packer) {
	if c.queue.empty() {
		return
	}
	c.queue.take(transmitLimit(len(c.order)+1), func(key updateKey) bool { return c.addUpdate(k, key) })
}

// addUpdate adds one queued update and reports whether there was room.
func (c *Core) addUpdate(k *packer, key updateKey) bool {
	if key.member == "" {
		return k.addItem(itemRecordOf(c.items[key.item]))
	}
	m, ok := c.Member(key.member)
	return !ok || k.addMember(recordOf(m))
}

// sendGossip sends queued updates to some members.
func (c *Core) sendGossip(now time.Time, out *Effects) {
	for _, e := range c.randomMembers(gossipFanout, reachable) {
		if c.queue.empty() {
			return
		}
		c.send(now, e.GossipAddr, &Packet{Type: PacketType_PACKET_TYPE_GOSSIP}, nil, out)
	}
}

// viewOf returns what this node knows of the sender where it goes beyond what
// the sender says of itself, such as its death.
func (c *Core) viewOf(sender *MemberRecord) []*MemberRecord {
	m := memberOf(sender)
	e := c.members[m.ID]
	if e == nil || (e.Incarnation == m.Incarnation && e.State == m.State) {
		return nil
	}
	return []*MemberRecord{recordOf(e.Member)}
}
