package httpsend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// DialFunc opens a connection, as http.Transport.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// errWritesBlocked is returned by writes to a connection after blockWrites.
var errWritesBlocked = errors.New("connection is closed for writing")

// conn counts the writes of a connection that sent or may send bytes, and tells when one has failed.
type conn struct {
	net.Conn
	mu            sync.Mutex
	writeCount    uint64
	writesBlocked bool
	failed        bool          // a write has failed
	writeFailed   chan struct{} // closed then
}

// newConn returns a conn without writes.
func newConn(inner net.Conn) *conn { return &conn{Conn: inner, writeFailed: make(chan struct{})} }

// Write implements net.Conn. It counts the write before making it and reverts
// the count if no byte was written, so that an unchanged count proves that nothing was sent.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.writesBlocked {
		c.mu.Unlock()
		return 0, errWritesBlocked
	}
	c.writeCount++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if err == nil {
		return n, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if n == 0 {
		c.writeCount--
	}
	if !c.failed {
		c.failed = true
		close(c.writeFailed)
	}
	return n, err
}

// Read implements net.Conn. At the end of what it reads, a write in progress fails: the peer has sent
// all that it will, so the rest of the request is of no use, and unframedBody must not wait for it.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		_ = c.Conn.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection, on which writes end
	}
	return n, err
}

// writes returns the number of writes counted.
func (c *conn) writes() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeCount
}

// blockWrites makes all later writes fail and returns the number of writes counted.
func (c *conn) blockWrites() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesBlocked = true
	return c.writeCount
}

// trackDial wraps dial so that the connections it opens can be tracked.
func trackDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		inner, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(inner), nil
	}
}

// call tracks one HTTP request across all connections on which the client tries it.
type call struct {
	mu        sync.Mutex
	connUses  []connUse
	untracked bool          // some connection was not opened through trackDial
	reused    bool          // an earlier request had used some connection
	idleFor   time.Duration // idle time of the latest connection before this request
	whole     bool          // the request has been written whole
	written   chan struct{} // closed then
}

// connUse is a connection on which the request was tried.
type connUse struct {
	conn         *conn
	writesBefore uint64 // writes counted on the connection before this request
}

// callKey is the context key of the call that tracks a request.
type callKey struct{}

// callOf returns the call that tracks the request of a response of Do, nil if none does.
func callOf(resp *http.Response) *call {
	if resp.Request == nil {
		return nil
	}
	c, _ := resp.Request.Context().Value(callKey{}).(*call)
	return c
}

// Reused reports whether an earlier request may have used the connection on which the
// response of Do arrived. If none has, the response can't belong to another request.
func Reused(resp *http.Response) bool {
	c := callOf(resp)
	if c == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reused || c.untracked
}

// CloseConn closes the connection on which the response of Do arrived, so that what the
// server still sends on it reaches no other request.
func CloseConn(resp *http.Response) error {
	err := resp.Body.Close()
	c := callOf(resp)
	if c == nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, u := range c.connUses {
		u.conn.blockWrites()
		err = errors.Join(err, u.conn.Close())
	}
	return err
}

// track returns a context whose HTTP request the returned call tracks.
func track(ctx context.Context) (context.Context, *call) {
	c := &call{written: make(chan struct{})}
	trace := &httptrace.ClientTrace{GotConn: c.gotConn, WroteRequest: c.wroteRequest}
	return httptrace.WithClientTrace(context.WithValue(ctx, callKey{}, c), trace), c
}

// gotConn records the connection of the next try. The standard client retries some
// requests after bytes were sent; blocking writes makes such a retry fail.
func (c *call) gotConn(info httptrace.GotConnInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reused = c.reused || info.Reused
	c.idleFor = info.IdleTime
	tracked, ok := info.Conn.(*conn)
	if !ok {
		c.untracked = true
		return
	}
	if len(c.connUses) > 0 {
		last := c.connUses[len(c.connUses)-1]
		if last.conn.writes() != last.writesBefore {
			tracked.blockWrites()
			return
		}
	}
	c.connUses = append(c.connUses, connUse{conn: tracked, writesBefore: tracked.writes()})
}

// wroteRequest records that the request has been written. A failure is known by the connection: this may
// be called late for one that was tried before.
func (c *call) wroteRequest(info httptrace.WroteRequestInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if info.Err == nil && !c.whole {
		c.whole = true
		close(c.written)
	}
}

// lastConn returns the connection on which the request was tried last, nil if it is not tracked.
func (c *call) lastConn() *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.connUses) == 0 || c.untracked {
		return nil
	}
	return c.connUses[len(c.connUses)-1].conn
}

// idleTime returns for how long the latest connection had been idle before.
func (c *call) idleTime() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleFor
}

// mayHaveSent reports, after the request failed, whether any byte of it was sent
// or may still be sent. It blocks writes on the request's connections so that the
// result stays true; call it only once the client has returned an error.
// Connections not opened through trackDial count as having sent. It also reports
// whether an earlier request had used one of the connections.
func (c *call) mayHaveSent() (sent, reused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent = c.untracked
	for _, u := range c.connUses {
		if u.conn.blockWrites() != u.writesBefore {
			sent = true
		}
	}
	return sent, c.reused
}
