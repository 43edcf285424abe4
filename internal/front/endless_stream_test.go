package front_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/platform"
)

// endlessStream is the head of an event stream. The %s is the ID of the request.
const endlessStream = endlessHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// endlessStreams are event streams whose event never ends.
var endlessStreams = []endlessResponse{
	{"line", endlessStream + asChunk("data: "), asChunk(strings.Repeat("x", 64))},
	{"event of many lines", endlessStream, asChunk("data: x\n")},
	{"comment lines", endlessStream, asChunk(": x\n")},
	{"line until close", strings.Replace(endlessStream, "Transfer-Encoding: chunked\r\n", "", 1) + "data: ", "x"},
}

// TestEndlessEventIsCutOff: an event of a stream never ends, so the node would
// collect it until its memory is used up.
func TestEndlessEventIsCutOff(t *testing.T) {
	for _, tc := range endlessStreams {
		t.Run(tc.name, func(t *testing.T) {
			testEndless(t, &endlessServer{response: tc}, "llm", "/chat/", "4000", http.StatusBadGateway)
		})
	}
}

// TestSlowEndlessEventEndsAtDeadline: an event never ends, but comes too slowly to
// exceed the limit of its size.
func TestSlowEndlessEventEndsAtDeadline(t *testing.T) {
	for _, tc := range endlessStreams {
		t.Run(tc.name, func(t *testing.T) {
			testEndless(t, &endlessServer{response: tc, slow: true}, "llm", "/chat/", "300", http.StatusGatewayTimeout)
		})
	}
}

// TestEndlessStreamEndsAtDeadline: a stream of whole events never ends. The caller
// gets whole events and sees that the stream was cut.
func TestEndlessStreamEndsAtDeadline(t *testing.T) {
	for _, slow := range []bool{false, true} {
		t.Run(fmt.Sprint("slow=", slow), func(t *testing.T) {
			c := newCluster(t)
			const event = "data: x\n\n"
			s := &endlessServer{response: endlessResponse{start: endlessStream, unit: asChunk(event)}, slow: slow}
			c.backendServer("s1", "llm", s.handle)
			n := c.node("127.0.0.1", 0)
			got := c.call(n, http.MethodPost, "/chat/endless", "r1", platform.HeaderModel, "m", platform.HeaderDeadline, "300")
			assert.Equal(t, got.status, http.StatusOK)
			assert.Assert(t, got.truncated)
			assert.Assert(t, strings.HasPrefix(got.body, event))
			assert.Equal(t, strings.ReplaceAll(got.body, event, ""), "")
			c.eventually(func() bool { return s.open.Load() == 0 })
		})
	}
}
