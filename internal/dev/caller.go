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

// Result is how one request ended for its caller.
type Result int

// The results.
const (
	Answered Result = iota // whole and right
	Refused                // a typed refusal that says not run
	Expired                // told in time that it was begun and could not be answered by its deadline
	Failed                 // another typed failure, or the answer broke off on each try
	Wrong                  // whole, but not the answer to this request
	Lost                   // no end within the time that an answer may take
)

// Ask is one inference request.
type Ask struct {
	Target    fleet.Target
	Rank      fleet.Rank
	Content   string
	MaxTokens int
	Deadline  time.Duration
}

// Reply is what a caller got.
type Reply struct {
	Ask
	Result     Result
	Code       string        // of a refusal or failure
	RetryAfter time.Duration // of a refusal
	FirstToken time.Duration // zero if none came
	Tries      int
}

// Caller sends requests as a caller does: it asks which entry nodes to use,
// keeps the answer for as long as it may, and connects there itself. A stream
// that breaks is sent again, as inference may be repeated. Safe for concurrent
// use.
type Caller struct {
	name  string
	seeds func() []string // addresses known from outside, tried in order
	http  *http.Client

	mu        sync.Mutex
	addresses []string
	until     time.Time
}

// maxTries bounds how often a caller sends one request.
const maxTries = 4

// answerTime is the longest time from the deadline, which bounds the first
// token, to the end of an answer.
const answerTime = 20 * time.Second

// retryPause is a caller's wait before it sends a request again.
const retryPause = 100 * time.Millisecond

// NewCaller returns a caller. The name decides which nodes it is told to use.
func NewCaller(name string, seeds func() []string) *Caller {
	return &Caller{
		name:  name,
		seeds: seeds,
		http:  &http.Client{Transport: &http.Transport{IdleConnTimeout: time.Second}},
	}
}

// Close closes idle connections.
func (c *Caller) Close() { c.http.CloseIdleConnections() }

// entryList is the answer of GET /v1/entry.
type entryList struct {
	Addresses []struct {
		Address string `json:"address"`
	} `json:"addresses"`
	ValidForMS int64 `json:"valid_for_ms"`
}

// address returns the entry node to use for the given try.
func (c *Caller) address(ctx context.Context, try int) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if try > 0 || time.Now().After(c.until) {
		if err := c.refresh(ctx); err != nil {
			return "", err
		}
	}
	return c.addresses[try%len(c.addresses)], nil
}

var errNoEntry = errors.New("no entry node answers")

func (c *Caller) refresh(ctx context.Context) error {
	for _, seed := range c.seeds() {
		list, err := c.ask(ctx, seed)
		if err != nil || len(list.Addresses) == 0 {
			continue
		}
		c.addresses = nil
		for _, a := range list.Addresses {
			c.addresses = append(c.addresses, a.Address)
		}
		c.until = time.Now().Add(time.Duration(list.ValidForMS) * time.Millisecond)
		return nil
	}
	return errNoEntry
}

func (c *Caller) ask(ctx context.Context, seed string) (entryList, error) {
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

func (a Ask) body() []byte {
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

// Chat sends the request until it has an answer, a refusal, or no time left.
func (c *Caller) Chat(ctx context.Context, ask Ask) Reply {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, ask.Deadline+answerTime)
	defer cancel()
	reply := Reply{Ask: ask, Result: Lost}
	for try := range maxTries {
		reply.Tries = try + 1
		address, err := c.address(ctx, try)
		if err == nil {
			err = c.try(ctx, address, began, &reply)
		}
		if err == nil {
			return reply
		}
		reply.Code = fmt.Sprintf("%s after %s", err, time.Since(began).Round(100*time.Millisecond))
		if ctx.Err() != nil {
			return reply
		}
		reply.Result = Failed
		time.Sleep(retryPause)
	}
	return reply
}

// try sends the request once. An error means that it may be sent again.
func (c *Caller) try(ctx context.Context, address string, began time.Time, reply *Reply) error {
	body := reply.body()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set(entry.HeaderCaller, c.name)
	req.Header.Set(entry.HeaderRank, reply.Rank.String())
	req.Header.Set(entry.HeaderDeadline, (reply.Deadline - time.Since(began)).String())
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("no answer: %w", errors.Unwrap(err))
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refusal(resp, reply)
	}
	text, first, err := readAnswer(resp.Body)
	if err != nil {
		return fmt.Errorf("answer broke off, begun %t: %w", !first.IsZero(), err)
	}
	reply.FirstToken = first.Sub(began)
	want, err := engine.Answer(reply.Target, body)
	reply.Result = Answered
	if err != nil || text != want {
		reply.Result = Wrong
	}
	return nil
}

type errorBody struct {
	Error struct {
		Code         string `json:"code"`
		Outcome      string `json:"outcome"`
		RetryAfterMS int64  `json:"retry_after_ms"`
	} `json:"error"`
}

// refusal reads a typed error. Refusals are not sent again.
func refusal(resp *http.Response, reply *Reply) error {
	var typed errorBody
	if err := json.NewDecoder(resp.Body).Decode(&typed); err != nil {
		return fmt.Errorf("status %d: %w", resp.StatusCode, err)
	}
	reply.Code = typed.Error.Code
	reply.RetryAfter = time.Duration(typed.Error.RetryAfterMS) * time.Millisecond
	reply.Result = Failed
	switch {
	case typed.Error.Outcome == fleet.OutcomeNotRun.String():
		reply.Result = Refused
	case typed.Error.Code == string(entry.CodeDeadlineExceeded):
		reply.Result = Expired
	}
	return nil
}

type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// readAnswer reads a stream to its end mark and returns the text and the time
// of its first token.
func readAnswer(body io.Reader) (string, time.Time, error) {
	var text strings.Builder
	var first time.Time
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		if !isData {
			continue
		}
		if data == "[DONE]" {
			return text.String(), first, nil
		}
		var c chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return "", first, err
		}
		if first.IsZero() {
			first = time.Now()
		}
		for _, choice := range c.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	if err := lines.Err(); err != nil {
		return "", first, err
	}
	return "", first, io.ErrUnexpectedEOF
}

// OrderReply is how a keyed call ended.
type OrderReply struct {
	Outcome string // ran, not_run or unknown; empty if no answer came
	Status  int
}

// Order sends a parts order with the key through the given entry node.
func (c *Caller) Order(ctx context.Context, address, key, parts string) (OrderReply, error) {
	url := fmt.Sprintf("http://%s/v1/services/%s/orders", address, Ordering)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(parts))
	if err != nil {
		return OrderReply{}, err
	}
	req.Header.Set(entry.HeaderKey, key)
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
	var typed errorBody
	err = json.NewDecoder(resp.Body).Decode(&typed)
	return OrderReply{Outcome: typed.Error.Outcome, Status: resp.StatusCode}, err
}
