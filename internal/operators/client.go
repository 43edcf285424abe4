package operators

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"

	"github.com/redwingnotch/redwingnotch/platform"
)

// Errors of a Client.
var (
	ErrNotKnown = errors.New("the node does not remember this request")
	ErrSecret   = errors.New("the node refused the secret")
)

// maxAnswerBytes bounds a node's answer.
const maxAnswerBytes = 16 << 20

// Nodes lists the nodes that the store knows, ordered by name. Some may be gone.
func Nodes(ctx context.Context, store platform.Store) ([]Node, error) {
	objects, _, err := store.List(ctx, platform.KindNode, "")
	if err != nil {
		return nil, fmt.Errorf("list nodes: %w", err)
	}
	var nodes []Node
	for _, object := range objects {
		var n Node
		if err := json.Unmarshal(object.Value, &n); err != nil {
			return nil, fmt.Errorf("node object %s: %w", object.Name, err)
		}
		nodes = append(nodes, n)
	}
	slices.SortFunc(nodes, func(a, b Node) int { return cmp.Compare(a.Node, b.Node) })
	return nodes, nil
}

// Client asks nodes at their peer addresses.
type Client struct {
	HTTP   *http.Client
	Secret string
}

// Status returns what the node at the peer address knows.
func (c *Client) Status(ctx context.Context, peerAddress string) (Status, error) {
	var s Status
	err := c.get(ctx, peerAddress, PathStatus, &s)
	return s, err
}

// Explain returns what the node at the peer address remembers of a request.
func (c *Client) Explain(ctx context.Context, peerAddress, requestID string) (Explanation, error) {
	var e Explanation
	err := c.get(ctx, peerAddress, PathExplain+url.PathEscape(requestID), &e)
	return e, err
}

func (c *Client) get(ctx context.Context, address, path string, answer any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	req.Header.Set(HeaderSecret, c.Secret)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return ErrNotKnown
	case http.StatusUnauthorized:
		return ErrSecret
	default:
		return fmt.Errorf("node at %s: status %d", address, resp.StatusCode)
	}
	if err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxAnswerBytes)).Decode(answer); err != nil {
		return fmt.Errorf("node at %s: %w", address, err)
	}
	return nil
}
