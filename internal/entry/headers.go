package entry

import (
	"net/http"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// Headers of the callers' interface.
const (
	HeaderRank      = "Redwingnotch-Rank"       // urgent, standard or bulk; standard if absent
	HeaderDeadline  = "Redwingnotch-Deadline"   // Go duration from arrival, or RFC 3339 time
	HeaderRequestID = "Redwingnotch-Request-Id" // echoed in the answer
	HeaderCaller    = "Redwingnotch-Caller"     // for fair shares between callers
	HeaderKey       = "Idempotency-Key"
	HeaderAttempt   = "Redwingnotch-Attempt" // 1 for the first send of a key
	HeaderOutcome   = "Redwingnotch-Outcome" // of answers of plain services
)

// Limits of header values.
const (
	maxNameBytes = 200            // request id, caller and key
	maxDeadline  = 24 * time.Hour // from arrival
)

// deadlines are the times to answer requests that name no deadline.
type deadlines [fleet.RankCount]time.Duration

// envelope is what the headers say of a request.
type envelope struct {
	id       string // as the caller gave it; empty if it did not
	caller   string
	rank     fleet.Rank
	arrival  time.Time
	deadline time.Time
	key      string
	first    bool // the caller states that this key was never sent before
}

func parseEnvelope(h http.Header, now time.Time, defaults deadlines) (envelope, *Error) {
	e := envelope{arrival: now, rank: fleet.RankStandard}
	var bad *Error
	if e.id, bad = parseName(h, HeaderRequestID); bad != nil {
		return e, bad
	}
	if e.caller, bad = parseName(h, HeaderCaller); bad != nil {
		return e, bad
	}
	if e.key, bad = parseName(h, HeaderKey); bad != nil {
		return e, bad
	}
	e.first = h.Get(HeaderAttempt) == "1"
	if text := h.Get(HeaderRank); text != "" {
		rank, err := fleet.ParseRank(text)
		if err != nil {
			return e, refuse(http.StatusBadRequest, CodeBadRequest, "%s: %v", HeaderRank, err)
		}
		e.rank = rank
	}
	e.deadline, bad = parseDeadline(h.Get(HeaderDeadline), now, defaults[e.rank])
	return e, bad
}

// parseName reads a header value of printable ASCII without spaces.
func parseName(h http.Header, name string) (string, *Error) {
	value := h.Get(name)
	if len(value) > maxNameBytes {
		return "", refuse(http.StatusBadRequest, CodeBadRequest, "%s: longer than %d bytes", name, maxNameBytes)
	}
	for i := range len(value) {
		if value[i] <= ' ' || value[i] > '~' {
			return "", refuse(http.StatusBadRequest, CodeBadRequest, "%s: byte %d is no printable ASCII", name, i)
		}
	}
	return value, nil
}

func parseDeadline(text string, now time.Time, byDefault time.Duration) (time.Time, *Error) {
	if text == "" {
		return now.Add(byDefault), nil
	}
	deadline, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		d, err := time.ParseDuration(text)
		if err != nil {
			return time.Time{}, refuse(http.StatusBadRequest, CodeBadRequest,
				"%s: %q is neither a duration such as 30s nor an RFC 3339 time", HeaderDeadline, text)
		}
		d = min(d, maxDeadline)
		deadline = now.Add(d)
	}
	if !deadline.After(now) {
		return time.Time{}, refuse(http.StatusGatewayTimeout, CodeDeadlinePast, "%s: %s has passed", HeaderDeadline, text)
	}
	if latest := now.Add(maxDeadline); deadline.After(latest) {
		deadline = latest
	}
	return deadline, nil
}
