package node

import (
	"context"
	"time"

	"github.com/redwingnotch/redwingnotch/admission"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/peer"
)

// maxPollWait bounds how long one Acquire call waits.
const maxPollWait = time.Second

// Acquire implements peer.Cell for the cell that this node controls. Elsewhere
// it answers with a redirect.
func (c *cell) Acquire(ctx context.Context, req *peer.AcquireRequest) (*peer.AcquireResponse, error) {
	c.mu.Lock()
	if !c.authority.InOffice {
		redirect := c.redirect()
		c.mu.Unlock()
		return redirect, nil
	}
	if !c.hasRelease(time.Now(), req.GetReleaseVersion()) {
		c.mu.Unlock()
		return awaitRelease(ctx, req), nil
	}
	decision := c.offer(time.Now(), requestOfMessage(req))
	if decision.Kind != admission.Wait {
		c.mu.Unlock()
		return responseOf(decision), nil
	}
	poll := make(chan admission.Decision, 1)
	if older := c.polls[req.GetRequestId()]; older != nil {
		older <- decision // the older call is answered: still waiting
	}
	c.polls[req.GetRequestId()] = poll
	c.mu.Unlock()
	return c.await(ctx, req, poll, decision)
}

// hasRelease reports whether the cores know the release by which a request was
// validated. It hands them this node's release first.
func (c *cell) hasRelease(now time.Time, version uint64) bool {
	if c.release < version {
		c.setRelease(now)
	}
	return c.release >= version
}

// releaseWait is how long a request waits for a release that its entry node
// knows before this one.
const releaseWait = 200 * time.Millisecond

// awaitRelease makes the entry node ask again later.
func awaitRelease(ctx context.Context, req *peer.AcquireRequest) *peer.AcquireResponse {
	// The entry node learns of its caller's end itself.
	_ = sleep(ctx, min(releaseWait, time.Duration(req.GetWaitMs())*time.Millisecond))
	waiting := &peer.Waiting{Reason: "release"}
	return &peer.AcquireResponse{Result: &peer.AcquireResponse_Waiting{Waiting: waiting}}
}

// offer offers a request to the queue. Each request teaches the policy of idle
// replicas once, however often it is offered.
func (c *cell) offer(now time.Time, r admission.Request) admission.Decision {
	_, waits := c.waiting[r.ID]
	if !waits && r.Attempt == 0 {
		c.node.cfg.Retention.Observe(now, r.Target, r.Rank)
	}
	decision := c.queue.Offer(now, r)
	if decision.Kind == admission.Wait {
		c.waiting[r.ID] = struct{}{}
	} else {
		delete(c.waiting, r.ID)
	}
	c.deliver(c.queue.Decided())
	return decision
}

