// Package host serves a stand-in's handler on a listener, with its faults.
package host

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"

	"github.com/redwingnotch/redwingnotch/standin/fault"
)

// Host serves one handler. Safe for concurrent use.
type Host struct {
	handler http.Handler
	board   *fault.Board

	mu     sync.Mutex
	listen func() (net.Listener, error) // opens the host's address again
	server *http.Server
	done   chan struct{}
}

// New returns a host that does not serve yet. The board reaches the host's
// connections; the handler applies the board's other faults itself.
func New(handler http.Handler, board *fault.Board) *Host {
	return &Host{handler: handler, board: board}
}

// ErrServing is returned by Serve and Start while the host serves.
var ErrServing = errors.New("stand-in serves already")

// Start listens on a TCP address, such as 127.0.0.1:0, and serves until Close.
// It returns the address listened on.
func (h *Host) Start(address string) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("stand-in: %w", err)
	}
	bound := l.Addr().String()
	h.SetListen(func() (net.Listener, error) { return net.Listen("tcp", bound) })
	if err := h.Serve(l); err != nil {
		l.Close()
		return "", err
	}
	return bound, nil
}

// SetListen sets how Restart opens the host's address. Start sets it itself.
func (h *Host) SetListen(listen func() (net.Listener, error)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listen = listen
}

// ErrNoAddress is returned by Restart if no way to listen is set.
var ErrNoAddress = errors.New("stand-in has no address to listen on")

// Restart serves the same address again after Close.
func (h *Host) Restart() error {
	h.mu.Lock()
	listen := h.listen
	h.mu.Unlock()
	if listen == nil {
		return ErrNoAddress
	}
	l, err := listen()
	if err != nil {
		return fmt.Errorf("stand-in: %w", err)
	}
	return h.Serve(l)
}

// Serve serves the listener in the background until Close.
func (h *Host) Serve(l net.Listener) error {
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
		_ = server.Serve(h.board.Listener(l))
	}()
	return nil
}

// Close stops listening and closes all connections, as a crash does. Silent
// connections stay silent. The host can serve again.
func (h *Host) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.server == nil {
		return
	}
	h.server.Close()
	<-h.done
	h.server = nil
}
