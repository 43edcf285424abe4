package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Limits of refusals.
const (
	maxBlocks  = 256             // refusals that a table holds
	trialAfter = 2 * time.Minute // time since the last end after which a request that is refused may run once; doubles with each trial
)

// Refusal is a set of traits: requests that hold all of them are refused.
type Refusal struct {
	Traits []Key     // sorted
	Last   time.Time // latest end of a server under them
	Ends   []End     // some of the ends under them; they explain the ends of other traits
}

// block is a refusal as the table keeps it.
type block struct {
	traits  []Key // sorted
	cause   Key   // the trait whose ends led to it; zero if another node decided
	last    time.Time
	ends    []End     // as another node told
	trials  int       // requests that were let through
	trialAt time.Time // when the last of them was
}

// matches reports whether the traits of a request include all of the block's.
func (b *block) matches(traits []Key) bool {
	return !slices.ContainsFunc(b.traits, func(k Key) bool { return !slices.Contains(traits, k) })
}

// until returns the time until which the block holds.
func (b *block) until() time.Time { return b.last.Add(RefuseFor) }

// Refused returns for how long a request with the traits is refused; zero if it is not.
func (t *Table) Refused(now time.Time, traits []Key) time.Duration {
	longest := time.Duration(0)
	for _, b := range t.blocks {
		if left := b.until().Sub(now); left > 0 && b.matches(traits) {
			longest = max(longest, left)
		}
	}
	return longest
}

// Trial reports whether a request with the traits may run although it is refused, to show
// whether the refusal is right. One node of a fleet calls it at a time.
func (t *Table) Trial(now time.Time, traits []Key) bool {
	var due []*block
	for _, b := range t.blocks {
		if !b.matches(traits) {
			continue
		}
		delay := min(RefuseFor, trialAfter<<min(b.trials, 4))
		if now.Sub(b.last) < delay || now.Sub(b.trialAt) < delay {
			return false
		}
		due = append(due, b)
	}
	for _, b := range due {
		b.trials++
		b.trialAt = now
	}
	return true
}

// Refuse records that another node refuses requests with the traits.
func (t *Table) Refuse(now time.Time, r Refusal) bool {
	if len(r.Traits) == 0 || slices.ContainsFunc(r.Traits, func(k Key) bool { at, known := t.answered[k]; return known && !at.Before(r.Last) }) {
		return false
	}
	b := &block{traits: slices.Sorted(slices.Values(r.Traits)), last: r.Last, ends: r.Ends[:min(len(r.Ends), maxEndsRetained)]}
	return !t.covered(b) && t.addBlock(now, b)
}

// refusal returns the block as it is told to other nodes.
func (t *Table) refusal(b *block) Refusal {
	ends := slices.Sorted(maps.Keys(t.endsOf(b)))
	return Refusal{Traits: b.traits, Last: b.last, Ends: ends[:min(len(ends), maxEndsRetained)]}
}

// addBlock adds a block and removes those that it covers. It reports whether it is new.
func (t *Table) addBlock(now time.Time, b *block) bool {
	for _, known := range t.blocks {
		if slices.Equal(known.traits, b.traits) {
			if b.last.After(known.last) {
				known.last = b.last
			}
			if known.cause == 0 {
				known.cause = b.cause
			}
			if len(b.ends) > len(known.ends) {
				known.ends = b.ends
			}
			return false
		}
		if known.matches(b.traits) {
			return false
		}
	}
	t.blocks = slices.DeleteFunc(t.blocks, func(known *block) bool { return b.matches(known.traits) })
	t.blocks = append(t.blocks, b)
	t.changes++
	if len(t.blocks) > maxBlocks {
		t.expire(now)
		t.dropOldestBlocks()
	}
	return true
}

// dropOldestBlocks removes blocks above maxBlocks, those with the oldest ends first.
func (t *Table) dropOldestBlocks() {
	slices.SortStableFunc(t.blocks, func(a, b *block) int { return b.last.Compare(a.last) })
	t.blocks = t.blocks[:min(len(t.blocks), maxBlocks)]
}

// expire removes the blocks that no longer hold.
func (t *Table) expire(now time.Time) {
	t.blocks = slices.DeleteFunc(t.blocks, func(b *block) bool { return !now.Before(b.until()) })
}

// unblock takes a trait with a response of the given time out of the blocks whose last end
// was before. It reports whether there were any.
func (t *Table) unblock(k Key, at time.Time) bool {
	found := false
	for _, b := range t.blocks {
		if i := slices.Index(b.traits, k); i >= 0 && !at.Before(b.last) {
			b.traits = slices.Delete(slices.Clone(b.traits), i, i+1)
			found = true
		}
	}
	if found {
		t.changes++
		t.blocks = slices.DeleteFunc(t.blocks, func(b *block) bool { return len(b.traits) == 0 })
	}
	return found
}

// refusesAlone reports whether the trait alone suffices for a refusal.
func (t *Table) refusesAlone(k Key) bool {
	return slices.ContainsFunc(t.blocks, func(b *block) bool { return len(b.traits) == 1 && b.traits[0] == k })
}

// Refusals returns up to limit refusals, the latest first.
func (t *Table) Refusals(now time.Time, limit int) []Refusal {
	var refusals []Refusal
	for _, b := range t.blocks {
		if now.Before(b.until()) {
			refusals = append(refusals, t.refusal(b))
		}
	}
	slices.SortFunc(refusals, func(a, b Refusal) int {
		return cmp.Or(b.Last.Compare(a.Last), slices.Compare(a.Traits, b.Traits))
	})
	return refusals[:min(limit, len(refusals))]
}
