// Package pace limits how many requests a backend server is given at once while it is slower
// than usual: after a start, a recovery or a load of a model, or once its answers have become
// slow. The limit follows the server's answers, not a schedule. A healthy server has no limit.
// The package does no I/O and takes the time as a parameter.
package pace

import (
	"math"
	"time"
)

// Parameters of the limit. Growth by doubling and a decrease to 0.7 were chosen by the figures in
// docs/design/concurrency-limit.md.
const (
	minLimit     = 1                // a server gets at least one request at a time
	initialShare = 0.125            // part of the slots that a limit begins with
	minInitial   = 2                // least limit at the beginning
	growth       = 2.0              // factor of the limit for a good answer
	decrease     = 0.7              // factor of the limit for a slow answer, a rejection or a failure
	idleDrop     = 10 * time.Second // time after which a limit that has held no request back is dropped
	maxColdHold  = time.Minute      // longest time for which a server's report of being slow keeps a limit that holds nothing back
	maxRemoteAge = time.Minute      // evidence of other nodes that is older is ignored
)

// Cause is the evidence that last changed a limit.
type Cause string

// Causes of changes.
const (
	None       Cause = ""
	Started    Cause = "started"     // the server has started
	Recovered  Cause = "recovered"   // it was ejected or unreachable, and answers again
	Loaded     Cause = "loaded"      // it has loaded a model
	Slowed     Cause = "slowed"      // its answers have become slow
	GoodAnswer Cause = "good_answer" // it answered in about the usual time
	SlowAnswer Cause = "slow_answer" // it answered later
	Failed     Cause = "failed"      // a request failed
	Rejected   Cause = "rejected"    // it rejected a request because it was full
	Unused     Cause = "unused"      // the limit has held nothing back for idleDrop
)

// Known reports whether the cause is one of these, as another build may send others.
func (c Cause) Known() bool {
	switch c {
	case Started, Recovered, Loaded, Slowed, GoodAnswer, SlowAnswer, Failed, Rejected, Unused:
		return true
	}
	return false
}

// Outcome is how a request to the server ended.
type Outcome struct {
	Cause   Cause         // GoodAnswer, SlowAnswer, Failed or Rejected
	Latency time.Duration // time since the request was sent; for a failure, the usual time if it is not known
	Ratio   float64       // latency relative to the usual one; 1 if unknown
}

// Rule returns the limit that follows an outcome. The caller bounds it.
type Rule func(limit float64, o Outcome) float64

// Multiplicative is the rule in use: a good answer doubles the limit, anything else reduces it to
// 0.7, so that one bad answer never halves it.
func Multiplicative(limit float64, o Outcome) float64 {
	if o.Cause == GoodAnswer {
		return limit * growth
	}
	return limit * decrease
}

// State is a limit as nodes tell each other.
type State struct {
	Limit float64   // zero if there is none
	At    time.Time // time of the evidence that set it
	Cause Cause
}

// Limiter holds the limit of one start of a server. Its zero value has no limit.
type Limiter struct {
	Rule      Rule // Multiplicative if nil
	slots     int
	state     State
	begun     time.Time // when this node last set a limit without an answer
	reduced   time.Time // time of the last decrease
	heldAt    time.Time // when the limit last held a request back, or was set while there was none
	coldUntil time.Time // until when the server says that it is slow after its start
	own       bool      // the state is from evidence of this node
}

// Started sets a limit after a start. cold is how much longer the server says that it is slow.
func (l *Limiter) Started(now time.Time, slots int, cold time.Duration) {
	l.coldUntil = now.Add(min(cold, maxColdHold))
	l.begin(now, slots, 0, Started)
}

// Recovered sets a limit after the server was ejected or unreachable. load is the number of
// requests that the server is known to have.
func (l *Limiter) Recovered(now time.Time, slots, load int) { l.begin(now, slots, load, Recovered) }

// Loaded sets a limit after the server has loaded a model, for which it has no cached prompts.
func (l *Limiter) Loaded(now time.Time, slots, load int) { l.begin(now, slots, load, Loaded) }

