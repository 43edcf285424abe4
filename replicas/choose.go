package replicas

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of the server selection. A server's cost is the share of its slots in
// use, of the learned ones if they are fewer, plus the costs and minus the bonus below.
// The server with the lowest cost is chosen.
const (
	crossZoneCost     = 0.12 // cost of a server in another availability zone
	affinityBonus     = 0.5  // subtracted for the server that has probably cached a long shared prompt
	minAffinityTokens = 512  // minimum length of a shared prompt for affinityBonus, in tokens
	ejectedCost       = 1e6  // cost of an ejected server; any other server that is not full costs less, also at many times its learned slots
	fullLoadShare     = 1.0  // a server is full if this share of its slots is in use
	connectCost       = 0.08 // cost of a server to which this node has to open a connection
	maxPreferenceCost = 0.05 // highest cost of a server that this node does not prefer, see Table.SpreadBy
	paceCost          = 0.1  // cost of a server on whose machine work takes twice the usual time
	maxPace           = 4.0  // limit of the reported pace, which is not to be believed beyond
)

// Requirement describes what a request needs from a server.
type Requirement struct {
	Service      string
	Model        string      // empty for plain services
	Adapter      string      // empty if the request uses no adapter
	Zone         string      // availability zone of this node
	Tokens       int         // prompt and maximum output; zero if unknown
	CacheTokens  int         // size of a server's KV cache; zero if unknown
	SharedTokens int         // prompt tokens that other requests share
	PrefixKey    string      // identifies the shared parts of the prompt; requests with equal keys prefer the same server
	Excluded     []Exclusion // servers that must not be chosen
	Software     *string     // version of the software that began the response, which alone may go on with it; nil if none has
}

// Exclusion is a start of a server that a request must not be sent to.
type Exclusion struct {
	ID    string
	Start int64
	Until time.Time // end of the exclusion; zero if it does not end
}

// exclusionOf returns the request's exclusion of the server, nil if there is none at the time.
func (r *Requirement) exclusionOf(now time.Time, s *Server) *Exclusion {
	for i := range r.Excluded {
		e := &r.Excluded[i]
		if e.ID == s.ID && e.Start == s.Start && (e.Until.IsZero() || now.Before(e.Until)) {
			return e
		}
	}
	return nil
}

// Result is the outcome of a server selection.
type Result uint8

// Results of a server selection.
const (
	Chosen         Result = iota // a server was chosen
	NoModel                      // no server has the model or adapter ready
	Full                         // all servers that have the model or adapter are full
	NoUsableServer               // the service has no server that may be used
	AllLeaving                   // all servers of the service leave
	Paused                       // all servers that have the model or adapter turn requests away for some time
	AllTried                     // all servers of a plain service are excluded for good
	CacheFull                    // all servers that have the model or adapter are full, and some of them only because the request does not fit into the rest of the KV cache
)

// String returns the result's name.
func (r Result) String() string {
	return [...]string{"chosen", "no_model", "full", "no_server", "all_leaving", "paused", "all_tried", "cache_full"}[r]
}

// candidates is what a selection has found among the servers of a service.
type candidates struct {
	ready         bool    // some server has the model ready and is not excluded
	tried         bool    // some server has the model ready, but is excluded for good
	triedLately   bool    // some server has the model ready, but is excluded for now
	shedding      bool    // such a server turns requests away now
	open          bool    // some of these does not turn requests away now
	cacheFull     bool    // such a server has a free slot, but no room in its KV cache
	best          *Server // the one of lowest cost that is not full
	bestCost      float64
	preferred     *Server // the one that prompt affinity prefers
	preferredHash uint64
	preferredCost float64 // its cost without affinityBonus; infinite if it can't take a request now
	held          heldServers
}

