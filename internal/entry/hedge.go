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

// contest decides which of two tries to start a stream is kept: the one that
// starts first.
type contest struct {
	taken       atomic.Bool
	cancelFirst context.CancelCauseFunc
	second      chan started // result of the second try; nil if none was made
}

// win reports whether the calling try is the first to start.
func (c *contest) win() bool { return c.taken.CompareAndSwap(false, true) }

// errHedged cancels a first try when the second one has started.
var errHedged = errors.New("second try started first")

// start begins a stream. If the engine confirms nothing in time, a second try
// goes out on a connection that no earlier request has used.
func (h *Handler) start(ctx context.Context, g grant, req engine.InferRequest) (engine.Stream, string, error) {
	firstCtx, cancelFirst := context.WithCancelCause(ctx)
	c := &contest{cancelFirst: cancelFirst}
	made := make(chan struct{})
	timer := time.AfterFunc(hedgeAfter, func() {
		defer close(made)
		h.hedge(ctx, c, g, req)
	})
	stream, err := h.cfg.Engine(g.address).Infer(firstCtx, req)
	first := started{stream: stream, requestID: req.RequestID, err: err}
	if !timer.Stop() {
		<-made
		first = h.settleHedge(c, g, first)
	}
	return first.stream, first.requestID, first.err
}

// hedge makes the second try, if the budget allows one.
func (h *Handler) hedge(ctx context.Context, c *contest, g grant, req engine.InferRequest) {
	if !h.spent.retry() {
		return
	}
	h.cfg.Metrics.Retry("hedge")
	req.RequestID += hedgeSuffix
	req.FreshConn = true
	c.second = make(chan started, 1)
	h.running.Go(func() {
		stream, err := h.cfg.Engine(g.address).Infer(ctx, req)
		if err == nil && !c.win() {
			stream.Close()
			h.cancelAtEngine(g, req.RequestID)
			err = errHedged
		}
		if err == nil {
			c.cancelFirst(errHedged)
		}
		c.second <- started{stream: stream, requestID: req.RequestID, err: err}
	})
}

// settleHedge returns the try that is kept.
func (h *Handler) settleHedge(c *contest, g grant, first started) started {
	if c.second == nil || first.err == nil && c.win() {
		return first
	}
	second := <-c.second
	if second.err != nil && !dispatch.NotRun(first.err) {
		return first
	}
	if first.err == nil {
		first.stream.Close()
	}
	h.cancelAtEngine(g, first.requestID)
	return second
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
