// Package waiting queues the requests that an entry node has not yet sent to a
// backend server. The most urgent request is assigned first, as soon as a server
// has a free slot. A request that can't be served within its time limit is
// refused immediately. Queue does no I/O, takes the time as a parameter and is
// not safe for concurrent use.
package waiting

import (
	"time"

	"github.com/redwingnotch/redwingnotch/replicas"
	"github.com/redwingnotch/redwingnotch/routes"
)

// Time limits and estimates of the queue.
const (
	responseReserve    = 120 * time.Millisecond // part of a request's time limit that is reserved for its response
	loadOverhead       = 500 * time.Millisecond // delay from the demand for a model to the start of its load, plus from the load's end to its report
	newLeaderDelay     = 4 * time.Second        // estimated time until another node leads the cell
	noServerWaitShare  = 0.3                    // share of a request's time limit that it waits for a first server of its service
	noServerRetryAfter = 500 * time.Millisecond // Retry-After if the service has no server
	stoppingRetryAfter = 20 * time.Millisecond  // Retry-After of a stopping node; short, as another node accepts the request at once
	minFullRetryAfter  = 300 * time.Millisecond // minimum Retry-After if all servers are full; Retry-After if the time limit has ended
	shortTimeLimit     = 400 * time.Millisecond // requests with a shorter time limit reserve half of responseReserve
)

// Request is one request that needs a backend server.
type Request struct {
	Key          uint64 // unique at this node
	Requirement  replicas.Requirement
	Priority     int       // of the route; 0 is the most urgent
	Team         string    // team whose share the request counts in; empty if there are no teams
	TeamPriority int       // precedes Priority; 0 is the most urgent
	Cost         float64   // tokens that the request counts in the team's share
	Arrived      time.Time // arrival at this node
	Deadline     time.Time // time until which the caller waits for the first byte of the response; at most the end of its or the route's time limit

	accepted bool // it was let wait
	wait     Wait // of the latest decision to let it wait
}

// Decision is the outcome of a queued request: it is assigned to a server or
// refused.
type Decision struct {
	Key        uint64
	Server     replicas.Entry
	Refused    Reason        // empty if Server is set
	Wait       Wait          // why the request waited, or why it was refused rather than sent
	RetryAfter time.Duration // time after which the caller may retry; zero if Server is set, or if no retry can succeed
}

// Reason says why a request was refused. A refused request has not run.
type Reason string

// Reasons for refusing a request.
const (
	NoServer         Reason = "no_server"        // the service has no usable server
	ModelNotReady    Reason = "model_not_ready"  // the model can't be ready in time
	Overloaded       Reason = "overloaded"       // no slot is expected to become free in time
	ServersShed      Reason = "servers_shed"     // all servers that have the model turn requests away for some time
	Stopping         Reason = "stopping"         // the node is stopping
	DeadlineExceeded Reason = "time_over"        // no server was free before the deadline
	ExceedsCache     Reason = "exceeds_kv_cache" // the request alone does not fit into the KV cache of a server
)

// ModelDemand is the number and urgency of the queued requests for one model or adapter.
type ModelDemand struct {
	Service  string
	Model    string
	Adapter  string    // empty for the model itself
	Software string    // version of the servers' software that alone will do; empty if any will
	Count    int       // number of queued requests
	Priority int       // priority of the most urgent request
	Deadline time.Time // latest deadline of the requests
}

// Cause says why a request is not sent at once.
type Cause string

// Causes of waiting.
const (
	NoSlot     Cause = "slots"    // all servers that have the model are full
	NoCache    Cause = "kv_cache" // a server has a free slot, but no room in its KV cache
	NotNext    Cause = "turn"     // a server has room, but requests for the model are ahead
	ModelLoads Cause = "model"    // no server has the model ready
	NoneUsable Cause = "server"   // no server may be used
)

// Wait describes the latest decision to let a request wait, or to refuse it.
type Wait struct {
	Cause    Cause         // empty if the request was sent at once
	Ahead    int           // more urgent requests for the same model
	Expected time.Duration // estimated wait for a slot; zero if there is no estimate
}

// Queue holds the requests of an entry node that wait for a backend server.
type Queue struct {
	ranks []*rank            // in order
	lanes map[queueKey]*lane // by model; only those with requests
	count int                // number of requests
	rates map[queueKey]*rate // of sends, by model
	holds map[string]*hold   // by service
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{lanes: map[queueKey]*lane{}, rates: map[queueKey]*rate{}, holds: map[string]*hold{}}
}

// Len returns the number of queued requests.
func (q *Queue) Len() int { return q.count }

// State is the input of decisions.
type State struct {
	Table       *replicas.Table
	Services    map[string]*routes.Service // by name
	LeaderAlive bool                       // some node leads the cell and can order loads

	// unavailable holds the targets for which no server was chosen in this pass over the
	// queue. Requests that are assigned meanwhile only make servers fuller.
	unavailable map[targetKey]unavailable
}

// unavailable is the result for requests with at least as many tokens.
type unavailable struct {
	result replicas.Result
	tokens int
}

// targetKey is what requests without a history need of a server.
type targetKey struct{ service, model, adapter string }

