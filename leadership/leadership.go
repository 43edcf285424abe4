// Package leadership elects the leader of a cell: the only node that may order backend
// servers that do not check fencing tokens. The leader renews a record in the
// platform's store by conditional writes. It acts only while its leadership is
// valid: for Settings.Validity, counted from the sending of the last write that the
// store confirmed. A successor acquires the leadership once this time must have
// ended at the leader and the servers' minimum time between orders of two nodes,
// Settings.OrderLease, has passed as well.
//
// Each leadership has a fencing token of its own. Once a node has given up a token,
// because it expired, on request or because it is about to stop, it never leads with
// that token again, whatever response arrives later. Its resignation may therefore be
// trusted by a successor, which then acquires the leadership at once.
//
// The store may come back from an older copy and so lose writes that it has confirmed, the
// record's among them; it then begins a new era. The number of the era is part of each token,
// so that no token is given twice. A record whose token is of an earlier era says nothing
// about the writes that are lost: no node acquires the leadership on it before the leadership
// of every node of before the return has expired, except the leader itself, which writes
// the record again.
//
// Core does no I/O and is not safe for concurrent use. All times must come from
// one clock of this machine that also advances while the machine is suspended.
package leadership

import (
	"encoding/json"
	"fmt"
	"time"
)

// Record is the leadership record in the store.
type Record struct {
	Holder          string `json:"holder"`  // address of the leader's VM
	Token           uint64 `json:"token"`   // fencing token; increases each time the leadership is acquired, also by the same node
	Renewal         uint64 `json:"renewal"` // increases with each write
	AcquiredRenewal uint64 `json:"taken"`   // Renewal of the write by which the leader replaced another node, plus the number of its own acquisitions soon after
}

// Settings are the intervals and time limits of the leadership.
type Settings struct {
	RenewEvery     time.Duration // interval between renewals
	Validity       time.Duration // time for which a confirmed write is valid, from its sending
	OrderLease     time.Duration // minimum time between orders of two nodes to the same server
	MaxOrderDelay  time.Duration // maximum time from the decision to send an order to its arrival
	SuccessorDelay time.Duration // additional wait of a candidate per step of Peers.SuccessorPosition
	CallPause      time.Duration // minimum interval between store calls while not leading or after an unknown outcome
}

// DefaultSettings returns the default settings for the given OrderLease.
func DefaultSettings(orderLease time.Duration) Settings {
	return Settings{
		RenewEvery:     2250 * time.Millisecond,
		Validity:       9 * time.Second, // longer than most store outages; a leader that alone can't reach the store steps down
		OrderLease:     orderLease,
		MaxOrderDelay:  500 * time.Millisecond,
		SuccessorDelay: 600 * time.Millisecond,
		CallPause:      500 * time.Millisecond,
	}
}

// Peers is what a node knows of the other nodes when Tick decides.
type Peers struct {
	LeaderAlive       bool // another node currently reports that it is the leader
	SuccessorPosition int  // position of this node in the order of succession, from 0
	Eligible          bool // this node may be the leader: it is not about to stop
}

// ActionKind is the kind of store call that the caller has to make.
type ActionKind uint8

// Kinds of store calls.
const (
	NoCall ActionKind = iota // no store call is needed
	Read                     // read the record
	Write                    // write Action.Record
)

// Action is a call to the store. The caller passes its result to ReadDone or
// WriteDone.
type Action struct {
	Kind    ActionKind
	Record  Record // record to write
	Version uint64 // version that the object must have; zero if it must not exist
}

