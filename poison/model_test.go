package poison_test

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/redwingnotch/redwingnotch/poison"
)

// Times of the model. The bounds are those of the platform's rules.
const (
	step           = 20 * time.Millisecond
	contactTimeout = 3 * time.Second
	maxLate        = 3 // sends of a poison request later than contactTimeout after the third server ended
	runTime        = 200 * time.Millisecond
	crashTime      = 60 * time.Millisecond // time for which a poison request runs
	restartTime    = 2 * time.Second
	publishedFor   = 1500 * time.Millisecond
	messagePeriod  = 200 * time.Millisecond
	modelLength    = 40 * time.Second
	commonContents = 3 // contents that many callers ask for again and again
)

// mutation is a fault of the wiring that the model must find.
type mutation string

const (
	none            mutation = "none"
	nodesApart      mutation = "nodes do not report ends to each other"
	answersIgnored  mutation = "a complete response shows nothing"
	startsForgotten mutation = "a node that starts is not told what others refuse"
)

var errInnocentRefused = errors.New("an innocent content is refused")

// attempt is a request that runs at a server.
type attempt struct {
	content poison.Key
	node    *modelNode
	began   time.Time
	repeats int // how often its caller has sent it before
}

// modelServer is a backend server.
type modelServer struct {
	id      int
	start   int
	backAt  time.Time
	running []attempt
}

// report is a message about an end that is on its way, or published for a while.
type report struct {
	poison.Report
	innocent []poison.Key
	until    time.Time
}

// modelNode is an entry node.
type modelNode struct {
	table     *poison.Table
	published []report
	readyAt   time.Time // it has just started and does not take requests
}

// model is a fleet under poison requests, other requests, and ends of servers without a
// cause.
type model struct {
	now      time.Time
	random   *rand.Rand
	mutation mutation
	starts   bool // nodes start anew
	resets   int  // resets of all connections that are to come
	servers  []*modelServer
	nodes    []*modelNode
	poisons  []poison.Key
	ends     map[poison.Key][]time.Time
	late     map[poison.Key]int
	next     poison.Key
}

// isPoison reports whether the content ends each server that runs it.
func (m *model) isPoison(content poison.Key) bool { return content <= poison.Key(len(m.poisons)) }

// maxRepeats is how often a caller sends an innocent request again whose server ended.
const maxRepeats = 3

// send runs a request at a server, unless its node refuses it. Requests that come at one
// time tend to meet at one server.
func (m *model) send(content poison.Key, repeats int) error {
	n := m.nodes[m.random.IntN(len(m.nodes))]
	if m.now.Before(n.readyAt) {
		return nil
	}
	if n.table.Refused(m.now, content) > 0 {
		if !m.isPoison(content) {
			return fmt.Errorf("at %v: %w", m.now.Sub(time.Unix(0, 0)), errInnocentRefused)
		}
		return nil
	}
	if ends := m.ends[content]; len(ends) >= poison.MaxEnds && m.now.Sub(ends[poison.MaxEnds-1]) > contactTimeout {
		m.late[content]++
	}
	first := m.random.IntN(len(m.servers))
	if m.random.IntN(4) > 0 {
		first = int(m.now.Sub(time.Unix(0, 0)) / time.Second)
	}
	for i := range m.servers {
		if s := m.servers[(first+i)%len(m.servers)]; !m.now.Before(s.backAt) {
			s.running = append(s.running, attempt{content, n, m.now, repeats})
			break
		}
	}
	return nil
}

// endServer ends the server; its nodes report it, and callers of innocent requests may send
// them once more.
func (m *model) endServer(s *modelServer, crashed bool) error {
	byNode := map[*modelNode][]poison.Key{}
	for _, a := range s.running {
		byNode[a.node] = append(byNode[a.node], a.content)
		if m.isPoison(a.content) && crashed && m.now.Sub(a.began) >= crashTime {
			if ends := m.ends[a.content]; len(ends) == 0 || !ends[len(ends)-1].Equal(m.now) { // two copies end one server
				m.ends[a.content] = append(ends, m.now)
			}
		}
	}
	again := s.running
	s.running = nil
	if crashed {
		s.backAt = m.now.Add(restartTime)
	}
	for n, keys := range byNode {
		if crashed {
			m.report(n, s, keys)
		}
	}
	if crashed {
		s.start++
	}
	for _, a := range again {
		if limit := map[bool]int{true: 1, false: maxRepeats}[m.isPoison(a.content)]; a.repeats < limit {
			if err := m.send(a.content, a.repeats+1); err != nil {
				return err
			}
		}
	}
	return nil
}

// report records that the server ended under requests of the node and publishes it.
func (m *model) report(n *modelNode, s *modelServer, keys []poison.Key) {
	end := poison.End(s.id*1000 + s.start)
	r := poison.Report{End: end, At: m.now, Keys: keys}
	n.table.Record(m.now, r)
	n.published = append(n.published, report{Report: r, until: m.now.Add(publishedFor)})
}

