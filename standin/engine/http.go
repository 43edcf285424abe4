package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
)

// maxRequestBytes is the largest accepted request body.
const maxRequestBytes = 8 << 20

func (e *Engine) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engine.PathInfer, e.serveInfer)
	mux.HandleFunc("POST "+engine.PathCancel, e.serveCancel)
	mux.HandleFunc("POST "+engine.PathOrders, e.serveOrder)
	mux.HandleFunc("GET "+engine.PathReport, e.serveReport)
	mux.HandleFunc("GET "+engine.PathCacheEvents, e.serveCacheEvents)
	return mux
}

// processOrAbort returns the running process. Between two boots it closes the
// connection.
func (e *Engine) processOrAbort() *process {
	p := e.currentProcess()
	if p == nil {
		panic(http.ErrAbortHandler)
	}
	return p
}

func (e *Engine) serveInfer(w http.ResponseWriter, r *http.Request) {
	p := e.processOrAbort()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		writeError(w, fmt.Errorf("%w: %w", engine.ErrRejected, err))
		return
	}
	req, err := parseRequest(r, body)
	if err != nil {
		writeError(w, fmt.Errorf("%w: %w", engine.ErrRejected, err))
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	stop := context.AfterFunc(p.ctx, func() { cancel(context.Canceled) })
	defer stop()
	req.ctx = ctx
	req.cancel = cancel
	if err := p.admit(req); err != nil {
		writeError(w, err)
		return
	}
	p.streamResponse(w, req, e.hasCrashMarker(body))
}

func (e *Engine) hasCrashMarker(body []byte) bool {
	return e.config.CrashMarker != "" && bytes.Contains(body, []byte(e.config.CrashMarker))
}

// streamResponse writes the response as an event stream. It closes the connection
// if the response is incomplete, and crashes the engine if crash is set.
func (p *process) streamResponse(w http.ResponseWriter, r *request, crash bool) {
	complete := false
	defer func() { p.finish(r, complete) }()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(engine.HeaderRequestID, r.id)
	s := &eventStream{ctx: r.ctx, w: w, interval: p.engine.config.KeepAlive, flusher: w.(http.Flusher)}
	s.writeText(": accepted\n\n")
	if crash {
		if s.waitUntil(r.waiter.granted) == nil {
			p.engine.Crash()
		}
		panic(http.ErrAbortHandler)
	}
	if err := p.generate(r, s); err != nil {
		panic(http.ErrAbortHandler)
	}
	complete = true
}

func parseRequest(r *http.Request, body []byte) (*request, error) {
	target, err := fleet.ParseTarget(r.Header.Get(engine.HeaderTarget))
	if err != nil {
		return nil, err
	}
	rank, err := fleet.ParseRank(r.Header.Get(engine.HeaderPriority))
	if err != nil {
		return nil, err
	}
	p, err := parsePrompt(body)
	if err != nil {
		return nil, err
	}
	received, err := headerInt(r, engine.HeaderReceivedTokens)
	if err != nil || received > p.maxTokens {
		return nil, fmt.Errorf("header %s is malformed or exceeds the maximum number of tokens", engine.HeaderReceivedTokens)
	}
	return &request{
		id:          r.Header.Get(engine.HeaderRequestID),
		target:      target,
		rank:        rank,
		prompt:      p,
		received:    received,
		singleEvent: r.Header.Get(engine.HeaderResponseForm) == engine.ResponseWhole,
	}, nil
}

func headerInt(r *http.Request, name string) (int, error) {
	text := r.Header.Get(name)
	if text == "" {
		return 0, nil
	}
	value, err := strconv.ParseUint(text, 10, 31)
	return int(value), err
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.processOrAbort().cancelRequest(r.Header.Get(engine.HeaderRequestID))
	writeJSON(w, http.StatusOK, struct{}{})
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	p := e.processOrAbort()
	var order engine.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&order); err != nil {
		writeError(w, fmt.Errorf("%w: %w", engine.ErrRejected, err))
		return
	}
	report, err := p.handleOrder(order)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, report)
}

func (e *Engine) serveReport(w http.ResponseWriter, _ *http.Request) {
	p := e.processOrAbort()
	e.mu.Lock()
	report := p.laggingReport()
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, report)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeError(w, fmt.Errorf("%w: malformed query parameter after", engine.ErrRejected))
		return
	}
	p := e.processOrAbort()
	e.mu.Lock()
	body := p.prefixes.eventsSince(after)
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, body)
}

var errorStatuses = []struct {
	err    error
	status int
}{
	{engine.ErrRejected, http.StatusBadRequest},
	{engine.ErrNotLoaded, http.StatusNotFound},
	{engine.ErrDraining, http.StatusServiceUnavailable},
	{engine.ErrNoMemory, http.StatusInsufficientStorage},
}

// writeError responds with a typed error. The request must not have run.
func writeError(w http.ResponseWriter, err error) {
	status := http.StatusConflict
	for _, s := range errorStatuses {
		if errors.Is(err, s.err) {
			status = s.status
		}
	}
	detail := engine.ErrorDetail{Code: engine.CodeOf(err), Message: err.Error()}
	writeJSON(w, status, engine.ErrorBody{Error: detail})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
