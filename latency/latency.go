// Package latency remembers how long the requests of each route have taken lately, and
// decides by that how long one more may take: when an attempt at a server is given up for
// another, and whether a request can still end before its node stops. It does no I/O, takes
// the time as a parameter and is not safe for concurrent use.
package latency

import "time"

// window is the time for which an observation counts at least; it counts twice as long at
// most.
const window = 30 * time.Second

// Recent holds the slowest recent request of each route.
type Recent struct {
	routes map[string]*slowest
}

// slowest is the longest duration in the current and the previous window.
type slowest struct {
	began             time.Time // start of the current window
	current, previous time.Duration
}

// NewRecent returns a Recent without observations.
func NewRecent() *Recent { return &Recent{routes: map[string]*slowest{}} }

// Observe records that a request of the route took the duration.
func (r *Recent) Observe(now time.Time, route string, d time.Duration) {
	s := r.routes[route]
	if s == nil {
		s = &slowest{began: now}
		r.routes[route] = s
	}
	s.advance(now)
	s.current = max(s.current, d)
}

// Slowest returns the longest recent duration of the route's requests, zero if there was none.
func (r *Recent) Slowest(now time.Time, route string) time.Duration {
	s := r.routes[route]
	if s == nil {
		return 0
	}
	s.advance(now)
	return max(s.current, s.previous)
}

// Keep forgets all routes but those named.
func (r *Recent) Keep(named func(route string) bool) {
	for route := range r.routes {
		if !named(route) {
			delete(r.routes, route)
		}
	}
}

// advance begins a new window if the current one has ended.
func (s *slowest) advance(now time.Time) {
	switch age := now.Sub(s.began); {
	case age >= 2*window:
		s.previous, s.current, s.began = 0, 0, now
	case age >= window:
		s.previous, s.current, s.began = s.current, 0, now
	}
}

// Shares and multiples of AttemptTimeout and SlowAfter.
const (
	minAttemptTimeout  = 250 * time.Millisecond  // a server may pause for so long, whatever the target
	attemptTargets     = 4.0                     // timeout in latency targets, at most
	unknownTargets     = 1.5                     // timeout in latency targets if nothing is known of the route, at least
	unknownLeftShare   = 0.5                     // timeout in parts of the time left if nothing is known of the route, at least
	minTargets         = 0.5                     // timeout in latency targets, at least
	leftShare          = 0.25                    // timeout in parts of the time left, at least
	slowestMultiple    = 3                       // timeout in times of the slowest recent attempt, at least
	slowTargets        = 1.5                     // a server is slow after this time in latency targets, at most
	minSlowAfter       = 600 * time.Millisecond  // and after this time, at least
	usualSlowAfter     = 1500 * time.Millisecond // and after this time, unless slowTargets or slowAfterMultiple say otherwise
	slowAfterMultiple  = 2                       // and after this many times the slowest recent attempt
	endsWithinMultiple = 1.5                     // a request is expected to end within this many times the slowest recent one
)

// AttemptTimeout returns after which time without a response an attempt may be given up for
// another server, given the route's latency target, the time left to the request and the
// slowest recent attempt; zero if none is known.
func AttemptTimeout(target, left, slowest time.Duration) time.Duration {
	if slowest == 0 {
		return max(minAttemptTimeout, min(scale(target, attemptTargets), max(scale(target, unknownTargets), scale(left, unknownLeftShare))))
	}
	usual := min(scale(target, attemptTargets), max(scale(target, minTargets), scale(left, leftShare)))
	return max(minAttemptTimeout, usual, slowestMultiple*slowest)
}

// SlowAfter returns the time without a response after which the server counts as failing for
// other requests, while the attempt goes on.
func SlowAfter(target, slowest time.Duration) time.Duration {
	return max(minSlowAfter, min(scale(target, slowTargets), max(usualSlowAfter, slowAfterMultiple*slowest)))
}

// EndsBy reports whether a request is expected to end before the time, given its deadline and
// the slowest recent request of its route; zero if none is known.
func EndsBy(now, end, deadline time.Time, slowest time.Duration) bool {
	if !deadline.After(end) {
		return true
	}
	return slowest > 0 && !now.Add(scale(slowest, endsWithinMultiple)).After(end)
}

// scale returns the duration times the factor.
func scale(d time.Duration, factor float64) time.Duration { return time.Duration(factor * float64(d)) }
