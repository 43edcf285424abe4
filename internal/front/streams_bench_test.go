package front

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/internal/telemetry"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/resumption"
)

// BenchmarkStreamRecord measures what a resumable stream costs its first node, with 60 and 780
// nodes, and each of the nodes that hold its record, without the system calls.
func BenchmarkStreamRecord(b *testing.B) {
	record := func(i int) resumption.Record {
		return resumption.Record{ID: fmt.Sprintf("%016x", i), Origin: resumption.Origin{Service: "dede5a", Software: "v1"}, Expires: bootclock.Now().Add(18 * time.Second)}
	}
	node := func(peers int) *Node {
		metrics, err := telemetry.NewMetrics()
		if err != nil {
			b.Fatal(err)
		}
		n := New(platform.Settings{IP: "10.0.0.1", Zone: "z", Zones: []string{"z"}}, log.NewNopLogger(), metrics)
		for i := range peers {
			n.received(message{Node: fmt.Sprint("n", i), IP: fmt.Sprintf("10.0.%d.%d", 1+i/250, i%250), Zone: "z", Incarnation: 1, Sequence: 1})
		}
		return n
	}
	for _, nodes := range []int{60, 780} {
		b.Run(fmt.Sprintf("send/nodes=%d", nodes), func(b *testing.B) {
			n, now := node(nodes-1), bootclock.Now()
			for i := 0; b.Loop(); i++ {
				r := record(i)
				n.streams.Add(now, r)
				resumption.HoldersOf(r.ID, n.peers.aliveIPs(now), resumption.Holders)
				if _, err := json.Marshal(streamDatagram{&streamMessage{IP: n.settings.IP, Began: encodeRecord(now, r)}}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
	b.Run("receive", func(b *testing.B) {
		n, now := node(1), bootclock.Now()
		data, err := json.Marshal(streamDatagram{&streamMessage{IP: "10.0.1.0", Began: encodeRecord(now, record(1))}})
		if err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			n.receiveStreams(data)
		}
		b.ReportMetric(float64(len(data)), "datagram-bytes")
	})
	b.Run("memory", func(b *testing.B) {
		const records = 4000
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		n := node(0)
		for i := range records {
			n.streams.Add(bootclock.Now(), record(i))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/records, "B/record")
		runtime.KeepAlive(n)
	})
}
