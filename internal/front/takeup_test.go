package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/internal/httpsend"
	"github.com/redwingnotch/redwingnotch/platform"
)

// takenUpFrom returns a handler that breaks each new stream off after event 3 and answers one that
// is taken up with the events from first to 6.
func takenUpFrom(first int) func(http.ResponseWriter, *http.Request) {
	return func(rw http.ResponseWriter, r *http.Request) {
		if r.Header.Get(platform.HeaderLastEventID) == "" {
			writeEvents(rw, 1, 3, true)
			return
		}
		writeEvents(rw, first, 6, false)
	}
}

// TestStreamTakenUpByCallerRepeatsNoEvents guards against events that come twice over two attempts
// of a caller: the server at which it takes its stream up begins at or before its last event.
func TestStreamTakenUpByCallerRepeatsNoEvents(t *testing.T) {
	for _, path := range []string{"/proof/x", "/chat/x"} {
		for _, first := range []int{1, 3} {
			t.Run(fmt.Sprint(path, " from ", first), func(t *testing.T) {
				c := newCluster(t)
				c.backendServer("s1", "llm", takenUpFrom(first))
				n := c.node("127.0.0.1", 0)
				c.call(n, http.MethodPost, "/proof/x", "r1", platform.HeaderModel, "m")
				got := c.call(n, http.MethodPost, path, "r2", platform.HeaderModel, "m", platform.HeaderLastEventID, "3", "Resumes", "r1")
				assert.Equal(t, got.body, "")
				assert.Equal(t, got.status, http.StatusBadGateway)
			})
		}
	}
}

// TestStreamTakenUpByCallerGoesOnElsewhere guards against a caller that gets nothing because one
// server begins its stream anew, though another one goes on with it.
func TestStreamTakenUpByCallerGoesOnElsewhere(t *testing.T) {
	c := newCluster(t)
	var taken atomic.Int64
	serve := func(rw http.ResponseWriter, r *http.Request) {
		first := 4
		if r.Header.Get(platform.HeaderRequestID) == "r2" && taken.Add(1) == 1 {
			first = 1
		}
		takenUpFrom(first)(rw, r)
	}
	c.backendServer("s1", "llm", serve)
	c.backendServer("s2", "llm", serve)
	n := c.node("127.0.0.1", 0)
	c.call(n, http.MethodPost, "/proof/x", "r1", platform.HeaderModel, "m")
	got := c.call(n, http.MethodPost, "/proof/x", "r2", platform.HeaderModel, "m", platform.HeaderLastEventID, "3", "Resumes", "r1")
	assert.Equal(t, got.body, eventText(4, 6))
	assert.Assert(t, !got.truncated)
	assert.Equal(t, taken.Load(), int64(2))
}

// TestStreamThatGoesBackIsBroken guards against events that come twice, or of another run, within
// the answer of one server: after event 3 it sends event 3 or an earlier one.
func TestStreamThatGoesBackIsBroken(t *testing.T) {
	for _, framing := range []httpsend.Framing{httpsend.FramingChunks, httpsend.FramingClose} {
		for _, back := range []int{1, 3} {
			t.Run(fmt.Sprint(framing, " to ", back), func(t *testing.T) {
				c := newCluster(t)
				c.backendServer("s1", "llm", send(eventStream(framing, 1, 3, eventText(back, 6))))
				n := c.node("127.0.0.1", 0)
				got := c.call(n, http.MethodPost, "/chat/x", "r1", platform.HeaderModel, "m")
				assert.Equal(t, got.body, eventText(1, 3))
				assert.Assert(t, got.truncated)
				c.eventually(func() bool { return strings.Contains(c.text(), "event=request id=r1 ") })
				assert.Assert(t, strings.Contains(c.text(), "reason=stream_order"))
				assert.Assert(t, strings.Contains(c.text(), fmt.Sprintf(`ID \"%d\" after \"3\"`, back)))
			})
		}
	}
}

// TestStreamThatGoesBackIsResumed guards against a caller that loses a stream that may be resumed
// because one server repeats events in the middle of it.
func TestStreamThatGoesBackIsResumed(t *testing.T) {
	c := newCluster(t)
	serve := func(rw http.ResponseWriter, r *http.Request) {
		if r.Header.Get(platform.HeaderLastEventID) == "3" {
			writeEvents(rw, 4, 6, false)
			return
		}
		writeEvents(rw, 1, 3, false)
		writeEvents(rw, 2, 6, false)
	}
	c.backendServer("s1", "llm", serve)
	c.backendServer("s2", "llm", serve)
	n := c.node("127.0.0.1", 0)
	got := c.call(n, http.MethodPost, "/proof/x", "r1", platform.HeaderModel, "m")
	assert.Equal(t, got.body, eventText(1, 6))
	assert.Assert(t, !got.truncated)
}

