package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// candidate is a suspect that a decision compares with others.
type candidate struct {
	key    Key
	own    map[End]*occurrence // ends that no block explains
	traits []Key               // those that would be refused together, see jointTraits; sorted
}

// Decide refuses each trait under which MaxEnds servers have ended that nothing that is
// refused explains, unless all of these ends are also those of an unrelated trait: only a
// further end tells the two apart, until there are tiedEnds. It returns what is refused
// from now on, and what no longer is because other refusals explain its ends.
func (t *Table) Decide(now time.Time) (refused, released []Refusal) {
	if t.decideAt.IsZero() || now.Before(t.decideAt) {
		return nil, nil
	}
	t.decideAt = time.Time{}
	if now.Sub(t.newest) < settleTime {
		t.decideAt = now.Add(settleTime / 4)
	}
	settled := map[Key]bool{}
	for range maxBlocksPerDecision {
		c, found := culprit(t.candidates(now, settled))
		if !found {
			return refused, t.release()
		}
		settled[c.key] = true
		b := &block{traits: c.traits, cause: c.key, last: t.suspects[c.key].last}
		if t.addBlock(now, b) {
			refused = append(refused, t.refusal(b))
		}
	}
	t.decideAt = now.Add(settleTime / 4)
	return refused, nil
}

// candidates returns the suspects whose unexplained ends, known for settleTime, suffice for
// a refusal, without those that this decision has settled.
func (t *Table) candidates(now time.Time, settled map[Key]bool) []candidate {
	var keys []Key
	for k, s := range t.suspects {
		if len(s.ends) >= MaxEnds && !settled[k] && !t.refusesAlone(k) {
			keys = append(keys, k)
		}
	}
	t.sortBySuspicion(keys)
	var found []candidate
	strongEnds := t.strongEnds()
	for _, k := range keys[:min(maxCandidates, len(keys))] {
		c := candidate{key: k, own: t.unexplained(k)}
		if suffices(now, c.own, len(t.suspects[k].ends), strongEnds) {
			c.traits = t.jointTraits(k)
			found = append(found, c)
		}
	}
	return found
}

// strongEnds returns the ends that are strong evidence against a suspect which has several
// of them. They are none against one for which they are weak.
func (t *Table) strongEnds() map[End]bool {
	strongEnds := map[End]bool{}
	for _, s := range t.suspects {
		if s.strong() < minOwnEnds {
			continue
		}
		for end, o := range s.ends {
			strongEnds[end] = strongEnds[end] || !o.weak
		}
	}
	return strongEnds
}

// suffices reports whether a suspect's own ends, of a number of ends in all, suffice for a
// refusal.
func suffices(now time.Time, own map[End]*occurrence, all int, strongEnds map[End]bool) bool {
	strong, total := 0, 0
	var first, last time.Time
	for end, o := range own {
		if now.Sub(o.learned) < settleTime || o.weak && strongEnds[end] {
			continue
		}
		total++
		if !o.weak {
			strong++
		}
		if first.IsZero() || o.at.Before(first) {
			first = o.at
		}
		if o.at.After(last) {
			last = o.at
		}
	}
	if strong >= MaxEnds || total >= weakEnds && last.Sub(first) >= weakSpan {
		return true
	}
	return all > MaxEnds && strong >= minOwnEnds
}

// unexplained returns the suspect's ends that no block explains. A block explains the
// ends under all of its traits; to other suspects only if it has as many ends as they
// have, since one with fewer may be the one that was in bad company.
func (t *Table) unexplained(k Key) map[End]*occurrence {
	s := t.suspects[k]
	left := maps.Clone(s.ends)
	for _, b := range t.blocks {
		ends := t.endsOf(b)
		if !slices.Contains(b.traits, k) && len(ends) < len(s.ends) {
			continue
		}
		for end := range ends {
			delete(left, end)
		}
	}
	return left
}