// choose chooses a server for the request, once for requests with the same need if there is
// none.
func (s *State) choose(now time.Time, r *replicas.Requirement) (replicas.Entry, replicas.Result) {
	if s.unavailable == nil || r.Software != nil || len(r.Excluded) > 0 {
		return s.Table.Choose(now, *r)
	}
	key := targetKey{r.Service, r.Model, r.Adapter}
	if u, known := s.unavailable[key]; known && (u.result != replicas.CacheFull || r.Tokens >= u.tokens) {
		return replicas.Entry{}, u.result
	}
	server, result := s.Table.Choose(now, *r)
	if result != replicas.Chosen {
		s.unavailable[key] = unavailable{result, r.Tokens}
	}
	return server, result
}

// cacheTokens returns the size of the KV cache of the service's servers, zero if unknown.
func (s *State) cacheTokens(service string) int {
	if svc := s.Services[service]; svc != nil && svc.Engine != nil {
		return svc.Engine.KVCacheTokens
	}
	return 0
}

// withdrawn reports whether no server may load the required model, as the desired state does not
// have it.
func (s *State) withdrawn(r *replicas.Requirement) bool {
	service := s.Services[r.Service]
	return service != nil && service.Engine != nil && service.Engine.Model(r.Model) == nil
}

// Offer decides on a new request. If it returns false, the request is queued.
func (q *Queue) Offer(now time.Time, r Request, s State) (Decision, bool) {
	d, done := q.decide(now, &r, s, q.placeOf(now, &r))
	if !done {
		r.accepted = true
		q.insert(now, &r)
		return d, false
	}
	if d.Refused == "" && q.lanes[keyOf(&r)] != nil {
		q.charge(now, &r) // others wait for the same servers
	}
	return d, true
}

// charge counts a request that is sent in its team's share.
func (q *Queue) charge(now time.Time, r *Request) {
	clock := q.rankOf(r).clock(r.Requirement.Service)
	clock.Charge(now, clock.Team(now, r.Team), r.cost())
}

// RefuseAll refuses all queued requests because the node is stopping.
func (q *Queue) RefuseAll(now time.Time) []Decision {
	var decisions []Decision
	for _, k := range q.ranks {
		k.walk(func(f *flow, i item) bool {
			decisions = append(decisions, refuse(Decision{Key: i.request.Key}, Stopping, stoppingRetryAfter))
			q.left(f, i)
			return false
		})
		q.endWalk(k)
	}
	return decisions
}

// endWalk removes the requests from the rank that do not stay after a walk.
func (q *Queue) endWalk(k *rank) {
	for _, f := range k.flows {
		clear(f.items[f.kept:])
		f.items = f.items[:f.kept]
	}
	q.dropEmpty(k)
}

// Dispatch decides on all queued requests again and returns those that leave the
// queue.
func (q *Queue) Dispatch(now time.Time, s State) []Decision {
	var decisions []Decision
	s.unavailable = map[targetKey]unavailable{}
	for _, l := range q.lanes {
		l.ahead = 0
	}
	for _, k := range q.ranks {
		k.walk(func(f *flow, i item) bool {
			d, done := q.decide(now, i.request, s, place{f.lane.ahead, f.kept, f.clock.Waiting()})
			if !done {
				f.lane.ahead++
				f.items[f.kept] = i
				return true
			}
			decisions = append(decisions, d)
			if d.Refused == "" {
				f.clock.Charge(now, f.team, i.cost)
			}
			q.left(f, i)
			return false
		})
		q.endWalk(k)
	}
	return decisions
}

// decide assigns or refuses a request, or returns false if it has to wait.
func (q *Queue) decide(now time.Time, r *Request, s State, p place) (Decision, bool) {
	d := Decision{Key: r.Key, Wait: r.wait}
	if !now.Before(r.Deadline) {
		return refuse(d, DeadlineExceeded, minFullRetryAfter), true
	}
	r.Requirement.CacheTokens = s.cacheTokens(r.Requirement.Service)
	if limit := r.Requirement.CacheTokens; limit > 0 && r.Requirement.Tokens > limit {
		d.Refused, d.Wait.Cause = ExceedsCache, NoCache
		return d, true // no server takes it later either
	}
	server, result := s.choose(now, &r.Requirement)
	if result == replicas.Chosen && p.ahead == 0 {
		s.Table.BeginSized(now, server.ID, r.Requirement.Size())
		q.gone(now, r)
		d.Server = server
		return d, true
	}
	r.wait = Wait{Cause: causeOf(result), Ahead: p.ahead}
	d.Wait = r.wait
	reserve := responseReserve
	if r.Deadline.Sub(r.Arrived) < shortTimeLimit {
		reserve /= 2
	}
	latest := r.Deadline.Add(-reserve)
	if !now.Before(latest) {
		return refuse(d, DeadlineExceeded, minFullRetryAfter), true
	}
	if result == replicas.Full || result == replicas.CacheFull || result == replicas.Chosen {
		return q.awaitSlot(now, r, s, p, latest)
	}
	return q.awaitServer(now, r, s, result, d, latest)
}

