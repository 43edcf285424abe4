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

// endKind says how an attempt ended, in the words of peer.FinishRequest.
type endKind string

// The ends of an attempt.
const (
	endOK        endKind = "ok"
	endCancelled endKind = "cancelled" // the caller went away or the deadline passed
	endNotRun    endKind = "not_run"   // refused or not sent
	endFailed    endKind = "failed"
	endCrashed   endKind = "crashed"
	endSilent    endKind = "silent"
)

// attemptEnd is the end of one attempt.
type attemptEnd struct {
	kind       endKind
	err        error
	tokens     int // received in this attempt
	firstToken time.Duration
	duration   time.Duration
}

// attempts is the history of one request.
type attempts struct {
	count    int           // attempts made
	ran      int           // of them, those that may have run
	crashes  int           // of them, those that ended in a crash
	excluded []string      // backend servers to avoid
	received int           // tokens passed on to the caller
	version  fleet.Version // that gave the received tokens
	brokeAt  time.Time     // end of the last attempt that may have run
	last     error         // of the last attempt
}

func (a *attempts) excludes(b fleet.BackendID) bool { return slices.Contains(a.excluded, string(b)) }

// runChat dispatches until the answer is whole, or nothing safe is left to try.
// The deadline bounds the time to the first token. An answer that has begun is
// not cut for being slow.
func (h *Handler) runChat(ctx context.Context, req *chatRequest, answer *answerWriter) *Error {
	var history attempts
	h.spent.request()
	for {
		g, refused := h.acquire(ctx, req, &history)
		if refused != nil {
			return history.amend(refused)
		}
		if history.received > 0 && !dispatch.MayResume(history.broken(), g.version) {
			h.finishGrant(req, g, attemptEnd{kind: endNotRun})
			return history.amend(refuse(http.StatusBadGateway, CodeBackendFailed, "the answer broke off and can't be resumed: %v", history.last))
		}
		end := h.attempt(ctx, req, g, &history, answer)
		if end.kind != endOK {
			req.note("attempt at %s: %s after %s, %d tokens: %v", g.backend, end.kind, end.duration, end.tokens, end.err)
		}
		if end.kind == endCrashed {
			// The controller that made the grant may be gone, and a direct
			// dispatch has none to tell.
			h.cfg.Quarantine.Crashed(time.Now(), g.backend, g.boot, req.target.Model, req.hash)
		}
		if end.kind == endOK || end.kind == endCancelled {
			h.finishGrant(req, g, end)
		} else {
			h.finishBeforeRetry(ctx, req, g, end)
		}
		if end.kind == endOK {
			return nil
		}
		if failed := h.settle(ctx, req, g, end, &history, answer); failed != nil {
			return failed
		}
		h.cfg.Metrics.Retry(string(end.kind))
		level.Info(h.cfg.Log).Log("event", "retry", "request_id", req.id, "backend", g.backend,
			"cause", end.kind, "attempt", history.count, "received", history.received, "err", end.err)
	}
}

func (a *attempts) broken() dispatch.Broken {
	return dispatch.Broken{Err: a.last, Received: a.received, Version: a.version, Tries: a.ran - 1}
}

// amend corrects a refusal of a request that an earlier attempt may have run.
func (a *attempts) amend(e *Error) *Error {
	if a.ran > 0 {
		e.Outcome = fleet.OutcomeFailed
	}
	return e
}

// Limits of repeated attempts. Attempts that did not run are repeated, ever more
// slowly, until the deadline.
const (
	maxRuns        = 4 // attempts that may have run
	maxCrashes     = 2 // of them, those that ended in a crash
	firstUnrunWait = 20 * time.Millisecond
	maxUnrunWait   = time.Second
)

// settle records a failed attempt. It returns nil if another one may be made.
func (h *Handler) settle(ctx context.Context, req *chatRequest, g grant, end attemptEnd, history *attempts, answer *answerWriter) *Error {
	history.count++
	history.last = end.err
	if end.kind != endNotRun {
		history.ran++
		history.brokeAt = time.Now()
	}
	if end.kind == endCrashed {
		history.crashes++
	}
	if answer.tokens > history.received {
		history.received, history.version = answer.tokens, g.version
	}
	if !history.excludes(g.backend) {
		history.excluded = append(history.excluded, string(g.backend))
	}
	if ctx.Err() != nil || end.kind == endCancelled {
		return history.amend(stopped(ctx, end.err))
	}
	if errors.Is(end.err, engine.ErrRejected) {
		return history.amend(refuse(http.StatusBadRequest, CodeBadRequest, "%v", end.err))
	}
	answer.restart()
	if end.kind == endNotRun {
		pause(ctx, unrunWait(history.count-history.ran))
		return nil
	}
	// An answer to another request is no answer to this one.
	safe := dispatch.MayRetry(end.err, true, false) || errors.Is(end.err, engine.ErrMismatch)
	if !safe || history.ran >= maxRuns || history.crashes >= maxCrashes || !h.spent.retry() {
		failed := refuse(http.StatusBadGateway, CodeBackendFailed, "attempt %d failed: %v", history.count, end.err)
		return history.amend(failed.after(time.Second))
	}
	return nil
}