// await returns the decision, or after the caller's wait that there is none.
func (c *cell) await(ctx context.Context, req *peer.AcquireRequest, poll chan admission.Decision, last admission.Decision) (*peer.AcquireResponse, error) {
	wait := min(time.Duration(req.GetWaitMs())*time.Millisecond, maxPollWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case decision, open := <-poll:
		return c.responseAfterWait(decision, open), nil
	case <-timer.C:
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.polls[req.GetRequestId()] == poll {
		delete(c.polls, req.GetRequestId())
	}
	select {
	case decision, open := <-poll:
		if !open {
			return c.redirect(), nil
		}
		return responseOf(decision), nil
	default:
		if reason := c.blockedReason(requestOfMessage(req).Target); reason != "" {
			last.Reason = reason
		}
		return responseOf(last), nil
	}
}

func (c *cell) responseAfterWait(decision admission.Decision, open bool) *peer.AcquireResponse {
	if open {
		return responseOf(decision)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.redirect()
}

func (c *cell) redirect() *peer.AcquireResponse {
	to := &peer.Redirect{Node: string(c.authority.Holder.Node), Epoch: uint64(c.authority.Epoch)}
	return &peer.AcquireResponse{Result: &peer.AcquireResponse_Redirect{Redirect: to}}
}

func requestOfMessage(m *peer.AcquireRequest) admission.Request {
	r := admission.Request{
		ID:             m.GetRequestId(),
		Entry:          fleet.NodeID(m.GetEntryNode()),
		Incarnation:    fleet.Incarnation(m.GetEntryIncarnation()),
		Target:         fleet.Target{Model: fleet.ModelID(m.GetModel()), Adapter: fleet.AdapterID(m.GetAdapter())},
		Rank:           fleet.Rank(min(m.GetRank(), fleet.RankCount-1)),
		Arrival:        time.UnixMilli(m.GetArrivalMs()),
		Deadline:       time.UnixMilli(m.GetDeadlineMs()),
		Hash:           fleet.ContentHash(m.GetContentHash()),
		PromptTokens:   int(m.GetPromptTokens()),
		MaxTokens:      int(m.GetMaxTokens()),
		ReceivedTokens: int(m.GetReceivedTokens()),
		Caller:         m.GetCaller(),
		Attempt:        int(m.GetAttempt()),
	}
	for _, b := range m.GetExcludedBackends() {
		r.Excluded = append(r.Excluded, fleet.BackendID(b))
	}
	return r
}

func responseOf(d admission.Decision) *peer.AcquireResponse {
	switch d.Kind {
	case admission.Grant:
		return &peer.AcquireResponse{Result: &peer.AcquireResponse_Grant{Grant: &peer.Grant{
			GrantId:  d.Grant.ID,
			Backend:  string(d.Grant.Replica.Backend),
			Boot:     string(d.Grant.Replica.Boot),
			Address:  d.Grant.Address,
			Version:  string(d.Grant.Replica.Version),
			Isolated: d.Grant.Isolated,
		}}}
	case admission.Refuse:
		return &peer.AcquireResponse{Result: &peer.AcquireResponse_Refusal{Refusal: &peer.Refusal{
			Code:         string(d.Refusal.Code),
			Detail:       d.Refusal.Detail,
			RetryAfterMs: d.Refusal.RetryAfter.Milliseconds(),
		}}}
	}
	return &peer.AcquireResponse{Result: &peer.AcquireResponse_Waiting{Waiting: &peer.Waiting{
		EstimatedMs: d.Estimate.Milliseconds(),
		Reason:      d.Reason,
	}}}
}

// Finish implements peer.Cell. A message without a grant id cancels a request
// that waits.
func (c *cell) Finish(_ context.Context, req *peer.FinishRequest) (*peer.FinishResponse, error) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if req.GetGrantId() == "" {
		c.queue.Cancel(now, req.GetRequestId())
	} else {
		c.queue.Finish(now, admission.Finish{
			GrantID:    req.GetGrantId(),
			RequestID:  req.GetRequestId(),
			Outcome:    admission.FinishOutcome(req.GetOutcome()),
			Tokens:     int(req.GetTokens()),
			FirstToken: time.Duration(req.GetFirstTokenMs()) * time.Millisecond,
			Duration:   time.Duration(req.GetDurationMs()) * time.Millisecond,
		})
	}
	if req.GetOutcome() == string(admission.FinishCrashed) {
		c.tellQuarantine(now)
	}
	c.deliver(c.queue.Decided())
	return &peer.FinishResponse{}, nil
}

// Snapshot implements peer.Cell.
func (c *cell) Snapshot(context.Context, *peer.SnapshotRequest) (*peer.SnapshotResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	resp := &peer.SnapshotResponse{
		Cell:       string(c.node.cfg.Cell),
		Controller: string(c.authority.Holder.Node),
		Epoch:      uint64(c.authority.Epoch),
		TakenMs:    time.Now().UnixMilli(),
	}
	if !c.authority.InOffice {
		return resp, nil
	}
	for _, r := range c.controller.Replicas() {
		resp.Replicas = append(resp.Replicas, rowOf(r, c.loads[r.ReplicaKey].Running))
	}
	return resp, nil
}

func rowOf(r fleet.Replica, running int) *peer.ReplicaRow {
	row := &peer.ReplicaRow{
		Backend:  string(r.Backend),
		Boot:     string(r.Boot),
		Address:  r.Address,
		Model:    string(r.Model),
		Version:  string(r.Version),
		State:    r.State.String(),
		Slots:    uint32(r.Slots),
		Draining: r.Draining,
		Running:  uint32(running),
	}
	for _, a := range r.Adapters {
		row.Adapters = append(row.Adapters, string(a))
	}
	return row
}
