package entry

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/invariant"
)

// Framing of server-sent events, and the data of the last event.
const (
	eventPrefix = "data: "
	eventSuffix = "\n\n"
	eventDone   = "[DONE]"
)

// responseWriter writes a chat completion to a caller, as server-sent events or,
// if it is not streamed, as one body at the end. It is not safe for concurrent
// use.
type responseWriter struct {
	w            http.ResponseWriter
	control      *http.ResponseController
	stream       bool          // send server-sent events
	writeTimeout time.Duration // time limit for each write
	started      bool          // bytes may have reached the caller
	tokens       int           // tokens passed on, over all attempts
	body         []byte        // response that is not streamed
	event        []byte        // buffer, reused for each event
	finished     bool          // finish was called
}

// callerDisconnectedError means that a write to the caller failed.
type callerDisconnectedError struct{ err error }

func (e callerDisconnectedError) Error() string { return fmt.Sprintf("caller disconnected: %v", e.err) }

// errResponseTooLarge means that a response that is not streamed is larger than
// engine.MaxEventBytes.
var errResponseTooLarge = errors.New("response of the backend server is too large")

// writeChunk passes on one chunk of the attempt with the given request id. A
// response that is not streamed is buffered.
func (rw *responseWriter) writeChunk(chunk engine.Chunk, requestID string) error {
	invariant.Check(chunk.RequestID == requestID, invariant.AnswerMatches,
		"chunk of request %s for the caller of request %s", chunk.RequestID, requestID)
	if len(chunk.Data) == 0 {
		return nil
	}
	if !rw.stream {
		if len(rw.body)+len(chunk.Data) > engine.MaxEventBytes {
			return errResponseTooLarge
		}
		rw.body = append(rw.body, chunk.Data...)
		return nil
	}
	rw.tokens = max(rw.tokens, chunk.Index+chunk.Tokens)
	if !rw.started {
		rw.w.Header().Set("Content-Type", "text/event-stream")
		rw.w.Header().Set("Cache-Control", "no-store")
		rw.started = true
	}
	return rw.writeEvent(chunk.Data)
}

// writeEvent writes one event and flushes it.
func (rw *responseWriter) writeEvent(data []byte) error {
	// Writers that support no deadline, as in tests, write without one.
	_ = rw.control.SetWriteDeadline(time.Now().Add(rw.writeTimeout))
	rw.event = append(rw.event[:0], eventPrefix...)
	rw.event = append(rw.event, data...)
	rw.event = append(rw.event, eventSuffix...)
	if _, err := rw.w.Write(rw.event); err != nil {
		return callerDisconnectedError{err}
	}
	if err := rw.control.Flush(); err != nil {
		return callerDisconnectedError{err}
	}
	return nil
}

// reset discards the buffered part of a response that is not streamed, before
// another attempt generates it from the start.
func (rw *responseWriter) reset() { rw.body = rw.body[:0] }

// finish completes the response: it writes the last event or the buffered body.
func (rw *responseWriter) finish() error {
	invariant.Check(!rw.finished, invariant.AnswerMatches, "response finished twice")
	rw.finished = true
	if rw.stream {
		if !rw.started {
			rw.w.Header().Set("Content-Type", "text/event-stream")
			rw.started = true
		}
		return rw.writeEvent([]byte(eventDone))
	}
	rw.w.Header().Set("Content-Type", "application/json")
	_ = rw.control.SetWriteDeadline(time.Now().Add(rw.writeTimeout))
	rw.started = true
	if _, err := rw.w.Write(rw.body); err != nil {
		return callerDisconnectedError{err}
	}
	return nil
}
