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

// MACSize is the length in bytes of the truncated HMAC-SHA256 that precedes each
// encoded packet.
const MACSize = 16

// Limits on the length of strings of a member record, in bytes, so that a record
// fits into any packet.
const (
	maxNameBytes = 64 // node ID, region or zone
	maxAddrBytes = 64 // address
)

// Errors for received packets that are rejected.
var (
	ErrPacketSize   = errors.New("packet size out of range")
	ErrPacketMAC    = errors.New("packet not authenticated with the cluster secret")
	ErrPacketFormat = errors.New("malformed packet")
)

// seal encodes the packet and prepends its MAC. It returns nil if the packet
// can't be encoded.
func seal(secret []byte, p *Packet) []byte {
	body, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(make([]byte, MACSize, MaxPacketBytes), p)
	if err != nil {
		return nil // only for strings that are not valid UTF-8, which New and open reject
	}
	copy(body, packetMAC(secret, body[MACSize:]))
	return body
}

// open verifies the MAC of a datagram, then decodes and checks the packet.
func open(secret, data []byte) (*Packet, error) {
	if len(data) <= MACSize || len(data) > MaxPacketBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrPacketSize, len(data))
	}
	if !hmac.Equal(data[:MACSize], packetMAC(secret, data[MACSize:])) {
		return nil, ErrPacketMAC
	}
	p := &Packet{}
	if err := proto.Unmarshal(data[MACSize:], p); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrPacketFormat, err)
	}
	return p, checkPacket(p)
}

// packetMAC returns the truncated HMAC-SHA256 of an encoded packet.
func packetMAC(secret, body []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write(body)
	return h.Sum(nil)[:MACSize]
}

// checkPacket rejects packets that no correct node sends.
func checkPacket(p *Packet) error {
	if p.Type < PacketType_PACKET_TYPE_PING || p.Type > PacketType_PACKET_TYPE_SYNC {
		return fmt.Errorf("%w: unknown packet type %d", ErrPacketFormat, p.Type)
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
		return fmt.Errorf("%w: indirect ping without a target", ErrPacketFormat)
	}
	if p.Type == PacketType_PACKET_TYPE_DIGEST && (len(p.MemberDigests) != bucketCount || len(p.ItemDigests) != bucketCount) {
		return fmt.Errorf("%w: %d member digests and %d item digests", ErrPacketFormat, len(p.MemberDigests), len(p.ItemDigests))
	}
	return nil
}

// checkRecord rejects records with missing, oversized or unknown values.
func checkRecord(r *MemberRecord) error {
	switch {
	case r == nil || r.Id == "" || len(r.Id) > maxNameBytes:
		return fmt.Errorf("%w: member name is empty or too long", ErrPacketFormat)
	case r.State > uint32(StateLeft):
		return fmt.Errorf("%w: unknown member state %d", ErrPacketFormat, r.State)
	case len(r.Region) > maxNameBytes || len(r.Zone) > maxNameBytes:
		return fmt.Errorf("%w: region or zone name is too long", ErrPacketFormat)
	case r.GossipAddr == "" || len(r.GossipAddr) > maxAddrBytes || len(r.PeerAddr) > maxAddrBytes || len(r.EntryAddr) > maxAddrBytes:
		return fmt.Errorf("%w: member address is missing or too long", ErrPacketFormat)
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
