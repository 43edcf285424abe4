// Package service is a client of plain services, such as ordering: HTTP servers
// whose calls may have effects that must not be repeated.
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

// Errors that Call wraps. The comments say whether the call ran.
var (
	ErrNotSent     = errors.New("call was not sent")                                 // not run
	ErrUnreachable = errors.New("plain service is unreachable")                      // not run
	ErrRefused     = errors.New("plain service refused the call without running it") // not run
	ErrUnknown     = errors.New("outcome of the call is unknown")                    // may have run
	ErrMismatch    = errors.New("response belongs to another call")                  // may have run
	ErrTooLarge    = errors.New("response of the call is larger than allowed")       // ran
)

// Headers of a call and its response.
const (
	HeaderKey       = "Idempotency-Key" // idempotency key of the call
	HeaderRequestID = "X-Request-Id"    // request ID, returned by services that support it
	HeaderOutcome   = "X-Outcome"       // set to OutcomeNotRun if the service refused the call without running it
	OutcomeNotRun   = "not_run"         // value of HeaderOutcome
)

// Request is one call to a plain service.
type Request struct {
	RequestID  string // compared with the ID in the response, if it has one
	Service    fleet.ServiceID
	Method     string
	Path       string // path with query, begins with a slash
	Header     http.Header
	Body       []byte
	Key        string    // idempotency key, empty if none
	Idempotent bool      // repeating the call is harmless, so it may use an idle connection of an earlier call
	Deadline   time.Time // no deadline if zero
}

// HTTPResponse is a response of a plain service.
type HTTPResponse struct {
	Status   int
	Header   http.Header
	Body     []byte
	Unframed bool // the response ended with its connection, so the body may be incomplete
}

// Options configures a Client.
type Options struct {
	BaseURL     string            // URL of the service, such as http://10.0.0.9:7000
	Dial        httpsend.DialFunc // opens connections; nil dials TCP
	CallTimeout time.Duration     // time limit of one call; zero selects DefaultCallTimeout
}

// Limits of a call.
const (
	DefaultCallTimeout = 10 * time.Second // default of Options.CallTimeout
	MaxResponseBytes   = 8 << 20          // size limit of a response body
)

// Client calls one plain service process. It sends each call at most once.
// Client is safe for concurrent use.
type Client struct {
	baseURL     string
	pooled      *http.Client // reuses idle connections, for idempotent calls
	singleUse   *http.Client // opens a connection for each call
	callTimeout time.Duration
}

// NewClient returns a client. The first call opens the first connection.
func NewClient(o Options) *Client {
	if o.CallTimeout == 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	return &Client{
		baseURL:     o.BaseURL,
		pooled:      httpsend.NewClient(httpsend.Options{Dial: o.Dial}),
		singleUse:   httpsend.NewClient(httpsend.Options{Dial: o.Dial, SingleUse: true}),
		callTimeout: o.CallTimeout,
	}
}

// Close closes idle connections. Calls in progress are not interrupted.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// Call sends the request once and returns the response, whatever its status. It is
// complete unless HTTPResponse.Unframed is set. A call that is not idempotent uses a
// new connection. An error that wraps ErrNotSent, ErrUnreachable or ErrRefused means
// that the call did not run.
func (c *Client) Call(ctx context.Context, req Request) (HTTPResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	if !req.Deadline.IsZero() {
		var cancelDeadline context.CancelFunc
		ctx, cancelDeadline = context.WithDeadline(ctx, req.Deadline)
		defer cancelDeadline()
	}
	resp, err := c.send(ctx, req)
	if errors.Is(err, context.DeadlineExceeded) {
		// Other idle connections may be stalled as well.
		c.pooled.CloseIdleConnections()
	}
	return resp, err
}

// send sends the request on a pooled or new connection and reads the response.
func (c *Client) send(ctx context.Context, req Request) (HTTPResponse, error) {
	httpReq, err := newHTTPRequest(ctx, c.baseURL, req)
	if err != nil {
		return HTTPResponse{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	client := c.singleUse
	if req.Idempotent {
		client = c.pooled
	}
	resp, err := httpsend.Do(client, httpReq)
	if err != nil {
		return HTTPResponse{}, classifySendError(err)
	}
	body, err := httpsend.ReadBody(resp.Body, MaxResponseBytes)
	switch {
	case errors.Is(err, httpsend.ErrTooLarge):
		return HTTPResponse{}, fmt.Errorf("%w: %w", ErrTooLarge, err)
	case err != nil:
		return HTTPResponse{}, fmt.Errorf("%w: reading the response failed: %w", ErrUnknown, err)
	}
	return checkResponse(req, HTTPResponse{
		Status:   resp.StatusCode,
		Header:   resp.Header,
		Body:     body,
		Unframed: httpsend.FramingOf(resp) == httpsend.FramingClose,
	})
}

// newHTTPRequest builds the HTTP request of a call.
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
		// Without GetBody, http.Client can't send the body a second time.
		httpReq.GetBody = nil
	}
	return httpReq, nil
}

// classifySendError wraps an error of httpsend.Do in the matching error of this
// package.
func classifySendError(err error) error {
	switch {
	case errors.Is(err, httpsend.ErrUnreachable):
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	case errors.Is(err, httpsend.ErrNotSent):
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return fmt.Errorf("%w: %w", ErrUnknown, err)
}

// checkResponse returns ErrMismatch if the response carries another request ID,
// and ErrRefused if the service did not run the call.
func checkResponse(req Request, resp HTTPResponse) (HTTPResponse, error) {
	responseID := resp.Header.Get(HeaderRequestID)
	if req.RequestID != "" && responseID != "" && responseID != req.RequestID {
		return HTTPResponse{}, fmt.Errorf("%w: got %q, want %q", ErrMismatch, responseID, req.RequestID)
	}
	if resp.Header.Get(HeaderOutcome) == OutcomeNotRun {
		return HTTPResponse{}, fmt.Errorf("%w: status %d", ErrRefused, resp.Status)
	}
	return resp, nil
}
