package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/redwingnotch/redwingnotch/internal/httpsend"
)

// Options configures a Client.
type Options struct {
	BaseURL         string            // URL of the engine, such as http://10.0.0.7:9000
	Dial            httpsend.DialFunc // nil dials TCP
	CallTimeout     time.Duration     // time limit of a call other than Infer; zero selects DefaultCallTimeout
	ProgressTimeout time.Duration     // longest time without a received byte of a stream; zero selects DefaultProgressTimeout
}

// Defaults of Options. Engines send a comment on each stream at least every
// second, so a slow stream does not exceed DefaultProgressTimeout.
const (
	DefaultCallTimeout     = 2 * time.Second
	DefaultProgressTimeout = 4 * time.Second
)

// Limits of response bodies.
const (
	maxResponseBytes = 4 << 20  // successful responses
	maxErrorBytes    = 64 << 10 // error responses
)

// Client is an HTTP client of one engine. It implements Engine and never retries
// a request. It is safe for concurrent use.
type Client struct {
	baseURL            string
	dial               httpsend.DialFunc
	pooled             *http.Client
	singleUse          *http.Client // opens a new connection for each request
	callTimeout        time.Duration
	progressTimeout    time.Duration
	skipRequestIDCheck bool // set only by tests of the AnswerMatches invariant
}

// NewClient returns a client. It opens connections on demand.
func NewClient(o Options) *Client {
	if o.CallTimeout == 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.ProgressTimeout == 0 {
		o.ProgressTimeout = DefaultProgressTimeout
	}
	return &Client{
		baseURL:         o.BaseURL,
		dial:            o.Dial,
		pooled:          httpsend.NewClient(httpsend.Options{Dial: o.Dial}),
		singleUse:       httpsend.NewClient(httpsend.Options{Dial: o.Dial, SingleUse: true}),
		callTimeout:     o.CallTimeout,
		progressTimeout: o.ProgressTimeout,
	}
}

// Close closes idle connections. Calls in progress continue.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// Infer implements Engine. Cancelling ctx ends the stream. The stream also ends,
// with ErrStalled, if no byte arrives for Options.ProgressTimeout.
func (c *Client) Infer(ctx context.Context, req InferRequest) (Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	stallTimer := time.AfterFunc(c.progressTimeout, func() { cancel(ErrStalled) })
	stream, err := c.startStream(ctx, cancel, stallTimer, req)
	if err != nil {
		stallTimer.Stop()
		cancel(nil)
		if errors.Is(err, ErrStalled) {
			c.pooled.CloseIdleConnections()
		}
		return nil, err
	}
	return stream, nil
}

