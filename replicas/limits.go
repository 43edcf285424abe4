package replicas

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingnotch/redwingnotch/pace"
)

// Parameters of the use of concurrency limits, see docs/design/concurrency-limit.md.
const (
	limitGap        = 500 * time.Millisecond // least time between two requests of a node to a server of limit 1, per node of the fleet
	maxLimitGap     = 15 * time.Second       // upper limit of that time
	borrowDelay     = 300 * time.Millisecond // a node disregards the gap after the other nodes have used less than half the limit for so long
	borrowStep      = 50 * time.Millisecond  // what each node in the order of rank waits longer
	maxBorrowDelay  = 4 * time.Second        // upper limit of the whole
	rankInterval    = time.Second            // interval at which the rank is determined again
	droppedToldFor  = 5 * time.Second        // time for which other nodes are told that a limit was dropped
	yieldShare      = 0.5                    // part of its slots up to which a server with a limit is used if all other servers are full
	maxLimitChanges = 256                    // changes kept for TakeLimitChanges
	maxServicePaces = 64                     // services whose usual latency is remembered while they have no server
)

// limits is what the table knows for the concurrency limits of all servers.
type limits struct {
	key      uint64                  // hash of this node's name among those of SetPeerLoad
	services map[string]*servicePace // by service
	changes  []LimitChange
	rule     pace.Rule // rule of new limits; nil outside tests
}

// servicePace is what is known of how fast a service's servers answer.
type servicePace struct {
	usual  pace.Usual
	uneven bool // one of its servers has said that it is slow after its start, or has turned slow
}

// serverPace is the concurrency limit of a start of a server and what it depends on.
type serverPace struct {
	limiter     pace.Limiter
	answers     pace.Server
	seen        pace.State // as of the last LimitChange
	since       time.Time  // since when there is a limit
	doubted     bool       // good answers ended its limit: its reports of being slow do not count until it has reported otherwise
	listed      bool       // its models were listed before
	loaded      bool       // it holds a model that it did not hold before
	ejected     bool       // it was ejected when last looked at
	sentAt      time.Time  // when this node last sent it a request
	underused   time.Time  // since when the other nodes are known to use less than half the limit; zero if they use more
	rank        int        // position of this node among all in the order in which they use the limit
	unreachable time.Time  // since when this node can not connect to it; what other nodes report does not count
	rankedAt    time.Time
	toldUntil   time.Time // until when other nodes are told that there is no limit
}

// LimitChange is a change of a server's concurrency limit.
type LimitChange struct {
	Server        string
	Start         int64
	Service       string
	Limit, Before float64 // zero if there is none
	Cause         pace.Cause
	Own           bool          // decided by what this node has seen
	Age           time.Duration // age of the evidence
	Load          int           // requests that the server is known to have
}

// ShareLimits sets the name under which the other nodes pass this node's counts to SetPeerLoad. The
// nodes use it to use limits in turn.
func (t *Table) ShareLimits(node string) { t.limits.key = xxhash.Sum64String(node) }

// paceOf returns what is known of a service's answers.
func (t *Table) paceOf(name string) *servicePace {
	svc := t.limits.services[name]
	if svc != nil {
		return svc
	}
	if t.limits.services == nil {
		t.limits.services = map[string]*servicePace{}
	}
	if len(t.limits.services) >= maxServicePaces {
		for other := range t.limits.services {
			if t.services[other] == nil {
				delete(t.limits.services, other)
			}
		}
	}
	svc = &servicePace{}
	t.limits.services[name] = svc
	return svc
}

// limitStart sets the limit of a start of a server that says that it is slow, or whose service's
// servers say so or have been. known says that an earlier start of it was in the table: an entry
// that is only new to this node may be of a server that has been up for long.
func (t *Table) limitStart(now time.Time, s *Server, known bool) {
	s.pace.listed = true
	s.pace.limiter.Rule = t.limits.rule
	svc := t.paceOf(s.Service)
	svc.uneven = svc.uneven || s.ColdRemaining > 0
	if s.ColdRemaining > 0 || known && svc.uneven {
		s.pace.limiter.Started(now, s.Slots, s.ColdRemaining)
		t.limitChanged(now, s)
	}
}

// modelsListed records whether the server holds a model that it did not hold before.
func (p *serverPace) modelsListed(before, models []string) {
	added := func(m string) bool { return !slices.Contains(before, m) }
	p.loaded = p.loaded || p.listed && slices.ContainsFunc(models, added)
}

