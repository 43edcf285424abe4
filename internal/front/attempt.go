package front

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/internal/httpsend"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/replicas"
)

// maxAnswerBytes bounds the answer of a plain service.
const maxAnswerBytes = 16 << 20

// Times after which a silent server is given up for a request that may be sent
// again, by the route's objective.
const (
	silentFactor = 4                      // objectives
	silentLeast  = 250 * time.Millisecond // for the shortest objectives
	silentMost   = 2500 * time.Millisecond
)

// Times after which a silent server is taken for a failing one by later requests,
// while the request that waits goes on.
const (
	suspectFactor = 1.5                    // objectives
	suspectLeast  = 600 * time.Millisecond // for the shortest objectives
	suspectMost   = 1500 * time.Millisecond
)

type attemptResult uint8

const (
	attemptDone  attemptResult = iota // the caller has its answer, or never will
	attemptAgain                      // another server may be tried
)

// errSilent is the cause of attempts that are given up for their silence.
var errSilent = errors.New("no answer from the backend server")

// attempt sends the request to one server.
func (x *exchange) attempt(ctx context.Context, server replicas.Entry) attemptResult {
	n := x.node
	defer n.ended(server.ID)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(x.patience(), func() { cancel(errSilent) })
	defer silence.Stop()
	suspicion := time.AfterFunc(x.suspectAfter(), func() { n.observe(server.ID, replicas.Failed, 0) })
	defer suspicion.Stop()
	x.sends++
	x.server = server.ID
	sent := bootclock.Now()
	resp, err := httpsend.Do(n.links.client(server), x.outgoing(ctx, server))
	if err != nil {
		return x.sendFailed(server, err)
	}
	suspicion.Stop()
	defer resp.Body.Close()
	if told, ok := platform.KeepAlive(resp.Header); ok {
		n.links.keepAlive(server, told)
	}
	if load, ok := platform.ReadLoad(resp.Header); ok {
		n.toldLoad(server.ID, load)
	}
	if platform.NotRun(resp) {
		return x.notRun(server, resp)
	}
	x.runs++
	if resp.Header.Get(platform.HeaderRequestID) != x.terms.ID {
		return x.broken(server, "answer_of_another_request")
	}
	if resp.StatusCode < http.StatusMultipleChoices && (resp.Header.Get(platform.HeaderStamp) == "" || resp.Header.Get("Content-Encoding") != "") {
		return x.broken(server, "answer_without_stamp")
	}
	silence.Stop()
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") && resp.StatusCode == http.StatusOK {
		return x.stream(ctx, cancel, server, resp, sent)
	}
	return x.whole(server, resp, sent)
}

// patience is how long a server may stay silent. A request that can't be sent
// again is waited for to the end.
func (x *exchange) patience() time.Duration {
	left := x.limit.Sub(bootclock.Now()) + answerGrace
	if !x.route.Idempotent() || x.runs+1 >= x.route.MaxAttempts {
		return left
	}
	return min(left, max(silentLeast, min(silentMost, silentFactor*x.route.Target)))
}

func (x *exchange) suspectAfter() time.Duration {
	return min(suspectMost, max(suspectLeast, time.Duration(suspectFactor*float64(x.route.Target))))
}

// outgoing builds the request for a server. Path, query and body are as the
// caller sent them.
func (x *exchange) outgoing(ctx context.Context, server replicas.Entry) *http.Request {
	req := &http.Request{
		Method:        x.r.Method,
		URL:           &url.URL{Scheme: "http", Host: server.Address, Opaque: x.r.RequestURI},
		Host:          x.r.Host,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		ContentLength: int64(len(x.body)),
		Header: platform.ForwardHeaders(x.r.Header, platform.Forwarding{
			Replica:     server.ID,
			Left:        x.limit.Sub(bootclock.Now()),
			Priority:    x.enginePriority(),
			LastEventID: x.lastID,
		}),
	}
	if len(x.body) > 0 {
		// A kept connection may turn out to have ended before anything is sent.
		req.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(x.body)), nil }
		req.Body = io.NopCloser(bytes.NewReader(x.body))
	}
	return req.WithContext(ctx)
}

// Priorities of requests at an engine.
const (
	enginePriorityStep = 2 // between two priorities of routes
	enginePriorityMost = 9
)

// enginePriority returns the request's priority at an engine, or -1 on plain services.
func (x *exchange) enginePriority() int {
	if x.terms.Model == "" {
		return -1
	}
	return min(enginePriorityMost, x.route.Priority*enginePriorityStep)
}

