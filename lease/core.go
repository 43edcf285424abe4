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

// MemberState is the state of a node according to membership.
type MemberState uint8

// States of a member.
const (
	MemberAlive     MemberState = iota // responds, or is only suspected of having failed
	MemberLeaving                      // shuts down as planned and still acts
	MemberLeft                         // has announced that it no longer acts
	MemberDead                         // does not respond; may be paused or partitioned from this node
	MemberVMRemoved                    // its VM has been removed according to the platform's VM list
)

// Member is one row of the member table.
type Member struct {
	Node        fleet.NodeID
	Incarnation fleet.Incarnation
	Zone        fleet.AvailabilityZone
	State       MemberState
}

// Config holds the time limits and intervals of a Core. Zero fields take the
// defaults.
type Config struct {
	StoreTimeout time.Duration // time without a response after which contact with the object API counts as lost
	ReadInterval time.Duration // minimum interval between reads
	ClaimStagger time.Duration // delay between the first claims of two nodes that follow each other in claim order
	ReclaimDelay time.Duration // delay before a fenced holder claims the cell again
	ClaimGrace   time.Duration // time after a new claim for which its writer counts as alive
}

// Default values of Config.
const (
	DefaultStoreTimeout = 2 * time.Second
	DefaultReadInterval = 500 * time.Millisecond
	DefaultClaimStagger = 300 * time.Millisecond
	DefaultReclaimDelay = 3 * time.Second
	DefaultClaimGrace   = 5 * time.Second
)

func (cfg Config) withDefaults() Config {
	setDefault(&cfg.StoreTimeout, DefaultStoreTimeout)
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
	Value  []byte // encoded Record
	Expect uint64 // expected object version; zero if the object must not exist
	Writer string // unique ID of this write
}

// Effects lists the calls to the object API to make. The result of each must be
// passed exactly once to HandleRead or HandleWrite. If a call times out, pass
// platform.ErrUnavailable for a read and platform.ErrUnknown for a write.
type Effects struct {
	Read  bool   // read the lease object
	Write *Write // nil if there is nothing to write
}

// pendingWrite is a write whose outcome has not been applied yet.
type pendingWrite struct {
	Write
	record         Record    // the record in Write.Value
	attempts       int       // number of times sent
	sentAt         time.Time // time of the latest attempt
	inFlight       bool      // a response is outstanding
	outcomeUnknown bool      // the write may have taken effect; the next read resolves it
}

// Core is the state machine of one cell's lease on one node.
type Core struct {
	cfg  Config
	cell fleet.CellID
	self Holder // this run of this node

	members map[fleet.NodeID]Member
	leaving bool // this node is shutting down

	record       Record        // record as last read or written
	version      uint64        // version of the lease object; zero if it does not exist
	loaded       bool          // record and version come from the object API
	stale        bool          // a write conflicted; this node is not active until the next read
	readInFlight bool          // a response to a read is outstanding
	readNeeded   bool          // a read must be sent
	readAgain    bool          // a read became needed while another was in flight, whose response may be older
	readAtOnce   bool          // the next read need not wait for Config.ReadInterval
	lastReadSent time.Time     // time of the latest read request
	lastContact  time.Time     // when the latest call was sent to which the object API responded
	pending      *pendingWrite // write not yet resolved; nil if none
	writeSeq     uint64        // number of writer IDs used

	desired           *DesiredRecord // desired state of the record; nil until set
	holderHint        Successor      // highest epoch received from other nodes, and its holder
	fencedBy          fleet.Epoch    // highest epoch that an engine has reported
	fencedAt          time.Time      // time when fencedBy was set
	claimSeenAt       time.Time      // time when another node's claim was first seen to replace an earlier one
	holderFailedSince time.Time      // time when the holder was first seen failed; zero while it is alive
	storeFailingSince time.Time      // time of the first failed call since the latest response or new record; zero if none
	pregrantedEpoch   fleet.Epoch    // epoch granted in advance with which this node is active; zero if none
	lastActiveEpoch   fleet.Epoch    // highest epoch with which this node was active
}

