// Package closeframe sends HTTP responses without length and chunks, which end with the
// connection. While such a response is under way, the connection can only be reset, so
// that neither an aborted response nor the end of the process looks like its end.
package closeframe

import (
	"context"
	"fmt"
	"net"
	"net/http"
)

// SO_LINGER values, in seconds.
const (
	lingerReset   = 0  // closing the connection resets it
	lingerDefault = -1 // closing the connection ends it in order
)

// Begin makes the response end with the connection. Call it before the response's head
// is written. It fails if the connection is closed. A handler that fails afterwards
// must panic with http.ErrAbortHandler.
func Begin(w http.ResponseWriter, r *http.Request) error {
	// To net/http "identity" means neither a length nor chunks; it is not sent.
	w.Header().Set("Transfer-Encoding", "identity")
	w.Header().Set("Connection", "close")
	return setLinger(r, lingerReset)
}

// End sends what is buffered and lets the connection end in order. It fails if the
// connection is closed.
func End(w http.ResponseWriter, r *http.Request) error {
	if err := http.NewResponseController(w).Flush(); err != nil {
		return fmt.Errorf("flush response: %w", err)
	}
	return setLinger(r, lingerDefault)
}

// setLinger sets SO_LINGER of the request's connection. Connections that are not TCP,
// as in tests, have none.
func setLinger(r *http.Request, seconds int) error {
	conn, ok := r.Context().Value(connKey{}).(*net.TCPConn)
	if !ok {
		return nil
	}
	if err := conn.SetLinger(seconds); err != nil {
		return fmt.Errorf("set SO_LINGER: %w", err)
	}
	return nil
}

// connKey is the context key of ConnContext.
type connKey struct{}

// ConnContext is the http.Server.ConnContext of servers that use this package.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}
