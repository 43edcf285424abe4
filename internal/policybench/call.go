package policybench

import (
	"fmt"
	"time"

	"github.com/redwingnotch/redwingnotch/admission"
	"github.com/redwingnotch/redwingnotch/dispatch"
	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
)

// Arrival is a request of a workload.
type Arrival struct {
	Offset time.Duration // offset from the start of the scenario
	Model  int           // index of the model
	Rank   fleet.Rank
	Caller string
	Tokens int  // length of the response
	Poison bool // a poison request: crashes the backend server that runs it
}

// call is the state of a request from its arrival to its outcome.
type call struct {
	number     int
	arrival    Arrival
	request    admission.Request
	sentAt     time.Time     // when the caller sent the request
	cold       bool          // no replica was ready or loading at arrival
	coldBound  time.Duration // least time to the first token of a cold call
	grant      admission.GrantDetails
	startedAt  time.Time // when the stream started at the engine
	firstToken time.Time // zero until the first token
	responses  int       // number of complete responses
	refused    bool      // a refusal was sent to the entry node
	server     *server
	replica    *replica
}

// prefillTime is the time from the start of a stream to its first token.
const prefillTime = 250 * time.Millisecond

// poisonRunTime is how long a poison request runs before it crashes its server.
const poisonRunTime = 300 * time.Millisecond

// startCall creates a call and sends it to its entry node.
func (sim *simulation) startCall(number int, a Arrival) {
	m := sim.models[a.Model]
	id := fmt.Sprintf("r%07d", number)
	c := &call{number: number, arrival: a, sentAt: sim.now}
	c.request = admission.Request{
		ID:        id,
		Entry:     fleet.NodeID(fmt.Sprint("n", number%sim.deployment.EntryNodes)),
		Target:    fleet.Target{Model: m.ID},
		Rank:      a.Rank,
		MaxTokens: 2 * a.Tokens, // limit set by the caller; the response is shorter
		Caller:    a.Caller,
		Hash:      fleet.ContentHash(id),
	}
	if a.Poison {
		c.request.Hash = "poison"
	}
	sim.after(sim.deployment.ClientOneWay, func() {
		c.request.Arrival = sim.now
		sim.calls[id] = c
		sim.result.countOffered(sim, c)
		sim.after(nodeOneWay, func() { sim.offerCall(c) })
	})
}

// offerCall offers the call to the admission queue, for its first attempt or a retry.
func (sim *simulation) offerCall(c *call) {
	if c.request.Attempt == 0 && !c.cold {
		sim.recordColdStart(c)
	}
	sim.policies.Retention.Observe(sim.now, c.request.Target, c.request.Rank)
	sim.waiting++
	d := sim.queue.Offer(sim.now, c.request)
	sim.handleDecision(d)
	if d.Kind == admission.Wait {
		sim.scheduleTick(0)
		sim.keepOffering(c)
	}
}

// recordColdStart marks the call as cold if no replica is ready or loading.
func (sim *simulation) recordColdStart(c *call) {
	m := sim.modelByID[c.request.Target.Model]
	ready, loading := sim.replicaState(m.ID)
	if ready || loading {
		return
	}
	c.cold = true
	c.coldBound = sim.fastestLoadTime(m) + prefillTime
	sim.result.countColdBurst(sim, m.ID)
}

// keepOffering offers the call again at each poll interval for as long as it
// waits.
func (sim *simulation) keepOffering(c *call) {
	sim.after(pollInterval, func() {
		if sim.calls[c.request.ID] != c || c.refused || c.server != nil || c.grant.ID != "" {
			return
		}
		sim.handleDecision(sim.queue.Offer(sim.now, c.request))
		sim.keepOffering(c)
	})
}

// handleDecision applies a grant or refusal of the queue at the entry node.
func (sim *simulation) handleDecision(d admission.Decision) {
	c := sim.calls[d.RequestID]
	if c == nil || c.refused || d.Kind == admission.Wait {
		return
	}
	c.refused = d.Kind == admission.Refuse
	sim.after(nodeOneWay, func() {
		if d.Kind == admission.Refuse {
			sim.waiting--
			sim.endCall(c, d.Refusal.Code)
			return
		}
		if c.grant.ID == d.Grant.ID {
			return
		}
		c.grant = d.Grant
		sim.waiting--
		sim.after(nodeOneWay, func() { sim.startStream(c, d.Grant) })
	})
}

