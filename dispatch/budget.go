package dispatch

import "time"

// BudgetSettings bound retries and hedges.
type BudgetSettings struct {
	Share     float64 // retries per request, such as 0.1
	PerSecond float64 // retries a second allowed whatever the traffic
	Burst     float64 // retries saved up at most
}

// DefaultBudgetSettings allow a tenth of the requests and one a second.
func DefaultBudgetSettings() BudgetSettings {
	return BudgetSettings{Share: 0.1, PerSecond: 1, Burst: 20}
}

// Budget is a token bucket for retries. Each node keeps one; as each allows a
// share of its own requests, the fleet's retries stay below the same share.
type Budget struct {
	settings BudgetSettings
	tokens   float64
	at       time.Time
}

// NewBudget returns a full budget.
func NewBudget(s BudgetSettings) *Budget {
	return &Budget{settings: s, tokens: s.Burst}
}

// Request pays in for one first try.
func (b *Budget) Request(now time.Time) {
	b.refill(now)
	b.tokens = min(b.settings.Burst, b.tokens+b.settings.Share)
}

// TryRetry takes one retry or hedge out of the budget, if it holds one.
func (b *Budget) TryRetry(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refill pays in for the time that passed.
func (b *Budget) refill(now time.Time) {
	if !b.at.IsZero() && now.After(b.at) {
		b.tokens = min(b.settings.Burst, b.tokens+b.settings.PerSecond*now.Sub(b.at).Seconds())
	}
	if now.After(b.at) {
		b.at = now
	}
}
