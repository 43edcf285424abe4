// Package host serves the HTTP handler of a stand-in and can stop and restart on
// the same address.
package host

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"

	"github.com/redwingnotch/redwingnotch/standin/fault"
)

// Server is an HTTP server for one handler. It can be closed and restarted. Safe for
// concurrent use.
type Server struct {
	handler http.Handler
	faults  *fault.Injector

	mu     sync.Mutex
	listen func() (net.Listener, error) // listens on the host's address for Restart; nil if unset
	server *http.Server                 // nil while the host does not serve
	done   chan struct{}                // closed when server.Serve has returned
}

// New returns a host that does not serve yet. The host injects the faults of
// connections only; the handler must inject the others itself.
func New(handler http.Handler, faults *fault.Injector) *Server {
	return &Server{handler: handler, faults: faults}
}

// ErrServing is returned by Serve, Start and Restart if the host already serves.
var ErrServing = errors.New("stand-in is already serving")

// Start listens on a TCP address, such as 127.0.0.1:0, and serves until Close. It
// returns the bound address, which Restart uses again.
func (s *Server) Start(address string) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("start stand-in: %w", err)
	}
	bound := l.Addr().String()
	s.SetListen(func() (net.Listener, error) { return net.Listen("tcp", bound) })
	if err := s.Serve(l); err != nil {
		l.Close()
		return "", err
	}
	return bound, nil
}

// SetListen sets the function with which Restart listens. Start sets it to listen
// on the bound TCP address.
func (s *Server) SetListen(listen func() (net.Listener, error)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listen = listen
}

// ErrNoAddress is returned by Restart if neither Start nor SetListen was called.
var ErrNoAddress = errors.New("stand-in has no address to listen on")

// Restart listens on the same address again and serves until Close.
func (s *Server) Restart() error {
	s.mu.Lock()
	listen := s.listen
	s.mu.Unlock()
	if listen == nil {
		return ErrNoAddress
	}
	l, err := listen()
	if err != nil {
		return fmt.Errorf("restart stand-in: %w", err)
	}
	return s.Serve(l)
}

// Serve accepts connections from l in the background until Close.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		return ErrServing
	}
	server := &http.Server{Handler: s.handler, ConnContext: fault.ConnContext}
	done := make(chan struct{})
	s.server = server
	s.done = done
	go func() {
		defer close(done)
		_ = server.Serve(s.faults.Listener(l))
	}()
	return nil
}

// Close stops listening and closes all connections, as a process crash does.
// Stalled connections stay open for their peers. The host can serve again.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server == nil {
		return
	}
	s.server.Close()
	<-s.done
	s.server = nil
}
