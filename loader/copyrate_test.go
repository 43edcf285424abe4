package loader_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLearnedRateOfCopyAddsCopies guards against a busy model that has too few copies because a
// copy counts as good for more requests than its server can run, and against copies without end
// if servers seem to run none in time.
func TestLearnedRateOfCopyAddsCopies(t *testing.T) {
	for _, c := range []struct {
		rate   float64
		copies int
	}{{0, 3}, {100, 3}, {15, 5}, {0.01, 8}} {
		cl := newCluster([]string{"a", "b"}, 5, 1)
		cl.engine.Slots = 48
		cl.copyRate = c.rate
		cl.servers[0].addModel("m0")
		for range 1500 {
			cl.arrive("m0", true, 1)
			cl.step()
		}
		cl.run(time.Second)
		assert.Equal(t, cl.copies("m0"), c.copies, "rate %v: %v", c.rate, cl.orderLog)
	}
}
