// Package admission queues the requests of one cell over all its models. It
// grants slots of ready replicas, refuses requests that can't get their first
// token by their deadline, and gives the controller the demand for each model.
//
// A free slot goes to the most urgent rank that waits, unless another waiting
// rank is below its floor on the backend server. Within a rank, requests that
// can still meet the rank's target go first, then the one that is due first.
// Requests of callers who used more than their share of slot time go after the
// others. No replica stays idle while a request that it could run waits.
//
// Queue does no I/O, reads no clock and is not safe for concurrent use.
package admission

import (
	"slices"
	"strconv"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/quarantine"
)

// grantState is a grant that has not finished.
type grantState struct {
	request     Request
	details     GrantDetails
	replica     *replicaState // nil if the replica is no longer listed
	cost        int           // capacity units used on the backend server
	chargedTime time.Duration // estimated slot time, charged when granted
	grantedAt   time.Time
}

// Queue decides on the requests of one cell.
type Queue struct {
	settings         Settings
	limits           rankLimits
	models           map[fleet.ModelID]*modelState
	backends         map[bootKey]*backendState
	waiters          map[string]*waiter           // by request ID
	waiting          [fleet.RankCount]int         // number of waiters by rank
	queuedModels     map[fleet.ModelID]struct{}   // models with waiters, apart from held ones
	held             []*waiter                    // waiters held by the quarantine, in the order in which they were held
	grants           map[string]*grantState       // by grant ID
	grantsByRequest  map[string]*grantState       // by request ID
	usageByCaller    [fleet.RankCount]callerUsage // by rank
	pendingDecisions []Decision                   // decisions for the next Tick or TakeDecisions
	seq              uint64                       // last number used for a waiter or grant ID
	lastScan         time.Time                    // time of the last check of all waiters for expiry
	hasRelease       bool                         // SetModels has been called
}

// New returns an empty queue. The settings must be valid.
func New(s Settings) *Queue {
	return &Queue{
		settings:        s,
		limits:          newRankLimits(&s),
		models:          make(map[fleet.ModelID]*modelState),
		backends:        make(map[bootKey]*backendState),
		waiters:         make(map[string]*waiter),
		queuedModels:    make(map[fleet.ModelID]struct{}),
		grants:          make(map[string]*grantState),
		grantsByRequest: make(map[string]*grantState),
	}
}

// Offer requests a slot. It is idempotent by request ID: a request offered again
// keeps its place in the queue, or gets the same grant again until that
// finishes. An offer of a later attempt ends the grant of the earlier one. After
// a Wait decision the entry node must offer the request again within the poll
// timeout. The final decision is returned by one of these offers, Tick or
// TakeDecisions.
func (q *Queue) Offer(now time.Time, r Request) Decision {
	q.normalise(now, &r)
	if g := q.grantsByRequest[r.ID]; g != nil {
		if r.Attempt <= g.request.Attempt {
			return grantDecision(g)
		}
		q.finishGrant(now, g, Finish{GrantID: g.details.ID, Outcome: FinishCancelled})
	}
	if w := q.waiters[r.ID]; w != nil {
		w.lastOffer = now
		w.Attempt = max(w.Attempt, r.Attempt)
		return q.waitDecision(now, w)
	}
	m := q.model(r.Target.Model)
	if refusal, refused := q.checkAllowed(now, m, &r); refused {
		return refuseDecision(&r, refusal)
	}
	q.seq++
	w := &waiter{Request: r, lastOffer: now, seq: q.seq}
	w.targetTime = r.Arrival.Add(q.settings.Ranks[r.Rank].FirstTokenTarget)
	w.overdue = q.missesTarget(now, m, w)
	if refusal, refused := q.checkDeadline(now, m, w); refused {
		q.countRefusal(now, &r, refusal.Code)
		return refuseDecision(&r, refusal)
	}
	if len(q.waiters) >= q.settings.MaxWaiting && !q.displaceWaiter(now, r.Rank) {
		q.countRefusal(now, &r, CodeOverloaded)
		return refuseDecision(&r, Refusal{Code: CodeOverloaded, Detail: "the queue is full", RetryAfter: overloadRetryAfter})
	}
	q.enqueue(now, m, w)
	q.serveModel(now, m)
	if g := q.grantsByRequest[r.ID]; g != nil {
		q.removePending(r.ID)
		return grantDecision(g)
	}
	return q.waitDecision(now, w)
}

