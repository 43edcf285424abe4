package replicas

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// TokenUnit is the unit in which nodes tell each other the tokens of their requests in flight.
const TokenUnit = 256

// cacheReserve is the part of a KV cache that is left free for what other nodes have sent since
// their last messages.
const cacheReserve = 0.2

// largeSpread is the factor by which nodes differ more in the servers that they prefer for
// large requests, which are those above a slot's part of the KV cache. Nodes that know the same loads would else
// send many of them to the same server between two messages.
const largeSpread = 4

// Parts of a KV cache in use.
const (
	tellFrom   = 0.3 // from which on nodes tell each other at once of large requests that they send there
	nearlyFull = 0.6 // from which on nodes with waiting requests take turns
)

// cacheTurn is the time in which nodes learn what others have sent to a nearly full server.
const cacheTurn = 50 * time.Millisecond

// turnShare is the part of the free room that the nodes are to use in one turn, on average.
const turnShare = 0.5

// sizeMemory is the number of latest requests over which the mean size of a service's requests
// is taken.
const sizeMemory = 64

// Size is what a request occupies of a server's KV cache at most.
type Size struct {
	Tokens       int    // prompt and maximum output; zero if unknown
	SharedTokens int    // part of the prompt that a server stores once for all requests with the same prefix
	PrefixKey    string // identifies that part
}

// Size returns the size of the request. A shared part that is too short for prompt affinity is
// not tracked.
func (r *Requirement) Size() Size {
	s := Size{Tokens: max(0, r.Tokens)}
	if s.Tokens > 0 && r.PrefixKey != "" && r.SharedTokens >= minAffinityTokens {
		s.SharedTokens, s.PrefixKey = min(r.SharedTokens, s.Tokens), r.PrefixKey
	}
	return s
}

// cacheUse is the known use of a server's KV cache, in tokens.
type cacheUse struct {
	own      int                // this node's requests, without shared parts
	peers    int                // other nodes' requests, without shared parts
	unsized  int                // number of other nodes' requests of unknown size
	prefixes map[string]*prefix // shared parts in use, by PrefixKey
	shared   int                // sum of their tokens
}

// prefix is a shared part of prompts at one server.
type prefix struct {
	tokens int
	own    int // this node's requests that use it
	peers  int // other nodes that use it
}

// addPrefix records that more of this node's requests and of the other nodes, or fewer if
// negative, use the shared part.
func (c *cacheUse) addPrefix(key string, tokens, own, peers int) {
	if c.prefixes == nil {
		c.prefixes = map[string]*prefix{}
	}
	p := c.prefixes[key]
	if p == nil {
		p = &prefix{}
		c.prefixes[key] = p
	}
	p.own, p.peers = max(0, p.own+own), max(0, p.peers+peers)
	if p.own == 0 && p.peers == 0 {
		c.shared -= p.tokens
		delete(c.prefixes, key)
		return
	}
	if more := tokens - p.tokens; more > 0 {
		p.tokens += more
		c.shared += more
	}
}

// need returns by how many tokens the request would increase the use.
func (c *cacheUse) need(s Size) int {
	if s.PrefixKey != "" && c.prefixes[s.PrefixKey] != nil {
		return s.Tokens - s.SharedTokens
	}
	return s.Tokens
}

// BeginSized counts a request of the size that this node sends to a server. EndSized counts its
// end.
func (t *Table) BeginSized(now time.Time, id string, s Size) {
	t.Begin(now, id)
	row := t.rows[id]
	if row == nil || s.Tokens <= 0 {
		return
	}
	t.services[row.Service].sizes.observe(float64(row.cache.need(s)))
	row.cache.own += s.Tokens - s.SharedTokens
	if s.PrefixKey != "" {
		row.cache.addPrefix(s.PrefixKey, s.SharedTokens, 1, 0)
	}
}

