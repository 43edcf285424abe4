package httpsend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"syscall"
	"time"
)

// DialFunc opens a connection, as http.Transport.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// errWritesBlocked is returned by writes to a connection after blockWrites.
var errWritesBlocked = errors.New("connection is closed for writing")

// conn counts the writes of a connection that sent or may send bytes, and tells an
// orderly end of what it reads from a reset.
type conn struct {
	net.Conn
	mu            sync.Mutex
	writeCount    uint64
	writesBlocked bool
	reset         bool      // a write found the connection reset
	writing       int       // writes in progress
	written       sync.Cond // signals the end of a write
}

// newConn returns a conn without writes.
func newConn(inner net.Conn) *conn {
	c := &conn{Conn: inner}
	c.written.L = &c.mu
	return c
}

// Write implements net.Conn. It counts the write before making it and reverts
// the count if no byte was written, so that an unchanged count proves that nothing was sent.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.writesBlocked {
		c.mu.Unlock()
		return 0, errWritesBlocked
	}
	c.writeCount++
	c.writing++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing--
	if n == 0 && err != nil {
		c.writeCount--
	}
	c.reset = c.reset || errors.Is(err, syscall.ECONNRESET)
	c.written.Broadcast()
	return n, err
}

// errResetSeenByWrite means that a connection was reset, of which only a write was told.
var errResetSeenByWrite = fmt.Errorf("connection ended during a write: %w", syscall.ECONNRESET)

// Read implements net.Conn. The kernel reports a reset only once. If a write got it, a
// read returns io.EOF, which would be the proper end of a response with FramingClose.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	// A write in progress may have got it, too. The peer has sent all that it will, so
	// the rest of the request is of no use.
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection, on which writes end
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.writing > 0 {
		c.written.Wait()
	}
	if c.reset {
		return n, errResetSeenByWrite
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
	c := &call{}
	trace := &httptrace.ClientTrace{GotConn: c.gotConn}
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
