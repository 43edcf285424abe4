package membership

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// buckets is the number of parts of the member table and of the items that are
// compared apart. A bit set of them fits 32 bits.
const buckets = 32

// maxSyncPackets bounds the answer to one comparison.
const maxSyncPackets = 16

// digests are the hashes of all buckets. Two nodes with equal digests hold the
// same members, items and versions.
type digests struct {
	members []uint64
	items   []uint64
}

// mix returns a hash of three numbers.
func mix(a, b, c uint64) uint64 {
	var data [24]byte
	binary.LittleEndian.PutUint64(data[0:], a)
	binary.LittleEndian.PutUint64(data[8:], b)
	binary.LittleEndian.PutUint64(data[16:], c)
	return xxhash.Sum64(data[:])
}

func memberBucket(id fleet.NodeID) int { return int(xxhash.Sum64String(string(id)) % buckets) }

func itemBucket(key itemKey) int { return int(xxhash.Sum64String(key.key) % buckets) }

// memberDigest returns a hash of what must be equal at all nodes. Suspicion
// passes by itself and is left out.
func memberDigest(m Member) uint64 {
	leaving := uint64(0)
	if m.State == StateLeaving {
		leaving = 1
	}
	return mix(xxhash.Sum64String(string(m.ID)), uint64(m.Incarnation), leaving)
}

// digests returns the hashes of this node's tables. Gone members are left out,
// as nodes forget them at different times.
func (c *Core) digests(now time.Time) digests {
	d := digests{members: make([]uint64, buckets), items: make([]uint64, buckets)}
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

// differing returns the set of buckets whose hashes differ.
func differing(a, b []uint64) uint32 {
	var set uint32
	for i := range a {
		if a[i] != b[i] {
			set |= 1 << i
		}
	}
	return set
}

// sendDigest starts a comparison with a random member. It reports whether
// there was one.
func (c *Core) sendDigest(now time.Time, out *Effects) bool {
	for _, e := range c.randomMembers(1, reachable) {
		d := c.digests(now)
		p := &Packet{Type: PacketType_PACKET_TYPE_DIGEST, MemberDigests: d.members, ItemDigests: d.items}
		c.send(now, e.GossipAddr, p, nil, out)
		return true
	}
	return false
}

// receiveDigest sends this node's records of the buckets that differ, and asks
// for the sender's.
func (c *Core) receiveDigest(now time.Time, p *Packet, out *Effects) {
	own := c.digests(now)
	members := differing(own.members, p.MemberDigests)
	items := differing(own.items, p.ItemDigests)
	if members == 0 && items == 0 {
		return
	}
	c.sendBuckets(now, p.Sender.GossipAddr, members, items, true, out)
}

// receiveSync sends what was asked for, and compares again soon if the packet
// brought news, as there may be more than one answer holds.
func (c *Core) receiveSync(now time.Time, p *Packet, news bool, out *Effects) {
	if p.WantedMembers != 0 || p.WantedItems != 0 {
		c.sendBuckets(now, p.Sender.GossipAddr, p.WantedMembers, p.WantedItems, false, out)
	}
	soon := now.Add(c.settings.ProbeInterval)
	if news && c.nextCompare.After(soon) {
		c.nextCompare = soon
	}
}

// sendBuckets sends the records of the buckets, in up to maxSyncPackets. The
// first packet asks for the receiver's records if want is set.
func (c *Core) sendBuckets(now time.Time, addr string, members, items uint32, want bool, out *Effects) {
	s := syncSender{core: c, now: now, addr: addr, out: out}
	s.next()
	if want {
		s.packer.packet.WantedMembers = members
		s.packer.packet.WantedItems = items
		s.packer.size += 2 * fieldOverhead * 2
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

// bucketMembers returns the members of the buckets, from a random one on, so
// that repeated answers cover all of them.
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

// syncSender spreads records over packets.
type syncSender struct {
	core   *Core
	now    time.Time
	addr   string
	out    *Effects
	packer *packer
	sent   int
}

// next starts a packet.
func (s *syncSender) next() {
	p := &Packet{Type: PacketType_PACKET_TYPE_SYNC}
	s.core.stamp(s.now, p)
	s.packer = newPacker(p)
}

// flush sends the packet.
func (s *syncSender) flush() {
	if s.sent < maxSyncPackets {
		s.core.emit(s.addr, s.packer.packet, s.out)
	}
	s.sent++
}

func (s *syncSender) addMember(r *MemberRecord) {
	for !s.packer.addMember(r) {
		s.flush()
		s.next()
	}
}

func (s *syncSender) addItem(r *ItemRecord) {
	for !s.packer.addItem(r) {
		s.flush()
		s.next()
	}
}
