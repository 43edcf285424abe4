// Package httpsend sends HTTP requests and classifies failures: nothing was sent,
// no connection could be made, or the server may have run the request. The errors
// of the standard client do not distinguish these, but a response may say that the
// request was not run only if nothing was sent.
package httpsend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Errors of Do. The returned errors also wrap the cause.
var (
	ErrNotSent     = errors.New("no byte of the request was sent")
	ErrUnreachable = errors.New("no connection could be made")
	ErrMaybeSent   = errors.New("the request may have been carried out")
	ErrReused      = errors.New("connection was reused") // an earlier request had used it; joined to ErrMaybeSent
)

// IdleConnError is an ErrReused that holds the time for which the reused connection
// had been idle before the failed request.
type IdleConnError struct{ IdleTime time.Duration }

// Error implements error.
func (e *IdleConnError) Error() string { return fmt.Sprintf("%v after %v idle", ErrReused, e.IdleTime) }

// Is reports whether target is ErrReused.
func (e *IdleConnError) Is(target error) bool { return target == ErrReused }

// Options configures how connections are opened and reused.
type Options struct {
	Dial        DialFunc      // nil dials TCP with keepalive and a user timeout
	DialTimeout time.Duration // zero selects DefaultDialTimeout
	IdleTimeout time.Duration // idle connections are closed after this time; zero selects DefaultIdleTimeout
	MaxIdle     int           // maximum number of idle connections per host; zero selects DefaultMaxIdle
	SingleUse   bool          // each request uses a new connection
	SingleConn  bool          // all requests use one connection; ErrConnClosed once it is closed
}

// Defaults of Options.
const (
	DefaultDialTimeout = 500 * time.Millisecond
	DefaultIdleTimeout = 10 * time.Second
	DefaultMaxIdle     = 64
)

// maxResponseHeaderBytes limits the size of response headers.
const maxResponseHeaderBytes = 64 << 10

// NewClient returns a client that follows no redirects, uses no proxy, and does
// not retry a request of which a byte may have been sent.
func NewClient(o Options) *http.Client {
	dial := o.Dial
	if dial == nil {
		dial = DialTCP
	}
	if o.SingleConn {
		dial = dialOnlyOnce(dial)
	}
	transport := &http.Transport{
		DialContext:            dialWithTimeout(orDefault(o.DialTimeout, DefaultDialTimeout), trackDial(dial)),
		IdleConnTimeout:        orDefault(o.IdleTimeout, DefaultIdleTimeout),
		MaxIdleConnsPerHost:    orDefault(o.MaxIdle, DefaultMaxIdle),
		DisableKeepAlives:      o.SingleUse,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// ErrConnClosed means that the only connection of a client with SingleConn is
// closed. Nothing was sent.
var ErrConnClosed = errors.New("the client's only connection is closed")

// dialOnlyOnce wraps dial so that it fails with ErrConnClosed after the first call.
func dialOnlyOnce(dial DialFunc) DialFunc {
	var dialed atomic.Bool
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if dialed.Swap(true) {
			return nil, ErrConnClosed
		}
		return dial(ctx, network, address)
	}
}

// orDefault returns value, or defaultValue if value is zero.
func orDefault[T comparable](value, defaultValue T) T {
	var zero T
	if value == zero {
		return defaultValue
	}
	return value
}

// dialWithTimeout limits the time of each dial.
func dialWithTimeout(timeout time.Duration, dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return dial(ctx, network, address)
	}
}

// maxStaleConnRetries is how often a request is retried on another connection
// because the reused one was already closed. After that, the server probably
// closes every connection immediately.
const maxStaleConnRetries = 3

