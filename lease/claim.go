package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// successorCount is the maximum number of nodes granted an epoch in advance.
const successorCount = 2

// Tick updates the state to the given time and returns the calls to the object
// API to make now.
func (c *Core) Tick(now time.Time) Effects {
	c.updateHolderFailure(now)
	c.usePregrantedEpoch(now)
	if c.readInFlight || (c.pending != nil && c.pending.inFlight) {
		return Effects{}
	}
	if c.shouldRead(now) {
		c.readInFlight, c.readAtOnce = true, false
		c.lastReadSent = now
		return Effects{Read: true}
	}
	if c.pending == nil && c.loaded && !c.stale && !c.readNeeded {
		c.pending = c.nextWrite(now)
	}
	return Effects{Write: c.sendPending(now)}
}

// shouldRead reports whether to read the lease object now. Unless a read is
// needed for another reason, the holder reads only if no other call has shown
// contact with the object API for half of StoreTimeout.
func (c *Core) shouldRead(now time.Time) bool {
	if now.Sub(c.lastReadSent) < c.cfg.ReadInterval && !c.readAtOnce {
		return false
	}
	if c.readNeeded || c.pending != nil && c.pending.outcomeUnknown {
		return true
	}
	return c.isHolder() && now.Sub(c.lastContact) >= c.cfg.StoreTimeout/2
}

// sendPending returns the pending write to send now, if any.
func (c *Core) sendPending(now time.Time) *Write {
	if c.pending == nil || c.pending.outcomeUnknown {
		return nil
	}
	c.pending.inFlight = true
	c.pending.sentAt = now
	c.pending.attempts++
	w := c.pending.Write
	return &w
}

// nextWrite returns the next write that this node should make to the lease
// object, or nil.
func (c *Core) nextWrite(now time.Time) *pendingWrite {
	var r Record
	switch {
	case c.isHolder() && c.leaving:
		if !c.handoverRecord(&r) {
			return nil
		}
	case c.mayClaim(now):
		r = c.claimRecord()
	case c.isHolder() && !c.fenced():
		if !c.updatedRecord(&r) {
			return nil
		}
	default:
		return nil
	}
	w := Write{Value: r.encode(), Expect: c.version, Writer: c.nextWriterID()}
	return &pendingWrite{Write: w, record: r}
}

// isHolder reports whether the record names this run of the node as holder.
func (c *Core) isHolder() bool { return c.loaded && c.version != 0 && c.record.Holder == c.self }

// fenced reports whether an engine has reported an epoch above the record's.
func (c *Core) fenced() bool { return c.fencedBy > c.record.Epoch }

// mayClaim reports whether this node should write a claim now.
func (c *Core) mayClaim(now time.Time) bool {
	if c.leaving {
		return false
	}
	if c.version != 0 && c.record.Holder == c.self {
		return c.fenced() && now.Sub(c.fencedAt) >= c.cfg.ReclaimDelay
	}
	if c.pregrantedEpoch != 0 {
		return true
	}
	if c.holderFailedSince.IsZero() {
		return false
	}
	delay := time.Duration(c.claimPosition()) * c.cfg.ClaimStagger
	return now.Sub(c.holderFailedSince) >= delay
}

// claimPosition returns this node's position in the order in which live members
// claim the cell, successors first, so that they do not all write at once. A
// write conflict is harmless.
func (c *Core) claimPosition() int {
	position := 0
	for _, s := range c.record.Successors {
		if s.Holder == c.self {
			return position
		}
		if c.alive(s.Holder) {
			position++
		}
	}
	for _, m := range c.rankedMembers() {
		if m.Node == c.self.Node {
			return position
		}
		position++
	}
	return position
}

// rankedMembers returns the live members that are not leaving, and this node,
// ordered by rendezvous hash weight, highest first.
func (c *Core) rankedMembers() []Member {
	var live []Member
	for _, m := range c.members {
		if m.State == MemberAlive || m.Node == c.self.Node {
			live = append(live, m)
		}
	}
	weight := func(m Member) uint64 { return xxhash.Sum64String(string(c.cell) + "/" + string(m.Node)) }
	slices.SortFunc(live, func(a, b Member) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.Node, b.Node))
	})
	return live
}

// alive reports whether membership lists this run of the node as alive or leaving.
func (c *Core) alive(h Holder) bool {
	m, ok := c.members[h.Node]
	return ok && m.Incarnation == h.Incarnation && (m.State == MemberAlive || m.State == MemberLeaving)
}

// presumedFailed reports whether h has stopped or is unreachable according to
// membership. It may still run, paused or partitioned from this node.
func (c *Core) presumedFailed(h Holder) bool {
	if h == c.self {
		return false
	}
	if h.Node == c.self.Node {
		return h.Incarnation < c.self.Incarnation
	}
	m, ok := c.members[h.Node]
	return !ok || m.Incarnation > h.Incarnation || m.State >= MemberLeft
}

// confirmedStopped reports whether the run h is known to have ended.
func (c *Core) confirmedStopped(h Holder) bool {
	if h.Node == c.self.Node {
		return h.Incarnation < c.self.Incarnation
	}
	m, ok := c.members[h.Node]
	if !ok {
		return false
	}
	return m.Incarnation > h.Incarnation || m.State == MemberVMRemoved || m.State == MemberLeft
}

