package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// successorCount is the number of nodes granted an epoch in advance.
const successorCount = 2

// Tick returns the store calls to make now.
func (c *Core) Tick(now time.Time) Effects {
	c.noteFailure(now)
	c.decideAdvance(now)
	if c.reading || (c.pending != nil && c.pending.sent) {
		return Effects{}
	}
	if c.mustRead(now) {
		c.reading = true
		c.lastRead = now
		return Effects{Read: true}
	}
	if c.pending == nil && c.known && !c.stale && !c.readWanted {
		c.pending = c.nextWrite(now)
	}
	return Effects{Write: c.send(now)}
}

// mustRead reports whether a read is due. The holder reads only if nothing
// else proved contact with the store.
func (c *Core) mustRead(now time.Time) bool {
	if now.Sub(c.lastRead) < c.cfg.ReadInterval {
		return false
	}
	if c.readWanted || c.pending != nil && c.pending.unknown {
		return true
	}
	return c.ownsRecord() && now.Sub(c.lastContact) >= c.cfg.StoreSilence/2
}

func (c *Core) send(now time.Time) *Write {
	if c.pending == nil || c.pending.unknown {
		return nil
	}
	c.pending.sent = true
	c.pending.sentAt = now
	c.pending.attempts++
	w := c.pending.Write
	return &w
}

// nextWrite returns the update that the record needs from this node, if any.
func (c *Core) nextWrite(now time.Time) *pendingWrite {
	var r Record
	switch {
	case c.ownsRecord() && c.leaving:
		if !c.handover(&r) {
			return nil
		}
	case c.mayClaim(now):
		r = c.claim()
	case c.ownsRecord() && !c.fenced():
		if !c.update(&r) {
			return nil
		}
	default:
		return nil
	}
	w := Write{Value: r.encode(), Expect: c.version, Writer: c.nextWriter()}
	return &pendingWrite{Write: w, record: r}
}

func (c *Core) ownsRecord() bool { return c.known && c.version != 0 && c.record.Holder == c.self }

func (c *Core) fenced() bool { return c.fencedBy > c.record.Epoch }

// mayClaim reports whether this node should write a claim now.
func (c *Core) mayClaim(now time.Time) bool {
	if c.leaving {
		return false
	}
	if c.version != 0 && c.record.Holder == c.self {
		return c.fenced() && now.Sub(c.fencedAt) >= c.cfg.ReclaimDelay
	}
	if c.advance != 0 {
		return true
	}
	if c.failedSince.IsZero() {
		return false
	}
	delay := time.Duration(c.claimPosition()) * c.cfg.ClaimStagger
	return now.Sub(c.failedSince) >= delay
}

// claimPosition orders the live members as claimants, successors first, so that
// they do not all write at once. A conflict is harmless.
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
	for _, m := range c.ranked() {
		if m.Node == c.self.Node {
			return position
		}
		position++
	}
	return position
}

