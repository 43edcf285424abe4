package lease_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/invariant"
)

func TestLowerEpochViolatesEpochMonotonic(t *testing.T) {
	tc := newTestCell(t, "a", "b", "c")
	holder := tc.activeNode("a", "b", "c")
	tc.cores[holder].SetLastActiveEpoch(9)
	defer func() {
		v, ok := recover().(invariant.Violation)
		assert.Assert(t, ok)
		assert.Equal(t, v.Name, invariant.EpochMonotonic)
	}()
	tc.authority(holder)
	t.Fatal("Authority did not panic on a lower epoch")
}
