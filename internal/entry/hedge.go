package entry

import (
	"context"
	"sync"
	"time"

	"github.com/redwingnotch/redwingnotch/dispatch"
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
	if !h.spent.retry() {
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
	if b.err == nil || (a.err != nil && dispatch.NotRun(a.err)) {
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

// budget is a dispatch.Budget for concurrent use.
type budget struct {
	mu   sync.Mutex
	core *dispatch.Budget
}

func newBudget() *budget {
	return &budget{core: dispatch.NewBudget(dispatch.DefaultBudgetSettings())}
}

func (b *budget) request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.Request(time.Now())
}

func (b *budget) retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.TryRetry(time.Now())
}
