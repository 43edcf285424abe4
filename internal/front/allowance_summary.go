package front

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/allowance"
)

// summaryInterval is the least time between two log lines about a team's allowance.
const summaryInterval = 2 * time.Second

// allowanceSummary counts a team's decisions that are worth a log line, since the latest one.
type allowanceSummary struct {
	rejected       int   // requests
	rejectedTokens int64 // their tokens
	fallbacks      int   // requests that the node's own budget decided about
	source         allowance.Source
	age            time.Duration // age of what decided about the latest
	waited         time.Duration // longest wait for a decision
	logged         time.Time
}

// add counts a decision.
func (s *allowanceSummary) add(tokens int64, d allowance.Decision, waited time.Duration) {
	if !d.Admitted {
		s.rejected++
		s.rejectedTokens += tokens
	}
	if d.Source == allowance.FromBudget {
		s.fallbacks++
	}
	s.source, s.age, s.waited = d.Source, d.Age, max(s.waited, waited)
}

// logSummaries writes a line for each team of which requests were rejected or decided about without
// the holder, one in summaryInterval at most. The caller holds a.mu.
func (a *allowances) logSummaries(now time.Time) {
	for _, team := range a.teamNames() {
		s := &a.accounts[team].summary
		if s.rejected+s.fallbacks == 0 || now.Sub(s.logged) < summaryInterval {
			continue
		}
		reason := reasonOverAllowance
		if s.fallbacks > 0 {
			reason = "holder_silent"
		}
		answered, _ := a.accounts[team].Silent(now)
		level.Info(a.log).Log("event", "allowance_limited", "team", team, "reason", reason, "rejected", s.rejected, "rejected_tokens", s.rejectedTokens,
			"fallbacks", s.fallbacks, "source", s.source, "age_ms", s.age.Milliseconds(), "waited_ms", s.waited.Milliseconds(),
			"holder", a.holderOf[team], "answered_ms", answered.Milliseconds(), "live", a.part.Live, "nodes", a.part.Nodes)
		*s = allowanceSummary{logged: now}
	}
}
