package entry

import (
	"fmt"
	"net/http"
	"time"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/invariant"
)

// Framing of server-sent events.
const (
	eventStart = "data: "
	eventEnd   = "\n\n"
	eventDone  = "[DONE]"
)

// answerWriter passes chunks on to a caller, as server-sent events or as one
// whole body. It is used by one goroutine.
type answerWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	stream  bool
	timeout time.Duration // for the caller to take one piece
	begun   bool          // bytes may have reached the caller
	tokens  int           // tokens passed on, over all attempts
	whole   []byte        // body of an answer that is not streamed
	frame   []byte        // reused for each event
	ended   bool
}

// errCallerGone means that the caller no longer takes the answer.
type errCallerGone struct{ err error }

func (e errCallerGone) Error() string { return fmt.Sprintf("caller gone: %v", e.err) }

// put takes one chunk of the attempt with the given request id.
func (a *answerWriter) put(chunk engine.Chunk, requestID string) error {
	invariant.Check(chunk.RequestID == requestID, invariant.AnswerMatches,
		"chunk of %s for the caller of %s", chunk.RequestID, requestID)
	if len(chunk.Data) == 0 {
		return nil
	}
	if !a.stream {
		a.whole = append(a.whole, chunk.Data...)
		return nil
	}
	a.tokens = max(a.tokens, chunk.Index+chunk.Tokens)
	if !a.begun {
		a.w.Header().Set("Content-Type", "text/event-stream")
		a.w.Header().Set("Cache-Control", "no-store")
		a.begun = true
	}
	return a.send(chunk.Data)
}

// send writes one event and hands it to the caller at once.
func (a *answerWriter) send(data []byte) error {
	// Writers without deadlines, as in tests, write without one.
	_ = a.control.SetWriteDeadline(time.Now().Add(a.timeout))
	a.frame = append(a.frame[:0], eventStart...)
	a.frame = append(a.frame, data...)
	a.frame = append(a.frame, eventEnd...)
	if _, err := a.w.Write(a.frame); err != nil {
		return errCallerGone{err}
	}
	if err := a.control.Flush(); err != nil {
		return errCallerGone{err}
	}
	return nil
}

// restart forgets what came of an answer that is not streamed, before it is
// asked for anew.
func (a *answerWriter) restart() { a.whole = a.whole[:0] }

// finish ends a whole answer.
func (a *answerWriter) finish() error {
	invariant.Check(!a.ended, invariant.AnswerMatches, "answer ended twice")
	a.ended = true
	if a.stream {
		if !a.begun {
			a.w.Header().Set("Content-Type", "text/event-stream")
			a.begun = true
		}
		return a.send([]byte(eventDone))
	}
	a.w.Header().Set("Content-Type", "application/json")
	_ = a.control.SetWriteDeadline(time.Now().Add(a.timeout))
	a.begun = true
	if _, err := a.w.Write(a.whole); err != nil {
		return errCallerGone{err}
	}
	return nil
}
