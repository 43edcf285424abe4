package front_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/internal/httpsend"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/standin/rawhttp"
)

// send returns a handler that sends the raw response.
func send(r rawhttp.Response) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		_ = r.WriteTo(w) // fails if the node has left, which tests see by what the caller gets
	}
}

// eventStream returns a stream of the events from..to with the rest behind them.
func eventStream(framing httpsend.Framing, from, to int, rest string) rawhttp.Response {
	r := rawhttp.Response{Framing: framing, Header: http.Header{"Content-Type": {"text/event-stream"}}, Cut: rawhttp.All, End: rawhttp.Close}
	for i := from; i <= to; i++ {
		r.Parts = append(r.Parts, eventText(i, i))
	}
	r.Parts = append(r.Parts, rest)
	return r
}

// insideEvents are the beginnings of an event that is not complete.
var insideEvents = []string{"i", "id: 4", "id: 4\n", "id: 4\ndata: pie", "id: 4\ndata: piece 4\n"}

// TestStreamEndingInsideEventIsNotComplete guards against incident
// order-1dbd3e70-e5c0df3e: a server breaks its stream off inside an event, and the node
// takes the end of the connection for the end of the stream, so that the caller gets a
// part of an event and a last chunk.
func TestStreamEndingInsideEventIsNotComplete(t *testing.T) {
	for _, framing := range rawhttp.Framings() {
		for _, rest := range insideEvents {
			t.Run(fmt.Sprintf("%s, rest %q", framing, rest), func(t *testing.T) {
				c := newCluster(t)
				b := c.backendServer("s1", "llm", send(eventStream(framing, 1, 3, rest)))
				n := c.node("127.0.0.1", 0)
				got := c.call(n, http.MethodPost, "/chat/x", "r1", platform.HeaderModel, "m")
				assert.Equal(t, got.body, eventText(1, 3))
				assert.Assert(t, got.truncated)
				assert.Equal(t, b.count(), 1)
			})
		}
	}
}

// TestStreamEndingInsideEventIsResumed guards against the same fault on a route whose
// streams may be resumed: the caller must get the rest from another server.
func TestStreamEndingInsideEventIsResumed(t *testing.T) {
	for _, framing := range rawhttp.Framings() {
		t.Run(string(framing), func(t *testing.T) {
			c := newCluster(t)
			serve := func(rw http.ResponseWriter, r *http.Request) {
				if r.Header.Get(platform.HeaderLastEventID) == "3" {
					send(eventStream(framing, 4, 6, ""))(rw, r)
					return
				}
				send(eventStream(framing, 1, 3, "id: 4\nda"))(rw, r)
			}
			c.backendServer("s1", "llm", serve)
			c.backendServer("s2", "llm", serve)
			n := c.node("127.0.0.1", 0)
			got := c.call(n, http.MethodPost, "/proof/x", "r1", platform.HeaderModel, "m")
			assert.Equal(t, got.body, eventText(1, 6))
			assert.Assert(t, !got.truncated)
		})
	}
}

// TestUnframedStreamWithoutEventIsNotComplete guards against an empty response that is
// passed on as complete: a server sends the head of a stream without length and chunks
// and breaks off before the first event.
func TestUnframedStreamWithoutEventIsNotComplete(t *testing.T) {
	c := newCluster(t)
	c.backendServer("s1", "llm", send(eventStream(httpsend.FramingClose, 1, 0, "")))
	n := c.node("127.0.0.1", 0)
	assert.Equal(t, c.call(n, http.MethodPost, "/chat/x", "r1", platform.HeaderModel, "m").status, http.StatusBadGateway)
}

// TestUnframedResponseStaysUnframed guards against a length or a last chunk made up by
// the node: only the end of the server's connection ended the response, and that may
// have been the end of the server.
func TestUnframedResponseStaysUnframed(t *testing.T) {
	plain := rawhttp.Response{Framing: httpsend.FramingClose, Cut: rawhttp.All, End: rawhttp.Close}
	body, failure := plain, plain
	body.Parts, failure.Parts, failure.Status = []string{"some bytes"}, []string{"why"}, http.StatusInternalServerError
	for _, tc := range []struct {
		name, service, path, want string
		status                    int
		response                  rawhttp.Response
	}{
		{"body", "plain", "/unsafe/x", "some bytes", http.StatusOK, body},
		{"empty body", "plain", "/unsafe/x", "", http.StatusOK, plain},
		{"error", "plain", "/unsafe/x", "why", http.StatusInternalServerError, failure},
		{"stream", "llm", "/chat/x", eventText(1, 3), http.StatusOK, eventStream(httpsend.FramingClose, 1, 3, "")},
		{"resumable stream", "llm", "/proof/x", eventText(1, 3), http.StatusOK, eventStream(httpsend.FramingClose, 1, 3, "")},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t)
			c.backendServer("s1", tc.service, send(tc.response))
			n := c.node("127.0.0.1", 0)
			got := c.call(n, http.MethodPost, tc.path, "r1", platform.HeaderModel, map[string]string{"llm": "m"}[tc.service])
			assert.Equal(t, got.status, tc.status)
			assert.Equal(t, got.body, tc.want)
			assert.Equal(t, got.framing, httpsend.FramingClose)
			assert.Assert(t, !got.truncated)
		})
	}
}

