// Package poison recognises what ends each backend server that runs it. A request is known
// by its traits: its whole content, and whatever other requests may share with it. Each
// entry node reports under which requests a server's process ended; all nodes merge the
// reports and refuse requests with a trait once MaxEnds servers have ended under it that
// nothing else explains. A trait under which a response was completed is innocent of the
// ends before. Traits that were seen together each time are refused together only: a
// sound request with some of them passes, and shows which are innocent.
//
// Other than package quarantine it needs no controller that grants each attempt: requests
// are not isolated from each other, so those that ran beside a poison request are told
// from it by the ends that they do not share. Table does no I/O, takes the time as a
// parameter and is not safe for concurrent use.
package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// MaxEnds is the number of servers that must have ended under a trait before it is
// refused.
const MaxEnds = 3

// Limits of a Table.
const (
	RefuseFor            = 10 * time.Minute // time since the last end for which a trait is refused or remembered
	AnsweredFor          = 30 * time.Second // time after a complete response in which an end under the trait is weak evidence
	settleTime           = time.Second      // time for the reports of other nodes about the same end to arrive, before it counts
	evictInterval        = 10 * time.Second // interval at which traits that were forgotten are removed
	maxSuspects          = 2048             // traits under which servers ended
	maxCandidates        = 64               // traits that one decision compares
	maxBlocksPerDecision = 8                // refusals of one call of Decide, which bounds its time
	maxAnswered          = 8192             // traits that got a complete response
	minOwnEnds           = 2                // unexplained ends that suffice if there are more than MaxEnds in all: two poison traits may have met
	weakEnds             = 5                // ends that suffice if some are weak evidence, over weakSpan at least
	weakSpan             = time.Second      // the ends of servers that fail together are no more than one event
	tiedEnds             = 4                // ends at which traits that share all of them do not wait for a further one
	maxFirstEnds         = 6                // ends of one trait that are retained because they came first; enough for a refusal, also on weak evidence
	maxLastEnds          = 2                // further ones that are retained because they came last
	maxEndsRetained      = maxFirstEnds + maxLastEnds
	maxTraits            = 16  // traits of one request
	maxWith              = 16  // traits that are remembered as seen with another one at one end
	maxRequestsOfEnd     = 256 // requests of one report
)

// Key is the hash of a trait.
type Key uint64

// End identifies the end of one start of a backend server.
type End uint64

// Request is a request that lost its connection when a server ended.
type Request struct {
	Traits []Key
	Weak   bool // the server had been answering it for a while, so it is unlikely to be the cause
	First  bool // only the first trait is reported on; it was seen with the others, which need not be those of one request
}

// Report says under which of one node's requests a server's process ended.
type Report struct {
	End      End
	At       time.Time
	Requests []Request
}

// occurrence is an end under a suspect.
type occurrence struct {
	learned time.Time // when this node learned of it
	at      time.Time // when the server ended
	weak    bool
	with    []Key // traits of the requests with the suspect
}

// suspect is a trait under which servers ended.
type suspect struct {
	ends map[End]*occurrence
	last time.Time // latest end
}

// add records an end and reports whether it is new. Above the limits one between the first and
// the last ends is dropped. The first ones stay, so that they are known for settleTime at some
// time, whatever the rate of ends, and one that was dropped is not new when another node reports it.
func (s *suspect) add(now time.Time, end End, o occurrence) bool {
	known := s.ends[end]
	if known != nil {
		known.weak = known.weak && o.weak
		known.addWith(o.with)
		return false
	}
	if o.at.After(s.last) {
		s.last = o.at
	}
	o.learned = now
	with := o.with
	o.with = nil
	o.addWith(with)
	s.ends[end] = &o
	if len(s.ends) > maxEndsRetained {
		dropped := s.byTime()[maxFirstEnds]
		delete(s.ends, dropped)
		return dropped != end
	}
	return true
}

// byTime returns the ends, the earliest first.
func (s *suspect) byTime() []End {
	return slices.SortedFunc(maps.Keys(s.ends), func(a, b End) int {
		return cmp.Or(s.ends[a].at.Compare(s.ends[b].at), cmp.Compare(a, b))
	})
}

// addWith adds traits that were seen with the suspect, up to maxWith.
func (o *occurrence) addWith(traits []Key) {
	for _, k := range traits {
		if len(o.with) < maxWith && !slices.Contains(o.with, k) {
			o.with = append(o.with, k)
		}
	}
}

// Table holds the suspects and refusals of one node.
type Table struct {
	suspects  map[Key]*suspect
	answered  map[Key]time.Time // when a response to a request with the trait was last completed
	blocks    []*block
	changes   uint64    // number of changes of what is refused
	evictedAt time.Time // when evict was last called
	newest    time.Time // when this node learned of the newest end
	decideAt  time.Time // when Decide has something to do; zero if nothing
}

// New returns an empty table.
func New() *Table { return &Table{suspects: map[Key]*suspect{}, answered: map[Key]time.Time{}} }

// Presumed reports whether a response to a request with the trait was completed within
// AnsweredFor.
func (t *Table) Presumed(now time.Time, k Key) bool {
	at, known := t.answered[k]
	return known && now.Sub(at) < AnsweredFor
}

// AnsweredAt returns when a response to a request with the trait was last completed; zero if
// that is not known.
func (t *Table) AnsweredAt(k Key) time.Time { return t.answered[k] }

