package replicas

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/pace"
)

// simEpoch is the beginning of simulated time.
var simEpoch = time.Unix(1000, 0)

// pattern is a load on a service some of whose servers are slow or away for a time.
type pattern struct {
	name                   string
	nodes, servers, slots  int
	base, hold             time.Duration // time to the first event of a healthy, half loaded server, and from there to the end
	load                   float64       // mean share of all slots that the requests would take on healthy servers
	affected               int           // number of servers that the pattern affects, the first ones
	restart, reports       bool          // they are replaced at the time of the event; their responses report that they are slow
	factor                 float64       // how many times slower they are
	says, slowFor          time.Duration // for how long, by their entries and in truth
	down                   func(since time.Duration) bool
	far                    func(node int) float64 // additional factor for requests of a node to affected servers
	alone, oneNode         bool                   // some requests are for a model of the first server only; all requests come to one node
	inTime, before, window time.Duration          // limit of the time to the first event; time before the event, and after it
}

// simServer is a backend server: it runs slots requests, queues a quarter more and rejects others.
type simServer struct {
	Entry
	running int
	queue   []func()
	busy    time.Duration // slot time used since the event
	seconds []int         // first events by second since the event
}

type simEvent struct {
	at time.Duration
	do func()
}

type simRequest struct {
	Requirement
	table   *Table
	node    int
	arrived time.Duration
	noise   float64 // factor of its time to the first event, drawn at its arrival, so that all strategies get the same load
}

// sim plays a pattern with real tables under a strategy.
type sim struct {
	pattern
	strategy string
	rng      *rand.Rand
	now      time.Duration
	events   []simEvent // ordered by time
	tables   []*Table
	servers  []*simServer

	offered, served, late, unserved int // requests that arrived since the event; served are in time
	limited                         int // choices of nodes that knew a limit before the event
}

func (s *sim) after(d time.Duration, do func()) {
	at, _ := slices.BinarySearchFunc(s.events, s.now+d+1, func(e simEvent, t time.Duration) int { return cmp.Compare(e.at, t) })
	s.events = slices.Insert(s.events, at, simEvent{s.now + d, do})
}

func (s *sim) time() time.Time { return simEpoch.Add(s.now) }

// since returns the time since the event, negative before it.
func (s *sim) since() time.Duration { return s.now - s.before }

// affects reports whether the pattern affects the server now.
func (s *sim) affects(i int) bool { return i < s.affected && s.since() >= 0 }

// play runs the pattern under the strategy.
func play(p pattern, strategy string, seed uint64) *sim {
	s := &sim{pattern: p, strategy: strategy, rng: rand.New(rand.NewPCG(seed, 1))}
	for i := range p.servers {
		e := Entry{ID: fmt.Sprint(i), Start: 1, Revision: 1, Service: "llm", Address: fmt.Sprintf("10.0.0.%d:80", i+1), Zone: fmt.Sprint("z", i%3), Slots: s.slots, Holds: []Holding{{Model: "m"}}}
		if i == 0 && s.alone {
			e.Holds = append(e.Holds, Holding{Model: "rare"})
		}
		s.servers = append(s.servers, &simServer{Entry: e, seconds: make([]int, p.window/time.Second+1)})
	}
	// As in internal/front/rates.go, for three zones.
	near := 200 * time.Millisecond * time.Duration((p.nodes/3+11)/12)
	far := min(4*time.Second, max(near, 200*time.Millisecond*time.Duration((2*p.nodes/3+5)/6)))
	for n := range p.nodes {
		t := NewTable()
		t.SpreadBy(fmt.Sprint("node", n))
		t.ShareLimits(fmt.Sprint("ip", n))
		t.limits.rule = ruleOf(strategy)
		for _, server := range s.servers {
			t.SetEntry(s.time(), server.Entry)
		}
		s.tables = append(s.tables, t)
		s.after(time.Duration(s.rng.Float64()*float64(near)), func() { s.publish(n, near, func(other int) bool { return other%3 == n%3 }) })
		s.after(time.Duration(s.rng.Float64()*float64(far)), func() { s.publish(n, far, func(other int) bool { return other%3 != n%3 }) })
	}
	s.after(0, s.arrive)
	if s.restart {
		s.after(p.before, s.replace)
	}
	for s.events[0].at <= p.before+p.window {
		e := s.events[0]
		s.events, s.now = s.events[1:], e.at
		e.do()
	}
	return s
}

