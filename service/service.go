// Package service is the client side of plain services, such as ordering: HTTP
// servers whose calls may have effects that must not be repeated.
package service

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/internal/httpsend"
)

// Sentinel errors of Call. Others wrap the cause.
var (
	ErrNotSent     = errors.New("call did not leave this node")              // not run
	ErrUnreachable = errors.New("plain service is unreachable")              // not run
	ErrRefused     = errors.New("plain service refused the call unrun")      // not run
	ErrUnknown     = errors.New("outcome of the call is unknown")            // may have run
	ErrMismatch    = errors.New("answer belongs to another call")            // may have run
	ErrTooLarge    = errors.New("answer of the call is larger than allowed") // ran
)

// Headers of a call and its answer.
const (
	HeaderKey       = "Idempotency-Key"
	HeaderRequestID = "X-Request-Id" // echoed by services that know it
	HeaderOutcome   = "X-Outcome"    // OutcomeNotRun on refusals before running
	OutcomeNotRun   = "not_run"
)

// Request is one call to a plain service.
type Request struct {
	RequestID  string // checked against the answer's echo, if there is one
	Service    fleet.ServiceID
	Method     string
	Path       string // with query, begins with a slash
	Header     http.Header
	Body       []byte
	Key        string    // idempotency key, empty if none
	Idempotent bool      // may use a connection of an earlier call
	Deadline   time.Time // zero: the context alone bounds the call
}

// Response is a whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Options configures a Client.
type Options struct {
	BaseURL     string            // of the service, such as http://10.0.0.9:7000
	Dial        httpsend.DialFunc // nil dials TCP
	CallTimeout time.Duration     // longest time of one call; zero selects DefaultCallTimeout
}

// Defaults and limits.
const (
	DefaultCallTimeout = 10 * time.Second
	MaxAnswerBytes     = 8 << 20
)

// Client calls one plain service process. It sends each call at most once. Safe
// for concurrent use.
type Client struct {
	baseURL     string
	pooled      *http.Client
	fresh       *http.Client
	callTimeout time.Duration
}

// NewClient returns a client. It opens no connection yet.
func NewClient(o Options) *Client {
	if o.CallTimeout == 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	return &Client{
		baseURL:     o.BaseURL,
		pooled:      httpsend.NewClient(httpsend.Options{Dial: o.Dial}),
		fresh:       httpsend.NewClient(httpsend.Options{Dial: o.Dial, SingleUse: true}),
		callTimeout: o.CallTimeout,
	}
}

// Close closes idle connections. Calls in progress go on.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// Call sends the request once and returns the whole answer, of any status. A
// call that is not idempotent uses a connection of its own. An error that wraps
// ErrNotSent, ErrUnreachable or ErrRefused means that the call did not run.
func (c *Client) Call(ctx context.Context, req Request) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	if !req.Deadline.IsZero() {
		var cancelDeadline context.CancelFunc
		ctx, cancelDeadline = context.WithDeadline(ctx, req.Deadline)
		defer cancelDeadline()
	}
	resp, err := c.call(ctx, req)
	if errors.Is(err, context.DeadlineExceeded) {
		// Idle connections may have gone silent together with this one.
		c.pooled.CloseIdleConnections()
	}
	return resp, err
}

func (c *Client) call(ctx context.Context, req Request) (Response, error) {
	httpReq, err := newHTTPRequest(ctx, c.baseURL, req)
	if err != nil {
		return Response{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	client := c.fresh
	if req.Idempotent {
		client = c.pooled
	}
	resp, err := httpsend.Do(client, httpReq)
	if err != nil {
		return Response{}, classifySend(err)
	}
	body, err := httpsend.ReadBody(resp.Body, MaxAnswerBytes)
	switch {
	case errors.Is(err, httpsend.ErrTooLarge):
		return Response{}, fmt.Errorf("%w: %w", ErrTooLarge, err)
	case err != nil:
		return Response{}, fmt.Errorf("%w: answer broke off: %w", ErrUnknown, err)
	}
	return checkAnswer(req, Response{Status: resp.StatusCode, Header: resp.Header, Body: body})
}

func newHTTPRequest(ctx context.Context, baseURL string, req Request) (*http.Request, error) {
	httpReq, err := http.NewRequestWithContext(ctx, req.Method, baseURL+req.Path, bytes.NewReader(req.Body))
	if err != nil {
		return nil, err
	}
	for name, values := range req.Header {
		httpReq.Header[http.CanonicalHeaderKey(name)] = slices.Clone(values)
	}
	if req.RequestID != "" {
		httpReq.Header.Set(HeaderRequestID, req.RequestID)
	}
	if req.Key != "" {
		httpReq.Header.Set(HeaderKey, req.Key)
	}
	if !req.Idempotent {
		// Without GetBody the standard client can't send the body again.
		httpReq.GetBody = nil
	}
	return httpReq, nil
}

func classifySend(err error) error {
	switch {
	case errors.Is(err, httpsend.ErrUnreachable):
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	case errors.Is(err, httpsend.ErrNotSent):
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return fmt.Errorf("%w: %w", ErrUnknown, err)
}

func checkAnswer(req Request, resp Response) (Response, error) {
	echo := resp.Header.Get(HeaderRequestID)
	if req.RequestID != "" && echo != "" && echo != req.RequestID {
		return Response{}, fmt.Errorf("%w: got %q, want %q", ErrMismatch, echo, req.RequestID)
	}
	if resp.Header.Get(HeaderOutcome) == OutcomeNotRun {
		return Response{}, fmt.Errorf("%w: status %d", ErrRefused, resp.Status)
	}
	return resp, nil
}
