package front_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/platform"
)

// rawAnswer sends the caller's bytes on one connection to the node and returns all that comes back
// until its end.
func (c *cluster) rawAnswer(n *node, requests string) string {
	conn := c.dial(n)
	_, err := io.WriteString(conn, requests)
	assert.NilError(c.t, err)
	assert.NilError(c.t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	got, _ := io.ReadAll(conn) // the node may reset the connection
	return string(got)
}

// TestNothingFollowsBrokenStream guards against a broken stream that looks complete because a last
// chunk or the answer to the next request follows it on the caller's connection.
func TestNothingFollowsBrokenStream(t *testing.T) {
	for _, fault := range []string{"server", "stop"} {
		t.Run(fault, func(t *testing.T) {
			c := newCluster(t)
			c.gracePeriod = time.Second
			started := make(chan struct{})
			var once sync.Once
			c.backendServer("s1", "llm", func(rw http.ResponseWriter, r *http.Request) {
				if !strings.HasPrefix(r.URL.Path, "/chat/") {
					rw.WriteHeader(http.StatusNotFound) // a report request
					return
				}
				writeEvents(rw, 1, 3, fault == "server")
				once.Do(func() { close(started) })
				if fault == "stop" {
					<-r.Context().Done()
				}
			})
			c.backendServer("s2", "plain", text("done"))
			n := c.node("127.0.0.1", 0)
			if fault == "stop" {
				go func() {
					<-started
					n.stop()
				}()
			}
			got := c.rawAnswer(n, requestHead("/chat/x", "r1", 0)+requestHead("/safe/x", "r2", 0))
			_, body, _ := strings.Cut(got, "\r\n\r\n")
			var want strings.Builder
			for i := 1; i <= 3; i++ {
				want.WriteString(asChunk(eventText(i, i)))
			}
			assert.Equal(t, body, want.String())
		})
	}
}

// TestAnswerFollowsWholeStream guards against a check of broken streams that would pass because no
// answer ever follows a stream.
func TestAnswerFollowsWholeStream(t *testing.T) {
	c := newCluster(t)
	c.backendServer("s1", "llm", func(rw http.ResponseWriter, _ *http.Request) { writeEvents(rw, 1, 3, false) })
	c.backendServer("s2", "plain", text("done"))
	n := c.node("127.0.0.1", 0)
	last := strings.Replace(requestHead("/safe/x", "r2", 0), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)
	got := c.rawAnswer(n, requestHead("/chat/x", "r1", 0)+last)
	assert.Equal(t, strings.Count(got, "HTTP/1.1 200 OK"), 2, got)
	assert.Assert(t, strings.Contains(got, "0\r\n\r\nHTTP/1.1 200 OK"), got)
}

// TestLateBytesOfStreamJoinNoOther guards against events of an earlier stream at the beginning of the
// next one on the same connection to a server, which goes on sending after the last chunk.
func TestLateBytesOfStreamJoinNoOther(t *testing.T) {
	first := endlessChunked + asChunk(eventText(1, 3)) + "0\r\n\r\n"
	first = strings.Replace(first, "\r\nTransfer", "\r\nContent-Type: text/event-stream\r\nTransfer", 1)
	late := strings.Replace(strings.Replace(first, "%s", "r0", 1), eventText(1, 3), eventText(4, 6), 1)
	for name, extra := range map[string]string{"whole response": late, "chunks": asChunk(eventText(4, 6)) + "0\r\n\r\n", "events": eventText(4, 6)} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t)
			c.backendServer("s1", "llm", func(rw http.ResponseWriter, r *http.Request) {
				if !strings.HasPrefix(r.URL.Path, "/chat/") {
					rw.WriteHeader(http.StatusNotFound) // a report request
					return
				}
				conn, _, err := http.NewResponseController(rw).Hijack()
				if err != nil {
					return
				}
				defer conn.Close()
				_, _ = fmt.Fprintf(conn, first, r.Header.Get(platform.HeaderRequestID)) // fails if the node has left
				time.Sleep(time.Millisecond)
				_, _ = io.WriteString(conn, extra)
				_, _ = io.Copy(io.Discard, conn)
			})
			n := c.node("127.0.0.1", 0)
			for i := range 40 {
				got := c.call(n, http.MethodPost, "/chat/x", fmt.Sprint("r", i), platform.HeaderModel, "m")
				assert.Assert(t, got.status != http.StatusOK || got.body == eventText(1, 3), "%d: %q", got.status, got.body)
			}
		})
	}
}

