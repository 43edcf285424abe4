package allowance_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/redwingnotch/redwingnotch/allowance"
)

const (
	window     = 8 * time.Second
	revocation = 5 * time.Second
	zones      = 3
	modelTick  = 20 * time.Millisecond
)

// event is a call at a virtual time. Events of one time keep their order.
type event struct {
	at   time.Duration
	seq  int
	call func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// modelNode is an entry node. Its callers' requests, messages and ticks wait while it is frozen.
type modelNode struct {
	ip       string
	index    int
	core     *allowance.Node
	run      int // number of its process; calls of an earlier one are dropped
	up       bool
	started  time.Duration
	frozen   bool
	held     []func()
	part     int             // nodes of different parts don't reach each other; part 0 reaches the store
	parted   time.Duration   // when it left part 0
	received []time.Duration // latest message of each node; negative if there is none
	sent     []time.Duration // latest message to each node
	reached  map[string]allowance.Contact
	waiting  map[uint64]*offered
	lastView time.Duration
}

// offered is a request for tokens.
type offered struct {
	team   *modelTeam
	tokens int64
}

// modelTeam is a team and what became of its requests.
type modelTeam struct {
	name              string
	terms             allowance.Terms
	limit             []limitAt
	load              float64 // tokens per second that its callers send
	oneNode           bool    // all of them use one node
	large             bool    // some of its requests are larger than a node's part of the burst
	runs              []run   // within the window
	inWindow          int64
	offered, admitted int64
	highest           int64   // tokens in the fullest window, percent of the limit
	ideal             float64 // level of one bucket that all callers share
	idealAt           time.Duration
	allowed, lost     int64 // tokens that this bucket admits, and those of them that were rejected
}

type run struct {
	at     time.Duration
	tokens int64
}

type limitAt struct {
	from  time.Duration
	limit float64
}

// model is a fleet with its network in virtual time.
type model struct {
	t        testing.TB
	r        *rand.Rand
	now      time.Duration
	queue    events
	seq      int
	nodes    []*modelNode
	byIP     map[string]*modelNode
	teams    []*modelTeam
	nextKey  uint64
	loss     float64
	allServe bool          // all nodes reach the store
	spent    time.Duration // real time of the calls for requests
	messages int
	measured time.Duration // since when the teams' tokens are counted
}

var epoch = time.Unix(1_000_000, 0)

func (m *model) time() time.Time { return epoch.Add(m.now) }

// after calls at a later time.
func (m *model) after(d time.Duration, call func()) {
	m.seq++
	heap.Push(&m.queue, event{m.now + d, m.seq, call})
}

// at calls for a node's process at a later time, or once the node has thawed.
func (m *model) at(n *modelNode, d time.Duration, call func()) {
	run := n.run
	m.after(d, func() {
		switch {
		case n.run != run || !n.up:
		case n.frozen:
			n.held = append(n.held, call)
		default:
			call()
		}
	})
}

func newModel(t testing.TB, nodes int, seed uint64, teams ...*modelTeam) *model {
	m := &model{t: t, r: rand.New(rand.NewPCG(seed, uint64(nodes))), byIP: map[string]*modelNode{}, teams: teams}
	for i := range nodes {
		n := &modelNode{ip: fmt.Sprintf("n%03d", i), index: i, received: make([]time.Duration, nodes), sent: make([]time.Duration, nodes), reached: map[string]allowance.Contact{}}
		m.nodes, m.byIP[n.ip] = append(m.nodes, n), n
		m.start(n)
	}
	for _, team := range teams {
		m.setTerms(team, team.terms)
		m.offer(team)
	}
	return m
}

// start starts the node's process.
func (m *model) start(n *modelNode) {
	n.run++
	n.up, n.started, n.frozen, n.held = true, m.now, false, nil
	for i := range n.received {
		n.received[i], n.sent[i] = -time.Hour, -time.Hour
	}
	n.waiting = map[uint64]*offered{}
	n.core = allowance.NewNode(m.time(), allowance.Config{Self: n.ip, FirstKey: uint64(n.run) << 32, Span: revocation + 2*time.Second, OthersExpected: len(m.nodes) > 1})
	n.lastView = -time.Second
	m.at(n, time.Duration(m.r.IntN(int(modelTick))), func() { m.tick(n) })
}

// move moves the node to a part of the fleet.
func (m *model) move(n *modelNode, part int) {
	if n.part == 0 {
		n.parted = m.now
	}
	n.part = part
}

// serves reports whether callers' requests run at the node. Without the store it rejects them once
// the keys that it knows may have been revoked.
func (m *model) serves(n *modelNode) bool {
	return n.up && !n.frozen && (n.part == 0 || m.allServe || m.now-n.parted < revocation)
}

// kill ends the process. What ran has run.
func (m *model) kill(n *modelNode) { n.up, n.frozen, n.held = false, false, nil }

func (m *model) freeze(n *modelNode, d time.Duration) {
	if !n.up || n.frozen {
		return
	}
	n.frozen = true
	run := n.run
	m.after(d, func() {
		if n.run != run || !n.up {
			return
		}
		n.frozen = false
		held := n.held
		n.held = nil
		for _, call := range held {
			m.at(n, 0, call)
		}
	})
}

// interval returns the interval of messages about the fleet between two nodes, as in internal/front.
func (m *model) interval(a, b *modelNode) time.Duration {
	const send = 200 * time.Millisecond
	near, far := len(m.nodes)/zones, len(m.nodes)-len(m.nodes)/zones
	if a.index%zones == b.index%zones {
		return send * time.Duration(max(1, (near+11)/12))
	}
	return min(4*time.Second, send*time.Duration(max(1, (far+5)/6)))
}

// reachedTimeout returns for how long a silent node counts as reached, as in internal/front.
func reachedTimeout(interval time.Duration) time.Duration {
	return max(time.Second, interval*5/4+200*time.Millisecond)
}

// tick is the node's periodic work.
func (m *model) tick(n *modelNode) {
	m.at(n, modelTick, func() { m.tick(n) })
	if m.now-n.lastView >= 100*time.Millisecond {
		n.lastView = m.now
		for _, other := range m.nodes {
			if other != n && m.now-n.sent[other.index] >= m.interval(n, other) {
				n.sent[other.index] = m.now
				m.tell(n, other)
			}
		}
		teams := map[string]allowance.Terms{}
		for _, team := range m.teams {
			teams[team.name] = team.terms
		}
		n.core.SetTeams(teams)
		m.apply(n, n.core.SetView(m.time(), m.view(n)))
	}
	m.apply(n, n.core.Tick(m.time()))
}

// tell sends the other node a message about the fleet.
func (m *model) tell(n, other *modelNode) {
	if n.part != other.part || !other.up || m.r.Float64() < m.loss {
		return
	}
	if m.now-other.received[n.index] > 4*time.Second*7/2 {
		other.sent[n.index] = -time.Hour // it does not know the other one yet
	}
	if other.frozen {
		m.at(other, 0, func() { other.received[n.index] = m.now })
		return
	}
	other.received[n.index] = m.now
}

// view returns what the node knows of the fleet.
func (m *model) view(n *modelNode) allowance.View {
	clear(n.reached)
	v := allowance.View{Reached: n.reached, Silence: reachedTimeout(m.interval(m.nodes[0], m.nodes[min(1, len(m.nodes)-1)]))}
	var young []string
	add := func(other *modelNode) {
		isYoung := m.now-other.started < 2*time.Second
		if isYoung {
			young = append(young, other.ip)
		} else {
			v.Candidates = append(v.Candidates, other.ip)
		}
		if other != n {
			v.Reached[other.ip] = allowance.Contact{Heard: epoch.Add(n.received[other.index]), Young: isYoung}
		}
	}
	for i, other := range m.nodes {
		if other == n || m.now-n.received[i] < reachedTimeout(m.interval(n, other)) {
			add(other)
		}
	}
	if len(v.Candidates) == 0 {
		v.Candidates = young
	}
	return v
}

// deliver calls at the other node after the time of a message, if it arrives.
func (m *model) deliver(from, to *modelNode, call func()) {
	m.messages++
	if from.part == to.part && m.r.Float64() >= m.loss {
		m.at(to, 300*time.Microsecond+time.Duration(m.r.IntN(500))*time.Microsecond, call)
	}
}

// apply carries out what follows from a call of the node.
func (m *model) apply(n *modelNode, out allowance.Output) {
	for _, o := range out.Send {
		to := m.byIP[o.To]
		m.deliver(n, to, func() {
			called := time.Now()
			received := to.core.Receive(m.time(), n.ip, o.Message)
			m.spent += time.Since(called)
			m.apply(to, received)
		})
	}
	for _, d := range out.Decided {
		if o := n.waiting[d.Key]; o != nil {
			delete(n.waiting, d.Key)
			m.decided(o, d)
		}
	}
}

// offer sends the team's next request and plans the one after it.
func (m *model) offer(team *modelTeam) {
	tokens := 100 + int64(m.r.IntN(900))
	if team.large && m.r.IntN(50) == 0 {
		tokens = 9190
	}
	mean := float64(tokens) / team.load
	m.after(time.Duration(mean*m.r.ExpFloat64()*float64(time.Second)), func() { m.offer(team) })
	at := m.r.IntN(len(m.nodes))
	if team.oneNode {
		at = 1
	}
	for range m.nodes {
		if n := m.nodes[at]; m.serves(n) {
			m.take(n, &offered{team, tokens})
			return
		}
		at = (at + 1) % len(m.nodes)
	}
}

// take asks the node for the tokens.
func (m *model) take(n *modelNode, o *offered) {
	team := o.team
	team.offered += o.tokens
	m.nextKey++
	key, steps := m.nextKey, 0
	n.waiting[key] = o
	called := time.Now()
	d, done, out := n.core.Take(m.time(), team.name, team.terms, key, o.tokens)
	m.spent += time.Since(called)
	if done {
		out.Decided = append(out.Decided, d)
	}
	m.apply(n, out)
	var again func()
	again = func() {
		if n.waiting[key] == nil {
			return
		}
		if steps++; steps > 12 {
			m.t.Fatalf("%v: no decision after %d steps", m.now, steps)
		}
		m.at(n, allowance.RepeatAfter, again)
		m.apply(n, n.core.Step(m.time(), team.name))
	}
	m.at(n, allowance.RepeatAfter, again)
}

// decided checks the sliding window, and compares the decision with that of one bucket.
func (m *model) decided(o *offered, d allowance.Decision) {
	team, tokens := o.team, float64(o.tokens)
	burst := max(team.terms.Burst, 0)
	team.ideal = min(burst, team.ideal+team.terms.Rate*(m.now-team.idealAt).Seconds())
	team.idealAt = m.now
	within := team.ideal >= min(tokens, burst)
	if within {
		team.ideal -= tokens
		team.allowed += o.tokens
	}
	if !d.Admitted {
		if d.RetryAfter < time.Millisecond || d.RetryAfter > time.Minute {
			m.t.Fatalf("%v: %s is told to wait for %v", m.now, team.name, d.RetryAfter)
		}
		if within {
			team.lost += o.tokens
		}
		return
	}
	team.admitted += o.tokens
	team.runs = append(team.runs, run{m.now, o.tokens})
	team.inWindow += o.tokens
	for team.runs[0].at <= m.now-window {
		team.inWindow -= team.runs[0].tokens
		team.runs = team.runs[1:]
	}
	limit := 0.0
	for i, l := range team.limit {
		if i == len(team.limit)-1 || team.limit[i+1].from > m.now-window {
			limit = max(limit, l.limit)
		}
	}
	if float64(team.inWindow) > limit && team.highest <= 100 {
		m.t.Errorf("%v: %s ran %d tokens in a window, limit %.0f", m.now, team.name, team.inWindow, limit)
	}
	team.highest = max(team.highest, int64(math.Ceil(100*float64(team.inWindow)/limit)))
}

// setTerms changes the team's limits.
func (m *model) setTerms(team *modelTeam, terms allowance.Terms) {
	team.terms = terms
	limit := (terms.Rate*window.Seconds()+terms.Burst)*(1+terms.Overage) + terms.Slack
	team.limit = append(team.limit, limitAt{m.now, limit})
}

// runFor runs the model for the time.
func (m *model) runFor(d time.Duration) {
	end := m.now + d
	for len(m.queue) > 0 && m.queue[0].at <= end {
		e := heap.Pop(&m.queue).(event)
		m.now = e.at
		e.call()
	}
	m.now = end
}
