package allowance_test

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDecision measures a second of a fleet in which one team uses its allowance: the messages
// that a node sends about it, and the time of all calls of all nodes for each request.
func BenchmarkDecision(b *testing.B) {
	for _, nodes := range []int{9, 90, 300} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			m := newModel(b, nodes, 1, &modelTeam{name: "team", terms: termsOf(100_000), load: 100_000 / 1.8})
			m.runFor(10 * time.Second)
			sent, key := m.messages, m.nextKey
			m.spent = 0
			began := m.now
			for b.Loop() {
				m.runFor(time.Second)
			}
			requests := float64(m.nextKey - key)
			seconds := (m.now - began).Seconds()
			b.ReportMetric(float64(m.messages-sent)/seconds/float64(nodes), "messages/s/node")
			b.ReportMetric(float64(m.messages-sent)/requests, "messages/request")
			b.ReportMetric(float64(m.spent.Nanoseconds())/requests, "ns/request")
		})
	}
}
