package front

import (
	"context"
	"errors"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/credentials"
	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/internal/bytebudget"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/poison"
	"github.com/redwingnotch/redwingnotch/replicas"
	"github.com/redwingnotch/redwingnotch/routes"
	"github.com/redwingnotch/redwingnotch/waiting"
)

// Limits of requests.
const (
	defaultTimeLimit       = 30 * time.Second        // time limit if neither the caller nor the route sets one
	writeTimeout           = 2 * time.Second         // least time for a caller to read one part of a response; a late response is still delivered
	responseGrace          = 100 * time.Millisecond  // time after a request's deadline for a response that is being received
	unconfiguredRetryAfter = 500 * time.Millisecond  // Retry-After of a node without a desired state; by then the caller may reach another node
	shortRetryAfter        = 20 * time.Millisecond   // Retry-After if another attempt can succeed at once: at another node, or after a request that did not run
	noMemoryRetryAfter     = 300 * time.Millisecond  // Retry-After if the bodies of other requests and responses use all memory for bodies
	maxSends               = 4                       // attempts of one request, including those that servers refused
	fastTarget             = 1500 * time.Millisecond // latency targets below it are shorter than a load
)

// exchange is one request of a caller while this node handles it.
type exchange struct {
	node         *Node
	w            http.ResponseWriter
	r            *http.Request
	params       platform.RequestParams
	route        *routes.Route
	team         *routes.Team         // team whose key the request carries; nil without one
	key          credentials.Key      // what it carries as its key; set if keyed is set
	keyed        bool                 // the desired state required keys at a check of the request
	keyCheck     credentials.Decision // the latest check
	service      string               // service that the route selected
	body         []byte
	held         *bytebudget.Holding // memory of the body
	content      uint64              // see contentHash; zero until it is needed
	traitKeys    []poison.Key        // see traits; nil until they are needed
	arrived      time.Time
	deadline     time.Time  // end of the caller's or the route's time limit, whichever is earlier
	prefixKey    string     // hash of the parts of the prompt that other requests may share; may be empty
	sharedTokens int        // number of tokens in those parts
	charge       teamCharge // tokens that it has taken out of a team's allowance

	sends           int                  // attempts, including those that the server refused
	runs            int                  // attempts that the server may have run
	excluded        []replicas.Exclusion // servers at which an attempt failed
	excludeFor      time.Duration        // time for which the server of the latest attempt is excluded; zero for good
	firstEventID    string               // ID of the first stream event passed on that had one
	lastEventID     string               // ID of the last stream event with one that the caller has: passed on, or received before this request
	closedAfter     string               // lastEventID when a server last ended the stream with its connection; empty if none has
	eventBegun      bool                 // a server has sent the beginning of the event after lastEventID
	software        *string              // version of the software of the server that began the stream; nil until one has
	sentWithoutID   bool                 // an event without an ID was passed on since, which a resumed stream would repeat
	responseStarted bool                 // a part of the response was passed on
	emptyWritten    bool                 // a whole response without a body was written
	framedByClose   bool                 // the response ends with the caller's connection
	status          int                  // status of the final response; zero if the connection was closed instead
	outcome         string               // how the request ended, for the log and the metrics
	attemptBegan    time.Time            // when the latest attempt's first event arrived; zero before
	received        receivedResponse     // end of the latest response of a server
	server          replicas.Entry       // last server that the request was sent to
	waitedFor       string               // latest waiting.Cause; empty if it never waited
	waited          time.Duration        // total time until a server was assigned, over all attempts
	firstByteAfter  time.Duration        // time from arrival to the response's first byte
	reason          string               // why the request or its response failed; may be empty
}

// serve handles one request of a caller.
func (n *Node) serve(w http.ResponseWriter, r *http.Request) {
	n.activeRequests.Add(1)
	defer n.activeRequests.Add(-1)
	n.metrics.RequestStarted()
	x := &exchange{node: n, w: w, r: r, arrived: bootclock.Now()}
	if n.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	defer x.log()
	x.held = n.bodies.Hold()
	defer x.held.Release()
	defer x.endPanicked()
	defer x.returnAllowance()
	if x.limitWrite() && x.admit() {
		x.run()
		x.finishResponse()
	}
}