// TestResumedStreamBeginsWithID guards against an event that comes twice because it has no ID by
// which it could be told, within one answer and over two attempts of a caller.
func TestResumedStreamBeginsWithID(t *testing.T) {
	for _, beginning := range []string{"data: piece 3\n\n", "id:\ndata: piece 3\n\n", "id\ndata: piece 3\n\n", "id: 4\nid\ndata: piece 3\n\n"} {
		t.Run(fmt.Sprintf("%q", beginning), func(t *testing.T) {
			c := newCluster(t)
			serve := func(rw http.ResponseWriter, r *http.Request) {
				if r.Header.Get(platform.HeaderLastEventID) == "" {
					writeEvents(rw, 1, 3, true)
					return
				}
				rw.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(rw, ": comment\n\n"+beginning)
				writeEvents(rw, 4, 6, false)
			}
			c.backendServer("s1", "llm", serve)
			c.backendServer("s2", "llm", serve)
			n := c.node("127.0.0.1", 0)
			got := c.call(n, http.MethodPost, "/proof/x", "r1", platform.HeaderModel, "m")
			assert.Equal(t, strings.ReplaceAll(got.body, ": comment\n\n", ""), eventText(1, 3))
			assert.Assert(t, got.truncated)
			again := c.call(n, http.MethodPost, "/proof/x", "r2", platform.HeaderModel, "m", platform.HeaderLastEventID, "3", "Resumes", "r1")
			assert.Equal(t, strings.ReplaceAll(again.body, ": comment\n\n", ""), "")
			assert.Assert(t, again.truncated || again.status != http.StatusOK)
		})
	}
}

// TestStreamWithIDThatNoHeaderCarriesIsNotResumed guards against sound servers that count as
// unreachable because the last event's ID can't be sent to them.
func TestStreamWithIDThatNoHeaderCarriesIsNotResumed(t *testing.T) {
	for _, id := range []string{"4\x01", "4\x00", "4\x7f"} {
		t.Run(fmt.Sprintf("%q", id), func(t *testing.T) {
			c := newCluster(t)
			serve := func(rw http.ResponseWriter, _ *http.Request) {
				rw.Header().Set("Content-Type", "text/event-stream")
				fmt.Fprintf(rw, "id: %s\ndata: piece 4\n\n", id)
				rw.(http.Flusher).Flush()
				panic(http.ErrAbortHandler)
			}
			c.backendServer("s1", "llm", serve)
			c.backendServer("s2", "llm", serve)
			n := c.node("127.0.0.1", 0)
			assert.Assert(t, c.call(n, http.MethodPost, "/proof/x", "r1", platform.HeaderModel, "m").truncated)
			c.eventually(func() bool { return strings.Contains(c.text(), "event=request id=r1 ") })
			assert.Assert(t, !strings.Contains(c.text(), "reason=unreachable"))
		})
	}
}

// TestStreamOnSafeRouteIsNotResumed guards against two runs that are joined on a route whose
// streams may not be resumed: its requests may run again, but from the beginning only.
func TestStreamOnSafeRouteIsNotResumed(t *testing.T) {
	c := newCluster(t)
	serve := func(rw http.ResponseWriter, r *http.Request) {
		if r.Header.Get(platform.HeaderLastEventID) == "" {
			writeEvents(rw, 1, 3, true)
			return
		}
		writeEvents(rw, 4, 6, false)
	}
	c.backendServer("s1", "plain", serve)
	c.backendServer("s2", "plain", serve)
	n := c.node("127.0.0.1", 0)
	got := c.call(n, http.MethodPost, "/safe/x", "r1")
	assert.Equal(t, got.body, eventText(1, 3))
	assert.Assert(t, got.truncated)
}

// TestSlowCallerOfResumableStreamIsServed guards against a sound stream that is broken off because
// its caller reads nothing for longer than a server may pause.
func TestSlowCallerOfResumableStreamIsServed(t *testing.T) {
	const events, size = 300, 64 << 10
	c := newCluster(t)
	c.backendServer("s1", "llm", func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Content-Type", "text/event-stream")
		for i := range events {
			fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", i+1, strings.Repeat("x", size))
		}
	})
	n := c.node("127.0.0.1", 0)
	conn := c.dial(n)
	_, err := io.WriteString(conn, requestHead("/proof/x", "r1", 0))
	assert.NilError(t, err)
	time.Sleep(2500 * time.Millisecond) // longer than the pause of a server after which its stream is resumed
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(string(body), "id: "), events)
	c.eventually(func() bool { return strings.Contains(c.text(), "event=request id=r1 ") })
	assert.Assert(t, strings.Contains(c.text(), " sends=1 runs=1 framing=chunks end=complete "))
}

// TestFieldsWithoutDataBreakNoStream guards against a sound stream that is refused because a server
// begins each response with fields that are no event.
func TestFieldsWithoutDataBreakNoStream(t *testing.T) {
	const fields = "retry: 1000\n\n"
	c := newCluster(t)
	serve := func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(rw, fields)
		if r.Header.Get(platform.HeaderLastEventID) == "3" {
			writeEvents(rw, 4, 6, false)
			return
		}
		writeEvents(rw, 1, 3, true)
	}
	c.backendServer("s1", "llm", serve)
	c.backendServer("s2", "llm", serve)
	n := c.node("127.0.0.1", 0)
	got := c.call(n, http.MethodPost, "/proof/x", "r1", platform.HeaderModel, "m")
	assert.Equal(t, strings.ReplaceAll(got.body, fields, ""), eventText(1, 6))
	assert.Assert(t, !got.truncated)
}
