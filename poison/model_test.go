package poison_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/poison"
)

// Times of the model. The bounds are those of the platform's rules.
const (
	step           = 20 * time.Millisecond
	contactTimeout = 3 * time.Second
	maxLate        = 3 // sends of a poison request later than contactTimeout after the last end that is free
	maxPartEnds    = 5 // ends that are free for a part of prompts; poison.MaxEnds for a content
	runTime        = 200 * time.Millisecond
	crashTime      = 60 * time.Millisecond // time for which a poison request runs
	restartTime    = 2 * time.Second
	publishedFor   = 1500 * time.Millisecond
	messagePeriod  = 200 * time.Millisecond
	modelLength    = 40 * time.Second
	commonContents = 3  // contents that many callers ask for again and again
	middleParts    = 30 // second parts of the prompts of sound requests
	soundAfter     = 2 * contactTimeout
	minSoundShare  = 0.5 // least share of the sound requests with the bad request's other parts that are let through
	minSoundCount  = 20  // requests from which that share counts
)

// mutation is a fault of the wiring that the model must find.
type mutation string

const (
	none            mutation = "none"
	nodesApart      mutation = "nodes do not report ends to each other"
	answersIgnored  mutation = "a complete response shows nothing"
	startsForgotten mutation = "a node that starts is not told what others refuse"
	contentsOnly    mutation = "only whole contents are traits"
	partsApart      mutation = "traits that were seen together are refused one by one"
	notStored       mutation = "refusals are not kept when all nodes start anew"
	cutAnswers      mutation = "a response that a crash cut off counts as complete"
)

var (
	errInnocentRefused = errors.New("an innocent request is refused")
	errSoundRefused    = errors.New("most sound requests that share a part are refused")
)

// scenario says what a run of the model plays.
type scenario struct {
	contents  int  // poison contents
	parts     int  // poison parts of prompts
	firstPart bool // the poison part comes first, else behind the part that the sound requests share
	quiet     bool // few sound requests share the first part
	sameAside bool // the other part of the poison requests' prompts is always the same
	starts    bool // nodes start anew
	allStart  bool // all nodes start anew once, some time after the refusal
}

// trait classes of the model. Contents are counted upwards from newContents.
const (
	poisonContents poison.Key = 1
	poisonParts    poison.Key = 100
	sharedPart     poison.Key = 200 // first part of all sound prompts
	otherParts     poison.Key = 300
	repeated       poison.Key = 500 // contents that are repeated
	newContents    poison.Key = 1000
)

// request is what a caller asks for.
type request struct {
	traits []poison.Key // the content, and the parts of the prompt
	bad    poison.Key   // the trait that ends servers; zero if there is none
	shares bool         // it is sound and shares the first part of poison prompts
}

// attempt is a request that runs at a server.
type attempt struct {
	request
	node    *modelNode
	began   time.Time
	repeats int // how often its caller has sent it before
}

// modelServer is a backend server.
type modelServer struct {
	id, start int
	backAt    time.Time
	running   []attempt
}

// news is what a node publishes for a while.
type news struct {
	report   *poison.Report
	answered []poison.Key
	at       time.Time // when the responses were completed
	until    time.Time
}

// modelNode is an entry node.
type modelNode struct {
	table     *poison.Table
	published []news
	readyAt   time.Time // it has just started and does not take requests
}

// model is a fleet under poison requests, other requests, and ends of servers without a
// cause.
type model struct {
	scenario
	now      time.Time
	random   *rand.Rand
	mutation mutation
	resets   int // resets of all connections that are to come
	servers  []*modelServer
	nodes    []*modelNode
	stored   []poison.Refusal
	ends     map[poison.Key][]time.Time
	late     map[poison.Key]int
	next     poison.Key
	sound    struct{ sent, passed int }
}

// freeEnds returns how many servers may end under a poison trait before a refusal is due.
func freeEnds(bad poison.Key) int {
	if bad >= poisonParts {
		return maxPartEnds
	}
	return poison.MaxEnds
}

// maxRepeats is how often a caller sends an innocent request again whose server ended.
const maxRepeats = 3

// traits returns the traits that the nodes know of the request.
func (m *model) traits(r request) []poison.Key {
	if m.mutation == contentsOnly {
		return r.traits[:1]
	}
	return r.traits
}

// refused reports whether the node refuses the request.
func (m *model) refused(n *modelNode, r request) bool {
	if m.mutation == partsApart {
		return slices.ContainsFunc(n.table.Refusals(m.now, 32), func(v poison.Refusal) bool {
			return slices.ContainsFunc(v.Traits, func(k poison.Key) bool { return slices.Contains(r.traits, k) })
		})
	}
	return n.table.Refused(m.now, m.traits(r)) > 0
}

