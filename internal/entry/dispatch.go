package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/dispatch"
	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/peer"
)

// attemptOutcome says how an attempt ended. Its values are those of
// peer.FinishRequest.Outcome.
type attemptOutcome string

// The outcomes of an attempt.
const (
	attemptOK        attemptOutcome = "ok"
	attemptCancelled attemptOutcome = "cancelled" // the caller disconnected or the deadline passed
	attemptNotRun    attemptOutcome = "not_run"   // refused by the backend server, or not sent
	attemptFailed    attemptOutcome = "failed"    // another error; the request may have run
	attemptCrashed   attemptOutcome = "crashed"   // the backend server crashed while the request ran
	attemptStalled   attemptOutcome = "silent"    // the connection made no progress in time
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	outcome    attemptOutcome
	err        error
	tokens     int           // received in this attempt
	firstToken time.Duration // time from the start of the attempt to its first token; zero if none came
	duration   time.Duration // time from the start of the attempt to its end
}

// attemptHistory is the state of one request across its attempts.
type attemptHistory struct {
	count          int           // failed attempts
	mayHaveRun     int           // failed attempts that may have run
	crashes        int           // failed attempts that ended in a crash
	excluded       []string      // backend servers that failed an attempt
	receivedTokens int           // tokens passed on to the caller
	version        fleet.Version // model version that generated receivedTokens
	interruptedAt  time.Time     // end of the last attempt that may have run
	lastErr        error         // error of the last attempt
}

// tried reports whether an attempt on the backend server has failed.
func (a *attemptHistory) tried(b fleet.BackendID) bool { return slices.Contains(a.excluded, string(b)) }

// runChat makes attempts until the response is complete or no further attempt is
// allowed. The deadline limits the time to the first token of a stream. It does
// not cut a stream that has started, nor a dispatched request for a response that
// is not streamed.
func (h *Handler) runChat(ctx context.Context, req *chatRequest, resp *responseWriter) *Error {
	var history attemptHistory
	h.retries.recordRequest()
	for {
		g, apiErr := h.acquire(ctx, req, &history)
		if apiErr != nil {
			return history.correctOutcome(apiErr)
		}
		if history.receivedTokens > 0 && !dispatch.MayResume(history.brokenStream(), g.version) {
			h.finishGrant(req, g, attemptResult{outcome: attemptNotRun})
			return history.correctOutcome(newError(http.StatusBadGateway, CodeBackendFailed, "the response was interrupted and cannot be resumed: %v", history.lastErr))
		}
		result := h.runAttempt(ctx, req, g, &history, resp)
		if result.outcome != attemptOK {
			req.addStep("attempt on backend server %s: %s after %s, %d tokens: %v", g.backend, result.outcome, result.duration, result.tokens, result.err)
		}
		if result.outcome == attemptCrashed {
			// Recorded locally as well: the controller that made the grant may have
			// failed, and a direct dispatch is not reported to any controller.
			h.cfg.Quarantine.ReportCrash(time.Now(), g.backend, g.boot, req.target.Model, req.contentHash)
		}
		if result.outcome == attemptOK || result.outcome == attemptCancelled {
			h.finishGrant(req, g, result)
		} else {
			h.finishBeforeRetry(ctx, req, g, result)
		}
		if result.outcome == attemptOK {
			return nil
		}
		if failure := h.recordFailure(ctx, req, g, result, &history, resp); failure != nil {
			return failure
		}
		h.cfg.Metrics.Retry(string(result.outcome))
		level.Info(h.cfg.Log).Log("event", "retry", "request_id", req.id, "backend", g.backend,
			"cause", result.outcome, "attempt", history.count, "received", history.receivedTokens, "err", result.err)
	}
}

// brokenStream describes the interrupted stream, to decide on its resumption.
func (a *attemptHistory) brokenStream() dispatch.BrokenStream {
	return dispatch.BrokenStream{Err: a.lastErr, Received: a.receivedTokens, Version: a.version, Resumptions: a.mayHaveRun - 1}
}

// correctOutcome changes the outcome of e to failed if an earlier attempt may
// have run the request.
func (a *attemptHistory) correctOutcome(e *Error) *Error {
	if a.mayHaveRun > 0 {
		e.Outcome = fleet.OutcomeFailed
	}
	return e
}