// Record merges a report of this or another node. It returns the traits in it whose
// responses this node knows of and the reporting node may not: see Answered.
func (t *Table) Record(now time.Time, r Report) []Key {
	var presumed []Key
	for _, request := range r.Requests[:min(len(r.Requests), maxRequestsOfEnd)] {
		traits := request.Traits[:min(len(request.Traits), maxTraits)]
		for i, k := range traits {
			if i > 0 && request.First {
				break
			}
			o := occurrence{at: r.At, weak: request.Weak, with: without(traits, k)}
			if at, known := t.answered[k]; known && !at.Before(r.At) {
				continue
			} else if known && r.At.Sub(at) < AnsweredFor && !o.weak {
				o.weak = true
				presumed = append(presumed, k)
			}
			t.record(now, r.End, k, o)
		}
	}
	if len(t.suspects) > maxSuspects || now.Sub(t.evictedAt) >= evictInterval {
		t.evict(now)
	}
	return presumed
}

// record adds an end under a trait.
func (t *Table) record(now time.Time, end End, k Key, o occurrence) {
	s := t.suspects[k]
	if s == nil {
		s = &suspect{ends: map[End]*occurrence{}}
		t.suspects[k] = s
	}
	if !s.add(now, end, o) {
		return
	}
	for _, b := range t.blocks {
		if slices.Contains(b.traits, k) && o.at.After(b.last) {
			b.last = o.at
		}
	}
	t.newest = now
	if t.decideAt.IsZero() {
		t.decideAt = now.Add(settleTime)
	}
}

// without returns the keys but one.
func without(keys []Key, k Key) []Key {
	return slices.DeleteFunc(slices.Clone(keys), func(other Key) bool { return other == k })
}

// Answered records that a response to a request with the traits was completed, at a node
// that may be another one. It reports whether one of them had been a suspect or was
// refused: other nodes may not know yet that it is innocent.
func (t *Table) Answered(now, at time.Time, traits ...Key) bool {
	suspected := false
	for _, k := range traits {
		if !at.After(t.answered[k]) {
			continue
		}
		if len(t.answered) >= maxAnswered {
			t.forgetAnswered(now)
		}
		t.answered[k] = at
		suspected = t.clear(k, at) || suspected
	}
	return suspected
}

// clear drops the ends under the trait up to a time, weakens those soon after it, and takes
// the trait out of the refusals. It reports whether that changed anything.
func (t *Table) clear(k Key, at time.Time) bool {
	s := t.suspects[k]
	if s != nil {
		maps.DeleteFunc(s.ends, func(_ End, o *occurrence) bool { return !o.at.After(at) })
		for _, o := range s.ends {
			o.weak = o.weak || o.at.Sub(at) < AnsweredFor
		}
		if len(s.ends) == 0 {
			delete(t.suspects, k)
		}
	}
	return t.unblock(k, at) || s != nil
}

// Reports returns reports of the ends of up to limit suspects that have two or more and
// are not refused. Nodes pass them on, since those that reported them first may be gone.
func (t *Table) Reports(limit int) []Report {
	var keys []Key
	for k, s := range t.suspects {
		if len(s.ends) >= minOwnEnds && !t.refusesAlone(k) {
			keys = append(keys, k)
		}
	}
	t.sortBySuspicion(keys)
	byEnd := map[End]*Report{}
	for _, k := range keys[:min(limit, len(keys))] {
		for end, o := range t.suspects[k].ends {
			if byEnd[end] == nil {
				byEnd[end] = &Report{End: end, At: o.at}
			}
			request := Request{Traits: append([]Key{k}, o.with...), Weak: o.weak, First: true}
			byEnd[end].Requests = append(byEnd[end].Requests, request)
		}
	}
	var reports []Report
	for _, end := range slices.Sorted(maps.Keys(byEnd)) {
		reports = append(reports, *byEnd[end])
	}
	return reports
}

// sortBySuspicion sorts suspects: those with the most strong ends first, then those with
// the most ends and the latest.
func (t *Table) sortBySuspicion(keys []Key) {
	strong := make(map[Key]int, len(keys))
	for _, k := range keys {
		strong[k] = t.suspects[k].strong()
	}
	slices.SortFunc(keys, func(a, b Key) int {
		x, y := t.suspects[a], t.suspects[b]
		return cmp.Or(cmp.Compare(strong[b], strong[a]), cmp.Compare(len(y.ends), len(x.ends)), y.last.Compare(x.last), cmp.Compare(a, b))
	})
}

// strong returns the number of ends that are not weak evidence.
func (s *suspect) strong() int {
	n := 0
	for _, o := range s.ends {
		if !o.weak {
			n++
		}
	}
	return n
}

// Changes returns a number that rises whenever other requests are refused than before, but
// for refusals that end by RefuseFor.
func (t *Table) Changes() uint64 { return t.changes }

// Size returns the number of suspects.
func (t *Table) Size() int { return len(t.suspects) }

// evict removes suspects whose last end was long ago, and above maxSuspects those of the
// least suspicion; those that are refused go last.
func (t *Table) evict(now time.Time) {
	t.evictedAt = now
	t.expire(now)
	maps.DeleteFunc(t.suspects, func(_ Key, s *suspect) bool { return now.Sub(s.last) >= RefuseFor })
	if len(t.suspects) <= maxSuspects {
		return
	}
	keys := slices.Collect(maps.Keys(t.suspects))
	t.sortBySuspicion(keys)
	refused := map[Key]bool{}
	for _, b := range t.blocks {
		for _, k := range b.traits {
			refused[k] = true
		}
	}
	excess := len(keys) - maxSuspects + maxSuspects/8 // so that it is not called for each trait
	for _, k := range slices.Backward(keys) {
		if excess > 0 && !refused[k] {
			delete(t.suspects, k)
			excess--
		}
	}
}

// forgetAnswered removes the traits whose responses are older than AnsweredFor, and the
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
