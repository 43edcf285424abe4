package fault

import (
	"context"
	"net"
	"net/http"

	"github.com/redwingnotch/redwingnotch/standin/rawhttp"
)

// Cut says where and how a response is broken off.
type Cut struct {
	After int         // bytes of the body that are sent; a shorter body is sent whole
	End   rawhttp.End // how the response ends after them
}

// frame returns the writer that sends a response as decided.
func (d Decision) frame(w http.ResponseWriter, r *http.Request) http.ResponseWriter {
	if d.Unframed {
		// To net/http "identity" means neither a length nor chunks; it is not sent.
		w.Header().Set("Transfer-Encoding", "identity")
	}
	if d.Cut == nil {
		return w
	}
	return &cutWriter{ResponseWriter: w, request: r, left: d.Cut.After, end: d.Cut.End}
}

// cutWriter cuts a response.
type cutWriter struct {
	http.ResponseWriter
	request *http.Request
	left    int // bytes of the body that may be sent
	end     rawhttp.End
}

// Flush implements http.Flusher.
func (w *cutWriter) Flush() {
	_ = http.NewResponseController(w.ResponseWriter).Flush() // fails if the client has left
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (w *cutWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write implements http.ResponseWriter. It ends the response at the cut and then does
// not return, except for a response that falls silent.
func (w *cutWriter) Write(p []byte) (int, error) {
	if len(p) < w.left {
		w.left -= len(p)
		return w.ResponseWriter.Write(p)
	}
	if n, err := w.ResponseWriter.Write(p[:w.left]); err != nil {
		return n, err
	}
	w.left = 0
	w.Flush()
	conn, _ := w.request.Context().Value(connKey{}).(*conn)
	switch {
	case conn == nil || w.end == rawhttp.Close:
		panic(http.ErrAbortHandler)
	case w.end == rawhttp.Reset:
		conn.reset()
		panic(http.ErrAbortHandler)
	}
	conn.stalled.Store(true)
	return len(p), nil
}

// connKey is the context key of ConnContext.
type connKey struct{}

// ConnContext is the http.Server.ConnContext of servers whose responses are cut by
// reset or silence.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}
