package waiting_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/replicas"
	"github.com/redwingnotch/redwingnotch/routes"
	"github.com/redwingnotch/redwingnotch/waiting"
)

// call is a request of a simulated load.
type call struct {
	at       time.Duration // arrival
	node     int           // at which it arrives
	team     string
	model    string
	rank     int
	tokens   int           // prompt and maximum output
	limit    time.Duration // for which the caller waits for the first event
	first    time.Duration // from the start at a server to the first event
	hold     time.Duration // from the start to the end
	leaves   time.Duration // after which the caller disconnects; zero if it does not
	retries  int           // times that it comes again at once after a rejection
	sent     time.Duration // when it was sent to a server; negative if it was not
	decided  time.Duration // when it was sent or rejected for the last time
	rejected waiting.Reason
	left     bool
}

// stream returns calls that arrive at random at the rate per second between two times, like c.
func stream(seed uint64, rate float64, from, to time.Duration, c call) []*call {
	source := rand.New(rand.NewPCG(seed, 0))
	var calls []*call
	for at := from; ; {
		if at += time.Duration(source.ExpFloat64() / rate * float64(time.Second)); at >= to {
			return calls
		}
		one := c
		one.at, one.sent = at, -1
		one.hold = time.Duration((0.5 + source.Float64()) * float64(c.hold))
		calls = append(calls, &one)
	}
}

// load is a load on servers.
type load struct {
	nodes    int           // entry nodes; one if zero. Calls arrive at them at random
	interval time.Duration // of the messages of each node to the others
	calls    []*call
	servers  []replicas.Entry
	cache    int  // KV cache of a server
	enabled  bool // teams, tokens and times at servers are known; before this part they were not

	mostTokens int // most tokens that a server held at once
}

// event is something that happens at a time of the simulation.
type event struct {
	at  time.Duration
	run func()
}

// simulation plays a load against a queue.
type simulation struct {
	*load
	queues []*waiting.Queue // by node
	states []waiting.State  // by node
	events []event          // ordered by time
	byKey  map[uint64]*call
	held   map[string]int // tokens by server
	busy   map[string]int // requests by server
}

// schedule adds an event.
func (s *simulation) schedule(at time.Duration, run func()) {
	i, _ := slices.BinarySearchFunc(s.events, at, func(e event, at time.Duration) int { return cmp.Compare(e.at, at+1) })
	s.events = slices.Insert(s.events, i, event{at, run})
}

