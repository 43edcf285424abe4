package telemetry

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// ServerLimit is the concurrency limit of a backend server and the cause of its last change.
type ServerLimit struct {
	Server, Cause string
	Limit         float64
}

// limitLabels are the labels of the changes of concurrency limits.
type limitLabels struct{ cause, source string }

// attributes implements labels.
func (l limitLabels) attributes() []attribute.KeyValue {
	return []attribute.KeyValue{attribute.String("cause", l.cause), attribute.String("source", l.source)}
}

// LimitChanged counts a change of a backend server's concurrency limit by its cause, and by whether
// this node or another one has the evidence.
func (m *Metrics) LimitChanged(cause, source string) {
	m.limitChanges.Add(context.Background(), 1, m.labelOption(limitLabels{cause, source}))
}

// ObserveServerLimits adds a gauge of the concurrency limits. Each reading of the metrics calls
// current; servers without a limit have no value.
func (m *Metrics) ObserveServerLimits(current func() []ServerLimit) error {
	meter := m.provider.Meter("redwingnotch")
	limit, err := meter.Float64ObservableGauge("redwingnotch_server_limit", metric.WithDescription("Requests that a backend server with a concurrency limit may have at once, by server and cause."))
	if err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for _, l := range current() {
			o.ObserveFloat64(limit, l.Limit, metric.WithAttributes(attribute.String("server", l.Server), attribute.String("cause", l.Cause)))
		}
		return nil
	}, limit)
	return err
}
