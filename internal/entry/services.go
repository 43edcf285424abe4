package entry

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/admin"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/idempotency"
	"github.com/redwingnotch/redwingnotch/internal/closeframe"
)

// idempotentMethods are the HTTP methods whose requests may be repeated without an
// idempotency key.
var idempotentMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete}

// forwardedHeaders are the request headers passed on to plain services.
var forwardedHeaders = []string{"Accept", "Accept-Language", "Authorization", "Content-Type", "If-Match", "If-None-Match"}

// returnedHeaders are the response headers of plain services passed on to callers.
var returnedHeaders = []string{"Content-Type", "Content-Language", "Etag", "Location", "Last-Modified", "Cache-Control"}

func (h *Handler) serveService(w http.ResponseWriter, r *http.Request) {
	h.cfg.Metrics.RequestStarted()
	headers, call, apiErr := h.parseCall(w, r)
	w.Header().Set(HeaderRequestID, headers.id)
	if apiErr == nil {
		ctx, cancel := context.WithDeadline(r.Context(), headers.deadline)
		apiErr = h.writeResult(w, r, h.runCall(ctx, call))
		cancel()
	}
	outcome, code := fleet.OutcomeAnswered, codeOK
	if apiErr != nil {
		apiErr.accountForEarlierSend(headers)
		outcome, code = apiErr.Outcome, apiErr.Code
		apiErr.RequestID = headers.id
		h.recordCallExplanation(headers, call, apiErr)
		apiErr.write(w)
	}
	duration := time.Since(headers.arrival)
	h.cfg.Metrics.RequestEnded("service", headers.rank.String(), outcome.String(), string(code), duration)
	level.Info(h.cfg.Log).Log("event", "call_ended", "request_id", headers.id, "caller", headers.caller, "service", call.Service,
		"method", call.Method, "keyed", call.Key != "", "code", code, "outcome", outcome, "duration_ms", duration.Milliseconds())
}

// recordCallExplanation makes a failed call available to operators.
func (h *Handler) recordCallExplanation(headers requestHeaders, call idempotency.Call, apiErr *Error) {
	h.recent.add(admin.Explanation{
		RequestID: headers.id,
		Node:      h.cfg.Node,
		Target:    "service " + string(call.Service),
		Rank:      headers.rank.String(),
		Outcome:   apiErr.Outcome.String(),
		Code:      string(apiErr.Code),
		Reason:    apiErr.Message,
		Steps: []admin.Step{
			{At: headers.arrival.UTC(), Description: call.Method + " " + call.Path},
			{At: time.Now().UTC(), Description: "ended: " + string(apiErr.Code)},
		},
	})
}

// accountForEarlierSend changes the outcome not_run to unknown if an earlier
// request with the same idempotency key may have run: the refusal came before the
// key was looked up, and the caller does not state that this is the first request
// with the key.
func (e *Error) accountForEarlierSend(headers requestHeaders) {
	if headers.key == "" || headers.firstSend || e.Outcome != fleet.OutcomeNotRun || e.coversAllSends {
		return
	}
	e.Outcome = fleet.OutcomeUnknown
	e.Message += "; this request did not run, but an earlier one with the same key may have"
}

// runCall runs the call, through its idempotency key if it has one.
func (h *Handler) runCall(ctx context.Context, call idempotency.Call) idempotency.Result {
	if call.Key == "" {
		return h.cfg.Services.Send(ctx, call)
	}
	return h.cfg.Keys.Call(ctx, call)
}