// Core is the state of one node in the leader election of one cell.
type Core struct {
	settings Settings
	self     string // address of this node

	callPending bool      // an action's result is awaited
	callSent    time.Time // when the last action was returned; a confirmed write is valid from then on

	recordKnown    bool // record and version are as last read or written
	record         Record
	version        uint64    // zero if the object does not exist
	unchangedSince time.Time // since when record and version are known to be unchanged

	takeover          uint64    // highest AcquiredRenewal of a record that this run tried to write or has seen as its node's own
	token             uint64    // highest token with which this node has led since its start; zero if none
	leading           bool      // this node leads with token until validUntil; once false, the token is given up for good
	validUntil        time.Time // when the leadership expires unless a renewal is confirmed
	stopping          bool      // this node is about to stop and must not lead again
	outcomeUnknown    bool      // a write's outcome is unknown
	unresolvedVersion uint64    // version that the last write with an unknown outcome expected; it may still be applied while the object has this version
	orders            orderTimes

	eraKnown  bool
	era       uint64    // highest era of the store that is known
	eraLeader time.Time // until then a node of before the era may lead, or order servers; zero if none can

	noLeaderSince time.Time
	startedAt     time.Time
	restarted     bool // an earlier run of this node, or other nodes, may have led before the start
	readOnStart   bool // this node has restarted and has not read the record since
}

// New returns the core of a node that is reached at the address self. If restarted
// is set, the node may be the leader already, from before a restart.
func New(now time.Time, self string, restarted bool, s Settings) *Core {
	return &Core{settings: s, self: self, noLeaderSince: now, startedAt: now, restarted: restarted, readOnStart: restarted, orders: newOrderTimes()}
}

// eraShift is the position of the era in a token. Tokens stay below 2^53, which JSON numbers hold
// exactly, for eras below 2^21.
const eraShift = 32

// firstEraWithin is the time after the first start of all nodes within which no node can have led and
// lost its record: an era that is seen by then began before.
const firstEraWithin = 200 * time.Millisecond

// eraOf returns the era in which a token was given.
func eraOf(token uint64) uint64 { return token >> eraShift }

// SawEra records the era of a response of the store; zero if the store has none. Call it before
// ReadDone and WriteDone, and pass these no result of an earlier era.
func (c *Core) SawEra(now time.Time, era uint64) {
	if c.eraKnown && era <= c.era {
		return
	}
	if c.eraKnown || c.restarted || now.Sub(c.startedAt) > firstEraWithin {
		// A leader of before has a write confirmed that was sent before the era began.
		c.eraLeader = now.Add(c.settings.successorWait())
	}
	rose := c.eraKnown
	c.eraKnown, c.era = true, era
	if rose {
		// The record may be an older one, at a version that was given before.
		c.recordKnown, c.outcomeUnknown = false, true
	}
}

// Era returns the highest era that is known; zero if the store has none.
func (c *Core) Era() uint64 { return c.era }

// ofEarlierEra reports whether the record as known says nothing about the leaders of before the
// present era: it does not exist, or its token was given in an earlier one.
func (c *Core) ofEarlierEra() bool { return eraOf(c.record.Token) < c.era }

// successorWait returns the time after which a leader whose last confirmed write was sent before has
// given up, and its orders are older than OrderLease.
func (s Settings) successorWait() time.Duration { return s.Validity + s.OrderLease + s.MaxOrderDelay }

// Authority returns the fencing token of this node's leadership and whether the
// node may order servers now. Before ordering a server, MayOrder must be checked
// too.
func (c *Core) Authority(now time.Time) (uint64, bool) { return c.token, c.Leading(now) }

// Leading reports whether this node is the leader, even if it may not order some
// servers yet.
func (c *Core) Leading(now time.Time) bool { return c.leading && now.Before(c.validUntil) }

// ValidFor returns how long the leadership remains valid without another renewal.
func (c *Core) ValidFor(now time.Time) time.Duration { return c.validUntil.Sub(now) }

// Token returns the highest fencing token with which this node has led since its
// start; zero if it has not led.
func (c *Core) Token() uint64 { return c.token }

// Resign gives up the leadership because this node is about to stop. The node does
// not acquire it again.
func (c *Core) Resign() { c.stopping, c.leading = true, false }

// StepDown gives up the leadership because other nodes reach the store and this node
// does not. The node may acquire it again with a new token.
func (c *Core) StepDown(now time.Time) {
	if c.leading {
		c.giveUp(now)
	}
}

