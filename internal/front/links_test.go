package front

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/replicas"
)

// TestIdleTimeoutIsShortAfterIdleDrop: a server that drops an idle connection
// silently loses the next request on it, which must not run twice. From then on
// the service's idle connections are closed early.
func TestIdleTimeoutIsShortAfterIdleDrop(t *testing.T) {
	l := newServerClients()
	a := replicas.Entry{ID: "a", Address: "127.0.0.1:1", Service: "s", Start: 1}
	b := replicas.Entry{ID: "b", Address: "127.0.0.1:2", Service: "s", Start: 1}
	other := replicas.Entry{ID: "o", Address: "127.0.0.1:3", Service: "other", Start: 1}
	for _, e := range []replicas.Entry{a, other} {
		l.client(e)
	}
	assert.Assert(t, !l.recordIdleDrop("s", shortIdleTimeout/2), "a connection that was hardly idle fails for other reasons")
	assert.Equal(t, l.byServer[keyOf(a)].idle, serverIdleTimeout)
	assert.Assert(t, l.recordIdleDrop("s", time.Second))
	assert.Assert(t, !l.recordIdleDrop("s", time.Second), "already known")
	l.client(b) // a new server of the service
	l.setKeepAlive(a, time.Minute)
	for _, e := range []replicas.Entry{a, b} {
		assert.Equal(t, l.byServer[keyOf(e)].idle, shortIdleTimeout, e.ID)
	}
	assert.Equal(t, l.byServer[keyOf(other)].idle, serverIdleTimeout)
}