// overloadRetryAfter is the retry time given to the caller of a request refused
// because the queue is full.
const overloadRetryAfter = 10 * time.Second

// normalise replaces fields of the request that are missing or out of range.
func (q *Queue) normalise(now time.Time, r *Request) {
	r.Rank = min(r.Rank, fleet.RankCount-1)
	if r.Arrival.IsZero() || r.Arrival.After(now) {
		r.Arrival = now
	}
	if r.Deadline.IsZero() {
		r.Deadline = r.Arrival.Add(q.settings.Ranks[r.Rank].MaxWait)
	}
}

// enqueue adds a waiter to its queue.
func (q *Queue) enqueue(now time.Time, m *modelState, w *waiter) {
	q.waiters[w.ID] = w
	q.waiting[w.Rank]++
	if lastArrival := m.lastArrival[w.Target.Adapter]; w.Arrival.After(lastArrival) {
		m.lastArrival[w.Target.Adapter] = w.Arrival
	}
	m.trackFirstOverdue(now, w)
	m.add(w, q.settings.FIFO)
	q.queuedModels[w.Target.Model] = struct{}{}
}

// dequeue takes a waiter out of its queue.
func (q *Queue) dequeue(w *waiter) {
	m := q.models[w.Target.Model]
	m.remove(w)
	if len(m.targets) == 0 {
		delete(q.queuedModels, w.Target.Model)
	}
}

// holdWaiter moves a waiter from its queue to those held by the quarantine.
func (q *Queue) holdWaiter(w *waiter) {
	q.dequeue(w)
	w.held = true
	q.held = append(q.held, w)
}

// removeWaiter removes a waiter without a decision.
func (q *Queue) removeWaiter(w *waiter) {
	delete(q.waiters, w.ID)
	q.waiting[w.Rank]--
	if w.held {
		q.held = slices.DeleteFunc(q.held, func(o *waiter) bool { return o == w })
		return
	}
	q.dequeue(w)
}

// displaceWaiter refuses a waiter of the waiting rank of least worth, if that is
// worth less than the given rank, and reports whether it refused one.
func (q *Queue) displaceWaiter(now time.Time, rank fleet.Rank) bool {
	lowest := rank
	for r, n := range q.waiting {
		if n > 0 && q.settings.Ranks[r].Worth < q.settings.Ranks[lowest].Worth {
			lowest = fleet.Rank(r)
		}
	}
	if lowest == rank {
		return false
	}
	w := q.displacementCandidate(lowest)
	if w == nil {
		return false
	}
	q.refuse(now, w, Refusal{Code: CodeOverloaded, Detail: "displaced by a request of higher worth", RetryAfter: overloadRetryAfter})
	return true
}

