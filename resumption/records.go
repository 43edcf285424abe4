package resumption

import (
	"maps"
	"slices"
	"time"
)

// Limits of the records of a node.
const (
	maxRecords  = 8192 // streams that a node remembers
	maxIDBytes  = 128  // length of the ID of a stream that is remembered
	evictedPart = 8    // part of the records, as a divisor, that is dropped above maxRecords, so that this is rare
)

// Record is the origin of one stream.
type Record struct {
	ID      string // of the request that brought the stream's first event
	Origin  Origin
	Learned time.Time // when this node learned of it
	Expires time.Time // from then on the caller does not come back
}

// Records are the origins of streams that a node remembers.
type Records struct{ byID map[string]Record }

// NewRecords returns no records.
func NewRecords() *Records { return &Records{byID: map[string]Record{}} }

// Add remembers the origin of a stream. A record with another origin that is known already is
// kept: the first event came first.
func (rs *Records) Add(now time.Time, r Record) {
	if r.ID == "" || len(r.ID) > maxIDBytes || !r.Expires.After(now) {
		return
	}
	if known, found := rs.Find(now, r.ID); found {
		if known.Origin == r.Origin && r.Expires.After(known.Expires) {
			known.Expires = r.Expires
			rs.byID[r.ID] = known
		}
		return
	}
	if len(rs.byID) >= maxRecords {
		rs.evict(now)
	}
	r.Learned = now
	rs.byID[r.ID] = r
}

// Find returns the record of a stream, and false if there is none.
func (rs *Records) Find(now time.Time, id string) (Record, bool) {
	r, found := rs.byID[id]
	return r, found && r.Expires.After(now)
}

// LongestLife returns the longest time for which the caller of a stream that is remembered may come
// back, from when this node learned of it; zero if none is.
func (rs *Records) LongestLife(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, r := range rs.byID {
		if r.Expires.After(now) {
			longest = max(longest, r.Expires.Sub(r.Learned))
		}
	}
	return longest
}

// Len returns the number of records, including expired ones that were not removed yet.
func (rs *Records) Len() int { return len(rs.byID) }

// Expire removes the records whose callers do not come back.
func (rs *Records) Expire(now time.Time) {
	maps.DeleteFunc(rs.byID, func(_ string, r Record) bool { return !r.Expires.After(now) })
}

// evict makes room: it removes the expired records, and the ones that expire first if that
// leaves too many.
func (rs *Records) evict(now time.Time) {
	rs.Expire(now)
	if len(rs.byID) < maxRecords {
		return
	}
	ids := slices.SortedFunc(maps.Keys(rs.byID), func(a, b string) int { return rs.byID[a].Expires.Compare(rs.byID[b].Expires) })
	for _, id := range ids[:len(ids)/evictedPart] {
		delete(rs.byID, id)
	}
}
