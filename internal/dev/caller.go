package dev

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/internal/entry"
	"github.com/redwingnotch/redwingnotch/standin/engine"
)

// Result is the outcome of one request as its caller sees it.
type Result int

// Results of a request.
const (
	Answered   Result = iota // complete response, as expected for the request
	Refused                  // error response with outcome not_run
	Expired                  // error response with code deadline_exceeded: the request was started but got no response by its deadline
	Failed                   // another error response, or no complete response to any try
	Wrong                    // complete response, but not the expected one
	NoResponse               // no complete response within the deadline plus streamTimeout
)

// Request is one inference request.
type Request struct {
	Target    fleet.Target
	Rank      fleet.Rank
	Content   string
	MaxTokens int
	Deadline  time.Duration
}

// Reply is the result of one request with its error code and timing.
type Reply struct {
	Request
	Result     Result
	Code       string        // code of the error response, or the error of the last try that failed without one
	RetryAfter time.Duration // delay that an error response asked for
	FirstToken time.Duration // from the call of Chat to the first token; zero without a complete response
	Tries      int
}

// Caller sends requests as a user's program does: it fetches the list of entry
// nodes, caches it for as long as the list is valid, and connects to those nodes
// directly. It retries a request whose stream breaks off, as inference requests
// may run more than once. Safe for concurrent use.
type Caller struct {
	name  string
	seeds func() []string // returns addresses to fetch the list of entry nodes from, tried in order
	http  *http.Client

	mu        sync.Mutex
	addresses []string  // entry nodes of the cached list
	expiresAt time.Time // end of the cached list's validity
}

// maxTries is the most times that a caller sends one request.
const maxTries = 4

// streamTimeout is added to the deadline, which limits the time to the first token
// only, to give the time limit of a whole request.
const streamTimeout = 20 * time.Second

// retryDelay is the time that a caller waits before it retries a request.
const retryDelay = 100 * time.Millisecond

// NewCaller returns a caller. The name is sent with each request; which addresses an
// entry node lists depends on it.
func NewCaller(name string, seeds func() []string) *Caller {
	return &Caller{
		name:  name,
		seeds: seeds,
		http:  &http.Client{Transport: &http.Transport{IdleConnTimeout: time.Second}},
	}
}

// Close closes idle connections.
func (c *Caller) Close() { c.http.CloseIdleConnections() }

// entryList is the response to GET /v1/entry.
type entryList struct {
	Addresses []struct {
		Address string `json:"address"`
	} `json:"addresses"`
	ValidForMS int64 `json:"valid_for_ms"`
}

// entryAddress returns the address of the entry node to use for an attempt,
// counted from zero. It fetches the list again for each retry.
func (c *Caller) entryAddress(ctx context.Context, attempt int) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if attempt > 0 || time.Now().After(c.expiresAt) {
		if err := c.refreshAddresses(ctx); err != nil {
			return "", err
		}
	}
	return c.addresses[attempt%len(c.addresses)], nil
}

var errNoEntryNode = errors.New("no entry node returned a list of addresses")

// refreshAddresses replaces the cached list by that of the first seed that returns
// one.
func (c *Caller) refreshAddresses(ctx context.Context) error {
	for _, seed := range c.seeds() {
		list, err := c.fetchEntryList(ctx, seed)
		if err != nil || len(list.Addresses) == 0 {
			continue
		}
		c.addresses = nil
		for _, a := range list.Addresses {
			c.addresses = append(c.addresses, a.Address)
		}
		c.expiresAt = time.Now().Add(time.Duration(list.ValidForMS) * time.Millisecond)
		return nil
	}
	return errNoEntryNode
}

// fetchEntryList fetches the list of entry nodes from one node.
func (c *Caller) fetchEntryList(ctx context.Context, seed string) (entryList, error) {
	var list entryList
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+seed+"/v1/entry", nil)
	if err != nil {
		return list, err
	}
	req.Header.Set(entry.HeaderCaller, c.name)
	resp, err := c.http.Do(req)
	if err != nil {
		return list, err
	}
	defer resp.Body.Close()
	return list, json.NewDecoder(resp.Body).Decode(&list)
}

// chatRequest is the body of POST /v1/chat/completions.
type chatRequest struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// body returns the request body.
func (a Request) body() []byte {
	body, err := json.Marshal(chatRequest{
		Model:     a.Target.String(),
		Stream:    true,
		Messages:  []chatMessage{{Role: "user", Content: a.Content}},
		MaxTokens: a.MaxTokens,
	})
	if err != nil {
		panic(err) // the struct above always encodes
	}
	return body
}