// Slowed sets a limit after the server's answers have become slow.
func (l *Limiter) Slowed(now time.Time, slots, load int) {
	l.begin(now, slots, int(decrease*float64(load)), Slowed)
}

// begin sets a limit that is no lower than the load, which the server evidently carries. A lower
// limit stays. Other nodes are told only that the server has turned slow: the rest they see by
// themselves, or it is a matter of this node's connections.
func (l *Limiter) begin(now time.Time, slots, load int, cause Cause) {
	l.slots = slots
	limit := max(minInitial, initialShare*float64(slots), float64(load))
	if l.state.Limit > 0 && l.state.Limit <= limit || limit >= float64(slots) {
		return
	}
	if l.state.Limit == 0 {
		l.heldAt = now
	}
	l.begun, l.reduced = now, now
	l.state, l.own = State{Limit: limit, At: now, Cause: cause}, cause == Slowed
	if cause == Started || cause == Loaded {
		// All nodes learn of it by themselves, at different times. Evidence of any of them is newer.
		l.state.At = now.Add(-maxRemoteAge)
	}
}

// Observe changes the limit after a request has ended. An answer counts as good only if its request
// was sent after the limit's last change, as only then it is evidence about the current limit. A
// decrease counts once for all requests that were sent before it.
func (l *Limiter) Observe(now time.Time, o Outcome) {
	sent := now.Add(-o.Latency)
	switch {
	case l.state.Limit == 0, o.Cause == None:
		return
	case o.Cause == GoodAnswer && (sent.Before(l.state.At) || sent.Before(l.begun)), o.Cause != GoodAnswer && sent.Before(l.reduced):
		return
	}
	rule := l.Rule
	if rule == nil {
		rule = Multiplicative
	}
	limit := max(minLimit, rule(l.state.Limit, o))
	if limit < l.state.Limit {
		l.reduced = now
	}
	if limit >= float64(l.slots) {
		limit = 0
	}
	l.state, l.own = State{Limit: limit, At: now, Cause: o.Cause}, true
}

// Adopt replaces the limit by that of another node if its evidence is newer, and reports whether it
// did. A state from the future, as of a node whose clock stepped, counts as of now.
func (l *Limiter) Adopt(now time.Time, slots int, s State) bool {
	if s.At.After(now) {
		s.At = now
	}
	if now.Sub(s.At) > maxRemoteAge || !s.At.After(l.state.At) || math.IsNaN(s.Limit) || s.Limit < 0 {
		return false
	}
	if s.Limit >= float64(slots) {
		s.Limit = 0
	} else if s.Limit > 0 {
		s.Limit = max(minLimit, s.Limit)
	}
	if l.state.Limit == 0 && (s.Limit == 0 || s.Cause == GoodAnswer || s.Cause == Started) {
		return false // neither is a cause for a limit at a node that has dropped it or learns of the start itself
	}
	if l.state.Limit == 0 {
		l.heldAt = now
	}
	if s.Limit > 0 && s.Limit < l.state.Limit {
		l.reduced = s.At
	}
	l.slots, l.state, l.own = slots, s, false
	return true
}

// Held records that the limit has held a request back.
func (l *Limiter) Held(now time.Time) { l.heldAt = now }

// Limited reports whether there is a limit, which Limit may drop.
func (l *Limiter) Limited() bool { return l.state.Limit != 0 }

// Limit returns how many requests the server may have at once, and false if there is no limit. A
// limit that has held nothing back for idleDrop is dropped, unless the server says that it is slow.
func (l *Limiter) Limit(now time.Time) (int, bool) {
	if l.state.Limit == 0 {
		return 0, false
	}
	if now.Sub(l.heldAt) >= idleDrop && !now.Before(l.coldUntil) {
		l.state, l.own = State{At: l.state.At, Cause: Unused}, false // newer evidence of other nodes is taken
		return 0, false
	}
	return int(l.state.Limit), true
}

// State returns the limit with its evidence, and whether that is this node's own.
func (l *Limiter) State() (s State, own bool) { return l.state, l.own }
