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

// Code names the cause of a refusal or failure, for programs.
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
	CodeDeadlinePast     Code = "deadline_past"
	CodeDeadlineExceeded Code = "deadline_exceeded"
	CodeNoController     Code = "no_controller"
	CodeNotReady         Code = "not_ready"
	CodeQuarantined      Code = "quarantined"
	CodeRankNotAllowed   Code = "rank_not_allowed"
	CodeKeyRequired      Code = "key_required"
	CodeBackendFailed    Code = "backend_failed"
	CodeCancelled        Code = "cancelled"
	CodeStopping         Code = "stopping"

	codeOK Code = "ok" // in logs and metrics only
)

// Error is a refusal or failure as the caller sees it.
type Error struct {
	Code       Code
	Message    string
	Outcome    fleet.Outcome
	Status     int           // HTTP status
	RetryAfter time.Duration // zero: no advice
	InForce    []string      // models in force, for CodeUnknownModel
	RequestID  string
	keyKnown   bool // the outcome covers every send of the request's key
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Outcome, e.Message)
}

func refuse(status int, code Code, format string, args ...any) *Error {
	return &Error{Status: status, Code: code, Outcome: fleet.OutcomeNotRun, Message: fmt.Sprintf(format, args...)}
}

func (e *Error) after(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// errorBody is the JSON form of Error.
type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Code         Code     `json:"code"`
	Message      string   `json:"message"`
	Outcome      string   `json:"outcome"`
	RetryAfterMS int64    `json:"retry_after_ms,omitempty"`
	InForce      []string `json:"in_force,omitempty"`
	RequestID    string   `json:"request_id,omitempty"`
}

// write sends the error as a whole JSON answer with Retry-After in seconds.
func (e *Error) write(w http.ResponseWriter) {
	body, err := json.Marshal(errorBody{Error: errorFields{
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
