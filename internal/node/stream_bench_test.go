package node_test

import (
	"fmt"
	"testing"
)

// streamTokens are lengths of answers, in tokens, each sent on its own.
var streamTokens = []int{20, 200, 2000}

// BenchmarkScaleStream reports the processor time that an entry node takes for
// one answer beyond a direct call, over the answer's length. Its slope is the
// cost of passing on one token.
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

// processorTimeOf returns the processor time of b.N calls, in microseconds.
func processorTimeOf(b *testing.B, call func() error) float64 {
	before := processorTime()
	for range b.N {
		if err := call(); err != nil {
			b.Fatal(err)
		}
	}
	return float64((processorTime() - before).Microseconds())
}
