package entry

import (
	"crypto/sha256"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/admin"
	"github.com/redwingnotch/redwingnotch/fleet"
)

// bytesPerToken is used to estimate prompt lengths from body lengths.
const bytesPerToken = 4

// defaultMaxTokens is the estimated response length of requests without a limit.
const defaultMaxTokens = 256

// chatFields are the fields of a chat-completions body that this node reads. The
// body is forwarded to the engine unchanged.
type chatFields struct {
	Model               string `json:"model"`
	Stream              bool   `json:"stream"`
	MaxTokens           int    `json:"max_tokens"`
	MaxCompletionTokens int    `json:"max_completion_tokens"`
}

// chatRequest is one parsed request for a chat completion.
type chatRequest struct {
	requestHeaders
	dispatchID     string // unique in the deployment, unlike the caller's id
	target         fleet.Target
	body           []byte
	stream         bool
	contentHash    fleet.ContentHash
	promptTokens   int          // estimated from the length of the body
	maxTokens      int          // the caller's limit or defaultMaxTokens
	releaseVersion uint64       // release by which the request was validated
	steps          []admin.Step // history of the request, for operators
	waitReason     string       // wait reason that the controller reported last
}

func (h *Handler) serveChat(w http.ResponseWriter, r *http.Request) {
	h.cfg.Metrics.RequestStarted()
	req, apiErr := h.parseChat(w, r)
	w.Header().Set(HeaderRequestID, req.id)
	resp := &responseWriter{w: w, control: http.NewResponseController(w), stream: req.stream, writeTimeout: h.cfg.WriteTimeout}
	if apiErr == nil {
		apiErr = h.runChat(r.Context(), &req, resp)
	}
	h.finishChat(w, &req, resp, apiErr)
}

// finishChat sends the error, if any, and records the outcome. If the response
// has started, an error breaks the connection instead.
func (h *Handler) finishChat(w http.ResponseWriter, req *chatRequest, resp *responseWriter, apiErr *Error) {
	outcome, code, detail := fleet.OutcomeAnswered, codeOK, ""
	if apiErr != nil {
		outcome, code, detail = apiErr.Outcome, apiErr.Code, apiErr.Message
	}
	now := time.Now()
	if apiErr != nil || len(req.steps) > 0 {
		req.addStep("ended: %s after %s", code, now.Sub(req.arrival))
		h.recordExplanation(req, outcome.String(), code, detail)
	}
	h.cfg.Metrics.RequestEnded("chat", req.rank.String(), outcome.String(), string(code), now.Sub(req.arrival))
	logger := level.Debug(h.cfg.Log)
	if apiErr != nil {
		logger = level.Info(h.cfg.Log)
	}
	logger.Log("event", "request_ended", "request_id", req.id, "caller", req.caller, "target", req.target,
		"rank", req.rank, "code", code, "outcome", outcome, "duration_ms", now.Sub(req.arrival).Milliseconds())
	if apiErr == nil {
		return
	}
	if resp.started {
		panic(http.ErrAbortHandler)
	}
	apiErr.RequestID = req.id
	apiErr.write(w)
}

func (h *Handler) parseChat(w http.ResponseWriter, r *http.Request) (chatRequest, *Error) {
	req := chatRequest{dispatchID: h.NewRequestID()}
	var apiErr *Error
	req.requestHeaders, apiErr = parseRequestHeaders(r.Header, time.Now(), h.cfg.Deadlines)
	if req.id == "" {
		req.id = req.dispatchID
	}
	if apiErr != nil {
		return req, apiErr
	}
	if req.body, apiErr = h.readBody(w, r); apiErr != nil {
		return req, apiErr
	}
	var fields chatFields
	if err := json.Unmarshal(req.body, &fields); err != nil {
		return req, newError(http.StatusBadRequest, CodeBadRequest, "body: %v", err)
	}
	target, err := fleet.ParseTarget(fields.Model)
	if err != nil {
		return req, newError(http.StatusBadRequest, CodeBadRequest, "body: field model: %v", err)
	}
	req.target = target
	req.stream = fields.Stream
	req.promptTokens = len(req.body) / bytesPerToken
	req.maxTokens = max(fields.MaxTokens, fields.MaxCompletionTokens)
	if req.maxTokens <= 0 {
		req.maxTokens = defaultMaxTokens
	}
	sum := sha256.Sum256(req.body)
	req.contentHash = fleet.ContentHash(sum[:])
	return req, h.checkServable(&req)
}

// checkServable refuses requests that this node knows can't be served, before the
// controller is asked.
func (h *Handler) checkServable(req *chatRequest) *Error {
	req.releaseVersion = h.cfg.Catalog.Version()
	model, state := h.cfg.Catalog.Lookup(req.target)
	switch {
	case req.releaseVersion == 0:
		return newNotReadyError()
	case state == TargetUnknown:
		apiErr := newError(http.StatusNotFound, CodeUnknownModel, "%s is not in force", req.target)
		apiErr.InForce = h.cfg.Catalog.Names()
		return apiErr
	case state == TargetWithdrawn:
		return newError(http.StatusGone, CodeWithdrawn, "%s is withdrawn", req.target)
	case !rankAllowed(model, req.rank):
		return newError(http.StatusForbidden, CodeRankNotAllowed, "%s allows no %s requests", req.target, req.rank)
	}
	if d := h.cfg.Quarantine.RefusedFor(time.Now(), req.target.Model, req.contentHash); d > 0 {
		return newQuarantineError(d)
	}
	return nil
}

func newQuarantineError(d time.Duration) *Error {
	return newError(http.StatusUnprocessableEntity, CodeQuarantined,
		"requests with this content were in progress when backend servers crashed").retryAfter(d)
}

func rankAllowed(m fleet.Model, rank fleet.Rank) bool {
	for _, r := range m.AllowedRanks {
		if r == rank {
			return true
		}
	}
	return len(m.AllowedRanks) == 0
}

// readBody reads the body, within the limits of size and time.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *Error) {
	if r.ContentLength > h.cfg.MaxBody {
		return nil, newError(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, "body of %d bytes is larger than the limit of %d bytes", r.ContentLength, h.cfg.MaxBody)
	}
	control := http.NewResponseController(w)
	// Writers that support no deadline, as in tests, read without one.
	_ = control.SetReadDeadline(time.Now().Add(h.cfg.BodyTimeout))
	defer control.SetReadDeadline(time.Time{})
	body, err := readWithLength(http.MaxBytesReader(w, r.Body, h.cfg.MaxBody), r.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, newError(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, "body is larger than the limit of %d bytes", tooLarge.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, newError(http.StatusRequestTimeout, CodeBodyTimeout, "body did not arrive within %s", h.cfg.BodyTimeout)
	}
	return nil, newError(http.StatusBadRequest, CodeBadRequest, "body: %v", err)
}

// readWithLength reads the whole body, into one buffer if the length is known
// (positive).
func readWithLength(body io.Reader, length int64) ([]byte, error) {
	if length <= 0 {
		return io.ReadAll(body)
	}
	buf := make([]byte, length)
	_, err := io.ReadFull(body, buf)
	return buf, err
}

// NewRequestID returns a request id that is unique in the deployment.
func (h *Handler) NewRequestID() string {
	buf := make([]byte, 0, 48)
	buf = append(buf, h.cfg.Node...)
	buf = append(buf, '-')
	buf = strconv.AppendUint(buf, uint64(h.cfg.Incarnation), 36)
	buf = append(buf, '-')
	buf = strconv.AppendUint(buf, h.sequence.Add(1), 36)
	return string(buf)
}
