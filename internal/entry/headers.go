package entry

import (
	"net/http"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// Names of the HTTP headers of requests and responses.
const (
	HeaderRank           = "Redwingnotch-Rank"       // urgent, standard or bulk; standard if absent
	HeaderDeadline       = "Redwingnotch-Deadline"   // Go duration from arrival, or RFC 3339 time
	HeaderRequestID      = "Redwingnotch-Request-Id" // echoed in the response
	HeaderCaller         = "Redwingnotch-Caller"     // identifies the caller for fair sharing and for the order of entry addresses
	HeaderIdempotencyKey = "Idempotency-Key"         // required for calls to plain services unless the method is idempotent
	HeaderAttempt        = "Redwingnotch-Attempt"    // 1 states that the key has not been sent before
	HeaderOutcome        = "Redwingnotch-Outcome"    // in responses to calls to plain services: name of the fleet.Outcome
)

// Limits of header values.
const (
	maxHeaderValueBytes = 200            // length of a request id, caller or key
	maxDeadline         = 24 * time.Hour // longest time from arrival to deadline
)

// defaultDeadlines holds, by rank, the time limit of requests without a deadline.
type defaultDeadlines [fleet.RankCount]time.Duration

// requestHeaders holds the parsed headers of a request and its arrival time.
type requestHeaders struct {
	id        string // request id; empty if the caller sent none
	caller    string // name of the caller; may be empty
	rank      fleet.Rank
	arrival   time.Time
	deadline  time.Time
	key       string // idempotency key; may be empty
	firstSend bool   // the caller states that it has not sent the key before
}

// parseRequestHeaders parses the headers of a request that arrived at now.
func parseRequestHeaders(h http.Header, now time.Time, defaults defaultDeadlines) (requestHeaders, *Error) {
	parsed := requestHeaders{arrival: now, rank: fleet.RankStandard}
	var apiErr *Error
	if parsed.id, apiErr = parseHeaderValue(h, HeaderRequestID); apiErr != nil {
		return parsed, apiErr
	}
	if parsed.caller, apiErr = parseHeaderValue(h, HeaderCaller); apiErr != nil {
		return parsed, apiErr
	}
	if parsed.key, apiErr = parseHeaderValue(h, HeaderIdempotencyKey); apiErr != nil {
		return parsed, apiErr
	}
	parsed.firstSend = h.Get(HeaderAttempt) == "1"
	if text := h.Get(HeaderRank); text != "" {
		rank, err := fleet.ParseRank(text)
		if err != nil {
			return parsed, newError(http.StatusBadRequest, CodeBadRequest, "%s: %v", HeaderRank, err)
		}
		parsed.rank = rank
	}
	parsed.deadline, apiErr = parseDeadline(h.Get(HeaderDeadline), now, defaults[parsed.rank])
	return parsed, apiErr
}

// parseHeaderValue returns a header's value, which may hold printable ASCII
// characters other than spaces.
func parseHeaderValue(h http.Header, name string) (string, *Error) {
	value := h.Get(name)
	if len(value) > maxHeaderValueBytes {
		return "", newError(http.StatusBadRequest, CodeBadRequest, "%s: longer than %d bytes", name, maxHeaderValueBytes)
	}
	for i := range len(value) {
		if value[i] <= ' ' || value[i] > '~' {
			return "", newError(http.StatusBadRequest, CodeBadRequest, "%s: byte %d is a space or not printable ASCII", name, i)
		}
	}
	return value, nil
}

// parseDeadline parses a deadline header and limits it to maxDeadline from now.
func parseDeadline(text string, now time.Time, defaultTimeout time.Duration) (time.Time, *Error) {
	if text == "" {
		return now.Add(defaultTimeout), nil
	}
	deadline, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		d, err := time.ParseDuration(text)
		if err != nil {
			return time.Time{}, newError(http.StatusBadRequest, CodeBadRequest,
				"%s: %q is neither a duration such as 30s nor an RFC 3339 time", HeaderDeadline, text)
		}
		d = min(d, maxDeadline)
		deadline = now.Add(d)
	}
	if !deadline.After(now) {
		return time.Time{}, newError(http.StatusGatewayTimeout, CodeDeadlinePast, "%s: deadline %s has passed", HeaderDeadline, text)
	}
	if latest := now.Add(maxDeadline); deadline.After(latest) {
		deadline = latest
	}
	return deadline, nil
}
