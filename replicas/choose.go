package replicas

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of the server selection. Costs and the bonus are shares of a server's
// slots: the cost of a server without them is the share of its slots in use.
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
}

// Result is the result of a server selection.
type Result uint8

// Results of a server selection.
const (
	Chosen   Result = iota // a server was chosen
	NoModel                // no server has the model or adapter ready
	Full                   // all servers that have the model or adapter are full
	NoServer               // the service has no server that may be used
)

// String returns the result's name.
func (v Result) String() string { return [...]string{"chosen", "no_model", "full", "no_server"}[v] }

// Choose returns the server with the lowest cost for a request. Full and draining
// servers are not chosen. The least loaded server is preferred, with adjustments
// for the availability zone and prompt affinity; an ejected server is chosen only
// if there is no other.
func (t *Table) Choose(now time.Time, ask Requirement) (Entry, Result) {
	var usable, ready []*Server
	for _, r := range t.rows {
		if r.Service != ask.Service || r.Draining {
			continue
		}
		usable = append(usable, r)
		if r.holds(now, ask.Model, ask.Adapter) && !slices.Contains(ask.Excluded, r.ID) {
			ready = append(ready, r)
		}
	}
	if len(usable) == 0 {
		return Entry{}, NoServer
	}
	if len(ready) == 0 {
		return Entry{}, NoModel
	}
	slices.SortFunc(ready, func(a, b *Server) int { return strings.Compare(a.ID, b.ID) })
	ejected := ejectedServers(now, usable)
	preferred := affinityServer(ask, ready)
	var best *Server
	bestCost := 0.0
	for _, r := range ready {
		share := float64(t.load(now, r)) / float64(r.Slots)
		if share >= fullLoadShare {
			continue
		}
		cost := share
		if r.Zone != ask.Zone {
			cost += crossZoneCost
		}
		if ejected[r.ID] {
			cost += ejectedCost
		}
		if r == preferred {
			cost -= affinityBonus
		}
		if best == nil || cost < bestCost {
			best, bestCost = r, cost
		}
	}
	if best == nil {
		return Entry{}, Full
	}
	return best.Entry, Chosen
}

// affinityServer returns the server that rendezvous hashing assigns to a long
// shared prompt, the same on all nodes, or nil if the prompt is too short.
func affinityServer(ask Requirement, ready []*Server) *Server {
	if ask.SharedTokens < minAffinityTokens || ask.PrefixKey == "" {
		return nil
	}
	var best *Server
	var bestHash uint64
	for _, r := range ready {
		if h := xxhash.Sum64String(ask.PrefixKey + "\x00" + r.ID); best == nil || h > bestHash {
			best, bestHash = r, h
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
	for _, r := range rows {
		if p := r.penalty(now, mean); p > ejectThreshold {
			outliers = append(outliers, outlier{r, p})
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