// Chat sends the request until it gets a complete response or an error response, has
// sent it maxTries times, or its deadline plus streamTimeout has passed.
func (c *Caller) Chat(ctx context.Context, request Request) Reply {
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, request.Deadline+streamTimeout)
	defer cancel()
	reply := Reply{Request: request, Result: NoResponse}
	for attempt := range maxTries {
		reply.Tries = attempt + 1
		entryAddress, err := c.entryAddress(ctx, attempt)
		if err == nil {
			err = c.attempt(ctx, entryAddress, startedAt, &reply)
		}
		if err == nil {
			return reply
		}
		reply.Code = fmt.Sprintf("%s after %s", err, time.Since(startedAt).Round(100*time.Millisecond))
		if ctx.Err() != nil {
			return reply
		}
		reply.Result = Failed
		time.Sleep(retryDelay)
	}
	return reply
}

// attempt sends the request once and fills in the reply. An error means that the
// request may be retried.
func (c *Caller) attempt(ctx context.Context, address string, startedAt time.Time, reply *Reply) error {
	body := reply.body()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set(entry.HeaderCaller, c.name)
	req.Header.Set(entry.HeaderRank, reply.Rank.String())
	req.Header.Set(entry.HeaderDeadline, (reply.Deadline - time.Since(startedAt)).String())
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("no response: %w", errors.Unwrap(err))
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readErrorResponse(resp, reply)
	}
	text, firstToken, err := readStream(resp.Body)
	if err != nil {
		return fmt.Errorf("response incomplete, first token received %t: %w", !firstToken.IsZero(), err)
	}
	reply.FirstToken = firstToken.Sub(startedAt)
	expected, err := engine.ExpectedText(reply.Target, body)
	reply.Result = Answered
	if err != nil || text != expected {
		reply.Result = Wrong
	}
	return nil
}

// errorBody is the body of an error response.
type errorBody struct {
	Error struct {
		Code         string `json:"code"`
		Outcome      string `json:"outcome"`
		RetryAfterMS int64  `json:"retry_after_ms"`
	} `json:"error"`
}

// readErrorResponse fills in the reply from an error response, which is not
// retried. It returns an error if the body can't be decoded.
func readErrorResponse(resp *http.Response, reply *Reply) error {
	var body errorBody
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		return fmt.Errorf("status %d: %w", resp.StatusCode, err)
	}
	reply.Code = body.Error.Code
	reply.RetryAfter = time.Duration(body.Error.RetryAfterMS) * time.Millisecond
	reply.Result = Failed
	switch {
	case body.Error.Outcome == fleet.OutcomeNotRun.String():
		reply.Result = Refused
	case body.Error.Code == string(entry.CodeDeadlineExceeded):
		reply.Result = Expired
	}
	return nil
}

// chatChunk is one event of a streamed response.
type chatChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// readStream reads a streamed response up to its final [DONE] event and returns
// the text and the time of its first token.
func readStream(body io.Reader) (string, time.Time, error) {
	var text strings.Builder
	var firstToken time.Time
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		if !isData {
			continue
		}
		if data == "[DONE]" {
			return text.String(), firstToken, nil
		}
		var c chatChunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return "", firstToken, err
		}
		if firstToken.IsZero() {
			firstToken = time.Now()
		}
		for _, choice := range c.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	if err := lines.Err(); err != nil {
		return "", firstToken, err
	}
	return "", firstToken, io.ErrUnexpectedEOF
}

// OrderReply is the response to a call with an idempotency key.
type OrderReply struct {
	Outcome string // ran, not_run or unknown; empty if there was no response
	Status  int    // HTTP status; zero if there was no response
}

// Order sends a parts order with the idempotency key through the entry node at
// the address. It does not retry.
func (c *Caller) Order(ctx context.Context, address, key, parts string) (OrderReply, error) {
	url := fmt.Sprintf("http://%s/v1/services/%s/orders", address, OrderingService)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(parts))
	if err != nil {
		return OrderReply{}, err
	}
	req.Header.Set(entry.HeaderIdempotencyKey, key)
	req.Header.Set(entry.HeaderRank, fleet.RankUrgent.String())
	resp, err := c.http.Do(req)
	if err != nil {
		return OrderReply{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		_, err = io.Copy(io.Discard, resp.Body)
		return OrderReply{Outcome: resp.Header.Get(entry.HeaderOutcome), Status: resp.StatusCode}, err
	}
	var body errorBody
	err = json.NewDecoder(resp.Body).Decode(&body)
	return OrderReply{Outcome: body.Error.Outcome, Status: resp.StatusCode}, err
}