// admit reads the request and finds its route. If the request can't go on, it
// responds and returns false.
func (x *exchange) admit() bool {
	table := x.node.desired.Load()
	if table == nil {
		x.refuse("no_desired_state", unconfiguredRetryAfter)
		return false
	}
	if x.node.storeBehind.Load() {
		x.refuse("desired_state_behind", unconfiguredRetryAfter)
		return false
	}
	if !x.node.refusalsKnown.Load() {
		x.refuse("refusals_unread", unconfiguredRetryAfter)
		return false
	}
	if x.node.refuse.Load() {
		x.refuse("stopping", shortRetryAfter)
		return false
	}
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	if !strings.HasPrefix(path, "/") || strings.HasPrefix(path, "//") {
		x.fail(http.StatusNotFound, "no_route")
		return false
	}
	if x.route = table.Match(x.r.Host, path); x.route == nil {
		x.fail(http.StatusNotFound, "no_route")
		return false
	}
	var err error
	if x.params, err = platform.ParseRequestParams(x.r.Header); err != nil {
		level.Info(x.node.log).Log("event", "request_malformed", "id", x.params.ID, "err", err)
		x.fail(http.StatusBadRequest, "malformed")
		return false
	}
	if table.RequireKeys && !x.authenticate() {
		return false
	}
	if x.route.Kind == routes.Streaming {
		x.lastEventID = x.params.LastEventID
	}
	x.deadline = x.arrived.Add(x.timeLimit())
	x.service = x.route.Service(randomFraction())
	x.setSharedPrefix()
	if !x.endsBeforeStop() {
		x.refuse(string(waiting.Stopping), shortRetryAfter)
		return false
	}
	return x.readBody(table.Limits.MaxBodyBytes) && x.takeAllowance()
}

// limitWrite ends the connection of a caller that does not read what is written next by the
// request's deadline, or within writeTimeout if that is later. It returns false if the
// caller has left.
func (x *exchange) limitWrite() bool {
	limit := max(writeTimeout, x.deadline.Sub(bootclock.Now()))
	if err := http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(limit)); err != nil {
		x.abort("caller_left")
		return false
	}
	return true
}

// timeLimit returns the shorter of the route's and the caller's time limits.
func (x *exchange) timeLimit() time.Duration {
	limit := defaultTimeLimit
	if x.route.Timeout > 0 {
		limit = x.route.Timeout
	}
	if x.params.TimeLimit > 0 {
		limit = min(limit, x.params.TimeLimit)
	}
	return limit
}

// A caller disconnects from a stream after a pause without an event, also before the
// first one. That pause is the longest of minStreamWait, streamWaitTargets latency
// targets and streamWaitGaps times the route's MaxGap.
const (
	minStreamWait     = 2 * time.Second
	streamWaitTargets = 4
	streamWaitGaps    = 8
)

// firstByteDeadline returns until when the caller waits for the response's first
// byte.
func (x *exchange) firstByteDeadline() time.Time {
	if x.route.Kind != routes.Streaming {
		return x.deadline
	}
	wait := max(minStreamWait, streamWaitTargets*x.route.Target, streamWaitGaps*x.route.MaxGap)
	if by := x.arrived.Add(wait); by.Before(x.deadline) {
		return by
	}
	return x.deadline
}

// sharedParts returns the parts of the prompt that other requests may share: all but the
// last, which belongs to this request or its session.
func (x *exchange) sharedParts() []platform.PromptPart {
	return x.params.Prefix[:max(0, len(x.params.Prefix)-1)]
}

// setSharedPrefix sets prefixKey and sharedTokens by the shared parts.
func (x *exchange) setSharedPrefix() {
	parts := x.sharedParts()
	if len(parts) == 0 {
		return
	}
	var key strings.Builder
	key.WriteString(x.params.Model)
	key.WriteByte('/')
	key.WriteString(x.params.Adapter)
	for _, p := range parts {
		x.sharedTokens += p.Tokens
		key.WriteByte(' ')
		key.WriteString(p.ID)
	}
	x.prefixKey = strconv.FormatUint(xxhash.Sum64String(key.String()), 16)
}

