package front

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/platform"
)

// TestResponseFromBeforeSuspensionShowsNoContact guards against a leader that steps down
// during a store outage because a node that was suspended handles an old response of the
// store and publishes it as contact of this moment.
func TestResponseFromBeforeSuspensionShowsNoContact(t *testing.T) {
	n := newTestNode(t, platform.Settings{})
	sent := bootclock.Now()
	n.storeResponded(sent.Add(10*time.Second), sent, 0)
	assert.Equal(t, n.lastStoreContact, sent.Add(storeTimeout))
	n.storeResponded(sent.Add(11*time.Second), sent.Add(10900*time.Millisecond), 0)
	assert.Equal(t, n.lastStoreContact, sent.Add(11*time.Second))
	n.storeResponded(sent.Add(12*time.Second), sent, 0)
	assert.Equal(t, n.lastStoreContact, sent.Add(11*time.Second))
}
