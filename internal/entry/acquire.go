package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/peer"
)

// Intervals and time limits of Acquire calls to the controller.
const (
	pollWait                  = time.Second            // time an Acquire may wait at the controller
	pollMargin                = 500 * time.Millisecond // added to pollWait before the call times out
	urgentPollWait            = 200 * time.Millisecond // pollWait of urgent requests
	urgentPollMargin          = 100 * time.Millisecond // pollMargin of urgent requests
	acquireRetryInterval      = 25 * time.Millisecond  // pause between failed calls
	unresponsiveRetryInterval = 250 * time.Millisecond // pause between failed calls once the controller is unresponsive
)

// grant is permission to dispatch one attempt. The id is empty if this node chose
// the replica itself because the controller was unresponsive.
type grant struct {
	id       string
	backend  fleet.BackendID
	boot     fleet.BootID
	address  string
	version  fleet.Version // model version of the replica
	attempt  int           // number of earlier attempts
	isolated bool          // the content is suspected of crashing backend servers
}

// acquire polls the controller until it grants or refuses the request. A request
// keeps its place in the queue by its id, and its arrival time when another
// controller becomes active.
func (h *Handler) acquire(ctx context.Context, req *chatRequest, history *attemptHistory) (grant, *Error) {
	ctx, cancel := context.WithDeadline(ctx, h.acquireDeadline(req, history))
	defer cancel()
	acquireReq := h.newAcquireRequest(req, history)
	poll := h.pollSettingsFor(req.rank)
	acquireReq.WaitMs = uint32(poll.wait.Milliseconds())
	lastContact := time.Now()
	for {
		callCtx, cancel := context.WithTimeout(ctx, poll.wait+poll.margin)
		resp, err := h.cfg.Grants.Acquire(callCtx, acquireReq)
		cancel()
		unresponsive := time.Since(lastContact) >= poll.unresponsiveAfter
		if ctx.Err() != nil {
			h.cancelAcquire(req, history, resp)
			return grant{}, newWaitError(ctx, unresponsive)
		}
		switch {
		case err != nil || resp.GetRedirect() != nil:
			if !unresponsive {
				sleep(ctx, acquireRetryInterval)
				continue
			}
			// Without a ready replica, the request waits for the next controller.
			if g, ok := h.grantDirect(req, history); ok {
				h.cancelAcquire(req, history, nil) // the controller may just be slow
				return g, nil
			}
			sleep(ctx, unresponsiveRetryInterval)
		case resp.GetGrant() != nil:
			return newGrant(resp.GetGrant(), history.count), nil
		case resp.GetRefusal() != nil:
			return grant{}, newRefusalError(resp.GetRefusal())
		default:
			lastContact = time.Now()
			h.recordWait(req, resp.GetWaiting().GetReason())
		}
	}
}

// pollSettings holds the times with which a request polls the controller.
type pollSettings struct {
	wait, margin      time.Duration // see pollWait and pollMargin
	unresponsiveAfter time.Duration // time without a controller response before direct dispatch
}

// pollSettingsFor returns the times for requests of the rank. They are shorter
// for urgent requests, whose first token is due long before a crash of the
// controller is confirmed.
func (h *Handler) pollSettingsFor(rank fleet.Rank) pollSettings {
	if rank == fleet.RankUrgent {
		return pollSettings{wait: urgentPollWait, margin: urgentPollMargin, unresponsiveAfter: min(h.cfg.ControllerTimeout, urgentPollWait+urgentPollMargin)}
	}
	return pollSettings{wait: pollWait, margin: pollMargin, unresponsiveAfter: h.cfg.ControllerTimeout}
}

// resumeTimeout limits the wait for another replica to resume an interrupted
// response.
const resumeTimeout = 30 * time.Second

// acquireDeadline returns the time at which the wait for a grant ends: the
// request's deadline, or resumeTimeout after an interruption. The controller
// refuses the request at that time; this node ends the wait itself if it does not
// receive the refusal.
func (h *Handler) acquireDeadline(req *chatRequest, history *attemptHistory) time.Time {
	if history.receivedTokens > 0 {
		return history.interruptedAt.Add(resumeTimeout)
	}
	return req.deadline
}

func (h *Handler) newAcquireRequest(req *chatRequest, history *attemptHistory) *peer.AcquireRequest {
	return &peer.AcquireRequest{
		RequestId:        req.dispatchID,
		EntryNode:        string(h.cfg.Node),
		EntryIncarnation: uint64(h.cfg.Incarnation),
		Model:            string(req.target.Model),
		Adapter:          string(req.target.Adapter),
		Rank:             uint32(req.rank),
		ArrivalMs:        req.arrival.UnixMilli(),
		DeadlineMs:       h.acquireDeadline(req, history).UnixMilli(),
		ContentHash:      []byte(req.contentHash),
		PromptTokens:     uint32(req.promptTokens),
		MaxTokens:        uint32(req.maxTokens),
		Caller:           req.caller,
		Attempt:          uint32(history.count),
		ExcludedBackends: history.excluded,
		ReleaseVersion:   req.releaseVersion,
		Cell:             string(h.cfg.Cell),
		ReceivedTokens:   uint32(history.receivedTokens),
	}
}

// cancelAcquire cancels the waiting request at the controller, or the grant in
// resp, which came too late.
func (h *Handler) cancelAcquire(req *chatRequest, history *attemptHistory, resp *peer.AcquireResponse) {
	g := grant{attempt: history.count}
	if granted := resp.GetGrant(); granted != nil {
		g = newGrant(granted, history.count)
	}
	h.finishGrant(req, g, attemptResult{outcome: attemptCancelled})
}

// newWaitError returns the error of a request that ended while it waited for a
// grant: its deadline passed or its caller disconnected.
func newWaitError(ctx context.Context, unresponsive bool) *Error {
	deadlineExceeded := errors.Is(context.Cause(ctx), context.DeadlineExceeded)
	switch {
	case deadlineExceeded && unresponsive:
		return newError(http.StatusServiceUnavailable, CodeNoController,
			"the controller does not respond and no ready replica is known").retryAfter(2 * time.Second)
	case deadlineExceeded:
		return newError(http.StatusGatewayTimeout, CodeDeadlineExceeded, "the deadline passed while the request waited for a grant").retryAfter(time.Second)
	}
	return newError(statusClientClosedRequest, CodeCancelled, "the caller disconnected while the request waited for a grant")
}

// statusClientClosedRequest is the non-standard status of nginx for a caller that
// disconnected. No caller reads it.
const statusClientClosedRequest = 499

func newGrant(g *peer.Grant, attempt int) grant {
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

// refusalStatus maps the controller's refusal codes to HTTP statuses. Other codes
// get 503.
var refusalStatus = map[string]int{
	"deadline_unreachable": http.StatusServiceUnavailable,
	"deadline_expired":     http.StatusGatewayTimeout,
	"overloaded":           http.StatusTooManyRequests,
	"poison_request":       http.StatusUnprocessableEntity,
	"model_withdrawn":      http.StatusGone,
	"unknown_target":       http.StatusNotFound,
	"rank_not_allowed":     http.StatusForbidden,
}

func newRefusalError(r *peer.Refusal) *Error {
	status, known := refusalStatus[r.GetCode()]
	if !known {
		status = http.StatusServiceUnavailable
	}
	retryAfter := time.Duration(r.GetRetryAfterMs()) * time.Millisecond
	return newError(status, Code(r.GetCode()), "%s", r.GetDetail()).retryAfter(retryAfter)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
