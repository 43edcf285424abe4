package membership

import (
	"time"
)

// ackQuorum is the number of members whose ACKs suffice for a node to become
// awake if none of them is awake itself.
const ackQuorum = 10

// startupWait is the time after the start of a process during which the node may
// not act, so that it can detect a running node with the same ID.
const startupWait = 1500 * time.Millisecond

// awakeState holds what decides whether the node may act. After the start and
// after a pause it may not act until other nodes have acknowledged its pings.
type awakeState struct {
	confirmed  bool      // whether the conditions described at Awake were met after since
	since      time.Time // time of the start or of the end of the last pause
	starting   bool      // whether the node has not been awake since its start
	lastCall   time.Time // time of the last call of Tick or Receive
	acked      bool      // whether an awake node acknowledged a ping after since
	superseded bool      // whether another node with the same ID replaced this one, permanently
}

// Awake reports whether the node may act on what it holds, such as its
// authority over a cell. After the start, and after a pause of more than
// Settings.PauseLimit between calls of Tick or Receive, it returns false until
// pings sent since then are acknowledged by one awake node, by half of the
// members that are neither dead nor left, or by ten of them. A node that knows
// no such member waits for Settings.StandaloneTimeout. Awake returns false permanently
// once another node with the same ID has replaced this one or CompleteLeave was called.
func (c *Core) Awake(now time.Time) bool {
	return c.awake.confirmed && !c.awake.superseded && c.self.State != StateLeft && !c.isPaused(now)
}

// isPaused reports whether the last call of Tick or Receive is longer ago than
// Settings.PauseLimit.
func (c *Core) isPaused(now time.Time) bool {
	return !c.awake.lastCall.IsZero() && now.Sub(c.awake.lastCall) > c.settings.PauseLimit
}

// detectPause records the time of the call. After a pause it resets the awake
// state, probes and timers, as times measured across a pause are not valid.
func (c *Core) detectPause(now time.Time, out *Effects) {
	paused := c.isPaused(now)
	c.awake.lastCall = now
	if !paused {
		return
	}
	c.awake.confirmed = false
	c.awake.acked = false
	c.awake.since = now
	c.startTimers(now)
	clear(c.probes)
	clear(c.relays)
	for _, e := range c.order {
		e.acked = false
		e.unresponsiveSince = time.Time{}
		if e.State == StateSuspect {
			e.stateChangedAt = now
		}
	}
	out.Events = append(out.Events, Event{Kind: EventPaused, Member: c.self, PreviousIncarnation: c.self.Incarnation})
}

// updateConfirmed marks the node as awake once contactConfirmed returns true.
func (c *Core) updateConfirmed(now time.Time, out *Effects) {
	if c.awake.confirmed || c.awake.superseded || !c.contactConfirmed(now) {
		return
	}
	c.awake.confirmed = true
	c.awake.starting = false
	out.Events = append(out.Events, Event{Kind: EventAwake, Member: c.self, PreviousIncarnation: c.self.Incarnation})
}

// contactConfirmed reports whether the conditions described at Awake are met.
func (c *Core) contactConfirmed(now time.Time) bool {
	age := now.Sub(c.awake.since)
	if c.awake.starting && age < startupWait {
		return false
	}
	if c.awake.acked {
		return true
	}
	others, acked := 0, 0
	for _, e := range c.order {
		if !reachable(e) {
			continue
		}
		others++
		if e.acked {
			acked++
		}
	}
	if others == 0 {
		return age >= c.settings.StandaloneTimeout
	}
	return acked > 0 && (2*acked >= others || acked >= ackQuorum)
}

// LastPeerContact returns the time of the last packet received directly from any other
// member; zero if there was none.
func (c *Core) LastPeerContact() time.Time {
	var last time.Time
	for _, e := range c.order {
		if e.LastContact.After(last) {
			last = e.LastContact
		}
	}
	return last
}
