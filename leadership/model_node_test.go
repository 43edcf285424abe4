package leadership_test

import (
	"errors"
	"time"

	"github.com/redwingnotch/redwingnotch/leadership"
)

// modelMessage is a message between nodes.
type modelMessage struct {
	from        int
	incarnation int
	sequence    uint64
	stopping    bool
	storeAge    time.Duration // since the store last responded to the sender
	leader      *modelLeaderState
}

// modelPeer is another node as a process knows it.
type modelPeer struct {
	modelMessage
	known    bool // a message was received
	received time.Time
}

// modelNode is a VM. At most one process runs on it at a time.
type modelNode struct {
	run          *modelRun
	index        int
	name         string
	process      *modelProcess // nil while none runs
	incarnations int
	frozen       bool
	deferred     []func() // what a resumed process does, in random order
}

// modelProcess is one process of a node.
type modelProcess struct {
	node               *modelNode
	incarnation        int
	startedAt          time.Time
	cell               *modelCell
	stopping           bool
	peers              []modelPeer // by node; that of this node is unused
	sequence           uint64
	leading            bool            // as of the last check
	orderPending       map[string]*int // by server: the order in flight that the loader knows of
	lastStoreContact   time.Time
	writesFailingSince time.Time
	lastSent           time.Time
	lastPeriodicSent   time.Time
	sendToAll          bool // a change still has to be sent
	era                uint64
	eraKnown           bool
}

// start starts a process on the node, unless one runs.
func (n *modelNode) start() {
	if n.process != nil {
		return
	}
	n.incarnations++
	n.run.logf("%s: process starts", n.name)
	p := &modelProcess{node: n, incarnation: n.incarnations, startedAt: n.run.now, peers: make([]modelPeer, len(n.run.nodes)), orderPending: map[string]*int{},
		cell: newModelCell(n.run.now, n.name, n.incarnations > 1 || n.run.chance(0.5))}
	n.process = p
	// A tick during a freeze is made up for once, like that of a time.Ticker.
	var tick func()
	tick = func() {
		p.tick()
		p.after(modelTickInterval, tick)
	}
	p.after(modelTickInterval, tick)
	p.after(n.run.upTo(time.Second), p.contactStore)
}

// exit ends the node's process and discards what it had left to do.
func (n *modelNode) exit() {
	n.process, n.frozen, n.deferred = nil, false, nil
}

// freeze suspends the node.
func (n *modelNode) freeze(d time.Duration) {
	if n.frozen || n.process == nil {
		return
	}
	n.frozen = true
	n.run.logf("%s: freezes for %v", n.name, d)
	p := n.process
	n.run.after(d, func() {
		if n.process == p {
			n.resume()
		}
	})
}

// resume ends a freeze. What was due during it happens now, in random order.
func (n *modelNode) resume() {
	r := n.run
	r.logf("%s: resumes", n.name)
	deferred := n.deferred
	n.frozen, n.deferred = false, nil
	p := n.process
	if r.chance(r.resumeFaultRate) {
		r.isolate(n)
	}
	r.random.Shuffle(len(deferred), func(i, j int) { deferred[i], deferred[j] = deferred[j], deferred[i] })
	for _, run := range deferred {
		p.after(r.upTo(4*time.Millisecond), run)
	}
}

// after schedules something that the process does, after the end of a freeze if it
// is frozen then.
func (p *modelProcess) after(d time.Duration, run func()) {
	p.node.run.after(d, func() { p.do(run) })
}

// do lets the process do something, or defers it to the end of a freeze.
func (p *modelProcess) do(run func()) {
	switch n := p.node; {
	case n.process != p:
	case n.frozen:
		n.deferred = append(n.deferred, run)
	default:
		run()
	}
}

// wakeUp returns a random time until a goroutine runs.
func (p *modelProcess) wakeUp() time.Duration {
	if p.node.run.chance(0.05) {
		return p.node.run.upTo(60 * time.Millisecond)
	}
	return p.node.run.upTo(2 * time.Millisecond)
}

// contactStore makes one of the store calls that do not concern the leadership.
func (p *modelProcess) contactStore() {
	r := p.node.run
	if r.store.serves(p.node.index) && r.store.refusing == 0 {
		era := r.store.era
		p.after(r.store.oneWay(), func() {
			p.lastStoreContact = r.now
			p.sawEra(era)
		})
	}
	p.after(r.between(200*time.Millisecond, 3*time.Second), p.contactStore)
}

