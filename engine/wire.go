package engine

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// Paths of an engine's HTTP interface.
const (
	PathInfer       = "/v1/chat/completions"
	PathCancel      = "/v1/cancel" // POST with HeaderRequestID
	PathOrders      = "/v1/orders"
	PathReport      = "/v1/report"
	PathCacheEvents = "/v1/cache-events" // ?after=SEQUENCE
)

// Headers of an inference call.
const (
	HeaderRequestID = "X-Request-Id"      // echoed in the answer
	HeaderTarget    = "X-Target"          // model or model+adapter
	HeaderPriority  = "X-Priority"        // a rank's name
	HeaderReceived  = "X-Received-Tokens" // resume after this many tokens
	HeaderDeadline  = "X-Deadline-Ms"     // Unix milliseconds
	HeaderAnswer    = "X-Answer"          // AnswerChunks or AnswerWhole
)

// Values of HeaderAnswer. Both arrive as an event stream, which shows progress
// by comments; AnswerWhole carries the whole answer in one event.
const (
	AnswerChunks = "chunks"
	AnswerWhole  = "whole"
)

// Fields and values of the event stream.
const (
	eventDone  = "[DONE]" // data of the last event of a whole answer
	eventError = "error"  // event whose data is an ErrorBody
)

// ErrorBody is the JSON body of each error answer.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the content of an ErrorBody.
type ErrorDetail struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
}

// ErrorCode is the typed reason of a refusal.
type ErrorCode string

// The codes. All but CodeInternal say that the call did not take effect.
const (
	CodeFenced    ErrorCode = "fenced"
	CodeWrongBoot ErrorCode = "wrong_boot"
	CodeExpired   ErrorCode = "expired"
	CodeNoMemory  ErrorCode = "no_memory"
	CodeDraining  ErrorCode = "draining"
	CodeNotLoaded ErrorCode = "not_loaded"
	CodeRejected  ErrorCode = "rejected"
	CodeInternal  ErrorCode = "internal"
)

var codeErrors = map[ErrorCode]error{
	CodeFenced:    ErrFenced,
	CodeWrongBoot: ErrWrongBoot,
	CodeExpired:   ErrExpired,
	CodeNoMemory:  ErrNoMemory,
	CodeDraining:  ErrDraining,
	CodeNotLoaded: ErrNotLoaded,
	CodeRejected:  ErrRejected,
}

// Err returns the sentinel error of the code, ErrUnknown for others.
func (c ErrorCode) Err() error {
	if err, ok := codeErrors[c]; ok {
		return err
	}
	return ErrUnknown
}

// CodeOf returns the code of a sentinel error, CodeInternal for others.
func CodeOf(err error) ErrorCode {
	for code, sentinel := range codeErrors {
		if errors.Is(err, sentinel) {
			return code
		}
	}
	return CodeInternal
}

// EventID is the id field of a data event: request id, index of its first
// token, and number of tokens, as in "r-1/12/1".
type EventID struct {
	RequestID string
	Index     int
	Tokens    int
}

// String returns the field's text.
func (e EventID) String() string {
	return e.RequestID + "/" + strconv.Itoa(e.Index) + "/" + strconv.Itoa(e.Tokens)
}

// ParseEventID reads the field's text. The request id may contain slashes.
func ParseEventID(s string) (EventID, error) {
	last := strings.LastIndexByte(s, '/')
	if last <= 0 {
		return EventID{}, fmt.Errorf("malformed event id %q", s)
	}
	middle := strings.LastIndexByte(s[:last], '/')
	if middle <= 0 {
		return EventID{}, fmt.Errorf("malformed event id %q", s)
	}
	index, indexErr := strconv.Atoi(s[middle+1 : last])
	tokens, tokensErr := strconv.Atoi(s[last+1:])
	if indexErr != nil || tokensErr != nil || index < 0 || tokens < 0 {
		return EventID{}, fmt.Errorf("malformed event id %q", s)
	}
	return EventID{RequestID: s[:middle], Index: index, Tokens: tokens}, nil
}

// CacheEvent is one change of an engine's prefix cache. Events arrive late, and
// gaps in Sequence show that some are missing.
type CacheEvent struct {
	Sequence uint64        `json:"sequence"`
	Model    fleet.ModelID `json:"model"`
	Prefix   string        `json:"prefix"` // hash of the cached prefix
	Evicted  bool          `json:"evicted"`
}

// CacheEventsBody answers a read of cache events.
type CacheEventsBody struct {
	Events []CacheEvent `json:"events"`
	Last   uint64       `json:"last"` // pass as after next time
}
