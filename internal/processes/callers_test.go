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

// Bounds of callers, far beyond what an answer takes on a busy machine.
const (
	askDeadline = 2 * time.Minute
	callTimeout = 3 * time.Minute
)

// httpClient opens a connection for each call, so that no test depends on
// connections that another one left.
var httpClient = &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// reply is a whole answer of an entry node.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// send sends one request to the node. The headers come in pairs.
func (n *daemon) send(method, path, body string, headers ...string) reply {
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

// ready tells whether the node says that it serves.
func (n *daemon) ready() bool {
	resp, err := httpClient.Get("http://" + n.admin() + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// chat sends one request that is answered whole, and checks the answer.
func (n *daemon) chat(m fleet.ModelID, content, requestID string) error {
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}],"max_tokens":8}`, m, content)
	r := n.send(http.MethodPost, "/v1/chat/completions", body, entry.HeaderRequestID, requestID, entry.HeaderDeadline, askDeadline.String())
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
	want, err := engine.Answer(fleet.Target{Model: m}, []byte(body))
	if err != nil || answer.Choices[0].Message.Content != want {
		return fmt.Errorf("%s through %s: got %q, want %q (%v)", requestID, n.name, answer.Choices[0].Message.Content, want, err)
	}
	return nil
}

// burst is requests that are sent at once.
type burst struct {
	t    *testing.T
	wait sync.WaitGroup
	mu   sync.Mutex
	errs []error
}

// startBurst sends requests for the model through each node at once.
func startBurst(t *testing.T, nodes []*daemon, m fleet.ModelID, perNode int) *burst {
	b := &burst{t: t}
	for _, n := range nodes {
		for i := range perNode {
			id := fmt.Sprintf("%s-%s-%d", m, n.name, i)
			b.wait.Go(func() { b.add(n.chat(m, "question of "+id, id)) })
		}
	}
	return b
}

func (b *burst) add(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		b.errs = append(b.errs, err)
	}
}

// answered waits until all requests have ended and checks that each had its
// whole and right answer at its only try.
func (b *burst) answered() {
	b.t.Helper()
	b.wait.Wait()
	for _, err := range b.errs {
		b.t.Error(err)
	}
}

// ordered is how a keyed call ended.
type ordered struct {
	reply
	outcome string // ran, not_run or unknown
}

// order sends a parts order under the key. The headers come in pairs.
func (n *daemon) order(key, parts string, headers ...string) ordered {
	headers = append(headers, entry.HeaderKey, key)
	r := n.send(http.MethodPost, "/v1/services/"+string(dev.Ordering)+"/orders", parts, headers...)
	var refusal struct {
		Error struct {
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	if r.status == http.StatusOK {
		return ordered{reply: r, outcome: r.header.Get(entry.HeaderOutcome)}
	}
	_ = json.Unmarshal([]byte(r.body), &refusal)
	return ordered{reply: r, outcome: refusal.Error.Outcome}
}

// issueKey asks the node for a key.
func (n *daemon) issueKey() string {
	n.t.Helper()
	r := n.send(http.MethodPost, "/v1/keys", "")
	assert.NilError(n.t, r.err)
	var issued struct {
		Key string `json:"key"`
	}
	assert.NilError(n.t, json.Unmarshal([]byte(r.body), &issued), r.body)
	assert.Assert(n.t, issued.Key != "", r.body)
	return issued.Key
}

// load is callers that send one request after another until told to stop.
type load struct {
	stop    chan struct{}
	wait    sync.WaitGroup
	mu      sync.Mutex
	replies []dev.Reply
}

// startLoad starts callers of the model who keep to /v1/entry.
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
		l.wait.Go(func() {
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
		r := caller.Chat(t.Context(), dev.Ask{
			Target: fleet.Target{Model: m}, Rank: fleet.RankStandard,
			Content: fmt.Sprint("question ", i), MaxTokens: 16, Deadline: askDeadline,
		})
		l.mu.Lock()
		l.replies = append(l.replies, r)
		l.mu.Unlock()
	}
}

// count returns the number of requests that ended so far.
func (l *load) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.replies)
}

// waitMore waits until so many more requests have ended.
func (l *load) waitMore(t *testing.T, more int) {
	t.Helper()
	from := l.count()
	waitFor(t, "requests go on", func() bool { return l.count() >= from+more })
}

// end lets the running requests end and returns all replies.
func (l *load) end() []dev.Reply {
	close(l.stop)
	l.wait.Wait()
	return l.replies
}
