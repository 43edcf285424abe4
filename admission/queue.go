// Package admission queues the requests of one cell over all its models. It
// grants slots of ready replicas, refuses what cannot be answered in time and
// tells the controller which models are asked for.
//
// Ranks: an urgent request goes first, unless another rank that waits is below
// its floor on the backend server. Within a rank the earliest deadline goes
// first, and callers who used more than their share go after the others. No
// replica stays idle while a request that it could run waits.
//
// Queue does no I/O, has no clock and is not safe for concurrent use.
package admission

import (
	"slices"
	"strconv"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/quarantine"
)

// grantState is one grant that has not finished.
type grantState struct {
	request   Request
	terms     GrantTerms
	replica   *replicaState // nil once the replica is gone
	cost      int           // capacity units taken from the replica's backend server
	charged   time.Duration // slot time charged in advance
	grantedAt time.Time
}

// Queue is the core of admission for one cell.
type Queue struct {
	settings Settings
	limits   rankLimits
	models   map[fleet.ModelID]*modelState
	backends map[bootKey]*backendState
	waiters  map[string]*waiter // by request id
	waiting  [fleet.RankCount]int
	demanded map[fleet.ModelID]struct{} // models with queued waiters
	held     []*waiter                  // suspects that wait for their turn, in order of offer
	grants   map[string]*grantState     // by grant id
	granted  map[string]*grantState     // by request id
	callers  [fleet.RankCount]callerAccount
	ready    []Decision // made outside of Tick, returned by the next Tick
	seq      uint64
	scanned  time.Time // waiters were last checked for expiry
	released bool      // SetModels was called
}

// New returns an empty queue. The settings must be valid.
func New(s Settings) *Queue {
	return &Queue{
		settings: s,
		limits:   newRankLimits(&s),
		models:   make(map[fleet.ModelID]*modelState),
		backends: make(map[bootKey]*backendState),
		waiters:  make(map[string]*waiter),
		demanded: make(map[fleet.ModelID]struct{}),
		grants:   make(map[string]*grantState),
		granted:  make(map[string]*grantState),
	}
}

// Offer asks for a slot for the request. It is idempotent by request id: a
// request offered again keeps its place while it waits, and gets its grant
// again while that has not finished. A Wait decision obliges the entry node to
// offer again within the poll timeout; the decision may also come by Tick.
func (q *Queue) Offer(now time.Time, r Request) Decision {
	q.normalise(now, &r)
	if g := q.granted[r.ID]; g != nil {
		if r.Attempt <= g.request.Attempt {
			return grantDecision(g)
		}
		q.finishGrant(now, g, Finish{GrantID: g.terms.ID, Outcome: FinishCancelled})
	}
	if w := q.waiters[r.ID]; w != nil {
		w.offered = now
		w.Attempt = max(w.Attempt, r.Attempt)
		return q.waitDecision(now, w)
	}
	m := q.model(r.Target.Model)
	if refusal, refused := q.screen(now, m, &r); refused {
		return refuseDecision(&r, refusal)
	}
	q.seq++
	w := &waiter{Request: r, offered: now, seq: q.seq}
	w.target = r.Arrival.Add(q.settings.Ranks[r.Rank].FirstTokenTarget)
	w.overdue = q.missesTarget(now, m, w)
	if refusal, refused := q.tooLate(now, m, w); refused {
		q.noteRefused(now, &r, refusal.Code)
		return refuseDecision(&r, refusal)
	}
	if len(q.waiters) >= q.settings.MaxWaiting && !q.makeRoom(now, r.Rank) {
		q.noteRefused(now, &r, CodeOverloaded)
		return refuseDecision(&r, Refusal{Code: CodeOverloaded, Detail: "the queue is full", RetryAfter: overloadRetry})
	}
	q.enqueue(now, m, w)
	q.serveModel(now, m)
	if g := q.granted[r.ID]; g != nil {
		q.takeReady(r.ID)
		return grantDecision(g)
	}
	return q.waitDecision(now, w)
}

// overloadRetry is when to come back to a queue that was full.
const overloadRetry = 10 * time.Second