// replace replaces the affected servers by later starts.
func (s *sim) replace() {
	for _, server := range s.servers[:s.affected] {
		server.Start, server.Revision, server.ColdRemaining, server.running, server.queue = 2, 2, s.says, 0, nil
		for _, t := range s.tables {
			t.SetEntry(s.time(), server.Entry)
		}
	}
}

// publish sends a node's counts and limits to some others, and plans the next message.
func (s *sim) publish(n int, interval time.Duration, to func(other int) bool) {
	counts, limits := s.tables[n].InFlight(), s.tables[n].OwnLimits(s.time())
	s.after(time.Millisecond, func() {
		for other, t := range s.tables {
			if other == n || !to(other) {
				continue
			}
			t.SetPeerLoad(s.time(), fmt.Sprint("ip", n), counts, interval*5/2)
			for _, l := range limits[:min(len(limits), 16)] {
				t.AdoptLimit(s.time(), l)
			}
		}
	})
	s.after(interval, func() { s.publish(n, interval, to) })
}

// arrive offers a request at some node and plans the next one.
func (s *sim) arrive() {
	perSecond := s.load * float64(len(s.servers)*s.slots) / (s.base + s.hold).Seconds()
	s.after(time.Duration(s.rng.ExpFloat64()/perSecond*float64(time.Second)), s.arrive)
	r := &simRequest{Requirement: Requirement{Service: "llm", Model: "m"}, node: s.rng.IntN(s.nodes), arrived: s.now, noise: math.Exp(0.6 * s.rng.NormFloat64())}
	if s.rng.IntN(len(s.servers)) == 0 && s.alone {
		r.Model = "rare"
	}
	if s.oneNode {
		r.node = 0
	}
	r.Zone = fmt.Sprint("z", r.node%3)
	if s.since() >= 0 {
		s.offered++
	}
	r.table = s.tables[r.node]
	s.try(r)
}

// try sends the request to a server, or tries again soon.
func (s *sim) try(r *simRequest) {
	s.impose(r.table)
	if s.now-r.arrived >= s.inTime {
		if r.arrived >= s.before {
			s.unserved++
		}
		return
	}
	e, result := r.table.Choose(s.time(), r.Requirement)
	if s.since() < 0 && len(r.table.Limits(s.time())) > 0 {
		s.limited++
	}
	if result != Chosen {
		s.after(20*time.Millisecond, func() { s.try(r) })
		return
	}
	r.table.Begin(s.time(), e.ID)
	i := slices.IndexFunc(s.servers, func(server *simServer) bool { return server.ID == e.ID })
	s.after(time.Millisecond, func() { s.send(r, i) })
}

// send lets a server run, queue or reject the request.
func (s *sim) send(r *simRequest, i int) {
	server, sent := s.servers[i], s.now
	run := func() { s.run(r, i, sent) }
	switch {
	case s.affects(i) && s.down != nil && s.down(s.since()):
		r.table.Observe(s.time(), server.ID, Unreachable, 0)
	case server.running < s.slots:
		run()
		return
	case len(server.queue) < s.slots/4:
		server.queue = append(server.queue, run)
		return
	default:
		r.table.Rejected(s.time(), server.ID)
	}
	r.table.End(server.ID)
	s.after(20*time.Millisecond, func() { s.try(r) })
}

// lasts returns how long work that a server begins now lasts.
func (s *sim) lasts(i int, work float64) time.Duration {
	slow := float64(s.slowFor - s.since())
	switch {
	case !s.affects(i) || slow <= 0:
		return time.Duration(work)
	case work*s.factor <= slow:
		return time.Duration(work * s.factor)
	}
	return time.Duration(slow + work - slow/s.factor)
}

