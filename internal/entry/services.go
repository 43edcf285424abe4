package entry

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/admin"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/idempotency"
)

// idempotentMethods may be repeated by definition.
var idempotentMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete}

// forwardedHeaders are the caller's headers that plain services get.
var forwardedHeaders = []string{"Accept", "Accept-Language", "Authorization", "Content-Type", "If-Match", "If-None-Match"}

// returnedHeaders are the headers of a plain service's answer that callers get.
var returnedHeaders = []string{"Content-Type", "Content-Language", "Etag", "Location", "Last-Modified", "Cache-Control"}

func (h *Handler) serveService(w http.ResponseWriter, r *http.Request) {
	h.cfg.Metrics.RequestStarted()
	env, call, refused := h.parseCall(w, r)
	w.Header().Set(HeaderRequestID, env.id)
	if refused == nil {
		ctx, cancel := context.WithDeadline(r.Context(), env.deadline)
		refused = h.answerCall(w, h.send(ctx, call))
		cancel()
	}
	outcome, code := fleet.OutcomeAnswered, codeOK
	if refused != nil {
		refused.admitEarlierSend(env)
		outcome, code = refused.Outcome, refused.Code
		refused.RequestID = env.id
		h.rememberCall(env, call, refused)
		refused.write(w)
	}
	duration := time.Since(env.arrival)
	h.cfg.Metrics.RequestEnded("service", env.rank.String(), outcome.String(), string(code), duration)
	level.Info(h.cfg.Log).Log("event", "call_ended", "request_id", env.id, "caller", env.caller, "service", call.Service,
		"method", call.Method, "keyed", call.Key != "", "code", code, "outcome", outcome, "duration_ms", duration.Milliseconds())
}

// rememberCall keeps a call without an answer for operators.
func (h *Handler) rememberCall(env envelope, call idempotency.Call, failed *Error) {
	h.recent.put(admin.Explanation{
		RequestID: env.id,
		Node:      h.cfg.Node,
		Target:    "service " + string(call.Service),
		Rank:      env.rank.String(),
		Outcome:   failed.Outcome.String(),
		Code:      string(failed.Code),
		Reason:    failed.Message,
		Steps: []admin.Step{
			{At: env.arrival.UTC(), What: call.Method + " " + call.Path},
			{At: time.Now().UTC(), What: "ended: " + string(failed.Code)},
		},
	})
}

// admitEarlierSend takes back "not run" if the refusal was made before the fate
// of the request's key was asked for, and the caller does not state that it
// never sent the key before.
func (e *Error) admitEarlierSend(env envelope) {
	if env.key == "" || env.first || e.Outcome != fleet.OutcomeNotRun || e.keyKnown {
		return
	}
	e.Outcome = fleet.OutcomeUnknown
	e.Message += "; this send did not run, an earlier one of the same key may have"
}

func (h *Handler) send(ctx context.Context, call idempotency.Call) idempotency.Result {
	if call.Key == "" {
		return h.cfg.Services.Send(ctx, call)
	}
	return h.cfg.Keys.Call(ctx, call)
}

func (h *Handler) parseCall(w http.ResponseWriter, r *http.Request) (envelope, idempotency.Call, *Error) {
	env, refused := parseEnvelope(r.Header, time.Now(), h.cfg.Deadlines)
	unique := h.NextID()
	if env.id == "" {
		env.id = unique
	}
	if refused != nil {
		return env, idempotency.Call{}, refused
	}
	call := idempotency.Call{
		Key:       idempotency.Key(env.key),
		RequestID: unique,
		Caller:    env.caller,
		Service:   fleet.ServiceID(r.PathValue("service")),
		Method:    r.Method,
		Path:      servicePath(r),
		Deadline:  env.deadline,
		First:     env.first,
	}
	if !h.cfg.Services.Known(call.Service) {
		return env, call, refuse(http.StatusNotFound, CodeUnknownService, "no service %q", call.Service)
	}
	if call.Key == "" && !slices.Contains(idempotentMethods, r.Method) {
		return env, call, refuse(http.StatusBadRequest, CodeKeyRequired,
			"%s needs the header %s: get a key by POST /v1/keys or choose one", r.Method, HeaderKey)
	}
	for _, name := range forwardedHeaders {
		if value := r.Header.Get(name); value != "" {
			call.Headers = append(call.Headers, idempotency.Header{Name: name, Value: value})
		}
	}
	call.Body, refused = h.readBody(w, r)
	return env, call, refused
}

// servicePath returns the path within the service, escaped as it came, with
// its query.
func servicePath(r *http.Request) string {
	prefix := "/v1/services/" + r.PathValue("service")
	path := strings.TrimPrefix(r.URL.EscapedPath(), prefix)
	if !strings.HasPrefix(path, "/") {
		path = "/" + r.PathValue("path")
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// answerCall writes the service's answer, or returns the error to write.
func (h *Handler) answerCall(w http.ResponseWriter, r idempotency.Result) *Error {
	if r.Outcome != fleet.OutcomeAnswered {
		return errorOf(r)
	}
	for _, header := range r.Answer.Headers {
		if slices.Contains(returnedHeaders, http.CanonicalHeaderKey(header.Name)) {
			w.Header().Set(header.Name, header.Value)
		}
	}
	w.Header().Set(HeaderOutcome, r.Outcome.String())
	if r.Replayed {
		w.Header().Set("Idempotent-Replayed", "true")
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(h.cfg.WriteTimeout))
	w.WriteHeader(r.Answer.Status)
	// A caller that went away learns the outcome by sending the key again.
	_, _ = w.Write(r.Answer.Body)
	return nil
}

// resultStatus gives the HTTP status of results without an answer.
var resultStatus = map[idempotency.Code]int{
	idempotency.CodeKeyMismatch:      http.StatusUnprocessableEntity,
	idempotency.CodeKeyMalformed:     http.StatusBadRequest,
	idempotency.CodeKeyExpired:       http.StatusGone,
	idempotency.CodeTooManyKeys:      http.StatusTooManyRequests,
	idempotency.CodeDeadlineExceeded: http.StatusGatewayTimeout,
	idempotency.CodeServiceFailed:    http.StatusBadGateway,
	idempotency.CodeAnswerTooLarge:   http.StatusBadGateway,
}

func errorOf(r idempotency.Result) *Error {
	status, known := resultStatus[r.Code]
	if !known {
		status = http.StatusServiceUnavailable
	}
	return &Error{Code: Code(r.Code), Message: r.Detail, Outcome: r.Outcome, Status: status, RetryAfter: r.RetryAfter, keyKnown: true}
}

// keyAnswer is the answer of POST /v1/keys.
type keyAnswer struct {
	Key       idempotency.Key `json:"key"`
	Node      fleet.NodeID    `json:"node"` // the node that must run the call; its address is the best to use
	ExpiresAt time.Time       `json:"expires_at"`
}

func (h *Handler) serveKeys(w http.ResponseWriter, _ *http.Request) {
	if h.stopping.Load() {
		refuse(http.StatusServiceUnavailable, CodeStopping, "this node stops; ask another one").after(time.Second).write(w)
		return
	}
	key := h.cfg.Keys.Issue()
	writeJSON(w, http.StatusCreated, keyAnswer{Key: key.Text, Node: key.Owner.Node, ExpiresAt: key.IssuedAt.Add(h.cfg.KeyRetention)})
}
