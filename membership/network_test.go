package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/fleet"
)

var (
	testStart  = time.Unix(1_700_000_000, 0)
	testSecret = []byte("a secret of the cluster")
)

// delivery is a datagram in transit.
type delivery struct {
	at   time.Time // time of arrival
	seq  int       // breaks ties between equal times
	to   string
	data []byte
}

// deliveries is a heap of datagrams ordered by time of arrival.
type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	if !d[i].at.Equal(d[j].at) {
		return d[i].at.Before(d[j].at)
	}
	return d[i].seq < d[j].seq
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// host is a simulated node that runs one core.
type host struct {
	core          *Core
	paused        bool
	pausedPackets [][]byte // datagrams received during the pause
	events        []Event
}

// network simulates nodes and the datagrams between them in virtual time.
type network struct {
	t        testing.TB
	now      time.Time
	rng      *rand.Rand
	hosts    map[string]*host // by gossip address
	queue    deliveries
	seq      int
	lossRate float64                       // probability that a datagram is lost
	blocked  func(from, to string) bool    // drops datagrams between the addresses if it returns true
	onSend   func(from string, o Datagram) // called for each sent datagram
}

func newNetwork(t testing.TB, seed uint64) *network {
	return &network{t: t, now: testStart, rng: rand.New(rand.NewPCG(seed, 1)), hosts: map[string]*host{}}
}

func addrOf(i int) string { return fmt.Sprintf("10.0.%d.%d:7946", i/250, i%250+1) }

func nameOf(i int) fleet.NodeID { return fleet.NodeID(fmt.Sprintf("entry-%03d", i)) }

// start runs node i at the address and replaces the host that ran there.
func (n *network) start(i int, addr string, seeds ...string) *host {
	zone := fmt.Sprintf("sk-central-%d", i%3)
	self := Member{
		ID: nameOf(i), Incarnation: NewIncarnation(n.now), Region: "sk-central", Zone: fleet.AvailabilityZone(zone),
		GossipAddr: addr, PeerAddr: addr[:len(addr)-4] + "7947", EntryAddr: addr[:len(addr)-4] + "8080",
	}
	core, err := New(n.now, self, DefaultSettings(), testSecret, rand.New(rand.NewPCG(n.rng.Uint64(), 2)))
	assert.NilError(n.t, err)
	core.SetSeeds(seeds)
	h := &host{core: core}
	n.hosts[addr] = h
	return h
}

// startAll runs nodes 0 to count-1 with nodes 0 and 1 as seeds.
func (n *network) startAll(count int) {
	for i := range count {
		n.start(i, addrOf(i), addrOf(0), addrOf(1))
	}
}

func (n *network) host(i int) *host { return n.hosts[addrOf(i)] }

// apply records the events and sends the datagrams that a core returned.
func (n *network) apply(from string, out Effects) {
	h := n.hosts[from]
	h.events = append(h.events, out.Events...)
	for _, o := range out.Packets {
		if n.onSend != nil {
			n.onSend(from, o)
		}
		if n.rng.Float64() < n.lossRate || (n.blocked != nil && n.blocked(from, o.Addr)) {
			continue
		}
		delay := 500*time.Microsecond + time.Duration(n.rng.Int64N(int64(time.Millisecond)))
		n.seq++
		heap.Push(&n.queue, delivery{at: n.now.Add(delay), seq: n.seq, to: o.Addr, data: o.Data})
	}
}

// run advances virtual time by d, with a tick of all nodes per TickInterval.
func (n *network) run(d time.Duration) {
	end := n.now.Add(d)
	for n.now.Before(end) {
		addrs := make([]string, 0, len(n.hosts))
		for a := range n.hosts {
			addrs = append(addrs, a)
		}
		slices.Sort(addrs)
		for _, a := range addrs {
			n.tick(a)
		}
		n.deliverUntil(n.now.Add(TickInterval))
		n.now = n.now.Add(TickInterval)
	}
}

func (n *network) tick(addr string) {
	if h := n.hosts[addr]; !h.paused {
		n.apply(addr, h.core.Tick(n.now))
	}
}

// deliverUntil delivers the datagrams that arrive before the time.
func (n *network) deliverUntil(until time.Time) {
	start := n.now
	for len(n.queue) > 0 && n.queue[0].at.Before(until) {
		d := heap.Pop(&n.queue).(delivery)
		h := n.hosts[d.to]
		switch {
		case h == nil:
		case h.paused:
			h.pausedPackets = append(h.pausedPackets, d.data)
		default:
			n.now = d.at
			n.apply(d.to, h.core.Receive(n.now, d.data))
		}
	}
	n.now = start
}

// resume ends a pause and delivers the datagrams received during it.
func (n *network) resume(addr string) {
	h := n.hosts[addr]
	h.paused = false
	for _, data := range h.pausedPackets {
		n.apply(addr, h.core.Receive(n.now, data))
	}
	h.pausedPackets = nil
}

// waitFor advances virtual time until the condition holds and returns the time
// that passed. It fails the test after limit.
func (n *network) waitFor(limit time.Duration, condition string, holds func() bool) time.Duration {
	n.t.Helper()
	start := n.now
	for !holds() {
		if n.now.Sub(start) >= limit {
			n.t.Fatalf("%s: not reached within %v", condition, limit)
		}
		n.run(TickInterval)
	}
	return n.now.Sub(start)
}

// allReport reports whether all nodes that are not paused, other than the member
// itself, have the member in state s.
func (n *network) allReport(id fleet.NodeID, s State) bool {
	for _, h := range n.hosts {
		m, ok := h.core.Member(id)
		if h.core.Self().ID != id && !h.paused && (!ok || m.State != s) {
			return false
		}
	}
	return true
}

// converged reports whether every node has exactly count members alive and is
// awake.
func (n *network) converged(count int) bool {
	for _, h := range n.hosts {
		if countAlive(h.core) != count || !h.core.Awake(n.now) {
			return false
		}
	}
	return true
}

func countAlive(c *Core) int {
	alive := 0
	for _, m := range c.Members() {
		if m.State == StateAlive {
			alive++
		}
	}
	return alive
}

// sawEvent reports whether the host returned an event of the kind for the member.
func (h *host) sawEvent(kind EventKind, id fleet.NodeID) bool {
	return slices.ContainsFunc(h.events, func(e Event) bool { return e.Kind == kind && e.Member.ID == id })
}
