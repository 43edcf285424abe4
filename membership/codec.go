package membership

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// MacSize is the length in bytes of the truncated HMAC-SHA256 that precedes
// each packet.
const MacSize = 16

// Limits on the strings of a record, so that one fits any packet.
const (
	maxNameBytes = 64
	maxAddrBytes = 64
)

// Errors of decoding. A packet that fails changes nothing.
var (
	ErrPacketSize   = errors.New("packet size out of range")
	ErrPacketMac    = errors.New("packet not made with the cluster secret")
	ErrPacketFormat = errors.New("malformed packet")
)

// seal encodes the packet and puts its keyed hash in front.
func seal(secret []byte, p *Packet) []byte {
	body, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(make([]byte, MacSize, MaxPacketBytes), p)
	if err != nil {
		return nil // only on strings that are not UTF-8, which New and Receive refuse
	}
	copy(body, keyedHash(secret, body[MacSize:]))
	return body
}

// open checks the keyed hash, then decodes.
func open(secret, data []byte) (*Packet, error) {
	if len(data) <= MacSize || len(data) > MaxPacketBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrPacketSize, len(data))
	}
	if !hmac.Equal(data[:MacSize], keyedHash(secret, data[MacSize:])) {
		return nil, ErrPacketMac
	}
	p := &Packet{}
	if err := proto.Unmarshal(data[MacSize:], p); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrPacketFormat, err)
	}
	return p, checkPacket(p)
}

func keyedHash(secret, body []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write(body)
	return h.Sum(nil)[:MacSize]
}

// checkPacket refuses packets that no core sends.
func checkPacket(p *Packet) error {
	if p.Type < PacketType_PACKET_TYPE_PING || p.Type > PacketType_PACKET_TYPE_SYNC {
		return fmt.Errorf("%w: type %d", ErrPacketFormat, p.Type)
	}
	records := append([]*MemberRecord{p.Sender}, p.Updates...)
	if p.Target != nil {
		records = append(records, p.Target)
	}
	for _, r := range records {
		if err := checkRecord(r); err != nil {
			return err
		}
	}
	if p.Type == PacketType_PACKET_TYPE_INDIRECT_PING && p.Target == nil {
		return fmt.Errorf("%w: indirect ping without target", ErrPacketFormat)
	}
	if p.Type == PacketType_PACKET_TYPE_DIGEST && (len(p.MemberDigests) != buckets || len(p.ItemDigests) != buckets) {
		return fmt.Errorf("%w: %d and %d digests", ErrPacketFormat, len(p.MemberDigests), len(p.ItemDigests))
	}
	return nil
}

// checkRecord refuses records that no node may keep.
func checkRecord(r *MemberRecord) error {
	switch {
	case r == nil || r.Id == "" || len(r.Id) > maxNameBytes:
		return fmt.Errorf("%w: member name", ErrPacketFormat)
	case r.State > uint32(StateLeft):
		return fmt.Errorf("%w: member state %d", ErrPacketFormat, r.State)
	case len(r.Region) > maxNameBytes || len(r.Zone) > maxNameBytes:
		return fmt.Errorf("%w: region or zone", ErrPacketFormat)
	case r.GossipAddr == "" || len(r.GossipAddr) > maxAddrBytes || len(r.PeerAddr) > maxAddrBytes || len(r.EntryAddr) > maxAddrBytes:
		return fmt.Errorf("%w: member address", ErrPacketFormat)
	}
	return nil
}

func recordOf(m Member) *MemberRecord {
	return &MemberRecord{
		Id: string(m.ID), Incarnation: uint64(m.Incarnation), State: uint32(m.State),
		Region: string(m.Region), Zone: string(m.Zone),
		GossipAddr: m.GossipAddr, PeerAddr: m.PeerAddr, EntryAddr: m.EntryAddr,
		ReleaseVersion: m.ReleaseVersion,
	}
}

func memberOf(r *MemberRecord) Member {
	return Member{
		ID: fleet.NodeID(r.Id), Incarnation: fleet.Incarnation(r.Incarnation), State: State(r.State),
		Region: fleet.Region(r.Region), Zone: fleet.AvailabilityZone(r.Zone),
		GossipAddr: r.GossipAddr, PeerAddr: r.PeerAddr, EntryAddr: r.EntryAddr,
		ReleaseVersion: r.ReleaseVersion,
	}
}

func itemRecordOf(i Item) *ItemRecord {
	r := &ItemRecord{Kind: uint32(i.Kind), Key: i.Key, Version: i.Version, Value: i.Value}
	if !i.Expires.IsZero() {
		r.ExpiresUnixMs = i.Expires.UnixMilli()
	}
	return r
}

func itemOf(r *ItemRecord) Item {
	i := Item{Kind: ItemKind(r.Kind), Key: r.Key, Version: r.Version, Value: r.Value}
	if r.ExpiresUnixMs != 0 {
		i.Expires = time.UnixMilli(r.ExpiresUnixMs)
	}
	return i
}