// EndSized counts the end of a request that BeginSized counted.
func (t *Table) EndSized(id string, s Size) {
	t.End(id)
	row := t.rows[id]
	if row == nil || s.Tokens <= 0 {
		return
	}
	row.cache.own = max(0, row.cache.own-(s.Tokens-s.SharedTokens))
	if s.PrefixKey != "" && row.cache.prefixes[s.PrefixKey] != nil {
		row.cache.addPrefix(s.PrefixKey, 0, -1, 0)
	}
}

// meanSize is the mean size of the latest requests.
type meanSize struct{ mean, count float64 }

// observe adds a request.
func (m *meanSize) observe(tokens float64) {
	m.count = min(m.count+1, sizeMemory)
	m.mean += (tokens - m.mean) / m.count
}

// PeerTokens are the tokens that another node has in flight, in units of TokenUnit.
type PeerTokens struct {
	Tokens  map[string]int            // by server ID, without shared parts
	Shared  map[string]map[string]int // shared parts, by server ID and PrefixKey
	Waiting map[string]int            // number of requests that wait for room in a KV cache, by service
}

// known reports whether the node tells the sizes of its requests.
func (p *PeerTokens) known() bool { return len(p.Tokens) > 0 || len(p.Shared) > 0 }

// SetPeerTokens stores the tokens of the requests that the last SetPeerLoad counted. Without it,
// each of them is taken to have the mean size.
func (t *Table) SetPeerTokens(node string, tokens PeerTokens) {
	p, counted := t.peerLoads[node]
	if !counted {
		return
	}
	t.addPeerTokens(p, -1)
	p.tokens = tokens
	t.peerLoads[node] = p
	t.addPeerTokens(p, 1)
}

// addPeerTokens adds what another node has in flight, times sign, to the use of the servers.
func (t *Table) addPeerTokens(p peerLoad, sign int) {
	for service := range p.tokens.Waiting {
		t.cacheWaiters[service] += sign
	}
	if !p.tokens.known() {
		for id := range p.inFlight {
			if row := t.rows[id]; row != nil {
				row.cache.unsized += sign * p.inFlight[id]
			}
		}
		return
	}
	for id := range p.tokens.Tokens {
		if row := t.rows[id]; row != nil {
			row.cache.peers += sign * p.tokens.Tokens[id] * TokenUnit
		}
	}
	for id := range p.tokens.Shared {
		if row := t.rows[id]; row != nil {
			row.addPeerPrefixes(p, sign)
		}
	}
}

// addPeerPrefixes adds the shared parts that another node uses at the server.
func (s *Server) addPeerPrefixes(p peerLoad, sign int) {
	for key, units := range p.tokens.Shared[s.ID] {
		s.cache.addPrefix(key, units*TokenUnit, 0, sign)
	}
}

// addPeersCacheUse adds what the other nodes have in flight to a new row.
func (t *Table) addPeersCacheUse(s *Server) {
	for _, p := range t.peerLoads {
		if !p.tokens.known() {
			s.cache.unsized += p.inFlight[s.ID]
			continue
		}
		s.cache.peers += p.tokens.Tokens[s.ID] * TokenUnit
		s.addPeerPrefixes(p, 1)
	}
}

// TokensInFlight returns the tokens that this node has in flight, and the numbers of its waiting
// requests, for the other nodes' SetPeerTokens.
func (t *Table) TokensInFlight(waiting map[string]int) PeerTokens {
	p := PeerTokens{Waiting: waiting}
	for id, row := range t.rows {
		if row.cache.own > 0 {
			if p.Tokens == nil {
				p.Tokens = map[string]int{}
			}
			p.Tokens[id] = units(row.cache.own)
		}
		for key, shared := range row.cache.prefixes {
			if shared.own == 0 {
				continue
			}
			if p.Shared == nil {
				p.Shared = map[string]map[string]int{}
			}
			if p.Shared[id] == nil {
				p.Shared[id] = map[string]int{}
			}
			p.Shared[id][key] = units(shared.tokens)
		}
	}
	return p
}

// units returns the tokens in units of TokenUnit, at least one. They are rounded to the nearest,
// as the errors of many nodes would add up otherwise.
func units(tokens int) int { return max(1, (tokens+TokenUnit/2)/TokenUnit) }