// Limits of repeated attempts. Attempts that did not run are repeated with
// exponential backoff until the deadline.
const (
	maxPossibleRuns  = 4 // attempts that may have run
	maxCrashes       = 2 // attempts that ended in a crash
	minNotRunBackoff = 20 * time.Millisecond
	maxNotRunBackoff = time.Second
)

// recordFailure adds a failed attempt to the history. It returns nil if another
// attempt may be made; after an attempt that did not run, it sleeps first.
func (h *Handler) recordFailure(ctx context.Context, req *chatRequest, g grant, result attemptResult, history *attemptHistory, resp *responseWriter) *Error {
	history.count++
	history.lastErr = result.err
	if result.outcome != attemptNotRun {
		history.mayHaveRun++
		history.interruptedAt = time.Now()
	}
	if result.outcome == attemptCrashed {
		history.crashes++
	}
	if resp.tokens > history.receivedTokens {
		history.receivedTokens, history.version = resp.tokens, g.version
	}
	if !history.tried(g.backend) {
		history.excluded = append(history.excluded, string(g.backend))
	}
	if ctx.Err() != nil || result.outcome == attemptCancelled {
		return history.correctOutcome(newCancellationError(ctx, result.err))
	}
	if errors.Is(result.err, engine.ErrRejected) {
		return history.correctOutcome(newError(http.StatusBadRequest, CodeBadRequest, "%v", result.err))
	}
	resp.reset()
	if result.outcome == attemptNotRun {
		sleep(ctx, notRunBackoff(history.count-history.mayHaveRun))
		return nil
	}
	// ErrMismatch means that the engine's response belonged to another request, so this
	// one may be sent again.
	retryable := dispatch.MayRetry(result.err, true, false) || errors.Is(result.err, engine.ErrMismatch)
	if !retryable || history.mayHaveRun >= maxPossibleRuns || history.crashes >= maxCrashes || !h.retries.tryRetry() {
		apiErr := newError(http.StatusBadGateway, CodeBackendFailed, "attempt %d failed: %v", history.count, result.err)
		return history.correctOutcome(apiErr.retryAfter(time.Second))
	}
	return nil
}

// notRunBackoff returns the pause after the n-th attempt that did not run. There
// is none after the first.
func notRunBackoff(n int) time.Duration {
	if n <= 1 {
		return 0
	}
	return min(minNotRunBackoff<<min(n-2, 10), maxNotRunBackoff)
}

// newCancellationError returns the error of a dispatched request that was
// cancelled: its caller disconnected, or no token arrived by the deadline.
func newCancellationError(ctx context.Context, err error) *Error {
	var disconnected callerDisconnectedError
	if ctx.Err() != nil || errors.As(err, &disconnected) {
		return newError(statusClientClosedRequest, CodeCancelled, "the caller disconnected")
	}
	return newError(http.StatusGatewayTimeout, CodeDeadlineExceeded, "the response did not start by the deadline").retryAfter(time.Second)
}

// runAttempt sends the request to the granted backend server and passes its
// response on to the caller.
func (h *Handler) runAttempt(ctx context.Context, req *chatRequest, g grant, history *attemptHistory, resp *responseWriter) attemptResult {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	startedAt := time.Now()
	firstTokenTimer := time.AfterFunc(time.Until(req.deadline), func() { cancel(context.DeadlineExceeded) })
	defer firstTokenTimer.Stop()
	if history.receivedTokens > 0 || !req.stream {
		firstTokenTimer.Stop()
	}
	inferReq := engine.InferRequest{
		RequestID:      engineRequestID(req.dispatchID, g.backend, history),
		Target:         req.target,
		Rank:           req.rank,
		Body:           req.body,
		Stream:         req.stream,
		ReceivedTokens: history.receivedTokens,
		Deadline:       req.deadline,
	}
	stream, requestID, err := h.startStream(ctx, g, inferReq)
	if err != nil {
		return attemptResult{outcome: classifyError(ctx, err), err: err, duration: time.Since(startedAt)}
	}
	result := h.relay(ctx, req, stream, requestID, resp, firstTokenTimer, startedAt)
	stream.Close()
	result.duration = time.Since(startedAt)
	if result.outcome == attemptCancelled {
		h.cancelAtEngine(g, requestID)
	}
	return result
}