// sendFailed handles an attempt that got no answer.
func (x *exchange) sendFailed(server replicas.Entry, err error) attemptResult {
	n := x.node
	if x.r.Context().Err() != nil {
		if errors.Is(err, httpsend.ErrMaybeSent) {
			x.runs++
		}
		x.abort("caller_left")
		return attemptDone
	}
	if !errors.Is(err, httpsend.ErrMaybeSent) {
		observation := replicas.Unreachable
		if errors.Is(err, httpsend.ErrNotSent) {
			observation = replicas.Failed
		}
		n.observe(server.ID, observation, 0)
		if x.sends < maxSends {
			return x.elsewhere(server, "unreachable", err) // nothing reached a server: no budget is used
		}
		return x.again(server, "unreachable", err)
	}
	x.runs++
	n.observe(server.ID, replicas.Failed, 0)
	var rested *httpsend.RestedError
	if errors.As(err, &rested) && context.Cause(x.r.Context()) == nil && !errors.Is(err, errSilent) && n.links.connectionDropped(x.service, rested.Rest) {
		level.Info(n.log).Log("event", "idle_connection_dropped", "service", x.service, "server", server.ID, "rested", rested.Rest)
	}
	if !bootclock.Now().Before(x.limit) {
		x.giveUp("time_over")
		return attemptDone
	}
	return x.brokenBy(server, "no_answer", err)
}

// notRun handles a server's word that it has not run the request.
func (x *exchange) notRun(server replicas.Entry, resp *http.Response) attemptResult {
	reason := "server_full"
	if resp.StatusCode == http.StatusMisdirectedRequest {
		reason = "not_at_server"
	}
	// A server that is full, or busy with an order for the model, is left alone
	// as one that does not have it.
	x.node.absent(server.ID, x.terms.Model, x.terms.Adapter)
	return x.again(server, reason, nil)
}

// broken handles an answer that can't be passed on.
func (x *exchange) broken(server replicas.Entry, reason string) attemptResult {
	x.node.observe(server.ID, replicas.Failed, 0)
	return x.brokenBy(server, reason, nil)
}

func (x *exchange) brokenBy(server replicas.Entry, reason string, err error) attemptResult {
	if !x.route.Idempotent() || x.runs >= x.route.MaxAttempts {
		x.logAttempt(server, reason, err, false)
		x.giveUp(reason)
		return attemptDone
	}
	return x.again(server, reason, err)
}

// again lets another server be tried if the budget of repeated sends allows it.
func (x *exchange) again(server replicas.Entry, reason string, err error) attemptResult {
	if !x.mayRepeat() {
		x.logAttempt(server, reason, err, false)
		x.giveUp(reason)
		return attemptDone
	}
	return x.elsewhere(server, reason, err)
}

func (x *exchange) mayRepeat() bool {
	return x.sends < maxSends && x.node.mayRetry(x.service)
}

func (x *exchange) elsewhere(server replicas.Entry, reason string, err error) attemptResult {
	x.logAttempt(server, reason, err, true)
	x.node.metrics.Retry(reason)
	x.excluded = append(x.excluded, server.ID)
	return attemptAgain
}

func (x *exchange) logAttempt(server replicas.Entry, reason string, err error, again bool) {
	level.Info(x.node.log).Log("event", "attempt_failed", "id", x.terms.ID, "server", server.ID, "reason", reason,
		"again", again, "sends", x.sends, "runs", x.runs, "err", err)
}

// whole passes on an answer that comes in one piece. It is read whole first, so
// that a part of it never looks like the answer.
func (x *exchange) whole(server replicas.Entry, resp *http.Response, sent time.Time) attemptResult {
	body, err := httpsend.ReadBody(resp.Body, maxAnswerBytes)
	if err != nil {
		if x.r.Context().Err() != nil {
			x.abort("caller_left")
			return attemptDone
		}
		return x.brokenBy(server, "answer_cut", err)
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		x.node.observe(server.ID, replicas.Failed, 0)
		if x.route.Idempotent() && x.runs < x.route.MaxAttempts && x.mayRepeat() {
			// The answer is not kept: if the next server gives none, the caller
			// is told that it failed.
			return x.elsewhere(server, "server_error", nil)
		}
	} else {
		x.node.observe(server.ID, replicas.Answered, bootclock.Now().Sub(sent))
	}
	platform.AnswerHeaders(x.w.Header(), resp.Header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.closeIfLeaving()
	x.answered(resp.StatusCode)
	if _, err := x.w.Write(body); err != nil {
		x.reason = "caller_left"
	}
	return attemptDone
}

func (x *exchange) closeIfLeaving() {
	if x.node.leaving.Load() {
		x.w.Header().Set("Connection", "close")
	}
}

// answered notes the status that the caller gets from a server.
func (x *exchange) answered(status int) {
	x.status, x.outcome = status, "answered"
	x.first = bootclock.Now().Sub(x.arrived)
	x.started = true
	x.w.WriteHeader(status)
}

func (n *Node) ended(server string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.End(server)
	n.pump(bootclock.Now())
}

func (n *Node) observe(server string, o replicas.Observation, latency time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.Observe(bootclock.Now(), server, o, latency)
}

func (n *Node) absent(server, model, adapter string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.MarkAbsent(bootclock.Now(), server, model, adapter)
}

func (n *Node) toldLoad(server string, l platform.Load) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.Told(bootclock.Now(), server, l.Running+l.Waiting)
}
