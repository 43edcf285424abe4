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
	PathCancel      = "/v1/cancel" // POST with HeaderRequestID of the request to cancel
	PathOrders      = "/v1/orders"
	PathReport      = "/v1/report"
	PathCacheEvents = "/v1/cache-events" // ?after=SEQUENCE
)

// Headers of an inference request.
const (
	HeaderRequestID      = "X-Request-Id"      // request ID, echoed in the response
	HeaderTarget         = "X-Target"          // model or model+adapter
	HeaderPriority       = "X-Priority"        // name of a rank
	HeaderReceivedTokens = "X-Received-Tokens" // number of received tokens; the response resumes after them
	HeaderDeadline       = "X-Deadline-Ms"     // deadline in Unix milliseconds
	HeaderResponseForm   = "X-Answer"          // ResponseChunks or ResponseWhole
)

// Values of HeaderResponseForm. Both kinds of response are event streams, in which
// comments show progress. ResponseWhole sends the whole response in one event,
// ResponseChunks sends tokens as they are generated.
const (
	ResponseChunks = "chunks"
	ResponseWhole  = "whole"
)

// Special events of the event stream.
const (
	doneData       = "[DONE]" // data of the last event of a complete response
	errorEventName = "error"  // name of an event whose data is an ErrorBody
)

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the content of an ErrorBody.
type ErrorDetail struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
}

// ErrorCode is the machine-readable reason of an error response.
type ErrorCode string

// Error codes. All but CodeInternal mean that the call did not take effect.
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

// Err returns the sentinel error of the code, or ErrUnknown if it has none.
func (c ErrorCode) Err() error {
	if err, ok := codeErrors[c]; ok {
		return err
	}
	return ErrUnknown
}

// CodeOf returns the code of the sentinel error that err wraps, or CodeInternal
// if it wraps none.
func CodeOf(err error) ErrorCode {
	for code, sentinel := range codeErrors {
		if errors.Is(err, sentinel) {
			return code
		}
	}
	return CodeInternal
}

// EventID is the id field of a data event: request ID, index of the first token
// and number of tokens. "r-1/12/1" is one token of request r-1, with index 12.
type EventID struct {
	RequestID string
	Index     int
	Tokens    int
}

// String returns the text of the id field.
func (e EventID) String() string {
	return e.RequestID + "/" + strconv.Itoa(e.Index) + "/" + strconv.Itoa(e.Tokens)
}

// ParseEventID parses the text of an id field. The request ID may contain
// slashes.
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

// CacheEvent is one change of an engine's prefix cache. Events are delayed. A gap
// in Sequence means that events are missing.
type CacheEvent struct {
	Sequence uint64        `json:"sequence"`
	Model    fleet.ModelID `json:"model"`
	Prefix   string        `json:"prefix"` // hash of the cached prefix
	Evicted  bool          `json:"evicted"`
}

// CacheEventsBody is the JSON response to a read of cache events.
type CacheEventsBody struct {
	Events []CacheEvent `json:"events"`
	Last   uint64       `json:"last"` // last sequence number; pass it as after in the next read
}
