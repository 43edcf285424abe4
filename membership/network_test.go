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

// delivery is a datagram on its way.
type delivery struct {
	at   time.Time
	seq  int
	to   string
	data []byte
}

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

// host runs one core.
type host struct {
	core   *Core
	paused bool
	held   [][]byte // datagrams received while paused
	events []Event
}

// network steps cores in virtual time and carries their datagrams.
type network struct {
	t     testing.TB
	now   time.Time
	rng   *rand.Rand
	hosts map[string]*host // by gossip address
	queue deliveries
	seq   int
	loss  float64
	cut   func(from, to string) bool
	spy   func(from string, o Outgoing)
}

func newNetwork(t testing.TB, seed uint64) *network {
	return &network{t: t, now: testStart, rng: rand.New(rand.NewPCG(seed, 1)), hosts: map[string]*host{}}
}

func addrOf(i int) string { return fmt.Sprintf("10.0.%d.%d:7946", i/250, i%250+1) }

func nameOf(i int) fleet.NodeID { return fleet.NodeID(fmt.Sprintf("entry-%03d", i)) }

// start runs node i at the given address.
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

// startAll runs nodes 0 to count-1 that know node 0 and 1 as seeds.
func (n *network) startAll(count int) {
	for i := range count {
		n.start(i, addrOf(i), addrOf(0), addrOf(1))
	}
}

func (n *network) host(i int) *host { return n.hosts[addrOf(i)] }

// carry sends what a core returned.
func (n *network) carry(from string, out Effects) {
	h := n.hosts[from]
	h.events = append(h.events, out.Events...)
	for _, o := range out.Packets {
		if n.spy != nil {
			n.spy(from, o)
		}
		if n.rng.Float64() < n.loss || (n.cut != nil && n.cut(from, o.Addr)) {
			continue
		}
		delay := 500*time.Microsecond + time.Duration(n.rng.Int64N(int64(time.Millisecond)))
		n.seq++
		heap.Push(&n.queue, delivery{at: n.now.Add(delay), seq: n.seq, to: o.Addr, data: o.Data})
	}
}

// run lets virtual time pass.
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
		n.carry(addr, h.core.Tick(n.now))
	}
}

// deliverUntil hands over the datagrams due before the time.
func (n *network) deliverUntil(until time.Time) {
	start := n.now
	for len(n.queue) > 0 && n.queue[0].at.Before(until) {
		d := heap.Pop(&n.queue).(delivery)
		h := n.hosts[d.to]
		switch {
		case h == nil:
		case h.paused:
			h.held = append(h.held, d.data)
		default:
			n.now = d.at
			n.carry(d.to, h.core.Receive(n.now, d.data))
		}
	}
	n.now = start
}

// resume ends a pause and hands over what was received meanwhile.
func (n *network) resume(addr string) {
	h := n.hosts[addr]
	h.paused = false
	for _, data := range h.held {
		n.carry(addr, h.core.Receive(n.now, data))
	}
	h.held = nil
}

// within lets time pass until the condition holds and returns how long it took.
func (n *network) within(limit time.Duration, what string, holds func() bool) time.Duration {
	n.t.Helper()
	start := n.now
	for !holds() {
		if n.now.Sub(start) >= limit {
			n.t.Fatalf("%s: not within %v", what, limit)
		}
		n.run(TickInterval)
	}
	return n.now.Sub(start)
}

// allSee reports whether all running nodes but those excluded hold the member
// in the state.
func (n *network) allSee(id fleet.NodeID, s State) bool {
	for _, h := range n.hosts {
		m, ok := h.core.Member(id)
		if h.core.Self().ID != id && !h.paused && (!ok || m.State != s) {
			return false
		}
	}
	return true
}

// whole reports whether every node sees count members alive and may act.
func (n *network) whole(count int) bool {
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

// has reports whether the host saw an event of the kind about the member.
func (h *host) has(kind EventKind, id fleet.NodeID) bool {
	return slices.ContainsFunc(h.events, func(e Event) bool { return e.Kind == kind && e.Member.ID == id })
}
