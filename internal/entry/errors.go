package entry

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// Code is the machine-readable cause of a refusal or failure.
type Code string

// The codes of typed errors.
const (
	CodeBadRequest       Code = "bad_request"
	CodeNotFound         Code = "not_found"
	CodeUnknownModel     Code = "unknown_model"
	CodeUnknownService   Code = "unknown_service"
	CodeWithdrawn        Code = "withdrawn"
	CodeBodyTooLarge     Code = "body_too_large"
	CodeBodyTimeout      Code = "body_timeout"
	CodeDeadlinePast     Code = "deadline_past"     // the deadline had passed when the request arrived
	CodeDeadlineExceeded Code = "deadline_exceeded" // the deadline passed while the request waited or ran
	CodeNoController     Code = "no_controller"
	CodeNotReady         Code = "not_ready"
	CodeQuarantined      Code = "quarantined"
	CodeRankNotAllowed   Code = "rank_not_allowed"
	CodeKeyRequired      Code = "key_required"
	CodeBackendFailed    Code = "backend_failed"
	CodeCancelled        Code = "cancelled"
	CodeStopping         Code = "stopping"

	codeOK Code = "ok" // used in logs, metrics and explanations only
)

// Error is a refusal or failure in the form that callers receive.
type Error struct {
	Code           Code
	Message        string        // human-readable detail
	Outcome        fleet.Outcome // whether the request may have run
	Status         int           // HTTP status
	RetryAfter     time.Duration // time to wait before another try; zero if none is advised
	InForce        []string      // targets in force, for CodeUnknownModel
	RequestID      string        // set before the error is sent
	coversAllSends bool          // Outcome covers every request with the same idempotency key
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Outcome, e.Message)
}

// newError returns an Error with outcome not_run.
func newError(status int, code Code, format string, args ...any) *Error {
	return &Error{Status: status, Code: code, Outcome: fleet.OutcomeNotRun, Message: fmt.Sprintf(format, args...)}
}

// newNotReadyError returns the error of a node that does not know the release in
// force yet.
func newNotReadyError() *Error {
	return newError(http.StatusServiceUnavailable, CodeNotReady, "this node does not know the release in force yet").retryAfter(time.Second)
}

// retryAfter sets RetryAfter and returns e.
func (e *Error) retryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// errorBody is the JSON form of an error response.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorDetail is the content of an errorBody.
type errorDetail struct {
	Code         Code     `json:"code"`
	Message      string   `json:"message"`
	Outcome      string   `json:"outcome"`
	RetryAfterMS int64    `json:"retry_after_ms,omitempty"`
	InForce      []string `json:"in_force,omitempty"`
	RequestID    string   `json:"request_id,omitempty"`
}

// write sends the error as a JSON response, with a Retry-After header in whole
// seconds, rounded up.
func (e *Error) write(w http.ResponseWriter) {
	body, err := json.Marshal(errorBody{Error: errorDetail{
		Code:         e.Code,
		Message:      e.Message,
		Outcome:      e.Outcome.String(),
		RetryAfterMS: e.RetryAfter.Milliseconds(),
		InForce:      e.InForce,
		RequestID:    e.RequestID,
	}})
	if err != nil {
		http.Error(w, string(e.Code), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		seconds := int64(math.Ceil(e.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(e.Status)
	w.Write(body)
}