// cacheTokens returns the tokens that the server's requests are known to occupy. Requests of
// unknown size count the mean size of the service's requests, or usual if none is known.
func (t *Table) cacheTokens(now time.Time, s *Server, usual float64) float64 {
	mean := t.services[s.Service].sizes.mean
	if mean == 0 {
		mean = usual
	}
	unsized := s.cache.unsized
	if now.Sub(s.reportedLoadAt) < reportedLoadMaxAge {
		unsized += max(0, s.reported.Requests-s.inFlight-s.peerInFlight)
	}
	return float64(s.cache.own+s.cache.peers+s.cache.shared) + float64(unsized)*mean
}

// addCacheCost returns the cost of a server that has a free slot, increased if more of its KV
// cache is in use than of its slots, and infinite if the request does not fit into the rest. A
// server without requests always has room: what is known of others may be wrong.
func (t *Table) addCacheCost(now time.Time, req *Requirement, s *Server, cost float64) float64 {
	if req.CacheTokens <= 0 || req.Tokens <= 0 || math.IsInf(cost, 1) {
		return cost
	}
	load := s.load(now)
	if load == 0 {
		return cost
	}
	capacity := float64(req.CacheTokens)
	perSlot := capacity / float64(s.Slots)
	used, need := t.cacheTokens(now, s, perSlot), float64(s.cache.need(req.Size()))
	usable := capacity
	if len(t.peerLoads) > 0 {
		usable *= 1 - cacheReserve
	}
	if used+need > usable || used > nearlyFull*capacity && !t.takesTurn(now, s, (usable-used)/need) {
		return math.Inf(1)
	}
	if need > perSlot {
		cost += (largeSpread - 1) * s.preferenceCost
	}
	return cost + max(0, used/capacity-float64(load)/float64(s.Slots))
}

// takesTurn reports whether this node may use the room that a nearly full KV cache has, for so many
// requests. All nodes with waiting requests see the same room. In each turn, each of them uses
// it with the probability at which the room is enough for those that do.
func (t *Table) takesTurn(now time.Time, s *Server, room float64) bool {
	others := t.cacheWaiters[s.Service]
	if others == 0 {
		return true
	}
	draw := mix(xxhash.Sum64String(t.node) ^ mix(s.hash^uint64(now.UnixNano()/int64(cacheTurn))))
	return float64(draw>>11)/(1<<53) < turnShare*room/float64(others+1)
}

// TellAtOnce reports whether other nodes have to know at once of a request that was sent to the
// server, as it is large and much of the KV cache is in use.
func (t *Table) TellAtOnce(now time.Time, id string, req Requirement) bool {
	row := t.rows[id]
	if row == nil || req.CacheTokens <= 0 || req.Tokens <= 0 || len(t.peerLoads) == 0 {
		return false
	}
	capacity := float64(req.CacheTokens)
	perSlot := capacity / float64(row.Slots)
	return float64(req.Tokens) > perSlot && t.cacheTokens(now, row, perSlot) > tellFrom*capacity
}

// Occupancy is the use of the servers that may take a request.
type Occupancy struct {
	Own   int // requests of this node
	Total int // requests of all nodes, as far as known
}

// OccupancyOf returns the use of the servers that have what is required.
func (t *Table) OccupancyOf(now time.Time, req Requirement) Occupancy {
	var o Occupancy
	svc := t.services[req.Service]
	if svc == nil {
		return o
	}
	for _, s := range svc.holders(req.Model) {
		if !s.Draining && t.holds(now, s, req.Model, req.Adapter) {
			o.Own += s.inFlight
			o.Total += s.load(now)
		}
	}
	return o
}

// PeerLoadAge returns the age of the oldest message of another node whose counts are used; zero
// if there is none.
func (t *Table) PeerLoadAge(now time.Time) time.Duration {
	age := time.Duration(0)
	for _, p := range t.peerLoads {
		age = max(age, now.Sub(p.at))
	}
	return age
}
