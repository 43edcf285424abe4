package front

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/replicas"
)

// TestIdleConnectionsAreKeptShortlyAfterADrop: a request that must not run twice
// is lost on a connection that its server had forgotten.
func TestIdleConnectionsAreKeptShortlyAfterADrop(t *testing.T) {
	l := newLinks()
	a := replicas.Entry{ID: "a", Address: "127.0.0.1:1", Service: "s", Start: 1}
	b := replicas.Entry{ID: "b", Address: "127.0.0.1:2", Service: "s", Start: 1}
	other := replicas.Entry{ID: "o", Address: "127.0.0.1:3", Service: "other", Start: 1}
	for _, e := range []replicas.Entry{a, other} {
		l.client(e)
	}
	assert.Assert(t, !l.connectionDropped("s", linkIdleLeast/2), "a connection in use fails for other reasons")
	assert.Equal(t, l.clients[keyOf(a)].idle, linkIdle)
	assert.Assert(t, l.connectionDropped("s", time.Second))
	assert.Assert(t, !l.connectionDropped("s", time.Second), "no news")
	l.client(b) // a new server of the service
	l.keepAlive(a, time.Minute)
	for _, e := range []replicas.Entry{a, b} {
		assert.Equal(t, l.clients[keyOf(e)].idle, linkIdleLeast, e.ID)
	}
	assert.Equal(t, l.clients[keyOf(other)].idle, linkIdle)
}
