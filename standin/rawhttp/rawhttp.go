// Package rawhttp sends HTTP responses with a chosen framing that can be cut after
// any byte, for tests of how clients detect incomplete responses.
package rawhttp

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/redwingnotch/redwingnotch/internal/httpsend"
)

// End is how the server ends a response after its last byte.
type End int

// Ends of a response.
const (
	Open  End = iota // keeps the connection open and sends nothing more
	Close            // closes the connection
	Reset            // resets the connection
)

// String returns the name of the end.
func (e End) String() string { return [...]string{"open", "close", "reset"}[e] }

// Ends lists all ends of a response.
func Ends() []End { return []End{Open, Close, Reset} }

// Framings lists all framings of a response.
func Framings() []httpsend.Framing {
	return []httpsend.Framing{httpsend.FramingLength, httpsend.FramingChunks, httpsend.FramingClose}
}

// All as Response.Cut sends the whole response.
const All = -1

// Response is one response.
type Response struct {
	Status  int // zero selects 200
	Header  http.Header
	Framing httpsend.Framing
	Parts   []string // the body; with FramingChunks one chunk each
	Cut     int      // number of bytes of the encoded body that are sent, or All
	End     End
}

// EncodedBody returns the body as it is sent if it is not cut.
func (r Response) EncodedBody() string {
	if r.Framing != httpsend.FramingChunks {
		return strings.Join(r.Parts, "")
	}
	var s strings.Builder
	for _, part := range r.Parts {
		if part != "" {
			fmt.Fprintf(&s, "%x\r\n%s\r\n", len(part), part)
		}
	}
	s.WriteString("0\r\n\r\n")
	return s.String()
}

// head returns the status line and the headers.
func (r Response) head() string {
	status := r.Status
	if status == 0 {
		status = http.StatusOK
	}
	header := r.Header.Clone()
	header.Del("Content-Length")
	switch r.Framing {
	case httpsend.FramingLength:
		header.Set("Content-Length", fmt.Sprint(len(r.EncodedBody())))
	case httpsend.FramingChunks:
		header.Set("Transfer-Encoding", "chunked")
	case httpsend.FramingClose:
		header.Set("Connection", "close")
	}
	var s strings.Builder
	fmt.Fprintf(&s, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = header.Write(&s) // a strings.Builder does not fail
	return s.String() + "\r\n"
}

// WriteTo sends the response, with the headers set on w before, and ends it. w must
// be that of a handler of net/http. The connection serves no further request.
func (r Response) WriteTo(w http.ResponseWriter) error {
	header := w.Header().Clone()
	for name, values := range r.Header {
		header[name] = values
	}
	r.Header = header
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return fmt.Errorf("take over the connection: %w", err)
	}
	body := r.EncodedBody()
	if r.Cut != All {
		body = body[:r.Cut]
	}
	if _, err := io.WriteString(conn, r.head()+body); err != nil {
		return fmt.Errorf("send response: %w", closeAfter(conn, err))
	}
	return r.End.end(conn)
}

// end ends a response on the connection.
func (e End) end(conn net.Conn) error {
	switch e {
	case Reset:
		if tcp, ok := conn.(*net.TCPConn); ok {
			if err := tcp.SetLinger(0); err != nil {
				return closeAfter(conn, err)
			}
		}
	case Open:
		// Returns once the client has closed the connection.
		_, _ = io.Copy(io.Discard, conn)
	}
	return conn.Close()
}

// closeAfter closes the connection after an error, which it returns.
func closeAfter(conn net.Conn, err error) error {
	conn.Close()
	return err
}