// observeLimit adds the outcome of a request to the evidence about the server's limit.
func (t *Table) observeLimit(now time.Time, s *Server, o Observation, latency time.Duration) {
	svc := t.paceOf(s.Service)
	p := &s.pace
	switch {
	case o == Failed:
		p.limiter.Observe(now, pace.Outcome{Cause: pace.Failed, Latency: svc.usual.Latency(), Ratio: 1})
	case o == Unreachable && p.unreachable.IsZero():
		p.unreachable = now
	case o == Answered && !p.unreachable.IsZero():
		if svc.uneven && now.Sub(p.unreachable) >= disconnectedAfter {
			p.limiter.Recovered(now, s.Slots, s.load(now))
		}
		p.unreachable = time.Time{}
	}
	if o == Answered && latency > 0 {
		t.answered(now, s, svc, latency)
	}
	t.limitChanged(now, s)
}

// answered adds an answer to the evidence about the server's limit.
func (t *Table) answered(now time.Time, s *Server, svc *servicePace, latency time.Duration) {
	p := &s.pace
	if _, limited := p.limiter.Limit(now); limited {
		p.limiter.Observe(now, p.answers.Outcome(&svc.usual, latency))
	} else {
		reported := 1.0
		if now.Sub(s.reportedLoadAt) < reportedLoadMaxAge {
			reported = s.reported.Pace
		}
		if p.doubted = p.doubted && pace.ReportsSlow(reported); p.doubted {
			reported = 1
		}
		if p.answers.TurnedSlow(now, &svc.usual, latency, reported) {
			svc.uneven = true
			p.limiter.Slowed(now, s.Slots, s.load(now))
		}
		svc.usual.Add(latency)
	}
	p.answers.Learn(&svc.usual, latency)
}

// Rejected records that the server rejected a request because it was full.
func (t *Table) Rejected(now time.Time, id string) {
	if s := t.rows[id]; s != nil {
		s.pace.limiter.Observe(now, pace.Outcome{Cause: pace.Rejected, Ratio: 1})
		t.limitChanged(now, s)
	}
}

// heldServers are the servers of a selection that only their limits hold back.
type heldServers struct {
	best   *Server // the one of lowest cost
	cost   float64
	yields *Server // the one of lowest cost whose limit yields if all other servers are full
	yCost  float64
	others bool // some server that is not ejected has no limit, though it may be full
}

// limitedCost returns the cost of the server, infinite if its limit holds the request back.
func (h *heldServers) limitedCost(now time.Time, t *Table, s *Server, cost float64) float64 {
	if s.pace.ejected != s.ejected || s.pace.loaded {
		t.limitEvents(now, s)
	}
	if !s.pace.limiter.Limited() {
		h.others = h.others || !s.ejected
		return cost
	}
	limit, limited := s.pace.limiter.Limit(now)
	if !limited {
		h.others = h.others || !s.ejected
		return cost
	}
	if math.IsInf(cost, 1) || !t.holdsBack(now, s, limit) {
		return cost
	}
	s.pace.limiter.Held(now)
	if h.best == nil || cost < h.cost {
		h.best, h.cost = s, cost
	}
	if float64(s.load(now)) < yieldShare*float64(s.Slots) && (h.yields == nil || cost < h.yCost) {
		h.yields, h.yCost = s, cost
	}
	return math.Inf(1)
}

// choose returns the result of a selection that has found no server with a free place. Limits
// direct requests to servers that answer as usual. Where there is none for the request they hold
// nothing back, and where all are full they yield up to yieldShare: callers are not rejected for
// the sake of an idle server.
func (h *heldServers) choose() (Entry, Result) {
	switch {
	case h.best != nil && !h.others:
		return h.best.Entry, Chosen
	case h.yields != nil:
		return h.yields.Entry, Chosen
	}
	return Entry{}, Full
}

// limitEvents sets the limit of a server that may no longer be ejected or has loaded a model.
func (t *Table) limitEvents(now time.Time, s *Server) {
	p := &s.pace
	if uneven := t.paceOf(s.Service).uneven; uneven && p.ejected && !s.ejected {
		p.limiter.Recovered(now, s.Slots, s.load(now))
	} else if uneven && p.loaded {
		p.limiter.Loaded(now, s.Slots, s.load(now))
	}
	p.ejected, p.loaded = s.ejected, false
	t.limitChanged(now, s)
}

