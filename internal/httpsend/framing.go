package httpsend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"syscall"
)

// Framing says what marks the end of a response's body (RFC 9112, section 6.3).
type Framing string

// Framings of a response.
const (
	FramingLength Framing = "length" // Content-Length, or no body by the request's method or the status
	FramingChunks Framing = "chunks" // the last chunk
	FramingClose  Framing = "close"  // the end of the connection
)

// FramingOf returns the framing of a response of http.Client.
func FramingOf(resp *http.Response) Framing {
	switch {
	case slices.Contains(resp.TransferEncoding, "chunked"):
		return FramingChunks
	case resp.ContentLength >= 0 || resp.Body == http.NoBody:
		return FramingLength
	}
	return FramingClose
}

// End says how a response's body ended.
type End string

// Ends of a response's body.
const (
	EndComplete  End = "complete"  // the length was reached or the last chunk was received
	EndClosed    End = "closed"    // the server closed the connection of a response with FramingClose
	EndTruncated End = "truncated" // the server closed the connection before the length was reached or the last chunk was sent
	EndReset     End = "reset"     // the connection was reset or lost
	EndCanceled  End = "canceled"  // this node gave up, by a timeout or with its caller
	EndMalformed End = "malformed" // the framing can't be parsed or ends within the last chunk, or the body exceeds a limit
)

// EndOf returns how a body with the framing ended. err is the result of its last
// read: nil and io.EOF both mean that the body was read to its end.
func EndOf(f Framing, err error) End {
	var timeout net.Error
	switch {
	case err == nil || errors.Is(err, io.EOF):
		if f == FramingClose {
			return EndClosed
		}
		return EndComplete
	case errors.Is(err, io.ErrUnexpectedEOF):
		return EndTruncated
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE), errors.Is(err, syscall.ETIMEDOUT):
		return EndReset
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded), errors.Is(err, os.ErrDeadlineExceeded),
		errors.Is(err, net.ErrClosed), errors.As(err, &timeout) && timeout.Timeout():
		return EndCanceled
	}
	return EndMalformed
}
