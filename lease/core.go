package lease

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/invariant"
	"github.com/redwingnotch/redwingnotch/platform"
)

// MemberState is what membership says of a node.
type MemberState uint8

// The states of a member.
const (
	MemberAlive   MemberState = iota // answers, or is only suspected
	MemberLeaving                    // stops as planned, still acts
	MemberLeft                       // has said that it no longer acts
	MemberDead                       // does not answer; may be paused or cut off
	MemberGone                       // its VM is gone from the platform's list
)

// Member is one row of the member table.
type Member struct {
	Node        fleet.NodeID
	Incarnation fleet.Incarnation
	Zone        fleet.AvailabilityZone
	State       MemberState
}

// Config sets the delays of a Core. Zero fields take the defaults.
type Config struct {
	StoreSilence time.Duration // without an answer for this long, contact is lost
	ReadInterval time.Duration // between reads while one is needed
	ClaimStagger time.Duration // between the first attempts of two claimants
	ReclaimDelay time.Duration // a fenced holder waits this long before it claims anew
	ClaimGrace   time.Duration // a new claim proves for this long that its writer lives
}

// Defaults of Config.
const (
	DefaultStoreSilence = 2 * time.Second
	DefaultReadInterval = 500 * time.Millisecond
	DefaultClaimStagger = 300 * time.Millisecond
	DefaultReclaimDelay = 3 * time.Second
	DefaultClaimGrace   = 5 * time.Second
)

