package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/peer"
)

// Polling of the controller.
const (
	pollWait    = time.Second            // longest wait of one Acquire
	pollSlack   = 500 * time.Millisecond // above pollWait before the controller counts as unheard
	urgentWait  = 200 * time.Millisecond // pollWait of urgent requests
	urgentSlack = 100 * time.Millisecond // pollSlack of urgent requests
	repeatPause = 25 * time.Millisecond  // between tries while the controller is not heard
	silentPause = 250 * time.Millisecond // between tries once it counts as silent
)

// grant is permission to dispatch one attempt. Its id is empty if it was made
// by this node while the controller was silent.
type grant struct {
	id       string
	backend  fleet.BackendID
	boot     fleet.BootID
	address  string
	version  fleet.Version
	attempt  int
	isolated bool
}

// acquire asks the controller until it grants or refuses. A request keeps its
// place by its id, and keeps its arrival when it moves to another controller.
func (h *Handler) acquire(ctx context.Context, req *chatRequest, history *attempts) (grant, *Error) {
	ctx, cancel := context.WithDeadline(ctx, h.acquireUntil(req, history))
	defer cancel()
	message := h.acquireMessage(req, history)
	poll := h.pollOf(req.rank)
	message.WaitMs = uint32(poll.wait.Milliseconds())
	heard := time.Now()
	for {
		callCtx, cancel := context.WithTimeout(ctx, poll.wait+poll.slack)
		resp, err := h.cfg.Grants.Acquire(callCtx, message)
		cancel()
		silent := time.Since(heard) >= poll.silentAfter
		if ctx.Err() != nil {
			h.giveUp(req, history, resp)
			return grant{}, ended(ctx, silent)
		}
		switch {
		case err != nil || resp.GetRedirect() != nil:
			if !silent {
				pause(ctx, repeatPause)
				continue
			}
			// Without a ready replica the request waits for a successor.
			if g, ok := h.dispatchDirectly(req, history); ok {
				h.giveUp(req, history, nil) // the controller may only be slow
				return g, nil
			}
			pause(ctx, silentPause)
		case resp.GetGrant() != nil:
			return grantOf(resp.GetGrant(), history.count), nil
		case resp.GetRefusal() != nil:
			return grant{}, refusalOf(resp.GetRefusal())
		default:
			heard = time.Now()
			h.noteWait(req, resp.GetWaiting().GetReason())
		}
	}
}

// poll says how a request asks for its grant.
type poll struct {
	wait, slack time.Duration // of one Acquire
	silentAfter time.Duration // silence of the controller before direct dispatch
}

// pollOf returns shorter times for urgent requests, whose first token is due
// long before a crash of the controller is certain.
func (h *Handler) pollOf(rank fleet.Rank) poll {
	if rank == fleet.RankUrgent {
		return poll{wait: urgentWait, slack: urgentSlack, silentAfter: min(h.cfg.SilentAfter, urgentWait+urgentSlack)}
	}
	return poll{wait: pollWait, slack: pollSlack, silentAfter: h.cfg.SilentAfter}
}

// resumeTime is the time to find another replica for an answer that broke off.
const resumeTime = 30 * time.Second

// acquireUntil bounds the wait for a grant. The controller refuses at the
// deadline; this node does a little later, should it not hear.
func (h *Handler) acquireUntil(req *chatRequest, history *attempts) time.Time {
	if history.received > 0 {
		return history.brokeAt.Add(resumeTime)
	}
	return req.deadline
}

func (h *Handler) acquireMessage(req *chatRequest, history *attempts) *peer.AcquireRequest {
	return &peer.AcquireRequest{
		RequestId:        req.dispatchID,
		EntryNode:        string(h.cfg.Node),
		EntryIncarnation: uint64(h.cfg.Incarnation),
		Model:            string(req.target.Model),
		Adapter:          string(req.target.Adapter),
		Rank:             uint32(req.rank),
		ArrivalMs:        req.arrival.UnixMilli(),
		DeadlineMs:       h.acquireUntil(req, history).UnixMilli(),
		ContentHash:      []byte(req.hash),
		PromptTokens:     uint32(req.prompt),
		MaxTokens:        uint32(req.maxTokens),
		Caller:           req.caller,
		Attempt:          uint32(history.count),
		ExcludedBackends: history.excluded,
		ReleaseVersion:   req.version,
		Cell:             string(h.cfg.Cell),
		ReceivedTokens:   uint32(history.received),
	}
}

// giveUp frees the place, or the grant that came too late.
func (h *Handler) giveUp(req *chatRequest, history *attempts, resp *peer.AcquireResponse) {
	g := grant{attempt: history.count}
	if granted := resp.GetGrant(); granted != nil {
		g = grantOf(granted, history.count)
	}
	h.finishGrant(req, g, attemptEnd{kind: endCancelled})
}

// ended says why the request's context ended while nothing of it ran.
func ended(ctx context.Context, silent bool) *Error {
	late := errors.Is(context.Cause(ctx), context.DeadlineExceeded)
	switch {
	case late && silent:
		return refuse(http.StatusServiceUnavailable, CodeNoController,
			"the controller is silent and no ready replica is known").after(2 * time.Second)
	case late:
		return refuse(http.StatusGatewayTimeout, CodeDeadlineExceeded, "the deadline passed while the request waited").after(time.Second)
	}
	return refuse(statusCallerGone, CodeCancelled, "the caller went away while the request waited")
}

// statusCallerGone is used in logs only, as nobody reads the answer.
const statusCallerGone = 499

func grantOf(g *peer.Grant, attempt int) grant {
	return grant{
		id:       g.GetGrantId(),
		backend:  fleet.BackendID(g.GetBackend()),
		boot:     fleet.BootID(g.GetBoot()),
		address:  g.GetAddress(),
		version:  fleet.Version(g.GetVersion()),
		attempt:  attempt,
		isolated: g.GetIsolated(),
	}
}

// refusalStatus gives the HTTP status of the controller's refusals.
var refusalStatus = map[string]int{
	"deadline_unreachable": http.StatusServiceUnavailable,
	"deadline_expired":     http.StatusGatewayTimeout,
	"overloaded":           http.StatusTooManyRequests,
	"poison_request":       http.StatusUnprocessableEntity,
	"model_withdrawn":      http.StatusGone,
	"unknown_target":       http.StatusNotFound,
	"rank_not_allowed":     http.StatusForbidden,
}

func refusalOf(r *peer.Refusal) *Error {
	status, known := refusalStatus[r.GetCode()]
	if !known {
		status = http.StatusServiceUnavailable
	}
	after := time.Duration(r.GetRetryAfterMs()) * time.Millisecond
	return refuse(status, Code(r.GetCode()), "%s", r.GetDetail()).after(after)
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
