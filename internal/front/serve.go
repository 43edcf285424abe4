package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/replicas"
	"github.com/redwingnotch/redwingnotch/routes"
	"github.com/redwingnotch/redwingnotch/waiting"
)

// Terms of requests.
const (
	defaultTimeLimit = 30 * time.Second       // of a request whose caller names none, if the route does not either
	answerGrace      = 100 * time.Millisecond // after the end of a request's time for an answer on its way
	unconfiguredWait = 500 * time.Millisecond // after which a caller may find a node that knows the desired state
	stoppingRetry    = 20 * time.Millisecond  // another node takes the request at once
	maxSends         = 4                      // of one request, those that were refused included
	fastTarget       = 1500 * time.Millisecond
)

// exchange is one request of a caller on its way through the node.
type exchange struct {
	node    *Node
	w       http.ResponseWriter
	r       *http.Request
	terms   platform.Terms
	route   *routes.Route
	service string
	body    []byte
	arrived time.Time
	limit   time.Time // end of the caller's patience or of the route's time
	prefix  string    // names the shared parts of the prompt
	shared  int       // their tokens

	sends    int      // to servers
	runs     int      // sends that may have run
	excluded []string // servers that failed it
	lastID   string   // of the last event that was passed on
	started  bool     // part of the answer was passed on
	status   int      // of the final answer; zero if the connection was closed instead
	outcome  string
	server   string
	waited   time.Duration
	first    time.Duration // from arrival to the first byte of the answer
	reason   string
}

// serve handles one request of a caller.
func (n *Node) serve(w http.ResponseWriter, r *http.Request) {
	n.running.Add(1)
	defer n.running.Add(-1)
	n.metrics.RequestStarted()
	x := &exchange{node: n, w: w, r: r, arrived: bootclock.Now()}
	if n.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	defer x.log()
	if x.admit() {
		x.run()
	}
}

// admit reads the request and finds its route. It answers and returns false if
// the request goes no further.
func (x *exchange) admit() bool {
	table := x.node.desired.Load()
	if table == nil {
		x.refuse("no_desired_state", unconfiguredWait)
		return false
	}
	if x.node.refuse.Load() {
		x.refuse("stopping", stoppingRetry)
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
	if x.terms, err = platform.ReadTerms(x.r.Header); err != nil {
		level.Info(x.node.log).Log("event", "request_malformed", "id", x.terms.ID, "err", err)
		x.fail(http.StatusBadRequest, "malformed")
		return false
	}
	x.limit = x.arrived.Add(x.timeLimit())
	x.service = x.route.Service(draw())
	x.sharedPrefix()
	return x.readBody(table.Limits.MaxBodyBytes)
}

func (x *exchange) timeLimit() time.Duration {
	limit := defaultTimeLimit
	if x.route.Timeout > 0 {
		limit = x.route.Timeout
	}
	if x.terms.TimeLimit > 0 {
		limit = min(limit, x.terms.TimeLimit)
	}
	return limit
}

// Callers leave a stream, also before its first event, after a pause of the
// longest of these.
const (
	streamPatience     = 2 * time.Second
	streamPatienceAims = 4 // latency objectives
	streamPatienceGaps = 8 // longest pauses between events that are on time
)

// firstBy returns until when the caller waits for the first byte of an answer.
func (x *exchange) firstBy() time.Time {
	if x.route.Kind != routes.Streaming {
		return x.limit
	}
	patience := max(streamPatience, streamPatienceAims*x.route.Target, streamPatienceGaps*x.route.MaxGap)
	if by := x.arrived.Add(patience); by.Before(x.limit) {
		return by
	}
	return x.limit
}

// sharedPrefix names the parts of the prompt that other requests may share: all
// but the last, which is the request's or its session's own.
func (x *exchange) sharedPrefix() {
	parts := x.terms.Prefix
	if len(parts) < 2 {
		return
	}
	var key strings.Builder
	key.WriteString(x.terms.Model)
	key.WriteByte('/')
	key.WriteString(x.terms.Adapter)
	for _, p := range parts[:len(parts)-1] {
		x.shared += p.Tokens
		key.WriteByte(' ')
		key.WriteString(p.ID)
	}
	x.prefix = strconv.FormatUint(xxhash.Sum64String(key.String()), 16)
}

func (x *exchange) readBody(most int64) bool {
	if most <= 0 {
		most = maxAnswerBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, most))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		x.fail(http.StatusRequestEntityTooLarge, "body_too_large")
		return false
	case err != nil:
		x.abort("caller_left")
		return false
	}
	x.body = body
	return true
}