func (c *Client) startStream(ctx context.Context, cancel context.CancelCauseFunc, stallTimer *time.Timer, req InferRequest) (Stream, error) {
	httpReq, err := c.newInferRequest(ctx, req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	client := c.pooled
	if req.FreshConn {
		client = c.singleUse
	}
	resp, err := httpsend.Do(client, httpReq)
	if err != nil {
		return nil, classifySendError(ctx, err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, responseError(ctx, resp)
	}
	if echo := resp.Header.Get(HeaderRequestID); echo != req.RequestID && !c.skipRequestIDCheck {
		resp.Body.Close()
		return nil, fmt.Errorf("%w: response has request id %q, want %q", ErrMismatch, echo, req.RequestID)
	}
	stallTimer.Stop()
	return newStream(ctx, c, cancel, stallTimer, req, resp.Body), nil
}

func (c *Client) newInferRequest(ctx context.Context, req InferRequest) (*http.Request, error) {
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+PathInfer, bytes.NewReader(req.Body))
	if err != nil {
		return nil, err
	}
	h := httpReq.Header
	h.Set("Content-Type", "application/json")
	h.Set("Accept", "text/event-stream")
	h.Set(HeaderRequestID, req.RequestID)
	h.Set(HeaderTarget, req.Target.String())
	h.Set(HeaderPriority, req.Rank.String())
	h.Set(HeaderResponseForm, ResponseWhole)
	if req.Stream {
		h.Set(HeaderResponseForm, ResponseChunks)
	}
	if req.ReceivedTokens > 0 {
		h.Set(HeaderReceivedTokens, strconv.Itoa(req.ReceivedTokens))
	}
	if !req.Deadline.IsZero() {
		h.Set(HeaderDeadline, strconv.FormatInt(req.Deadline.UnixMilli(), 10))
	}
	return httpReq, nil
}

// Cancel implements Engine.
func (c *Client) Cancel(ctx context.Context, requestID string) error {
	header := http.Header{}
	header.Set(HeaderRequestID, requestID)
	return c.call(ctx, c.pooled, http.MethodPost, PathCancel, header, nil, nil)
}

// Order implements Engine. It opens a new connection for each order, so that the
// order can reach only the boot that accepts the connection now. An expired
// order is not sent.
func (c *Client) Order(ctx context.Context, order Order) (Report, error) {
	return c.order(ctx, c.singleUse, order)
}

// OrderAtBoot sends an order to an engine that does not check boots itself. It
// reads the engine's report and sends the order on the same connection, which
// can't outlive the boot. If the report names another boot than order.Boot, the
// order is not sent and the error wraps ErrWrongBoot.
func (c *Client) OrderAtBoot(ctx context.Context, order Order) (Report, error) {
	client := httpsend.NewClient(httpsend.Options{Dial: c.dial, SingleConn: true})
	defer client.CloseIdleConnections()
	var current Report
	if err := c.call(ctx, client, http.MethodGet, PathReport, http.Header{}, nil, &current); err != nil {
		return Report{}, fmt.Errorf("%w: boot not confirmed: %w", ErrNotSent, err)
	}
	if current.Boot != order.Boot {
		return Report{}, fmt.Errorf("%w: the backend server runs boot %s, not %s", ErrWrongBoot, current.Boot, order.Boot)
	}
	return c.order(ctx, client, order)
}

// order sends the order by the given client unless it has expired.
func (c *Client) order(ctx context.Context, client *http.Client, order Order) (Report, error) {
	if !order.ExpiresAt.IsZero() && !time.Now().Before(order.ExpiresAt) {
		return Report{}, fmt.Errorf("%w: %w", ErrExpired, ErrNotSent)
	}
	body, err := json.Marshal(order)
	if err != nil {
		return Report{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	var report Report
	err = c.call(ctx, client, http.MethodPost, PathOrders, http.Header{}, body, &report)
	return report, err
}

// Report implements Engine.
func (c *Client) Report(ctx context.Context) (Report, error) {
	var report Report
	err := c.call(ctx, c.pooled, http.MethodGet, PathReport, http.Header{}, nil, &report)
	return report, err
}

// CacheEvents returns the cache events with sequence numbers above after.
func (c *Client) CacheEvents(ctx context.Context, after uint64) (CacheEventsBody, error) {
	var body CacheEventsBody
	path := PathCacheEvents + "?after=" + strconv.FormatUint(after, 10)
	err := c.call(ctx, c.pooled, http.MethodGet, path, http.Header{}, nil, &body)
	return body, err
}

// call makes one call with the call timeout. It decodes the response body into
// result unless result is nil.
func (c *Client) call(ctx context.Context, client *http.Client, method, path string, header http.Header, body []byte, result any) error {
	ctx, cancel := context.WithTimeoutCause(ctx, c.callTimeout, ErrStalled)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := httpsend.Do(client, req)
	if err != nil {
		err = classifySendError(ctx, err)
	} else {
		err = readResponse(ctx, resp, result)
	}
	if errors.Is(err, ErrStalled) {
		c.pooled.CloseIdleConnections()
	}
	return err
}

func readResponse(ctx context.Context, resp *http.Response, result any) error {
	if resp.StatusCode != http.StatusOK {
		return responseError(ctx, resp)
	}
	body, err := httpsend.ReadBody(resp.Body, maxResponseBytes)
	if err != nil {
		return classifyBrokenResponse(ctx, err)
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(body, result); err != nil {
		return fmt.Errorf("%w: malformed response: %w", ErrUnknown, err)
	}
	return nil
}

// responseError returns the error that an error response describes.
func responseError(ctx context.Context, resp *http.Response) error {
	body, err := httpsend.ReadBody(resp.Body, maxErrorBytes)
	if err != nil {
		return classifyBrokenResponse(ctx, err)
	}
	var typed ErrorBody
	if err := json.Unmarshal(body, &typed); err != nil {
		return fmt.Errorf("%w: status %d, error body is not readable", ErrUnknown, resp.StatusCode)
	}
	return fmt.Errorf("%w: status %d: %s", typed.Error.Code.Err(), resp.StatusCode, typed.Error.Message)
}

// classifySendError maps an error of httpsend.Do to a sentinel error. If a reused
// connection breaks, it may have been stale before the request, so this is not
// reported as a crash.
func classifySendError(ctx context.Context, err error) error {
	switch {
	case errors.Is(err, httpsend.ErrUnreachable):
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	case errors.Is(err, httpsend.ErrNotSent):
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	case context.Cause(ctx) == nil && errors.Is(err, httpsend.ErrReused):
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return classifyBrokenResponse(ctx, err)
}

// classifyBrokenResponse maps the error of a request that was sent, but got no
// complete response, to a sentinel error.
func classifyBrokenResponse(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		if errors.Is(cause, ErrStalled) {
			return fmt.Errorf("%w: %w", ErrStalled, err)
		}
		return fmt.Errorf("%w: %w", ErrUnknown, cause)
	}
	if isDisconnect(err) {
		return fmt.Errorf("%w: %w", ErrCrashed, err)
	}
	return fmt.Errorf("%w: %w", ErrUnknown, err)
}