// finish ends the attempts that have run long enough, and the servers under poison.
func (m *model) finish() error {
	for _, s := range m.servers {
		left := s.running[:0:0]
		crash := false
		for _, a := range s.running {
			switch {
			case m.isPoison(a.content) && m.now.Sub(a.began) >= crashTime:
				crash = true
				left = append(left, a)
			case m.now.Sub(a.began) >= runTime:
				if m.mutation != answersIgnored && a.node.table.Answered(m.now, a.content) {
					a.node.published = append(a.node.published, report{innocent: []poison.Key{a.content}, until: m.now.Add(publishedFor)})
				}
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
		for _, r := range n.published {
			if m.now.Before(r.until) {
				kept = append(kept, r)
			}
		}
		n.published = kept
		for _, other := range m.nodes {
			if other == n || m.random.IntN(5) == 0 {
				continue
			}
			for _, r := range kept {
				for _, k := range other.table.Record(m.now, r.Report) {
					other.published = append(other.published, report{innocent: []poison.Key{k}, until: m.now.Add(publishedFor)})
				}
				for _, k := range r.innocent {
					other.table.Answered(m.now, k)
				}
			}
			if m.mutation == startsForgotten {
				continue
			}
			for _, r := range n.table.Reports(32) {
				other.table.Record(m.now, r)
			}
			for _, r := range n.table.Refusals(m.now, 32) {
				other.table.Refuse(m.now, r.Key, r.Last)
			}
		}
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
				n.table, n.published, n.readyAt = poison.New(), nil, m.now.Add(contactTimeout)
			}
		}
	}
	return nil
}

// run plays one seed with a number of poison requests, and starts of nodes if they are asked
// for.
func run(seed uint64, poisons int, starts bool, how mutation) error {
	start := time.Unix(0, 0)
	m := &model{now: start, random: rand.New(rand.NewPCG(seed, 27)), mutation: how, starts: starts, ends: map[poison.Key][]time.Time{}, late: map[poison.Key]int{}, next: 1000}
	for id := range 5 {
		m.servers = append(m.servers, &modelServer{id: id})
	}
	for range 5 {
		m.nodes = append(m.nodes, &modelNode{table: poison.New()})
	}
	for i := range poisons {
		m.poisons = append(m.poisons, poison.Key(i+1))
	}
	for m.now.Sub(start) < modelLength {
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
	return nil
}

// step plays one step.
func (m *model) step() error {
	if err := m.disturb(); err != nil {
		return err
	}
	if m.now.Sub(time.Unix(0, 0)) > 2*time.Second {
		for _, k := range m.poisons {
			if m.random.IntN(25) == 0 {
				if err := m.send(k, 0); err != nil {
					return err
				}
			}
		}
	}
	for range 2 {
		m.next++
		content := m.next
		if m.random.IntN(4) == 0 {
			content = poison.Key(100 + m.random.IntN(commonContents))
		}
		if err := m.send(content, 0); err != nil {
			return err
		}
	}
	if err := m.finish(); err != nil {
		return err
	}
	m.exchange()
	for _, n := range m.nodes {
		n.table.Decide(m.now)
	}
	return nil
}

// modelSeeds is the number of seeds of a run.
var modelSeeds = flag.Int("model-seeds", 40, "number of seeds of the model")

// TestModelPoisonIsBoundedAndInnocentsServed guards against a poison request that is sent
// on and on, and against innocent requests that are refused for the company in which they
// ran: ends without a cause, resets and lost messages.
func TestModelPoisonIsBoundedAndInnocentsServed(t *testing.T) {
	for seed := range uint64(*modelSeeds) {
		if err := run(seed, int(seed%3), false, none); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// TestModelSeveralPoisonsAtOnce guards against three poison requests that hide behind each
// other: they run side by side, and each end has several explanations.
func TestModelSeveralPoisonsAtOnce(t *testing.T) {
	for seed := range uint64(*modelSeeds) {
		if err := run(seed, 3, seed%2 == 1, none); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// TestModelPoisonWhileNodesStart guards against a poison request of which the nodes that
// reported its ends have been started anew.
func TestModelPoisonWhileNodesStart(t *testing.T) {
	for seed := range uint64(*modelSeeds) {
		if err := run(seed, int(seed%2), true, none); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// TestModelFindsMutations checks that the model finds each fault that it is to guard
// against.
func TestModelFindsMutations(t *testing.T) {
	for _, tc := range []struct {
		how     mutation
		poisons int
		want    error // nil: any
	}{
		{nodesApart, 1, nil},
		{answersIgnored, 0, errInnocentRefused},
		{startsForgotten, 1, nil},
	} {
		t.Run(string(tc.how), func(t *testing.T) {
			for seed := range uint64(*modelSeeds) {
				if err := run(seed, tc.poisons, tc.how == startsForgotten, tc.how); err != nil && (tc.want == nil || errors.Is(err, tc.want)) {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatalf("not found in %d seeds", *modelSeeds)
		})
	}
}
