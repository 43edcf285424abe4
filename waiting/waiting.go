// Package waiting queues the requests that an entry node has not yet sent to a
// backend server. The most urgent request is assigned first, as soon as a server
// has a free slot. A request that can't be served within its time limit is
// refused immediately. Queue does no I/O, takes the time as a parameter and is
// not safe for concurrent use.
package waiting

import (
	"math"
	"slices"
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
	rateWindow         = 2 * time.Second        // time constant of the send rate
	maxSaturationGap   = 300 * time.Millisecond // a service is no longer saturated if no request found it full for longer than this
	shortTimeLimit     = 400 * time.Millisecond // requests with a shorter time limit reserve half of responseReserve
)

// Request is one request that needs a backend server.
type Request struct {
	Key         uint64 // unique at this node
	Requirement replicas.Requirement
	Priority    int       // 0 is the most urgent
	Arrived     time.Time // arrival at this node
	Deadline    time.Time // time until which the caller waits for the first byte of the response; at most the end of its or the route's time limit
}

// Decision is the outcome of a queued request: it is assigned to a server or
// refused.
type Decision struct {
	Key        uint64
	Server     replicas.Entry
	Refused    Reason        // empty if Server is set
	RetryAfter time.Duration // time after which the caller may retry; zero if Server is set, or if no retry can succeed
}

// Reason says why a request was refused. A refused request has not run.
type Reason string

