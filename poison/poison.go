// Package poison recognises requests that end each backend server that runs them. Each
// entry node reports under which contents a server's process ended; all nodes merge
// the reports and refuse a content once MaxEnds servers have ended under it that no
// other content explains. A content that got a complete response is innocent. Other
// than package quarantine it needs no controller that grants each attempt: contents
// are not isolated from each other, so the requests that ran beside a poison request
// are told from it by the ends that they do not share. Table does no I/O, takes the time
// as a parameter and is not safe for concurrent use.
package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// MaxEnds is the number of servers that must have ended under a content before it is
// refused.
const MaxEnds = 3

// Limits of a Table.
const (
	RefuseFor       = 10 * time.Minute // time since the last end for which a content is refused or remembered
	AnsweredFor     = 30 * time.Second // time for which a complete response shows that a content is innocent
	settleTime      = time.Second      // time for the reports of other nodes about the same end to arrive, before it counts
	evictInterval   = 10 * time.Second // interval at which contents that were forgotten are removed
	maxSuspects     = 1024             // contents under which servers ended
	maxCandidates   = 64               // contents that one decision compares
	maxAnswered     = 4096             // contents that got a complete response
	minOwnEnds      = 2                // unexplained ends that suffice if there are more than MaxEnds in all: two poison requests may have met
	tiedEnds        = 4                // ends at which contents that share all of them are refused together
	maxEndsRetained = 8                // ends of one content; enough to tell it from others
	maxKeysPerEnd   = 256              // contents of one report
)

// Key is the hash of a content: of all of a request that comes again when its caller
// repeats it.
type Key uint64

// End identifies the end of one start of a backend server.
type End uint64

// Report says under which contents of one node's requests a server's process ended.
type Report struct {
	End  End
	At   time.Time
	Keys []Key
}

// suspect is a content under which servers ended.
type suspect struct {
	ends    map[End]time.Time // when this node learned of each
	last    time.Time         // latest end
	refused bool
}

// add records an end and reports whether it is new. Above maxEndsRetained the one that was
// learned first is dropped.
func (s *suspect) add(now time.Time, end End) bool {
	if _, known := s.ends[end]; known {
		return false
	}
	if len(s.ends) >= maxEndsRetained {
		first := end
		for e, learned := range s.ends {
			if first == end || learned.Before(s.ends[first]) || learned.Equal(s.ends[first]) && e < first {
				first = e
			}
		}
		delete(s.ends, first)
	}
	s.ends[end] = now
	return true
}

// Table holds the suspects of one node.
type Table struct {
	suspects  map[Key]*suspect
	answered  map[Key]time.Time // when a content last got a complete response
	evictedAt time.Time         // when evict was last called
	newest    time.Time         // when this node learned of the newest end
	decideAt  time.Time         // when Decide has something to do; zero if nothing
}

// New returns an empty table.
func New() *Table { return &Table{suspects: map[Key]*suspect{}, answered: map[Key]time.Time{}} }

// Record merges a report of this or another node. It returns the contents in it that are
// known to be innocent, which the reporting node may not know.
func (t *Table) Record(now time.Time, r Report) []Key {
	var innocent []Key
	for _, k := range r.Keys[:min(len(r.Keys), maxKeysPerEnd)] {
		if at, known := t.answered[k]; known && now.Sub(at) < AnsweredFor {
			innocent = append(innocent, k)
			continue
		}
		s := t.suspects[k]
		if s == nil {
			s = &suspect{ends: map[End]time.Time{}}
			t.suspects[k] = s
		}
		if s.add(now, r.End) {
			t.newest = now
			if t.decideAt.IsZero() {
				t.decideAt = now.Add(settleTime)
			}
		}
		if r.At.After(s.last) {
			s.last = r.At
		}
	}
	if len(t.suspects) > maxSuspects || now.Sub(t.evictedAt) >= evictInterval {
		t.evict(now)
	}
	return innocent
}