// Tick returns the store call to make now.
func (c *Core) Tick(now time.Time, p Peers) Action {
	c.giveUpExpired(now)
	if c.callPending {
		return Action{}
	}
	if c.leading {
		return c.renew(now, p)
	}
	if c.readOnStart && p.Eligible && now.Sub(c.callSent) >= c.settings.CallPause {
		return c.call(now, Action{Kind: Read})
	}
	if c.recordKnown && c.record.Holder == c.self && c.version != 0 && p.Eligible && !c.stopping && !c.ofEarlierEra() && now.Sub(c.callSent) >= c.settings.CallPause {
		return c.acquire(now)
	}
	if p.LeaderAlive || !p.Eligible || c.stopping {
		c.noLeaderSince = now
		c.recordKnown = false
		return Action{}
	}
	if now.Sub(c.noLeaderSince) < time.Duration(p.SuccessorPosition)*c.settings.SuccessorDelay || now.Sub(c.callSent) < c.settings.CallPause {
		return Action{}
	}
	if !c.recordKnown {
		return c.call(now, Action{Kind: Read})
	}
	if now.Before(c.acquireFrom()) {
		return Action{}
	}
	return c.acquire(now)
}

// acquire returns the write that makes this node the leader.
func (c *Core) acquire(now time.Time) Action {
	return c.call(now, Action{Kind: Write, Record: c.nextRecord(), Version: c.version})
}

// acquireFrom returns the time from which this node may acquire the leadership. If
// the leader reported that it gave up the leadership, this is at once; then only
// orders to servers that it ordered recently are delayed.
func (c *Core) acquireFrom() time.Time {
	if c.ofEarlierEra() {
		// A late write may have put the record back while another node led.
		from := c.eraLeader
		if unchanged := c.unchangedSince.Add(c.settings.successorWait()); c.version != 0 && unchanged.After(from) {
			from = unchanged
		}
		return from
	}
	if c.version == 0 || c.record.Holder == c.self || c.hasResigned() {
		return time.Time{}
	}
	return c.unchangedSince.Add(c.settings.successorWait())
}

// nextRecord returns the record that makes this node the leader.
func (c *Core) nextRecord() Record {
	r := Record{Holder: c.self, Token: max(c.record.Token, c.era<<eraShift) + 1, Renewal: c.record.Renewal + 1, AcquiredRenewal: c.record.AcquiredRenewal}
	switch {
	case c.record.Holder != c.self:
		r.AcquiredRenewal = r.Renewal
	case c.record.Renewal < c.record.AcquiredRenewal+c.renewalsPastOrderLease():
		// This write can follow the one before sooner than RenewEvery, so it must
		// not count as a renewal since the takeover.
		r.AcquiredRenewal++
	}
	c.takeover = max(c.takeover, r.AcquiredRenewal)
	return r
}

// renewalsPastOrderLease returns the number of renewals, RenewEvery apart, after
// which the orders of the previous leader are older than OrderLease.
func (c *Core) renewalsPastOrderLease() uint64 {
	return uint64((c.settings.OrderLease+c.settings.MaxOrderDelay)/c.settings.RenewEvery) + 2
}

// renew returns the next call of the leader: a write that renews the record, or a
// read if the outcome of the last write is unknown.
func (c *Core) renew(now time.Time, p Peers) Action {
	if !p.Eligible {
		c.Resign()
		return Action{}
	}
	pause := c.settings.RenewEvery
	if c.outcomeUnknown {
		pause = c.settings.CallPause
	}
	if now.Sub(c.callSent) < pause {
		return Action{}
	}
	if c.outcomeUnknown {
		return c.call(now, Action{Kind: Read})
	}
	if c.ofEarlierEra() {
		return c.acquire(now)
	}
	next := c.record
	next.Renewal++
	return c.call(now, Action{Kind: Write, Record: next, Version: c.version})
}

// call records that the action is returned to the caller.
func (c *Core) call(now time.Time, a Action) Action {
	c.callPending, c.callSent = true, now
	return a
}

