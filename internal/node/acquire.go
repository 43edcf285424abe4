package node

import (
	"context"
	"time"

	"github.com/redwingnotch/redwingnotch/admission"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/peer"
)

// maxPollWait bounds how long one Acquire call blocks.
const maxPollWait = time.Second

// Acquire implements peer.Cell. If this node is not the active controller of the
// cell, it responds with a redirect.
func (c *cell) Acquire(ctx context.Context, req *peer.AcquireRequest) (*peer.AcquireResponse, error) {
	c.mu.Lock()
	if !c.authority.Active {
		redirect := c.redirect()
		c.mu.Unlock()
		return redirect, nil
	}
	if !c.ensureRelease(time.Now(), req.GetReleaseVersion()) {
		c.mu.Unlock()
		return waitForRelease(ctx, req), nil
	}
	decision := c.offer(time.Now(), requestFromMessage(req))
	if decision.Kind != admission.Wait {
		c.mu.Unlock()
		return responseFromDecision(decision), nil
	}
	decided := make(chan admission.Decision, 1)
	if earlier := c.acquireCalls[req.GetRequestId()]; earlier != nil {
		earlier <- decision // makes the earlier call return Waiting
	}
	c.acquireCalls[req.GetRequestId()] = decided
	c.mu.Unlock()
	return c.awaitDecision(ctx, req, decided, decision)
}

// ensureRelease reports whether the cores have at least the release version with
// which the entry node validated a request. It first passes this node's release on
// to them.
func (c *cell) ensureRelease(now time.Time, version uint64) bool {
	if c.releaseVersion < version {
		c.setRelease(now)
	}
	return c.releaseVersion >= version
}

// releaseWait bounds how long an Acquire call blocks if its entry node has a newer
// release than this node.
const releaseWait = 200 * time.Millisecond

// waitForRelease returns a Waiting response, so that the entry node retries later.
func waitForRelease(ctx context.Context, req *peer.AcquireRequest) *peer.AcquireResponse {
	// The error is ignored: if ctx has ended, the entry node has ended its own call.
	_ = sleep(ctx, min(releaseWait, time.Duration(req.GetWaitMs())*time.Millisecond))
	waiting := &peer.Waiting{Reason: "release"}
	return &peer.AcquireResponse{Result: &peer.AcquireResponse_Waiting{Waiting: waiting}}
}

// offer offers a request to the queue. The retention policy observes each request
// only once, however often it is offered.
func (c *cell) offer(now time.Time, r admission.Request) admission.Decision {
	_, waits := c.waitingIDs[r.ID]
	if !waits && r.Attempt == 0 {
		c.node.cfg.Retention.Observe(now, r.Target, r.Rank)
	}
	decision := c.queue.Offer(now, r)
	if decision.Kind == admission.Wait {
		c.waitingIDs[r.ID] = struct{}{}
	} else {
		delete(c.waitingIDs, r.ID)
	}
	c.deliver(c.queue.TakeDecisions())
	return decision
}

// awaitDecision returns the decision, or a Waiting response after the entry node's
// wait time.
func (c *cell) awaitDecision(ctx context.Context, req *peer.AcquireRequest, decided chan admission.Decision, last admission.Decision) (*peer.AcquireResponse, error) {
	wait := min(time.Duration(req.GetWaitMs())*time.Millisecond, maxPollWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case decision, open := <-decided:
		return c.responseAfterWait(decision, open), nil
	case <-timer.C:
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.acquireCalls[req.GetRequestId()] == decided {
		delete(c.acquireCalls, req.GetRequestId())
	}
	select {
	case decision, open := <-decided:
		if !open {
			return c.redirect(), nil
		}
		return responseFromDecision(decision), nil
	default:
		if reason := c.blockedReason(requestFromMessage(req).Target); reason != "" {
			last.Reason = reason
		}
		return responseFromDecision(last), nil
	}
}

// responseAfterWait returns the response for a decision, or a redirect if the
// channel was closed because this node's term ended.
func (c *cell) responseAfterWait(decision admission.Decision, open bool) *peer.AcquireResponse {
	if open {
		return responseFromDecision(decision)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.redirect()
}

// redirect returns a response that names the active controller. The caller holds
// c.mu.
func (c *cell) redirect() *peer.AcquireResponse {
	to := &peer.Redirect{Node: string(c.authority.Holder.Node), Epoch: uint64(c.authority.Epoch)}
	return &peer.AcquireResponse{Result: &peer.AcquireResponse_Redirect{Redirect: to}}
}

func requestFromMessage(m *peer.AcquireRequest) admission.Request {
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

func responseFromDecision(d admission.Decision) *peer.AcquireResponse {
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

// Finish implements peer.Cell. A message without a grant id cancels a waiting
// request.
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
		c.publishQuarantine(now)
	}
	c.deliver(c.queue.TakeDecisions())
	return &peer.FinishResponse{}, nil
}

// Snapshot implements peer.Cell. A node that is not the active controller returns
// no replicas.
func (c *cell) Snapshot(context.Context, *peer.SnapshotRequest) (*peer.SnapshotResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	resp := &peer.SnapshotResponse{
		Cell:       string(c.node.cfg.Cell),
		Controller: string(c.authority.Holder.Node),
		Epoch:      uint64(c.authority.Epoch),
		TakenMs:    time.Now().UnixMilli(),
	}
	if !c.authority.Active {
		return resp, nil
	}
	for _, r := range c.controller.Replicas() {
		resp.Replicas = append(resp.Replicas, replicaToRow(r, c.loads[r.ReplicaKey].Running))
	}
	return resp, nil
}

func replicaToRow(r fleet.Replica, running int) *peer.ReplicaRow {
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