// Reasons for refusing a request.
const (
	NoServer         Reason = "no_server"       // the service has no usable server
	ModelNotReady    Reason = "model_not_ready" // the model can't be ready in time
	Overloaded       Reason = "overloaded"      // no slot is expected to become free in time
	ServersShed      Reason = "servers_shed"    // all servers that have the model turn requests away for some time
	Stopping         Reason = "stopping"        // the node is stopping
	DeadlineExceeded Reason = "time_over"       // no server was free before the deadline
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

// Queue holds the requests of an entry node that wait for a backend server.
type Queue struct {
	requests  []Request              // ordered by urgency
	rates     map[string]*rate       // send rate by service
	saturated map[string]*saturation // current or last saturation by service
}

// saturation is a period in which requests found no free slot.
type saturation struct{ from, last time.Time }

// rate is an exponentially decaying count of requests.
type rate struct {
	at    time.Time // time of the last decay
	count float64
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{rates: map[string]*rate{}, saturated: map[string]*saturation{}} }

// Len returns the number of queued requests.
func (q *Queue) Len() int { return len(q.requests) }

// State is the input of decisions.
type State struct {
	Table       *replicas.Table
	Services    map[string]*routes.Service // by name
	LeaderAlive bool                       // some node leads the cell and can order loads

	// unavailable holds the targets for which no server was chosen in this pass over the
	// queue. Requests that are assigned meanwhile only make servers fuller.
	unavailable map[targetKey]replicas.Result
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
	if result, known := s.unavailable[key]; known {
		return replicas.Entry{}, result
	}
	server, result := s.Table.Choose(now, *r)
	if result != replicas.Chosen {
		s.unavailable[key] = result
	}
	return server, result
}

// withdrawn reports whether no server may load the required model, as the desired state does not
// have it.
func (s *State) withdrawn(r *replicas.Requirement) bool {
	service := s.Services[r.Service]
	return service != nil && service.Engine != nil && service.Engine.Model(r.Model) == nil
}

// Offer decides on a new request. If it returns false, the request is queued.
func (q *Queue) Offer(now time.Time, r Request, s State) (Decision, bool) {
	at, _ := slices.BinarySearchFunc(q.requests, r, compareUrgency)
	ahead := 0
	for _, other := range q.requests[:at] {
		if other.Requirement.Service == r.Requirement.Service && other.Requirement.Model == r.Requirement.Model {
			ahead++
		}
	}
	d, done := q.decide(now, &r, s, ahead)
	if !done {
		q.requests = slices.Insert(q.requests, at, r)
	}
	return d, done
}

// compareUrgency orders requests by priority, then by deadline, then by key.
func compareUrgency(a, b Request) int {
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	if c := a.Deadline.Compare(b.Deadline); c != 0 {
		return c
	}
	if a.Key < b.Key {
		return -1
	}
	return 1
}

// Cancel removes a request whose caller no longer waits.
func (q *Queue) Cancel(key uint64) {
	q.requests = slices.DeleteFunc(q.requests, func(r Request) bool { return r.Key == key })
}

// RefuseAll refuses all queued requests because the node is stopping.
func (q *Queue) RefuseAll(now time.Time) []Decision {
	var decisions []Decision
	for _, r := range q.requests {
		decisions = append(decisions, refuse(Decision{Key: r.Key}, Stopping, stoppingRetryAfter))
	}
	clear(q.requests)
	q.requests = q.requests[:0]
	return decisions
}

// queueKey groups requests that compete for the same servers.
type queueKey struct{ service, model string }

// Dispatch decides on all queued requests again and returns those that leave the
// queue.
func (q *Queue) Dispatch(now time.Time, s State) []Decision {
	var decisions []Decision
	ahead := map[queueKey]int{}
	remaining := q.requests[:0]
	s.unavailable = map[targetKey]replicas.Result{}
	for i := range q.requests {
		r := q.requests[i]
		key := queueKey{r.Requirement.Service, r.Requirement.Model}
		if d, done := q.decide(now, &r, s, ahead[key]); done {
			decisions = append(decisions, d)
			continue
		}
		ahead[key]++
		remaining = append(remaining, r)
	}
	clear(q.requests[len(remaining):])
	q.requests = remaining
	return decisions
}

// decide assigns or refuses a request, or returns false if it has to wait. ahead
// is the number of more urgent queued requests with the same queueKey.
func (q *Queue) decide(now time.Time, r *Request, s State, ahead int) (Decision, bool) {
	d := Decision{Key: r.Key}
	if !now.Before(r.Deadline) {
		return refuse(d, DeadlineExceeded, minFullRetryAfter), true
	}
	server, result := s.choose(now, &r.Requirement)
	if result == replicas.Chosen && ahead == 0 {
		s.Table.Begin(now, server.ID)
		q.countSent(now, r.Requirement.Service)
		d.Server = server
		return d, true
	}
	reserve := responseReserve
	if r.Deadline.Sub(r.Arrived) < shortTimeLimit {
		reserve /= 2
	}
	latest := r.Deadline.Add(-reserve)
	if !now.Before(latest) {
		return refuse(d, DeadlineExceeded, minFullRetryAfter), true
	}
	switch result {
	case replicas.AllLeaving:
		return refuse(d, NoServer, noServerRetryAfter), true
	case replicas.AllTried:
		return refuse(d, NoServer, minFullRetryAfter), true
	case replicas.Paused:
		return refuse(d, ServersShed, s.Table.PauseEnd(now, r.Requirement).Sub(now)), true
	case replicas.NoUsableServer:
		if r.Requirement.Software != nil {
			return Decision{Key: d.Key, Refused: NoServer}, true // servers of the version that began a stream do not come back in time
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
	default: // Full, or Chosen while more urgent requests wait
		if wait := q.expectedWait(now, r.Requirement.Service, ahead); now.Add(wait).After(latest) {
			return refuse(d, Overloaded, max(minFullRetryAfter, wait/2)), true
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

// expectedWait estimates how long a request waits for a slot, from the number of
// requests ahead and the service's recent send rate. The rate equals the capacity
// of the servers only once they have been full for rateWindow; until then
// expectedWait returns zero.
func (q *Queue) expectedWait(now time.Time, service string, ahead int) time.Duration {
	span := q.saturated[service]
	if span == nil || now.Sub(span.last) > maxSaturationGap {
		span = &saturation{from: now}
		q.saturated[service] = span
	}
	span.last = now
	if now.Sub(span.from) < rateWindow {
		return 0
	}
	perSecond := q.sendRate(now, service)
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) / perSecond * float64(time.Second))
}

// countSent adds a sent request to the service's send rate.
func (q *Queue) countSent(now time.Time, service string) {
	r := q.rates[service]
	if r == nil {
		r = &rate{at: now}
		q.rates[service] = r
	}
	r.decay(now)
	r.count++
}

// sendRate returns the service's recent send rate in requests per second.
func (q *Queue) sendRate(now time.Time, service string) float64 {
	r := q.rates[service]
	if r == nil {
		return 0
	}
	r.decay(now)
	return r.count / rateWindow.Seconds()
}

// decay reduces the count according to the time since the last decay.
func (r *rate) decay(now time.Time) {
	if age := now.Sub(r.at); age > 0 {
		r.count *= math.Exp(-float64(age) / float64(rateWindow))
	}
	r.at = now
}

// Demand returns the queued demand for models and adapters that no server has
// ready, the most urgent first.
func (q *Queue) Demand(now time.Time, t *replicas.Table) []ModelDemand {
	var demand []ModelDemand
	index := map[ModelDemand]int{}
	available := map[ModelDemand]bool{}
	for i := range q.requests {
		r := &q.requests[i]
		if r.Requirement.Model == "" {
			continue
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
			continue
		}
		if available[key] && len(r.Requirement.Excluded) == 0 {
			continue
		}
		if _, result := t.Choose(now, r.Requirement); result != replicas.NoModel {
			available[key] = true
			continue
		}
		index[key] = len(demand)
		d := key
		d.Count, d.Priority, d.Deadline = 1, r.Priority, r.Deadline
		demand = append(demand, d)
	}
	return demand
}
