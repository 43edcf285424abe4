package httpsend_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/internal/httpsend"
)

// Sizes of an upload. What a server leaves unread is more than the buffers of its connection hold.
const (
	uploadBytes   = 16 << 20
	mostRead      = uploadBytes / 2
	receiveBuffer = 64 << 10
)

// connEnds are the ways in which a server that has answered ends a connection on which it is still being
// sent the request's body.
var connEnds = map[string]func(*net.TCPConn){
	"reset": func(conn *net.TCPConn) {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	},
	"closed with bytes unread": func(conn *net.TCPConn) { _ = conn.Close() },
	"closed with what came read": func(conn *net.TCPConn) {
		_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
		_, _ = io.CopyN(io.Discard, conn, 8*receiveBuffer)
		_ = conn.Close()
	},
	"half closed, then reset": func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		time.Sleep(time.Millisecond)
		_ = conn.SetLinger(0)
		_ = conn.Close()
	},
}

// earlyAnswerer accepts connections and sends an unframed response on each after it has read some bytes
// of the request, then ends the connection. It returns its address.
func earlyAnswerer(t *testing.T, read int, pause time.Duration, end func(*net.TCPConn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			// The client notices whatever fails here.
			_ = conn.(*net.TCPConn).SetReadBuffer(receiveBuffer)
			_, _ = io.CopyN(io.Discard, conn, int64(read))
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhalf")
			time.Sleep(pause)
			end(conn.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

// TestResponseEndingAmidUploadIsNotWhole guards against a part of a response that counts as whole: a
// server answers before it has read the request, without a length, and its connection ends while the
// request is being written.
func TestResponseEndingAmidUploadIsNotWhole(t *testing.T) {
	client := httpsend.NewClient(httpsend.Options{})
	for name, end := range connEnds {
		for _, read := range []int{1, 300, 64 << 10, 1 << 20, mostRead} {
			for _, pause := range []time.Duration{0, 100 * time.Microsecond, 2 * time.Millisecond, 20 * time.Millisecond} {
				t.Run(fmt.Sprint(name, " after ", read, " bytes and ", pause), func(t *testing.T) {
					t.Parallel()
					url := "http://" + earlyAnswerer(t, read, pause, end)
					heads := 0
					for range 8 {
						req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(make([]byte, uploadBytes)))
						assert.NilError(t, err)
						resp, err := httpsend.Do(client, req)
						if err != nil {
							continue // the connection ended before the head was read
						}
						heads++
						body, err := httpsend.ReadBody(resp.Body, 100)
						assert.Assert(t, err != nil, "%q counts as whole", body)
					}
					t.Log(heads, " heads")
				})
			}
		}
	}
}

// TestResponseEndingWithUnreadUploadIsNotWhole guards against the same if the kernel gives the connection
// up, as the server does not read for longer than the user timeout.
func TestResponseEndingWithUnreadUploadIsNotWhole(t *testing.T) {
	t.Parallel()
	done := make(chan struct{})
	defer close(done)
	url := "http://" + earlyAnswerer(t, 300, 0, func(conn *net.TCPConn) {
		<-done
		_ = conn.Close()
	})
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(make([]byte, uploadBytes)))
	assert.NilError(t, err)
	resp, err := httpsend.Do(httpsend.NewClient(httpsend.Options{}), req)
	assert.NilError(t, err)
	body, err := httpsend.ReadBody(resp.Body, 100)
	assert.Assert(t, err != nil, "%q counts as whole", body)
	t.Log(err)
}
