package front

import (
	"maps"
	"slices"
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

// record counts a decision for the metrics and the log. The caller holds a.mu.
func (a *allowances) record(team string, tokens int64, d allowance.Decision, waited time.Duration) {
	result := "granted"
	if !d.Admitted {
		result = "rejected"
	}
	a.metrics.AllowanceTokens(team, result, string(d.Source), tokens)
	if d.Source == allowance.FromBudget {
		a.metrics.AllowanceFallback(team, result)
	}
	if d.Admitted && d.Source != allowance.FromBudget {
		return
	}
	s := a.summaries[team]
	if s == nil {
		s = &allowanceSummary{}
		a.summaries[team] = s
	}
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
	for _, team := range slices.Sorted(maps.Keys(a.summaries)) {
		s := a.summaries[team]
		if now.Sub(s.logged) < summaryInterval {
			continue
		}
		if s.rejected+s.fallbacks == 0 {
			delete(a.summaries, team)
			continue
		}
		reason := reasonOverAllowance
		if s.fallbacks > 0 {
			reason = "holder_silent"
		}
		answered, _ := a.node.Silent(now, team)
		part := a.node.Part()
		level.Info(a.log).Log("event", "allowance_limited", "team", team, "reason", reason, "rejected", s.rejected, "rejected_tokens", s.rejectedTokens,
			"fallbacks", s.fallbacks, "source", s.source, "age_ms", s.age.Milliseconds(), "waited_ms", s.waited.Milliseconds(),
			"holder", a.node.HolderOf(team), "answered_ms", answered.Milliseconds(), "live", part.Live, "nodes", part.Nodes)
		*s = allowanceSummary{logged: now}
	}
}