func (cfg Config) withDefaults() Config {
	setDefault(&cfg.StoreSilence, DefaultStoreSilence)
	setDefault(&cfg.ReadInterval, DefaultReadInterval)
	setDefault(&cfg.ClaimStagger, DefaultClaimStagger)
	setDefault(&cfg.ReclaimDelay, DefaultReclaimDelay)
	setDefault(&cfg.ClaimGrace, DefaultClaimGrace)
	return cfg
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Write is one conditional update of the cell's lease object.
type Write struct {
	Value  []byte
	Expect uint64 // object version, zero if it must not exist
	Writer string // unique id of this write
}

// Effects are the store calls to make. Each must be answered exactly once by
// HandleRead or HandleWrite; a call that times out is answered with
// platform.ErrUnavailable (read) or platform.ErrUnknown (write).
type Effects struct {
	Read  bool
	Write *Write
}

type pendingWrite struct {
	Write
	record   Record
	attempts int // times sent
	sentAt   time.Time
	sent     bool // an answer is outstanding
	unknown  bool // the answer was lost; a read settles it
}

// Core is the lease of one cell as seen by one node.
type Core struct {
	cfg  Config
	cell fleet.CellID
	self Holder

	members map[fleet.NodeID]Member
	leaving bool

	record      Record
	version     uint64 // of the object; zero if it does not exist
	known       bool   // record and version come from the store
	stale       bool   // a write conflicted; this node is out of office until a read
	reading     bool
	readWanted  bool
	lastRead    time.Time // when the last read was asked for
	lastContact time.Time
	pending     *pendingWrite
	writeSeq    uint64

	wanted      *Wanted
	hint        Successor // highest epoch heard of and who acts with it
	fencedBy    fleet.Epoch
	fencedAt    time.Time
	claimedAt   time.Time   // another node's claim was first seen to replace an earlier one
	failedSince time.Time   // holder first seen failed; zero while it lives
	silentSince time.Time   // first failed store call since failedSince
	advance     fleet.Epoch // epoch acted with before a claim; zero if none
	lastEpoch   fleet.Epoch // highest epoch this node was in office with
}

// New returns the lease of cell as seen by one run of a node.
func New(cfg Config, cell fleet.CellID, self Holder) *Core {
	return &Core{
		cfg:        cfg.withDefaults(),
		cell:       cell,
		self:       self,
		members:    map[fleet.NodeID]Member{},
		readWanted: true,
	}
}

// SetMembers replaces the member table.
func (c *Core) SetMembers(now time.Time, members []Member) {
	clear(c.members)
	for _, m := range members {
		c.members[m.Node] = m
	}
	c.noteFailure(now)
}

// SetLeaving starts the handover: this node stops as planned.
func (c *Core) SetLeaving(time.Time) { c.leaving = true }

// SetWanted says what the record should hold. It is written while this node is
// in office by a claim.
func (c *Core) SetWanted(_ time.Time, w Wanted) { c.wanted = &w }

// HandleStoreContact notes that any call of this node to the object API was
// answered. It saves reads whose only purpose is to prove contact.
func (c *Core) HandleStoreContact(now time.Time) { c.contact(now) }

// HandleHint takes in who is said to act with which epoch, as heard from peers.
// Each node must pass on the Holder and Epoch of its Authority: a node to which
// the cell was handed over learns of it in no other way.
func (c *Core) HandleHint(_ time.Time, holder Holder, epoch fleet.Epoch) {
	if epoch <= c.hint.Epoch || epoch <= c.record.Epoch {
		return
	}
	c.hint = Successor{Holder: holder, Epoch: epoch}
	c.readWanted = true
	c.lastRead = time.Time{} // at once: the claim may name this node as a successor
}

// Notice is what the holder tells its successors of each new version of the
// record: who succeeds without a write acts by the version last read.
type Notice struct {
	Version    uint64 // of the lease object
	Successors []fleet.NodeID
}

// Notice returns what to tell, and whether this node holds the cell.
func (c *Core) Notice() (Notice, bool) {
	n := Notice{Version: c.version}
	for _, s := range c.record.Successors {
		n.Successors = append(n.Successors, s.Holder.Node)
	}
	return n, c.ownsRecord()
}

// HandleNotice takes in a holder's notice, as heard from peers.
func (c *Core) HandleNotice(_ time.Time, n Notice) {
	if n.Version > c.version && slices.Contains(n.Successors, c.self.Node) {
		c.readWanted = true
	}
}

// HandleDeposed takes in that an engine holds a higher epoch than this node's.
// The node is out of office at once.
func (c *Core) HandleDeposed(now time.Time, epoch fleet.Epoch) {
	if epoch <= c.fencedBy {
		return
	}
	c.fencedBy = epoch
	c.fencedAt = now
	c.readWanted = true
}

// HandleRead takes the answer to a read. platform.ErrNotFound counts as an
// answer.
func (c *Core) HandleRead(now time.Time, obj platform.Object, err error) {
	c.reading = false
	absent := errors.Is(err, platform.ErrNotFound)
	if err != nil && !absent {
		c.silent(c.lastRead)
		return
	}
	if absent {
		obj = platform.Object{}
	}
	c.contact(now)
	c.readWanted = false
	if c.known && obj.Version < c.version {
		c.readWanted = true // an old answer; the store has shown a newer state
		return
	}
	c.stale = false
	c.settlePending(obj)
	c.adopt(now, obj)
}

// settlePending decides a write whose answer was lost by the object's writer
// and version. If the object is as before, the same write is sent again: it
// may be on its way still, and the version lets only one of the two succeed.
func (c *Core) settlePending(obj platform.Object) {
	p := c.pending
	if p == nil || !p.unknown {
		return
	}
	if obj.Version == p.Expect {
		p.unknown = false
		return
	}
	c.pending = nil
}

func (c *Core) adopt(now time.Time, obj platform.Object) {
	if c.known && obj.Version == c.version {
		return
	}
	if obj.Version == 0 {
		c.known, c.version, c.record = true, 0, Record{}
		return
	}
	r, err := decodeRecord(obj.Value)
	if err != nil {
		// A damaged record is treated as an absent one that must not be
		// overwritten: no epoch above all granted is known.
		c.known = false
		c.readWanted = true
		return
	}
	c.take(now, r, obj.Version)
}

func (c *Core) take(now time.Time, r Record, version uint64) {
	invariant.Check(r.Epoch >= c.record.Epoch && r.Granted >= c.record.Granted, invariant.EpochMonotonic,
		"cell %s: record epoch %d after %d", c.cell, r.Epoch, c.record.Epoch)
	if c.known && c.version != 0 && r.Epoch > c.record.Epoch && r.Holder != c.self {
		c.claimedAt = now
	}
	c.record, c.version, c.known = r, version, true
	if r.Epoch > c.advance {
		c.advance = 0
	}
	c.failedSince = time.Time{}
	c.silentSince = time.Time{}
	c.noteFailure(now)
}

// HandleWrite takes the answer to a write.
func (c *Core) HandleWrite(now time.Time, writer string, version uint64, err error) {
	p := c.pending
	if p == nil || p.Writer != writer || !p.sent {
		return
	}
	p.sent = false
	switch {
	case err == nil:
		c.contact(now)
		c.pending = nil
		c.take(now, p.record, version)
	case errors.Is(err, platform.ErrUnknown):
		c.unknownWrite(p)
	case errors.Is(err, platform.ErrConflict):
		c.contact(now)
		// Settled by the next read: an earlier sending of the same write may
		// have taken effect.
		p.unknown = true
		c.stale = true
		c.readWanted = true
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrBudget):
		c.silent(p.sentAt)
		c.dropUnsent(p)
	default:
		c.unknownWrite(p)
	}
}

func (c *Core) unknownWrite(p *pendingWrite) {
	c.silent(p.sentAt)
	p.unknown = true
	c.readWanted = true
}

// dropUnsent forgets a write that is known not to have taken effect. A write
// of which an earlier sending may have taken effect is kept.
func (c *Core) dropUnsent(p *pendingWrite) {
	if p.resent() {
		p.unknown = true
		c.readWanted = true
		return
	}
	c.pending = nil
}

func (p *pendingWrite) resent() bool { return p.attempts > 1 }

func (c *Core) contact(now time.Time) {
	c.lastContact = now
	c.silentSince = time.Time{}
}

// silent notes that a call made at that time was not answered.
func (c *Core) silent(madeAt time.Time) {
	if c.silentSince.IsZero() && madeAt.After(c.lastContact) {
		c.silentSince = madeAt
	}
}

func (c *Core) nextWriter() string {
	c.writeSeq++
	return fmt.Sprintf("%s/%d/%s/%d", c.self.Node, c.self.Incarnation, c.cell, c.writeSeq)
}
