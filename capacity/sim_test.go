package capacity_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/redwingnotch/redwingnotch/capacity"
	"github.com/redwingnotch/redwingnotch/replicas"
)

// The simulated servers run their requests in one batch: each step generates a token for all, and
// computes a chunk of the prompts that wait.
const (
	decodeMS     = 6.7
	decodeEachMS = 0.05
	prefillPerMS = 30.0
	prefillChunk = 4096
	simTick      = 5 * time.Millisecond
	messageEvery = 600 * time.Millisecond // messages between nodes, which take as long again
	usualPrompt  = 600
	longPrompt   = 9190
	longShare    = 0.1
	slotRate     = 0.6 // as in package loader
	outputTokens = 70
	simTarget    = 600 * time.Millisecond
	simLimit     = 6 * time.Second
)

var began = time.Unix(1e9, 0)

// pattern is a load on servers.
type pattern struct {
	nodes, slots int
	paces        []float64                                // by server; 1 is the usual time
	paceAt       func(i int, after time.Duration) float64 // overrides paces; may be nil
	perSecond    float64
	length       time.Duration
	loader       bool             // models are placed again after 10 s
	probe        func(n *simNode) // called at each tick of the first node; may be nil
	seed         uint64
}

// simRequest is a request at a server.
type simRequest struct {
	node                  *simNode
	prompt, events, part  int
	sent, partBegan, last time.Time
	counted               bool
	request               capacity.Request
}

// simServer is a backend server.
type simServer struct {
	entry    replicas.Entry
	pace     float64
	requests []*simRequest
	stepEnd  time.Time
	chunk    int
	loadSum  float64
	share    float64 // requests per second for its models
}

// simNode is an entry node.
type simNode struct {
	table   *replicas.Table
	learned *capacity.Estimator
	counts  map[string]int // in flight at the latest message, not received yet
	report  capacity.Report
}

// result is what a pattern gave.
type result struct {
	served  float64 // share of the requests that were complete within their limit
	busiest float64 // mean load of the busiest server relative to the mean
	learned float64 // mean learned slots of the servers at the end
	chosen  []string
}

func (r result) String() string {
	return fmt.Sprintf("served in time %.3f, busiest server %.2f of the mean, learned slots %.1f", r.served, r.busiest, r.learned)
}

// sim plays a pattern. Without use, what is learned is not used.
type sim struct {
	pattern
	use             bool
	draws           *rand.Rand
	nodes           []*simNode
	servers         []*simServer
	arrived, inTime int
	chosen          []string
	due             float64
	models          []int // each as often as it is asked for
}

func play(p pattern, use bool) result {
	s := &sim{pattern: p, use: use, draws: rand.New(rand.NewPCG(p.seed, 2))}
	for i, pace := range p.paces {
		s.servers = append(s.servers, &simServer{pace: pace, entry: replicas.Entry{ID: fmt.Sprint("s", i), Service: "llm", Zone: fmt.Sprint("z", i%3), Slots: p.slots, Start: 1}})
	}
	s.place(slotRate * float64(p.slots))
	for i := range p.nodes {
		n := &simNode{table: replicas.NewTable(), learned: capacity.New()}
		n.table.SpreadBy(fmt.Sprint("n", i))
		for _, server := range s.servers {
			n.table.SetEntry(began, server.entry)
		}
		s.nodes = append(s.nodes, n)
	}
	end := began.Add(p.length)
	for now := began; now.Before(end); now = now.Add(simTick) {
		s.tick(now)
		if p.probe != nil {
			p.probe(s.nodes[0])
		}
	}
	r := result{served: float64(s.inTime) / float64(s.arrived), chosen: s.chosen}
	sum, most := 0.0, 0.0
	for _, server := range s.servers {
		sum, most = sum+server.loadSum, max(most, server.loadSum)
		id := capacity.Server{ID: server.entry.ID, Start: 1}
		r.learned += s.nodes[0].learned.Learned("llm", id, p.slots) / float64(len(s.servers))
	}
	r.busiest = most / sum * float64(len(s.servers))
	return r
}

// place has the servers hold models, three each. As package loader does, it gives each model a copy,
// one more from 0.7 requests a second, and one for each copyRate requests a second.
func (s *sim) place(copyRate float64) {
	if s.models == nil {
		for i := range 2 * len(s.servers) {
			for range int(1000 / (float64(i) + 1)) {
				s.models = append(s.models, i)
			}
		}
	}
	shares := map[int]float64{}
	for _, m := range s.models {
		shares[m] += s.perSecond / float64(len(s.models))
	}
	for _, server := range s.servers {
		server.entry.Holds, server.share = nil, 0
		server.entry.Revision++
	}
	copies := func(m int) int { return 1 + int(shares[m]/copyRate) + min(1, int(shares[m]/0.7)) }
	for m := range len(shares) {
		s.hold(fmt.Sprint("m", m), shares[m]/float64(copies(m)))
	}
	for m := range len(shares) { // the most requested first
		for range copies(m) - 1 {
			s.hold(fmt.Sprint("m", m), shares[m]/float64(copies(m)))
		}
	}
}

// hold has the server with the least requests that has room for a model, and does not hold it, hold it.
func (s *sim) hold(model string, share float64) {
	var best *simServer
	for _, server := range s.servers {
		holds := server.entry.Holds
		if len(holds) < 3 && !replicas.Holds(holds, model, "") && (best == nil || server.share < best.share) {
			best = server
		}
	}
	if best != nil {
		best.entry.Holds = append(best.entry.Holds, replicas.Holding{Model: model})
		best.share += share
	}
}