// TestTakenUpStreamIsResumedAfterItsLastEvent guards against an attempt that goes on at another event
// than the last one that the caller has: the caller comes with event 3, and servers break its answer off.
func TestTakenUpStreamIsResumedAfterItsLastEvent(t *testing.T) {
	for _, more := range []int{0, 2} {
		t.Run(fmt.Sprint(more, " events first"), func(t *testing.T) {
			c := newCluster(t)
			var mu sync.Mutex
			var asked []string
			serve := func(rw http.ResponseWriter, r *http.Request) {
				if !strings.HasPrefix(r.URL.Path, "/proof/") {
					rw.WriteHeader(http.StatusNotFound) // a report request
					return
				}
				mu.Lock()
				asked = append(asked, r.Header.Get(platform.HeaderLastEventID))
				calls := len(asked)
				mu.Unlock()
				if calls == 1 {
					writeEvents(rw, 1, 3, false)
				} else if calls == 2 {
					writeEvents(rw, 4, 3+more, true)
				} else {
					writeEvents(rw, 4+more, 6, false)
				}
			}
			c.backendServer("s1", "llm", serve)
			c.backendServer("s2", "llm", serve)
			n := c.node("127.0.0.1", 0)
			c.call(n, http.MethodPost, "/proof/x", "r1", platform.HeaderModel, "m")
			got := c.call(n, http.MethodPost, "/proof/x", "r2", platform.HeaderModel, "m", platform.HeaderLastEventID, "3", "Resumes", "r1")
			assert.Equal(t, got.body, eventText(4, 6))
			assert.Assert(t, !got.truncated)
			assert.DeepEqual(t, asked, []string{"", "3", fmt.Sprint(3 + more)})
		})
	}
}

// TestLastEventIDReachesServerHoweverSent guards against a server that begins a stream anew because the
// caller's Last-Event-Id is lost on the way, and against one that sees another value than the node.
func TestLastEventIDReachesServerHoweverSent(t *testing.T) {
	for header, want := range map[string]string{
		"Last-Event-Id: 3": "HTTP/1.1 200", "LAST-EVENT-ID: 3": "HTTP/1.1 200", "last-event-id:3 ": "HTTP/1.1 200",
		"Last-Event-Id: 3\r\nConnection: Last-Event-Id": "HTTP/1.1 200", "Connection: close, last-event-id\r\nlast-event-id: 3": "HTTP/1.1 200",
		"Last-Event-Id: 3\r\nLast-Event-Id: 1": "HTTP/1.1 400", "Last-Event-Id: 3\r\nlast-event-id: 3": "HTTP/1.1 400", "Last-Event-Id:\r\nLast-Event-Id: 3": "HTTP/1.1 400",
		"Last-Event-Id : 3": "HTTP/1.1 400", "Last-Event-Id: 3\x00": "HTTP/1.1 400",
	} {
		t.Run(fmt.Sprintf("%q", header), func(t *testing.T) {
			c := newCluster(t)
			c.backendServer("s1", "llm", takenUpFrom(4))
			n := c.node("127.0.0.1", 0)
			c.call(n, http.MethodPost, "/proof/x", "r1", platform.HeaderModel, "m")
			request := strings.Replace(requestHead("/proof/x", "r2", 0), "\r\n\r\n", "\r\nResumes: r1\r\n"+header+"\r\n", 1)
			if !strings.Contains(header, "Connection: close") {
				request += "Connection: close\r\n"
			}
			got := c.rawAnswer(n, request+"\r\n")
			assert.Assert(t, strings.HasPrefix(got, want), got)
			assert.Assert(t, !strings.Contains(got, "id: 1\n"), got)
			assert.Equal(t, strings.Contains(got, eventText(4, 4)), want == "HTTP/1.1 200", got)
		})
	}
}
