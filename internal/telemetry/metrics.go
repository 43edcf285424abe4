package telemetry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// Metrics are the metrics of one node. Each has its own registry, so several nodes
// can run in one process.
type Metrics struct {
	provider     *sdk.MeterProvider
	handler      http.Handler
	requests     metric.Int64Counter
	duration     metric.Float64Histogram
	firstToken   metric.Float64Histogram
	retries      metric.Int64Counter
	violations   metric.Int64Counter
	running      metric.Int64UpDownCounter
	orders       metric.Int64Counter
	responses    metric.Int64Counter
	serverEnds   metric.Int64Counter
	notices      metric.Int64Counter
	connections  metric.Int64Counter
	storeCalls   metric.Int64Counter
	resumptions  metric.Int64Counter
	keyRejects   metric.Int64Counter
	waits        waitMetrics
	limitChanges metric.Int64Counter
	allowance    allowanceMetrics
	eras         eraMetrics
	labelOptions sync.Map // labels -> metric.MeasurementOption
}

// requestLabels are the labels of a request metric.
type requestLabels struct{ kind, rank, outcome, code string }

// attributes implements labels.
func (l requestLabels) attributes() []attribute.KeyValue {
	var attributes []attribute.KeyValue
	for _, a := range []struct{ key, value string }{
		{"kind", l.kind}, {"rank", l.rank}, {"outcome", l.outcome}, {"code", l.code},
	} {
		if a.value != "" {
			attributes = append(attributes, attribute.String(a.key, a.value))
		}
	}
	return attributes
}

// responseLabels are the labels of the responses of backend servers.
type responseLabels struct {
	framing, end string
	insideEvent  bool
}

// attributes implements labels.
func (l responseLabels) attributes() []attribute.KeyValue {
	return []attribute.KeyValue{
		attribute.String("framing", l.framing), attribute.String("end", l.end), attribute.Bool("inside_event", l.insideEvent),
	}
}

// labels are the labels of a metric. Its types are comparable and have few distinct
// values, so their options are cached without a limit.
type labels interface{ attributes() []attribute.KeyValue }

// labelOption returns the labels as an option, cached after the first use.
func (m *Metrics) labelOption(l labels) metric.MeasurementOption {
	if cached, ok := m.labelOptions.Load(l); ok {
		return cached.(metric.MeasurementOption)
	}
	labelOption := metric.WithAttributeSet(attribute.NewSet(l.attributes()...))
	m.labelOptions.Store(l, labelOption)
	return labelOption
}

// latencyBounds are the bucket bounds of the latency histograms, in seconds.
var latencyBounds = []float64{0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 120, 300, 900}

// NewMetrics creates the metrics of a node.
func NewMetrics() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return nil, fmt.Errorf("metrics exporter: %w", err)
	}
	m := &Metrics{
		provider: sdk.NewMeterProvider(sdk.WithReader(exporter)),
		handler:  promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}
	if err := errors.Join(m.addInstruments(), m.addWaitInstruments()); err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	return m, nil
}