// send runs a request at a server, unless its node refuses it. Requests that come at one
// time tend to meet at one server.
func (m *model) send(r request, repeats int) error {
	n := m.nodes[m.random.IntN(len(m.nodes))]
	if m.now.Before(n.readyAt) {
		return nil
	}
	refused := m.refused(n, r)
	if r.shares && m.bound(poisonParts, soundAfter) {
		m.sound.sent++
		if !refused {
			m.sound.passed++
		}
	}
	if refused {
		if r.bad == 0 && !r.shares {
			return fmt.Errorf("at %v: %v: %w", m.now.Sub(time.Unix(0, 0)), r.traits, errInnocentRefused)
		}
		return nil
	}
	if r.bad != 0 && m.bound(r.bad, contactTimeout) {
		m.late[r.bad]++
	}
	first := m.random.IntN(len(m.servers))
	if m.random.IntN(4) > 0 {
		first = int(m.now.Sub(time.Unix(0, 0)) / time.Second)
	}
	for i := range m.servers {
		if s := m.servers[(first+i)%len(m.servers)]; !m.now.Before(s.backAt) {
			s.running = append(s.running, attempt{r, n, m.now, repeats})
			break
		}
	}
	return nil
}

// bound reports whether the last free end under the trait is longer ago than a time.
func (m *model) bound(bad poison.Key, after time.Duration) bool {
	ends, free := m.ends[bad], freeEnds(bad)
	return len(ends) >= free && m.now.Sub(ends[free-1]) > after
}

// endServer ends the server; its nodes report it, and callers of innocent requests may send
// them once more.
func (m *model) endServer(s *modelServer, crashed bool) error {
	byNode := map[*modelNode]*poison.Report{}
	for _, a := range s.running {
		if byNode[a.node] == nil {
			byNode[a.node] = &poison.Report{End: poison.End(s.id*1000 + s.start), At: m.now}
		}
		byNode[a.node].Requests = append(byNode[a.node].Requests, poison.Request{Traits: m.traits(a.request)})
		if a.bad != 0 && crashed && m.now.Sub(a.began) >= crashTime {
			if ends := m.ends[a.bad]; len(ends) == 0 || !ends[len(ends)-1].Equal(m.now) { // two copies end one server
				m.ends[a.bad] = append(ends, m.now)
			}
			if m.mutation == cutAnswers {
				m.answered(a)
			}
		}
	}
	again := s.running
	s.running = nil
	if crashed {
		s.backAt = m.now.Add(restartTime)
		for n, r := range byNode {
			n.table.Record(m.now, *r)
			n.published = append(n.published, news{report: r, until: m.now.Add(publishedFor)})
		}
		s.start++
	}
	for _, a := range again {
		if limit := map[bool]int{true: 1, false: maxRepeats}[a.bad != 0]; a.repeats < limit {
			if err := m.send(a.request, a.repeats+1); err != nil {
				return err
			}
		}
	}
	return nil
}

// answered records a complete response at the attempt's node.
func (m *model) answered(a attempt) {
	if m.mutation == answersIgnored {
		return
	}
	traits := m.traits(a.request)
	if a.node.table.Answered(m.now, m.now, traits...) {
		a.node.published = append(a.node.published, news{answered: traits, at: m.now, until: m.now.Add(publishedFor)})
	}
}

// finish ends the attempts that have run long enough, and the servers under poison.
func (m *model) finish() error {
	for _, s := range m.servers {
		left := s.running[:0:0]
		crash := false
		for _, a := range s.running {
			switch {
			case a.bad != 0 && m.now.Sub(a.began) >= crashTime:
				crash = true
				left = append(left, a)
			case m.now.Sub(a.began) >= runTime:
				m.answered(a)
			default:
				left = append(left, a)
			}
		}
		s.running = left
		if crash {
			if err := m.endServer(s, true); err != nil {
				return err
			}
		}
	}
	return nil
}

// exchange delivers what the nodes publish; some messages are lost.
func (m *model) exchange() {
	if m.mutation == nodesApart || m.now.Sub(time.Unix(0, 0))%messagePeriod != 0 {
		return
	}
	for _, n := range m.nodes {
		kept := n.published[:0:0]
		for _, p := range n.published {
			if m.now.Before(p.until) {
				kept = append(kept, p)
			}
		}
		n.published = kept
		reports, refusals := n.table.Reports(32), n.table.Refusals(m.now, 32)
		for _, other := range m.nodes {
			if other == n || m.random.IntN(5) == 0 {
				continue
			}
			for _, p := range kept {
				m.deliver(other, p)
			}
			if m.mutation == startsForgotten {
				continue
			}
			for _, r := range reports {
				other.table.Record(m.now, r)
			}
			for _, r := range refusals {
				other.table.Refuse(m.now, r)
			}
		}
	}
}

// deliver hands one item of news to a node.
func (m *model) deliver(n *modelNode, p news) {
	if p.report == nil {
		n.table.Answered(m.now, p.at, p.answered...)
		return
	}
	for _, k := range n.table.Record(m.now, *p.report) {
		n.published = append(n.published, news{answered: []poison.Key{k}, at: n.table.AnsweredAt(k), until: m.now.Add(publishedFor)})
	}
}

