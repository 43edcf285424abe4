// Package pipenet is an in-memory network within one process, built on net.Pipe.
// It opens no sockets, so that HTTP clients and servers can run in the virtual
// time of testing/synctest.
package pipenet

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
)

// ErrAddressInUse is returned by Listen if the address already has a listener.
var ErrAddressInUse = errors.New("address already in use")

// Network connects dialers with listeners by address. Use New. Safe for
// concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

// New returns a network without listeners.
func New() *Network {
	return &Network{listeners: map[string]*listener{}}
}

// Listen returns a listener for the address, which may be any string, or
// ErrAddressInUse.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, ErrAddressInUse
	}
	l := &listener{
		network: n,
		address: addr(address),
		conns:   make(chan net.Conn),
		done:    make(chan struct{}),
	}
	n.listeners[address] = l
	return l, nil
}

// Dial connects to the listener of the address. If there is none, the error wraps
// syscall.ECONNREFUSED. It can be used as http.Transport.DialContext.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, dialError(address, syscall.ECONNREFUSED)
	}
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.done:
		return nil, dialError(address, syscall.ECONNREFUSED)
	case <-ctx.Done():
		return nil, dialError(address, ctx.Err())
	}
}

func dialError(address string, err error) error {
	return &net.OpError{Op: "dial", Net: "pipe", Addr: addr(address), Err: err}
}

type addr string

func (addr) Network() string  { return "pipe" }
func (a addr) String() string { return string(a) }

type listener struct {
	network *Network
	address addr
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. Accepted connections stay open.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, string(l.address))
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.address }
