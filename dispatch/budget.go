package dispatch

import "time"

// RetryBudgetSettings limits the rate of retries and hedges of one node.
type RetryBudgetSettings struct {
	RetriesPerRequest float64 // retries earned per request, such as 0.1
	PerSecond         float64 // retries earned per second, independent of the request rate
	Burst             float64 // retries that can accumulate at most
}

// DefaultRetryBudgetSettings returns settings that allow retries for a tenth of the
// requests plus one per second, with a burst of 20.
func DefaultRetryBudgetSettings() RetryBudgetSettings {
	return RetryBudgetSettings{RetriesPerRequest: 0.1, PerSecond: 1, Burst: 20}
}

// RetryBudget is a token bucket for retries and hedges. Each node has its own. As
// each node allows retries for a share of its own requests, the retries of all
// nodes stay below the same share of all requests, apart from those that
// PerSecond and Burst allow.
type RetryBudget struct {
	settings   RetryBudgetSettings
	tokens     float64
	refilledAt time.Time
}

// NewRetryBudget returns a budget that starts with Burst tokens.
func NewRetryBudget(s RetryBudgetSettings) *RetryBudget {
	return &RetryBudget{settings: s, tokens: s.Burst}
}

// AddRequest adds RetriesPerRequest tokens for the first attempt of a request.
func (b *RetryBudget) AddRequest(now time.Time) {
	b.refill(now)
	b.tokens = min(b.settings.Burst, b.tokens+b.settings.RetriesPerRequest)
}

// TryRetry takes one token for a retry or hedge and reports whether one was
// available.
func (b *RetryBudget) TryRetry(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refill adds the tokens earned since the last refill.
func (b *RetryBudget) refill(now time.Time) {
	if !b.refilledAt.IsZero() && now.After(b.refilledAt) {
		b.tokens = min(b.settings.Burst, b.tokens+b.settings.PerSecond*now.Sub(b.refilledAt).Seconds())
	}
	if now.After(b.refilledAt) {
		b.refilledAt = now
	}
}