// New returns the Core of a cell for one run of a node.
func New(cfg Config, cell fleet.CellID, self Holder) *Core {
	return &Core{
		cfg:        cfg.withDefaults(),
		cell:       cell,
		self:       self,
		members:    map[fleet.NodeID]Member{},
		readNeeded: true,
	}
}

// SetMembers replaces the member table.
func (c *Core) SetMembers(now time.Time, members []Member) {
	clear(c.members)
	for _, m := range members {
		c.members[m.Node] = m
	}
	c.updateHolderFailure(now)
}

// SetLeaving starts a planned shutdown of this node: if it holds the cell, it
// hands it over to a successor, and it makes no further claims.
func (c *Core) SetLeaving(time.Time) { c.leaving = true }

// SetDesired sets the desired state, which is written to the record while this
// node holds the lease.
func (c *Core) SetDesired(_ time.Time, d DesiredRecord) { c.desired = &d }

// HandleStoreContact records that the object API responded to some call of this
// node, sent at sentAt. It saves reads that would only check contact.
func (c *Core) HandleStoreContact(now, sentAt time.Time) { c.recordContact(now, sentAt) }

// HandleHolderHint processes a message from another node that names the active node
// and its epoch. Each node must publish the Holder and Epoch of its Authority: a
// node to which the cell was handed over learns of it in no other way.
func (c *Core) HandleHolderHint(_ time.Time, holder Holder, epoch fleet.Epoch) {
	if epoch <= c.holderHint.Epoch || epoch <= c.record.Epoch {
		return
	}
	c.holderHint = Successor{Holder: holder, Epoch: epoch}
	c.requestRead()
	c.readAtOnce = true // the claim may name this node as a successor
}

// VersionUpdate is the message that the holder publishes about each new version of the
// record. Successors need it because a successor that becomes active without a
// write relies on the version that it read last.
type VersionUpdate struct {
	Version    uint64 // version of the lease object
	Successors []fleet.NodeID
}

// VersionUpdate returns the message for the version known to this node, and whether this
// node holds the lease.
func (c *Core) VersionUpdate() (VersionUpdate, bool) {
	u := VersionUpdate{Version: c.version}
	for _, s := range c.record.Successors {
		u.Successors = append(u.Successors, s.Holder.Node)
	}
	return u, c.isHolder()
}

// HandleVersionUpdate processes a holder's VersionUpdate. A successor then reads the record.
func (c *Core) HandleVersionUpdate(_ time.Time, u VersionUpdate) {
	if u.Version > c.version && slices.Contains(u.Successors, c.self.Node) {
		c.requestRead()
	}
}

// requestRead makes Tick send a read that begins after this call.
func (c *Core) requestRead() {
	c.readNeeded = true
	c.readAgain = c.readInFlight
}

// HandleHigherEpoch processes the report that an engine has seen the given epoch. If
// it is higher than this node's, the node stops being active immediately.
func (c *Core) HandleHigherEpoch(now time.Time, epoch fleet.Epoch) {
	if epoch <= c.fencedBy {
		return
	}
	c.fencedBy = epoch
	c.fencedAt = now
	c.requestRead()
}

// HandleRead processes the response to a read. platform.ErrNotFound counts as a
// response: the lease object does not exist.
func (c *Core) HandleRead(now time.Time, obj platform.Object, err error) {
	again := c.readAgain
	c.readInFlight, c.readAgain = false, false
	absent := errors.Is(err, platform.ErrNotFound)
	if err != nil && !absent {
		c.recordStoreFailure(c.lastReadSent)
		return
	}
	if absent {
		obj = platform.Object{}
	}
	c.recordContact(now, c.lastReadSent)
	c.readNeeded = again
	if c.loaded && obj.Version < c.version {
		c.readNeeded = true // stale response: a newer version was seen before
		return
	}
	c.stale = false
	c.resolvePending(obj)
	c.applyObject(now, obj)
}

// resolvePending resolves a pending write whose outcome is unknown. If the object
// still has the expected version, the same write is sent again: the first one may
// still be in flight, but the expected version lets only one of the two take
// effect. At any other version the write is dropped.
func (c *Core) resolvePending(obj platform.Object) {
	p := c.pending
	if p == nil || !p.outcomeUnknown {
		return
	}
	if obj.Version == p.Expect {
		p.outcomeUnknown = false
		return
	}
	c.pending = nil
}

