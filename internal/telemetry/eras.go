package telemetry

import (
	"context"
	"errors"

	"go.opentelemetry.io/otel/metric"
)

// eraMetrics are the metrics of the store's eras.
type eraMetrics struct {
	rises   metric.Int64Counter
	unknown metric.Int64Counter
}

// add registers the instruments.
func (e *eraMetrics) add(meter metric.Meter) error {
	var errs [2]error
	e.rises, errs[0] = meter.Int64Counter("redwingnotch_store_era_rises",
		metric.WithDescription("Times at which the platform's store came back from an older copy."))
	e.unknown, errs[1] = meter.Int64Counter("redwingnotch_store_era_unknown",
		metric.WithDescription("Answers of the platform's store that prove nothing, as they are of no known era or of an earlier one."))
	return errors.Join(errs[:]...)
}

// StoreEraRose counts that the platform's store has come back from an older copy.
func (m *Metrics) StoreEraRose() { m.eras.rises.Add(context.Background(), 1) }

// StoreEraUnknown counts an answer of the store of no known era, or of an earlier one.
func (m *Metrics) StoreEraUnknown() { m.eras.unknown.Add(context.Background(), 1) }