// startStream starts the call at the engine of its grant.
func (sim *simulation) startStream(c *call, g admission.GrantDetails) {
	s := sim.serversByID[g.Replica.Backend]
	r := s.replica[g.Replica.Model]
	switch {
	case !s.up || s.boot() != g.Replica.Boot:
		sim.retryOrFail(c, engine.ErrUnreachable)
		return
	case r == nil || !r.ready || r.unloading:
		sim.retryOrFail(c, engine.ErrNotLoaded)
		return
	case s.draining:
		sim.retryOrFail(c, engine.ErrDraining)
		return
	}
	if len(r.streams) == 0 {
		sim.addIdleTime(r)
	}
	r.streams[c] = struct{}{}
	c.server, c.replica = s, r
	c.startedAt = sim.now
	if c.arrival.Poison {
		sim.after(poisonRunTime, func() {
			if c.server == s && s.up {
				sim.result.ServersLost++
				s.crash(restartTime)
			}
		})
		return
	}
	sim.after(prefillTime, func() { sim.scheduleResponse(c, s) })
}

// scheduleResponse records the first token and schedules the end of the response.
func (sim *simulation) scheduleResponse(c *call, s *server) {
	if c.server != s || !s.up {
		return
	}
	if c.firstToken.IsZero() {
		c.firstToken = sim.now
	}
	decode := time.Duration(float64(c.arrival.Tokens) / streamTokensPerSecond * float64(time.Second))
	sim.after(decode, func() {
		if c.server == s && s.up {
			sim.completeCall(c)
		}
	})
}

// releaseSlot removes the call from its replica.
func (sim *simulation) releaseSlot(c *call) {
	r := c.replica
	delete(r.streams, c)
	if len(r.streams) == 0 {
		r.idleSince = sim.now
		if r.unloading {
			c.server.finishUnload(r)
		}
	}
	c.server, c.replica = nil, nil
}

// completeCall ends a call whose response is complete.
func (sim *simulation) completeCall(c *call) {
	c.responses++
	sim.result.addSlotTime(sim, c)
	f := admission.Finish{
		GrantID:    c.grant.ID,
		RequestID:  c.request.ID,
		Outcome:    admission.FinishOK,
		Tokens:     c.arrival.Tokens,
		FirstToken: prefillTime,
		Duration:   sim.now.Sub(c.startedAt),
	}
	sim.releaseSlot(c)
	sim.sendFinish(f)
	sim.endCall(c, "")
}

// sendFinish reports the end of a grant to the admission queue.
func (sim *simulation) sendFinish(f admission.Finish) {
	sim.after(2*nodeOneWay, func() {
		sim.queue.Finish(sim.now, f)
		for _, d := range sim.queue.TakeDecisions() {
			sim.handleDecision(d)
		}
	})
}

// handleBrokenStream handles a call whose server crashed while it ran.
func (sim *simulation) handleBrokenStream(c *call) {
	if c.replica != nil {
		delete(c.replica.streams, c)
	}
	c.server, c.replica = nil, nil
	sim.retryOrFail(c, engine.ErrCrashed)
}

// retryOrFail reports a failed attempt and retries it if that is safe. All
// simulated calls are idempotent; a broken stream restarts from the beginning.
func (sim *simulation) retryOrFail(c *call, err error) {
	outcome := admission.FinishNotRun
	if !dispatch.NotRun(err) {
		outcome = admission.FinishCrashed
	}
	sim.sendFinish(admission.Finish{GrantID: c.grant.ID, RequestID: c.request.ID, Outcome: outcome})
	if !dispatch.MayRetry(err, true, false) {
		sim.endCall(c, "failed")
		return
	}
	c.request.Attempt++
	c.request.Excluded = append(c.request.Excluded, c.grant.Replica.Backend)
	c.grant = admission.GrantDetails{}
	sim.after(3*nodeOneWay, func() { sim.offerCall(c) })
}

// endCall records the outcome of a call: the code of its refusal, "failed" after an
// error that may not be retried, or an empty code if it was answered. A second
// outcome counts as a duplicate.
func (sim *simulation) endCall(c *call, code admission.RefusalCode) {
	if sim.calls[c.request.ID] != c {
		sim.result.Duplicates++
		return
	}
	delete(sim.calls, c.request.ID)
	sim.result.countOutcome(sim, c, code)
}
