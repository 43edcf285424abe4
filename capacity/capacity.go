// Package capacity learns from responses how many requests the backend servers of a service
// can run at once within their objective. It does no I/O, takes the time as a parameter and
// is not safe for concurrent use.
package capacity

import (
	"math"
	"time"
)

// Parameters of the estimates.
const (
	paceShare     = 0.5                    // part of the time that a request has for an event that an event may take at the learned slots; the rest is for requests that meet more load than was known
	gapShare      = 0.8                    // part of the objective for the time between events that an event may take there
	firstShare    = 0.8                    // part of the latency target that the first event may take there
	harmlessShare = 0.5                    // part of the time that an event may take up to which a server is not slow, whatever the others take
	limitQuantile = 0.25                   // quantile of the requests' time for an event that the estimate is made for: most requests have more
	maxSlots      = 1000.0                 // learned slots of a service whose responses show no bound
	refreshAfter  = 250 * time.Millisecond // interval of new estimates
	minEvents     = 4                      // events by which a part of a response shows its time for an event
	slowPart      = time.Second            // a part that took so long shows it by any number of events
	fullShare     = 0.9                    // share of the slots from which a server counts as able to run all of them
)

// Server is one start of a backend server.
type Server struct {
	ID    string
	Start int64
}

// Request is what a request allows its response.
type Request struct {
	Service      string
	OutputTokens int           // most tokens of the response; zero if unknown
	Limit        time.Duration // time until the whole response
	Target       time.Duration // objective for the first event
	MaxGap       time.Duration // objective for the time between events; zero if there is none
}

// Estimate is what is known of a service.
type Estimate struct {
	Slots float64 // requests that a usual server runs within the objective; maxSlots if no load was seen that is too high
	Rate  float64 // requests per second that a server completes at these slots; zero if they are maxSlots
}

// service is what this node knows of one service.
type service struct {
	pace      curve   // milliseconds per event, by load
	first     curve   // time to the first event in parts of its target, by load
	limits    samples // milliseconds that an event may take, by the requests
	perToken  samples // events per token of the limit, of complete responses
	allowed   float64 // limitQuantile of limits; zero if there are none
	events    samples // events of complete responses
	firstTook samples // milliseconds to the first event
	own       Estimate
	known     bool // own is set
	combined  Estimate
	nodes     int // nodes on whose estimates combined rests; zero if there is none
}

// Estimator holds the estimates of all services.
type Estimator struct {
	services    map[string]*service
	servers     map[Server]*evidence
	factors     map[Server]float64 // as of the latest Refresh; missing ones are 1
	lasting     map[Server]float64 // means of the servers' evidence over lastingPeriod
	peers       map[string]*peer
	refreshedAt time.Time
}

// New returns an Estimator that knows nothing.
func New() *Estimator {
	return &Estimator{services: map[string]*service{}, servers: map[Server]*evidence{}, factors: map[Server]float64{}, lasting: map[Server]float64{}, peers: map[string]*peer{}}
}

// service returns the service's state, which is created if there is none.
func (e *Estimator) service(name string) *service {
	s := e.services[name]
	if s == nil {
		s = &service{}
		e.services[name] = s
	}
	return s
}

// ObserveFirst records the time from the sending of a request to the first event of its response,
// and the load of the server in that time.
func (e *Estimator) ObserveFirst(now time.Time, r Request, load int, took time.Duration) {
	s := e.service(r.Service)
	s.firstTook.add(now, milliseconds(took), keptSamples)
	if r.Target > 0 {
		s.first.add(now, load, float64(took)/float64(r.Target))
	}
}

// ObserveEvents records that the server took the time for events of a response, and its load in
// that time. Too few events show nothing: a server that fails may end its responses early.
func (e *Estimator) ObserveEvents(now time.Time, r Request, server Server, load, events int, took time.Duration) {
	if events < 1 || took <= 0 || events < minEvents && took < slowPart {
		return
	}
	s := e.service(r.Service)
	pace := milliseconds(took) / float64(events)
	if limit, known := s.limit(r); known {
		s.limits.add(now, limit, keptSamples)
	}
	if usual, known := s.pace.at(load); known {
		ratio := math.Log(pace / usual)
		if ratio > 0 {
			// A server that is slower than others, but in time, is as good as they are.
			ratio = max(0, min(ratio, math.Log(pace/(harmlessShare*s.allowed))))
		}
		e.observeServer(now, server, ratio)
	}
	s.pace.add(now, load, pace/e.Factor(server))
}