// TestResumedUnframedStreamEndsNoChunkedResponse guards against a last chunk that claims
// a complete stream: the first server sent chunks, the second ended the stream with its
// connection.
func TestResumedUnframedStreamEndsNoChunkedResponse(t *testing.T) {
	c := newCluster(t)
	serve := func(rw http.ResponseWriter, r *http.Request) {
		if r.Header.Get(platform.HeaderLastEventID) == "" {
			writeEvents(rw, 1, 3, true)
			return
		}
		send(eventStream(httpsend.FramingClose, 4, 6, ""))(rw, r)
	}
	c.backendServer("s1", "llm", serve)
	c.backendServer("s2", "llm", serve)
	n := c.node("127.0.0.1", 0)
	got := c.call(n, http.MethodPost, "/proof/x", "r1", platform.HeaderModel, "m")
	assert.Equal(t, got.body, eventText(1, 6))
	assert.Assert(t, got.truncated)
}

// TestExitDuringUnframedResponseResetsCaller guards against the end of this process
// looking like the end of a response that ends with its connection.
func TestExitDuringUnframedResponseResetsCaller(t *testing.T) {
	c := newCluster(t)
	c.gracePeriod = time.Second
	open := eventStream(httpsend.FramingClose, 1, 3, "")
	open.End = rawhttp.Open
	c.backendServer("s1", "llm", send(open))
	n := c.node("127.0.0.1", 0)
	got := make(chan response)
	go func() {
		got <- c.call(n, http.MethodPost, "/chat/x", "r1", platform.HeaderModel, "m", platform.HeaderDeadline, "60000")
	}()
	c.eventually(func() bool { return c.backends["s1"].count() == 1 })
	n.stop()
	assert.Assert(t, (<-got).truncated)
}

// TestBrokenStreamToHTTP10CallerIsReset guards against a broken stream that looks
// complete to a caller of HTTP/1.0: it knows no chunks, so the end of the connection is
// the end of the response.
func TestBrokenStreamToHTTP10CallerIsReset(t *testing.T) {
	for _, broken := range []bool{false, true} {
		t.Run(fmt.Sprint("broken=", broken), func(t *testing.T) {
			c := newCluster(t)
			c.backendServer("s1", "llm", func(rw http.ResponseWriter, _ *http.Request) { writeEvents(rw, 1, 3, broken) })
			n := c.node("127.0.0.1", 0)
			conn, err := net.Dial("tcp", n.settings.CallerListen)
			assert.NilError(t, err)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "POST /chat/x HTTP/1.0\r\nHost: %s\r\n%s: r1\r\n%s: m\r\nContent-Length: 0\r\n\r\n", callerHost, platform.HeaderRequestID, platform.HeaderModel)
			assert.NilError(t, err)
			got, err := io.ReadAll(conn)
			assert.Assert(t, strings.HasSuffix(string(got), eventText(1, 3)), string(got))
			assert.Equal(t, err != nil, broken, "%v", err)
		})
	}
}

// TestLengthOfHeadResponseIsPassedOn guards against a length of zero made up for the
// response to a HEAD request, which has no body but tells the length.
func TestLengthOfHeadResponseIsPassedOn(t *testing.T) {
	c := newCluster(t)
	c.backendServer("s1", "plain", func(rw http.ResponseWriter, _ *http.Request) { rw.Header().Set("Content-Length", "1234") })
	n := c.node("127.0.0.1", 0)
	assert.Equal(t, c.call(n, http.MethodHead, "/safe/x", "r1").header.Get("Content-Length"), "1234")
}

// TestResumedStreamTakesNoOtherResponse guards against a broken stream that ends as
// complete with a body that is not part of it: the server at which it is resumed sends
// an error or another kind of response.
func TestResumedStreamTakesNoOtherResponse(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusNoContent, http.StatusBadRequest, http.StatusInternalServerError} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			c := newCluster(t)
			serve := func(rw http.ResponseWriter, r *http.Request) {
				if r.Header.Get(platform.HeaderLastEventID) == "" {
					writeEvents(rw, 1, 3, true)
					return
				}
				rw.WriteHeader(status)
				if status != http.StatusNoContent {
					fmt.Fprint(rw, "no event")
				}
			}
			c.backendServer("s1", "llm", serve)
			c.backendServer("s2", "llm", serve)
			n := c.node("127.0.0.1", 0)
			got := c.call(n, http.MethodPost, "/proof/x", "r1", platform.HeaderModel, "m")
			assert.Equal(t, got.body, eventText(1, 3))
			assert.Assert(t, got.truncated)
		})
	}
}