// updateHolderFailure updates holderFailedSince, the time since which the cell has
// had no holder or one that is presumed failed. It is zero while the holder counts
// as alive or no members are known.
func (c *Core) updateHolderFailure(now time.Time) {
	presumedFailed := c.loaded && (c.version == 0 || c.presumedFailed(c.record.Holder) && !c.withinClaimGrace(now, c.record.Holder))
	if !presumedFailed || len(c.members) == 0 {
		c.holderFailedSince = time.Time{}
		return
	}
	if c.holderFailedSince.IsZero() {
		c.holderFailedSince = now
	}
}

// withinClaimGrace reports whether the holder counts as alive because of its
// recent claim, although membership does not reach it. Without this rule, two
// sides of a network partition that both reach the object API would keep claiming
// the cell from each other.
func (c *Core) withinClaimGrace(now time.Time, h Holder) bool {
	m, ok := c.members[h.Node]
	replaced := ok && m.Incarnation > h.Incarnation
	left := ok && (m.State == MemberLeft || m.State == MemberVMRemoved)
	return !replaced && !left && !c.claimSeenAt.IsZero() && now.Sub(c.claimSeenAt) < c.cfg.ClaimGrace
}

// claimRecord returns a record with this node as holder and an epoch above all
// granted ones.
func (c *Core) claimRecord() Record {
	r := c.record
	r.Predecessors = c.predecessors()
	r.Holder = c.self
	r.Epoch = c.nextEpoch()
	r.Granted = r.Epoch
	r.grantSuccessors(c.chooseSuccessors(c.self))
	return r
}

// nextEpoch returns an epoch above every epoch known to this node.
func (c *Core) nextEpoch() fleet.Epoch {
	return max(c.record.Granted, c.fencedBy, c.holderHint.Epoch, c.lastActiveEpoch) + 1
}

// predecessors returns the runs of nodes that may have been active before this
// node and are not confirmed to have stopped.
func (c *Core) predecessors() []Holder {
	before := slices.Clone(c.record.Predecessors)
	if c.version != 0 {
		before = append(before, c.record.Holder)
	}
	for _, s := range c.record.Successors {
		if s.Holder == c.self {
			break
		}
		before = append(before, s.Holder)
	}
	slices.SortFunc(before, func(a, b Holder) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	before = slices.Compact(before)
	return slices.DeleteFunc(before, func(h Holder) bool { return h == c.self || c.confirmedStopped(h) })
}

// grantSuccessors replaces the successors and grants each a new epoch.
func (r *Record) grantSuccessors(members []Member) {
	r.Successors = nil
	for _, m := range members {
		r.Granted++
		h := Holder{Node: m.Node, Incarnation: m.Incarnation}
		r.Successors = append(r.Successors, Successor{Holder: h, Epoch: r.Granted})
	}
}

// chooseSuccessors returns up to successorCount live members as successors of
// the holder. It prefers members in availability zones that differ from the
// holder's and from each other's.
func (c *Core) chooseSuccessors(holder Holder) []Member {
	usedZones := map[fleet.AvailabilityZone]bool{c.members[holder.Node].Zone: true}
	var chosen, rest []Member
	for _, m := range c.rankedMembers() {
		if m.Node == holder.Node || m.State != MemberAlive {
			continue
		}
		if usedZones[m.Zone] {
			rest = append(rest, m)
			continue
		}
		usedZones[m.Zone] = true
		chosen = append(chosen, m)
	}
	chosen = append(chosen, rest...)
	return chosen[:min(successorCount, len(chosen))]
}

// handoverRecord sets r to a record with the first live successor as holder. It
// returns false if there is none.
func (c *Core) handoverRecord(r *Record) bool {
	for _, s := range c.record.Successors {
		m, ok := c.members[s.Node]
		if !ok || m.Incarnation != s.Incarnation || m.State != MemberAlive {
			continue
		}
		*r = c.record
		r.Holder = s.Holder
		r.Epoch = c.nextEpoch()
		r.Granted = r.Epoch
		r.grantSuccessors(slices.DeleteFunc(c.chooseSuccessors(s.Holder), func(m Member) bool {
			return m.Node == c.self.Node
		}))
		return true
	}
	return false
}

// updatedRecord sets r to the current record with the desired server set and
// intents, and with new successors if needed. It reports whether r differs from
// the current record.
func (c *Core) updatedRecord(r *Record) bool {
	*r = c.record
	changed := false
	if c.desired != nil && !matchesDesired(*c.desired, c.record) {
		r.ServerSets, r.Intents = c.desired.ServerSets, c.desired.Intents
		changed = true
	}
	if c.needsSuccessors() {
		r.grantSuccessors(c.chooseSuccessors(c.self))
		changed = true
	}
	if remaining := c.predecessors(); len(remaining) < len(c.record.Predecessors) && changed {
		r.Predecessors = slices.DeleteFunc(remaining, func(h Holder) bool {
			return !slices.Contains(c.record.Predecessors, h)
		})
	}
	return changed
}

// needsSuccessors reports whether a successor has failed and another member can
// replace it.
func (c *Core) needsSuccessors() bool {
	live := 0
	for _, s := range c.record.Successors {
		if !c.presumedFailed(s.Holder) {
			live++
		}
	}
	return live < min(successorCount, len(c.chooseSuccessors(c.self)))
}

// matchesDesired reports whether the record stores the desired state.
func matchesDesired(desired DesiredRecord, r Record) bool {
	return slices.Equal(desired.Intents, r.Intents) &&
		slices.EqualFunc(desired.ServerSets, r.ServerSets, ServerSet.Equal)
}