// applyObject updates the state from a lease object that was read.
func (c *Core) applyObject(now time.Time, obj platform.Object) {
	if c.loaded && obj.Version == c.version {
		return
	}
	if obj.Version == 0 {
		c.loaded, c.version, c.record = true, 0, Record{}
		return
	}
	r, err := decodeRecord(obj.Value)
	if err != nil {
		// A malformed record must not be overwritten: without it, no epoch is
		// known to be above all granted ones.
		c.loaded = false
		c.readNeeded = true
		return
	}
	c.applyRecord(now, r, obj.Version)
}

// applyRecord updates the state from a record that was read or written.
func (c *Core) applyRecord(now time.Time, r Record, version uint64) {
	invariant.Check(r.Epoch >= c.record.Epoch && r.Granted >= c.record.Granted, invariant.EpochMonotonic,
		"cell %s: epoch or granted epoch of the record decreased: epoch %d after epoch %d", c.cell, r.Epoch, c.record.Epoch)
	if c.loaded && c.version != 0 && r.Epoch > c.record.Epoch && r.Holder != c.self {
		c.claimSeenAt = now
	}
	c.record, c.version, c.loaded = r, version, true
	if r.Epoch > c.pregrantedEpoch {
		c.pregrantedEpoch = 0
	}
	c.holderFailedSince = time.Time{}
	c.storeFailingSince = time.Time{}
	c.updateHolderFailure(now)
}

// HandleWrite processes the response to the write with the given writer ID.
func (c *Core) HandleWrite(now time.Time, writer string, version uint64, err error) {
	p := c.pending
	if p == nil || p.Writer != writer || !p.inFlight {
		return
	}
	p.inFlight = false
	switch {
	case err == nil:
		c.recordContact(now, p.sentAt)
		c.pending = nil
		c.applyRecord(now, p.record, version)
	case errors.Is(err, platform.ErrUnknown):
		c.markOutcomeUnknown(p)
	case errors.Is(err, platform.ErrConflict):
		c.recordContact(now, p.sentAt)
		// The next read resolves the outcome: an earlier attempt of the same
		// write may have taken effect.
		p.outcomeUnknown = true
		c.stale = true
		c.readNeeded = true
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrBudget):
		c.recordStoreFailure(p.sentAt)
		c.dropFailedWrite(p)
	default:
		c.markOutcomeUnknown(p)
	}
}

// markOutcomeUnknown records a failed call; the next read resolves the write.
func (c *Core) markOutcomeUnknown(p *pendingWrite) {
	c.recordStoreFailure(p.sentAt)
	p.outcomeUnknown = true
	c.readNeeded = true
}

// dropFailedWrite drops a pending write whose last attempt did not take effect.
// If an earlier attempt may have taken effect, the next read resolves it instead.
func (c *Core) dropFailedWrite(p *pendingWrite) {
	if p.resent() {
		p.outcomeUnknown = true
		c.readNeeded = true
		return
	}
	c.pending = nil
}

// resent reports whether the write has been sent more than once.
func (p *pendingWrite) resent() bool { return p.attempts > 1 }

// recordContact records that the object API responded to a call sent at that time. A
// response that took longer than StoreTimeout does not show contact: it may have
// arrived long before, while this process was paused.
func (c *Core) recordContact(now, sentAt time.Time) {
	if now.Sub(sentAt) > c.cfg.StoreTimeout {
		return
	}
	if sentAt.After(c.lastContact) {
		c.lastContact = sentAt
	}
	c.storeFailingSince = time.Time{}
}

// recordStoreFailure records that a call sent at that time failed.
func (c *Core) recordStoreFailure(sentAt time.Time) {
	if c.storeFailingSince.IsZero() && sentAt.After(c.lastContact) {
		c.storeFailingSince = sentAt
	}
}

// nextWriterID returns a new unique writer ID.
func (c *Core) nextWriterID() string {
	c.writeSeq++
	return fmt.Sprintf("%s/%d/%s/%d", c.self.Node, c.self.Incarnation, c.cell, c.writeSeq)
}
