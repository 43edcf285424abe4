package replicas

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of the server selection. A server's cost is the share of its slots in
// use, plus the costs and minus the bonus below. The server with the lowest cost is
// chosen.
const (
	crossZoneCost     = 0.12 // cost of a server in another availability zone
	affinityBonus     = 0.5  // subtracted for the server that has probably cached a long shared prompt
	minAffinityTokens = 512  // minimum length of a shared prompt for affinityBonus, in tokens
	ejectedCost       = 10.0 // cost of an ejected server; any other server that is not full costs less
	fullLoadShare     = 1.0  // a server is full if this share of its slots is in use
)

// Requirement describes what a request needs from a server.
type Requirement struct {
	Service      string
	Model        string   // empty for plain services
	Adapter      string   // empty if the request uses no adapter
	Zone         string   // availability zone of this node
	SharedTokens int      // prompt tokens that other requests share
	PrefixKey    string   // identifies the shared parts of the prompt; requests with equal keys prefer the same server
	Excluded     []string // IDs of servers that must not be chosen
	Software     *string  // version of the software that began the response, which alone may go on with it; nil if none has
}

// Result is the outcome of a server selection.
type Result uint8

// Results of a server selection.
const (
	Chosen         Result = iota // a server was chosen
	NoModel                      // no server has the model or adapter ready
	Full                         // all servers that have the model or adapter are full
	NoUsableServer               // the service has no server that may be used
)

// String returns the result's name.
func (r Result) String() string { return [...]string{"chosen", "no_model", "full", "no_server"}[r] }

// Choose returns the server with the lowest cost for a request. Full and draining
// servers are not chosen. The least loaded server is preferred, with adjustments
// for the availability zone and prompt affinity; an ejected server is chosen only
// if there is no other.
func (t *Table) Choose(now time.Time, req Requirement) (Entry, Result) {
	var usable, ready []*Server
	for _, s := range t.rows {
		if s.Service != req.Service || s.Draining || !req.continuableBy(s) {
			continue
		}
		usable = append(usable, s)
		if s.holds(now, req.Model, req.Adapter) && !slices.Contains(req.Excluded, s.ID) {
			ready = append(ready, s)
		}
	}
	if len(usable) == 0 {
		return Entry{}, NoUsableServer
	}
	if len(ready) == 0 {
		return Entry{}, NoModel
	}
	slices.SortFunc(ready, func(a, b *Server) int { return strings.Compare(a.ID, b.ID) })
	ejected := ejectedServers(now, usable)
	preferred := affinityServer(req, ready)
	var best *Server
	bestCost := 0.0
	for _, s := range ready {
		share := float64(t.load(now, s)) / float64(s.Slots)
		if share >= fullLoadShare {
			continue
		}
		cost := share
		if s.Zone != req.Zone {
			cost += crossZoneCost
		}
		if ejected[s.ID] {
			cost += ejectedCost
		}
		if s == preferred {
			cost -= affinityBonus
		}
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	if best == nil {
		return Entry{}, Full
	}
	return best.Entry, Chosen
}

// continuableBy reports whether the server's software may go on with the response. A
// server that names no version fits no other one.
func (r *Requirement) continuableBy(s *Server) bool {
	return r.Software == nil || s.Software != "" && s.Software == *r.Software
}

// affinityServer returns the server that rendezvous hashing assigns to a long
// shared prompt, the same on all nodes, or nil if the prompt is too short.
func affinityServer(req Requirement, ready []*Server) *Server {
	if req.SharedTokens < minAffinityTokens || req.PrefixKey == "" {
		return nil
	}
	var best *Server
	var bestHash uint64
	for _, s := range ready {
		if h := xxhash.Sum64String(req.PrefixKey + "\x00" + s.ID); best == nil || h > bestHash {
			best, bestHash = s, h
		}
	}
	return best
}

// ejectedServers returns the IDs of the servers whose penalty exceeds
// ejectThreshold. At most maxEjectedShare of the service's servers, but at least
// one, can be ejected; those with the highest penalties are.
func ejectedServers(now time.Time, rows []*Server) map[string]bool {
	mean := means(now, rows)
	type outlier struct {
		row     *Server
		penalty float64
	}
	var outliers []outlier
	for _, s := range rows {
		if p := s.penalty(now, mean); p > ejectThreshold {
			outliers = append(outliers, outlier{s, p})
		}
	}
	if len(outliers) == 0 {
		return nil
	}
	slices.SortFunc(outliers, func(a, b outlier) int {
		if a.penalty != b.penalty {
			if a.penalty > b.penalty {
				return -1
			}
			return 1
		}
		return strings.Compare(a.row.ID, b.row.ID)
	})
	limit := max(1, int(float64(len(rows))*maxEjectedShare))
	ejected := map[string]bool{}
	for _, o := range outliers[:min(limit, len(outliers))] {
		ejected[o.row.ID] = true
	}
	return ejected
}
