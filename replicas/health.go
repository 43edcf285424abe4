package replicas

import (
	"math"
	"time"
)

// Parameters of health tracking and outlier ejection.
const (
	healthHalfLife      = 3 * time.Second        // half-life of an observation's weight
	ejectMinSamples     = 2.5                    // minimum weight of observations for a failure rate
	ejectThreshold      = 0.25                   // a server is ejected if its failure rate exceeds the service's mean by more than this
	minReconnectBackoff = 800 * time.Millisecond // time for which an unreachable server is penalized after the first failed connection; doubles with each further one
	maxReconnectBackoff = 6 * time.Second        // upper limit of that time
	disconnectedAfter   = 400 * time.Millisecond // a server counts as disconnected this long after the first failed connection
	disconnectedExpiry  = 4 * time.Second        // a server no longer counts as disconnected this long after the last failed connection
	maxEjectedShare     = 0.5                    // maximum share of a service's servers that are ejected, but at least one server
	slowLatencyFactor   = 2.5                    // a server is ejected if its latency exceeds the service's mean by more than this factor
	minLatencyWeight    = 4.0                    // minimum weight of latency observations for a mean latency
)

// health summarizes the observations of one server. Counts and sums are weighted
// by age.
type health struct {
	at                  time.Time     // time of the last decay
	failures            float64       // weighted number of failed requests
	samples             float64       // weighted number of requests
	latency             float64       // weighted sum of the latencies passed to Observe, in milliseconds
	latencyWeight       float64       // sum of the weights in latency
	unreachableUntil    time.Time     // end of the current unreachable period
	backoff             time.Duration // current length of an unreachable period
	reportedByPeer      bool          // unreachableUntil was set by another node's message
	firstConnectFailure time.Time     // first failed connection since the last response; zero if none
	lastConnectFailure  time.Time     // most recent failed connection
}

// decay reduces the weights according to the time since the last decay.
func (h *health) decay(now time.Time) {
	if age := now.Sub(h.at); age > 0 && !h.at.IsZero() {
		f := math.Exp2(-float64(age) / float64(healthHalfLife))
		h.failures *= f
		h.samples *= f
		h.latency *= f
		h.latencyWeight *= f
	}
	h.at = now
}

// failureRate returns the share of failed requests, or 0 with too few samples.
func (h *health) failureRate() float64 {
	if h.samples < ejectMinSamples {
		return 0
	}
	return h.failures / h.samples
}

// Observation is the outcome of a request that was sent to a server.
type Observation uint8

// Outcomes of requests.
const (
	Answered    Observation = iota // the server responded
	Failed                         // connection reset, response truncated, malformed or timed out, or a server error
	Unreachable                    // no connection could be made
)

// Observe records the outcome of a request. The latency is the time until the first
// event of a stream or until another response was read to its end; zero if unknown.
func (t *Table) Observe(now time.Time, id string, o Observation, latency time.Duration) {
	row := t.rows[id]
	if row == nil {
		return
	}
	t.observeLimit(now, row, o, latency)
	h := &row.health
	h.decay(now)
	h.samples++
	if o != Answered || !h.unreachableUntil.IsZero() {
		t.healthChanged(row)
	}
	switch o {
	case Answered:
		h.unreachableUntil, h.backoff, h.reportedByPeer, h.firstConnectFailure = time.Time{}, 0, false, time.Time{}
		if latency > 0 {
			h.latency += float64(latency.Milliseconds())
			h.latencyWeight++
		}
	case Failed:
		h.failures++
	case Unreachable:
		h.failures++
		h.backoff = min(max(minReconnectBackoff, 2*h.backoff), maxReconnectBackoff)
		h.unreachableUntil, h.reportedByPeer = now.Add(h.backoff), false
		h.recordConnectFailure(now)
	}
}

// unreachable reports whether a connection to the server failed recently, as
// observed by this node or reported by another.
func (s *Server) unreachable(now time.Time) bool { return now.Before(s.health.unreachableUntil) }

// Unreachable returns the IDs of the servers to which this node itself recently
// failed to connect. Servers that only other nodes reported are not included, so
// that such reports are not passed on.
func (t *Table) Unreachable(now time.Time) []string {
	var ids []string
	for id, s := range t.rows {
		if s.unreachable(now) && !s.health.reportedByPeer {
			ids = append(ids, id)
		}
	}
	return ids
}

// MarkUnreachable records that another node could not connect to a server.
func (t *Table) MarkUnreachable(now time.Time, id string) {
	if row := t.rows[id]; row != nil && !row.unreachable(now) {
		row.health.unreachableUntil, row.health.reportedByPeer = now.Add(minReconnectBackoff), true
		row.health.recordConnectFailure(now)
		t.healthChanged(row)
	}
}

// recordConnectFailure updates the times of the first and last failed connection.
func (h *health) recordConnectFailure(now time.Time) {
	if h.firstConnectFailure.IsZero() {
		h.firstConnectFailure = now
	}
	h.lastConnectFailure = now
}

// Disconnected reports whether a server is disconnected: it has been unreachable for so
// long that its models should be loaded elsewhere, although its entry still exists.
func (t *Table) Disconnected(now time.Time, id string) bool {
	row := t.rows[id]
	if row == nil || row.health.firstConnectFailure.IsZero() {
		return false
	}
	return now.Sub(row.health.firstConnectFailure) >= disconnectedAfter && now.Sub(row.health.lastConnectFailure) < disconnectedExpiry
}

// penalty returns how much worse a server performs than the mean of its service: 0
// if not worse, 1 if it is unreachable. A server that exceeds slowLatencyFactor gets
// a penalty above ejectThreshold.
func (s *Server) penalty(now time.Time, mean serviceMeans) float64 {
	if s.unreachable(now) {
		return 1
	}
	h := s.health
	h.decay(now)
	p := max(0, h.failureRate()-mean.failureRate)
	if h.latencyWeight >= minLatencyWeight && mean.latency > 0 {
		if ratio := h.latency / h.latencyWeight / mean.latency; ratio > slowLatencyFactor {
			p = max(p, ejectThreshold+0.1)
		}
	}
	return p
}

// serviceMeans holds the means over a service's servers.
type serviceMeans struct {
	failureRate float64
	latency     float64 // milliseconds; zero if no server has enough observations
}

// means returns the mean failure rate of the given servers that stay, and the mean of
// their mean latencies.
func means(now time.Time, rows []*Server) serviceMeans {
	var m serviceMeans
	counted := 0
	staying := 0
	for _, s := range rows {
		if s.Draining {
			continue
		}
		staying++
		h := s.health
		h.decay(now)
		m.failureRate += h.failureRate()
		if h.latencyWeight >= minLatencyWeight {
			m.latency += h.latency / h.latencyWeight
			counted++
		}
	}
	if staying > 0 {
		m.failureRate /= float64(staying)
	}
	if counted > 0 {
		m.latency /= float64(counted)
	}
	return m
}
