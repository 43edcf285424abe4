package front

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/capacity"
	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/internal/bytebudget"
	"github.com/redwingnotch/redwingnotch/internal/httpsend"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/poison"
	"github.com/redwingnotch/redwingnotch/replicas"
	"github.com/redwingnotch/redwingnotch/waiting"
)

// maxBodyBytes limits the body of a response that is not a stream, and of a
// request if the operators set no limit.
const maxBodyBytes = 16 << 20

// notRunExclusion is the time for which a request is not sent again to a server that has not run
// it: the server was full, or was carrying out an order for the model. It may be the only one
// that has the model soon.
const notRunExclusion = 700 * time.Millisecond

// attemptResult says how a request goes on after an attempt.
type attemptResult uint8

const (
	attemptDone  attemptResult = iota // the request has ended: its response was passed on, or it failed
	attemptRetry                      // another server may be tried
)

// errResponseTimeout is the cancellation cause of attempts that got no response
// in time, or only a part of one that is not a stream.
var errResponseTimeout = errors.New("no response from the backend server in time")

// attempt sends the request to one server and passes its response on.
func (x *exchange) attempt(ctx context.Context, server replicas.Entry) attemptResult {
	n := x.node
	defer x.attemptEnded(server, bootclock.Now(), x.runs)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timeout := x.giveUpTimer(server, cancel)
	defer timeout.Stop()
	slow := time.AfterFunc(x.slowAfter(), func() { n.observe(server, replicas.Failed, 0) })
	defer slow.Stop()
	x.sends++
	x.server = server
	x.received, x.attemptBegan = receivedResponse{}, time.Time{}
	sent := bootclock.Now()
	resp, err := httpsend.Do(x.client(server), x.serverRequest(ctx, server))
	if err != nil {
		return x.sendFailed(server, err)
	}
	defer resp.Body.Close()
	n.recordResponse(server, resp)
	x.received = receivedResponse{framing: httpsend.FramingOf(resp)}
	if platform.NotRun(resp) && x.answersThis(resp) {
		return x.requestNotRun(server, resp)
	}
	x.runs++
	n.serverAlive(server, sent)
	if resp.Header.Get(platform.HeaderRequestID) != x.params.ID {
		return x.badResponse(server, "answer_of_another_request", httpsend.CloseConn(resp))
	}
	if resp.StatusCode < http.StatusMultipleChoices && (resp.Header.Get(platform.HeaderStamp) == "" || resp.Header.Get("Content-Encoding") != "") {
		return x.badResponse(server, "answer_without_stamp", nil)
	}
	isStream := resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
	if x.responseStarted && !isStream {
		return x.badResponse(server, "no_stream", nil)
	}
	if isStream {
		timeout.Stop()
		slow.Stop()
		return x.stream(ctx, cancel, server, resp, sent)
	}
	return x.plainResponse(server, resp, sent, func() { timeout.Stop(); slow.Stop() })
}

// plainResponse reads a response that is not a stream and passes it on. It is passed on once it is whole, so
// its body has no more time than its head; received is called when that time no longer counts.
func (x *exchange) plainResponse(server replicas.Entry, resp *http.Response, sent time.Time, received func()) attemptResult {
	held := x.node.bodies.Hold()
	defer held.Release()
	body, err := held.ReadAll(resp.Body, maxBodyBytes)
	unheld := errors.Is(err, bytebudget.ErrFull) && x.received.framing == httpsend.FramingLength && resp.ContentLength <= maxBodyBytes
	if err == nil || unheld {
		received()
	}
	if unheld {
		return x.forwardUnheld(server, resp, body, sent)
	}
	x.recordEnd(err, false)
	if err == nil && x.received.framing == httpsend.FramingClose && !x.livesOn(server) {
		err = errServerEnded
	}
	if err != nil {
		return x.bodyFailed(server, err)
	}
	return x.forwardWhole(server, resp, body, sent)
}

// client returns the HTTP client for an attempt at the server.
func (x *exchange) client(server replicas.Entry) *http.Client {
	if x.refusedBy(server) {
		// What the server has said before can't arrive on a new connection.
		return x.node.serverClients.freshClient
	}
	return x.node.serverClients.client(server)
}