// run runs a request at a server.
func (s *sim) run(r *simRequest, i int, sent time.Duration) {
	server, start, began := s.servers[i], s.servers[i].Start, s.now
	server.running++
	work := float64(s.base) * r.noise * (0.7 + 0.6*float64(server.running)/float64(s.slots))
	if s.far != nil && s.affects(i) {
		work *= s.far(r.node)
	}
	first, whole := s.lasts(i, work), s.lasts(i, work+float64(s.hold))
	s.after(first, func() {
		if start != server.Start {
			return
		}
		load := ReportedLoad{Requests: server.running + len(server.queue), Pace: 1}
		if s.reports && s.affects(i) && s.since() < s.slowFor {
			load.Pace = s.factor
		}
		r.table.SetReportedLoad(s.time(), server.ID, load)
		r.table.Observe(s.time(), server.ID, Answered, s.now-sent)
		if s.since() >= 0 {
			server.seconds[s.since()/time.Second]++
		}
		switch {
		case r.arrived < s.before:
		case s.now-r.arrived <= s.inTime:
			s.served++
		default:
			s.late++
		}
	})
	s.after(whole, func() {
		if start != server.Start {
			return
		}
		r.table.End(server.ID)
		server.running--
		server.busy += max(0, s.now-max(began, s.before))
		if len(server.queue) > 0 {
			next := server.queue[0]
			server.queue = server.queue[1:]
			next()
		}
	})
}

// fullShare returns how many seconds after the end of their slowness the affected servers answer at
// least 0.8 times as many requests as the others, over two seconds; -1 if they never do. used is the
// share of their slots that was in use.
func (s *sim) fullShare() (after int, used float64) {
	rate := func(servers []*simServer, second int) float64 {
		sum := 0
		for _, server := range servers {
			sum += server.seconds[second] + server.seconds[second+1]
		}
		return float64(sum) / float64(len(servers))
	}
	for _, server := range s.servers[:s.affected] {
		used += server.busy.Seconds() / (s.window.Seconds() * float64(s.affected*s.slots))
	}
	for second := int(s.slowFor / time.Second); second < int(s.window/time.Second)-1; second++ {
		if rate(s.servers[:s.affected], second) >= 0.8*rate(s.servers[s.affected:], second) {
			return second - int(s.slowFor/time.Second), used
		}
	}
	return -1, used
}

// strategies are the ways that are compared; the last one is in use.
var strategies = []string{"none", "time", "additive", "gradient", "multiplicative"}

// ruleOf returns the rule of a strategy.
func ruleOf(strategy string) pace.Rule {
	switch strategy {
	case "additive": // Chiu and Jain
		return func(limit float64, o pace.Outcome) float64 {
			if o.Cause == pace.GoodAnswer {
				return limit + 1
			}
			return limit / 2
		}
	case "gradient": // by the latency's gradient, with the root of the limit as room for a queue
		return func(limit float64, o pace.Outcome) float64 {
			if o.Cause == pace.Rejected || o.Cause == pace.Failed {
				return limit * 0.9
			}
			return 0.8*limit + 0.2*(limit*min(1, max(0.5, 2/o.Ratio))+math.Sqrt(limit))
		}
	case "time":
		return func(limit float64, _ pace.Outcome) float64 { return limit }
	}
	return nil
}

// impose sets the limits of strategies that do not follow answers: none, or a ramp of ten seconds.
func (s *sim) impose(t *Table) {
	for i, server := range s.servers {
		if s.strategy != "none" && s.strategy != "time" {
			return
		}
		t.paceOf("llm").uneven = false
		p := &t.rows[server.ID].pace
		p.limiter = pace.Limiter{Rule: ruleOf("time")}
		if part := s.since().Seconds() / 10; s.strategy == "time" && s.restart && s.affects(i) && part < 1 {
			p.limiter.Adopt(s.time(), s.slots, pace.State{Limit: max(1, part*float64(s.slots)), At: s.time(), Cause: pace.Loaded})
		}
	}
}
