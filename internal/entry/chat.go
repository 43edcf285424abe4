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

// bytesPerToken estimates the length of prompts.
const bytesPerToken = 4

// defaultMaxTokens estimates answers whose length the caller does not bound.
const defaultMaxTokens = 256

// chatFields are the fields of a chat-completions body that the node reads. The
// body itself goes to the engine unchanged.
type chatFields struct {
	Model               string `json:"model"`
	Stream              bool   `json:"stream"`
	MaxTokens           int    `json:"max_tokens"`
	MaxCompletionTokens int    `json:"max_completion_tokens"`
}

// chatRequest is one validated request for a chat completion.
type chatRequest struct {
	envelope
	dispatchID string // unique over the deployment, unlike the caller's id
	target     fleet.Target
	body       []byte
	stream     bool
	hash       fleet.ContentHash
	prompt     int // estimated tokens
	maxTokens  int
	version    uint64       // release version by which it was validated
	steps      []admin.Step // for operators
	waitReason string       // last one told by the controller
}

func (h *Handler) serveChat(w http.ResponseWriter, r *http.Request) {
	h.cfg.Metrics.RequestStarted()
	req, refused := h.parseChat(w, r)
	w.Header().Set(HeaderRequestID, req.id)
	answer := &answerWriter{w: w, control: http.NewResponseController(w), stream: req.stream, timeout: h.cfg.WriteTimeout}
	if refused == nil {
		refused = h.runChat(r.Context(), &req, answer)
	}
	h.endChat(w, &req, answer, refused)
}

// endChat sends the error, if any, and records the outcome. An answer that has
// begun and is not whole ends by breaking the connection.
func (h *Handler) endChat(w http.ResponseWriter, req *chatRequest, answer *answerWriter, failed *Error) {
	outcome, code, detail := fleet.OutcomeAnswered, codeOK, ""
	if failed != nil {
		outcome, code, detail = failed.Outcome, failed.Code, failed.Message
	}
	now := time.Now()
	if failed != nil || len(req.steps) > 0 {
		req.note("ended: %s after %s", code, now.Sub(req.arrival))
		h.remember(req, outcome.String(), code, detail)
	}
	h.cfg.Metrics.RequestEnded("chat", req.rank.String(), outcome.String(), string(code), now.Sub(req.arrival))
	logger := level.Debug(h.cfg.Log)
	if failed != nil {
		logger = level.Info(h.cfg.Log)
	}
	logger.Log("event", "request_ended", "request_id", req.id, "caller", req.caller, "target", req.target,
		"rank", req.rank, "code", code, "outcome", outcome, "duration_ms", now.Sub(req.arrival).Milliseconds())
	if failed == nil {
		return
	}
	if answer.begun {
		panic(http.ErrAbortHandler)
	}
	failed.RequestID = req.id
	failed.write(w)
}

func (h *Handler) parseChat(w http.ResponseWriter, r *http.Request) (chatRequest, *Error) {
	req := chatRequest{dispatchID: h.NextID()}
	var refused *Error
	req.envelope, refused = parseEnvelope(r.Header, time.Now(), h.cfg.Deadlines)
	if req.id == "" {
		req.id = req.dispatchID
	}
	if refused != nil {
		return req, refused
	}
	if req.body, refused = h.readBody(w, r); refused != nil {
		return req, refused
	}
	var fields chatFields
	if err := json.Unmarshal(req.body, &fields); err != nil {
		return req, refuse(http.StatusBadRequest, CodeBadRequest, "body: %v", err)
	}
	target, err := fleet.ParseTarget(fields.Model)
	if err != nil {
		return req, refuse(http.StatusBadRequest, CodeBadRequest, "body: model: %v", err)
	}
	req.target = target
	req.stream = fields.Stream
	req.prompt = len(req.body) / bytesPerToken
	req.maxTokens = max(fields.MaxTokens, fields.MaxCompletionTokens)
	if req.maxTokens <= 0 {
		req.maxTokens = defaultMaxTokens
	}
	sum := sha256.Sum256(req.body)
	req.hash = fleet.ContentHash(sum[:])
	return req, h.admit(&req)
}

// admit refuses what this node knows can't be answered, before asking the
// controller.
func (h *Handler) admit(req *chatRequest) *Error {
	req.version = h.cfg.Catalog.Version()
	model, standing := h.cfg.Catalog.Lookup(req.target)
	switch {
	case req.version == 0:
		return refuseNotReady()
	case standing == StandingUnknown:
		refused := refuse(http.StatusNotFound, CodeUnknownModel, "%s is not in force", req.target)
		refused.InForce = h.cfg.Catalog.Names()
		return refused
	case standing == StandingWithdrawn:
		return refuse(http.StatusGone, CodeWithdrawn, "%s is withdrawn", req.target)
	case !rankAllowed(model, req.rank):
		return refuse(http.StatusForbidden, CodeRankNotAllowed, "%s takes no %s requests", req.target, req.rank)
	}
	if d := h.cfg.Quarantine.Refused(time.Now(), req.target.Model, req.hash); d > 0 {
		return quarantined(d)
	}
	return nil
}

func quarantined(d time.Duration) *Error {
	return refuse(http.StatusUnprocessableEntity, CodeQuarantined,
		"this content was in progress when backend servers crashed").after(d)
}

func rankAllowed(m fleet.Model, rank fleet.Rank) bool {
	for _, r := range m.AllowedRanks {
		if r == rank {
			return true
		}
	}
	return len(m.AllowedRanks) == 0
}

// readBody reads a bounded body within the body timeout.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *Error) {
	if r.ContentLength > h.cfg.MaxBody {
		return nil, refuse(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, "body of %d bytes, at most %d are taken", r.ContentLength, h.cfg.MaxBody)
	}
	control := http.NewResponseController(w)
	// Writers without deadlines, as in tests, read without one.
	_ = control.SetReadDeadline(time.Now().Add(h.cfg.BodyTimeout))
	defer control.SetReadDeadline(time.Time{})
	body, err := readSized(http.MaxBytesReader(w, r.Body, h.cfg.MaxBody), r.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, refuse(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, "body of more than %d bytes", tooLarge.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, refuse(http.StatusRequestTimeout, CodeBodyTimeout, "body did not arrive within %s", h.cfg.BodyTimeout)
	}
	return nil, refuse(http.StatusBadRequest, CodeBadRequest, "body: %v", err)
}

// readSized reads to the end, in one piece if the length is known.
func readSized(body io.Reader, length int64) ([]byte, error) {
	if length <= 0 {
		return io.ReadAll(body)
	}
	buf := make([]byte, length)
	_, err := io.ReadFull(body, buf)
	return buf, err
}

// NextID returns an id that no other request of the deployment has.
func (h *Handler) NextID() string {
	buf := make([]byte, 0, 48)
	buf = append(buf, h.cfg.Node...)
	buf = append(buf, '-')
	buf = strconv.AppendUint(buf, uint64(h.cfg.Incarnation), 36)
	buf = append(buf, '-')
	buf = strconv.AppendUint(buf, h.sequence.Add(1), 36)
	return string(buf)
}