// Do sends the request over a client made by NewClient. It returns the response
// once its headers have arrived, or an error that wraps one of ErrNotSent,
// ErrUnreachable and ErrMaybeSent. If a reused connection was closed before a byte
// of the request was written, it retries on another one, because that does not
// show a failure of the server.
func Do(client *http.Client, req *http.Request) (*http.Response, error) {
	for range maxStaleConnRetries {
		resp, err := doOnce(client, req)
		if !errors.Is(err, errStaleConn) || !rewindBody(req) {
			return resp, err
		}
	}
	return doOnce(client, req)
}

// errStaleConn is joined to ErrNotSent if the request got only reused connections
// and all of them were already closed.
var errStaleConn = errors.New("reused connection was already closed")

// rewindBody resets the body for a retry and reports whether that is possible. The
// standard client closes a body even if it sends none of it.
func rewindBody(req *http.Request) bool {
	if req.Body == nil || req.Body == http.NoBody {
		return true
	}
	if req.GetBody == nil {
		return false
	}
	body, err := req.GetBody()
	if err != nil {
		return false // the caller gets ErrNotSent, which is still true
	}
	req.Body = body
	return true
}

// errSwitchedProtocols means that the server left HTTP, which no request asks for.
// The body of such a response is the bare connection: a read of it does not end
// with the request's context.
var errSwitchedProtocols = errors.New("server switched protocols")

// errInvalidStatus means that a server sent a status code that HTTP does not have, so that what follows
// is no response (RFC 9110, section 15). The standard client accepts any three-digit number.
var errInvalidStatus = errors.New("invalid status code")

// isStatus reports whether HTTP has the class of the status code.
func isStatus(code int) bool { return code >= 100 && code <= 599 }

// doOnce sends the request as Do does, but returns errStaleConn if the reused
// connections that it got were already closed.
func doOnce(client *http.Client, req *http.Request) (*http.Response, error) {
	if err := req.Context().Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	ctx, call := track(req.Context())
	resp, err := client.Do(req.WithContext(ctx))
	if err == nil {
		return checkResponse(req, resp, call)
	}
	cause := err
	if c := context.Cause(req.Context()); c != nil {
		cause = c
	}
	sent, reused := call.mayHaveSent()
	if sent && reused {
		return nil, fmt.Errorf("%w: %w: %w", ErrMaybeSent, &IdleConnError{IdleTime: call.idleTime()}, cause)
	}
	if sent {
		return nil, fmt.Errorf("%w: %w", ErrMaybeSent, cause)
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	if reused && req.Context().Err() == nil {
		return nil, fmt.Errorf("%w: %w: %w", ErrNotSent, errStaleConn, cause)
	}
	return nil, fmt.Errorf("%w: %w", ErrNotSent, cause)
}

// checkResponse returns the response that call got to the request, or an error if it is none.
func checkResponse(req *http.Request, resp *http.Response, call *call) (*http.Response, error) {
	switch {
	case resp.StatusCode == http.StatusSwitchingProtocols:
		resp.Body.Close()
		return nil, fmt.Errorf("%w: %w", ErrMaybeSent, errSwitchedProtocols)
	case !isStatus(resp.StatusCode):
		_ = CloseConn(resp) // the error that is returned tells more
		return nil, fmt.Errorf("%w: %w: %d", ErrMaybeSent, errInvalidStatus, resp.StatusCode)
	}
	hasBody := req.Body != nil && req.Body != http.NoBody
	if conn := call.lastConn(); conn != nil && hasBody && FramingOf(resp) == FramingClose {
		resp.Body = &unframedBody{resp.Body, req.Context(), call, conn}
	}
	return resp, nil
}

// ErrTooLarge is returned by ReadBody for bodies larger than the limit.
var ErrTooLarge = errors.New("body is larger than allowed")

// ReadBody reads and closes a body of at most limit bytes. The error wraps
// ErrTooLarge if the body is larger.
func ReadBody(body io.ReadCloser, limit int64) ([]byte, error) {
	defer body.Close()
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, fmt.Errorf("%w: limit %d bytes", ErrTooLarge, limit)
	}
	return data, nil
}