// refusedBy reports whether this start of the server has not run an earlier attempt of the
// request.
func (x *exchange) refusedBy(server replicas.Entry) bool {
	return slices.ContainsFunc(x.excluded, func(e replicas.Exclusion) bool { return e.ID == server.ID && e.Start == server.Start })
}

// answersThis reports whether a response that says that the request was not run is a
// response to it, not an earlier one that the server has sent once more.
func (x *exchange) answersThis(resp *http.Response) bool {
	id := resp.Header.Get(platform.HeaderRequestID)
	return id == x.params.ID || id == "" && !httpsend.Reused(resp)
}

// serverRequest builds the request to a server. Path, query and body are sent as
// received.
func (x *exchange) serverRequest(ctx context.Context, server replicas.Entry) *http.Request {
	req := &http.Request{
		Method:        x.r.Method,
		URL:           &url.URL{Scheme: "http", Host: server.Address, Opaque: x.r.RequestURI},
		Host:          x.r.Host,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		ContentLength: int64(len(x.body)),
		Header: platform.ForwardHeaders(x.r.Header, platform.ForwardOptions{
			Replica:     server.ID,
			TimeLeft:    x.deadline.Sub(bootclock.Now()),
			Priority:    x.enginePriority(),
			LastEventID: x.lastEventID,
			RequireKeys: x.keyed,
			Team:        x.teamName(),
		}),
	}
	if len(x.body) > 0 {
		// Lets the request be sent again if a reused connection turns out to be
		// closed before anything was sent.
		req.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(x.body)), nil }
		req.Body = io.NopCloser(bytes.NewReader(x.body))
	}
	return req.WithContext(ctx)
}

// Priorities of requests at a model engine.
const (
	enginePriorityStep = 2 // difference between two route priorities
	maxEnginePriority  = 9
)

// enginePriority returns the request's priority at a model engine, or -1 on plain
// services.
func (x *exchange) enginePriority() int {
	if x.params.Model == "" {
		return -1
	}
	if x.keyed {
		return x.node.keys.enginePriority(x.rank())
	}
	return min(maxEnginePriority, x.route.Priority*enginePriorityStep)
}

// sendFailed handles an attempt that got no response.
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
		if errors.Is(err, syscall.ECONNREFUSED) {
			n.connectionRefused(server)
		}
		n.observe(server, observation, 0)
		if x.sends < maxSends {
			return x.retryElsewhere(server, "unreachable", err) // nothing was sent, so no retry budget is used
		}
		return x.retryWithinBudget(server, "unreachable", err)
	}
	x.runs++
	n.observe(server, replicas.Failed, 0)
	var reused *httpsend.IdleConnError
	if errors.As(err, &reused) && context.Cause(x.r.Context()) == nil && !errors.Is(err, errResponseTimeout) {
		go n.checkIdleDrop(server, reused.IdleTime)
	}
	if !bootclock.Now().Before(x.deadline) {
		x.endUnanswered("time_over")
		return attemptDone
	}
	if errors.Is(err, errNodeStops) {
		x.endUnanswered(string(waiting.Stopping))
		return attemptDone
	}
	if !errors.Is(err, errResponseTimeout) {
		x.connectionLost(server)
	}
	return x.attemptFailed(server, "no_answer", err)
}

// checkIdleDrop records that the server has dropped an idle connection, if it accepts another
// one. The connections of a server that has ended tell nothing of the other servers.
func (n *Node) checkIdleDrop(server replicas.Entry, idle time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
	defer cancel()
	conn, err := httpsend.DialTCP(ctx, "tcp", server.Address)
	if err != nil {
		return // it has ended, or can't be reached
	}
	_ = conn.Close() // nothing was sent on it
	if n.serverClients.recordIdleDrop(server.Service, idle) {
		level.Info(n.log).Log("event", "idle_connection_dropped", "service", server.Service, "server", server.ID, "rested", idle)
	}
}

// requestNotRun handles a server's response that it did not run the request.
func (x *exchange) requestNotRun(server replicas.Entry, resp *http.Response) attemptResult {
	reason := "server_full"
	if resp.StatusCode == http.StatusMisdirectedRequest {
		reason = "not_at_server"
	} else {
		x.node.rejected(server)
	}
	// A server that is full, or is carrying out an order for the model, is
	// avoided like one that does not hold the model.
	x.node.markAbsent(server, x.params.Model, x.params.Adapter)
	x.excludeFor = notRunExclusion
	return x.retryWithinBudget(server, reason, nil)
}

