package lab

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// Host is the host of all routes.
const Host = "ficu95.example"

// Client sends one request after another on a channel that it keeps.
type Client struct {
	record *Record
	http   *http.Client
	node   *Node

	Body string // of all requests; empty for one that differs from request to request
}

// NewClient returns a client of the node.
func NewClient(record *Record, node *Node) *Client {
	return &Client{record: record, node: node, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}}
}

// Answer is what a client got.
type Answer struct {
	ID       string
	Node     string
	Sent     time.Time
	Ended    time.Time
	Kept     bool // the channel had carried a request before
	Status   int
	Stamp    string
	Complete bool // the whole answer arrived
	Err      error

	LastEventID string   // of a stream; empty if no event came
	Data        []string // of each event
}

// readEvents reads the whole events of a stream.
func (a *Answer) readEvents(body string) {
	for {
		event, rest, whole := strings.Cut(body, "\n\n")
		id, data, found := strings.Cut(strings.TrimPrefix(event, "id: "), "\ndata: ")
		if !whole || !found {
			return
		}
		a.LastEventID, a.Data, body = id, append(a.Data, data), rest
	}
}

// nextID makes the ids of requests unique.
var nextID atomic.Uint64

// Send sends a request and waits for the end of the answer, at most for the limit.
func (c *Client) Send(path, model string, limit time.Duration) Answer {
	return c.send(path, model, limit, nil)
}

// TakeUp goes on with a stream that broke off: before is what the client has of it, resumes the
// id of the attempt that brought its first event.
func (c *Client) TakeUp(path, model string, limit time.Duration, before Answer, resumes string) Answer {
	return c.send(path, model, limit, http.Header{"Last-Event-Id": {before.LastEventID}, "Resumes": {resumes}})
}

func (c *Client) send(path, model string, limit time.Duration, header http.Header) Answer {
	a := Answer{ID: fmt.Sprintf("%016x", 0x9c41d07b00000000+nextID.Add(1)), Node: c.node.Name, Sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { a.Kept = i.Reused }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.node.Callers+path, strings.NewReader(cmp.Or(c.Body, "body of "+a.ID)))
	if err != nil {
		a.Err = err
		return a
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Host = Host
	req.Header.Set("Redwingnotch-Request-Id", a.ID)
	req.Header.Set("Redwingnotch-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	if model != "" {
		req.Header.Set("Redwingnotch-Model", model)
		req.Header.Set("Redwingnotch-Token-Counts", "646,80")
	}
	c.record.Logf("sent %s %s %s to %s, %v", a.ID, path, model, c.node.Name, header)
	resp, err := c.http.Do(req)
	if err == nil {
		a.Status, a.Stamp = resp.StatusCode, resp.Header.Get("Redwingnotch-Server-Stamp")
		var body []byte
		body, err = io.ReadAll(resp.Body)
		a.readEvents(string(body))
		resp.Body.Close()
	}
	a.Ended, a.Err, a.Complete = time.Now(), err, err == nil
	c.record.Logf("answer %s status %d complete %t kept %t after %d ms, events to %q of %v: %v", a.ID, a.Status, a.Complete, a.Kept,
		a.Ended.Sub(a.Sent).Milliseconds(), a.LastEventID, slices.Compact(slices.Clone(a.Data)), err)
	return a
}
