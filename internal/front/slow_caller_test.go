package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/platform"
)

// routeTimeout is the time limit of the route /unsafe/, and slack what a caller may be held
// beyond its time limit.
const (
	routeTimeout = 3 * time.Second
	slack        = time.Second
)

// dial connects to the node's address for callers.
func (c *cluster) dial(n *node) net.Conn {
	conn, err := net.Dial("tcp", n.settings.CallerListen)
	assert.NilError(c.t, err)
	c.t.Cleanup(func() { conn.Close() })
	return conn
}

// requestHead returns the head of a request with a body of the length.
func requestHead(path, id string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: m\r\n%s: 4000\r\nContent-Length: %d\r\n\r\n",
		path, callerHost, platform.HeaderRequestID, id, platform.HeaderModel, platform.HeaderDeadline, length)
}

// TestCallerThatSendsByteNowAndThenIsEnded guards against a request that never ends because
// its caller sends a byte of the body now and then.
func TestCallerThatSendsByteNowAndThenIsEnded(t *testing.T) {
	c := newCluster(t)
	c.backendServer("s1", "plain", text("done"))
	n := c.node("127.0.0.1", 0)
	conn := c.dial(n)
	_, err := io.WriteString(conn, requestHead("/unsafe/x", "r1", 1<<10))
	assert.NilError(t, err)
	began := time.Now()
	var sender sync.WaitGroup
	sender.Go(func() {
		for time.Since(began) < 2*routeTimeout {
			if _, err := io.WriteString(conn, "x"); err != nil {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
	assert.NilError(t, conn.SetReadDeadline(began.Add(2*routeTimeout)))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	took := time.Since(began)
	conn.Close()
	sender.Wait()
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusRequestTimeout)
	assert.Assert(t, took < routeTimeout+slack, "ended after %v", took)
	assert.Equal(t, c.backends["s1"].count(), 0)
}

// TestCallerThatReadsNothingIsEnded guards against a request that holds a server without end
// because its caller does not read the response, while other callers of slow streams are
// served to the end.
func TestCallerThatReadsNothingIsEnded(t *testing.T) {
	c := newCluster(t)
	ended := make(chan time.Time, 1)
	c.backendServer("s1", "llm", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		if strings.HasSuffix(r.URL.Path, "/sound") {
			for i := range 8 {
				writeEvents(w, i+1, i+1, false)
				time.Sleep(300 * time.Millisecond)
			}
			return
		}
		if !strings.HasSuffix(r.URL.Path, "/chat/x") {
			w.WriteHeader(http.StatusNotFound) // the node asks for reports as well
			return
		}
		for i := 1; ; i++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 64<<10)); err != nil || r.Context().Err() != nil {
				ended <- time.Now()
				return
			}
		}
	})
	n := c.node("127.0.0.1", 0)
	conn := c.dial(n)
	_, err := io.WriteString(conn, requestHead("/chat/x", "r1", 0))
	assert.NilError(t, err)
	began := time.Now()
	assert.Equal(t, c.call(n, http.MethodPost, "/chat/sound", "r2", platform.HeaderModel, "m").body, eventText(1, 8))
	select {
	case at := <-ended:
		assert.Assert(t, at.Sub(began) < 4*time.Second+slack, "ended after %v", at.Sub(began))
	case <-time.After(4*time.Second + 3*slack):
		t.Fatal("the server still runs the request")
	}
	c.eventually(func() bool { return strings.Contains(c.text(), "event=request id=r1") })
}