// ObserveComplete records how many events a complete response had.
func (e *Estimator) ObserveComplete(now time.Time, r Request, events int) {
	if events < minEvents {
		return
	}
	s := e.service(r.Service)
	s.events.add(now, float64(events), keptSamples)
	if r.OutputTokens > 0 {
		s.perToken.add(now, float64(events)/float64(r.OutputTokens), keptSamples)
	}
}

// limit returns how many milliseconds an event of the request may take; false if the number of events
// is not known.
func (s *service) limit(r Request) (float64, bool) {
	events, known := s.events.quantile(0.5)
	if ratio, ok := s.perToken.quantile(0.5); ok && r.OutputTokens > 0 {
		events, known = ratio*float64(r.OutputTokens), true
	}
	limit := paceShare * milliseconds(r.Limit-r.Target) / max(events, 1)
	if r.MaxGap > 0 {
		limit = min(limit, gapShare*milliseconds(r.MaxGap))
	}
	return limit, known && limit > 0
}

// Refresh makes new estimates if the latest are older than refreshAfter, and reports whether it
// did.
func (e *Estimator) Refresh(now time.Time) bool {
	if age := now.Sub(e.refreshedAt); age >= 0 && age < refreshAfter {
		return false
	}
	last := e.refreshedAt
	e.refreshedAt = now
	for _, s := range e.services {
		s.estimate(now)
	}
	e.combine(now)
	e.refreshFactors(now, max(0, now.Sub(last)))
	return true
}

// estimate makes the node's own estimate of the service.
func (s *service) estimate(now time.Time) {
	for _, kept := range []*samples{&s.limits, &s.perToken, &s.events, &s.firstTook} {
		kept.expire(now)
	}
	limit, _ := s.limits.quantile(limitQuantile)
	s.allowed = limit
	byPace, paceKnown := s.pace.boundary(now, limit)
	byFirst, firstKnown := s.first.boundary(now, firstShare)
	s.own, s.known = Estimate{}, paceKnown && limit > 0
	if !s.known {
		return
	}
	slots := byPace
	if firstKnown {
		slots = min(slots, byFirst)
	}
	s.own.Slots = min(max(1, slots), maxSlots)
	first, _ := s.firstTook.quantile(0.5)
	events, _ := s.events.quantile(0.5)
	if pace, _ := s.pace.at(int(s.own.Slots)); events > 0 && s.own.Slots < maxSlots {
		const msPerSecond = 1000
		s.own.Rate = s.own.Slots / (first + events*min(pace, limit)) * msPerSecond
	}
}

// empty reports whether all observations of the service are too old.
func (s *service) empty() bool {
	return s.pace.count+s.first.count+len(s.firstTook.kept)+len(s.events.kept) == 0
}

// learned returns the slots of a server that has the given ones and takes factor times the usual
// time. A faster server has no more than its slots.
func (m Estimate) learned(slots int, factor float64) float64 {
	all := float64(slots)
	usual := m.Slots
	if usual >= maxSlots {
		usual = all
	}
	return min(all, max(1, usual/factor))
}

// Learned returns how many requests the server, which has the given slots, can run at once
// within the objective: between 1 and the slots, and the slots if too little is known.
func (e *Estimator) Learned(service string, server Server, slots int) float64 {
	s := e.services[service]
	if s == nil || s.nodes == 0 || slots <= 1 {
		return float64(slots)
	}
	return s.combined.learned(slots, e.Factor(server))
}

// Usual returns the learned slots of a usual server of the service, and the number of nodes on
// whose estimates that rests; zero if there is none.
func (e *Estimator) Usual(service string, slots int) (learned float64, nodes int) {
	s := e.services[service]
	if s == nil || s.nodes == 0 {
		return float64(slots), 0
	}
	return s.combined.learned(slots, 1), s.nodes
}

// Age returns the time since this node's latest observation of the service, zero if it has none
// and the estimate is that of other nodes.
func (e *Estimator) Age(now time.Time, service string) time.Duration {
	if s := e.services[service]; s != nil && !s.pace.latest.IsZero() {
		return now.Sub(s.pace.latest)
	}
	return 0
}

// Rate returns how many requests per second a usual server of the service completes within the
// objective; zero if it runs all of its slots within it, or too little is known.
func (e *Estimator) Rate(service string, slots int) float64 {
	learned, nodes := e.Usual(service, slots)
	if nodes == 0 || learned >= fullShare*float64(slots) {
		return 0
	}
	return e.services[service].combined.Rate
}

// Services returns the names of the services with estimates.
func (e *Estimator) Services() []string {
	var names []string
	for name, s := range e.services {
		if s.nodes > 0 {
			names = append(names, name)
		}
	}
	return names
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
