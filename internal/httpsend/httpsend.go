// Package httpsend makes HTTP clients that tell honestly how a failed request
// ended: never sent, no connection could be made, or possibly carried out. The
// standard client's errors do not say so, and an answer "not run" needs it.
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

// Sentinel errors of Do. Each wraps the cause.
var (
	ErrNotSent     = errors.New("no byte of the request was sent")
	ErrUnreachable = errors.New("no connection could be made")
	ErrMaybeSent   = errors.New("the request may have been carried out")
	ErrReused      = errors.New("an earlier request had used the connection") // beside ErrMaybeSent
)

// RestedError tells for how long the connection of a request that failed had not
// been used before. It is an ErrReused.
type RestedError struct{ Rest time.Duration }

// Error implements error.
func (e *RestedError) Error() string { return fmt.Sprintf("%v, %v ago", ErrReused, e.Rest) }

// Is reports whether target is ErrReused.
func (e *RestedError) Is(target error) bool { return target == ErrReused }

// Options says how connections are opened and kept.
type Options struct {
	Dial        DialFunc      // nil dials TCP with keepalive and a user timeout
	DialTimeout time.Duration // zero selects DefaultDialTimeout
	IdleTimeout time.Duration // longest time a connection stays idle; zero selects DefaultIdleTimeout
	MaxIdle     int           // idle connections kept; zero selects DefaultMaxIdle
	SingleUse   bool          // each request uses a connection of its own
	SingleConn  bool          // all requests use one connection; ErrConnEnded once it has ended
}

// Defaults of Options.
const (
	DefaultDialTimeout = 500 * time.Millisecond
	DefaultIdleTimeout = 10 * time.Second
	DefaultMaxIdle     = 64
)

// maxResponseHeaderBytes bounds an answer's headers.
const maxResponseHeaderBytes = 64 << 10

// NewClient returns a client that follows no redirect, uses no proxy, and never
// sends a request twice once a byte of it may have left.
func NewClient(o Options) *http.Client {
	dial := o.Dial
	if dial == nil {
		dial = DialTCP
	}
	if o.SingleConn {
		dial = dialOnce(dial)
	}
	transport := &http.Transport{
		DialContext:            dialWithin(orDefault(o.DialTimeout, DefaultDialTimeout), trackedDial(dial)),
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

// ErrConnEnded means that the one connection of a client with SingleConn has
// ended. Nothing was sent.
var ErrConnEnded = errors.New("the connection has ended")

// dialOnce lets dial open one connection only.
func dialOnce(dial DialFunc) DialFunc {
	var dialed atomic.Bool
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if dialed.Swap(true) {
			return nil, ErrConnEnded
		}
		return dial(ctx, network, address)
	}
}

func orDefault[T comparable](value, otherwise T) T {
	var zero T
	if value == zero {
		return otherwise
	}
	return value
}

func dialWithin(timeout time.Duration, dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return dial(ctx, network, address)
	}
}

// maxEndedConns is how often a request is put on another connection because the
// one given to it had ended: more than that is a server that ends each at once.
const maxEndedConns = 3

// Do sends the request over a client made by NewClient. It returns the response
// once its headers have arrived, or an error that wraps one of ErrNotSent,
// ErrUnreachable and ErrMaybeSent. A kept connection that had ended before a
// byte of the request was written says nothing about the server, so another is
// used.
func Do(client *http.Client, req *http.Request) (*http.Response, error) {
	for range maxEndedConns {
		resp, err := doOnce(client, req)
		if !errors.Is(err, errEndedUnused) || !rewind(req) {
			return resp, err
		}
	}
	return doOnce(client, req)
}

// errEndedUnused is joined to ErrNotSent: the request was given connections of
// earlier requests only, and all had ended.
var errEndedUnused = errors.New("the kept connection had ended")

// rewind sets the body back to its start and reports whether it could. The
// standard client closes a body also when it sends nothing of it.
func rewind(req *http.Request) bool {
	if req.Body == nil || req.Body == http.NoBody {
		return true
	}
	if req.GetBody == nil {
		return false
	}
	body, err := req.GetBody()
	if err != nil {
		return false // the caller is told that nothing was sent, which stays true
	}
	req.Body = body
	return true
}

// doOnce sends the request as Do does, but gives up with errEndedUnused if the
// connections that it was given had ended.
func doOnce(client *http.Client, req *http.Request) (*http.Response, error) {
	if err := req.Context().Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	ctx, call := track(req.Context())
	resp, err := client.Do(req.WithContext(ctx))
	if err == nil {
		return resp, nil
	}
	cause := err
	if c := context.Cause(req.Context()); c != nil {
		cause = c
	}
	sent, reused := call.mayHaveSent()
	if sent && reused {
		return nil, fmt.Errorf("%w: %w: %w", ErrMaybeSent, &RestedError{Rest: call.rest()}, cause)
	}
	if sent {
		return nil, fmt.Errorf("%w: %w", ErrMaybeSent, cause)
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	if reused && req.Context().Err() == nil {
		return nil, fmt.Errorf("%w: %w: %w", ErrNotSent, errEndedUnused, cause)
	}
	return nil, fmt.Errorf("%w: %w", ErrNotSent, cause)
}

// ErrTooLarge is returned by ReadBody for bodies over the limit.
var ErrTooLarge = errors.New("answer is larger than allowed")

// ReadBody reads and closes a body of at most limit bytes.
func ReadBody(body io.ReadCloser, limit int64) ([]byte, error) {
	defer body.Close()
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, fmt.Errorf("%w: over %d bytes", ErrTooLarge, limit)
	}
	return data, nil
}
