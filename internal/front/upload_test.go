package front_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/platform"
)

// uploadBytes is more than the buffers of a loopback connection hold.
const uploadBytes = 12 << 20

// rawServer registers a ready server of the plain service that answers each connection with answer.
// The connection's request has been read up to its body.
func (c *cluster) rawServer(id string, answer func(conn *net.TCPConn, id string)) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(c.t, err)
	c.t.Cleanup(func() { l.Close() })
	go func() {
		for {
			accepted, err := l.Accept()
			if err != nil {
				return
			}
			conn := accepted.(*net.TCPConn)
			_ = conn.SetReadBuffer(64 << 10) // what fails here shows in what the caller gets
			go func() {
				defer conn.Close()
				r, err := http.ReadRequest(bufio.NewReaderSize(conn, 4<<10))
				if err == nil {
					answer(conn, r.Header.Get(platform.HeaderRequestID))
				}
			}()
		}
	}()
	c.registerRaw(id, l)
}

// registerRaw registers a ready server of the plain service that listens there.
func (c *cluster) registerRaw(id string, l net.Listener) {
	c.put(platform.KindServers, id, map[string]any{
		"service": "plain", "address": l.Addr().String(), "zone": "z1", "slots": c.slots, "state": "ready", "born": 1700000000000, "version": "v1",
	})
}

// upload sends a request with a large body and returns the response.
func (c *cluster) upload(n *node, path, id string) response {
	req, err := http.NewRequest(http.MethodPost, "http://"+n.settings.CallerListen+path, bytes.NewReader(make([]byte, uploadBytes)))
	assert.NilError(c.t, err)
	req.Host = callerHost
	req.Header.Set(platform.HeaderRequestID, id)
	return do(req)
}

// earlyAnswer is a response without length that a server sends before it has read the request, and how its
// connection ends.
type earlyAnswer struct {
	contentType string
	read        int           // bytes of the request's body read before
	pause       time.Duration // after the response's bytes
	halfClose   bool          // before the reset
}

// send sends the response and lets the connection be reset when it is closed.
func (a *earlyAnswer) send(conn *net.TCPConn, id string) {
	_, _ = io.CopyN(io.Discard, conn, int64(a.read)) // what fails here shows in what the caller gets
	a.write(conn, id)
	time.Sleep(a.pause)
	if a.halfClose {
		_ = conn.CloseWrite()
		time.Sleep(time.Millisecond)
	}
	_ = conn.SetLinger(0)
}

// write writes the response.
func (a *earlyAnswer) write(conn net.Conn, id string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp\r\nContent-Type: %s\r\n\r\n%s", platform.HeaderRequestID, id, platform.HeaderStamp, a.contentType, eventText(1, 3))
}

// TestResponseResetAmidUploadIsNotComplete guards against a part of a response that a caller gets as a
// complete one: the server answers an upload before it has read it, without a length, and ends its
// connection while the upload is being written.
func TestResponseResetAmidUploadIsNotComplete(t *testing.T) {
	c := newCluster(t)
	state := maps.Clone(desired)
	state["version"], state["limits"] = 2, map[string]any{"max_body_bytes": 2 * uploadBytes}
	c.put(platform.KindConfig, platform.ConfigName, state)
	var current atomic.Pointer[earlyAnswer]
	c.rawServer("s1", func(conn *net.TCPConn, id string) { current.Load().send(conn, id) })
	n := c.node("127.0.0.1", 0)
	c.eventually(func() bool { return strings.Contains(c.text(), "event=server ") })
	for _, contentType := range []string{"text/plain", "text/event-stream"} {
		for _, halfClose := range []bool{false, true} {
			for _, read := range []int{0, 64 << 10, uploadBytes / 4} {
				for _, pause := range []time.Duration{0, 200 * time.Microsecond, 20 * time.Millisecond} {
					answer := earlyAnswer{contentType, read, pause, halfClose}
					current.Store(&answer)
					got := c.upload(n, "/unsafe/x", "r1")
					complete := got.err == nil && got.status == http.StatusOK && !got.truncated
					assert.Assert(t, !complete, "%+v: %q counts as complete", answer, got.body)
					if contentType == "text/plain" {
						assert.Equal(t, got.status, http.StatusBadGateway, "%+v", answer)
					}
				}
			}
		}
	}
}