// unrunWait is the pause after the n-th attempt that did not run. The first is
// repeated at once.
func unrunWait(n int) time.Duration {
	if n <= 1 {
		return 0
	}
	return min(firstUnrunWait<<min(n-2, 10), maxUnrunWait)
}

// stopped says why a dispatched request was cancelled: its caller went away, or
// its first token did not come by the deadline.
func stopped(ctx context.Context, err error) *Error {
	var gone errCallerGone
	if ctx.Err() != nil || errors.As(err, &gone) {
		return refuse(statusCallerGone, CodeCancelled, "the caller went away")
	}
	return refuse(http.StatusGatewayTimeout, CodeDeadlineExceeded, "the answer did not begin by the deadline").after(time.Second)
}

// attempt streams one answer from the granted backend server.
func (h *Handler) attempt(ctx context.Context, req *chatRequest, g grant, history *attempts, answer *answerWriter) attemptEnd {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	started := time.Now()
	late := time.AfterFunc(time.Until(req.deadline), func() { cancel(context.DeadlineExceeded) })
	defer late.Stop()
	if history.received > 0 || !req.stream {
		late.Stop()
	}
	infer := engine.InferRequest{
		RequestID:      attemptID(req.dispatchID, g.backend, history),
		Target:         req.target,
		Rank:           req.rank,
		Body:           req.body,
		Stream:         req.stream,
		ReceivedTokens: history.received,
		Deadline:       req.deadline,
	}
	stream, requestID, err := h.start(ctx, g, infer)
	if err != nil {
		return attemptEnd{kind: kindOf(ctx, err), err: err, duration: time.Since(started)}
	}
	end := h.pass(ctx, req, stream, requestID, answer, late, started)
	stream.Close()
	end.duration = time.Since(started)
	if end.kind == endCancelled {
		h.cancelAtEngine(g, requestID)
	}
	return end
}

// pass copies a stream to the caller.
func (h *Handler) pass(ctx context.Context, req *chatRequest, stream engine.Stream, requestID string, answer *answerWriter, late *time.Timer, started time.Time) attemptEnd {
	var end attemptEnd
	for {
		chunk, err := stream.Next()
		if err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			end.kind, end.err = kindOf(ctx, err), err
			return end
		}
		if end.firstToken == 0 && len(chunk.Data) > 0 {
			late.Stop()
			end.firstToken = time.Since(started)
			h.cfg.Metrics.FirstToken(req.rank.String(), time.Since(req.arrival))
		}
		end.tokens += chunk.Tokens
		if err := answer.put(chunk, requestID); err != nil {
			end.kind, end.err = endCancelled, err
			return end
		}
		if chunk.Done {
			end.kind = endOK
			if err := answer.finish(); err != nil {
				end.err = err
			}
			return end
		}
	}
}

// attemptID gives repeated attempts at one backend server ids of their own, so
// that a late answer to an earlier one can't be taken for this one's.
func attemptID(id string, b fleet.BackendID, history *attempts) string {
	if !history.excludes(b) {
		return id
	}
	return id + "-r" + strconv.Itoa(history.count)
}

// kindOf classifies an engine's error.
func kindOf(ctx context.Context, err error) endKind {
	switch {
	case dispatch.NotRun(err), errors.Is(err, engine.ErrRejected):
		return endNotRun
	case ctx.Err() != nil:
		return endCancelled
	case errors.Is(err, engine.ErrCrashed):
		return endCrashed
	case errors.Is(err, engine.ErrSilent):
		return endSilent
	}
	return endFailed
}

// cancelTimeout bounds the cancellation of a request that nobody waits for.
const cancelTimeout = 2 * time.Second

func (h *Handler) cancelAtEngine(g grant, requestID string) {
	h.running.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if err := h.cfg.Engine(g.address).Cancel(ctx, requestID); err != nil {
			level.Debug(h.cfg.Log).Log("event", "cancel_failed", "backend", g.backend, "request_id", requestID, "err", err)
		}
	})
}

// finishGrant reports the end of an attempt to the controller.
func (h *Handler) finishGrant(req *chatRequest, g grant, end attemptEnd) {
	if g.id == "" && g.backend != "" {
		h.endDirect(g.backend)
		return
	}
	h.cfg.Grants.Finish(h.finishMessage(req, g, end))
}

// finishBeforeRetry reports a failed attempt before the next one is asked for.
func (h *Handler) finishBeforeRetry(ctx context.Context, req *chatRequest, g grant, end attemptEnd) {
	if g.id == "" {
		h.endDirect(g.backend)
		return
	}
	h.cfg.Grants.FinishNow(ctx, h.finishMessage(req, g, end))
}

func (h *Handler) finishMessage(req *chatRequest, g grant, end attemptEnd) *peer.FinishRequest {
	return &peer.FinishRequest{
		Cell:             string(h.cfg.Cell),
		GrantId:          g.id,
		RequestId:        req.dispatchID,
		EntryNode:        string(h.cfg.Node),
		EntryIncarnation: uint64(h.cfg.Incarnation),
		Outcome:          string(end.kind),
		Tokens:           uint32(end.tokens),
		FirstTokenMs:     end.firstToken.Milliseconds(),
		DurationMs:       end.duration.Milliseconds(),
	}
}
