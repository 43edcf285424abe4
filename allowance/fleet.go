package allowance

import "time"

// Limits of what is known of the fleet.
const (
	MaxGap      = 600 * time.Millisecond // longest time between two looks at the fleet; after a longer one the process was frozen, and others may have taken over its teams
	unknownFor  = 2 * time.Second        // time after a start or a freeze for which the size of the fleet is not known
	UnknownSize = 100                    // least size that is assumed for that time
)

// Fleet derives the size of the fleet from the numbers of live nodes: the largest within a
// span, so that nodes that are cut off go on to count for as long as they may serve.
type Fleet struct {
	span      time.Duration
	alone     time.Duration // time after the start for which a node that hears no other is not taken to be the only one
	unknown   time.Time     // until when the size is not known
	last      time.Time     // latest observation
	startedAt time.Time
	heard     bool          // another node was heard of
	seen      []observation // nodes falls from one to the next
}

// observation is a number of live nodes.
type observation struct {
	at    time.Time
	nodes int
}

// NewFleet returns the Fleet of a node that started at the time. span is the time for which a node
// that was heard of counts. othersExpected says that the node was told of others to join.
func NewFleet(started time.Time, span time.Duration, othersExpected bool) *Fleet {
	f := &Fleet{span: span, startedAt: started, last: started, unknown: started.Add(unknownFor)}
	if othersExpected {
		f.alone = span
	}
	return f
}

// Observe records the number of live nodes, including this one. It returns false if the process
// was frozen since the last call: it then knows no more of the fleet than after a start.
func (f *Fleet) Observe(now time.Time, nodes int) bool {
	gap := now.Sub(f.last)
	frozen := gap > MaxGap && len(f.seen) > 0
	if frozen {
		for i := range f.seen {
			f.seen[i].at = f.seen[i].at.Add(gap)
		}
		f.unknown, f.startedAt, f.heard = now.Add(unknownFor), now, false
	}
	f.last = now
	f.heard = f.heard || nodes > 1
	for len(f.seen) > 0 && now.Sub(f.seen[0].at) > f.span {
		f.seen = f.seen[1:]
	}
	// A smaller number from before never counts again.
	for len(f.seen) > 0 && f.seen[len(f.seen)-1].nodes <= nodes {
		f.seen = f.seen[:len(f.seen)-1]
	}
	f.seen = append(f.seen, observation{now, nodes})
	return !frozen
}

// Known reports whether the size of the fleet is known.
func (f *Fleet) Known(now time.Time) bool {
	return !now.Before(f.unknown) && (f.heard || now.Sub(f.startedAt) >= f.alone)
}

// Size returns the number of nodes among which an allowance is to be divided.
func (f *Fleet) Size(now time.Time) int {
	size := 1
	for _, o := range f.seen {
		size = max(size, o.nodes)
	}
	if !f.Known(now) {
		size = max(size, UnknownSize)
	}
	return size
}
