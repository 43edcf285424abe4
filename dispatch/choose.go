// Package dispatch decides how one request is sent: to which replica, whether a
// failed attempt may be retried or hedged, and whether a broken stream may be
// resumed. The errors of package engine say whether a failed attempt can have
// run, and the decision to retry depends on that.
//
// The functions have no side effects. RetryBudget and Hedger hold state but do no I/O
// and read no clock.
package dispatch

import (
	"github.com/redwingnotch/redwingnotch/fleet"
)

// Candidate is a replica that could run a request.
type Candidate struct {
	Backend  fleet.BackendID
	Load     float64 // share of the backend server's slots in use, 0 to 1
	SameZone bool    // the backend server is in the availability zone of the entry node
	Excluded bool    // an earlier attempt of the request failed on the backend server
}

// Choose returns the index of the best candidate, or -1 if there is none. It
// prefers, in this order: candidates that are not excluded, the lowest load, the
// same availability zone, and the lowest backend server ID.
func Choose(cs []Candidate) int {
	best := -1
	for i := range cs {
		if best < 0 || preferred(&cs[i], &cs[best]) {
			best = i
		}
	}
	return best
}

// preferred reports whether a is a better choice than b.
func preferred(a, b *Candidate) bool {
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
