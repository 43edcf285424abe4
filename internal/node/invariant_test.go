package node

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/invariant"
)

// fires checks that f breaks the invariant.
func fires(t *testing.T, name invariant.Name, f func()) {
	t.Helper()
	defer func() {
		t.Helper()
		v, ok := recover().(invariant.Violation)
		assert.Assert(t, ok, "no violation")
		assert.Equal(t, v.Name, name)
	}()
	f()
}

func TestInvariantsFire(t *testing.T) {
	fires(t, invariant.GracefulStop, func() { checkNothingRuns(1) })
	fires(t, invariant.VersionMonotonic, func() {
		c := newCatalog()
		c.set(2, nil, nil, nil)
		c.set(1, nil, nil, nil)
	})
}