// placeAgain places the models by what was learned.
func (s *sim) placeAgain(now time.Time) {
	usual := slotRate * float64(s.slots)
	if rate := s.nodes[0].learned.Rate("llm", s.slots); s.use && rate > 0 {
		usual = min(usual, max(usual/4, rate))
	}
	s.place(usual)
	for _, n := range s.nodes {
		for _, server := range s.servers {
			n.table.SetEntry(now, server.entry)
		}
	}
}

func (s *sim) tick(now time.Time) {
	for i, server := range s.servers {
		if s.paceAt != nil {
			server.pace = s.paceAt(i, now.Sub(began))
		}
		for len(server.requests) > 0 && !server.stepEnd.After(now) {
			s.step(server)
		}
		server.loadSum += float64(len(server.requests))
	}
	if s.loader && now.Sub(began) == 10*time.Second {
		s.placeAgain(now)
	}
	for i, n := range s.nodes {
		if at := now.Add(time.Duration(i) * 110 * time.Millisecond).Sub(began); at%messageEvery == 0 {
			s.exchange(now, i)
		}
		if n.learned.Refresh(now) && s.use {
			n.table.SetLearnedSlots(func(e *replicas.Entry) float64 {
				return n.learned.Learned(e.Service, capacity.Server{ID: e.ID, Start: e.Start}, e.Slots)
			})
		}
	}
	for s.due += s.perSecond * simTick.Seconds(); s.due >= 1; s.due-- {
		s.arrive(now)
	}
}

// exchange delivers the node's message before this one, and takes the next.
func (s *sim) exchange(now time.Time, i int) {
	n := s.nodes[i]
	for j, other := range s.nodes {
		if j != i && n.counts != nil {
			other.table.SetPeerLoad(now, fmt.Sprint(i), n.counts, 2*messageEvery+simTick)
			other.learned.Merge(now, fmt.Sprint(i), n.report)
		}
	}
	n.counts, n.report = n.table.InFlight(), n.learned.Report(now, 4)
}

func (s *sim) arrive(now time.Time) {
	n := s.nodes[s.draws.IntN(len(s.nodes))]
	counted := s.length-now.Sub(began) > simLimit
	if counted {
		s.arrived++
	}
	req := replicas.Requirement{Service: "llm", Model: fmt.Sprint("m", s.models[s.draws.IntN(len(s.models))]), Zone: fmt.Sprint("z", s.draws.IntN(3))}
	r := &simRequest{node: n, counted: counted, prompt: usualPrompt, sent: now, request: capacity.Request{Service: "llm", OutputTokens: outputTokens, Limit: simLimit, Target: simTarget}}
	if s.draws.Float64() < longShare {
		r.prompt = longPrompt
	}
	e, chosen := n.table.Choose(now, req)
	if s.chosen = append(s.chosen, e.ID); chosen != replicas.Chosen {
		return
	}
	n.table.Begin(now, e.ID)
	for _, server := range s.servers {
		if server.entry.ID != e.ID {
			continue
		}
		if len(server.requests) == 0 {
			server.begin(now)
		}
		server.requests = append(server.requests, r)
	}
}

// begin begins a step.
func (s *simServer) begin(now time.Time) {
	s.chunk = 0
	decoding := 0
	for _, r := range s.requests[:min(len(s.requests), s.entry.Slots)] {
		if r.prompt == 0 {
			decoding++
		}
		s.chunk = min(prefillChunk, s.chunk+r.prompt)
	}
	ms := s.pace * (decodeMS + decodeEachMS*float64(decoding) + float64(s.chunk)/prefillPerMS)
	s.stepEnd = now.Add(time.Duration(ms * float64(time.Millisecond)))
}

// step ends a step and begins the next one.
func (s *sim) step(server *simServer) {
	now, chunk := server.stepEnd, server.chunk
	kept := server.requests[:0]
	for i, r := range server.requests {
		switch part := min(chunk, r.prompt); {
		case i >= server.entry.Slots:
		case part > 0:
			chunk -= part
			if r.prompt -= part; r.prompt == 0 {
				r.event(now, server)
			}
		case r.prompt == 0:
			r.event(now, server)
		}
		if r.events >= outputTokens || now.Sub(r.sent) > simLimit {
			s.end(now, server, r)
			continue
		}
		kept = append(kept, r)
	}
	server.requests = kept
	if server.begin(now); len(kept) == 0 {
		server.stepEnd = now
	}
}

func (r *simRequest) event(now time.Time, server *simServer) {
	r.events++
	r.last = now
	if r.events == 1 {
		r.partBegan = now
		r.node.learned.ObserveFirst(now, r.request, r.loadNow(now, server), now.Sub(r.sent))
		return
	}
	if r.part++; now.Sub(r.partBegan) >= time.Second {
		r.observe(now, server)
	}
}

func (r *simRequest) loadNow(now time.Time, server *simServer) int {
	load, _ := r.node.table.Load(now, server.entry.ID)
	return load
}

func (r *simRequest) observe(now time.Time, server *simServer) {
	r.node.learned.ObserveEvents(now, r.request, capacity.Server{ID: server.entry.ID, Start: 1}, r.loadNow(now, server), r.part, r.last.Sub(r.partBegan))
	r.partBegan, r.part = now, 0
}

func (s *sim) end(now time.Time, server *simServer, r *simRequest) {
	r.node.table.End(server.entry.ID)
	if r.events > 1 {
		r.observe(now, server)
	}
	if r.events >= outputTokens {
		r.node.learned.ObserveComplete(now, r.request, r.events)
		if r.counted {
			s.inTime++
		}
	}
}
