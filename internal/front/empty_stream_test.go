package front_test

import (
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/internal/httpsend"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/standin/rawhttp"
)

// emptyStreams are bodies of streams without an event.
var emptyStreams = map[string]string{"nothing": "", "a comment": ": comment\n\n"}

// TestStreamWithoutEventIsNotComplete guards against an empty stream that a caller takes for
// complete: a server that completes the framing of a stream before its first event has failed.
func TestStreamWithoutEventIsNotComplete(t *testing.T) {
	for _, framing := range rawhttp.Framings() {
		for name, body := range emptyStreams {
			t.Run(string(framing)+" "+name, func(t *testing.T) {
				t.Parallel()
				c := newCluster(t)
				c.backendServer("s1", "llm", send(eventStream(framing, 1, 0, body)))
				n := c.node("127.0.0.1", 0)
				got := c.call(n, http.MethodPost, "/chat/x", "r1", platform.HeaderModel, "m")
				assert.Assert(t, got.status == http.StatusBadGateway || got.truncated, "%d %q", got.status, got.body)
			})
		}
	}
}

// TestStreamWithoutEventIsSentElsewhere guards against a caller that gets an empty stream, or none,
// although the stream may be resumed and another server makes its events.
func TestStreamWithoutEventIsSentElsewhere(t *testing.T) {
	for name, body := range emptyStreams {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			var sent atomic.Bool
			serve := func(rw http.ResponseWriter, r *http.Request) {
				if !sent.Swap(true) {
					send(eventStream(httpsend.FramingChunks, 1, 0, body))(rw, r)
					return
				}
				writeEvents(rw, 1, 3, false)
			}
			c.backendServer("s1", "llm", serve)
			c.backendServer("s2", "llm", serve)
			n := c.node("127.0.0.1", 0)
			got := c.call(n, http.MethodPost, "/proof/x", "r1", platform.HeaderModel, "m")
			assert.Equal(t, got.body, body+eventText(1, 3))
			assert.Assert(t, !got.truncated)
		})
	}
}

// TestEventThatHasBegunIsNotMissing guards against a stream that ends as complete before an event
// of which its first server has sent the beginning: the next server sends no event.
func TestEventThatHasBegunIsNotMissing(t *testing.T) {
	c := newCluster(t)
	serve := func(rw http.ResponseWriter, r *http.Request) {
		if r.Header.Get(platform.HeaderLastEventID) == "3" {
			writeEvents(rw, 4, 3, false)
			return
		}
		send(eventStream(httpsend.FramingChunks, 1, 3, "id: 4\nda"))(rw, r)
	}
	c.backendServer("s1", "llm", serve)
	c.backendServer("s2", "llm", serve)
	n := c.node("127.0.0.1", 0)
	got := c.call(n, http.MethodPost, "/proof/x", "r1", platform.HeaderModel, "m")
	assert.Equal(t, got.body, eventText(1, 3))
	assert.Assert(t, got.truncated)
}