// addInstruments registers all instruments and returns the first error.
func (m *Metrics) addInstruments() error {
	meter := m.provider.Meter("redwingnotch")
	var errs [17]error
	m.requests, errs[0] = meter.Int64Counter("redwingnotch_requests", metric.WithDescription("Requests by kind, rank, outcome and code."))
	m.duration, errs[1] = meter.Float64Histogram("redwingnotch_request_duration", metric.WithUnit("s"),
		metric.WithDescription("Time from arrival to the end of the answer."), metric.WithExplicitBucketBoundaries(latencyBounds...))
	m.firstToken, errs[2] = meter.Float64Histogram("redwingnotch_first_token", metric.WithUnit("s"),
		metric.WithDescription("Time from arrival to the first token."), metric.WithExplicitBucketBoundaries(latencyBounds...))
	m.retries, errs[3] = meter.Int64Counter("redwingnotch_retries", metric.WithDescription("Repeated dispatches by cause."))
	m.violations, errs[4] = meter.Int64Counter("redwingnotch_invariant_violations", metric.WithDescription("Broken invariants by name."))
	m.running, errs[5] = meter.Int64UpDownCounter("redwingnotch_running_requests", metric.WithDescription("Requests in progress at this node."))
	m.orders, errs[6] = meter.Int64Counter("redwingnotch_orders", metric.WithDescription("Orders to backend servers by kind and result."))
	m.responses, errs[7] = meter.Int64Counter("redwingnotch_server_responses",
		metric.WithDescription("Responses of backend servers by framing, how the body ended, and whether that was inside an event of a stream."))
	m.serverEnds, errs[8] = meter.Int64Counter("redwingnotch_server_ends",
		metric.WithDescription("Backend servers that ended under requests of this node, by evidence."))
	m.notices, errs[9] = meter.Int64Counter("redwingnotch_server_notices",
		metric.WithDescription("Responses in which backend servers said that they leave or turn requests away, by kind."))
	m.connections, errs[10] = meter.Int64Counter("redwingnotch_server_connections",
		metric.WithDescription("Connections opened to backend servers, by cause."))
	m.storeCalls, errs[11] = meter.Int64Counter("redwingnotch_store_calls", metric.WithDescription("Calls to the platform's store by kind of object and call."))
	m.resumptions, errs[12] = meter.Int64Counter("redwingnotch_stream_resumptions",
		metric.WithDescription("Streams that callers took up again, by how their origin was known and why they were refused."))
	m.keyRejects, errs[13] = meter.Int64Counter("redwingnotch_key_rejections",
		metric.WithDescription("Requests rejected because of their API keys, by status and reason."))
	m.limitChanges, errs[14] = meter.Int64Counter("redwingnotch_server_limit_changes",
		metric.WithDescription("Changes of backend servers' concurrency limits, by cause and by whose evidence it was."))
	errs[15] = m.allowance.add(meter)
	errs[16] = m.eras.add(meter)
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// RequestStarted increments the number of running requests.
func (m *Metrics) RequestStarted() { m.running.Add(context.Background(), 1) }

// RequestEnded decrements the number of running requests and records the outcome
// and duration of a request.
func (m *Metrics) RequestEnded(kind, rank, outcome, code string, duration time.Duration) {
	ctx := context.Background()
	m.running.Add(ctx, -1)
	m.requests.Add(ctx, 1, m.labelOption(requestLabels{kind, rank, outcome, code}))
	m.duration.Record(ctx, duration.Seconds(), m.labelOption(requestLabels{kind: kind, rank: rank}))
}

// FirstToken records the time from a request's arrival to its first token, or to the
// first byte of its response.
func (m *Metrics) FirstToken(rank string, d time.Duration) {
	m.firstToken.Record(context.Background(), d.Seconds(), m.labelOption(requestLabels{rank: rank}))
}

// Retry counts a repeated dispatch by its cause.
func (m *Metrics) Retry(cause string) {
	m.retries.Add(context.Background(), 1, metric.WithAttributes(attribute.String("cause", cause)))
}

// Violation counts a violated invariant by its name.
func (m *Metrics) Violation(name string) {
	m.violations.Add(context.Background(), 1, metric.WithAttributes(attribute.String("name", name)))
}

// Order counts an order to a backend server by its kind and result.
func (m *Metrics) Order(kind, result string) {
	m.orders.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", kind), attribute.String("result", result)))
}

// ResponseEnded counts a backend server's response by its framing and by how its
// body ended.
func (m *Metrics) ResponseEnded(framing, end string, insideEvent bool) {
	m.responses.Add(context.Background(), 1, m.labelOption(responseLabels{framing, end, insideEvent}))
}

// ServerEnded counts a backend server that ended while it ran requests of this node, by
// the evidence for its end.
func (m *Metrics) ServerEnded(evidence string) {
	m.serverEnds.Add(context.Background(), 1, metric.WithAttributes(attribute.String("evidence", evidence)))
}

// ServerNotice counts a response in which a backend server said something of itself, by its
// kind: leaving, the first time that a start of it said so, or sheds.
func (m *Metrics) ServerNotice(kind string) {
	m.notices.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", kind)))
}

// ServerConnection counts a connection opened to a backend server, by its cause.
func (m *Metrics) ServerConnection(cause string) {
	m.connections.Add(context.Background(), 1, metric.WithAttributes(attribute.String("cause", cause)))
}

// StreamResumption counts a stream that its caller takes up again, by the source of its origin
// and the reason of its refusal, which is empty if it was not refused.
func (m *Metrics) StreamResumption(source, refused string) {
	m.resumptions.Add(context.Background(), 1, metric.WithAttributes(attribute.String("source", source), attribute.String("refused", refused)))
}

// KeyRejected counts a request that was rejected because of its API key, by the status of the
// response, zero if its connection was closed instead, and the reason.
func (m *Metrics) KeyRejected(status int, reason string) {
	m.keyRejects.Add(context.Background(), 1, m.labelOption(keyRejectLabels{status, reason}))
}

// keyRejectLabels are the labels of rejections because of API keys.
type keyRejectLabels struct {
	status int
	reason string
}

// attributes implements labels.
func (l keyRejectLabels) attributes() []attribute.KeyValue {
	return []attribute.KeyValue{attribute.Int("status", l.status), attribute.String("reason", l.reason)}
}

// storeCallLabels are the labels of the calls to the store.
type storeCallLabels struct{ kind, call string }

// attributes implements labels.
func (l storeCallLabels) attributes() []attribute.KeyValue {
	return []attribute.KeyValue{attribute.String("kind", l.kind), attribute.String("call", l.call)}
}

// StoreCall counts a call to the platform's store by the kind of object and the call.
func (m *Metrics) StoreCall(kind, call string) {
	m.storeCalls.Add(context.Background(), 1, m.labelOption(storeCallLabels{kind, call}))
}

// DesiredState says how current a node's desired state is.
type DesiredState struct {
	Version      uint64        // version in force; zero if there is none
	ConfirmedAge time.Duration // time since the store confirmed that no newer version exists; since the start if it never did
	Behind       time.Duration // time for which a newer version has been known; zero if none is
}

// ObserveDesiredState adds gauges of the node's desired state. Each reading of the
// metrics calls current.
func (m *Metrics) ObserveDesiredState(current func() DesiredState) error {
	meter := m.provider.Meter("redwingnotch")
	var errs [4]error
	var version metric.Int64ObservableGauge
	var age, behind metric.Float64ObservableGauge
	version, errs[0] = meter.Int64ObservableGauge("redwingnotch_desired_state_version", metric.WithDescription("Version of the desired state in force."))
	age, errs[1] = meter.Float64ObservableGauge("redwingnotch_desired_state_confirmed_age", metric.WithUnit("s"),
		metric.WithDescription("Time since the store confirmed that the desired state in force is the newest."))
	behind, errs[2] = meter.Float64ObservableGauge("redwingnotch_desired_state_behind", metric.WithUnit("s"),
		metric.WithDescription("Time for which a newer desired state than the one in force has been known."))
	if err := errors.Join(errs[:]...); err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	_, errs[3] = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		d := current()
		o.ObserveInt64(version, int64(d.Version))
		o.ObserveFloat64(age, d.ConfirmedAge.Seconds())
		o.ObserveFloat64(behind, d.Behind.Seconds())
		return nil
	}, version, age, behind)
	return errors.Join(errs[:]...)
}