// ranked returns the live members that do not leave, by rendezvous hash.
func (c *Core) ranked() []Member {
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

func (c *Core) alive(h Holder) bool {
	m, ok := c.members[h.Node]
	return ok && m.Incarnation == h.Incarnation && (m.State == MemberAlive || m.State == MemberLeaving)
}

// failed reports whether h no longer acts as far as membership tells. It may
// be paused or cut off.
func (c *Core) failed(h Holder) bool {
	if h == c.self {
		return false
	}
	if h.Node == c.self.Node {
		return h.Incarnation < c.self.Incarnation
	}
	m, ok := c.members[h.Node]
	return !ok || m.Incarnation > h.Incarnation || m.State >= MemberLeft
}

// stopped reports whether the run h is known to have ended for good.
func (c *Core) stopped(h Holder) bool {
	if h.Node == c.self.Node {
		return h.Incarnation < c.self.Incarnation
	}
	m, ok := c.members[h.Node]
	if !ok {
		return false
	}
	return m.Incarnation > h.Incarnation || m.State == MemberGone || m.State == MemberLeft
}

// noteFailure keeps the time since when no live node holds the cell.
func (c *Core) noteFailure(now time.Time) {
	failed := c.known && (c.version == 0 || c.failed(c.record.Holder) && !c.provenAlive(now, c.record.Holder))
	if !failed || len(c.members) == 0 {
		c.failedSince = time.Time{}
		return
	}
	if c.failedSince.IsZero() {
		c.failedSince = now
	}
}

// provenAlive reports whether the holder's own claim, just seen, outweighs that
// membership does not reach it. Otherwise two parts of a partition that both
// reach the store would take the cell from each other in turn.
func (c *Core) provenAlive(now time.Time, h Holder) bool {
	m, ok := c.members[h.Node]
	replaced := ok && m.Incarnation > h.Incarnation
	left := ok && (m.State == MemberLeft || m.State == MemberGone)
	return !replaced && !left && !c.claimedAt.IsZero() && now.Sub(c.claimedAt) < c.cfg.ClaimGrace
}

// claim returns a record with this node as holder and an epoch above all
// granted.
func (c *Core) claim() Record {
	r := c.record
	r.Predecessors = c.predecessors()
	r.Holder = c.self
	r.Epoch = c.nextEpoch()
	r.Granted = r.Epoch
	r.grantSuccessors(c.chooseSuccessors(c.self))
	return r
}

func (c *Core) nextEpoch() fleet.Epoch {
	return max(c.record.Granted, c.fencedBy, c.hint.Epoch, c.lastEpoch) + 1
}

// predecessors returns the runs that may have acted before this node and are
// not known to have stopped.
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
	return slices.DeleteFunc(before, func(h Holder) bool { return h == c.self || c.stopped(h) })
}

func (r *Record) grantSuccessors(nodes []Member) {
	r.Successors = nil
	for _, m := range nodes {
		r.Granted++
		h := Holder{Node: m.Node, Incarnation: m.Incarnation}
		r.Successors = append(r.Successors, Successor{Holder: h, Epoch: r.Granted})
	}
}

// chooseSuccessors prefers availability zones other than the holder's and each
// other's.
func (c *Core) chooseSuccessors(holder Holder) []Member {
	used := map[fleet.AvailabilityZone]bool{c.members[holder.Node].Zone: true}
	var chosen, rest []Member
	for _, m := range c.ranked() {
		if m.Node == holder.Node || m.State != MemberAlive {
			continue
		}
		if used[m.Zone] {
			rest = append(rest, m)
			continue
		}
		used[m.Zone] = true
		chosen = append(chosen, m)
	}
	chosen = append(chosen, rest...)
	return chosen[:min(successorCount, len(chosen))]
}

// handover fills in a record that gives the cell to the first live successor.
func (c *Core) handover(r *Record) bool {
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

// update fills in a record with the wanted roster and intents and live
// successors, if it differs from the current one.
func (c *Core) update(r *Record) bool {
	*r = c.record
	changed := false
	if c.wanted != nil && !sameWanted(*c.wanted, c.record) {
		r.Rosters, r.Intents = c.wanted.Rosters, c.wanted.Intents
		changed = true
	}
	if c.successorsNeeded() {
		r.grantSuccessors(c.chooseSuccessors(c.self))
		changed = true
	}
	if kept := c.predecessors(); len(kept) < len(c.record.Predecessors) && changed {
		r.Predecessors = slices.DeleteFunc(kept, func(h Holder) bool {
			return !slices.Contains(c.record.Predecessors, h)
		})
	}
	return changed
}

func (c *Core) successorsNeeded() bool {
	living := 0
	for _, s := range c.record.Successors {
		if !c.failed(s.Holder) {
			living++
		}
	}
	return living < min(successorCount, len(c.chooseSuccessors(c.self)))
}

func sameWanted(w Wanted, r Record) bool {
	return slices.Equal(w.Intents, r.Intents) &&
		slices.EqualFunc(w.Rosters, r.Rosters, Roster.Equal)
}
