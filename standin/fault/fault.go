// Package fault is a switchboard of faults for the stand-ins: delay, error,
// lost answer, outage, silence of open connections, and crash.
package fault

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Board switches the faults of one stand-in. The zero value has no fault. Safe
// for concurrent use.
type Board struct {
	mu          sync.Mutex
	delay       time.Duration
	outage      bool
	failures    int
	lostAnswers int
	conns       map[*conn]struct{}
}

// SetDelay makes each request wait before it is carried out.
func (b *Board) SetDelay(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.delay = d
}

// SetOutage makes the stand-in refuse all requests before any effect.
func (b *Board) SetOutage(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outage = on
}

// FailNext makes the next n requests fail before any effect.
func (b *Board) FailNext(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures = n
}

// LoseAnswers makes the next n writes take effect without an answer.
func (b *Board) LoseAnswers(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lostAnswers = n
}

// Verdict says what happens to one request.
type Verdict struct {
	Delay      time.Duration
	Outage     bool // refuse: the service is down
	Fail       bool // refuse: this request fails
	LoseAnswer bool // carry out, then lose the answer
}

// Judge decides on the next request and counts it against FailNext and, if it
// is a write, against LoseAnswers.
func (b *Board) Judge(write bool) Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := Verdict{Delay: b.delay, Outage: b.outage}
	if v.Outage {
		return v
	}
	if b.failures > 0 {
		b.failures--
		v.Fail = true
		return v
	}
	if write && b.lostAnswers > 0 {
		b.lostAnswers--
		v.LoseAnswer = true
	}
	return v
}

// Wrap applies the board to a handler. An outage answers 503 and a failure 500,
// both before the handler runs; a lost answer cuts the connection after it.
func (b *Board) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		v := b.Judge(r.Method != http.MethodGet)
		if Sleep(r.Context(), v.Delay) != nil {
			panic(http.ErrAbortHandler)
		}
		switch {
		case v.Outage:
			http.Error(w, "outage", http.StatusServiceUnavailable)
		case v.Fail:
			http.Error(w, "failure", http.StatusInternalServerError)
		case v.LoseAnswer:
			next.ServeHTTP(&discardWriter{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// discardWriter is a response writer whose answer goes nowhere.
type discardWriter struct{ header http.Header }

// Header implements http.ResponseWriter.
func (w *discardWriter) Header() http.Header { return w.header }

// Write implements http.ResponseWriter.
func (w *discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (w *discardWriter) WriteHeader(int) {}

// Flush implements http.Flusher.
func (w *discardWriter) Flush() {}

// Sleep waits for the duration or until the context ends.
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
