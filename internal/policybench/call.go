package policybench

import (
	"fmt"
	"time"

	"github.com/redwingnotch/redwingnotch/admission"
	"github.com/redwingnotch/redwingnotch/dispatch"
	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
)

// Arrival is one request of a workload.
type Arrival struct {
	At     time.Duration // from the start of the scenario
	Model  int           // index of the model
	Rank   fleet.Rank
	Caller string
	Tokens int  // of the answer
	Poison bool // crashes the backend server that runs it
}

// call is one request on its way through the system.
type call struct {
	number     int
	arrival    Arrival
	request    admission.Request
	sentAt     time.Time // by the caller
	cold       bool      // found no replica, ready or loading
	bound      time.Duration
	grant      admission.GrantTerms
	startedAt  time.Time // at the engine
	firstToken time.Time
	answers    int
	over       bool // a refusal is on its way
	server     *server
	loaded     *loaded
}

// firstTokenTime is the prefill time of every prompt.
const firstTokenTime = 250 * time.Millisecond

// poisonTime is how long a poison request runs before it crashes its server.
const poisonTime = 300 * time.Millisecond

// arrive begins a call at its entry node.
func (w *world) arrive(number int, a Arrival) {
	m := w.models[a.Model]
	id := fmt.Sprintf("r%07d", number)
	c := &call{number: number, arrival: a, sentAt: w.now}
	c.request = admission.Request{
		ID:        id,
		Entry:     fleet.NodeID(fmt.Sprint("n", number%w.deployment.EntryNodes)),
		Target:    fleet.Target{Model: m.ID},
		Rank:      a.Rank,
		MaxTokens: 2 * a.Tokens,
		Caller:    a.Caller,
		Hash:      fleet.ContentHash(id),
	}
	if a.Poison {
		c.request.Hash = "poison"
	}
	w.after(w.deployment.ClientOneWay, func() {
		c.request.Arrival = w.now
		w.calls[id] = c
		w.result.offered(w, c)
		w.after(nodeOneWay, func() { w.acquire(c) })
	})
}

// acquire offers the call to the controller's node.
func (w *world) acquire(c *call) {
	if c.request.Attempt == 0 && !c.cold {
		w.noteCold(c)
	}
	w.policies.Retention.Observe(w.now, c.request.Target, c.request.Rank)
	w.waiting++
	d := w.queue.Offer(w.now, c.request)
	w.decided(d)
	if d.Kind == admission.Wait {
		w.wake(0)
		w.poll(c)
	}
}

// noteCold records what the call found at its arrival.
func (w *world) noteCold(c *call) {
	m := w.modelByID[c.request.Target.Model]
	ready, loading := w.isWarm(m.ID)
	if ready || loading {
		return
	}
	c.cold = true
	c.bound = w.nearestLoad(m) + firstTokenTime
	w.result.coldBurst(w, m.ID)
}

// poll offers the call again for as long as it waits.
func (w *world) poll(c *call) {
	w.after(pollInterval, func() {
		if w.calls[c.request.ID] != c || c.over || c.server != nil || c.grant.ID != "" {
			return
		}
		w.decided(w.queue.Offer(w.now, c.request))
		w.poll(c)
	})
}

// decided carries out a decision of the queue at the entry node.
func (w *world) decided(d admission.Decision) {
	c := w.calls[d.RequestID]
	if c == nil || c.over || d.Kind == admission.Wait {
		return
	}
	c.over = d.Kind == admission.Refuse
	w.after(nodeOneWay, func() {
		if d.Kind == admission.Refuse {
			w.waiting--
			w.end(c, d.Refusal.Code)
			return
		}
		if c.grant.ID == d.Grant.ID {
			return
		}
		c.grant = d.Grant
		w.waiting--
		w.after(nodeOneWay, func() { w.begin(c, d.Grant) })
	})
}

// begin starts the call at the engine.
func (w *world) begin(c *call, g admission.GrantTerms) {
	s := w.byID[g.Replica.Backend]
	l := s.loaded[g.Replica.Model]
	switch {
	case !s.up || s.boot() != g.Replica.Boot:
		w.failed(c, engine.ErrUnreachable)
		return
	case l == nil || !l.ready || l.unloading:
		w.failed(c, engine.ErrNotLoaded)
		return
	case s.draining:
		w.failed(c, engine.ErrDraining)
		return
	}
	if len(l.streams) == 0 {
		w.countIdle(l)
	}
	l.streams[c] = struct{}{}
	c.server, c.loaded = s, l
	c.startedAt = w.now
	if c.arrival.Poison {
		w.after(poisonTime, func() {
			if c.server == s && s.up {
				w.result.ServersLost++
				s.crash(restartTime)
			}
		})
		return
	}
	w.after(firstTokenTime, func() { w.stream(c, s) })
}

// stream gives the first token and plans the end of the answer.
func (w *world) stream(c *call, s *server) {
	if c.server != s || !s.up {
		return
	}
	if c.firstToken.IsZero() {
		c.firstToken = w.now
	}
	decode := time.Duration(float64(c.arrival.Tokens) / streamRate * float64(time.Second))
	w.after(decode, func() {
		if c.server == s && s.up {
			w.answered(c)
		}
	})
}

// leave takes the call off its engine.
func (w *world) leave(c *call) {
	l := c.loaded
	delete(l.streams, c)
	if len(l.streams) == 0 {
		l.idleSince = w.now
		if l.unloading {
			c.server.removeIdle(l)
		}
	}
	c.server, c.loaded = nil, nil
}

// answered ends a call that got its whole answer.
func (w *world) answered(c *call) {
	c.answers++
	w.result.slotTime(w, c)
	f := admission.Finish{
		GrantID:    c.grant.ID,
		RequestID:  c.request.ID,
		Outcome:    admission.FinishOK,
		Tokens:     c.arrival.Tokens,
		FirstToken: firstTokenTime,
		Duration:   w.now.Sub(c.startedAt),
	}
	w.leave(c)
	w.finish(f)
	w.end(c, "")
}

// finish reports the end of a grant to the controller's node.
func (w *world) finish(f admission.Finish) {
	w.after(2*nodeOneWay, func() {
		w.queue.Finish(w.now, f)
		for _, d := range w.queue.Decided() {
			w.decided(d)
		}
	})
}

// broken handles a call whose server crashed while it ran.
func (w *world) broken(c *call) {
	if c.loaded != nil {
		delete(c.loaded.streams, c)
	}
	c.server, c.loaded = nil, nil
	w.failed(c, engine.ErrCrashed)
}

// failed reports a failed try and tries again if that is safe. All calls of the
// harness are idempotent; a broken stream starts anew.
func (w *world) failed(c *call, err error) {
	outcome := admission.FinishNotRun
	if !dispatch.NotRun(err) {
		outcome = admission.FinishCrashed
	}
	w.finish(admission.Finish{GrantID: c.grant.ID, RequestID: c.request.ID, Outcome: outcome})
	if !dispatch.MayRetry(err, true, false) {
		w.end(c, "failed")
		return
	}
	c.request.Attempt++
	c.request.Excluded = append(c.request.Excluded, c.grant.Replica.Backend)
	c.grant = admission.GrantTerms{}
	w.after(3*nodeOneWay, func() { w.acquire(c) })
}

// end gives the call its outcome.
func (w *world) end(c *call, code admission.RefusalCode) {
	if w.calls[c.request.ID] != c {
		w.result.Duplicates++
		return
	}
	delete(w.calls, c.request.ID)
	w.result.ended(w, c, code)
}