// endsOf returns the ends under requests that held all traits of the block, as known here
// or to the node that decided.
func (t *Table) endsOf(b *block) map[End]bool {
	ends := map[End]bool{}
	for _, end := range b.ends {
		ends[end] = true
	}
	cause := t.causeOf(b)
	if s := t.suspects[cause]; s != nil {
		others := without(b.traits, cause)
		for end, o := range s.ends {
			if !slices.ContainsFunc(others, func(k Key) bool { return !slices.Contains(o.with, k) }) {
				ends[end] = true
			}
		}
	}
	return ends
}

// causeOf returns the trait whose ends led to the block. If another node decided, it is
// the one with the fewest ends here.
func (t *Table) causeOf(b *block) Key {
	cause := b.cause
	for _, k := range b.traits {
		s := t.suspects[k]
		if b.cause == 0 && s != nil && (cause == 0 || len(s.ends) < len(t.suspects[cause].ends)) {
			cause = k
		}
	}
	return cause
}

// jointTraits returns the suspect and the traits that were seen with it at each of its ends
// and are as suspicious, sorted: nothing tells which of them is the cause.
func (t *Table) jointTraits(k Key) []Key {
	s := t.suspects[k]
	joint := []Key{k}
	first := true
	var with []Key
	for _, o := range s.ends {
		if first {
			with, first = slices.Clone(o.with), false
			continue
		}
		with = slices.DeleteFunc(with, func(other Key) bool { return !slices.Contains(o.with, other) })
	}
	for _, other := range with {
		if o := t.suspects[other]; o != nil && isSubset(s.ends, o.ends) && o.strong() >= s.strong() {
			joint = append(joint, other)
		}
	}
	slices.Sort(joint)
	return joint
}

// culprit returns the candidate to refuse first: the one with the most ends of those whose
// ends no unrelated candidate has all of, or that have tiedEnds. A trait that is one of
// another's joint traits comes after it, since the joint traits refuse fewer requests.
func culprit(candidates []candidate) (candidate, bool) {
	var best candidate
	found := false
	for _, c := range candidates {
		blocked := slices.ContainsFunc(candidates, func(other candidate) bool {
			if slices.Contains(other.traits, c.key) && len(other.traits) > len(c.traits) {
				return true
			}
			return !slices.Contains(c.traits, other.key) && len(c.own) < tiedEnds && isSubset(c.own, other.own)
		})
		if !blocked && (!found || c.before(best)) {
			best, found = c, true
		}
	}
	return best, found
}

// before reports whether the candidate is refused before the other one.
func (c candidate) before(other candidate) bool {
	return cmp.Or(cmp.Compare(len(other.own), len(c.own)), cmp.Compare(len(c.traits), len(other.traits)), cmp.Compare(c.key, other.key)) < 0
}

// isSubset reports whether b holds all ends of a.
func isSubset(a, b map[End]*occurrence) bool {
	for e := range a {
		if _, held := b[e]; !held {
			return false
		}
	}
	return true
}

// release drops the blocks all of whose cause's ends are explained by blocks with more
// ends, and returns them.
func (t *Table) release() []Refusal {
	var released []Refusal
	var kept []*block
	for _, b := range t.blocks {
		if t.covered(b) {
			released = append(released, t.refusal(b))
			t.changes++
		} else {
			kept = append(kept, b)
		}
	}
	t.blocks = kept
	return released
}

// covered reports whether blocks of other traits, with more ends each, explain all ends
// of the block's cause. A node that knows few of these ends can't tell.
func (t *Table) covered(b *block) bool {
	cause := t.causeOf(b)
	s := t.suspects[cause]
	if s == nil || len(s.ends) < max(MaxEnds, len(b.ends)) {
		return false
	}
	left := maps.Clone(s.ends)
	for _, other := range t.blocks {
		if ends := t.endsOf(other); len(ends) > len(s.ends) && !slices.Contains(other.traits, cause) {
			maps.DeleteFunc(left, func(e End, _ *occurrence) bool { return ends[e] })
		}
	}
	return len(left) == 0
}
