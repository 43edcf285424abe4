package leadership_test

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// Seeds of TestModelNoTwoNodesOrderOneServer.
var (
	modelSeed  = flag.Uint64("leadership-seed", 0, "run only this seed of the leadership model; zero runs seeds from 1")
	modelSeeds = flag.Uint64("leadership-seeds", 100, "number of seeds of the leadership model to run")
)

const (
	modelDuration     = time.Minute      // virtual time of one run
	modelHistory      = 15 * time.Second // part of the history that a failure prints
	modelOrderHistory = 4 * time.Second  // part of it in which orders are printed
	modelServers      = 3                // most backend servers of a run; the fewest is one less
)

// modelEvent is something that happens at a point of virtual time.
type modelEvent struct {
	at       time.Time
	sequence uint64 // orders events of the same time
	run      func()
}

// modelQueue is a heap of events in the order of their times.
type modelQueue []*modelEvent

func (q modelQueue) Len() int { return len(q) }
func (q modelQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}
func (q modelQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *modelQueue) Push(x any)   { *q = append(*q, x.(*modelEvent)) }
func (q *modelQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return e
}

// modelEntry is one line of a run's history. It is formatted only if it is printed.
type modelEntry struct {
	at     time.Time
	order  bool // it concerns a single order
	format string
	args   []any
}

// modelRun is one run of the model: the nodes of a cell, its servers, the store and
// the network between them. A seed determines everything that happens in it.
type modelRun struct {
	random          *rand.Rand
	now             time.Time
	queue           modelQueue
	sequence        uint64
	store           *modelStore
	nodes           []*modelNode
	servers         []*modelServer
	owners          map[uint64]int // node that first ordered with the token
	cut             map[[2]int]int // by pair of nodes, the lower first: number of cuts in force
	orderRate       float64        // probability that a leader orders an idle server in a tick
	lossRate        float64        // probability that a message is lost
	delayRate       float64        // probability that a message is delayed
	writeFaultRate  float64        // probability of a fault while a write is on its way
	lastLeader      int            // node that gained the leadership last
	gainFaultRate   float64        // probability of a fault soon after the leadership was gained
	resumeFaultRate float64        // probability that a node is isolated when it is resumed
	history         []modelEntry
	violation       string // first violation of a rule; empty if there is none
	orders          int    // orders that arrived
}

// newModelRun returns the run of a seed, before its first event.
func newModelRun(seed uint64) *modelRun {
	r := &modelRun{random: rand.New(rand.NewPCG(seed, 0)), now: start, owners: map[uint64]int{}, cut: map[[2]int]int{}}
	r.store = &modelStore{run: r, delay: time.Millisecond, unserved: map[int]int{}}
	r.orderRate = []float64{0.02, 0.1, 0.5, 1}[r.random.IntN(4)]
	for i := range modelServers - r.random.IntN(2) {
		r.servers = append(r.servers, &modelServer{run: r, name: fmt.Sprint("s", i+1), lastArrival: map[int]time.Time{}})
	}
	for i := range 3 + r.random.IntN(3) {
		n := &modelNode{run: r, index: i, name: string(rune('A' + i))}
		r.nodes = append(r.nodes, n)
		r.after(r.upTo(500*time.Millisecond), n.start)
	}
	r.scheduleFaults()
	return r
}

// play runs the events up to modelDuration or the first violation.
func (r *modelRun) play() {
	for end := start.Add(modelDuration); len(r.queue) > 0 && r.violation == ""; {
		e := heap.Pop(&r.queue).(*modelEvent)
		if e.at.After(end) {
			return
		}
		r.now = e.at
		e.run()
	}
}

// after schedules an event.
func (r *modelRun) after(d time.Duration, run func()) {
	r.sequence++
	heap.Push(&r.queue, &modelEvent{r.now.Add(d), r.sequence, run})
}

// upTo returns a random duration of at most d, in whole milliseconds.
func (r *modelRun) upTo(d time.Duration) time.Duration { return r.between(0, d) }

// between returns a random duration, in whole milliseconds, between the limits
// inclusive.
func (r *modelRun) between(from, to time.Duration) time.Duration {
	return from + time.Duration(r.random.Int64N((to-from).Milliseconds()+1))*time.Millisecond
}

