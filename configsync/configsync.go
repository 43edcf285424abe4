// Package configsync decides how an entry node follows the operators' desired state in
// the platform's store: when it reads, when it watches, and how old the latest
// confirmation that no newer version exists may become. The end of a silent watch
// says nothing: only a response of the store confirms a version. Core does no I/O,
// takes the time as a parameter and is not safe for concurrent use.
package configsync

import "time"

// Shares of Settings.ApplyTimeout. A change that is confirmed just after a watch's path
// died is read by the end of that watch at the confirming node, and by maxAgeShare plus
// one read at the others.
const (
	confirmWaitShare = 0.4  // wait of a watch of the confirming node
	watchMarginShare = 0.2  // time after a watch's wait by which its response must have arrived
	minAgeShare      = 0.6  // age of the confirmation at which the first node reads by itself, before it tells the others
	maxAgeShare      = 0.75 // the same for the last node
)

// Times that do not depend on Settings.
const (
	minReadGap        = 100 * time.Millisecond  // least time between two reads
	retryDelay        = 400 * time.Millisecond  // delay after a failed call
	relaxedRetryDelay = 1500 * time.Millisecond // delay after the second and each further consecutive failed call at nodes that do not confirm
)

// Settings holds the bounds that the core keeps.
type Settings struct {
	ApplyTimeout time.Duration // time within which an acknowledged version must be in force
	Spread       float64       // from 0 to 1, differs from node to node: when the node reads by itself compared to others
}

// Core is the state of one node. Use New.
type Core struct {
	settings   Settings
	inForce    uint64    // version in force; zero if there is none
	known      uint64    // highest version known to exist
	knownSince time.Time // when this node learned of known
	confirmed  time.Time // latest time as of which the store is known to hold no version above inForce
	ownAsOf    time.Time // the same by calls of this node only; zero if there was none
	revision   uint64    // store revision from which to watch; zero to read first
	failures   int       // consecutive failed calls
	nextRead   time.Time // no read is sent before this time
	nextWatch  time.Time // no watch is sent before this time
	reading    bool      // a read is in flight
	watching   bool      // a watch is in flight
	requested  bool      // a read was requested that has not been sent
	behind     bool      // a read that was sent after known was learned of has returned no version as high
	watchWait  time.Duration
}

// New returns the core of a node that has just started.
func New(now time.Time, s Settings) *Core { return &Core{settings: s, confirmed: now} }

// Actions are the calls that a node makes next.
type Actions struct {
	Read  bool // read the desired state, over a new connection
	Watch *Watch
}

// Watch is a watch for changes of the desired state.
type Watch struct {
	Revision uint64        // store revision after which changes are returned
	Wait     time.Duration // time after which the store responds without a change
	Timeout  time.Duration // time without a response after which the watch has failed
}

// share returns a part of the apply timeout.
func (c *Core) share(of float64) time.Duration {
	return time.Duration(of * float64(c.settings.ApplyTimeout))
}

// Tick returns the calls that are due. One node of those that reach each other watches and
// so confirms for all; the others read what it tells them of, or once it is silent.
func (c *Core) Tick(now time.Time, confirms bool) Actions {
	var a Actions
	stale := now.Sub(c.confirmed) >= c.share(minAgeShare+(maxAgeShare-minAgeShare)*c.settings.Spread)
	if !c.reading && !now.Before(c.nextRead) && (c.revision == 0 || c.known > c.inForce || stale || c.requested) {
		c.reading, c.requested, a.Read = true, false, true
	}
	switch {
	case c.watching:
	case confirms && c.revision != 0 && !now.Before(c.nextWatch):
		c.watching, c.watchWait = true, c.share(confirmWaitShare)
		a.Watch = &Watch{Revision: c.revision, Wait: c.watchWait, Timeout: c.watchWait + c.share(watchMarginShare)}
	}
	return a
}

// RequestRead lets a read be sent as soon as none is in flight and no failed one delays it.
func (c *Core) RequestRead() { c.requested = true }

// ReadDone handles the end of a read that was sent at the given time. What it returned has
// been put in force; the revision is that of the store.
func (c *Core) ReadDone(now, sent time.Time, revision uint64, err error, confirms bool) {
	c.reading = false
	if err != nil {
		c.fail(now, confirms)
		return
	}
	c.failures, c.nextRead = 0, now.Add(minReadGap)
	if c.known > c.inForce {
		c.nextRead = now.Add(retryDelay)
	}
	c.revision = max(c.revision, revision)
	c.behind = c.BehindAsOf(sent)
	c.confirmOwn(sent)
}

