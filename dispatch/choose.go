// Package dispatch decides how one request is sent: on which replica, whether
// a failed try may be repeated or hedged, and how a broken stream is resumed.
// Failures are told apart by the errors of package engine: what an error proves
// decides what may be done next.
//
// The functions are pure. Budget and Hedger are plain state without I/O or clock.
package dispatch

import (
	"github.com/redwingnotch/redwingnotch/fleet"
)

// Candidate is one replica that could run a request.
type Candidate struct {
	Backend  fleet.BackendID
	Load     float64 // share of the backend server's slots in use, 0 to 1
	SameZone bool    // as the entry node
	Excluded bool    // a former try of the request failed there
}

// Choose returns the index of the best candidate, or -1 if there is none: not
// excluded before excluded, then the least loaded, then the same zone, then the
// first by name.
func Choose(cs []Candidate) int {
	best := -1
	for i := range cs {
		if best < 0 || better(&cs[i], &cs[best]) {
			best = i
		}
	}
	return best
}

// better reports whether a is to be preferred over b.
func better(a, b *Candidate) bool {
	switch {
	case a.Excluded != b.Excluded:
		return b.Excluded
	case a.Load != b.Load:
		return a.Load < b.Load
	case a.SameZone != b.SameZone:
		return a.SameZone
	default:
		return a.Backend < b.Backend
	}
}
