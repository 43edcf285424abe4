// Package credentials decides whether a request may run with the API key that it carries, and how
// a node keeps the decision current: which team holds a key, as of when the node knows the teams,
// and whom it asks next. It does no I/O, takes the time as a parameter and is not safe for
// concurrent use. Times are those of one node's boot clock, which counts suspensions.
package credentials

import (
	"fmt"
	"strings"
	"time"

	"github.com/redwingnotch/redwingnotch/routes"
)

// Index holds the teams of one version of the desired state by the hashes of their keys. Use
// NewIndex.
type Index struct {
	version uint64
	teams   map[routes.KeyHash]*routes.Team // nil for a key that two teams hold
}

// NewIndex returns the index of a version, and an error for each pair of teams that hold the same
// key. Such a key matches no team.
func NewIndex(version uint64, teams []routes.Team) (*Index, []error) {
	x := &Index{version: version, teams: map[routes.KeyHash]*routes.Team{}}
	holders := map[routes.KeyHash]int{} // positions in teams
	var faults []error
	for i := range teams {
		for _, key := range teams[i].Keys {
			first, held := holders[key]
			switch {
			case !held:
				holders[key], x.teams[key] = i, &teams[i]
			case first != i:
				x.teams[key] = nil
				faults = append(faults, fmt.Errorf("teams %d and %d hold the same key, which matches neither", teams[first].Index, teams[i].Index))
			}
		}
	}
	return x, faults
}

// Find returns the team that holds the key, or nil.
func (x *Index) Find(key routes.KeyHash) *routes.Team { return x.teams[key] }

// Key is what a request carries as its API key.
type Key struct {
	Form Form
	Hash routes.KeyHash // set if Form is Present
}

// Form says whether a request carries a key that can be looked up.
type Form string

// The forms of what a request carries.
const (
	Present   Form = "present"
	Missing   Form = "missing"
	Malformed Form = "malformed" // several fields, another scheme, or no key after the scheme
)

// scheme is the authentication scheme of API keys, in lower case.
const scheme = "token"

// ParseKey returns the key in a request's Authorization fields. It does not keep the key itself.
func ParseKey(fields []string) Key {
	if len(fields) == 0 {
		return Key{Form: Missing}
	}
	name, key, _ := strings.Cut(strings.TrimSpace(fields[0]), " ")
	key = strings.TrimSpace(key)
	if len(fields) > 1 || !strings.EqualFold(name, scheme) || key == "" {
		return Key{Form: Malformed}
	}
	return Key{Form: Present, Hash: routes.HashKey(key)}
}

// Shares of the bounds.
const (
	staleShare = 0.6 // of Bounds.Revocation: age of the state from which no key is accepted, which leaves the rest for callers to find another node
	judgeShare = 0.9 // of Bounds.Apply: age of the state up to which an unknown key is unknown for certain
)

// Bounds are the operators' bounds on outdated keys.
type Bounds struct {
	FailClosed bool          // no key is accepted once the state may be outdated
	Revocation time.Duration // time after the removal of a key from which no request with it may run
	Apply      time.Duration // time within which an acknowledged state must be in force
}

// StaleAge returns the age of the state from which no key is accepted if Bounds.FailClosed is set.
func (b Bounds) StaleAge() time.Duration { return share(b.Revocation, staleShare) }

func share(d time.Duration, of float64) time.Duration { return time.Duration(of * float64(d)) }

// Result is the outcome of a check.
type Result string

// The results of a check. All but Accepted are reasons for a rejection, of which Behind, Stale and
// NoState say nothing about the key.
const (
	Accepted  Result = "accepted"
	Unknown   Result = "key_unknown"
	NoKey     Result = "key_missing"
	BadFormat Result = "key_malformed"
	Behind    Result = "keys_behind" // a newer state may hold the key
	Stale     Result = "keys_stale"  // the state is too old to accept any key
	NoState   Result = "keys_unread" // no state has been read
)

// Final reports whether the result is a judgement on what the request carries, so that asking again
// with the same key can't help.
func (r Result) Final() bool { return r == Unknown || r == NoKey || r == BadFormat }