// chance reports true with the probability.
func (r *modelRun) chance(probability float64) bool { return r.random.Float64() < probability }

// logf adds a line to the history.
func (r *modelRun) logf(format string, args ...any) {
	r.history = append(r.history, modelEntry{r.now, false, format, args})
}

// logOrderf adds a line about a single order to the history.
func (r *modelRun) logOrderf(format string, args ...any) {
	r.history = append(r.history, modelEntry{r.now, true, format, args})
}

// violated records the first violation of a rule.
func (r *modelRun) violated(format string, args ...any) {
	if r.violation == "" {
		r.violation = fmt.Sprintf(format, args...)
		r.logf("VIOLATION: %s", r.violation)
	}
}

// recentHistory returns the part of the history that a failure prints.
func (r *modelRun) recentHistory() string {
	var b strings.Builder
	for _, e := range r.history {
		if age := r.now.Sub(e.at); age <= modelOrderHistory || age <= modelHistory && !e.order {
			fmt.Fprintf(&b, "%7.3f ", e.at.Sub(start).Seconds())
			fmt.Fprintf(&b, e.format+"\n", e.args...)
		}
	}
	return b.String()
}

// modelServer is a backend server. It accepts every order and checks the rules.
type modelServer struct {
	run         *modelRun
	name        string
	newest      uint64            // highest token of an order that arrived
	newestNode  int               // node that sent it
	lastArrival map[int]time.Time // by node: when its last order arrived
}

// arrive checks the rules for an order that arrives at the server.
func (s *modelServer) arrive(node int, token uint64) {
	r := s.run
	r.orders++
	name := r.nodes[node].name
	r.logOrderf("%s: order of %s with token %d arrives", s.name, name, token)
	if owner, used := r.owners[token]; used && owner != node {
		r.violated("token used by two nodes: token %d, first used by %s, now by %s at %s", token, r.nodes[owner].name, name, s.name)
	}
	r.owners[token] = node
	if token < s.newest {
		r.violated("lower token after a higher one: %s has seen token %d of %s, now token %d of %s", s.name, s.newest, r.nodes[s.newestNode].name, token, name)
	}
	if token > s.newest {
		s.newest, s.newestNode = token, node
	}
	for other := range r.nodes {
		if at, ordered := s.lastArrival[other]; ordered && other != node && r.now.Sub(at) < orderLease {
			r.violated("orders of two nodes within OrderLease: %s and, %v later, %s at %s", r.nodes[other].name, r.now.Sub(at), name, s.name)
		}
	}
	s.lastArrival[node] = r.now
}

// TestModelNoTwoNodesOrderOneServer guards against two nodes that order one server
// in turn, within OrderLease, or with tokens that decrease or that both used.
func TestModelNoTwoNodesOrderOneServer(t *testing.T) {
	playModel(t, newModelRun)
}

// TestModelNoTwoNodesOrderOneServerAfterReturn guards against the same in a store that comes back from
// older copies: revisions are given again, and confirmed writes are gone.
func TestModelNoTwoNodesOrderOneServerAfterReturn(t *testing.T) {
	playModel(t, func(seed uint64) *modelRun {
		r := newModelRun(seed)
		r.scheduleReturns(seed)
		return r
	})
}

// playModel plays the seeds and fails if one violates a rule.
func playModel(t *testing.T, newRun func(seed uint64) *modelRun) {
	first, count := uint64(1), *modelSeeds
	if *modelSeed != 0 {
		first, count = *modelSeed, 1
	}
	var failed []string
	orders := 0
	for seed := first; seed < first+count; seed++ {
		r := newRun(seed)
		r.play()
		orders += r.orders
		if r.violation == "" {
			continue
		}
		if len(failed) == 0 {
			t.Errorf("seed %d: %s\nreplay: go test ./leadership -run %s -leadership-seed %d\n%s", seed, r.violation, t.Name(), seed, r.recentHistory())
		}
		failed = append(failed, fmt.Sprintf("seed %d at %.3f s: %s", seed, r.now.Sub(start).Seconds(), r.violation))
	}
	if len(failed) > 0 {
		t.Errorf("%d of %d seeds failed:\n%s", len(failed), count, strings.Join(failed, "\n"))
	}
	t.Logf("%d seeds, %d orders arrived", count, orders)
}
