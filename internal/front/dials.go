package front

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/redwingnotch/redwingnotch/internal/httpsend"
)

// dialCause says why a connection to a backend server is opened for a request.
type dialCause string

// Causes of connections.
const (
	dialFirst  dialCause = "first"  // there was none before
	dialBusy   dialCause = "busy"   // all open ones carry requests
	dialEnded  dialCause = "ended"  // the latest was closed by the server, or failed
	dialClosed dialCause = "closed" // the latest was closed by this node: it was idle, or its request was given up
)

// connUse counts the connections of one start of a backend server.
type connUse struct {
	onDial func(dialCause) // called for each connection that is opened
	count  *atomic.Int64   // connections that are open, as replicas.Table sees them
	mu     sync.Mutex
	opened int       // connections opened so far
	open   int       // connections that are open
	last   dialCause // how the latest connection that is closed ended
}

// dial opens a connection and counts it.
func (u *connUse) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := httpsend.DialTCP(ctx, network, address)
	if err != nil {
		return nil, err
	}
	u.onDial(u.add())
	return &countedConn{Conn: c, use: u}, nil
}

// add counts an opened connection and returns its cause.
func (u *connUse) add() dialCause {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.opened++
	u.open++
	u.count.Add(1)
	switch {
	case u.opened == 1:
		return dialFirst
	case u.open > 1:
		return dialBusy
	}
	return u.last
}

// countedConn is a connection that connUse counts.
type countedConn struct {
	net.Conn
	use   *connUse
	mu    sync.Mutex
	cause dialCause // dialEnded once a read or write failed before Close
	ended bool
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.failed(err)
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.failed(err)
	return n, err
}

// failed records the error of a read or write, unless nil.
func (c *countedConn) failed(err error) {
	if err == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause == "" {
		c.cause = dialEnded
	}
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended {
		c.ended = true
		if c.cause == "" {
			c.cause = dialClosed
		}
		c.use.mu.Lock()
		c.use.open--
		c.use.count.Add(-1)
		c.use.last = c.cause
		c.use.mu.Unlock()
	}
	return c.Conn.Close()
}
