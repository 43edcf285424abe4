package httpsend

import (
	"context"
	"errors"
	"fmt"
	"io"
)

// errEndedAmidRequest means that a server ended the connection before it was sent the whole request.
var errEndedAmidRequest = fmt.Errorf("connection ended while the request was being written: %w", io.ErrUnexpectedEOF)

// unframedBody is the body of a response with FramingClose to a request with a body. It is whole only
// if the request was written whole. Otherwise the server has ended the connection with a part of the
// request unread, and if the kernel has told a write of a reset or a timeout, the read that follows
// returns io.EOF as if the connection had been closed in order.
type unframedBody struct {
	io.ReadCloser
	ctx  context.Context // of the request
	call *call
	conn *conn // on which the response arrives
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	select {
	case <-b.call.written:
		return n, err
	case <-b.conn.writeFailed:
		return n, errEndedAmidRequest
	case <-b.ctx.Done():
		return n, context.Cause(b.ctx)
	}
}
