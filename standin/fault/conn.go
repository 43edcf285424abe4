package fault

import (
	"net"
	"sync/atomic"
	"time"
)

// Listener wraps a listener, so that the board reaches its connections.
func (b *Board) Listener(l net.Listener) net.Listener {
	return &listener{Listener: l, board: b}
}

// SilenceOpen makes all open connections silent for good: what arrives is
// thrown away and nothing is sent, not even the end of the connection. New
// connections work.
func (b *Board) SilenceOpen() {
	for _, c := range b.open() {
		c.silent.Store(true)
	}
}

// DropOpen closes all open connections but silent ones, as a crash does.
func (b *Board) DropOpen() {
	for _, c := range b.open() {
		c.Close()
	}
}

// OpenConns returns the number of connections that are open and not silent.
func (b *Board) OpenConns() int {
	n := 0
	for _, c := range b.open() {
		if !c.silent.Load() {
			n++
		}
	}
	return n
}

func (b *Board) open() []*conn {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make([]*conn, 0, len(b.conns))
	for c := range b.conns {
		all = append(all, c)
	}
	return all
}

func (b *Board) add(c *conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.conns == nil {
		b.conns = map[*conn]struct{}{}
	}
	b.conns[c] = struct{}{}
}

func (b *Board) remove(c *conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.conns, c)
}

type listener struct {
	net.Listener
	board *Board
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, board: l.board}
	l.board.add(c)
	return c, nil
}

// conn is a server's side of a connection that can go silent.
type conn struct {
	net.Conn
	board  *Board
	silent atomic.Bool
}

// Read implements net.Conn. On a silent connection it throws away what arrives
// and returns only when the connection ends.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn. On a silent connection it claims success.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. The other end of a silent connection learns
// nothing of it.
func (c *conn) Close() error {
	c.board.remove(c)
	if c.silent.Load() {
		return c.Conn.SetReadDeadline(time.Now())
	}
	return c.Conn.Close()
}