// relay copies a stream to the caller. It stops the timer at the first token.
func (h *Handler) relay(ctx context.Context, req *chatRequest, stream engine.Stream, requestID string, resp *responseWriter, firstTokenTimer *time.Timer, startedAt time.Time) attemptResult {
	var result attemptResult
	for {
		chunk, err := stream.Next()
		if err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			result.outcome, result.err = classifyError(ctx, err), err
			return result
		}
		if result.firstToken == 0 && len(chunk.Data) > 0 {
			firstTokenTimer.Stop()
			result.firstToken = time.Since(startedAt)
			h.cfg.Metrics.FirstToken(req.rank.String(), time.Since(req.arrival))
		}
		result.tokens += chunk.Tokens
		if err := resp.writeChunk(chunk, requestID); err != nil {
			result.outcome, result.err = attemptCancelled, err
			if errors.Is(err, errResponseTooLarge) {
				result.outcome = attemptFailed
			}
			return result
		}
		if chunk.Done {
			result.outcome = attemptOK
			if err := resp.finish(); err != nil {
				result.err = err
			}
			return result
		}
	}
}

// engineRequestID returns the request id to use at the backend server. A repeated
// attempt on one backend server gets an id of its own, so that a late response to
// the earlier attempt can't be mistaken for its response.
func engineRequestID(id string, b fleet.BackendID, history *attemptHistory) string {
	if !history.tried(b) {
		return id
	}
	return id + "-r" + strconv.Itoa(history.count)
}

// classifyError returns the outcome of an attempt that failed with err.
func classifyError(ctx context.Context, err error) attemptOutcome {
	switch {
	case dispatch.NotRun(err), errors.Is(err, engine.ErrRejected):
		return attemptNotRun
	case ctx.Err() != nil:
		return attemptCancelled
	case errors.Is(err, engine.ErrCrashed):
		return attemptCrashed
	case errors.Is(err, engine.ErrStalled):
		return attemptStalled
	}
	return attemptFailed
}

// cancelTimeout is the time limit for cancelling a request at a backend server.
const cancelTimeout = 2 * time.Second

// cancelAtEngine cancels a request at its backend server in the background.
func (h *Handler) cancelAtEngine(g grant, requestID string) {
	h.activeTasks.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if err := h.cfg.Engine(g.address).Cancel(ctx, requestID); err != nil {
			level.Debug(h.cfg.Log).Log("event", "cancel_failed", "backend", g.backend, "request_id", requestID, "err", err)
		}
	})
}

// finishGrant reports the end of an attempt to the controller, or cancels the
// waiting request if g names no backend server. A direct dispatch is not reported;
// its slot is freed.
func (h *Handler) finishGrant(req *chatRequest, g grant, result attemptResult) {
	if g.id == "" && g.backend != "" {
		h.finishDirect(g.backend)
		return
	}
	h.cfg.Grants.Finish(h.newFinishRequest(req, g, result))
}

// finishBeforeRetry is finishGrant for an attempt that another one may follow: it
// waits for the controller to receive the report, within a time limit.
func (h *Handler) finishBeforeRetry(ctx context.Context, req *chatRequest, g grant, result attemptResult) {
	if g.id == "" {
		h.finishDirect(g.backend)
		return
	}
	h.cfg.Grants.FinishSync(ctx, h.newFinishRequest(req, g, result))
}

func (h *Handler) newFinishRequest(req *chatRequest, g grant, result attemptResult) *peer.FinishRequest {
	return &peer.FinishRequest{
		Cell:             string(h.cfg.Cell),
		GrantId:          g.id,
		RequestId:        req.dispatchID,
		EntryNode:        string(h.cfg.Node),
		EntryIncarnation: uint64(h.cfg.Incarnation),
		Outcome:          string(result.outcome),
		Tokens:           uint32(result.tokens),
		FirstTokenMs:     result.firstToken.Milliseconds(),
		DurationMs:       result.duration.Milliseconds(),
	}
}
