package poison_test

import (
	"testing"
	"time"

	"github.com/redwingnotch/redwingnotch/poison"
)

// BenchmarkRequest measures what one sound request of four traits costs a node: the
// comparison with 32 refusals, and the record of its response.
func BenchmarkRequest(b *testing.B) {
	table := poison.New()
	for k := range poison.Key(32) {
		record(table, start, map[poison.End][]poison.Key{1: {k}, 2: {k}, 3: {k}, poison.End(100 + k): {k}})
	}
	table.Decide(start.Add(settled))
	now := start
	for i := range b.N {
		now = now.Add(10 * time.Millisecond)
		k := poison.Key(1000 + 10*i)
		table.Refused(now, []poison.Key{k, 500, 501, 502})
		table.Answered(now, now, k, 500, 501, 502)
	}
}