// badResponse handles a response that can't be passed on.
func (x *exchange) badResponse(server replicas.Entry, reason string, err error) attemptResult {
	x.node.observe(server, replicas.Failed, 0)
	return x.attemptFailed(server, reason, err)
}

// attemptFailed retries a request that may have run if its route allows that, and
// ends it otherwise.
func (x *exchange) attemptFailed(server replicas.Entry, reason string, err error) attemptResult {
	if !x.repeatable() || x.runs >= x.route.MaxAttempts {
		x.logAttempt(server, reason, err, false)
		x.endUnanswered(reason)
		return attemptDone
	}
	return x.retryWithinBudget(server, reason, err)
}

// repeatable reports whether the request may run once more, after what was passed on.
func (x *exchange) repeatable() bool {
	return x.route.Idempotent() && (!x.responseStarted || x.route.Resumable && !x.sentWithoutID)
}

// retryWithinBudget lets another server be tried if the retry budget allows it,
// and ends the request otherwise.
func (x *exchange) retryWithinBudget(server replicas.Entry, reason string, err error) attemptResult {
	if !x.tryRetry() {
		x.logAttempt(server, reason, err, false)
		x.endUnanswered(reason)
		return attemptDone
	}
	return x.retryElsewhere(server, reason, err)
}

// tryRetry reports whether the request may be sent once more, and takes that out
// of the retry budget.
func (x *exchange) tryRetry() bool {
	return x.sends < maxSends && x.node.takeRetry(x.service)
}

// retryElsewhere excludes the server and lets another one be tried.
func (x *exchange) retryElsewhere(server replicas.Entry, reason string, err error) attemptResult {
	x.logAttempt(server, reason, err, true)
	x.node.metrics.Retry(reason)
	exclusion := replicas.Exclusion{ID: server.ID, Start: server.Start}
	if x.excludeFor > 0 {
		exclusion.Until = bootclock.Now().Add(x.excludeFor)
		x.excludeFor = 0
	}
	x.excluded = append(x.excluded, exclusion)
	return attemptRetry
}

func (x *exchange) logAttempt(server replicas.Entry, reason string, err error, again bool) {
	level.Info(x.node.log).Log("event", "attempt_failed", "id", x.params.ID, "server", server.ID, "start", server.Start, "reason", reason,
		"again", again, "sends", x.sends, "runs", x.runs, "framing", x.received.framing, "end", x.received.end,
		"inside_event", x.received.insideEvent, "content", formatKey(poison.Key(x.contentHash())), "parts", x.formatParts(), "err", err)
}

// receivedResponse says how the latest response of a backend server was framed and
// how it ended, for the log and the metrics.
type receivedResponse struct {
	framing     httpsend.Framing // empty if no response was received
	end         httpsend.End     // empty if the body was not read to an end
	insideEvent bool             // the response is a stream and ended inside an event
}

// brokenOff reports whether the server closed or lost the connection before the body's
// end.
func (r receivedResponse) brokenOff() bool {
	return r.end == httpsend.EndTruncated || r.end == httpsend.EndReset || r.end == httpsend.EndClosed
}

// recordEnd records how the body of the latest response ended. err is the result of
// its last read.
func (x *exchange) recordEnd(err error, insideEvent bool) {
	x.received.end, x.received.insideEvent = httpsend.EndOf(x.received.framing, err), insideEvent
	x.node.metrics.ResponseEnded(string(x.received.framing), string(x.received.end), insideEvent)
}

// bodyFailed handles a response whose body broke off, came too slowly or is too
// large.
func (x *exchange) bodyFailed(server replicas.Entry, err error) attemptResult {
	if x.abandoned() {
		return attemptDone
	}
	if x.received.brokenOff() {
		x.connectionLost(server)
	}
	return x.badResponse(server, "answer_cut", err)
}

