package lease

import (
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/invariant"
)

// decideAdvance takes office with an epoch granted in advance if the holder and
// all earlier successors have failed and the store is silent.
func (c *Core) decideAdvance(now time.Time) {
	if !c.known || c.failedSince.IsZero() || c.leaving || !c.isSuccessor() {
		return
	}
	unproven := c.silentSince.IsZero() && now.Sub(c.lastContact) >= c.cfg.StoreSilence/2
	if unproven && !c.mayClaim(now) {
		c.readWanted = true // a claim would find out whether the store answers, a read does too
	}
	if c.silentSince.IsZero() || now.Sub(c.silentSince) < c.cfg.StoreSilence {
		return
	}
	for _, s := range c.record.Successors {
		if s.Holder == c.self {
			c.advance = s.Epoch
			return
		}
		if !c.failed(s.Holder) {
			return
		}
	}
}

// Authority returns what this node may do now.
func (c *Core) Authority(now time.Time) Authority {
	a := Authority{
		Cell:         c.cell,
		StoreContact: c.storeContact(now),
		Rosters:      c.record.Rosters,
		Intents:      c.record.Intents,
	}
	a.Epoch, a.Holder = c.highest()
	switch {
	case c.ownsRecord():
		a.Epoch, a.Holder = c.record.Epoch, c.self
		a.InOffice = !c.stale && !c.handingOver()
	case c.advance != 0:
		a.Epoch, a.Holder = c.advance, c.self
		a.InOffice = true
		a.AdvanceRank = c.advanceRank()
	}
	a.InOffice = a.InOffice && c.fencedBy <= a.Epoch
	a.PredecessorStopped = a.InOffice && c.predecessorsStopped(a.AdvanceRank)
	a.SuccessorsAlive = c.successorsAlive()
	if a.InOffice {
		invariant.Check(a.Epoch >= c.lastEpoch, invariant.EpochMonotonic,
			"cell %s: in office with epoch %d after %d", c.cell, a.Epoch, c.lastEpoch)
		c.lastEpoch = a.Epoch
	}
	return a
}

func (c *Core) isSuccessor() bool {
	return slices.ContainsFunc(c.record.Successors, func(s Successor) bool { return s.Holder == c.self })
}

func (c *Core) storeContact(now time.Time) bool {
	return !c.lastContact.IsZero() && now.Sub(c.lastContact) <= c.cfg.StoreSilence
}

func (c *Core) handingOver() bool { return c.leaving && c.pending != nil }

func (c *Core) highest() (fleet.Epoch, Holder) {
	if c.hint.Epoch > c.record.Epoch {
		return c.hint.Epoch, c.hint.Holder
	}
	return c.record.Epoch, c.record.Holder
}

func (c *Core) advanceRank() int {
	for i, s := range c.record.Successors {
		if s.Holder == c.self {
			return i + 1
		}
	}
	return len(c.record.Successors)
}

func (c *Core) predecessorsStopped(rank int) bool {
	if rank > 0 {
		return len(c.predecessors()) == 0
	}
	for _, h := range c.record.Predecessors {
		if !c.stopped(h) {
			return false
		}
	}
	return true
}

func (c *Core) successorsAlive() bool {
	for _, s := range c.record.Successors {
		if !c.alive(s.Holder) && !c.stopped(s.Holder) {
			return false
		}
	}
	return true
}
