package membership

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// bucketCount is the number of hash buckets into which members and items are
// divided for comparison. A set of buckets is a bit set in a uint32.
const bucketCount = 32

// maxSyncPackets is the maximum number of packets sent in response to one digest
// or request for records.
const maxSyncPackets = 16

// digests holds the hashes of all buckets. Nodes with equal digests hold the same
// reachable members and the same items, see memberDigest and Item.digest.
type digests struct {
	members []uint64
	items   []uint64
}

// hashNumbers returns a hash of three numbers.
func hashNumbers(a, b, c uint64) uint64 {
	var data [24]byte
	binary.LittleEndian.PutUint64(data[0:], a)
	binary.LittleEndian.PutUint64(data[8:], b)
	binary.LittleEndian.PutUint64(data[16:], c)
	return xxhash.Sum64(data[:])
}

func memberBucket(id fleet.NodeID) int { return int(xxhash.Sum64String(string(id)) % bucketCount) }

func itemBucket(key itemKey) int { return int(xxhash.Sum64String(key.key) % bucketCount) }

// memberDigest returns a hash of the fields that must be equal at all nodes: ID,
// incarnation and whether the member is leaving. A suspicion is left out, as it
// ends with a refutation or the member's death.
func memberDigest(m Member) uint64 {
	leaving := uint64(0)
	if m.State == StateLeaving {
		leaving = 1
	}
	return hashNumbers(xxhash.Sum64String(string(m.ID)), uint64(m.Incarnation), leaving)
}

// digests returns the hashes of this node's members and items. Dead and left
// members are excluded, as nodes remove them at different times.
func (c *Core) digests(now time.Time) digests {
	d := digests{members: make([]uint64, bucketCount), items: make([]uint64, bucketCount)}
	for _, e := range c.order {
		if reachable(e) {
			d.members[memberBucket(e.ID)] += memberDigest(e.Member)
		}
	}
	d.members[memberBucket(c.self.ID)] += memberDigest(c.self)
	for key, item := range c.items {
		if !item.expired(now) {
			d.items[itemBucket(key)] += item.digest()
		}
	}
	return d
}

// differingBuckets returns the set of buckets whose hashes differ.
func differingBuckets(a, b []uint64) uint32 {
	var set uint32
	for i := range a {
		if a[i] != b[i] {
			set |= 1 << i
		}
	}
	return set
}

// sendDigest sends this node's digests to a random reachable member. It returns
// false if there is none.
func (c *Core) sendDigest(now time.Time, out *Effects) bool {
	for _, e := range c.randomMembers(1, reachable) {
		d := c.digests(now)
		p := &Packet{Type: PacketType_PACKET_TYPE_DIGEST, MemberDigests: d.members, ItemDigests: d.items}
		c.send(now, e.GossipAddr, p, nil, out)
		return true
	}
	return false
}

// receiveDigest compares the sender's digests with this node's. It sends this
// node's records of the differing buckets and requests the sender's records.
func (c *Core) receiveDigest(now time.Time, p *Packet, out *Effects) {
	own := c.digests(now)
	members := differingBuckets(own.members, p.MemberDigests)
	items := differingBuckets(own.items, p.ItemDigests)
	if members == 0 && items == 0 {
		return
	}
	c.sendBuckets(now, p.Sender.GossipAddr, members, items, true, out)
}

// receiveSync sends the requested buckets. If the packet changed anything, the
// next comparison is moved forward, as one response may not hold all records.
func (c *Core) receiveSync(now time.Time, p *Packet, changed bool, out *Effects) {
	if p.WantedMembers != 0 || p.WantedItems != 0 {
		c.sendBuckets(now, p.Sender.GossipAddr, p.WantedMembers, p.WantedItems, false, out)
	}
	soon := now.Add(c.settings.ProbeInterval)
	if changed && c.nextCompare.After(soon) {
		c.nextCompare = soon
	}
}

// sendBuckets sends the records of the member and item buckets in the given bit
// sets, in up to maxSyncPackets packets. If request is set, the first packet
// requests the receiver's records of the same buckets.
func (c *Core) sendBuckets(now time.Time, addr string, members, items uint32, request bool, out *Effects) {
	s := syncSender{core: c, now: now, addr: addr, out: out}
	s.startPacket()
	if request {
		s.packer.packet.WantedMembers = members
		s.packer.packet.WantedItems = items
		s.packer.size += 2 * fieldOverhead * 2 // WantedMembers and WantedItems, of up to 6 bytes each
	}
	for _, m := range c.bucketMembers(members) {
		s.addMember(recordOf(m))
	}
	for _, key := range slices.SortedFunc(maps.Keys(c.items), compareItemKeys) {
		if items&(1<<itemBucket(key)) != 0 && !c.items[key].expired(now) {
			s.addItem(itemRecordOf(c.items[key]))
		}
	}
	s.flush()
}

// bucketMembers returns the members of the buckets, rotated to a random start, so
// that repeated responses limited by maxSyncPackets cover all of them.
func (c *Core) bucketMembers(set uint32) []Member {
	var found []Member
	for _, m := range c.Members() {
		if set&(1<<memberBucket(m.ID)) != 0 {
			found = append(found, m)
		}
	}
	if len(found) == 0 {
		return nil
	}
	start := c.rng.IntN(len(found))
	return append(found[start:], found[:start]...)
}

// syncSender distributes records over SYNC packets to one address.
type syncSender struct {
	core       *Core
	now        time.Time
	addr       string
	out        *Effects
	packer     *packer
	flushCount int // number of calls of flush; packets above maxSyncPackets are not sent
}

// startPacket starts a new packet.
func (s *syncSender) startPacket() {
	p := &Packet{Type: PacketType_PACKET_TYPE_SYNC}
	s.core.setCommonFields(s.now, p)
	s.packer = newPacker(p)
}

// flush sends the current packet unless maxSyncPackets were sent already.
func (s *syncSender) flush() {
	if s.flushCount < maxSyncPackets {
		s.core.emit(s.addr, s.packer.packet, s.out)
	}
	s.flushCount++
}

func (s *syncSender) addMember(r *MemberRecord) {
	for !s.packer.addMember(r) {
		s.flush()
		s.startPacket()
	}
}

func (s *syncSender) addItem(r *ItemRecord) {
	for !s.packer.addItem(r) {
		s.flush()
		s.startPacket()
	}
}
