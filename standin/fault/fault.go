// Package fault injects faults into the stand-ins: delays, errors, dropped
// responses, outages, and stalled or closed connections.
package fault

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Injector controls the faults injected into one stand-in. The zero value injects
// none. Safe for concurrent use.
type Injector struct {
	mu                sync.Mutex
	delay             time.Duration
	outage            bool
	failuresLeft      int
	lostResponsesLeft int
	unframed          bool
	cutsLeft          int
	cut               Cut
	conns             map[*conn]struct{}
}

// SetDelay delays the handling of each request by d.
func (i *Injector) SetDelay(d time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.delay = d
}

// SetOutage sets whether the stand-in refuses all requests, without any effect.
func (i *Injector) SetOutage(on bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.outage = on
}

// FailNext makes the next n requests fail without any effect.
func (i *Injector) FailNext(n int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.failuresLeft = n
}

// DropResponses makes the next n writes take effect and drops their responses.
func (i *Injector) DropResponses(n int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lostResponsesLeft = n
}

// SetUnframed sets whether responses have neither a length nor chunks and end with
// their connection.
func (i *Injector) SetUnframed(on bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.unframed = on
}

// CutResponses cuts the next n responses.
func (i *Injector) CutResponses(n int, cut Cut) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cutsLeft, i.cut = n, cut
}

// Decision lists the faults to inject into one request.
type Decision struct {
	Delay        time.Duration // delay before the request is handled
	Outage       bool          // refuse the request: the stand-in is down
	Fail         bool          // refuse this request only
	DropResponse bool          // handle the request, then drop the response
	Unframed     bool          // send the response without length and chunks
	Cut          *Cut          // cut the response; nil sends all of it
}

// Decide returns the faults of the next request and counts the request against
// FailNext, CutResponses or, if it is a write, against DropResponses.
func (i *Injector) Decide(write bool) Decision {
	i.mu.Lock()
	defer i.mu.Unlock()
	decision := Decision{Delay: i.delay, Outage: i.outage, Unframed: i.unframed}
	if decision.Outage {
		return decision
	}
	if i.failuresLeft > 0 {
		i.failuresLeft--
		decision.Fail = true
		return decision
	}
	if write && i.lostResponsesLeft > 0 {
		i.lostResponsesLeft--
		decision.DropResponse = true
		return decision
	}
	if i.cutsLeft > 0 {
		i.cutsLeft--
		cut := i.cut
		decision.Cut = &cut
	}
	return decision
}

// Wrap injects the faults into a handler. During an outage it responds with 503
// and to a failed request with 500, without running the handler. To drop a
// response it runs the handler and then closes the connection. Requests other
// than GET count as writes.
func (i *Injector) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		decision := i.Decide(r.Method != http.MethodGet)
		if Sleep(r.Context(), decision.Delay) != nil {
			panic(http.ErrAbortHandler)
		}
		switch {
		case decision.Outage:
			http.Error(w, "outage", http.StatusServiceUnavailable)
		case decision.Fail:
			http.Error(w, "failure", http.StatusInternalServerError)
		case decision.DropResponse:
			next.ServeHTTP(&discardWriter{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		default:
			next.ServeHTTP(decision.frame(w, r), r)
		}
	})
}

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

// Header implements http.ResponseWriter.
func (w *discardWriter) Header() http.Header { return w.header }

// Write implements http.ResponseWriter.
func (w *discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (w *discardWriter) WriteHeader(int) {}

// Flush implements http.Flusher.
func (w *discardWriter) Flush() {}

// Sleep waits for d or until ctx ends, and returns the error of an ended ctx.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
