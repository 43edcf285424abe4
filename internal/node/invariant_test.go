package node

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/invariant"
)

// assertViolation checks that f violates the invariant.
func assertViolation(t *testing.T, name invariant.Name, f func()) {
	t.Helper()
	defer func() {
		t.Helper()
		v, ok := recover().(invariant.Violation)
		assert.Assert(t, ok, "no violation")
		assert.Equal(t, v.Name, name)
	}()
	f()
}

func TestInvariantViolationsAreDetected(t *testing.T) {
	assertViolation(t, invariant.GracefulStop, func() { checkNoneRunning(1) })
	assertViolation(t, invariant.VersionMonotonic, func() {
		c := newCatalog()
		c.set(2, nil, nil, nil)
		c.set(1, nil, nil, nil)
	})
}
