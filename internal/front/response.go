package front

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"

	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/internal/httpsend"
	"github.com/redwingnotch/redwingnotch/platform"
)

// startResponse sends the caller the head of a server's response. It returns false if
// the caller has left. length is that of the body, negative if unknown.
//
// The caller gets no framing that claims more than the server's did: a response of the
// server that ends with its connection ends with the caller's connection, too. So does a
// stream to a caller that knows no chunks.
func (x *exchange) startResponse(resp *http.Response, length int64) bool {
	header := x.w.Header()
	platform.CopyResponseHeaders(header, resp.Header)
	switch {
	case x.received.framing == httpsend.FramingClose, length < 0 && !x.r.ProtoAtLeast(1, 1):
		if err := x.frameByClose(); err != nil {
			x.abort("caller_left")
			return false
		}
	case length >= 0:
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if x.node.stopping.Load() {
		header.Set("Connection", "close")
	}
	x.status, x.outcome = resp.StatusCode, "answered"
	x.firstByteAfter = bootclock.Now().Sub(x.arrived)
	x.responseStarted = true
	x.w.WriteHeader(resp.StatusCode)
	return true
}

// SO_LINGER values of callers' connections, in seconds.
const (
	lingerReset   = 0  // closing the connection resets it
	lingerDefault = -1 // closing the connection ends it in order
)

// frameByClose makes the response end with the caller's connection. Until
// finishResponse the connection can only be reset, so that neither an aborted response
// nor the end of this process looks like the end of the response.
func (x *exchange) frameByClose() error {
	// To net/http "identity" means neither a length nor chunks; it is not sent.
	x.w.Header().Set("Transfer-Encoding", "identity")
	x.w.Header().Set("Connection", "close")
	x.framedByClose = true
	return x.setLinger(lingerReset)
}

// finishResponse lets a response that ends with the caller's connection end in order.
func (x *exchange) finishResponse() {
	if !x.framedByClose || x.outcome == "aborted" {
		return
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		x.abort("caller_left")
		return
	}
	if err := x.setLinger(lingerDefault); err != nil {
		x.abort("caller_left")
	}
}

// setLinger sets SO_LINGER of the caller's connection. It fails if the connection is
// closed.
func (x *exchange) setLinger(seconds int) error {
	conn, ok := x.r.Context().Value(callerConnKey{}).(*net.TCPConn)
	if !ok {
		return nil // tests may serve a request without a connection
	}
	if err := conn.SetLinger(seconds); err != nil {
		return fmt.Errorf("set SO_LINGER of the caller's connection: %w", err)
	}
	return nil
}

// callerConnKey is the context key of withCallerConn.
type callerConnKey struct{}

// withCallerConn stores a caller's connection in the context of its requests.
func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}