// forwardWhole passes on a response that is not a stream. Its body was read to its
// end first, so that a truncated response is never passed on.
func (x *exchange) forwardWhole(server replicas.Entry, resp *http.Response, body []byte, sent time.Time) attemptResult {
	if resp.StatusCode >= http.StatusInternalServerError {
		x.node.observe(server, replicas.Failed, 0)
		if x.route.Idempotent() && x.runs < x.route.MaxAttempts && x.tryRetry() {
			// This response is dropped: if the next attempt gets none, the
			// caller receives an error of this node.
			return x.retryElsewhere(server, "server_error", nil)
		}
	} else {
		x.attemptAnswered(server, bootclock.Now().Sub(sent))
	}
	x.responseComplete(server, resp)
	length := int64(len(body))
	if x.r.Method == http.MethodHead {
		length = resp.ContentLength
	}
	if !x.startResponse(resp, length) {
		return attemptDone
	}
	if _, err := x.w.Write(body); err != nil {
		x.abort("caller_left")
	}
	return attemptDone
}

// forwardUnheld passes on a response of known length for which there is no memory: what was
// read so far, and the rest as it comes. If the server breaks it off, the caller's response
// breaks off as well.
func (x *exchange) forwardUnheld(server replicas.Entry, resp *http.Response, head []byte, sent time.Time) attemptResult {
	if !x.startResponse(resp, resp.ContentLength) {
		return attemptDone
	}
	_, err := io.Copy(limitedWriter{x}, io.MultiReader(bytes.NewReader(head), resp.Body))
	x.recordEnd(err, false)
	switch {
	case x.outcome == "aborted":
	case err != nil && x.received.brokenOff():
		x.connectionLost(server)
		x.node.observe(server, replicas.Failed, 0)
		x.abort("answer_cut")
	case err != nil:
		x.abort("answer_cut")
	default:
		x.attemptAnswered(server, bootclock.Now().Sub(sent))
		x.responseComplete(server, resp)
	}
	return attemptDone
}

// limitedWriter writes to a request's caller, which must read each part in time.
type limitedWriter struct{ x *exchange }

// Write implements io.Writer.
func (w limitedWriter) Write(p []byte) (int, error) {
	if !w.x.limitWrite() {
		return 0, errCallerLeft
	}
	n, err := w.x.w.Write(p)
	if err != nil {
		w.x.abort("caller_left")
	}
	return n, err
}

// errCallerLeft means that the caller has closed its connection.
var errCallerLeft = errors.New("the caller has left")

// attemptAnswered records that the server answered the attempt after the given time: with the
// first event of a stream, or with another whole response.
func (x *exchange) attemptAnswered(server replicas.Entry, took time.Duration) {
	n := x.node
	n.observe(server, replicas.Answered, took)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.attempts.Observe(bootclock.Now(), x.route.Name, took)
}

// attemptEnded records the end of an attempt at the server, which may free a slot
// for a waiting request. held is how long the server ran it; zero if it did not.
func (n *Node) attemptEnded(server replicas.Entry, size replicas.Size, held time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.table.SameStart(server) {
		n.table.EndSized(server.ID, size)
	}
	if held > 0 {
		n.queue.Ended(server.Service, held)
	}
	n.dispatchWaiting(bootclock.Now())
}

// observe records the outcome of an attempt at the server; the latency is zero if
// unknown.
func (n *Node) observe(server replicas.Entry, o replicas.Observation, latency time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.table.SameStart(server) {
		n.table.Observe(bootclock.Now(), server.ID, o, latency)
		if o != replicas.Answered {
			n.capacity.Failed(bootclock.Now(), capacity.Server{ID: server.ID, Start: server.Start})
		}
	}
}

// markAbsent records that the server did not accept requests for the model or
// adapter.
func (n *Node) markAbsent(server replicas.Entry, model, adapter string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.table.SameStart(server) {
		n.table.MarkAbsent(bootclock.Now(), server.ID, model, adapter)
	}
}

// setReportedLoad records the load that the server reported with a response.
func (n *Node) setReportedLoad(server replicas.Entry, l platform.ServerLoad) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.table.SameStart(server) {
		n.table.SetReportedLoad(bootclock.Now(), server.ID, replicas.ReportedLoad{Requests: l.Running + l.Waiting, Pace: l.Pace})
	}
}