// Decision is the outcome of a check and what it is based on.
type Decision struct {
	Result  Result
	Team    *routes.Team  // holder of the key; nil unless the result is Accepted
	Version uint64        // version of the state
	Age     time.Duration // time since the store is known to have held no newer state; negative if it is not known
	Refresh bool          // the node is to refresh the state early, see Refresher.Hurry
}

// Checker decides about keys by the state in force at one node. Use NewChecker.
type Checker struct {
	bounds  Bounds
	index   *Index    // of the state in force; nil if there is none
	newest  uint64    // highest version known to exist
	asOf    time.Time // the state in force is as new as what the store held then; zero if not known
	ownAsOf time.Time // the same by calls of this node to the store only
}

// NewChecker returns the checker of a node that has just started: it knows no state, and accepts no
// key until one is confirmed.
func NewChecker(b Bounds) *Checker { return &Checker{bounds: b} }

// PutInForce sets the state in force. What was confirmed of an older state holds for a newer one.
func (c *Checker) PutInForce(x *Index) {
	c.index = x
	c.NoteVersion(x.version)
}

// NoteVersion records that a version exists.
func (c *Checker) NoteVersion(version uint64) { c.newest = max(c.newest, version) }

// Confirm records that the state in force is as new as what the store held at a time. The time must
// not be later than that: it is when this node sent a call to the store or a query to another node,
// never when it received something, since messages may be delayed.
func (c *Checker) Confirm(asOf time.Time) {
	if asOf.After(c.asOf) {
		c.asOf = asOf
	}
}

// ConfirmOwn records the same for a response of the store to this node.
func (c *Checker) ConfirmOwn(asOf time.Time) {
	c.Confirm(asOf)
	if asOf.After(c.ownAsOf) {
		c.ownAsOf = asOf
	}
}

// ConfirmReply handles a node's reply to a query that was sent at the given time: the version in
// force there, and the age of that node's own confirmation when it replied, negative if it has none.
// It returns false if the reply confirms nothing here: the version is above the one in force.
func (c *Checker) ConfirmReply(sent time.Time, version uint64, age time.Duration) bool {
	c.NoteVersion(version)
	if c.index == nil || version == 0 || version > c.index.version || age < 0 {
		return false
	}
	c.Confirm(sent.Add(-age))
	return true
}

// Version returns the version in force; zero if there is none.
func (c *Checker) Version() uint64 {
	if c.index == nil {
		return 0
	}
	return c.index.version
}

// Age returns how long ago the state in force is known to have been the newest; negative if that is
// not known.
func (c *Checker) Age(now time.Time) time.Duration { return ageOf(now, c.asOf) }

// OwnAge returns the same by calls of this node only. A node tells others no other age: one that is
// passed on loses the time that messages took.
func (c *Checker) OwnAge(now time.Time) time.Duration { return ageOf(now, c.ownAsOf) }

func ageOf(now, asOf time.Time) time.Duration {
	if asOf.IsZero() {
		return -1
	}
	return max(0, now.Sub(asOf))
}

// Stale reports whether the state in force is too old to accept any key.
func (c *Checker) Stale(now time.Time) bool {
	age := c.Age(now)
	return c.bounds.FailClosed && (age < 0 || age >= c.bounds.StaleAge())
}

// Check decides about the key that a request carries. It holds for a request that is sent on at once.
func (c *Checker) Check(now time.Time, key Key) Decision {
	d := Decision{Version: c.Version(), Age: c.Age(now)}
	switch {
	case c.index == nil:
		d.Result = NoState
		return d
	case c.Stale(now):
		d.Result = Stale
		return d
	}
	if key.Form == Present {
		if d.Team = c.index.Find(key.Hash); d.Team != nil {
			d.Result = Accepted
			return d
		}
		d.Refresh = true
	}
	switch {
	case c.newest > c.index.version || d.Age < 0 || d.Age >= share(c.bounds.Apply, judgeShare):
		d.Result = Behind
	case key.Form == Missing:
		d.Result = NoKey
	case key.Form == Malformed:
		d.Result = BadFormat
	default:
		d.Result = Unknown
	}
	return d
}