// TestResumedStreamRepeatsNoEvents guards against events that come twice, or belong to another
// run: the server at which the stream is resumed begins at or before the last event.
func TestResumedStreamRepeatsNoEvents(t *testing.T) {
	for _, first := range []int{1, 3} {
		t.Run(fmt.Sprint("from ", first), func(t *testing.T) {
			c := newCluster(t)
			serve := func(rw http.ResponseWriter, r *http.Request) {
				if r.Header.Get(platform.HeaderLastEventID) == "" {
					writeEvents(rw, 1, 3, true)
					return
				}
				writeEvents(rw, first, 6, false)
			}
			c.backendServer("s1", "llm", serve)
			c.backendServer("s2", "llm", serve)
			n := c.node("127.0.0.1", 0)
			got := c.call(n, http.MethodPost, "/proof/x", "r1", platform.HeaderModel, "m")
			assert.Equal(t, got.body, eventText(1, 3))
			assert.Assert(t, got.truncated)
		})
	}
}

// TestStreamWithoutIDsIsNotResumed guards against events that come twice: the stream broke
// after an event without an ID, and the next server would begin behind the last ID.
func TestStreamWithoutIDsIsNotResumed(t *testing.T) {
	c := newCluster(t)
	const unnumbered = ": comment\n\ndata: unnumbered\n\n"
	serve := func(rw http.ResponseWriter, r *http.Request) {
		if r.Header.Get(platform.HeaderLastEventID) == "" {
			send(eventStream(httpsend.FramingChunks, 1, 3, unnumbered+"da"))(rw, r)
			return
		}
		rw.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(rw, unnumbered)
		writeEvents(rw, 4, 6, false)
	}
	c.backendServer("s1", "llm", serve)
	c.backendServer("s2", "llm", serve)
	n := c.node("127.0.0.1", 0)
	got := c.call(n, http.MethodPost, "/proof/x", "r1", platform.HeaderModel, "m")
	assert.Equal(t, got.body, eventText(1, 3)+unnumbered)
	assert.Assert(t, got.truncated)
}

// TestLogTellsHowResponseEnded checks that a broken response can be told from a whole
// one by the log, whatever the caller got.
func TestLogTellsHowResponseEnded(t *testing.T) {
	cut := eventStream(httpsend.FramingChunks, 1, 3, "")
	cut.Cut = len(cut.EncodedBody()) - len("0\r\n\r\n")
	reset := eventStream(httpsend.FramingClose, 1, 3, "id: 4")
	reset.End = rawhttp.Reset
	for _, tc := range []struct {
		want     string
		response rawhttp.Response
	}{
		{"framing=chunks end=complete inside_event=false", eventStream(httpsend.FramingChunks, 1, 3, "")},
		{"framing=length end=complete inside_event=false", eventStream(httpsend.FramingLength, 1, 3, "")},
		{"framing=close end=closed inside_event=false", eventStream(httpsend.FramingClose, 1, 3, "")},
		{"framing=close end=closed inside_event=true", eventStream(httpsend.FramingClose, 1, 3, "id: 4")},
		{"framing=chunks end=truncated inside_event=false", cut},
		{"framing=close end=reset inside_event=true", reset},
		{"framing=length end=complete inside_event=false", rawhttp.Response{Framing: httpsend.FramingLength, Parts: []string{"x"}, Cut: rawhttp.All}},
		{"framing=close end=closed inside_event=false", rawhttp.Response{Framing: httpsend.FramingClose, Parts: []string{"x"}, Cut: rawhttp.All, End: rawhttp.Close}},
	} {
		t.Run(tc.want, func(t *testing.T) {
			c := newCluster(t)
			c.backendServer("s1", "llm", send(tc.response))
			n := c.node("127.0.0.1", 0)
			c.call(n, http.MethodPost, "/chat/x", "r1", platform.HeaderModel, "m")
			c.eventually(func() bool { return strings.Contains(c.text(), "event=request id=r1 ") })
			_, line, _ := strings.Cut(c.text(), "event=request id=r1 ")
			line, _, _ = strings.Cut(line, "\n")
			assert.Assert(t, strings.Contains(line, tc.want), line)
		})
	}
}