func (h *Handler) parseCall(w http.ResponseWriter, r *http.Request) (requestHeaders, idempotency.Call, *Error) {
	headers, apiErr := parseRequestHeaders(r.Header, time.Now(), h.cfg.Deadlines)
	callID := h.NewRequestID()
	if headers.id == "" {
		headers.id = callID
	}
	if apiErr != nil {
		return headers, idempotency.Call{}, apiErr
	}
	call := idempotency.Call{
		Key:       idempotency.Key(headers.key),
		RequestID: callID,
		Caller:    headers.caller,
		Service:   fleet.ServiceID(r.PathValue("service")),
		Method:    r.Method,
		Path:      servicePath(r),
		Deadline:  headers.deadline,
		FirstSend: headers.firstSend,
	}
	if !h.cfg.Services.Known(call.Service) {
		return headers, call, newError(http.StatusNotFound, CodeUnknownService, "service %q is not known", call.Service)
	}
	if call.Key == "" && !slices.Contains(idempotentMethods, r.Method) {
		return headers, call, newError(http.StatusBadRequest, CodeKeyRequired,
			"%s requires the header %s: get a key with POST /v1/keys or choose one", r.Method, HeaderIdempotencyKey)
	}
	for _, name := range forwardedHeaders {
		if value := r.Header.Get(name); value != "" {
			call.Headers = append(call.Headers, idempotency.Header{Name: name, Value: value})
		}
	}
	call.Body, apiErr = h.readBody(w, r)
	return headers, call, apiErr
}

// servicePath returns the path within the service, with its original escaping and
// query.
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

// writeResult writes the service's response, or returns the error to send.
func (h *Handler) writeResult(w http.ResponseWriter, req *http.Request, r idempotency.Result) *Error {
	if r.Outcome != fleet.OutcomeAnswered {
		return newResultError(r)
	}
	for _, header := range r.Response.Headers {
		if slices.Contains(returnedHeaders, http.CanonicalHeaderKey(header.Name)) {
			w.Header().Set(header.Name, header.Value)
		}
	}
	w.Header().Set(HeaderOutcome, r.Outcome.String())
	if r.Replayed {
		w.Header().Set("Idempotent-Replayed", "true")
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(h.cfg.WriteTimeout))
	// If a write fails, a caller that sent a key gets the result by sending it again.
	if r.Response.Unframed {
		_ = writeUnframed(w, req, r.Response) // without closeframe.End the connection is reset
		return nil
	}
	w.WriteHeader(r.Response.Status)
	_, _ = w.Write(r.Response.Body)
	return nil
}

// writeUnframed writes a response that may be incomplete. Like the service's it ends with
// the connection, as a length or chunks would claim that it is complete.
func writeUnframed(w http.ResponseWriter, req *http.Request, r idempotency.Response) error {
	if err := closeframe.Begin(w, req); err != nil {
		return err
	}
	w.WriteHeader(r.Status)
	if _, err := w.Write(r.Body); err != nil {
		return fmt.Errorf("write response: %w", err)
	}
	return closeframe.End(w, req)
}

// resultStatus maps the codes of calls without a response to HTTP statuses. Other
// codes get 503.
var resultStatus = map[idempotency.Code]int{
	idempotency.CodeKeyMismatch:      http.StatusUnprocessableEntity,
	idempotency.CodeKeyMalformed:     http.StatusBadRequest,
	idempotency.CodeKeyExpired:       http.StatusGone,
	idempotency.CodeTooManyKeys:      http.StatusTooManyRequests,
	idempotency.CodeDeadlineExceeded: http.StatusGatewayTimeout,
	idempotency.CodeServiceFailed:    http.StatusBadGateway,
	idempotency.CodeResponseTooLarge: http.StatusBadGateway,
}

func newResultError(r idempotency.Result) *Error {
	status, known := resultStatus[r.Code]
	if !known {
		status = http.StatusServiceUnavailable
	}
	return &Error{Code: Code(r.Code), Message: r.Detail, Outcome: r.Outcome, Status: status, RetryAfter: r.RetryAfter, coversAllSends: true}
}

// keyResponse is the response body of POST /v1/keys.
type keyResponse struct {
	Key       idempotency.Key `json:"key"`
	Node      fleet.NodeID    `json:"node"` // owner of the key; other nodes forward calls with the key to it
	ExpiresAt time.Time       `json:"expires_at"`
}

func (h *Handler) serveKeys(w http.ResponseWriter, _ *http.Request) {
	if h.stopping.Load() {
		newError(http.StatusServiceUnavailable, CodeStopping, "this node is shutting down; use another one").retryAfter(time.Second).write(w)
		return
	}
	key := h.cfg.Keys.Issue()
	writeJSON(w, http.StatusCreated, keyResponse{Key: key.Text, Node: key.Owner.Node, ExpiresAt: key.IssuedAt.Add(h.cfg.KeyRetention)})
}
