package node_test

import (
	"fmt"
	"testing"
)

// streamTokens are lengths of responses in tokens, each token sent on its own.
var streamTokens = []int{20, 200, 2000}

// BenchmarkScaleStream reports the CPU time that an entry node adds to a direct call,
// by length of the response. The slope is the cost of forwarding one token.
func BenchmarkScaleStream(b *testing.B) {
	p := newOverheadPaths(b)
	for _, tokens := range streamTokens {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			p.body = requestFor(tokens)
			direct := processorTimeOf(b, p.direct)
			entry := processorTimeOf(b, func() error { return p.throughNode(p.controller) })
			b.ReportMetric((entry-direct)/float64(b.N), "node-cpu-us/answer")
		})
	}
	p.d.close()
}

// processorTimeOf returns the CPU time of b.N calls in microseconds.
func processorTimeOf(b *testing.B, call func() error) float64 {
	before := processorTime()
	for range b.N {
		if err := call(); err != nil {
			b.Fatal(err)
		}
	}
	return float64((processorTime() - before).Microseconds())
}
