package resumption

import "time"

// History is the span for which a node has followed the servers' entries without a gap.
type History struct {
	maxGap    time.Duration
	from      time.Time // beginning of the span; zero if there is none
	confirmed time.Time // end of the span
}

// NewHistory returns an empty history. maxGap is the longest time between two confirmations in
// which no server can have come and gone unseen.
func NewHistory(maxGap time.Duration) *History { return &History{maxGap: maxGap} }

// Confirm records that the node knows all servers as of a time. A gap before it begins a new
// span.
func (h *History) Confirm(asOf time.Time) {
	if !asOf.After(h.confirmed) {
		return
	}
	if h.from.IsZero() || asOf.Sub(h.confirmed) > h.maxGap {
		h.from = asOf
	}
	h.confirmed = asOf
}

// Covers reports whether the node knows all servers of the time from now-span on, up to
// maxAge ago.
func (h *History) Covers(now time.Time, span, maxAge time.Duration) bool {
	return !h.from.IsZero() && now.Sub(h.confirmed) <= maxAge && !h.from.After(now.Add(-span))
}
