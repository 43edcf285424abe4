package membership

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// The plan's rates for 780 nodes.
const (
	planNodes           = 780
	planRestartsADay    = 2100 + 160
	planChangesADay     = 14000
	benchVirtualSeconds = 20
)

// churn replaces nodes and changes the release at the plan's rates.
type churn struct {
	network     *network
	nextRestart time.Time
	nextChange  time.Time
	restart     time.Duration
	change      time.Duration
	victim      int
	version     uint64
}

func newChurn(n *network, nodes int) *churn {
	restart := 24 * time.Hour / planRestartsADay * planNodes / time.Duration(nodes)
	change := 24 * time.Hour / planChangesADay
	return &churn{network: n, restart: restart, change: change, nextRestart: n.now.Add(restart / 2), nextChange: n.now}
}

// step does what is due.
func (c *churn) step() {
	n := c.network
	if !n.now.Before(c.nextChange) {
		c.nextChange = n.now.Add(c.change)
		c.version++
		if err := n.host(0).core.Broadcast(n.now, Item{Kind: ItemRelease, Key: "head", Version: c.version}); err != nil {
			n.t.Fatal(err)
		}
	}
	if !n.now.Before(c.nextRestart) {
		c.nextRestart = n.now.Add(c.restart)
		c.victim = 2 + c.victim%(len(n.hosts)-2)
		n.start(c.victim, addrOf(c.victim), addrOf(0), addrOf(1))
	}
}

// BenchmarkScaleMembership gives the cost of one node among N at the plan's
// rates of change: bytes on the wire, processor time and memory.
func BenchmarkScaleMembership(b *testing.B) {
	for _, nodes := range []int{8, 80, planNodes} {
		b.Run(fmt.Sprintf("N=%d", nodes), func(b *testing.B) { benchmarkNodes(b, nodes) })
	}
}

func benchmarkNodes(b *testing.B, nodes int) {
	before := heapBytes()
	n := newNetwork(b, 1)
	n.startAll(nodes)
	joined := n.within(5*time.Minute, "the cluster forms", func() bool { return n.whole(nodes) })
	formed, _ := totals(n)
	c := newChurn(n, nodes)
	n.run(time.Minute)
	sent, received := totals(n)
	virtual := time.Duration(0)
	b.ResetTimer()
	for range b.N {
		for range benchVirtualSeconds * int(time.Second/TickInterval) {
			c.step()
			n.run(TickInterval)
		}
		virtual += benchVirtualSeconds * time.Second
	}
	b.StopTimer()
	sentAfter, receivedAfter := totals(n)
	perNodeSecond := float64(nodes) * virtual.Seconds()
	b.ReportMetric(float64(sentAfter-sent)/perNodeSecond, "sentB/node-s")
	b.ReportMetric(float64(receivedAfter-received)/perNodeSecond, "recvB/node-s")
	b.ReportMetric(float64(b.Elapsed().Microseconds())/perNodeSecond, "cpu-us/node-s")
	n.queue = nil
	b.ReportMetric(float64(heapBytes()-before)/float64(nodes), "heapB/node")
	b.ReportMetric(float64(formed)/float64(nodes)/joined.Seconds(), "form-sentB/node-s")
	b.ReportMetric(joined.Seconds(), "form-virtual-s")
	runtime.KeepAlive(n)
}

// totals returns the bytes that the running nodes sent and received. A restart
// during the measurement loses the counts of the earlier run.
func totals(n *network) (sent, received uint64) {
	for _, h := range n.hosts {
		sent += h.core.Counters().SentBytes
		received += h.core.Counters().ReceivedBytes
	}
	return sent, received
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkScaleSpread gives the virtual time until the last of N nodes knows
// a broadcast item, a planned leave and a crash.
func BenchmarkScaleSpread(b *testing.B) {
	for _, nodes := range []int{8, 80, planNodes} {
		b.Run(fmt.Sprintf("N=%d", nodes), func(b *testing.B) {
			n := newNetwork(b, 2)
			n.startAll(nodes)
			n.within(5*time.Minute, "the cluster forms", func() bool { return n.whole(nodes) })
			n.run(20 * time.Second)
			var item, leave, crash time.Duration
			for i := range b.N {
				version := uint64(i + 1)
				if err := n.host(0).core.Broadcast(n.now, Item{Kind: ItemRelease, Key: "head", Version: version}); err != nil {
					b.Fatal(err)
				}
				item += n.within(time.Minute, "item", func() bool { return n.allHave(version) })
				n.carry(addrOf(2), n.host(2).core.Leave(n.now))
				leave += n.within(time.Minute, "leave", func() bool { return n.allSee(nameOf(2), StateLeaving) })
				n.start(2, addrOf(2), addrOf(0), addrOf(1))
				n.within(time.Minute, "back", func() bool { return n.whole(nodes) })
				delete(n.hosts, addrOf(3))
				crash += n.within(time.Minute, "crash", func() bool { return n.allSee(nameOf(3), StateDead) })
				n.start(3, addrOf(3), addrOf(0), addrOf(1))
				n.within(time.Minute, "back", func() bool { return n.whole(nodes) })
			}
			b.ReportMetric(item.Seconds()/float64(b.N), "item-virtual-s")
			b.ReportMetric(leave.Seconds()/float64(b.N), "leave-virtual-s")
			b.ReportMetric(crash.Seconds()/float64(b.N), "crash-virtual-s")
		})
	}
}

// allHave reports whether all nodes hold the release item at the version.
func (n *network) allHave(version uint64) bool {
	for _, h := range n.hosts {
		item, ok := h.core.Item(n.now, ItemRelease, "head")
		if !ok || item.Version < version {
			return false
		}
	}
	return true
}