// holdsBack reports whether this node may not send the server a request under its limit. The
// counts of other nodes are as old as their messages, in which time each of them could take the
// same free place. A node therefore sends such a server one request in a time that grows with the
// number of nodes, unless the other nodes are known to use little of the limit.
func (t *Table) holdsBack(now time.Time, s *Server, limit int) bool {
	p := &s.pace
	load := s.load(now)
	if load >= limit {
		return true
	}
	nodes := len(t.peerLoads) + 1
	if nodes == 1 {
		return false
	}
	gap := min(maxLimitGap, limitGap*time.Duration(nodes)/time.Duration(limit))
	rank := t.limitRank(now, s)
	switch {
	case 2*(load-s.inFlight) >= limit:
		p.underused = time.Time{}
	case p.underused.IsZero():
		p.underused = now
	case now.Sub(p.underused) >= min(maxBorrowDelay, borrowDelay+time.Duration(rank)*borrowStep):
		return false
	}
	return now.Sub(p.sentAt) < gap || now.Sub(p.since) < gap*time.Duration(rank)/time.Duration(nodes)
}

// limitRank returns the number of other nodes that use the server's limit before this one.
func (t *Table) limitRank(now time.Time, s *Server) int {
	p := &s.pace
	if !p.rankedAt.IsZero() && now.Sub(p.rankedAt) < rankInterval {
		return p.rank
	}
	p.rank, p.rankedAt = 0, now
	own := mix(t.limits.key ^ s.hash)
	for node := range t.peerLoads {
		if mix(xxhash.Sum64String(node)^s.hash) < own {
			p.rank++
		}
	}
	return p.rank
}

// limitChanged records a change of the server's limit.
func (t *Table) limitChanged(now time.Time, s *Server) {
	p := &s.pace
	state, own := p.limiter.State()
	if state.Limit == p.seen.Limit && state.Cause == p.seen.Cause {
		return
	}
	if p.seen.Limit == 0 {
		p.since = now
	}
	p.doubted = p.doubted || state.Limit == 0 && state.Cause == pace.GoodAnswer
	if state.Limit == 0 && own {
		p.toldUntil = now.Add(droppedToldFor)
	}
	if len(t.limits.changes) < maxLimitChanges {
		t.limits.changes = append(t.limits.changes, LimitChange{Server: s.ID, Start: s.Start, Service: s.Service, Limit: state.Limit, Before: p.seen.Limit,
			Cause: state.Cause, Own: own, Age: now.Sub(state.At), Load: s.load(now)})
	}
	p.seen = state
}

// TakeLimitChanges returns the changes of limits since the last call.
func (t *Table) TakeLimitChanges() []LimitChange {
	changes := t.limits.changes
	t.limits.changes = nil
	return changes
}

// ServerLimit is the concurrency limit of one start of a server.
type ServerLimit struct {
	ID    string
	Start int64
	pace.State
}

// Limits returns the limits of all servers that have one, ordered by server ID.
func (t *Table) Limits(now time.Time) []ServerLimit { return t.limitsOf(now, false) }

// OwnLimits returns the limits that are from what this node has seen, and the servers whose limits
// were dropped lately by that. They are ordered by the age of the evidence, the newest first.
func (t *Table) OwnLimits(now time.Time) []ServerLimit {
	own := t.limitsOf(now, true)
	slices.SortStableFunc(own, func(a, b ServerLimit) int { return b.At.Compare(a.At) })
	return own
}

// limitsOf returns the limits of all servers, or those to tell other nodes.
func (t *Table) limitsOf(now time.Time, toTell bool) []ServerLimit {
	var list []ServerLimit
	for id, s := range t.rows {
		p := &s.pace
		if _, limited := p.limiter.Limit(now); !limited {
			t.limitChanged(now, s)
		}
		state, own := p.limiter.State()
		if state.Limit == 0 && (!toTell || !now.Before(p.toldUntil)) || toTell && !own {
			continue
		}
		list = append(list, ServerLimit{ID: id, Start: s.Start, State: state})
	}
	slices.SortFunc(list, func(a, b ServerLimit) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// AdoptLimit takes over the limit that another node has sent, if its evidence is newer. A limit of
// another start of the server is ignored.
func (t *Table) AdoptLimit(now time.Time, l ServerLimit) {
	s := t.rows[l.ID]
	if s == nil || s.Start != l.Start || !s.pace.limiter.Adopt(now, s.Slots, l.State) {
		return
	}
	svc := t.paceOf(s.Service)
	svc.uneven = true
	t.limitChanged(now, s)
}
