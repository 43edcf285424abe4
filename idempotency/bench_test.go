package idempotency_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/idempotency"
)

// BenchmarkKeyedCall measures a call with a new key, with a store and a service
// that respond immediately. It reports the store writes per call.
func BenchmarkKeyedCall(b *testing.B) {
	for _, kind := range []string{"issued", "chosen"} {
		b.Run(kind, func(b *testing.B) {
			c := newCluster(1)
			settings := idempotency.DefaultSettings()
			settings.MaxKeys = b.N + 1
			core := idempotency.NewCore(settings, owner("n1", 1), []byte("secret"))
			node := idempotency.NewExecutor(core, idempotency.NewClaimStore(c.store), c.fakeService, c, nil)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				key := idempotency.Key(fmt.Sprint("key", i))
				if kind == "issued" {
					key = node.Issue().Text
				}
				call := newCall(key, "spindle")
				call.Deadline = time.Now().Add(time.Minute)
				if r := node.Call(b.Context(), call); r.Outcome != fleet.OutcomeAnswered {
					b.Fatal(r)
				}
			}
			node.Wait()
			b.ReportMetric(float64(c.store.writes)/float64(b.N), "writes/op")
		})
	}
}
