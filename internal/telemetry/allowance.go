package telemetry

import (
	"context"
	"errors"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// allowanceMetrics are the metrics of teams' token allowances.
type allowanceMetrics struct {
	tokens    metric.Int64Counter
	fallbacks metric.Int64Counter
}

// allowanceLabels are the labels of decisions about tokens. Teams are those of the desired state.
type allowanceLabels struct{ team, result, source string }

// attributes implements labels.
func (l allowanceLabels) attributes() []attribute.KeyValue {
	return []attribute.KeyValue{attribute.String("team", l.team), attribute.String("result", l.result), attribute.String("source", l.source)}
}

// add registers the instruments.
func (a *allowanceMetrics) add(meter metric.Meter) error {
	var errs [2]error
	a.tokens, errs[0] = meter.Int64Counter("redwingnotch_allowance_tokens",
		metric.WithDescription("Tokens of teams with an allowance by team, result and what decided."))
	a.fallbacks, errs[1] = meter.Int64Counter("redwingnotch_allowance_fallbacks",
		metric.WithDescription("Requests decided by the node's own budget because the team's holder did not answer, by team and result."))
	return errors.Join(errs[:]...)
}

// AllowanceTokens counts a team's tokens by result: granted, rejected, or returned by requests
// that did not run. source is what decided.
func (m *Metrics) AllowanceTokens(team, result, source string, tokens int64) {
	m.allowance.tokens.Add(context.Background(), tokens, m.labelOption(allowanceLabels{team, result, source}))
}

// AllowanceFallback counts a request of the team that was decided without its holder.
func (m *Metrics) AllowanceFallback(team, result string) {
	m.allowance.fallbacks.Add(context.Background(), 1, m.labelOption(allowanceLabels{team: team, result: result}))
}