// Answered records a complete response to a request with the content, from this node or,
// by its report, from another. It reports whether the content had been a suspect: other
// nodes may not know yet that it is innocent.
func (t *Table) Answered(now time.Time, k Key) bool {
	if len(t.answered) >= maxAnswered {
		t.forgetAnswered(now)
	}
	t.answered[k] = now
	_, suspected := t.suspects[k]
	delete(t.suspects, k)
	return suspected
}

// Refuse records that another node refuses the content.
func (t *Table) Refuse(now time.Time, k Key, last time.Time) {
	if _, known := t.answered[k]; known && now.Sub(t.answered[k]) < AnsweredFor {
		return
	}
	s := t.suspects[k]
	if s == nil {
		s = &suspect{ends: map[End]time.Time{}}
		t.suspects[k] = s
	}
	s.refused = true
	if last.After(s.last) {
		s.last = last
	}
	if len(t.suspects) > maxSuspects {
		t.evict(now)
	}
}

// Refused returns for how long the content is refused; zero if it is not.
func (t *Table) Refused(now time.Time, k Key) time.Duration {
	s := t.suspects[k]
	if s == nil || !s.refused {
		return 0
	}
	return max(0, s.last.Add(RefuseFor).Sub(now))
}

// Refusal is a content that is refused.
type Refusal struct {
	Key  Key
	Last time.Time // latest end of a server under it
}

// Refusals returns up to limit refused contents, the latest first.
func (t *Table) Refusals(now time.Time, limit int) []Refusal {
	var refusals []Refusal
	for k, s := range t.suspects {
		if s.refused && now.Sub(s.last) < RefuseFor {
			refusals = append(refusals, Refusal{k, s.last})
		}
	}
	slices.SortFunc(refusals, func(a, b Refusal) int {
		return cmp.Or(b.Last.Compare(a.Last), cmp.Compare(a.Key, b.Key))
	})
	return refusals[:min(limit, len(refusals))]
}

// Reports returns reports of the ends of up to limit contents that have two or more but
// are not refused. Nodes pass them on, since those that reported them first may be gone.
func (t *Table) Reports(limit int) []Report {
	var keys []Key
	for k, s := range t.suspects {
		if !s.refused && len(s.ends) >= minOwnEnds {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b Key) int {
		x, y := t.suspects[a], t.suspects[b]
		return cmp.Or(cmp.Compare(len(y.ends), len(x.ends)), y.last.Compare(x.last), cmp.Compare(a, b))
	})
	byEnd := map[End]*Report{}
	for _, k := range keys[:min(limit, len(keys))] {
		for end, learned := range t.suspects[k].ends {
			if byEnd[end] == nil {
				byEnd[end] = &Report{End: end, At: learned}
			}
			byEnd[end].Keys = append(byEnd[end].Keys, k)
		}
	}
	var reports []Report
	for _, end := range slices.Sorted(maps.Keys(byEnd)) {
		reports = append(reports, *byEnd[end])
	}
	return reports
}

// Size returns the number of suspects.
func (t *Table) Size() int { return len(t.suspects) }

// Decide refuses each content under which MaxEnds servers have ended that no refused
// content explains, unless all of these ends are also those of another such content:
// only a further end tells the two apart, until there are tiedEnds. It returns the contents that are refused from
// now on.
func (t *Table) Decide(now time.Time) []Key {
	if t.decideAt.IsZero() || now.Before(t.decideAt) {
		return nil
	}
	t.decideAt = time.Time{}
	if now.Sub(t.newest) < settleTime {
		t.decideAt = now.Add(settleTime / 4)
	}
	var refused []Key
	for {
		own := t.unexplained(now)
		k, found := culprit(own)
		if !found {
			return refused
		}
		t.suspects[k].refused = true
		refused = append(refused, k)
	}
}