// readBody reads the request's body, of at most limit bytes; zero selects a
// default.
func (x *exchange) readBody(limit int64) bool {
	if limit <= 0 {
		limit = maxBodyBytes
	}
	control := http.NewResponseController(x.w)
	err := control.SetReadDeadline(time.Now().Add(x.deadline.Sub(bootclock.Now())))
	var body []byte
	if err == nil {
		body, err = x.held.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit), limit)
	}
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		x.fail(http.StatusRequestEntityTooLarge, "body_too_large")
		return false
	case errors.Is(err, bytebudget.ErrFull):
		x.w.Header().Set("Connection", "close")
		x.refuse("no_memory", noMemoryRetryAfter)
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.w.Header().Set("Connection", "close")
		x.outcome, x.reason = "refused", "body_too_slow"
		x.writeEmpty(http.StatusRequestTimeout)
		return false
	case err != nil:
		x.abort("caller_left")
		return false
	}
	x.body = body
	// The server goes on reading to notice that the caller leaves.
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		x.abort("caller_left")
		return false
	}
	return true
}

// run sends the request to servers, one after another, until it is answered or
// fails.
func (x *exchange) run() {
	n := x.node
	ctx, cancel := context.WithTimeout(x.r.Context(), x.deadline.Sub(bootclock.Now())+responseGrace)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	defer context.AfterFunc(n.ended, func() { end(context.Cause(n.ended)) })()
	if !x.bindToOrigin(ctx) {
		return
	}
	n.countArrival(x)
	for {
		began := bootclock.Now()
		d, err := n.acquire(ctx, x.waitingRequest(), x.traits())
		took := bootclock.Now().Sub(began)
		x.waited += took
		if err != nil {
			x.recordWait(d, took, "left")
			x.waitEnded()
			return
		}
		x.recordWait(d, took, "")
		if d.Refused != "" {
			x.refuseWaiting(d)
			return
		}
		x.tellCacheUse(d.Server)
		if !x.endsBeforeStop() {
			x.attemptEnded(d.Server, began, x.runs)
			x.refuseWaiting(waiting.Decision{Refused: waiting.Stopping, RetryAfter: shortRetryAfter})
			return
		}
		if !x.authorizeAttempt() {
			x.attemptEnded(d.Server, began, x.runs)
			return
		}
		if x.attempt(ctx, d.Server) == attemptDone {
			return
		}
	}
}

// waitingRequest returns the request as package waiting needs it.
func (x *exchange) waitingRequest() waiting.Request {
	r := waiting.Request{
		Requirement: replicas.Requirement{
			Service:      x.service,
			Model:        x.params.Model,
			Adapter:      x.params.Adapter,
			Zone:         x.node.settings.Zone,
			SharedTokens: x.sharedTokens,
			PrefixKey:    x.prefixKey,
			Excluded:     x.excluded,
			Software:     x.software,
		},
		Priority: x.rank(),
		Arrived:  x.arrived,
		Deadline: x.firstByteDeadline(),
	}
	x.setShare(&r)
	return r
}

// fast reports whether the request's latency target is shorter than a load.
func (x *exchange) fast() bool { return x.route.Target < fastTarget }

// waitEnded ends a request whose context ended while it waited for a server.
func (x *exchange) waitEnded() {
	if x.r.Context().Err() != nil {
		x.abort("caller_left")
		return
	}
	x.endUnanswered("time_over")
}

// abandoned ends a request whose caller has left, or whose node ends its requests. It returns false
// if neither is the case.
func (x *exchange) abandoned() bool {
	switch {
	case x.r.Context().Err() != nil:
		x.abort("caller_left")
	case x.stopped():
		x.endUnanswered(string(waiting.Stopping))
	default:
		return false
	}
	return true
}

// refuseWaiting ends a request that no server can take in time.
func (x *exchange) refuseWaiting(d waiting.Decision) {
	if x.responseStarted || x.runs > 0 {
		x.endUnanswered(string(d.Refused))
		return
	}
	x.refuse(string(d.Refused), d.RetryAfter)
}

