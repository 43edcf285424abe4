package processes

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/internal/dev"
	"github.com/redwingnotch/redwingnotch/internal/entry"
	"github.com/redwingnotch/redwingnotch/standin/engine"
)

// Time limits of requests, far longer than a response takes on a busy machine.
const (
	requestDeadline = 2 * time.Minute
	callTimeout     = 3 * time.Minute
)

// httpClient opens a new connection for each request, so that no test depends on
// idle connections of another test.
var httpClient = &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// reply is a complete response of an entry node, or the error of the request.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// sendRequest sends a request to the node. Headers alternate names and values.
func (n *daemon) sendRequest(method, path, body string, headers ...string) reply {
	req, err := http.NewRequest(method, "http://"+n.callers()+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

// ready reports whether the node's readiness check succeeds.
func (n *daemon) ready() bool {
	resp, err := httpClient.Get("http://" + n.admin() + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// chat sends a request without streaming and checks the response.
func (n *daemon) chat(m fleet.ModelID, content, requestID string) error {
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}],"max_tokens":8}`, m, content)
	r := n.sendRequest(http.MethodPost, "/v1/chat/completions", body, entry.HeaderRequestID, requestID, entry.HeaderDeadline, requestDeadline.String())
	if r.err != nil {
		return fmt.Errorf("%s through %s: %w", requestID, n.name, r.err)
	}
	if r.status != http.StatusOK {
		return fmt.Errorf("%s through %s: status %d: %s", requestID, n.name, r.status, r.body)
	}
	var answer struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(r.body), &answer); err != nil || len(answer.Choices) != 1 {
		return fmt.Errorf("%s through %s: %v: %s", requestID, n.name, err, r.body)
	}
	want, err := engine.ExpectedText(fleet.Target{Model: m}, []byte(body))
	if err != nil || answer.Choices[0].Message.Content != want {
		return fmt.Errorf("%s through %s: got %q, want %q (%v)", requestID, n.name, answer.Choices[0].Message.Content, want, err)
	}
	return nil
}

// burst is a group of concurrent requests.
type burst struct {
	t    *testing.T
	wg   sync.WaitGroup
	mu   sync.Mutex
	errs []error
}

// startBurst starts perNode concurrent requests for the model through each node.
func startBurst(t *testing.T, nodes []*daemon, m fleet.ModelID, perNode int) *burst {
	b := &burst{t: t}
	for _, n := range nodes {
		for i := range perNode {
			id := fmt.Sprintf("%s-%s-%d", m, n.name, i)
			b.wg.Go(func() { b.addError(n.chat(m, "question of "+id, id)) })
		}
	}
	return b
}

func (b *burst) addError(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		b.errs = append(b.errs, err)
	}
}

// waitAnswered waits until all requests have ended and checks that each got its
// complete and correct response. Requests are not retried.
func (b *burst) waitAnswered() {
	b.t.Helper()
	b.wg.Wait()
	for _, err := range b.errs {
		b.t.Error(err)
	}
}

// orderResult is the result of a keyed call.
type orderResult struct {
	reply
	outcome string // ran, not_run or unknown
}

// order sends a keyed call to the plain service. Headers alternate names and
// values.
func (n *daemon) order(key, parts string, headers ...string) orderResult {
	headers = append(headers, entry.HeaderIdempotencyKey, key)
	r := n.sendRequest(http.MethodPost, "/v1/services/"+string(dev.OrderingService)+"/orders", parts, headers...)
	var refusal struct {
		Error struct {
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	if r.status == http.StatusOK {
		return orderResult{reply: r, outcome: r.header.Get(entry.HeaderOutcome)}
	}
	_ = json.Unmarshal([]byte(r.body), &refusal)
	return orderResult{reply: r, outcome: refusal.Error.Outcome}
}

// newKey requests a key issued by the node.
func (n *daemon) newKey() string {
	n.t.Helper()
	r := n.sendRequest(http.MethodPost, "/v1/keys", "")
	assert.NilError(n.t, r.err)
	var issued struct {
		Key string `json:"key"`
	}
	assert.NilError(n.t, json.Unmarshal([]byte(r.body), &issued), r.body)
	assert.Assert(n.t, issued.Key != "", r.body)
	return issued.Key
}

// load is a group of callers, each of which sends one request after another until
// stopped.
type load struct {
	stop    chan struct{}
	wg      sync.WaitGroup
	mu      sync.Mutex
	replies []dev.Reply
}

// startLoad starts callers of the model that select entry nodes through /v1/entry.
func startLoad(t *testing.T, nodes []*daemon, m fleet.ModelID, callers int) *load {
	l := &load{stop: make(chan struct{})}
	seeds := func() []string {
		var all []string
		for _, n := range nodes {
			all = append(all, n.callers())
		}
		return all
	}
	for i := range callers {
		caller := dev.NewCaller(fmt.Sprint("caller-", i), seeds)
		l.wg.Go(func() {
			defer caller.Close()
			l.run(t, caller, m)
		})
	}
	return l
}

func (l *load) run(t *testing.T, caller *dev.Caller, m fleet.ModelID) {
	for i := 0; ; i++ {
		select {
		case <-l.stop:
			return
		default:
		}
		r := caller.Chat(t.Context(), dev.Request{
			Target: fleet.Target{Model: m}, Rank: fleet.RankStandard,
			Content: fmt.Sprint("question ", i), MaxTokens: 16, Deadline: requestDeadline,
		})
		l.mu.Lock()
		l.replies = append(l.replies, r)
		l.mu.Unlock()
	}
}

// completed returns the number of requests that have ended so far.
func (l *load) completed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.replies)
}

// waitCompleted waits until the given number of further requests have ended.
func (l *load) waitCompleted(t *testing.T, more int) {
	t.Helper()
	from := l.completed()
	waitFor(t, "more requests complete", func() bool { return l.completed() >= from+more })
}

// stopAndCollect waits for the running requests and returns all replies.
func (l *load) stopAndCollect() []dev.Reply {
	close(l.stop)
	l.wg.Wait()
	return l.replies
}