// play runs the load to its end.
func (l *load) play() {
	engine := &routes.Engine{KVCacheTokens: l.cache}
	if !l.enabled {
		engine.KVCacheTokens = 0
	}
	s := &simulation{load: l, byKey: map[uint64]*call{}, held: map[string]int{}, busy: map[string]int{}}
	for i := range max(1, l.nodes) {
		s.queues = append(s.queues, waiting.NewQueue())
		s.states = append(s.states, state(l.servers...))
		s.states[i].Table.SpreadBy(fmt.Sprint(i))
		s.states[i].Services = map[string]*routes.Service{"llm": {Name: "llm", Engine: engine}}
	}
	source := rand.New(rand.NewPCG(uint64(len(l.calls)), 1))
	end := time.Duration(0)
	for _, c := range l.calls {
		c.node = source.IntN(len(s.queues))
		s.events = append(s.events, event{c.at, func() { s.offer(c.at, c) }})
		end = max(end, c.at+c.limit)
	}
	slices.SortStableFunc(s.events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	for tick := time.Duration(0); tick <= end; tick += 20 * time.Millisecond {
		for i := range s.queues {
			s.schedule(tick, func() { s.dispatch(tick, i) })
		}
	}
	for i := range l.nodes {
		for at := l.interval * time.Duration(i) / time.Duration(l.nodes); at <= end; at += l.interval {
			s.schedule(at, func() { s.tell(at, i) })
		}
	}
	for len(s.events) > 0 {
		e := s.events[0]
		s.events = s.events[1:]
		e.run()
	}
}

// offer lets a call arrive.
func (s *simulation) offer(at time.Duration, c *call) {
	key := uint64(len(s.byKey) + 1)
	s.byKey[key] = c
	r := waiting.Request{Key: key, Priority: c.rank, Arrived: now.Add(at), Deadline: now.Add(c.at + c.limit),
		Requirement: replicas.Requirement{Service: "llm", Model: c.model, Zone: "z"}}
	if s.enabled {
		r.Team, r.Cost, r.Requirement.Tokens = c.team, float64(c.tokens), c.tokens
	}
	d, done := s.queues[c.node].Offer(now.Add(at), r, s.states[c.node])
	if done {
		s.decided(at, d)
	} else if c.leaves > 0 {
		s.schedule(at+c.leaves, func() {
			if c.sent < 0 && c.rejected == "" {
				s.queues[c.node].Cancel(now.Add(at+c.leaves), key)
				c.left = true
			}
		})
	}
}

func (s *simulation) dispatch(at time.Duration, node int) {
	for _, d := range s.queues[node].Dispatch(now.Add(at), s.states[node]) {
		s.decided(at, d)
	}
}

// tell sends what a node has in flight to the others.
func (s *simulation) tell(at time.Duration, node int) {
	table, name := s.states[node].Table, fmt.Sprint(node)
	counts, tokens := table.InFlight(), table.TokensInFlight(s.queues[node].CacheWaiters())
	for i := range s.states {
		if i != node {
			s.states[i].Table.SetPeerLoad(now.Add(at), name, counts, 3*s.interval)
			s.states[i].Table.SetPeerTokens(name, tokens)
			s.dispatch(at, i)
		}
	}
}

// decided carries a decision out.
func (s *simulation) decided(at time.Duration, d waiting.Decision) {
	c := s.byKey[d.Key]
	c.decided = at
	if d.Refused != "" {
		if c.retries > 0 {
			c.retries--
			s.schedule(at+time.Millisecond, func() { s.offer(at+time.Millisecond, c) })
		} else {
			c.rejected = d.Refused
		}
		return
	}
	c.sent = at
	if need := (replicas.Requirement{Tokens: c.tokens, CacheTokens: s.cache}); s.enabled && s.states[c.node].Table.TellAtOnce(now.Add(at), d.Server.ID, need) {
		s.schedule(at+2*time.Millisecond, func() { s.tell(at+2*time.Millisecond, c.node) })
	}
	s.busy[d.Server.ID]++
	s.held[d.Server.ID] += c.tokens
	s.mostTokens = max(s.mostTokens, s.held[d.Server.ID])
	s.schedule(at+c.first, func() {
		if s.nodes == 0 {
			return // what the server reports tells its only node nothing new
		}
		s.states[c.node].Table.SetReportedLoad(now.Add(at+c.first), d.Server.ID, replicas.ReportedLoad{Requests: s.busy[d.Server.ID], Pace: 1})
	})
	s.schedule(at+c.hold, func() {
		s.busy[d.Server.ID]--
		s.held[d.Server.ID] -= c.tokens
		size := replicas.Requirement{}
		if s.enabled {
			size.Tokens = c.tokens
			s.queues[c.node].Ended("llm", c.hold)
		}
		s.states[c.node].Table.EndSized(d.Server.ID, size.Size())
		s.dispatch(at+c.hold, c.node)
	})
}

// outcome sums up what became of some calls.
type outcome struct {
	calls, inTime, late, rejected int
	rejectedLate                  int           // more than a second after they arrived
	p99                           time.Duration // time to the first event
}

// inTimeShare returns the share of the calls that got their first event in time.
func (o outcome) inTimeShare() float64 { return float64(o.inTime) / float64(max(1, o.calls)) }

func (o outcome) String() string {
	return fmt.Sprintf("%d calls, %.2f%% in time, %d late, %d rejected, of these %d after more than 1 s, first event p99 %v",
		o.calls, 100*o.inTimeShare(), o.late, o.rejected, o.rejectedLate, o.p99.Round(time.Millisecond))
}

// outcomeOf sums up the calls that match.
func (l *load) outcomeOf(match func(c *call) bool) outcome {
	var o outcome
	var firsts []time.Duration
	for _, c := range l.calls {
		if !match(c) || c.left {
			continue
		}
		o.calls++
		switch took := c.sent + c.first - c.at; {
		case c.sent < 0:
			o.rejected++
			if c.decided-c.at > time.Second {
				o.rejectedLate++
			}
		default:
			firsts = append(firsts, took)
			if took <= c.limit {
				o.inTime++
			} else {
				o.late++
			}
		}
	}
	if len(firsts) > 0 {
		slices.Sort(firsts)
		o.p99 = firsts[len(firsts)*99/100]
	}
	return o
}

// busyShare returns the share of the servers' slots that are in use between two times.
func (l *load) busyShare(from, to time.Duration) float64 {
	slots, used := 0, time.Duration(0)
	for _, e := range l.servers {
		slots += e.Slots
	}
	for _, c := range l.calls {
		if c.sent >= 0 {
			used += max(0, min(to, c.sent+c.hold)-max(from, c.sent))
		}
	}
	return float64(used) / float64(to-from) / float64(slots)
}

// worstTeam returns the smallest share in time of any team but one.
func (l *load) worstTeam(but string) (string, float64) {
	worst, share := "", 2.0
	for _, c := range l.calls {
		if c.team == but {
			continue
		}
		if s := l.outcomeOf(func(d *call) bool { return d.team == c.team }).inTimeShare(); s < share {
			worst, share = c.team, s
		}
		but = cmp.Or(but, "none")
	}
	return worst, share
}

// compare plays the load without and with this part and logs both. It returns the loads played.
func compare(t *testing.T, build func() *load, flooding string) (before, after *load) {
	t.Helper()
	before, after = build(), build()
	after.enabled = true
	for _, l := range []*load{before, after} {
		l.play()
		team, share := l.worstTeam(flooding)
		t.Logf("enabled=%v: %v; worst other team %s %.2f%%; most tokens at a server %d", l.enabled, l.outcomeOf(all), team, 100*share, l.mostTokens)
	}
	assert.Equal(t, len(before.calls), len(after.calls))
	return before, after
}

func all(*call) bool { return true }

// servers returns servers with the slots, each with models of its own beside the common one.
func servers(count, slots int) []replicas.Entry {
	var entries []replicas.Entry
	for i := range count {
		entries = append(entries, server(fmt.Sprint("s", i), "llm", slots, "common", fmt.Sprint("rare", i)))
	}
	return entries
}