// tick does the process's periodic work.
func (p *modelProcess) tick() {
	r := p.node.run
	if r.now.Sub(p.startedAt) >= modelDiscoveryDelay {
		p.reconcileLeadership()
	}
	if p.cell.core.Leading(r.now) {
		p.order()
	}
	p.publish()
}

// reconcileLeadership starts the next store call, if one is due.
func (p *modelProcess) reconcileLeadership() {
	r := p.node.run
	if !p.writesFailingSince.IsZero() && p.storeContactAfter(p.writesFailingSince) {
		if p.cell.core.Leading(r.now) {
			r.logf("%s: steps down", p.node.name)
		}
		p.cell.core.StepDown(r.now)
	}
	action := p.cell.core.Tick(r.now, leadership.Peers{
		LeaderAlive: p.leaderAlive(), SuccessorPosition: p.successorPosition(), Eligible: !p.stopping,
	})
	p.updateLeading()
	switch action.Kind {
	case leadership.Read:
		p.after(p.wakeUp(), p.read)
	case leadership.Write:
		p.after(p.wakeUp(), func() { p.write(action) })
	}
}

// updateLeading handles the gain or loss of the leadership.
func (p *modelProcess) updateLeading() {
	leading := p.cell.core.Leading(p.node.run.now)
	if leading == p.leading {
		return
	}
	p.leading = leading
	p.node.run.logf("%s: leading %v, token %d", p.node.name, leading, p.cell.core.Token())
	if leading {
		p.orderPending = map[string]*int{} // the loader forgets orders in flight
		p.node.run.faultOnGain(p.node)
	}
	p.sendToAll = true
	p.publish()
}

// read reads the record.
func (p *modelProcess) read() {
	r, done := p.node.run, false
	r.store.read(p, func(v modelAnswer, err error) {
		if done {
			return
		}
		done = true
		if err == nil && !p.sawEra(v.era) {
			err = errEarlierEra
		}
		r.logf("%s: read done: holder %q, token %d, renewal %d, version %d, error %v", p.node.name, v.record.Holder, v.record.Token, v.record.Renewal, v.version, err)
		p.cell.core.ReadDone(r.now, v.record, v.version, err)
		if err == nil {
			p.lastStoreContact = r.now
		}
	})
}

// write writes the record.
func (p *modelProcess) write(a leadership.Action) {
	r, sent, done := p.node.run, p.node.run.now, false
	r.logf("%s: sends write: token %d, renewal %d, version %d", p.node.name, a.Record.Token, a.Record.Renewal, a.Version)
	baseEra := a.Version >> modelEraShift
	if a.Version != 0 && baseEra < p.era {
		p.cell.core.WriteDone(r.now, a.Record, 0, leadership.Failed)
		return
	}
	r.store.write(p, a, func(answer modelAnswer) {
		if done {
			return
		}
		done = true
		result, earlier := answer.result, false
		if result != leadership.Unknown {
			result, earlier = p.resultInEra(a, answer)
		}
		r.logf("%s: write done: token %d, renewal %d, %s", p.node.name, a.Record.Token, a.Record.Renewal, modelResultNames[result])
		switch {
		case result == leadership.Written || result == leadership.Conflict:
			p.lastStoreContact, p.writesFailingSince = r.now, time.Time{}
		case p.writesFailingSince.IsZero() && !earlier:
			p.writesFailingSince = sent
		}
		p.cell.core.WriteDone(r.now, a.Record, answer.version, result)
	})
	r.faultOnWrite(p.node)
}

var errEarlierEra = errors.New("answer of an earlier era")

// sawEra records the era of an answer, and reports whether it is the present one.
func (p *modelProcess) sawEra(era uint64) bool {
	if p.eraKnown && era < p.era {
		return false
	}
	if !p.eraKnown || era > p.era {
		p.node.run.logf("%s: sees era %d", p.node.name, era)
	}
	p.era, p.eraKnown = era, true
	p.cell.core.SawEra(p.node.run.now, era)
	return true
}

// resultInEra returns the outcome of a write by an answer, as package platform and the node take it, and
// whether the condition or the answer is of an earlier era.
func (p *modelProcess) resultInEra(a leadership.Action, answer modelAnswer) (leadership.WriteResult, bool) {
	base := answer.era
	if a.Version != 0 {
		base = a.Version >> modelEraShift
	}
	if p.sawEra(answer.era) && base == answer.era {
		return answer.result, false
	}
	if answer.result == leadership.Written {
		return leadership.Unknown, true
	}
	return leadership.Failed, true
}

