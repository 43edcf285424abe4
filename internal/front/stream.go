package front

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/replicas"
)

// Limits of streams.
const (
	maxEventBytes = 1 << 20                 // limit of one event
	gapFactor     = 4                       // multiple of the route's MaxGap after which a resumable stream is resumed at another server
	minGapTimeout = 1500 * time.Millisecond // lower limit of the pause after which a stream is resumed
)

// errGapTimeout is the cancellation cause of streams that paused for too long.
var errGapTimeout = errors.New("stream of the backend server paused for too long")

// stream passes on a stream event by event. If the stream breaks and the route
// allows it, the stream is resumed at another server.
func (x *exchange) stream(ctx context.Context, cancel context.CancelCauseFunc, server replicas.Entry, resp *http.Response, sent time.Time) attemptResult {
	var gap *time.Timer
	if x.route.Resumable {
		gap = time.AfterFunc(x.gapTimeout(), func() { cancel(errGapTimeout) })
		defer gap.Stop()
	}
	reader := bufio.NewReader(resp.Body)
	flusher := http.NewResponseController(x.w)
	for {
		event, id, err := readEvent(reader)
		if err != nil {
			x.recordEnd(err, len(event) > 0)
		}
		if errors.Is(err, io.EOF) {
			return x.streamEnded(resp, event)
		}
		if err != nil {
			return x.streamFailed(server, err)
		}
		if gap != nil {
			gap.Reset(x.gapTimeout())
		}
		if !x.responseStarted {
			x.node.observe(server, replicas.Answered, bootclock.Now().Sub(sent))
			platform.CopyResponseHeaders(x.w.Header(), resp.Header)
			x.closeIfStopping()
			x.writeStatus(resp.StatusCode)
		}
		if _, err := x.w.Write(event); err != nil {
			x.abort("caller_left")
			return attemptDone
		}
		if err := flusher.Flush(); err != nil {
			x.abort("caller_left")
			return attemptDone
		}
		if id != "" {
			x.lastEventID = id
		}
	}
}

// gapTimeout returns the pause after which a resumable stream is resumed at
// another server.
func (x *exchange) gapTimeout() time.Duration { return max(minGapTimeout, gapFactor*x.route.MaxGap) }

// streamEnded handles the proper end of a stream. rest is what followed the last
// complete event.
func (x *exchange) streamEnded(resp *http.Response, rest []byte) attemptResult {
	if !x.responseStarted {
		platform.CopyResponseHeaders(x.w.Header(), resp.Header)
		x.closeIfStopping()
		x.writeStatus(resp.StatusCode)
	}
	if len(rest) > 0 {
		if _, err := x.w.Write(rest); err != nil {
			x.abort("caller_left")
		}
	}
	return attemptDone
}

// streamFailed handles a stream that broke.
func (x *exchange) streamFailed(server replicas.Entry, err error) attemptResult {
	if x.r.Context().Err() != nil {
		x.abort("caller_left")
		return attemptDone
	}
	x.node.observe(server, replicas.Failed, 0)
	if !bootclock.Now().Before(x.deadline) {
		x.endUnanswered("time_over")
		return attemptDone
	}
	return x.attemptFailed(server, "stream_cut", err)
}

// errEventSize means that an event is larger than maxEventBytes.
var errEventSize = errors.New("event too large")

// readEvent reads one event, including the empty line that ends it, and returns
// it with its ID. At the end of the stream it returns io.EOF and what followed
// the last event.
func readEvent(r *bufio.Reader) (event []byte, id string, err error) {
	for {
		start := len(event)
		if event, err = appendLine(event, r); err != nil {
			return event, "", err
		}
		line := bytes.TrimRight(event[start:], "\r\n")
		if len(line) == 0 {
			return event, id, nil
		}
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			id = string(bytes.TrimPrefix(value, []byte(" ")))
		}
	}
}

// appendLine appends the next line to the event read so far. It fails with
// errEventSize as soon as the event exceeds maxEventBytes, also within the line.
func appendLine(event []byte, r *bufio.Reader) ([]byte, error) {
	for {
		part, err := r.ReadSlice('\n')
		event = append(event, part...)
		if len(event) > maxEventBytes {
			return nil, errEventSize
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return event, err
		}
	}
}