// Choose returns the server with the lowest cost for a request. Full servers and those that
// leave or turn requests away are not chosen. The least loaded server is preferred, with
// adjustments for the availability zone, the node and prompt affinity; an ejected server is
// chosen only if there is no other.
func (t *Table) Choose(now time.Time, req Requirement) (Entry, Result) {
	service := t.services[req.Service]
	if service == nil {
		return Entry{}, NoUsableServer
	}
	t.dropOutdatedPeerLoads(now)
	service.refreshEjections(now)
	var c candidates
	affinity := req.affinityHash()
	for _, s := range service.holders(req.Model) {
		c.add(now, t, &req, s, affinity)
	}
	switch {
	case service.staying == 0:
		return Entry{}, AllLeaving
	case req.Software != nil && !service.mayGoOn(now, &req):
		return Entry{}, NoUsableServer
	case c.ready && !c.open, !c.ready && c.shedding:
		return Entry{}, Paused
	case !c.ready && c.triedLately && req.Model == "":
		return Entry{}, Full
	case !c.ready && c.tried && req.Model == "":
		return Entry{}, AllTried
	case !c.ready:
		return Entry{}, NoModel
	}
	if c.preferred != nil && (c.best == nil || c.preferredCost-affinityBonus < c.bestCost) && c.preferredCost < math.Inf(1) {
		return c.preferred.Entry, Chosen
	}
	if c.best != nil {
		return c.best.Entry, Chosen
	}
	server, result := c.held.choose()
	if result == Full && c.cacheFull {
		result = CacheFull
	}
	return server, result
}

// add considers a server for the request. affinity is the request's affinityHash.
func (c *candidates) add(now time.Time, t *Table, req *Requirement, s *Server, affinity uint64) {
	if s.Draining || !req.continuableBy(s) {
		return
	}
	if !t.holds(now, s, req.Model, req.Adapter) {
		return
	}
	if e := req.exclusionOf(now, s); e != nil {
		c.tried, c.triedLately = c.tried || e.Until.IsZero(), c.triedLately || !e.Until.IsZero()
		c.shedding = c.shedding || s.paused(now)
		return
	}
	c.ready = true
	if s.paused(now) {
		return
	}
	c.open = true
	slotCost := s.cost(now, req.Zone)
	cost := t.addCacheCost(now, req, s, slotCost)
	c.cacheFull = c.cacheFull || cost > slotCost && math.IsInf(cost, 1)
	cost = c.held.limitedCost(now, t, s, cost)
	if cost < math.Inf(1) && (c.best == nil || cost < c.bestCost) {
		c.best, c.bestCost = s, cost
	}
	if affinity != 0 {
		if h := mix(affinity ^ s.hash); c.preferred == nil || h > c.preferredHash {
			c.preferred, c.preferredHash, c.preferredCost = s, h, cost
		}
	}
}

// cost returns the cost of sending a request from the zone to the server, infinite if the
// server is full or gets no request before its next trial.
func (s *Server) cost(now time.Time, zone string) float64 {
	share := float64(s.load(now)) / float64(s.Slots)
	if share >= fullLoadShare || s.betweenTrials(now) {
		return math.Inf(1)
	}
	cost := share*s.overstated() + s.preferenceCost
	if s.Zone != zone {
		cost += crossZoneCost
	}
	if !s.connected() {
		cost += connectCost
	}
	if s.ejected {
		cost += ejectedCost
	}
	if now.Sub(s.reportedLoadAt) < reportedLoadMaxAge {
		cost += paceCost * (min(maxPace, s.reported.Pace) - 1)
	}
	return cost
}

// SpreadBy lets this node prefer some servers over equally loaded others, differently from
// each other node. Nodes that know the same loads then do not all choose the same server,
// and a node uses its connections to few servers more often.
func (t *Table) SpreadBy(node string) {
	t.node = node
	for _, row := range t.rows {
		row.preferenceCost = t.preferenceCostOf(row)
	}
}

// preferenceCostOf returns the server's part of maxPreferenceCost at this node.
func (t *Table) preferenceCostOf(s *Server) float64 {
	if t.node == "" {
		return 0
	}
	return maxPreferenceCost * float64(mix(xxhash.Sum64String(t.node)^s.hash)>>11) / (1 << 53)
}

// mix returns a hash of x. It is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// affinityHash returns a hash of a long shared prompt, or 0 if the prompt is too short. The
// server for which the hash of both is highest is preferred, the same one on all nodes.
func (r *Requirement) affinityHash() uint64 {
	if r.SharedTokens < minAffinityTokens || r.PrefixKey == "" {
		return 0
	}
	return max(1, xxhash.Sum64String(r.PrefixKey))
}
