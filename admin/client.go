package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/redwingnotch/redwingnotch/internal/httpsend"
)

// Errors of Client.
var (
	ErrUnreachable = errors.New("node unreachable")
	ErrNotKnown    = errors.New("the node does not remember the request")
	ErrRefused     = errors.New("the node refused")
)

// Bounds of a call.
const (
	callTimeout  = 5 * time.Second
	maxBodyBytes = 16 << 20
)

// Client asks one node.
type Client struct {
	Address string // admin address, IP:port
	HTTP    *http.Client
}

// NewClient returns a client of the node at the admin address.
func NewClient(address string) *Client {
	return &Client{Address: address, HTTP: httpsend.NewClient(httpsend.Options{})}
}

// Status returns what the node knows of the deployment.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.get(ctx, PathStatus, &s)
	return s, err
}

// Explain returns what became of a request, or ErrNotKnown.
func (c *Client) Explain(ctx context.Context, requestID string) (Explanation, error) {
	var e Explanation
	err := c.get(ctx, PathExplain+url.PathEscape(requestID), &e)
	return e, err
}

func (c *Client) get(ctx context.Context, path string, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Address+path, nil)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrUnreachable, c.Address, err)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrUnreachable, c.Address, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrUnreachable, c.Address, err)
	}
	if resp.StatusCode != http.StatusOK {
		return refusal(resp.StatusCode, body)
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return fmt.Errorf("answer of %s: %w", c.Address, err)
	}
	return nil
}

// refusal returns the error of an answer that is not one.
func refusal(status int, body []byte) error {
	var f Fault
	_ = json.Unmarshal(body, &f) // an answer without a Fault still has its status
	if status == http.StatusNotFound {
		return fmt.Errorf("%w: %s", ErrNotKnown, f.Detail)
	}
	return fmt.Errorf("%w: status %d %s %s", ErrRefused, status, f.Code, f.Detail)
}
