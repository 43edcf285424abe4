package capacity

import (
	"math"
	"slices"
	"time"
)

// peerEstimateMaxAge is the time for which another node's estimate of a service is used; in fleets of
// 300 nodes, whole messages are 30 s apart. Its evidence about servers decays like this node's own.
const peerEstimateMaxAge = time.Minute

// ServerReport is a node's evidence about one server, see evidence.
type ServerReport struct {
	ID          string
	Start       int64
	Sum, Weight float64
}

// Report is what one node tells another.
type Report struct {
	Services map[string]Estimate // nil if it tells only of servers
	Servers  []ServerReport      // those that differ most
}

// peer is what another node has told.
type peer struct {
	at       time.Time // when the services were told
	services map[string]Estimate
	servers  map[Server]evidence
}

// Report returns what this node tells the others, with most servers at most.
func (e *Estimator) Report(now time.Time, most int) Report {
	r := Report{Services: map[string]Estimate{}, Servers: e.differing(now, most)}
	for name, s := range e.services {
		if s.known {
			r.Services[name] = s.own
		}
	}
	return r
}

// Merge takes in the report of another node. Its evidence replaces what the node has told of the
// same servers before.
func (e *Estimator) Merge(now time.Time, node string, r Report) {
	p := e.peers[node]
	if p == nil {
		p = &peer{servers: map[Server]evidence{}}
		e.peers[node] = p
	}
	if r.Services != nil {
		p.at, p.services = now, r.Services
	}
	for _, s := range r.Servers {
		if finite(s.Sum) && finite(s.Weight) && s.Weight > 0 {
			limit := s.Weight * math.Log(maxFactor)
			p.servers[Server{s.ID, s.Start}] = evidence{at: now, sum: min(limit, max(-limit, s.Sum)), weight: s.Weight}
		}
	}
}

// addPeerEvidence adds what other nodes have told of servers, and forgets what has decayed.
func (e *Estimator) addPeerEvidence(now time.Time, all map[Server]evidence) {
	for node, p := range e.peers {
		for id, v := range p.servers {
			if v.decay(now); v.weight < negligible {
				delete(p.servers, id)
				continue
			}
			p.servers[id] = v
			sum := all[id]
			sum.sum += v.sum
			sum.weight += v.weight
			all[id] = sum
		}
		if now.Sub(p.at) > peerEstimateMaxAge && len(p.servers) == 0 {
			delete(e.peers, node)
		}
	}
}

// combine sets each service's estimate to the medians of those of this node and of the others, so
// that a few that are wrong do not count and the nodes agree.
func (e *Estimator) combine(now time.Time) {
	for _, p := range e.peers {
		if now.Sub(p.at) > peerEstimateMaxAge {
			continue
		}
		for name := range p.services {
			e.service(name)
		}
	}
	for name, s := range e.services {
		var slots, rates []float64
		add := func(m Estimate) {
			if slots = append(slots, m.Slots); m.Rate > 0 {
				rates = append(rates, m.Rate)
			}
		}
		if s.known {
			add(s.own)
		}
		for _, p := range e.peers {
			if m, told := p.services[name]; told && now.Sub(p.at) <= peerEstimateMaxAge && m.valid() {
				add(m)
			}
		}
		if s.nodes = len(slots); s.nodes == 0 {
			s.combined = Estimate{}
			if s.empty() {
				delete(e.services, name)
			}
			continue
		}
		slices.Sort(slots)
		slices.Sort(rates)
		s.combined = Estimate{Slots: quantileOf(slots, 0.5)}
		if len(rates) > 0 && s.combined.Slots < maxSlots {
			s.combined.Rate = quantileOf(rates, 0.5)
		}
	}
}

// valid reports whether an estimate of another node can be used.
func (m Estimate) valid() bool {
	return m.Slots >= 1 && m.Slots <= maxSlots && m.Rate >= 0 && finite(m.Rate)
}

func finite(v float64) bool { return !math.IsNaN(v) && !math.IsInf(v, 0) }
