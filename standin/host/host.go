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
func (h *Server) Start(address string) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("start stand-in: %w", err)
	}
	bound := l.Addr().String()
	h.SetListen(func() (net.Listener, error) { return net.Listen("tcp", bound) })
	if err := h.Serve(l); err != nil {
		l.Close()
		return "", err
	}
	return bound, nil
}

// SetListen sets the function with which Restart listens. Start sets it to listen
// on the bound TCP address.
func (h *Server) SetListen(listen func() (net.Listener, error)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listen = listen
}

// ErrNoAddress is returned by Restart if neither Start nor SetListen was called.
var ErrNoAddress = errors.New("stand-in has no address to listen on")

// Restart listens on the same address again and serves until Close.
func (h *Server) Restart() error {
	h.mu.Lock()
	listen := h.listen
	h.mu.Unlock()
	if listen == nil {
		return ErrNoAddress
	}
	l, err := listen()
	if err != nil {
		return fmt.Errorf("restart stand-in: %w", err)
	}
	return h.Serve(l)
}

// Serve accepts connections from l in the background until Close.
func (h *Server) Serve(l net.Listener) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.server != nil {
		return ErrServing
	}
	server := &http.Server{Handler: h.handler}
	done := make(chan struct{})
	h.server = server
	h.done = done
	go func() {
		defer close(done)
		_ = server.Serve(h.faults.WrapListener(l))
	}()
	return nil
}

// Close stops listening and closes all connections, as a process crash does.
// Stalled connections stay open for their peers. The host can serve again.
func (h *Server) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.server == nil {
		return
	}
	h.server.Close()
	<-h.done
	h.server = nil
}
