package credentials_test

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/configsync"
	"github.com/redwingnotch/redwingnotch/credentials"
	"github.com/redwingnotch/redwingnotch/routes"
)

// Times of the model. The bounds are the defaults of the platform's settings.
const (
	step         = 20 * time.Millisecond
	revocation   = 5 * time.Second
	applyTimeout = 3 * time.Second
	callTimeout  = 700 * time.Millisecond
	messageEvery = 200 * time.Millisecond
	aliveTimeout = 1200 * time.Millisecond
	keys         = 6
	maxMesh      = 9 // nodes up to which all send each other messages; beyond, they know which live
)

// mutation is a fault of the wiring that the model must find.
type mutation string

const (
	none          mutation = "none"
	neighborAge   mutation = "an age is taken from a neighbor's message"
	noSecondCheck mutation = "no second check before the send"
	judgedBehind  mutation = "401 from a node that is behind"
	frozenClock   mutation = "the age of a frozen node: its clock does not count the freeze"
	timeOfDay     mutation = "ages by the time of day, which steps"
	receiveTime   mutation = "a reply counts from when it was received"
)

var errStore = errors.New("no response of the store")

// state is one version of the desired state at the store.
type state struct {
	acked time.Time
	held  [keys]bool
}

// due is something that happens to a node at a time, or once the node is no longer frozen.
type due struct {
	at time.Time
	to *modelNode
	do func()
}

// modelNode is one entry node. Each run has cores of its own.
type modelNode struct {
	id, run           int
	sync              *configsync.Core
	checker           *credentials.Checker
	refresher         *credentials.Refresher
	unread            []func() // replies once more after a read
	storeCut          time.Time
	frozenUntil, dead time.Time
	frozen            time.Duration // total
	offset, stepped   time.Duration // of the boot clock, and steps of the time of day
	heard             map[int]time.Time
	cutFrom           map[int]time.Time // until when messages of a node do not arrive
}

// model is a store, nodes, their callers, and what is on the way between them.
type model struct {
	bounds      credentials.Bounds
	now         time.Time
	random      *rand.Rand
	mutation    mutation
	nodes       []*modelNode
	states      []state
	queue       []due
	spare       []due // for the next queue
	violation   error
	reads       int // calls to the store
	datagrams   int // queries and replies
	rejected    map[credentials.Result]int
	accepted    int
	disturbance int // steps between two disturbances; zero for none
}

func newModel(seed uint64, nodes int, how mutation) *model {
	bounds := credentials.Bounds{FailClosed: seed%3 != 0, Revocation: revocation, Apply: applyTimeout}
	m := &model{bounds: bounds, now: time.Unix(0, 0), random: rand.New(rand.NewPCG(seed, 44)), mutation: how, rejected: map[credentials.Result]int{}}
	m.states = []state{{acked: m.now, held: [keys]bool{true, true, true}}}
	for id := range nodes {
		n := &modelNode{id: id, offset: m.upTo(1000 * time.Second), cutFrom: map[int]time.Time{}}
		m.nodes = append(m.nodes, n)
	}
	for _, n := range m.nodes {
		m.start(n)
	}
	return m
}

func (m *model) start(n *modelNode) {
	n.run++
	spread := float64(n.id) / float64(len(m.nodes))
	n.sync = configsync.New(m.clock(n), configsync.Settings{ApplyTimeout: applyTimeout, Spread: spread})
	n.checker, n.refresher = credentials.NewChecker(m.bounds), credentials.NewRefresher(m.bounds, spread)
	n.heard, n.unread = map[int]time.Time{}, nil
}

func (m *model) upTo(d time.Duration) time.Duration { return time.Duration(m.random.Int64N(int64(d))) }

// clock returns the time by the node's clock, which has nothing to do with those of others.
func (m *model) clock(n *modelNode) time.Time {
	t := m.now.Add(n.offset)
	switch m.mutation {
	case frozenClock:
		t = t.Add(-n.frozen)
	case timeOfDay:
		t = t.Add(n.stepped)
	}
	return t
}

// delay returns how long something is on its way: usually a millisecond, at times very long.
func (m *model) delay() time.Duration {
	if m.disturbance != 0 && m.random.IntN(30) == 0 {
		return m.upTo(7 * time.Second)
	}
	return time.Millisecond
}

func (m *model) after(d time.Duration, to *modelNode, do func()) {
	m.queue = append(m.queue, due{m.now.Add(d), to, do})
}

// send delivers a datagram, unless it is lost or the receiver is cut off from the sender.
func (m *model) send(from, to *modelNode, do func()) {
	if m.now.Before(to.cutFrom[from.id]) || m.disturbance != 0 && m.random.IntN(10) == 0 {
		return
	}
	m.after(m.delay(), to, do)
}

