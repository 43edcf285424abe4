package lease_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/invariant"
)

func TestFallingEpochIsSeen(t *testing.T) {
	b := newBench(t, "a", "b", "c")
	h := b.holder("a", "b", "c")
	b.cores[h].ForgeEpoch(9)
	defer func() {
		v, ok := recover().(invariant.Violation)
		assert.Assert(t, ok)
		assert.Equal(t, v.Name, invariant.EpochMonotonic)
	}()
	b.authority(h)
	t.Fatal("no panic")
}
