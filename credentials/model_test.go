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
	callTimeout  = 700 * time.Millisecond
	messageEvery = 200 * time.Millisecond
	aliveTimeout = 1200 * time.Millisecond
	keys         = 6
	maxMesh      = 9 // nodes up to which all send each other messages; beyond, they know which live
)

var bounds = credentials.Bounds{FailClosed: true, Revocation: 5 * time.Second, Apply: 3 * time.Second}

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
	id, run                     int
	sync                        *configsync.Core
	checker                     *credentials.Checker
	refresher                   *credentials.Refresher
	unread                      []func() // replies once more after a read
	storeCut, frozenUntil, dead time.Time
	offset, frozen, stepped     time.Duration     // of the boot clock, of all freezes, and of the time of day
	heard, cutFrom              map[int]time.Time // when a message of a node came; until when none does
}

// model is a store, nodes, their callers, and what is on the way between them.
type model struct {
	bounds                     credentials.Bounds
	now                        time.Time
	random                     *rand.Rand
	mutation                   mutation
	disturbEvery               int // steps; zero for never
	nodes                      []*modelNode
	states                     []state
	queue, spare               []due // spare is for the next queue
	calls, datagrams, unjudged int   // calls to the store, queries and replies, and requests rejected for want of a confirmation
	violation                  error
}

func newModel(seed uint64, nodes int, how mutation) *model {
	m := &model{bounds: bounds, now: time.Unix(0, 0), random: rand.New(rand.NewPCG(seed, 44)), mutation: how}
	m.bounds.FailClosed = seed%3 != 0
	m.states = []state{{acked: m.now, held: [keys]bool{true, true, true}}}
	for id := range nodes {
		m.nodes = append(m.nodes, &modelNode{id: id, offset: m.upTo(1000 * time.Second), cutFrom: map[int]time.Time{}})
	}
	for _, n := range m.nodes {
		m.start(n)
	}
	return m
}

func (m *model) start(n *modelNode) {
	spread := float64(n.id) / float64(len(m.nodes))
	n.sync = configsync.New(m.clock(n), configsync.Settings{ApplyTimeout: bounds.Apply, Spread: spread})
	n.checker, n.refresher = credentials.NewChecker(m.bounds), credentials.NewRefresher(m.bounds, spread)
	n.run, n.heard, n.unread = n.run+1, map[int]time.Time{}, nil
}

func (m *model) upTo(d time.Duration) time.Duration { return time.Duration(m.random.Int64N(int64(d))) }

// clock returns the time by the node's clock, which has nothing to do with those of others.
func (m *model) clock(n *modelNode) time.Time {
	switch m.mutation {
	case frozenClock:
		return m.now.Add(n.offset - n.frozen)
	case timeOfDay:
		return m.now.Add(n.offset + n.stepped)
	}
	return m.now.Add(n.offset)
}

// delay returns how long something is on its way: usually a millisecond, at times very long.
func (m *model) delay() time.Duration {
	if m.disturbEvery != 0 && m.random.IntN(30) == 0 {
		return m.upTo(7 * time.Second)
	}
	return time.Millisecond
}

func (m *model) after(d time.Duration, to *modelNode, do func()) {
	m.queue = append(m.queue, due{m.now.Add(d), to, do})
}

// send delivers a datagram, unless it is lost or the receiver is cut off from the sender.
func (m *model) send(from, to *modelNode, do func()) {
	if !m.now.Before(to.cutFrom[from.id]) && (m.disturbEvery == 0 || m.random.IntN(10) != 0) {
		m.after(m.delay(), to, do)
	}
}

// succession returns the other nodes that the node takes to be alive, in the order of their IDs, and
// whether it comes first itself.
func (m *model) succession(n *modelNode) (live []*modelNode, first bool) {
	for _, other := range m.nodes {
		heard := n.heard[other.id]
		if len(m.nodes) > maxMesh {
			if heard = other.dead; heard.IsZero() {
				heard = m.now
			}
		}
		if other != n && !heard.IsZero() && m.now.Sub(heard) < aliveTimeout {
			live = append(live, other)
		}
	}
	return live, len(live) == 0 || live[0].id > n.id
}

// call makes a call to the store: a watch, which ends with a change or with its wait, or a read.
func (m *model) call(n *modelNode, w *configsync.Watch) {
	m.calls++
	run, sent, timeout, ends := n.run, m.clock(n), callTimeout, m.now.Add(m.delay()%callTimeout)
	if w != nil {
		timeout, ends = w.Timeout, ends.Add(w.Wait)
	}
	if m.now.Before(n.storeCut) {
		m.after(timeout, n, func() { m.called(n, run, w, sent, 0, errStore) })
		return
	}
	var poll func()
	poll = func() {
		version := len(m.states)
		if m.now.Before(ends) && (w == nil || uint64(version) <= w.Revision) {
			m.after(step, nil, poll)
			return
		}
		m.after(m.delay()%callTimeout, n, func() { m.called(n, run, w, sent, version, nil) })
	}
	poll()
}