// endUnanswered ends a request that can't be sent again and has no complete
// response. A request that no server has run is refused; one that a server may have
// run fails.
func (x *exchange) endUnanswered(reason string) {
	switch {
	case x.responseStarted:
		x.abort(reason)
	case x.runs == 0:
		x.refuse(reason, shortRetryAfter)
	case bootclock.Now().Before(x.deadline):
		x.fail(http.StatusBadGateway, reason)
	default:
		x.fail(http.StatusGatewayTimeout, reason)
	}
}

// refuse responds that the request has not run and will not run, and after which
// time the caller may retry; zero if that can't help.
func (x *exchange) refuse(reason string, retryAfter time.Duration) {
	x.outcome, x.reason = "refused", reason
	if retryAfter > 0 {
		x.w.Header().Set("Retry-After", platform.RetryAfter(retryAfter))
	}
	x.writeEmpty(http.StatusServiceUnavailable)
}

// fail responds with an error of this node.
func (x *exchange) fail(status int, reason string) {
	x.outcome, x.reason = "failed", reason
	x.writeEmpty(status)
}

// writeEmpty sends a response without a body.
func (x *exchange) writeEmpty(status int) {
	x.status = status
	if x.params.ID != "" {
		x.w.Header().Set(platform.HeaderRequestID, x.params.ID)
	}
	x.w.Header().Set("Content-Length", "0")
	if x.limitWrite() {
		x.w.WriteHeader(status)
		x.emptyWritten = true
	}
}

// abort marks the caller's connection to be closed, so that a partial response
// does not look complete. log closes it.
func (x *exchange) abort(reason string) {
	x.outcome, x.reason = "aborted", reason
}

// log writes the request's log line and metrics. If the request was aborted, it
// panics with http.ErrAbortHandler, which closes the caller's connection.
func (x *exchange) log() {
	ms := func(d time.Duration) int64 { return d.Milliseconds() }
	route := ""
	if x.route != nil {
		route = x.route.Name
	}
	x.requestLogger().Log("event", "request", "id", x.params.ID, "route", route, "service", x.service,
		"model", x.params.Model, "adapter", x.params.Adapter, "outcome", x.outcome, "status", x.status, "reason", x.reason,
		"server", x.server.ID, "start", x.server.Start, "software", x.server.Software, "sends", x.sends, "runs", x.runs, "framing", x.received.framing, "end", x.received.end,
		"inside_event", x.received.insideEvent, "after_event", loggedEventID(x.params.LastEventID), "first_event", loggedEventID(x.firstEventID), "last_event", loggedEventID(x.lastEventID),
		"parts", x.formatParts(), "waited_ms", ms(x.waited), "waited_for", x.waitedFor, "first_ms", ms(x.firstByteAfter),
		"total_ms", ms(bootclock.Now().Sub(x.arrived)), "limit_ms", ms(x.deadline.Sub(x.arrived)))
	x.recordMetrics()
	if x.outcome == "aborted" {
		panic(http.ErrAbortHandler)
	}
}

// observeDuration records how long an answered request took in all.
func (n *Node) observeDuration(route *routes.Route, took time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.durations.Observe(bootclock.Now(), route.Name, took)
}

// recordMetrics adds the request to the metrics.
func (x *exchange) recordMetrics() {
	kind, rank := "none", ""
	if x.route != nil {
		kind, rank = string(x.route.Kind), strconv.Itoa(x.route.Priority)
	}
	code := x.reason
	if x.outcome == "answered" {
		code = strconv.Itoa(x.status)
	}
	if x.route != nil && x.outcome == "answered" {
		x.node.observeDuration(x.route, bootclock.Now().Sub(x.arrived))
	}
	x.node.metrics.RequestEnded(kind, rank, x.outcome, code, bootclock.Now().Sub(x.arrived))
	if x.firstByteAfter > 0 {
		x.node.metrics.FirstToken(rank, x.firstByteAfter)
	}
}