// displacementCandidate returns a waiter of the rank to displace, or nil: one
// near the end of the queue of the caller with the most waiters, in the longest
// queue of the rank.
func (q *Queue) displacementCandidate(rank fleet.Rank) *waiter {
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

// refuse ends a wait with a refusal. The next Tick or TakeDecisions returns it.
func (q *Queue) refuse(now time.Time, w *waiter, refusal Refusal) {
	q.removeWaiter(w)
	q.countRefusal(now, &w.Request, refusal.Code)
	q.pendingDecisions = append(q.pendingDecisions, refuseDecision(&w.Request, refusal))
}

// removePending removes the pending decision on a request, as Offer returns it.
func (q *Queue) removePending(id string) {
	q.pendingDecisions = slices.DeleteFunc(q.pendingDecisions, func(d Decision) bool { return d.RequestID == id })
}

// Cancel ends the wait of a request that its entry node no longer needs. If it
// has a grant, that stays until Finish.
func (q *Queue) Cancel(now time.Time, id string) {
	if w := q.waiters[id]; w != nil {
		q.refuse(now, w, Refusal{Code: CodeCancelled, Detail: "cancelled by the entry node"})
	}
}

// Finish frees the slot of a grant. It is idempotent by grant ID.
func (q *Queue) Finish(now time.Time, f Finish) {
	g := q.grants[f.GrantID]
	if g == nil {
		return
	}
	q.finishGrant(now, g, f)
}

// finishGrant removes a grant, corrects the accounted slot time, reports the
// outcome to the quarantine and grants the freed slot.
func (q *Queue) finishGrant(now time.Time, g *grantState, f Finish) {
	delete(q.grants, g.details.ID)
	if q.grantsByRequest[g.request.ID] == g {
		delete(q.grantsByRequest, g.request.ID)
	}
	q.correctUsage(now, g, f)
	q.pauseAfterFailure(now, g, f.Outcome)
	q.reportToQuarantine(now, g, f)
	if r := g.replica; r != nil {
		r.running--
		r.backend.used[g.request.Rank] -= g.cost
		r.backend.finished = append(r.backend.finished, finishedGrant{model: r.Model, started: g.grantedAt, finished: now})
		q.serveHeld(now)
		q.serveBackend(now, r.backend)
	}
}

// correctUsage replaces the estimated slot time charged by the grant with the
// time used, and adds the request to the moving averages.
func (q *Queue) correctUsage(now time.Time, g *grantState, f Finish) {
	correction := now.Sub(g.grantedAt) - g.chargedTime
	q.usageByCaller[g.request.Rank].charge(now, q.settings.FloorWindow, g.request.Caller, correction)
	if g.replica != nil {
		g.replica.backend.usage.charge(g.request.Rank, correction)
	}
	q.model(g.request.Target.Model).averages.observeFinish(now, g.request.Rank, f)
}

// reportToQuarantine reports to the quarantine how a granted request ended.
func (q *Queue) reportToQuarantine(now time.Time, g *grantState, f Finish) {
	table := q.settings.Quarantine
	if table == nil {
		return
	}
	if f.Outcome == FinishCrashed {
		q.reportCrash(now, g)
		return
	}
	table.Finish(contentKey(&g.request), g.details.Replica.Boot, f.Outcome == FinishOK)
}

// reportCrash reports the crash of a boot with all requests in flight on it to
// the quarantine. The other grants on the boot stay until their own Finish.
func (q *Queue) reportCrash(now time.Time, g *grantState) {
	report := quarantine.CrashReport{Backend: g.details.Replica.Backend, Boot: g.details.Replica.Boot}
	report.InFlight = append(report.InFlight, contentKey(&g.request))
	for _, id := range sortedKeys(q.grants) {
		other := q.grants[id]
		if other.details.Replica.Backend == report.Backend && other.details.Replica.Boot == report.Boot {
			report.InFlight = append(report.InFlight, contentKey(&other.request))
		}
	}
	q.settings.Quarantine.RecordCrash(now, report)
}

// Times for which a replica gets no requests after a failed grant. Without them
// requests would be sent there repeatedly until its next report.
const (
	crashPause  = 15 * time.Second       // for all replicas of the boot; the restarted server has another boot ID
	notRunPause = 500 * time.Millisecond // for the replica only
)

// pauseAfterFailure keeps requests from a backend server that crashed, or from a
// replica that did not run a request, for a time.
func (q *Queue) pauseAfterFailure(now time.Time, g *grantState, outcome FinishOutcome) {
	b := q.backends[bootKey{g.details.Replica.Backend, g.details.Replica.Boot}]
	switch {
	case b == nil:
	case outcome == FinishCrashed:
		b.downUntil = now.Add(crashPause)
	case outcome == FinishNotRun:
		b.pause(g.details.Replica.Model, now.Add(notRunPause))
	}
}

// EntryNodeFailed refuses the waiters and finishes the grants of a failed entry node,
// of the given incarnation and earlier ones.
func (q *Queue) EntryNodeFailed(now time.Time, node fleet.NodeID, inc fleet.Incarnation) {
	for _, id := range sortedKeys(q.waiters) {
		if w := q.waiters[id]; w != nil && w.Entry == node && w.Incarnation <= inc {
			q.refuse(now, w, Refusal{Code: CodeCancelled, Detail: "entry node failed"})
		}
	}
	for _, id := range sortedKeys(q.grants) {
		if g := q.grants[id]; g != nil && g.request.Entry == node && g.request.Incarnation <= inc {
			q.finishGrant(now, g, Finish{GrantID: id, Outcome: FinishCancelled})
		}
	}
}

// nextGrantID returns a grant ID that no other queue uses.
func (q *Queue) nextGrantID() string {
	q.seq++
	return q.settings.GrantPrefix + "-" + strconv.FormatUint(q.seq, 36)
}

// contentKey returns the quarantine key of a request's content.
func contentKey(r *Request) quarantine.Key {
	return quarantine.Key{Model: r.Target.Model, Hash: r.Hash}
}