// succession returns the other nodes that the node takes to be alive, in the order of their IDs.
func (m *model) succession(n *modelNode) []*modelNode {
	var live []*modelNode
	for _, other := range m.nodes {
		heard := n.heard[other.id]
		if len(m.nodes) > maxMesh {
			heard = m.now
			if !other.dead.IsZero() {
				heard = other.dead
			}
		}
		if other != n && !heard.IsZero() && m.now.Sub(heard) < aliveTimeout {
			live = append(live, other)
		}
	}
	return live
}

// read makes a call to the store that returns the state at its arrival.
func (m *model) read(n *modelNode) {
	m.reads++
	run, sent := n.run, m.clock(n)
	fail := func() { m.readDone(n, run, sent, nil, 0) }
	if m.now.Before(n.storeCut) {
		m.after(callTimeout, n, fail)
		return
	}
	m.after(m.delay()%callTimeout, nil, func() {
		version := len(m.states)
		m.after(m.delay()%callTimeout, n, func() { m.readDone(n, run, sent, &m.states[version-1], version) })
	})
}

func (m *model) readDone(n *modelNode, run int, sent time.Time, s *state, version int) {
	if n.run != run {
		return
	}
	now, watches := m.clock(n), m.watches(n)
	if s == nil {
		n.sync.ReadDone(now, sent, 0, errStore, watches)
		return
	}
	m.putInForce(n, version)
	n.checker.ConfirmOwn(sent)
	for _, reply := range n.unread {
		reply()
	}
	n.unread = nil
	stale := n.sync.Status(now).Stale
	n.sync.ReadDone(now, sent, uint64(version), nil, watches)
	if stale || len(m.nodes) > maxMesh {
		m.tell(n)
	}
}

func (m *model) putInForce(n *modelNode, version int) {
	if uint64(version) <= n.checker.Version() {
		return
	}
	var teams []routes.Team
	for k, held := range m.states[version-1].held {
		if held {
			teams = append(teams, routes.Team{Keys: []routes.KeyHash{{byte(k)}}})
		}
	}
	index, _ := credentials.NewIndex(uint64(version), teams)
	n.checker.PutInForce(index)
	n.sync.PutInForce(m.clock(n), uint64(version))
}

// watch makes a call that ends with a change, or at the end of its wait.
func (m *model) watch(n *modelNode, w configsync.Watch) {
	m.reads++
	run, sent := n.run, m.clock(n)
	done := func(version int, err error) func() {
		return func() {
			if n.run != run {
				return
			}
			changed := uint64(version) > w.Revision
			asOf := sent
			if err == nil {
				m.putInForce(n, version)
				if end := sent.Add(w.Wait); !changed && !m.clock(n).Before(end) {
					asOf = end
				}
				n.checker.ConfirmOwn(asOf)
			}
			n.sync.WatchDone(m.clock(n), sent, uint64(version), changed, err)
			if len(m.nodes) > maxMesh {
				m.tell(n)
			}
		}
	}
	if m.now.Before(n.storeCut) {
		m.after(w.Timeout, n, done(0, errStore))
		return
	}
	var poll func()
	ends := m.now.Add(m.delay()%callTimeout + w.Wait)
	poll = func() {
		switch version := len(m.states); {
		case uint64(version) > w.Revision || !m.now.Before(ends):
			m.after(m.delay()%callTimeout, n, done(version, nil))
		default:
			m.after(step, nil, poll)
		}
	}
	m.after(step, nil, poll)
}

func (m *model) watches(n *modelNode) bool {
	live := m.succession(n)
	return len(live) == 0 || live[0].id > n.id
}

// tick lets the node do its periodic work, as the front does.
func (m *model) tick(n *modelNode) {
	now, watches := m.clock(n), m.watches(n)
	actions := n.sync.Tick(now, watches)
	if actions.Read {
		m.read(n)
	}
	if actions.Watch != nil {
		m.watch(n, *actions.Watch)
	}
	next := n.refresher.Tick(now, n.checker, watches, m.random.Uint64())
	if next.Read {
		n.sync.RequestRead()
	}
	if next.Ask != credentials.AskNone {
		live := m.succession(n)
		asked := live[:min(1, len(live))]
		if next.Ask == credentials.AskOthers {
			asked = live[len(asked):min(3, len(live))]
		}
		for _, other := range asked {
			m.datagrams++
			m.send(n, other, func() { m.queried(n, other, next.Nonce) })
		}
	}
	every := messageEvery
	if len(m.nodes) > maxMesh {
		every *= 5
	}
	// The others of a large fleet tell nothing that these do not.
	if m.now.Sub(time.Unix(0, 0))%every == 0 && n.id < maxMesh {
		m.tell(n)
	}
}