// BehindAsOf reports whether the store holds an older version than other nodes have in force, by a read
// that was sent at the given time and has been put in force: the store came back from an older copy.
func (c *Core) BehindAsOf(sent time.Time) bool {
	return c.known > c.inForce && c.knownSince.Before(sent)
}

// StoreBehind reports the same by the latest read. The version in force here may allow what the newest
// one does not.
func (c *Core) StoreBehind() bool { return c.behind && c.known > c.inForce }

// WatchDone handles the end of a watch that was sent at the given time. changed says
// that it returned changes, which have been put in force; without one the store
// responded at the end of the wait.
func (c *Core) WatchDone(now, sent time.Time, revision uint64, changed bool, err error) {
	c.watching = false
	if err != nil {
		// The path may be dead for all calls on it. A read over a new connection
		// shows what was missed.
		c.revision, c.nextWatch = 0, now.Add(retryDelay)
		return
	}
	c.failures = 0
	c.revision = max(c.revision, revision)
	asOf := sent
	if !changed {
		if asOf = sent.Add(c.watchWait); now.Before(asOf) {
			asOf = now
		}
	}
	c.confirmOwn(asOf)
}

// Compacted handles a watch whose history the store no longer has.
func (c *Core) Compacted() { c.watching, c.revision = false, 0 }

// fail delays the next read after a failed call.
func (c *Core) fail(now time.Time, confirms bool) {
	c.failures++
	delay := retryDelay
	if c.failures > 1 && !confirms {
		delay = relaxedRetryDelay
	}
	c.nextRead = now.Add(delay)
}

// confirm records that the store held no version above the one in force as of the time.
func (c *Core) confirm(asOf time.Time) {
	if asOf.After(c.confirmed) {
		c.confirmed = asOf
	}
}

// confirmOwn records the same for a response of the store to this node.
func (c *Core) confirmOwn(asOf time.Time) {
	c.confirm(asOf)
	if asOf.After(c.ownAsOf) {
		c.ownAsOf = asOf
	}
}

// OwnConfirmedAge returns how long ago the store last confirmed the version in force to this node
// itself; false if it never did. Nodes tell each other no other age: one that is passed on loses
// the time of each message, and never grows old among many nodes.
func (c *Core) OwnConfirmedAge(now time.Time) (time.Duration, bool) {
	return now.Sub(c.ownAsOf), !c.ownAsOf.IsZero()
}

// PutInForce records that a version is in force.
func (c *Core) PutInForce(now time.Time, version uint64) {
	c.inForce = max(c.inForce, version)
	c.note(now, version)
}

// note records that a version exists.
func (c *Core) note(now time.Time, version uint64) {
	if version > c.known {
		c.known, c.knownSince = version, now
	}
}

// PeerReported handles a node's report that it has the version in force. confirmedAge is
// how long before that the version was confirmed as the newest, negative if unknown.
func (c *Core) PeerReported(now time.Time, version uint64, confirmedAge time.Duration) {
	if version > c.known {
		c.nextRead = now // another node has just read it, so the store responds
	}
	c.note(now, version)
	if confirmedAge >= 0 && version != 0 && version <= c.inForce {
		c.confirm(now.Add(-confirmedAge))
	}
}

// Status says how current the version in force is.
type Status struct {
	Version      uint64        // version in force; zero if there is none
	Newest       uint64        // highest version known to exist
	ConfirmedAge time.Duration // time since the store confirmed that no newer version exists
	Behind       time.Duration // time for which a newer version has been known; zero if none is
	Stale        bool          // ConfirmedAge exceeds Settings.ApplyTimeout
	Failing      bool          // the latest call failed
}

// Status returns how current the version in force is.
func (c *Core) Status(now time.Time) Status {
	s := Status{Version: c.inForce, Newest: c.known, ConfirmedAge: now.Sub(c.confirmed), Failing: c.failures > 0}
	s.Stale = s.ConfirmedAge > c.settings.ApplyTimeout
	if c.known > c.inForce {
		s.Behind = now.Sub(c.knownSince)
	}
	return s
}
