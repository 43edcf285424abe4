// Package loadbudget keeps loads from the weight store within its limits: loads
// started per second, loads in flight, and adapter loads in flight. A controller
// that may not be the only active one uses a share of the limits.
//
// Load starts are spaced: the interval between two is at least the inverse of the
// rate. Budget does no I/O, has no clock and is not safe for concurrent use.
package loadbudget

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/redwingnotch/redwingnotch/invariant"
)

// Settings are the limits of one weight store.
type Settings struct {
	LoadsPerSecond   float64 // model loads started per second
	LoadsInFlight    int     // concurrent model loads that run at full speed
	AdaptersInFlight int     // concurrent adapter loads
}

// Shares of the limits. A controller that lost contact with the object API, its first
// successor and its second one may be active together: a half and two quarters
// make up the whole.
const (
	ShareWhole     = 1.0  // share of the only active controller
	ShareHalf      = 0.5  // share of a controller that lost contact with the object API
	ShareSuccessor = 0.25 // share of each of its first two successors
)

// Budget counts the loads in flight and limits their starts. The token bucket of a
// new Budget is empty, as an earlier controller may have used its tokens just
// before.
type Budget struct {
	settings Settings
	share    float64 // part of the limits that may be used, above 0 and at most 1
	bucket   *rate.Limiter
	loads    map[string]struct{} // model loads in flight, by order id
	adapters map[string]struct{} // adapter loads in flight, by order id
}

// New returns a budget whose token bucket is empty at now.
func New(now time.Time, s Settings) *Budget {
	b := &Budget{
		settings: s,
		share:    ShareWhole,
		bucket:   rate.NewLimiter(rate.Limit(s.LoadsPerSecond), 1),
		loads:    map[string]struct{}{},
		adapters: map[string]struct{}{},
	}
	b.bucket.AllowN(now, 1)
	return b
}

// SetShare sets the part of the limits that this controller may use, above 0 and at
// most 1.
func (b *Budget) SetShare(now time.Time, share float64) {
	if share == b.share {
		return
	}
	b.share = share
	b.bucket.SetLimitAt(now, rate.Limit(b.settings.LoadsPerSecond*share))
}

// Share returns the part of the limits that this controller may use.
func (b *Budget) Share() float64 { return b.share }

// CanStartLoad reports whether a load from the weight store may start now.
func (b *Budget) CanStartLoad(now time.Time) bool {
	return len(b.loads) < b.limit(b.settings.LoadsInFlight) && b.bucket.TokensAt(now) >= 1
}

// StartLoad counts a load from the weight store as started if the limits allow it,
// and reports whether they do. The id is that of the load's order.
func (b *Budget) StartLoad(now time.Time, id string) bool {
	if !b.CanStartLoad(now) {
		return false
	}
	b.startLoad(now, id)
	return true
}

// startLoad counts a load and checks the invariant that the limits hold.
func (b *Budget) startLoad(now time.Time, id string) {
	allowed := b.bucket.AllowN(now, 1)
	b.loads[id] = struct{}{}
	limit := b.limit(b.settings.LoadsInFlight)
	invariant.Check(allowed && len(b.loads) <= limit, invariant.LoadBudget,
		"load %s: %d in flight, limit %d, rate token available: %t", id, len(b.loads), limit, allowed)
}

// AdoptLoad counts a load in flight that an earlier controller started. It uses no token.
func (b *Budget) AdoptLoad(id string) { b.loads[id] = struct{}{} }

// EndLoad removes a load that no longer uses the weight store.
func (b *Budget) EndLoad(id string) { delete(b.loads, id) }

// StartAdapter counts an adapter load as started if the limit allows it, and reports
// whether it does. The id is that of the load's order.
func (b *Budget) StartAdapter(id string) bool {
	if len(b.adapters) >= b.limit(b.settings.AdaptersInFlight) {
		return false
	}
	b.startAdapter(id)
	return true
}

// startAdapter counts an adapter load and checks the invariant that the limit holds.
func (b *Budget) startAdapter(id string) {
	b.adapters[id] = struct{}{}
	limit := b.limit(b.settings.AdaptersInFlight)
	invariant.Check(len(b.adapters) <= limit, invariant.LoadBudget,
		"adapter load %s: %d in flight, limit %d", id, len(b.adapters), limit)
}

// EndAdapter removes an adapter load that no longer uses the weight store.
func (b *Budget) EndAdapter(id string) { delete(b.adapters, id) }

// InFlight returns the number of model loads and of adapter loads in flight.
func (b *Budget) InFlight() (loads, adapters int) { return len(b.loads), len(b.adapters) }

// limit scales a limit by the share, rounded down but at least 1.
func (b *Budget) limit(whole int) int {
	return max(1, int(math.Floor(float64(whole)*b.share)))
}
