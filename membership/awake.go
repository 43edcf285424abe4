package membership

import (
	"time"
)

// wakeQuorum is the number of answers that do for a node that may not act yet,
// if none of those that answer may act either.
const wakeQuorum = 10

// startSettle is the time after the start of a process in which the node may
// not act, so that it hears of a running node of the same name.
const startSettle = 1500 * time.Millisecond

// wakeState says whether the node may act. It may not from its start, or from
// waking after a pause, until it has heard from others.
type wakeState struct {
	awake      bool
	since      time.Time // of the start or the last pause
	starting   bool      // whether the node has not been awake yet
	lastTick   time.Time
	answered   bool // whether a node that may act answered since
	superseded bool // whether another node took the name
}

// Awake reports whether the node may act on what it holds, such as its
// authority over a cell. It may not after its start, and after a pause of more
// than Settings.PauseLimit between ticks, until a ping sent since then was
// answered: by one node that may act, or by half of the members that are not
// known to be gone, of which ten do. A node that knows of no other waits
// Settings.AloneAfter.
func (c *Core) Awake(now time.Time) bool {
	return c.wake.awake && !c.wake.superseded && c.self.State != StateLeft && !c.late(now)
}

// late reports whether the last tick is so long ago that the node counts as
// paused.
func (c *Core) late(now time.Time) bool {
	return !c.wake.lastTick.IsZero() && now.Sub(c.wake.lastTick) > c.settings.PauseLimit
}

// noticePause handles waking: what the node measured before no longer holds.
func (c *Core) noticePause(now time.Time, out *Effects) {
	paused := c.late(now)
	c.wake.lastTick = now
	if !paused {
		return
	}
	c.wake.awake = false
	c.wake.answered = false
	c.wake.since = now
	c.startTimers(now)
	clear(c.probes)
	clear(c.relayed)
	for _, e := range c.order {
		e.answered = false
		e.silentSince = time.Time{}
		if e.State == StateSuspect {
			e.changedAt = now
		}
	}
	out.Events = append(out.Events, Event{Kind: EventPaused, Member: c.self, Was: c.self.Incarnation})
}

// settleAwake lets the node act once it has heard enough.
func (c *Core) settleAwake(now time.Time, out *Effects) {
	if c.wake.awake || c.wake.superseded || !c.heardEnough(now) {
		return
	}
	c.wake.awake = true
	c.wake.starting = false
	out.Events = append(out.Events, Event{Kind: EventAwake, Member: c.self, Was: c.self.Incarnation})
}

// heardEnough reports whether the node heard from those that Awake names.
func (c *Core) heardEnough(now time.Time) bool {
	age := now.Sub(c.wake.since)
	if c.wake.starting && age < startSettle {
		return false
	}
	if c.wake.answered {
		return true
	}
	others, answered := 0, 0
	for _, e := range c.order {
		if !reachable(e) {
			continue
		}
		others++
		if e.answered {
			answered++
		}
	}
	if others == 0 {
		return age >= c.settings.AloneAfter
	}
	return answered > 0 && (2*answered >= others || answered >= wakeQuorum)
}

// LastHeard returns when any other member was last heard from directly; zero
// if never.
func (c *Core) LastHeard() time.Time {
	var last time.Time
	for _, e := range c.order {
		if e.HeardAt.After(last) {
			last = e.HeardAt
		}
	}
	return last
}