// normalise fills the fields that a request may leave empty.
func (q *Queue) normalise(now time.Time, r *Request) {
	r.Rank = min(r.Rank, fleet.RankCount-1)
	if r.Arrival.IsZero() || r.Arrival.After(now) {
		r.Arrival = now
	}
	if r.Deadline.IsZero() {
		r.Deadline = r.Arrival.Add(q.settings.Ranks[r.Rank].MaxWait)
	}
}

// enqueue puts a waiter into its queue.
func (q *Queue) enqueue(now time.Time, m *modelState, w *waiter) {
	q.waiters[w.ID] = w
	q.waiting[w.Rank]++
	if last := m.last[w.Target.Adapter]; w.Arrival.After(last) {
		m.last[w.Target.Adapter] = w.Arrival
	}
	m.noteOverdue(now, w)
	m.add(w, q.settings.FIFO)
	q.demanded[w.Target.Model] = struct{}{}
}

// dequeue takes a waiter out of its queue.
func (q *Queue) dequeue(w *waiter) {
	m := q.models[w.Target.Model]
	m.remove(w)
	if len(m.targets) == 0 {
		delete(q.demanded, w.Target.Model)
	}
}

// hold moves a waiter to those kept apart by the quarantine.
func (q *Queue) hold(w *waiter) {
	q.dequeue(w)
	w.held = true
	q.held = append(q.held, w)
}

// drop takes a waiter out without a decision.
func (q *Queue) drop(w *waiter) {
	delete(q.waiters, w.ID)
	q.waiting[w.Rank]--
	if w.held {
		q.held = slices.DeleteFunc(q.held, func(o *waiter) bool { return o == w })
		return
	}
	q.dequeue(w)
}

// makeRoom refuses a waiter of the rank of least worth, from its longest queue,
// if that is worth less than the given rank, and reports whether it did.
func (q *Queue) makeRoom(now time.Time, rank fleet.Rank) bool {
	least := rank
	for r, n := range q.waiting {
		if n > 0 && q.settings.Ranks[r].Worth < q.settings.Ranks[least].Worth {
			least = fleet.Rank(r)
		}
	}
	if least == rank {
		return false
	}
	w := q.lastOf(least)
	if w == nil {
		return false
	}
	q.refuse(now, w, Refusal{Code: CodeOverloaded, Detail: "displaced by work of more worth", RetryAfter: overloadRetry})
	return true
}

// lastOf returns a late waiter of the longest queue of the rank.
func (q *Queue) lastOf(rank fleet.Rank) *waiter {
	var longest *rankQueue
	for _, id := range sortedKeys(q.models) {
		for _, t := range q.models[id].targets {
			for _, queue := range []*rankQueue{&t.overdue[rank], &t.onTime[rank]} {
				if longest == nil || queue.len() > longest.len() {
					longest = queue
				}
			}
		}
	}
	if longest == nil || longest.len() == 0 {
		return nil
	}
	caller := longest.callers[0]
	for _, c := range longest.callers {
		if c.Len() > caller.Len() {
			caller = c
		}
	}
	return caller.waiters[caller.Len()-1]
}

// refuse ends a wait with a refusal, returned by the next Tick.
func (q *Queue) refuse(now time.Time, w *waiter, refusal Refusal) {
	q.drop(w)
	q.noteRefused(now, &w.Request, refusal.Code)
	q.ready = append(q.ready, refuseDecision(&w.Request, refusal))
}

// takeReady removes a decision that Offer returns itself.
func (q *Queue) takeReady(id string) {
	q.ready = slices.DeleteFunc(q.ready, func(d Decision) bool { return d.RequestID == id })
}

// Cancel ends a request that nobody waits for any more. A grant of it stays
// until Finish.
func (q *Queue) Cancel(now time.Time, id string) {
	if w := q.waiters[id]; w != nil {
		q.refuse(now, w, Refusal{Code: CodeCancelled, Detail: "cancelled by the entry node"})
	}
}

// Finish frees the slot of a grant. It is idempotent by grant id.
func (q *Queue) Finish(now time.Time, f Finish) {
	g := q.grants[f.GrantID]
	if g == nil {
		return
	}
	q.finishGrant(now, g, f)
}

