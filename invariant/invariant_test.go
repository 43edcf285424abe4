package invariant_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/invariant"
)

func TestCheckPanicsOnViolation(t *testing.T) {
	defer func() {
		v, ok := recover().(invariant.Violation)
		assert.Assert(t, ok)
		assert.Equal(t, v.Name, invariant.ReplicaLimit)
		assert.Equal(t, v.Error(), "invariant replica_limit violated: 3 of 2")
	}()
	invariant.Check(3 <= 2, invariant.ReplicaLimit, "%d of %d", 3, 2)
	t.Fatal("Check did not panic on a violation")
}

func TestCheckReportsViolation(t *testing.T) {
	invariant.SetMode(invariant.ModeReport)
	defer invariant.SetMode(invariant.ModePanic)
	var got []invariant.Violation
	invariant.SetReporter(func(v invariant.Violation) { got = append(got, v) })
	invariant.Check(false, invariant.AtMostOnce, "key %s", "k")
	invariant.Check(true, invariant.AtMostOnce, "key %s", "k")
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Detail, "key k")
}