// called handles the end of a call, as the front does.
func (m *model) called(n *modelNode, run int, w *configsync.Watch, sent time.Time, version int, err error) {
	if n.run != run {
		return
	}
	now, asOf, stale := m.clock(n), sent, n.sync.Status(m.clock(n)).Stale
	changed := w != nil && uint64(version) > w.Revision
	if err == nil {
		m.putInForce(n, version)
		if w != nil && !changed && !now.Before(sent.Add(w.Wait)) {
			asOf = sent.Add(w.Wait)
		}
		n.checker.ConfirmOwn(asOf)
	}
	if w != nil {
		n.sync.WatchDone(now, sent, uint64(version), changed, err)
	} else {
		for _, reply := range n.unread {
			reply()
		}
		_, watches := m.succession(n)
		n.unread = nil
		n.sync.ReadDone(now, sent, uint64(version), err, watches)
	}
	if err == nil && (stale || len(m.nodes) > maxMesh) {
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

// tick lets the node do its periodic work, as the front does.
func (m *model) tick(n *modelNode) {
	live, watches := m.succession(n)
	actions := n.sync.Tick(m.clock(n), watches)
	if actions.Read {
		m.call(n, nil)
	}
	if actions.Watch != nil {
		m.call(n, actions.Watch)
	}
	next := n.refresher.Tick(m.clock(n), n.checker, watches, m.random.Uint64())
	if next.Read {
		n.sync.RequestRead()
	}
	asked := live[:min(1, len(live))]
	if next.Ask == credentials.AskOthers {
		asked = live[len(asked):min(3, len(live))]
	}
	for _, other := range asked {
		if next.Ask != credentials.AskNone {
			m.datagrams++
			m.send(n, other, func() { m.queried(n, other, next.Nonce) })
		}
	}
	// The others of a large fleet tell nothing that these do not.
	if m.now.Sub(time.Unix(0, 0))%messageEvery == 0 && n.id < maxMesh {
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

// check checks a key at a node, and reports whether it is accepted.
func (m *model) check(n *modelNode, key int) bool {
	d := n.checker.Check(m.clock(n), credentials.Key{Form: credentials.Present, Hash: routes.KeyHash{byte(key)}})
	if d.Refresh {
		n.refresher.Hurry()
	}
	if m.mutation == judgedBehind && d.Result == credentials.Behind {
		d.Result = credentials.Unknown
	}
	switch {
	case d.Result == credentials.Accepted:
		return true
	case !d.Result.Final():
		m.unjudged++
	case !slices.Contains(m.heldWithin(bounds.Apply, key), false):
		m.violation = errors.New("401 for a key that each state in force holds")
	}
	return false
}

// request lets a caller send a request with a key to the node. It may wait, and may need a second
// attempt.
func (m *model) request(n *modelNode, key int) {
	run := n.run
	if !m.check(n, key) {
		return
	}
	for range 1 + m.random.IntN(2) {
		m.after(m.upTo(9*time.Second)/time.Duration(1+m.random.IntN(20)), n, func() {
			sent := n.run == run && (m.mutation == noSecondCheck || m.check(n, key))
			if sent && m.bounds.FailClosed && !slices.Contains(m.heldWithin(bounds.Revocation, key), true) {
				m.violation = errors.New("a request runs with a key past its time")
			}
		})
	}
}

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
	n, other, length := m.nodes[m.random.IntN(len(m.nodes))], m.nodes[m.random.IntN(len(m.nodes))], m.upTo(9*time.Second)
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

// play runs the model for a time, with a request in each step, and stops at a violation.
func (m *model) play(d time.Duration) error {
	for end := m.now.Add(d); m.now.Before(end) && m.violation == nil; m.now = m.now.Add(step) {
		if m.disturbEvery != 0 && m.random.IntN(m.disturbEvery) == 0 {
			m.disturb()
		}
		m.queue, m.spare = m.spare[:0], m.queue
		for _, e := range m.spare {
			if e.at.After(m.now) || e.to != nil && m.now.Before(e.to.frozenUntil) {
				m.queue = append(m.queue, e)
			} else if e.to == nil || e.to.dead.IsZero() {
				e.do()
			}
		}
		for _, n := range m.nodes {
			if m.now.Before(n.frozenUntil) {
				n.frozen += step
			} else if n.dead.IsZero() {
				m.tick(n)
			}
		}
		n, key := m.nodes[m.random.IntN(len(m.nodes))], m.random.IntN(keys)
		m.after(0, n, func() { m.request(n, key) })
	}
	return m.violation
}