// ReadDone processes the result of a Read. Version zero means that no record
// exists. If err is not nil, r and version are ignored.
func (c *Core) ReadDone(now time.Time, r Record, version uint64, err error) {
	c.callPending = false
	if err != nil {
		return
	}
	if !c.recordKnown || version != c.version {
		c.unchangedSince = now
	}
	if r.Holder == c.self && r.AcquiredRenewal > c.takeover {
		c.delayAfterEarlierRun(now, r)
	}
	c.recordKnown, c.record, c.version, c.outcomeUnknown, c.readOnStart = true, r, version, false, false
	// No other node leads within this node's leadership on a record of an earlier era.
	stillLeader := r.Holder == c.self && r.Token == c.token || c.ofEarlierEra()
	if c.leading && !stillLeader {
		c.giveUp(now)
	}
}

// delayAfterEarlierRun handles a record that an earlier run of this node wrote: what
// that run knew of order times, of its own and of former leaders, is lost.
func (c *Core) delayAfterEarlierRun(now time.Time, r Record) {
	c.takeover = r.AcquiredRenewal
	ordersEnded := now.Add(c.settings.OrderLease + c.settings.MaxOrderDelay)
	c.orders.knownFrom = ordersEnded
	if r.Renewal < r.AcquiredRenewal+c.renewalsPastOrderLease() {
		// The earlier run acquired the leadership recently, perhaps from a leader
		// that had reported its last orders.
		c.orders.noneBefore = ordersEnded
	}
}

// WriteResult is the outcome of a write.
type WriteResult uint8

// Outcomes of writes.
const (
	Written  WriteResult = iota // the record was written
	Conflict                    // not written: the object does not have the expected version
	Failed                      // nothing was written
	Unknown                     // the outcome is unknown: the write may also be applied later
)

// WriteDone processes the result of a Write of the record r. If it was written,
// version is the object's new version.
func (c *Core) WriteDone(now time.Time, r Record, version uint64, result WriteResult) {
	c.callPending = false
	c.giveUpExpired(now)
	if result == Written && eraOf(r.Token) < c.era {
		// It was decided in an earlier era. It may have been lost, and its token is not the
		// highest.
		result = Unknown
	}
	switch result {
	case Written:
		c.recordKnown, c.outcomeUnknown = true, false
		c.record, c.version, c.unchangedSince = r, version, now
		c.confirmToken(now, r.Token)
	case Conflict:
		// The object was changed by another node, or by an earlier write of this one
		// that was applied late.
		if c.leading && c.unresolvedVersion != c.version {
			c.giveUp(now)
		}
		c.recordKnown, c.outcomeUnknown = false, true
	case Unknown:
		c.recordKnown, c.outcomeUnknown = false, true
		c.unresolvedVersion = c.version
	case Failed:
	}
}

// confirmToken begins the leadership with a new token or extends the present one,
// after the store has confirmed a write with the token. A token that was given up
// while the write was pending stays given up.
func (c *Core) confirmToken(now time.Time, token uint64) {
	isNew := token > c.token
	if !isNew && !c.leading {
		return
	}
	if isNew {
		c.delayOrders()
	}
	c.token, c.leading = token, !c.stopping
	// No successor acquires the leadership before validUntil: it has to read this
	// record, which was written after callSent, and then wait for longer than
	// Validity.
	c.validUntil = c.callSent.Add(c.settings.Validity)
	c.giveUpExpired(now)
}

// giveUpExpired gives up the leadership if it has expired.
func (c *Core) giveUpExpired(now time.Time) {
	if c.leading && !now.Before(c.validUntil) {
		c.giveUp(now)
	}
}

// giveUp ends the leadership for good; this node may acquire it again with a new
// token. The record may have changed since it was known, which a conditional write
// finds out.
func (c *Core) giveUp(now time.Time) {
	c.leading, c.recordKnown = false, true
	c.noLeaderSince = now
}

// Encode returns the record as it is stored.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r) }

// Decode returns the record that Encode encoded as value.
func Decode(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return r, fmt.Errorf("decode leadership record: %w", err)
	}
	return r, nil
}
