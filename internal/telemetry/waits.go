package telemetry

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// waitMetrics are the metrics of requests that wait for a backend server.
type waitMetrics struct {
	ended    metric.Int64Counter
	duration metric.Float64Histogram
}

// waitLabels are the labels of requests that waited.
type waitLabels struct{ cause, outcome string }

// attributes implements labels.
func (l waitLabels) attributes() []attribute.KeyValue {
	return []attribute.KeyValue{attribute.String("cause", l.cause), attribute.String("outcome", l.outcome)}
}

// addWaitInstruments registers the instruments of requests that wait.
func (m *Metrics) addWaitInstruments() error {
	meter := m.provider.Meter("redwingnotch")
	var errs [2]error
	m.waits.ended, errs[0] = meter.Int64Counter("redwingnotch_queue_waits", metric.WithDescription("Requests that waited for a backend server, by cause and outcome."))
	m.waits.duration, errs[1] = meter.Float64Histogram("redwingnotch_queue_wait_duration", metric.WithUnit("s"),
		metric.WithDescription("Time for which requests waited for a backend server."), metric.WithExplicitBucketBoundaries(latencyBounds...))
	return errors.Join(errs[:]...)
}

// QueueWait records the end of a wait for a backend server, by its cause and outcome.
func (m *Metrics) QueueWait(cause, outcome string, took time.Duration) {
	option := m.labelOption(waitLabels{cause, outcome})
	m.waits.ended.Add(context.Background(), 1, option)
	m.waits.duration.Record(context.Background(), took.Seconds(), option)
}
