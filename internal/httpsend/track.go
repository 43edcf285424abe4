package httpsend

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
	"time"
)

// DialFunc opens a connection, as http.Transport.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// errSealed is returned by writes to a connection whose call was given up.
var errSealed = errors.New("connection given up")

// conn counts the writes of a connection by which bytes left or may leave.
type conn struct {
	net.Conn
	mu     sync.Mutex
	begun  uint64
	sealed bool
}

// Write implements net.Conn. It counts the write before it is made and takes it
// back if no byte left, so that a count that has not risen proves that none did.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.begun++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		c.mu.Lock()
		c.begun--
		c.mu.Unlock()
	}
	return n, err
}

func (c *conn) writes() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.begun
}

// seal refuses all later writes and returns the number of writes counted.
func (c *conn) seal() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.begun
}

// trackedDial wraps dial so that the connections it opens can be tracked.
func trackedDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		inner, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: inner}, nil
	}
}

// call tracks one HTTP request over all connections that the client tries.
type call struct {
	mu        sync.Mutex
	used      []use
	untracked bool
	reused    bool          // some connection had carried an earlier request
	rested    time.Duration // for how long the newest connection had not been used
}

type use struct {
	conn  *conn
	start uint64 // writes counted on the connection before this request
}

// track returns a context whose HTTP request is recorded in the call.
func track(ctx context.Context) (context.Context, *call) {
	c := &call{}
	trace := &httptrace.ClientTrace{GotConn: c.gotConn}
	return httptrace.WithClientTrace(ctx, trace), c
}

// gotConn notes the connection of the next try. The standard client repeats
// some requests of which bytes have left; the seal makes such a try fail.
func (c *call) gotConn(info httptrace.GotConnInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reused = c.reused || info.Reused
	c.rested = info.IdleTime
	tracked, ok := info.Conn.(*conn)
	if !ok {
		c.untracked = true
		return
	}
	if len(c.used) > 0 {
		last := c.used[len(c.used)-1]
		if last.conn.writes() != last.start {
			tracked.seal()
			return
		}
	}
	c.used = append(c.used, use{conn: tracked, start: tracked.writes()})
}

// rest returns for how long the newest connection had not been used before.
func (c *call) rest() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rested
}

// mayHaveSent reports, after the request failed, whether any byte of it may have
// left or may still leave. It makes the request's connections useless, so that
// the answer stays true; call it only once the client has returned an error.
// Connections not opened through trackedDial count as having sent. It also
// reports whether an earlier request had used one of the connections.
func (c *call) mayHaveSent() (sent, reused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent = c.untracked
	for _, u := range c.used {
		if u.conn.seal() != u.start {
			sent = true
		}
	}
	return sent, c.reused
}
