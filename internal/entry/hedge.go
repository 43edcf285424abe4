package entry

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/redwingnotch/redwingnotch/dispatch"
	"github.com/redwingnotch/redwingnotch/engine"
)

// hedgeDelay is the wait for the start of a response before a hedge request is
// sent on a fresh connection. Engines confirm a request at once, before its first
// token.
const hedgeDelay = 250 * time.Millisecond

// hedgeIDSuffix distinguishes the id of the hedge request from the original's.
const hedgeIDSuffix = "-h"

// startResult is the result of starting a stream.
type startResult struct {
	stream    engine.Stream
	requestID string
	err       error
}

// hedgedStart is the state of starting a stream with an original request and
// possibly a hedge request. The first of them to start is used.
type hedgedStart struct {
	started        atomic.Bool             // one of the requests has started
	cancelOriginal context.CancelCauseFunc // cancels the original request
	hedge          chan startResult        // result of the hedge request; nil if none was sent
}

// markStarted reports whether the calling request is the first to start.
func (s *hedgedStart) markStarted() bool { return s.started.CompareAndSwap(false, true) }

// errOtherStartedFirst is the error of the request that is not used: it cancels
// the original request, and fails a hedge request that started too late.
var errOtherStartedFirst = errors.New("the other request of the hedged start has started first")

// startStream starts a stream at the granted backend server. If the engine does
// not confirm the request within hedgeDelay, a hedge request goes out on a
// connection that no earlier request has used. It returns the stream of the request
// that is used, and the ID of that request.
func (h *Handler) startStream(ctx context.Context, g grant, req engine.InferRequest) (engine.Stream, string, error) {
	originalCtx, cancelOriginal := context.WithCancelCause(ctx)
	start := &hedgedStart{cancelOriginal: cancelOriginal}
	hedgeDecided := make(chan struct{})
	timer := time.AfterFunc(hedgeDelay, func() {
		defer close(hedgeDecided)
		h.sendHedge(ctx, start, g, req)
	})
	stream, err := h.cfg.Engine(g.address).Infer(originalCtx, req)
	original := startResult{stream: stream, requestID: req.RequestID, err: err}
	if !timer.Stop() {
		<-hedgeDecided
		original = h.chooseStream(start, g, original)
	}
	return original.stream, original.requestID, original.err
}

// sendHedge sends the hedge request if the retry budget allows it.
func (h *Handler) sendHedge(ctx context.Context, start *hedgedStart, g grant, req engine.InferRequest) {
	if !h.retries.tryRetry() {
		return
	}
	h.cfg.Metrics.Retry("hedge")
	req.RequestID += hedgeIDSuffix
	req.FreshConn = true
	start.hedge = make(chan startResult, 1)
	h.activeTasks.Go(func() {
		stream, err := h.cfg.Engine(g.address).Infer(ctx, req)
		if err == nil && !start.markStarted() {
			stream.Close()
			h.cancelAtEngine(g, req.RequestID)
			err = errOtherStartedFirst
		}
		if err == nil {
			start.cancelOriginal(errOtherStartedFirst)
		}
		start.hedge <- startResult{stream: stream, requestID: req.RequestID, err: err}
	})
}

// chooseStream returns the result to use: that of the request that started first or,
// if both failed, the original's, unless the original did not run. If it is the hedge
// request's, the original request is closed and cancelled.
func (h *Handler) chooseStream(start *hedgedStart, g grant, original startResult) startResult {
	if start.hedge == nil || original.err == nil && start.markStarted() {
		return original
	}
	hedge := <-start.hedge
	if hedge.err != nil && !dispatch.NotRun(original.err) {
		return original
	}
	if original.err == nil {
		original.stream.Close()
	}
	h.cancelAtEngine(g, original.requestID)
	return hedge
}

// retryBudget is a dispatch.RetryBudget that is safe for concurrent use.
type retryBudget struct {
	mu     sync.Mutex
	budget *dispatch.RetryBudget
}

func newRetryBudget() *retryBudget {
	return &retryBudget{budget: dispatch.NewRetryBudget(dispatch.DefaultRetryBudgetSettings())}
}

// recordRequest adds the share of one request to the budget.
func (b *retryBudget) recordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.AddRequest(time.Now())
}

// tryRetry takes one retry or hedge request from the budget, if there is one.
func (b *retryBudget) tryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.TryRetry(time.Now())
}
