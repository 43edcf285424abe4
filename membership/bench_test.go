package membership

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// Planned deployment size, with its restarts and release changes per day.
const (
	plannedNodes          = 780
	plannedRestartsPerDay = 2100 + 160
	plannedChangesPerDay  = 14000
	benchVirtualSeconds   = 20 // virtual time of one benchmark iteration, in seconds
)

// churn restarts nodes and changes the release at the planned rates.
type churn struct {
	network         *network
	nextRestart     time.Time
	nextChange      time.Time
	restartInterval time.Duration
	changeInterval  time.Duration
	nextNode        int
	version         uint64
}

func newChurn(n *network, nodes int) *churn {
	restartInterval := 24 * time.Hour / plannedRestartsPerDay * plannedNodes / time.Duration(nodes)
	changeInterval := 24 * time.Hour / plannedChangesPerDay
	return &churn{network: n, restartInterval: restartInterval, changeInterval: changeInterval, nextRestart: n.now.Add(restartInterval / 2), nextChange: n.now}
}

// step performs the restart and the release change whose time has come.
func (c *churn) step() {
	n := c.network
	if !n.now.Before(c.nextChange) {
		c.nextChange = n.now.Add(c.changeInterval)
		c.version++
		if err := n.host(0).core.Broadcast(n.now, Item{Kind: ItemRelease, Key: "head", Version: c.version}); err != nil {
			n.t.Fatal(err)
		}
	}
	if !n.now.Before(c.nextRestart) {
		c.nextRestart = n.now.Add(c.restartInterval)
		c.nextNode = 2 + c.nextNode%(len(n.hosts)-2)
		n.start(c.nextNode, addrOf(c.nextNode), addrOf(0), addrOf(1))
	}
}

// BenchmarkScaleMembership measures the cost of one node in a deployment of N
// nodes at the planned rates of change: bytes on the wire, CPU time and memory.
func BenchmarkScaleMembership(b *testing.B) {
	for _, nodes := range []int{8, 80, plannedNodes} {
		b.Run(fmt.Sprintf("N=%d", nodes), func(b *testing.B) { benchmarkNodes(b, nodes) })
	}
}

func benchmarkNodes(b *testing.B, nodes int) {
	before := heapBytes()
	n := newNetwork(b, 1)
	n.startAll(nodes)
	formationTime := n.waitFor(5*time.Minute, "all nodes alive and awake", func() bool { return n.converged(nodes) })
	formationBytes, _ := totals(n)
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
	b.ReportMetric(float64(formationBytes)/float64(nodes)/formationTime.Seconds(), "form-sentB/node-s")
	b.ReportMetric(formationTime.Seconds(), "form-virtual-s")
	runtime.KeepAlive(n)
}

// totals returns the bytes that the running nodes sent and received. The counts
// of a node from before a restart are not included.
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

// BenchmarkScaleSpread measures the virtual time until the last of N nodes has
// received a broadcast item, a planned stop and a crash.
func BenchmarkScaleSpread(b *testing.B) {
	for _, nodes := range []int{8, 80, plannedNodes} {
		b.Run(fmt.Sprintf("N=%d", nodes), func(b *testing.B) {
			n := newNetwork(b, 2)
			n.startAll(nodes)
			n.waitFor(5*time.Minute, "all nodes alive and awake", func() bool { return n.converged(nodes) })
			n.run(20 * time.Second)
			var item, leave, crash time.Duration
			for i := range b.N {
				version := uint64(i + 1)
				if err := n.host(0).core.Broadcast(n.now, Item{Kind: ItemRelease, Key: "head", Version: version}); err != nil {
					b.Fatal(err)
				}
				item += n.waitFor(time.Minute, "item at all nodes", func() bool { return n.allHaveRelease(version) })
				n.apply(addrOf(2), n.host(2).core.Leave(n.now))
				leave += n.waitFor(time.Minute, "leaving node known at all nodes", func() bool { return n.allReport(nameOf(2), StateLeaving) })
				n.start(2, addrOf(2), addrOf(0), addrOf(1))
				n.waitFor(time.Minute, "restarted node alive at all nodes", func() bool { return n.converged(nodes) })
				delete(n.hosts, addrOf(3))
				crash += n.waitFor(time.Minute, "crash detected at all nodes", func() bool { return n.allReport(nameOf(3), StateDead) })
				n.start(3, addrOf(3), addrOf(0), addrOf(1))
				n.waitFor(time.Minute, "restarted node alive at all nodes", func() bool { return n.converged(nodes) })
			}
			b.ReportMetric(item.Seconds()/float64(b.N), "item-virtual-s")
			b.ReportMetric(leave.Seconds()/float64(b.N), "leave-virtual-s")
			b.ReportMetric(crash.Seconds()/float64(b.N), "crash-virtual-s")
		})
	}
}

// allHaveRelease reports whether all nodes hold at least the given version of the
// release item.
func (n *network) allHaveRelease(version uint64) bool {
	for _, h := range n.hosts {
		item, ok := h.core.Item(n.now, ItemRelease, "head")
		if !ok || item.Version < version {
			return false
		}
	}
	return true
}
