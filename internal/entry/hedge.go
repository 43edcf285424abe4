package entry

import (
	"context"
	"sync"
	"time"

	"github.com/redwingnotch/redwingnotch/engine"
)

// hedgeAfter is the time without an answer's start after which a second try
// goes out on a fresh connection. Engines confirm a request at once, before its
// first token.
const hedgeAfter = 250 * time.Millisecond

// hedgeSuffix tells the second try from the first at the engine.
const hedgeSuffix = "-h"

// started is the result of one try to start a stream.
type started struct {
	stream    engine.Stream
	requestID string
	err       error
}

// start begins a stream. If the engine confirms nothing in time, a second try
// goes out on a connection that no earlier request has used, and the try that
// starts first is kept.
func (h *Handler) start(ctx context.Context, g grant, req engine.InferRequest) (engine.Stream, string, error) {
	results := make(chan started, 2)
	firstCtx, cancelFirst := context.WithCancel(ctx)
	go h.try(firstCtx, g, req, results)
	timer := time.NewTimer(hedgeAfter)
	defer timer.Stop()
	select {
	case r := <-results:
		// The context of the kept stream ends with ctx.
		context.AfterFunc(ctx, cancelFirst)
		return r.stream, r.requestID, r.err
	case <-timer.C:
	}
	if !h.retries.spend() {
		context.AfterFunc(ctx, cancelFirst)
		r := <-results
		return r.stream, r.requestID, r.err
	}
	h.cfg.Metrics.Retry("hedge")
	return h.hedge(ctx, g, req, results, cancelFirst)
}

func (h *Handler) hedge(ctx context.Context, g grant, req engine.InferRequest, results chan started, cancelFirst context.CancelFunc) (engine.Stream, string, error) {
	firstID := req.RequestID
	req.RequestID += hedgeSuffix
	req.FreshConn = true
	secondCtx, cancelSecond := context.WithCancel(ctx)
	go h.try(secondCtx, g, req, results)
	kept := <-results
	pending := 1
	if kept.err != nil {
		kept = better(kept, <-results)
		pending = 0
	}
	drop := cancelFirst
	keep := cancelSecond
	lost := firstID
	if kept.requestID == firstID {
		drop, keep, lost = cancelSecond, cancelFirst, req.RequestID
	}
	drop()
	context.AfterFunc(ctx, keep)
	if pending > 0 {
		h.discard(g, lost, results)
	}
	return kept.stream, kept.requestID, kept.err
}

// better prefers a started stream, then the error that says more: one after
// which the request may have run.
func better(a, b started) started {
	if b.err == nil || (a.err != nil && notRun(a.err)) {
		return b
	}
	return a
}

// discard closes the slower try when it ends, and cancels it at the engine.
func (h *Handler) discard(g grant, requestID string, results chan started) {
	h.running.Go(func() {
		if r := <-results; r.err == nil {
			r.stream.Close()
		}
	})
	h.cancelAtEngine(g, requestID)
}

func (h *Handler) try(ctx context.Context, g grant, req engine.InferRequest, results chan<- started) {
	stream, err := h.cfg.Engine(g.address).Infer(ctx, req)
	results <- started{stream: stream, requestID: req.RequestID, err: err}
}

// Terms of the retry budget.
const (
	retryShare   = 0.1 // repeats earned by each request
	retryReserve = 20  // repeats that may be saved up
)

// retryBudget bounds repeated attempts to a share of the requests, so that a
// failing fleet is not overloaded by repeats.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: retryReserve} }

func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryShare, retryReserve)
}

func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