// modelResultNames names the outcomes of writes in the history.
var modelResultNames = map[leadership.WriteResult]string{
	leadership.Written: "written", leadership.Conflict: "conflict", leadership.Failed: "failed", leadership.Unknown: "unknown",
}

// order orders servers that have no order in flight.
func (p *modelProcess) order() {
	r := p.node.run
	for _, s := range r.servers {
		token, ok := p.cell.mayOrder(r.now, s.name)
		if !ok || p.orderPending[s.name] != nil || !r.chance(r.orderRate) {
			continue
		}
		id := new(int)
		p.orderPending[s.name] = id
		until := p.cell.orderDecided(r.now, s.name, token)
		finish := func() {
			p.cell.orderDone(r.now, s.name, token)
			if p.orderPending[s.name] == id {
				delete(p.orderPending, s.name)
			}
		}
		r.logOrderf("%s: decides to order %s with token %d until %.3f", p.node.name, s.name, token, until.Sub(start).Seconds())
		p.after(p.wakeUp(), func() { p.send(s, token, until, finish) })
	}
}

// send sends an order. No part of it leaves the node at or after the time until.
func (p *modelProcess) send(s *modelServer, token uint64, until time.Time, finish func()) {
	r := p.node.run
	left := until.Sub(r.now)
	if left <= 0 {
		finish()
		return
	}
	arrival := min(left, r.upTo(3*time.Millisecond))
	switch {
	case r.chance(0.2):
		arrival = r.upTo(left)
	case r.chance(0.05):
		p.after(left, finish)
		return
	}
	r.after(arrival, func() { s.arrive(p.node.index, token) })
	result := min(left, arrival+r.upTo(3*time.Millisecond))
	if r.chance(0.1) {
		result = left // the response is lost
	}
	p.after(result, finish)
}

// publish sends the process's state to the other nodes, if it is due.
func (p *modelProcess) publish() {
	r := p.node.run
	periodic := r.now.Sub(p.lastPeriodicSent) >= modelSendInterval
	if !periodic && !p.sendToAll || r.now.Sub(p.lastSent) < modelMinSendGap {
		return
	}
	p.lastSent, p.sendToAll = r.now, false
	if periodic {
		p.lastPeriodicSent = r.now
	}
	p.sequence++
	m := modelMessage{
		from: p.node.index, incarnation: p.incarnation, sequence: p.sequence, stopping: p.stopping,
		storeAge: r.now.Sub(p.lastStoreContact).Truncate(time.Millisecond), leader: p.cell.state(r.now),
	}
	for _, other := range r.nodes {
		if other != p.node {
			r.transmit(p.node.index, other.index, m)
		}
	}
}

// receive processes another node's message, unless a later one was received.
func (p *modelProcess) receive(m modelMessage) {
	r, peer := p.node.run, &p.peers[m.from]
	if peer.incarnation == m.incarnation && m.sequence <= peer.sequence {
		return
	}
	if m.leader != nil && !m.leader.leading && (peer.leader == nil || peer.leader.leading || peer.leader.token != m.leader.token) {
		r.logf("%s: learns that %s resigned token %d, last orders %v ago", p.node.name, r.nodes[m.from].name, m.leader.token, m.leader.orderAge)
	}
	*peer = modelPeer{modelMessage: m, known: true, received: r.now}
	p.cell.received(r.now, m.leader)
}

// alive reports whether a message was received from the peer lately.
func (p *modelProcess) alive(peer *modelPeer) bool {
	return peer.known && p.node.run.now.Sub(peer.received) < modelAliveTimeout
}

// leaderAlive reports whether another live node publishes that it leads.
func (p *modelProcess) leaderAlive() bool {
	for i := range p.peers {
		peer := &p.peers[i]
		if p.alive(peer) && peer.leader != nil && peer.leader.leading {
			return true
		}
	}
	return false
}

// successorPosition returns the number of live nodes that come before this one.
func (p *modelProcess) successorPosition() int {
	position := 0
	for i := range p.node.index {
		peer := &p.peers[i]
		if p.alive(peer) && !peer.stopping {
			position++
		}
	}
	return position
}

// storeContactAfter reports whether the store has responded to another live node
// after the time.
func (p *modelProcess) storeContactAfter(at time.Time) bool {
	for i := range p.peers {
		peer := &p.peers[i]
		if p.alive(peer) && peer.received.Add(-peer.storeAge).After(at.Add(modelContactSlack)) {
			return true
		}
	}
	return false
}
