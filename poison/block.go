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
func (v *block) matches(traits []Key) bool {
	return !slices.ContainsFunc(v.traits, func(k Key) bool { return !slices.Contains(traits, k) })
}

// until returns the time until which the block holds.
func (v *block) until() time.Time { return v.last.Add(RefuseFor) }

// Refused returns for how long a request with the traits is refused; zero if it is not.
func (t *Table) Refused(now time.Time, traits []Key) time.Duration {
	longest := time.Duration(0)
	for _, v := range t.blocks {
		if left := v.until().Sub(now); left > 0 && v.matches(traits) {
			longest = max(longest, left)
		}
	}
	return longest
}

// Trial reports whether a request with the traits may run although it is refused, to show
// whether the refusal is right. One node of a fleet calls it at a time.
func (t *Table) Trial(now time.Time, traits []Key) bool {
	var due []*block
	for _, v := range t.blocks {
		if !v.matches(traits) {
			continue
		}
		delay := min(RefuseFor, trialAfter<<min(v.trials, 4))
		if now.Sub(v.last) < delay || now.Sub(v.trialAt) < delay {
			return false
		}
		due = append(due, v)
	}
	for _, v := range due {
		v.trials++
		v.trialAt = now
	}
	return true
}

// Refuse records that another node refuses requests with the traits.
func (t *Table) Refuse(now time.Time, r Refusal) bool {
	if len(r.Traits) == 0 || slices.ContainsFunc(r.Traits, func(k Key) bool { at, known := t.answered[k]; return known && !at.Before(r.Last) }) {
		return false
	}
	v := &block{traits: slices.Sorted(slices.Values(r.Traits)), last: r.Last, ends: r.Ends[:min(len(r.Ends), maxEndsRetained)]}
	return !t.covered(v) && t.addBlock(now, v)
}

// refusal returns the block as it is told to other nodes.
func (t *Table) refusal(v *block) Refusal {
	ends := slices.Sorted(maps.Keys(t.endsOf(v)))
	return Refusal{Traits: v.traits, Last: v.last, Ends: ends[:min(len(ends), maxEndsRetained)]}
}

// addBlock adds a block and removes those that it covers. It reports whether it is new.
func (t *Table) addBlock(now time.Time, v *block) bool {
	for _, known := range t.blocks {
		if slices.Equal(known.traits, v.traits) {
			if v.last.After(known.last) {
				known.last = v.last
			}
			if known.cause == 0 {
				known.cause = v.cause
			}
			if len(v.ends) > len(known.ends) {
				known.ends = v.ends
			}
			return false
		}
		if known.matches(v.traits) {
			return false
		}
	}
	t.blocks = slices.DeleteFunc(t.blocks, func(known *block) bool { return v.matches(known.traits) })
	t.blocks = append(t.blocks, v)
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
	t.blocks = slices.DeleteFunc(t.blocks, func(v *block) bool { return !now.Before(v.until()) })
}

// unblock takes a trait with a response of the given time out of the blocks whose last end
// was before. It reports whether there were any.
func (t *Table) unblock(k Key, at time.Time) bool {
	found := false
	for _, v := range t.blocks {
		if i := slices.Index(v.traits, k); i >= 0 && !at.Before(v.last) {
			v.traits = slices.Delete(slices.Clone(v.traits), i, i+1)
			found = true
		}
	}
	if found {
		t.changes++
		t.blocks = slices.DeleteFunc(t.blocks, func(v *block) bool { return len(v.traits) == 0 })
	}
	return found
}

// refusesAlone reports whether the trait alone suffices for a refusal.
func (t *Table) refusesAlone(k Key) bool {
	return slices.ContainsFunc(t.blocks, func(v *block) bool { return len(v.traits) == 1 && v.traits[0] == k })
}

// Refusals returns up to limit refusals, the latest first.
func (t *Table) Refusals(now time.Time, limit int) []Refusal {
	var refusals []Refusal
	for _, v := range t.blocks {
		if now.Before(v.until()) {
			refusals = append(refusals, t.refusal(v))
		}
	}
	slices.SortFunc(refusals, func(a, b Refusal) int {
		return cmp.Or(b.Last.Compare(a.Last), slices.Compare(a.Traits, b.Traits))
	})
	return refusals[:min(limit, len(refusals))]
}
