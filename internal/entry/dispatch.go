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
	count    int      // attempts made
	excluded []string // backend servers to avoid
	received int      // tokens passed on to the caller
	crashes  int
	mayRun   bool // some attempt may have run
}

func (a *attempts) excludes(b fleet.BackendID) bool { return slices.Contains(a.excluded, string(b)) }

// runChat dispatches until the answer is whole, or nothing safe is left to try.
func (h *Handler) runChat(ctx context.Context, req chatRequest, answer *answerWriter) *Error {
	var history attempts
	h.retries.earn()
	for {
		g, refused := h.acquire(ctx, &req, &history)
		if refused != nil {
			return history.amend(refused)
		}
		end := h.attempt(ctx, &req, g, &history, answer)
		h.finishGrant(&req, g, end)
		if end.kind == endOK {
			return nil
		}
		if failed := h.settle(ctx, &req, g, end, &history, answer); failed != nil {
			return failed
		}
		h.cfg.Metrics.Retry(string(end.kind))
		level.Info(h.cfg.Log).Log("event", "retry", "request_id", req.id, "backend", g.backend,
			"cause", end.kind, "attempt", history.count, "received", history.received, "err", end.err)
	}
}

// amend corrects a refusal of a request that an earlier attempt may have run.
func (a *attempts) amend(e *Error) *Error {
	if a.mayRun {
		e.Outcome = fleet.OutcomeFailed
	}
	return e
}

// Limits of repeated attempts.
const (
	maxAttempts = 4
	maxCrashes  = 2 // attempts that end in a crash
)

// settle records a failed attempt. It returns nil if another one may be made.
func (h *Handler) settle(ctx context.Context, req *chatRequest, g grant, end attemptEnd, history *attempts, answer *answerWriter) *Error {
	history.count++
	history.received = answer.tokens
	history.mayRun = history.mayRun || end.kind != endNotRun
	if !history.excludes(g.backend) {
		history.excluded = append(history.excluded, string(g.backend))
	}
	if end.kind == endCrashed {
		history.crashes++
	}
	if ctx.Err() != nil || end.kind == endCancelled {
		failed := ended(ctx)
		failed.Outcome = fleet.OutcomeFailed
		return failed
	}
	if history.count >= maxAttempts || history.crashes >= maxCrashes || !h.retries.spend() {
		failed := refuse(http.StatusBadGateway, CodeBackendFailed, "%d attempts failed, the last: %v", history.count, end.err)
		return history.amend(failed.after(time.Second))
	}
	answer.restart()
	return nil
}

// attempt streams one answer from the granted backend server.
func (h *Handler) attempt(ctx context.Context, req *chatRequest, g grant, history *attempts, answer *answerWriter) attemptEnd {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	started := time.Now()
	infer := engine.InferRequest{
		RequestID:      attemptID(req.dispatchID, history.count),
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
	end := h.pass(ctx, req, stream, requestID, answer, started)
	stream.Close()
	end.duration = time.Since(started)
	if end.kind == endCancelled {
		h.cancelAtEngine(g, requestID)
	}
	return end
}

// pass copies a stream to the caller.
func (h *Handler) pass(ctx context.Context, req *chatRequest, stream engine.Stream, requestID string, answer *answerWriter, started time.Time) attemptEnd {
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

// attemptID gives each attempt an id of its own, so that a late answer to an
// earlier one can't be taken for this one's.
func attemptID(id string, attempt int) string {
	if attempt == 0 {
		return id
	}
	return id + "-r" + strconv.Itoa(attempt)
}

// kindOf classifies an engine's error.
func kindOf(ctx context.Context, err error) endKind {
	switch {
	case notRun(err):
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

// notRun reports whether the error says that the request did not run.
func notRun(err error) bool {
	return errors.Is(err, engine.ErrNotSent) || errors.Is(err, engine.ErrNotLoaded) ||
		errors.Is(err, engine.ErrDraining) || errors.Is(err, engine.ErrUnreachable)
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
	h.cfg.Grants.Finish(&peer.FinishRequest{
		Cell:             string(h.cfg.Cell),
		GrantId:          g.id,
		RequestId:        req.dispatchID,
		EntryNode:        string(h.cfg.Node),
		EntryIncarnation: uint64(h.cfg.Incarnation),
		Outcome:          string(end.kind),
		Tokens:           uint32(end.tokens),
		FirstTokenMs:     end.firstToken.Milliseconds(),
		DurationMs:       end.duration.Milliseconds(),
	})
}
