// Package loadbudget keeps loads from the weight store within its limits: loads
// started a second, loads in flight, and adapter loads in flight. A controller
// that may not be alone works with a share of the limits.
//
// Loads are spaced: no two start within the inverse of the rate. Budget does no
// I/O, has no clock and is not safe for concurrent use.
package loadbudget

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/redwingnotch/redwingnotch/invariant"
)

// Settings are the limits of one weight store.
type Settings struct {
	LoadsPerSecond   float64 // model loads started a second
	LoadsInFlight    int     // model loads side by side at full speed
	AdaptersInFlight int     // adapter loads side by side
}

// Shares of the limits. A holder that lost the store, its first and its second
// successor sum up to the whole.
const (
	ShareWhole     = 1.0
	ShareHalf      = 0.5
	ShareSuccessor = 0.25
)

// Budget counts loads against the limits. The token bucket of a new Budget is
// empty, as an earlier controller may have used its tokens just before.
type Budget struct {
	settings Settings
	share    float64
	bucket   *rate.Limiter
	loads    map[string]struct{}
	adapters map[string]struct{}
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

// SetShare sets the part of the limits that this controller may use, above 0
// and at most 1.
func (b *Budget) SetShare(now time.Time, share float64) {
	if share == b.share {
		return
	}
	b.share = share
	b.bucket.SetLimitAt(now, rate.Limit(b.settings.LoadsPerSecond*share))
}

// Share returns the part of the limits in use.
func (b *Budget) Share() float64 { return b.share }

// CanStartLoad reports whether a load from the weight store may start now.
func (b *Budget) CanStartLoad(now time.Time) bool {
	return len(b.loads) < b.limit(b.settings.LoadsInFlight) && b.bucket.TokensAt(now) >= 1
}

// StartLoad counts a load from the weight store as started if the limits allow
// it. The id is that of its order.
func (b *Budget) StartLoad(now time.Time, id string) bool {
	if !b.CanStartLoad(now) {
		return false
	}
	b.startLoad(now, id)
	return true
}

func (b *Budget) startLoad(now time.Time, id string) {
	allowed := b.bucket.AllowN(now, 1)
	b.loads[id] = struct{}{}
	limit := b.limit(b.settings.LoadsInFlight)
	invariant.Check(allowed && len(b.loads) <= limit, invariant.LoadBudget,
		"load %s: %d in flight of %d, token %t", id, len(b.loads), limit, allowed)
}

// AdoptLoad counts a load that an earlier controller started.
func (b *Budget) AdoptLoad(id string) { b.loads[id] = struct{}{} }

// EndLoad notes that a load no longer draws on the weight store.
func (b *Budget) EndLoad(id string) { delete(b.loads, id) }

// StartAdapter counts an adapter load as started if the limit allows it.
func (b *Budget) StartAdapter(id string) bool {
	if len(b.adapters) >= b.limit(b.settings.AdaptersInFlight) {
		return false
	}
	b.startAdapter(id)
	return true
}

func (b *Budget) startAdapter(id string) {
	b.adapters[id] = struct{}{}
	limit := b.limit(b.settings.AdaptersInFlight)
	invariant.Check(len(b.adapters) <= limit, invariant.LoadBudget,
		"adapter load %s: %d in flight of %d", id, len(b.adapters), limit)
}

// EndAdapter notes that an adapter load no longer draws on the weight store.
func (b *Budget) EndAdapter(id string) { delete(b.adapters, id) }

// InFlight returns the counted loads of models and of adapters.
func (b *Budget) InFlight() (loads, adapters int) { return len(b.loads), len(b.adapters) }

// limit scales a whole limit by the share, but never to nothing.
func (b *Budget) limit(whole int) int {
	return max(1, int(math.Floor(float64(whole)*b.share)))
}