// finishGrant frees a grant's slot, corrects the accounts and serves waiters.
func (q *Queue) finishGrant(now time.Time, g *grantState, f Finish) {
	delete(q.grants, g.terms.ID)
	if q.granted[g.request.ID] == g {
		delete(q.granted, g.request.ID)
	}
	q.settle(now, g, f)
	q.holdBack(now, g, f.Outcome)
	q.clearSuspicion(now, g, f)
	if r := g.replica; r != nil {
		r.running--
		r.backend.used[g.request.Rank] -= g.cost
		r.backend.finished = append(r.backend.finished, finishedGrant{model: r.Model, started: g.grantedAt, finished: now})
		q.serveHeld(now)
		q.serveBackend(now, r.backend)
	}
}

// settle replaces the slot time charged in advance by the time used.
func (q *Queue) settle(now time.Time, g *grantState, f Finish) {
	correction := now.Sub(g.grantedAt) - g.charged
	q.callers[g.request.Rank].charge(now, q.settings.FloorWindow, g.request.Caller, correction)
	if g.replica != nil {
		g.replica.backend.usage.charge(g.request.Rank, correction)
	}
	q.model(g.request.Target.Model).learnt.finish(now, g.request.Rank, f)
}

// clearSuspicion tells the quarantine how a granted request ended.
func (q *Queue) clearSuspicion(now time.Time, g *grantState, f Finish) {
	table := q.settings.Quarantine
	if table == nil {
		return
	}
	if f.Outcome == FinishCrashed {
		q.crash(now, g)
		return
	}
	table.Finish(keyOf(&g.request), g.terms.Replica.Boot, f.Outcome == FinishOK)
}

// crash reports the loss of a boot with all that was in flight on it. Other
// grants on the boot finish by their own reports.
func (q *Queue) crash(now time.Time, g *grantState) {
	report := quarantine.CrashReport{Backend: g.terms.Replica.Backend, Boot: g.terms.Replica.Boot}
	report.InFlight = append(report.InFlight, keyOf(&g.request))
	for _, id := range sortedKeys(q.grants) {
		other := q.grants[id]
		if other.terms.Replica.Backend == report.Backend && other.terms.Replica.Boot == report.Boot {
			report.InFlight = append(report.InFlight, keyOf(&other.request))
		}
	}
	q.settings.Quarantine.Crash(now, report)
}

// Times for which a replica that failed a grant gets no work, so that requests
// are not sent there again and again until its next report.
const (
	crashPause  = 15 * time.Second       // the whole boot; its successor has another boot id
	notRunPause = 500 * time.Millisecond // the replica
)

// holdBack keeps work from a replica that crashed or did not take a request.
func (q *Queue) holdBack(now time.Time, g *grantState, outcome FinishOutcome) {
	b := q.backends[bootKey{g.terms.Replica.Backend, g.terms.Replica.Boot}]
	switch {
	case b == nil:
	case outcome == FinishCrashed:
		b.downUntil = now.Add(crashPause)
	case outcome == FinishNotRun:
		b.pause(g.terms.Replica.Model, now.Add(notRunPause))
	}
}

// EntryLost ends what an entry node of the incarnation or an older one asked
// for, as nobody waits for it.
func (q *Queue) EntryLost(now time.Time, node fleet.NodeID, inc fleet.Incarnation) {
	for _, id := range sortedKeys(q.waiters) {
		if w := q.waiters[id]; w != nil && w.Entry == node && w.Incarnation <= inc {
			q.refuse(now, w, Refusal{Code: CodeCancelled, Detail: "entry node lost"})
		}
	}
	for _, id := range sortedKeys(q.grants) {
		if g := q.grants[id]; g != nil && g.request.Entry == node && g.request.Incarnation <= inc {
			q.finishGrant(now, g, Finish{GrantID: id, Outcome: FinishCancelled})
		}
	}
}

// nextGrantID returns a grant id that no other queue gives.
func (q *Queue) nextGrantID() string {
	q.seq++
	return q.settings.GrantPrefix + "-" + strconv.FormatUint(q.seq, 36)
}

// keyOf names a request's content.
func keyOf(r *Request) quarantine.Key {
	return quarantine.Key{Model: r.Target.Model, Hash: r.Hash}
}