// unexplained returns, for each content that is not refused and conspicuous by its ends
// which are known for settleTime, those ends that no refused content explains. One
// with fewer ends explains nothing: it may be the one that was in bad company.
func (t *Table) unexplained(now time.Time) map[Key]map[End]time.Time {
	var refused []*suspect
	for _, s := range t.suspects {
		if s.refused {
			refused = append(refused, s)
		}
	}
	own := map[Key]map[End]time.Time{}
	for _, k := range t.conspicuous() {
		s := t.suspects[k]
		left := maps.Clone(s.ends)
		for _, other := range refused {
			if len(other.ends) >= len(s.ends) {
				maps.DeleteFunc(left, func(e End, _ time.Time) bool { _, known := other.ends[e]; return known })
			}
		}
		if alone := settled(now, left); alone >= MaxEnds || alone >= minOwnEnds && len(s.ends) > MaxEnds {
			own[k] = left
		}
	}
	return own
}

// conspicuous returns the maxCandidates contents with the most ends of those that have
// MaxEnds and are not refused.
func (t *Table) conspicuous() []Key {
	var keys []Key
	for k, s := range t.suspects {
		if !s.refused && len(s.ends) >= MaxEnds {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b Key) int {
		return cmp.Or(cmp.Compare(len(t.suspects[b].ends), len(t.suspects[a].ends)), cmp.Compare(a, b))
	})
	return keys[:min(maxCandidates, len(keys))]
}

// settled returns the number of ends that are known for settleTime.
func settled(now time.Time, ends map[End]time.Time) int {
	n := 0
	for _, learned := range ends {
		if now.Sub(learned) >= settleTime {
			n++
		}
	}
	return n
}

// culprit returns the content with the most ends of those whose ends no other content
// has all of, or that has tiedEnds.
func culprit(own map[Key]map[End]time.Time) (Key, bool) {
	var best Key
	found := false
	for k, ends := range own {
		alike := false
		for other, others := range own {
			if other != k && len(ends) < tiedEnds && isSubset(ends, others) {
				alike = true
				break
			}
		}
		if !alike && (!found || len(ends) > len(own[best]) || len(ends) == len(own[best]) && k < best) {
			best, found = k, true
		}
	}
	return best, found
}

// isSubset reports whether b holds all of a.
func isSubset(a, b map[End]time.Time) bool {
	for e := range a {
		if _, held := b[e]; !held {
			return false
		}
	}
	return true
}

// evict removes suspects whose last end was long ago, and above maxSuspects those with
// the fewest ends and then the oldest; refused ones go last.
func (t *Table) evict(now time.Time) {
	t.evictedAt = now
	maps.DeleteFunc(t.suspects, func(_ Key, s *suspect) bool { return now.Sub(s.last) >= RefuseFor })
	if len(t.suspects) <= maxSuspects {
		return
	}
	excess := len(t.suspects) - maxSuspects + maxSuspects/8 // so that it is not called for each content
	keys := slices.SortedFunc(maps.Keys(t.suspects), func(a, b Key) int {
		x, y := t.suspects[a], t.suspects[b]
		if x.refused != y.refused {
			if y.refused {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(len(x.ends), len(y.ends)), x.last.Compare(y.last), cmp.Compare(a, b))
	})
	for _, k := range keys[:excess] {
		delete(t.suspects, k)
	}
}

// forgetAnswered removes the contents whose responses are older than AnsweredFor, and the
// older half if that leaves too many.
func (t *Table) forgetAnswered(now time.Time) {
	maps.DeleteFunc(t.answered, func(_ Key, at time.Time) bool { return now.Sub(at) >= AnsweredFor })
	if len(t.answered) < maxAnswered {
		return
	}
	times := slices.SortedFunc(maps.Values(t.answered), time.Time.Compare)
	median := times[len(times)/2]
	maps.DeleteFunc(t.answered, func(_ Key, at time.Time) bool { return !at.After(median) })
}
