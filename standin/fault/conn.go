package fault

import (
	"net"
	"sync/atomic"
	"time"
)

// Listener wraps a listener so that StallConns, CloseConns and ActiveConns apply
// to the connections it accepts.
func (i *Injector) Listener(l net.Listener) net.Listener {
	return &listener{Listener: l, faults: i}
}

// StallConns stalls all open connections permanently: received data is
// discarded and nothing more is sent, not even the close of the connection. New
// connections are not affected.
func (i *Injector) StallConns() {
	for _, c := range i.trackedConns() {
		c.stalled.Store(true)
	}
}

// CloseConns closes all open connections, as a process crash does. Stalled ones stay
// open for their peers.
func (i *Injector) CloseConns() {
	for _, c := range i.trackedConns() {
		c.Close()
	}
}

// ActiveConns returns the number of open connections that are not stalled.
func (i *Injector) ActiveConns() int {
	n := 0
	for _, c := range i.trackedConns() {
		if !c.stalled.Load() {
			n++
		}
	}
	return n
}

func (i *Injector) trackedConns() []*conn {
	i.mu.Lock()
	defer i.mu.Unlock()
	open := make([]*conn, 0, len(i.conns))
	for c := range i.conns {
		open = append(open, c)
	}
	return open
}

func (i *Injector) track(c *conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.conns == nil {
		i.conns = map[*conn]struct{}{}
	}
	i.conns[c] = struct{}{}
}

func (i *Injector) untrack(c *conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.conns, c)
}

type listener struct {
	net.Listener
	faults *Injector
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, faults: l.faults}
	l.faults.track(c)
	return c, nil
}

// conn is the server side of a connection that can be stalled.
type conn struct {
	net.Conn
	faults  *Injector
	stalled atomic.Bool
}

// Read implements net.Conn. On a stalled connection it discards what it reads and
// returns only when reading fails.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.stalled.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn. On a stalled connection it sends nothing and reports
// success.
func (c *conn) Write(p []byte) (int, error) {
	if c.stalled.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. A stalled connection stays open for its peer: Close
// only ends a pending Read. It stays tracked, as the garbage collector would close it.
func (c *conn) Close() error {
	if c.stalled.Load() {
		return c.Conn.SetReadDeadline(time.Now())
	}
	c.faults.untrack(c)
	return c.Conn.Close()
}

// reset makes the connection end with a reset when it is closed. Connections that are
// not TCP close in order.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails if the connection is closed
	}
}
