package front

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/platform"
)

// TestRecoveryCountsFromTheLastFailedCall guards against entries that are removed when the store
// is stable again, and are taken for ones that expired in its outage.
func TestRecoveryCountsFromTheLastFailedCall(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	const contact = 2500 * time.Millisecond
	o := newStoreOutage(platform.Bounds{ContactTimeout: contact})
	assert.Assert(t, !o.mayHaveExpired(at(0)))
	assert.Assert(t, o.failed(at(1), at(0.3)))
	assert.Assert(t, !o.mayHaveExpired(at(1.9)), "one failure is no outage")
	assert.Assert(t, !o.failed(at(2.1), at(1.4)))
	// The outage may have ended right after the call at 1.4 s; the next one succeeds.
	assert.Assert(t, o.mayHaveExpired(at(2.5)))
	assert.Equal(t, o.succeeded(at(2.5)), 1500*time.Millisecond)
	assert.Assert(t, o.mayHaveExpired(at(3.8)))
	assert.Assert(t, !o.mayHaveExpired(at(3.9)), "the store is stable")
	assert.Equal(t, o.succeeded(at(4)), time.Duration(0))
}