// run sends the request to servers until it is answered.
func (x *exchange) run() {
	n := x.node
	ctx, cancel := context.WithTimeout(x.r.Context(), x.limit.Sub(bootclock.Now())+answerGrace)
	defer cancel()
	n.countArrival(x)
	for {
		began := bootclock.Now()
		d, err := n.acquire(ctx, x.request())
		x.waited += bootclock.Now().Sub(began)
		if err != nil {
			x.gaveUpWaiting()
			return
		}
		if d.Refused != "" {
			x.refused(d)
			return
		}
		if x.attempt(ctx, d.Server) == attemptDone {
			return
		}
	}
}

func (x *exchange) request() waiting.Request {
	return waiting.Request{
		Ask: replicas.Ask{
			Service:      x.service,
			Model:        x.terms.Model,
			Adapter:      x.terms.Adapter,
			Zone:         x.node.settings.Zone,
			SharedTokens: x.shared,
			PrefixKey:    x.prefix,
			Excluded:     x.excluded,
		},
		Priority: x.route.Priority,
		Arrived:  x.arrived,
		GiveUp:   x.firstBy(),
	}
}

// fast reports whether the request's objective is shorter than a load.
func (x *exchange) fast() bool { return x.route.Target < fastTarget }

func (x *exchange) gaveUpWaiting() {
	if x.r.Context().Err() != nil {
		x.abort("caller_left")
		return
	}
	x.giveUp("time_over")
}

// refused answers a request that no server could take in time.
func (x *exchange) refused(d waiting.Decision) {
	if x.started || x.runs > 0 {
		x.giveUp(string(d.Refused))
		return
	}
	x.refuse(string(d.Refused), d.RetryAfter)
}

// giveUp ends a request that was sent to a server and got no answer there.
func (x *exchange) giveUp(reason string) {
	switch {
	case x.started:
		x.abort(reason)
	case x.runs == 0:
		x.refuse(reason, stoppingRetry)
	case bootclock.Now().Before(x.limit):
		x.fail(http.StatusBadGateway, reason)
	default:
		x.fail(http.StatusGatewayTimeout, reason)
	}
}

// refuse answers that the request has not run and will not, and when the caller
// may come back.
func (x *exchange) refuse(reason string, retryAfter time.Duration) {
	x.outcome, x.reason = "refused", reason
	x.w.Header().Set("Retry-After", platform.RetryAfter(retryAfter))
	x.finish(http.StatusServiceUnavailable)
}

// fail answers with an error of this node.
func (x *exchange) fail(status int, reason string) {
	x.outcome, x.reason = "failed", reason
	x.finish(status)
}

func (x *exchange) finish(status int) {
	x.status = status
	if x.terms.ID != "" {
		x.w.Header().Set(platform.HeaderRequestID, x.terms.ID)
	}
	x.w.Header().Set("Content-Length", "0")
	x.w.WriteHeader(status)
}

// abort closes the caller's connection, so that a part of an answer does not look
// whole.
func (x *exchange) abort(reason string) {
	x.outcome, x.reason = "aborted", reason
}

// log writes the line of the request and closes the caller's connection if its
// answer is not whole.
func (x *exchange) log() {
	ms := func(d time.Duration) int64 { return d.Milliseconds() }
	route := ""
	if x.route != nil {
		route = x.route.Name
	}
	level.Info(x.node.log).Log("event", "request", "id", x.terms.ID, "route", route, "service", x.service,
		"model", x.terms.Model, "adapter", x.terms.Adapter, "outcome", x.outcome, "status", x.status, "reason", x.reason,
		"server", x.server, "sends", x.sends, "runs", x.runs, "waited_ms", ms(x.waited), "first_ms", ms(x.first),
		"total_ms", ms(bootclock.Now().Sub(x.arrived)), "limit_ms", ms(x.limit.Sub(x.arrived)))
	x.countEnd()
	if x.outcome == "aborted" {
		panic(http.ErrAbortHandler)
	}
}

// countEnd adds the request to the metrics.
func (x *exchange) countEnd() {
	kind, rank := "none", ""
	if x.route != nil {
		kind, rank = string(x.route.Kind), strconv.Itoa(x.route.Priority)
	}
	code := x.reason
	if x.outcome == "answered" {
		code = strconv.Itoa(x.status)
	}
	x.node.metrics.RequestEnded(kind, rank, x.outcome, code, bootclock.Now().Sub(x.arrived))
	if x.first > 0 {
		x.node.metrics.FirstToken(rank, x.first)
	}
}
