package lease

import (
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/invariant"
)

// usePregrantedEpoch makes this node active with the epoch granted to it in
// advance if the holder and all earlier successors have failed and calls to the
// object API have been failing for StoreTimeout.
func (c *Core) usePregrantedEpoch(now time.Time) {
	if !c.loaded || c.holderFailedSince.IsZero() || c.leaving || !c.isSuccessor() {
		return
	}
	contactUncertain := c.storeFailingSince.IsZero() && now.Sub(c.lastContact) >= c.cfg.StoreTimeout/2
	if contactUncertain && !c.mayClaim(now) {
		// The read shows whether the object API responds. If this node may claim the
		// cell, the claim shows it.
		c.readNeeded = true
	}
	if c.storeFailingSince.IsZero() || now.Sub(c.storeFailingSince) < c.cfg.StoreTimeout {
		return
	}
	for _, s := range c.record.Successors {
		if s.Holder == c.self {
			c.pregrantedEpoch = s.Epoch
			return
		}
		if !c.presumedFailed(s.Holder) {
			return
		}
	}
}

// Authority returns what this node may do now.
func (c *Core) Authority(now time.Time) Authority {
	a := Authority{
		Cell:         c.cell,
		StoreContact: c.hasStoreContact(now),
		ServerSets:   c.record.ServerSets,
		Intents:      c.record.Intents,
	}
	a.Epoch, a.Holder = c.highestEpoch()
	switch {
	case c.isHolder():
		a.Epoch, a.Holder = c.record.Epoch, c.self
		a.Active = !c.stale && !c.handingOver()
	case c.pregrantedEpoch != 0:
		a.Epoch, a.Holder = c.pregrantedEpoch, c.self
		a.Active = true
		a.SuccessorPosition = c.successorPosition()
	}
	a.Active = a.Active && c.fencedBy <= a.Epoch
	a.PredecessorsStopped = a.Active && c.predecessorsStopped(a.SuccessorPosition)
	a.SuccessorsAlive = c.successorsAlive()
	if a.Active {
		invariant.Check(a.Epoch >= c.lastActiveEpoch, invariant.EpochMonotonic,
			"cell %s: active with epoch %d after epoch %d", c.cell, a.Epoch, c.lastActiveEpoch)
		c.lastActiveEpoch = a.Epoch
	}
	return a
}

func (c *Core) isSuccessor() bool {
	return slices.ContainsFunc(c.record.Successors, func(s Successor) bool { return s.Holder == c.self })
}

// hasStoreContact reports whether the object API responded within StoreTimeout.
func (c *Core) hasStoreContact(now time.Time) bool {
	return !c.lastContact.IsZero() && now.Sub(c.lastContact) <= c.cfg.StoreTimeout
}

// handingOver reports whether a leaving node has a write in progress, which may
// give the cell to a successor.
func (c *Core) handingOver() bool { return c.leaving && c.pending != nil }

// highestEpoch returns the highest epoch known from the record or from other
// nodes, and its holder.
func (c *Core) highestEpoch() (fleet.Epoch, Holder) {
	if c.holderHint.Epoch > c.record.Epoch {
		return c.holderHint.Epoch, c.holderHint.Holder
	}
	return c.record.Epoch, c.record.Holder
}

// successorPosition returns the position of this node among the successors,
// starting at 1, or the last position if it is not among them.
func (c *Core) successorPosition() int {
	for i, s := range c.record.Successors {
		if s.Holder == c.self {
			return i + 1
		}
	}
	return len(c.record.Successors)
}

// predecessorsStopped reports whether every earlier holder is confirmed to have
// stopped. position is zero if this node holds the lease, else its position
// among the successors.
func (c *Core) predecessorsStopped(position int) bool {
	if position > 0 {
		return len(c.predecessors()) == 0
	}
	for _, h := range c.record.Predecessors {
		if !c.confirmedStopped(h) {
			return false
		}
	}
	return true
}

// successorsAlive reports whether every successor is alive or confirmed to have
// stopped. Any other one may become active without this node knowing.
func (c *Core) successorsAlive() bool {
	for _, s := range c.record.Successors {
		if !c.alive(s.Holder) && !c.confirmedStopped(s.Holder) {
			return false
		}
	}
	return true
}
