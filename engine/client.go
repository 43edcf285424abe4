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
	BaseURL         string            // of the engine, such as http://10.0.0.7:9000
	Dial            httpsend.DialFunc // nil dials TCP
	CallTimeout     time.Duration     // of cancels, orders and reports; zero selects DefaultCallTimeout
	ProgressTimeout time.Duration     // longest silence of a stream; zero selects DefaultProgressTimeout
}

// Defaults of Options. Engines send a comment on each stream at least every
// second, so that DefaultProgressTimeout cuts no slow stream.
const (
	DefaultCallTimeout     = 2 * time.Second
	DefaultProgressTimeout = 4 * time.Second
)

// maxReportBytes bounds a report, and maxErrorBytes an error answer.
const (
	maxReportBytes = 4 << 20
	maxErrorBytes  = 64 << 10
)

// Client is one engine reached over HTTP. It implements Engine and never
// repeats a request by itself. Safe for concurrent use.
type Client struct {
	baseURL         string
	dial            httpsend.DialFunc
	pooled          *http.Client
	fresh           *http.Client // one connection for each request
	callTimeout     time.Duration
	progressTimeout time.Duration
	skipEchoCheck   bool // set by tests only, to see the invariant fire
}

// NewClient returns a client. It opens no connection yet.
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
		fresh:           httpsend.NewClient(httpsend.Options{Dial: o.Dial, SingleUse: true}),
		callTimeout:     o.CallTimeout,
		progressTimeout: o.ProgressTimeout,
	}
}

// Close closes idle connections. Calls in progress go on.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// Infer implements Engine. The context bounds the whole stream.
func (c *Client) Infer(ctx context.Context, req InferRequest) (Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	silence := time.AfterFunc(c.progressTimeout, func() { cancel(ErrSilent) })
	stream, err := c.startStream(ctx, cancel, silence, req)
	if err != nil {
		silence.Stop()
		cancel(nil)
		if errors.Is(err, ErrSilent) {
			c.pooled.CloseIdleConnections()
		}
		return nil, err
	}
	return stream, nil
}

func (c *Client) startStream(ctx context.Context, cancel context.CancelCauseFunc, silence *time.Timer, req InferRequest) (Stream, error) {
	httpReq, err := c.inferRequest(ctx, req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	client := c.pooled
	if req.FreshConn {
		client = c.fresh
	}
	resp, err := httpsend.Do(client, httpReq)
	if err != nil {
		return nil, classifySend(ctx, err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, answerError(ctx, resp)
	}
	if echo := resp.Header.Get(HeaderRequestID); echo != req.RequestID && !c.skipEchoCheck {
		resp.Body.Close()
		return nil, fmt.Errorf("%w: got %q, want %q", ErrMismatch, echo, req.RequestID)
	}
	silence.Stop()
	return newStream(ctx, c, cancel, silence, req, resp.Body), nil
}

func (c *Client) inferRequest(ctx context.Context, req InferRequest) (*http.Request, error) {
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
	h.Set(HeaderAnswer, AnswerWhole)
	if req.Stream {
		h.Set(HeaderAnswer, AnswerChunks)
	}
	if req.ReceivedTokens > 0 {
		h.Set(HeaderReceived, strconv.Itoa(req.ReceivedTokens))
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

// Order implements Engine. An order goes on a connection of its own, so that it
// can't reach another boot than the one that accepts the connection now. An
// expired order is not sent.
func (c *Client) Order(ctx context.Context, order Order) (Report, error) {
	return c.order(ctx, c.fresh, order)
}

// OrderAtBoot sends an order to an engine that does not check boots itself. It
// goes on the one connection on which the engine has just reported order.Boot,
// which ends with that boot. If the boot is another, nothing is sent and the
// error wraps ErrWrongBoot.
func (c *Client) OrderAtBoot(ctx context.Context, order Order) (Report, error) {
	client := httpsend.NewClient(httpsend.Options{Dial: c.dial, SingleConn: true})
	defer client.CloseIdleConnections()
	var seen Report
	if err := c.call(ctx, client, http.MethodGet, PathReport, http.Header{}, nil, &seen); err != nil {
		return Report{}, fmt.Errorf("%w: boot not confirmed: %w", ErrNotSent, err)
	}
	if seen.Boot != order.Boot {
		return Report{}, fmt.Errorf("%w: %s runs, not %s", ErrWrongBoot, seen.Boot, order.Boot)
	}
	return c.order(ctx, client, order)
}

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

// CacheEvents returns the cache events after the sequence number.
func (c *Client) CacheEvents(ctx context.Context, after uint64) (CacheEventsBody, error) {
	var body CacheEventsBody
	path := PathCacheEvents + "?after=" + strconv.FormatUint(after, 10)
	err := c.call(ctx, c.pooled, http.MethodGet, path, http.Header{}, nil, &body)
	return body, err
}

// call makes one short call. The answer is decoded if answer is not nil.
func (c *Client) call(ctx context.Context, client *http.Client, method, path string, header http.Header, body []byte, answer any) error {
	ctx, cancel := context.WithTimeoutCause(ctx, c.callTimeout, ErrSilent)
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
		err = classifySend(ctx, err)
	} else {
		err = readAnswer(ctx, resp, answer)
	}
	if errors.Is(err, ErrSilent) {
		c.pooled.CloseIdleConnections()
	}
	return err
}

func readAnswer(ctx context.Context, resp *http.Response, answer any) error {
	if resp.StatusCode != http.StatusOK {
		return answerError(ctx, resp)
	}
	body, err := httpsend.ReadBody(resp.Body, maxReportBytes)
	if err != nil {
		return brokenAnswer(ctx, err)
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return fmt.Errorf("%w: malformed answer: %w", ErrUnknown, err)
	}
	return nil
}

// answerError reads the typed error of an answer.
func answerError(ctx context.Context, resp *http.Response) error {
	body, err := httpsend.ReadBody(resp.Body, maxErrorBytes)
	if err != nil {
		return brokenAnswer(ctx, err)
	}
	var typed ErrorBody
	if err := json.Unmarshal(body, &typed); err != nil {
		return fmt.Errorf("%w: status %d", ErrUnknown, resp.StatusCode)
	}
	return fmt.Errorf("%w: status %d: %s", typed.Error.Code.Err(), resp.StatusCode, typed.Error.Message)
}

// classifySend maps an error of httpsend.Do. A lost connection that an earlier
// request has used may have been stale, so it is no sign of a crash.
func classifySend(ctx context.Context, err error) error {
	switch {
	case errors.Is(err, httpsend.ErrUnreachable):
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	case errors.Is(err, httpsend.ErrNotSent):
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	case context.Cause(ctx) == nil && errors.Is(err, httpsend.ErrReused):
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return brokenAnswer(ctx, err)
}

// brokenAnswer classifies a request that was sent and whose answer broke off.
func brokenAnswer(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		if errors.Is(cause, ErrSilent) {
			return fmt.Errorf("%w: %w", ErrSilent, err)
		}
		return fmt.Errorf("%w: %w", ErrUnknown, cause)
	}
	if connectionLost(err) {
		return fmt.Errorf("%w: %w", ErrCrashed, err)
	}
	return fmt.Errorf("%w: %w", ErrUnknown, err)
}