// causeOf returns why a request with the result waits.
func causeOf(result replicas.Result) Cause {
	switch result {
	case replicas.Chosen:
		return NotNext
	case replicas.Full:
		return NoSlot
	case replicas.CacheFull:
		return NoCache
	case replicas.NoModel:
		return ModelLoads
	}
	return NoneUsable
}

// awaitSlot refuses a request whose servers are full, or that has more urgent ones ahead, or
// returns false if it is expected to be sent by latest.
func (q *Queue) awaitSlot(now time.Time, r *Request, s State, p place, latest time.Time) (Decision, bool) {
	wait := q.expectedWait(now, r, s, p)
	r.wait.Expected = wait
	d := Decision{Key: r.Key, Wait: r.wait}
	if wait > 0 && now.Add(time.Duration(q.margin(now, r)*float64(wait))).After(latest) {
		return refuse(d, Overloaded, max(minFullRetryAfter, wait/2)), true
	}
	return d, false
}

// awaitServer refuses a request for which no server can be used now with d, or returns false if
// it is expected to be sent by latest.
func (q *Queue) awaitServer(now time.Time, r *Request, s State, result replicas.Result, d Decision, latest time.Time) (Decision, bool) {
	switch result {
	case replicas.AllLeaving:
		return refuse(d, NoServer, noServerRetryAfter), true
	case replicas.AllTried:
		return refuse(d, NoServer, minFullRetryAfter), true
	case replicas.Paused:
		return refuse(d, ServersShed, s.Table.PauseEnd(now, r.Requirement).Sub(now)), true
	case replicas.NoUsableServer:
		if r.Requirement.Software != nil {
			d.Refused = NoServer
			return d, true // servers of the version that began a stream do not come back in time
		}
		if now.Sub(r.Arrived) >= time.Duration(noServerWaitShare*float64(r.Deadline.Sub(r.Arrived))) {
			return refuse(d, NoServer, noServerRetryAfter), true
		}
	case replicas.NoModel:
		if s.withdrawn(&r.Requirement) {
			return refuse(d, ModelNotReady, noServerRetryAfter), true
		}
		if ready, known := q.expectedReady(now, r, s); known && ready.After(latest) {
			return refuse(d, ModelNotReady, ready.Sub(now)), true
		}
	}
	return d, false
}

// refuse completes d as a refusal. RetryAfter is at least 1 ms.
func refuse(d Decision, reason Reason, retryAfter time.Duration) Decision {
	d.Refused, d.RetryAfter = reason, max(retryAfter, time.Millisecond)
	return d
}

// expectedReady returns the earliest time at which the request's model or adapter
// is expected to be ready, or false if that is unknown.
func (q *Queue) expectedReady(now time.Time, r *Request, s State) (time.Time, bool) {
	service := s.Services[r.Requirement.Service]
	if service == nil || service.Engine == nil {
		return time.Time{}, false
	}
	model := service.Engine.Model(r.Requirement.Model)
	if model == nil {
		return time.Time{}, false
	}
	if ready, known := s.Table.ReadyAt(now, r.Requirement); known {
		return ready, true
	}
	modelOnly := replicas.Requirement{Service: r.Requirement.Service, Model: r.Requirement.Model, Software: r.Requirement.Software}
	if _, result := s.Table.Choose(now, modelOnly); result == replicas.Chosen {
		return now, true // only the adapter is missing; it loads within milliseconds
	}
	if at, known := s.Table.AbsenceEnd(now, r.Requirement); known {
		return at, true
	}
	ready := now.Add(s.Table.ShortestLoadTime(r.Requirement, model.WarmLoadTime, model.DiskLoadTime, model.LoadTime))
	if now.Sub(r.Arrived) < loadOverhead {
		ready = ready.Add(loadOverhead - now.Sub(r.Arrived))
	}
	if !s.LeaderAlive {
		ready = ready.Add(newLeaderDelay)
	}
	return ready, true
}

// Demand returns the queued demand for models and adapters that no server has
// ready, the most urgent first.
func (q *Queue) Demand(now time.Time, t *replicas.Table) []ModelDemand {
	var demand []ModelDemand
	index := map[ModelDemand]int{}
	available := map[ModelDemand]bool{}
	q.each(func(r *Request) {
		if r.Requirement.Model == "" {
			return
		}
		key := ModelDemand{Service: r.Requirement.Service, Model: r.Requirement.Model, Adapter: r.Requirement.Adapter}
		if r.Requirement.Software != nil {
			key.Software = *r.Requirement.Software
		}
		if at, known := index[key]; known {
			demand[at].Count++
			if r.Deadline.After(demand[at].Deadline) {
				demand[at].Deadline = r.Deadline
			}
			return
		}
		if available[key] && len(r.Requirement.Excluded) == 0 {
			return
		}
		if _, result := t.Choose(now, r.Requirement); result != replicas.NoModel {
			available[key] = true
			return
		}
		index[key] = len(demand)
		d := key
		d.Count, d.Priority, d.Deadline = 1, r.Priority, r.Deadline
		demand = append(demand, d)
	})
	return demand
}