func (m *model) queried(asker, n *modelNode, nonce uint64) {
	reply := func() {
		version, age := n.checker.Version(), n.checker.OwnAge(m.clock(n))
		m.datagrams++
		m.send(n, asker, func() {
			now := m.clock(asker)
			if m.mutation == receiveTime && version <= asker.checker.Version() && age >= 0 {
				asker.checker.Confirm(now.Add(-age))
			}
			asker.refresher.Replied(now, asker.checker, nonce, version, age)
			asker.sync.PeerReported(now, version, -1)
		})
	}
	reply()
	if n.refresher.Queried(m.clock(n), n.checker) {
		n.unread = append(n.unread, reply)
	}
}

// tell sends the node's periodic message to all others.
func (m *model) tell(n *modelNode) {
	version, age := n.checker.Version(), n.checker.OwnAge(m.clock(n))
	for _, other := range m.nodes {
		m.send(n, other, func() {
			now := m.clock(other)
			other.heard[n.id] = m.now
			other.sync.PeerReported(now, version, age)
			other.checker.NoteVersion(version)
			if m.mutation == neighborAge && age >= 0 && version <= other.checker.Version() {
				other.checker.Confirm(now.Add(-age))
			}
		})
	}
}

// request lets a caller send a request with a key to the node. It may wait, and may need a second
// attempt.
func (m *model) request(n *modelNode, key int) {
	carried := credentials.Key{Form: credentials.Present, Hash: routes.KeyHash{byte(key)}}
	check := func() bool {
		d := n.checker.Check(m.clock(n), carried)
		if d.Refresh {
			n.refresher.Hurry()
		}
		if m.mutation == judgedBehind && d.Result == credentials.Behind {
			d.Result = credentials.Unknown
		}
		if d.Result == credentials.Accepted {
			m.accepted++
			return true
		}
		m.rejected[d.Result]++
		if d.Result.Final() && m.always(key) {
			m.violation = errors.New("401 for a key that each state in force holds")
		}
		return false
	}
	m.after(0, n, func() {
		run := n.run
		if !check() {
			return
		}
		for range 1 + m.random.IntN(2) {
			m.after(m.upTo(9*time.Second)/time.Duration(1+m.random.IntN(20)), n, func() {
				if n.run == run && (m.mutation == noSecondCheck || check()) && m.bounds.FailClosed && !m.ever(key) {
					m.violation = errors.New("a request runs with a key past its time")
				}
			})
		}
	})
}

// ever reports whether some state that the store held within the revocation time has the key.
func (m *model) ever(key int) bool { return slices.Contains(m.heldWithin(revocation, key), true) }

// always reports whether all states that the store held within the apply time have the key.
func (m *model) always(key int) bool { return !slices.Contains(m.heldWithin(applyTimeout, key), false) }

// heldWithin says of each state that the store held within a time whether it has the key.
func (m *model) heldWithin(d time.Duration, key int) []bool {
	var held []bool
	for i, s := range m.states {
		if i+1 == len(m.states) || m.states[i+1].acked.After(m.now.Add(-d)) {
			held = append(held, s.held[key])
		}
	}
	return held
}

// disturb injects one random disturbance or change.
func (m *model) disturb() {
	n, other := m.nodes[m.random.IntN(len(m.nodes))], m.nodes[m.random.IntN(len(m.nodes))]
	length := m.upTo(9 * time.Second)
	switch m.random.IntN(8) {
	case 0, 1, 2: // a change of the desired state
		s := state{acked: m.now, held: m.states[len(m.states)-1].held}
		s.held[m.random.IntN(keys)] = m.random.IntN(2) == 0
		m.states = append(m.states, s)
	case 3:
		n.storeCut = m.now.Add(length)
	case 4:
		n.frozenUntil = m.now.Add(length)
		n.stepped -= length // as after a suspension, until it is set
	case 5: // in one direction
		n.cutFrom[other.id] = m.now.Add(length)
	case 6: // all killed, or one
		for _, killed := range m.nodes {
			if killed == n || length < time.Second {
				m.start(killed)
			}
		}
	case 7:
		n.stepped += m.upTo(20*time.Second) - 10*time.Second
	}
}

// play runs the model for a time, with requests, and stops at a violation.
func (m *model) play(d time.Duration) error {
	for end := m.now.Add(d); m.now.Before(end) && m.violation == nil; m.now = m.now.Add(step) {
		if m.disturbance != 0 && m.random.IntN(m.disturbance) == 0 {
			m.disturb()
		}
		waiting := m.queue
		m.queue = m.spare[:0]
		m.spare = waiting
		for _, e := range waiting {
			if e.at.After(m.now) || e.to != nil && m.now.Before(e.to.frozenUntil) {
				m.queue = append(m.queue, e)
			} else if e.to == nil || e.to.dead.IsZero() {
				e.do()
			}
		}
		for _, n := range m.nodes {
			switch {
			case m.now.Before(n.frozenUntil):
				n.frozen += step
			case n.dead.IsZero():
				m.tick(n)
			}
		}
		m.request(m.nodes[m.random.IntN(len(m.nodes))], m.random.IntN(keys))
	}
	return m.violation
}
