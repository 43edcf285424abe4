package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/redwingnotch/redwingnotch/internal/httpsend"
)

// Errors that the methods of Client wrap.
var (
	ErrUnreachable = errors.New("node unreachable")
	ErrNotKnown    = errors.New("the node has no record of the request")
	ErrNodeError   = errors.New("the node returned an error")
)

// Limits of one call.
const (
	callTimeout  = 5 * time.Second // timeout of the whole call
	maxBodyBytes = 16 << 20        // size limit of a response body
)

// Client calls the operators' interface of one node.
type Client struct {
	Address string // admin address, IP:port
	HTTP    *http.Client
}

// NewClient returns a client for the node with the given admin address.
func NewClient(address string) *Client {
	return &Client{Address: address, HTTP: httpsend.NewClient(httpsend.Options{})}
}

// Status returns the state of the deployment as the node sees it.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.get(ctx, PathStatus, &s)
	return s, err
}

// Explain returns the outcome of a request and the steps that led to it. The
// error wraps ErrNotKnown if the node has no record of the request.
func (c *Client) Explain(ctx context.Context, requestID string) (Explanation, error) {
	var e Explanation
	err := c.get(ctx, PathExplain+url.PathEscape(requestID), &e)
	return e, err
}

func (c *Client) get(ctx context.Context, path string, response any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Address+path, nil)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrUnreachable, c.Address, err)
	}
	resp, err := httpsend.Do(c.HTTP, req)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrUnreachable, c.Address, err)
	}
	body, err := httpsend.ReadBody(resp.Body, maxBodyBytes)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrUnreachable, c.Address, err)
	}
	if resp.StatusCode != http.StatusOK {
		return responseError(resp.StatusCode, body)
	}
	if err := json.Unmarshal(body, response); err != nil {
		return fmt.Errorf("decode response of %s: %w", c.Address, err)
	}
	return nil
}

// responseError converts an error response to an error.
func responseError(status int, body []byte) error {
	var f ErrorResponse
	_ = json.Unmarshal(body, &f) // a body that is not an ErrorResponse leaves only the status to report
	if status == http.StatusNotFound {
		return fmt.Errorf("%w: %s", ErrNotKnown, f.Detail)
	}
	return fmt.Errorf("%w: status %d %s %s", ErrNodeError, status, f.Code, f.Detail)
}