// Capacity is what a node has learned of the capacity of backend servers, for its metrics.
type Capacity struct {
	Slots      map[string]float64 // learned slots of a usual server, by service
	Slow, Fast int                // servers that take clearly more or less than the usual time
}

// ObserveCapacity adds the metrics of the learned capacity, which current returns.
func (m *Metrics) ObserveCapacity(current func() Capacity) error {
	meter := m.provider.Meter("redwingnotch")
	slots, err1 := meter.Float64ObservableGauge("redwingnotch_learned_slots",
		metric.WithDescription("Requests that a usual backend server of the service runs at once within their objective, as learned."))
	differing, err2 := meter.Int64ObservableGauge("redwingnotch_servers_of_other_pace",
		metric.WithDescription("Backend servers that take clearly more (slow) or less (fast) than the usual time of their service."))
	if err := errors.Join(err1, err2); err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	slow, fast := metric.WithAttributes(attribute.String("pace", "slow")), metric.WithAttributes(attribute.String("pace", "fast"))
	_, err := meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		c := current()
		for service, n := range c.Slots {
			o.ObserveFloat64(slots, n, metric.WithAttributes(attribute.String("service", service)))
		}
		o.ObserveInt64(differing, int64(c.Slow), slow)
		o.ObserveInt64(differing, int64(c.Fast), fast)
		return nil
	}, slots, differing)
	return err
}

// Shutdown flushes the metrics and stops their provider.
func (m *Metrics) Shutdown(ctx context.Context) error { return m.provider.Shutdown(ctx) }
