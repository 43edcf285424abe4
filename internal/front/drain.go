package front

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// drainingListener accepts what has arrived before it closes: the kernel resets connections that
// are established and not accepted when their listener is closed.
type drainingListener struct {
	*net.TCPListener
	draining atomic.Bool
	closed   chan struct{} // closed once it accepts no more
}

// listenDraining listens at the address, host:port.
func listenDraining(address string) (*drainingListener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &drainingListener{TCPListener: l.(*net.TCPListener), closed: make(chan struct{})}, nil
}

// Accept implements net.Listener. It fails with net.ErrClosed once the listener has drained.
func (l *drainingListener) Accept() (net.Conn, error) {
	if !l.draining.Load() {
		conn, err := l.TCPListener.Accept()
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
	}
	if conn := l.acceptPending(); conn != nil {
		return conn, nil
	}
	err := l.Close()
	close(l.closed)
	return nil, errors.Join(net.ErrClosed, err)
}

// acceptPending returns a connection that is established already, nil if there is none.
func (l *drainingListener) acceptPending() net.Conn {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil
	}
	accepted := -1
	err = raw.Control(func(fd uintptr) {
		if accepted, _, err = syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC); err != nil {
			accepted = -1
		}
	})
	if err != nil || accepted < 0 {
		return nil
	}
	file := os.NewFile(uintptr(accepted), "")
	defer file.Close() // FileConn duplicates the descriptor
	conn, err := net.FileConn(file)
	if err != nil {
		return nil
	}
	return conn
}

// drain closes the listener as soon as it has accepted all that has arrived, and returns then or
// when the context ends. A server must be calling Accept.
func (l *drainingListener) drain(ctx context.Context) {
	l.draining.Store(true)
	if l.SetDeadline(time.Now()) != nil {
		return // closed already
	}
	select {
	case <-l.closed:
	case <-ctx.Done():
	}
}

// busyPollInterval is the interval at which the end of busy connections is checked.
const busyPollInterval = time.Millisecond

// frontServer is a server, its listener and what its connections do.
type frontServer struct {
	*http.Server
	listener *drainingListener

	mu   sync.Mutex
	busy map[net.Conn]struct{} // connections on which a first or further request is expected or in progress
}

// newFrontServer returns a server that is to serve the listener.
func newFrontServer(s *http.Server, l *drainingListener) *frontServer {
	f := &frontServer{Server: s, listener: l, busy: map[net.Conn]struct{}{}}
	s.ConnState = f.connectionIs
	return f
}

// connectionIs records what a connection does.
func (f *frontServer) connectionIs(conn net.Conn, state http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if state == http.StateNew || state == http.StateActive {
		f.busy[conn] = struct{}{}
	} else {
		delete(f.busy, conn)
	}
}

// allIdle reports whether no connection is busy.
func (f *frontServer) allIdle() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.busy) == 0
}

// shutdown closes the listener once it has accepted what has arrived, and the connections once the
// requests on them are answered, or when the context ends. http.Server.Shutdown alone drops each
// request that it reads from then on.
func (f *frontServer) shutdown(ctx context.Context) {
	f.listener.drain(ctx)
	for !f.allIdle() && ctx.Err() == nil {
		time.Sleep(busyPollInterval)
	}
	_ = f.Shutdown(ctx) // what does not end in time is closed by the caller
}