// restart starts a node anew. It is told what was refused before, unless that is not kept.
func (m *model) restart(n *modelNode) {
	n.table, n.published, n.readyAt = poison.New(), nil, m.now.Add(contactTimeout)
	if m.mutation == notStored || m.mutation == startsForgotten {
		return
	}
	for _, r := range m.stored {
		n.table.Refuse(m.now, r)
	}
}

// disturb lets servers end without a cause and nodes start anew.
func (m *model) disturb() error {
	if m.resets > 0 && m.now.Sub(time.Unix(0, 0))%(runTime/2) == 0 {
		m.resets--
		for _, s := range m.servers {
			if err := m.endServer(s, false); err != nil {
				return err
			}
		}
	}
	if m.allStart && m.now.Sub(time.Unix(0, 0)) == modelLength/2 {
		for _, n := range m.nodes {
			m.restart(n)
		}
	}
	switch m.random.IntN(300) {
	case 0: // all servers of a rack end at once
		for _, s := range m.servers {
			if m.random.IntN(3) == 0 {
				if err := m.endServer(s, true); err != nil {
					return err
				}
			}
		}
	case 1, 2, 3, 4: // connections are reset, in a series
		m.resets = 4
	case 5: // some nodes start anew, and take requests once they are in contact
		for _, n := range m.nodes[:len(m.nodes)-1] {
			if m.random.IntN(2) == 0 && m.starts {
				m.restart(n)
			}
		}
	}
	return nil
}

// newModel returns a model with five servers and five nodes.
func newModel(seed uint64, s scenario, how mutation) *model {
	m := &model{scenario: s, now: time.Unix(0, 0), random: rand.New(rand.NewPCG(seed, 27)), mutation: how,
		ends: map[poison.Key][]time.Time{}, late: map[poison.Key]int{}, next: newContents}
	for id := range 5 {
		m.servers = append(m.servers, &modelServer{id: id})
	}
	for range 5 {
		m.nodes = append(m.nodes, &modelNode{table: poison.New()})
	}
	return m
}

// run plays one seed of a scenario.
func run(seed uint64, s scenario, how mutation) error {
	m := newModel(seed, s, how)
	for m.now.Sub(time.Unix(0, 0)) < modelLength {
		if err := m.step(); err != nil {
			return err
		}
		m.now = m.now.Add(step)
	}
	for k, late := range m.late {
		if late > maxLate {
			return fmt.Errorf("poison %d was sent %d times too late", k, late)
		}
	}
	if m.sound.sent >= minSoundCount && float64(m.sound.passed) < minSoundShare*float64(m.sound.sent) {
		return fmt.Errorf("%d of %d: %w", m.sound.sent-m.sound.passed, m.sound.sent, errSoundRefused)
	}
	return nil
}

// newContent returns the content of a request that has not been sent before.
func (m *model) newContent() poison.Key { m.next++; return m.next }

// badPart returns a request with a poison part: no two are alike.
func (m *model) badPart(i int) request {
	bad, aside := poisonParts+poison.Key(i), otherParts+poison.Key(m.random.IntN(middleParts))
	if m.sameAside {
		aside = otherParts
	}
	if m.firstPart {
		return request{traits: []poison.Key{m.newContent(), bad, aside}, bad: bad}
	}
	if m.random.IntN(4) > 0 || m.sameAside {
		return request{traits: []poison.Key{m.newContent(), sharedPart, bad}, bad: bad}
	}
	return request{traits: []poison.Key{m.newContent(), sharedPart, bad, aside}, bad: bad}
}

// step plays one step.
func (m *model) step() error {
	if err := m.disturb(); err != nil {
		return err
	}
	if m.now.Sub(time.Unix(0, 0)) > 2*time.Second {
		for i := range m.contents {
			if k := poisonContents + poison.Key(i); m.random.IntN(25) == 0 {
				if err := m.send(request{traits: []poison.Key{k}, bad: k}, 0); err != nil {
					return err
				}
			}
		}
		for i := range m.parts {
			if m.random.IntN(25) == 0 {
				if err := m.send(m.badPart(i), 0); err != nil {
					return err
				}
			}
		}
	}
	if err := m.sendInnocent(); err != nil {
		return err
	}
	if err := m.finish(); err != nil {
		return err
	}
	m.exchange()
	for _, n := range m.nodes {
		refused, _ := n.table.Decide(m.now)
		m.stored = append(m.stored, refused...)
	}
	return nil
}

// sendInnocent sends what the other callers ask for.
func (m *model) sendInnocent() error {
	for range 2 {
		r := request{traits: []poison.Key{m.newContent()}}
		if m.random.IntN(4) == 0 {
			r.traits = []poison.Key{repeated + poison.Key(m.random.IntN(commonContents))}
		}
		if err := m.send(r, 0); err != nil {
			return err
		}
	}
	every := 4
	if m.quiet {
		every = 60
	}
	if m.parts > 0 && m.random.IntN(every) == 0 {
		aside := otherParts + poison.Key(m.random.IntN(middleParts))
		return m.send(request{traits: []poison.Key{m.newContent(), sharedPart, aside}, shares: true}, 0)
	}
	return nil
}
