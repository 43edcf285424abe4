package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"syscall"
	"time"

	"github.com/redwingnotch/redwingnotch/invariant"
)

// MaxEventBytes is the maximum length of one event of a stream, of one line, and of
// a whole response, which one event may carry (ResponseWhole).
const MaxEventBytes = 8 << 20

// errEventSize means that an event is larger than MaxEventBytes.
var errEventSize = errors.New("event too large")

// stream reads the event stream of one response. It is not safe for concurrent
// use.
type stream struct {
	client     *Client
	ctx        context.Context // carries the cause of a cancellation
	cancel     context.CancelCauseFunc
	stallTimer *time.Timer // cancels the context with ErrStalled; reset whenever bytes arrive
	requestID  string
	body       io.ReadCloser
	lines      *bufio.Scanner
	nextToken  int   // index that the next token must have
	endErr     error // set once the stream has ended
}

// newStream returns the response stream of the request. When the stream ends, it
// stops the timer and calls cancel.
func newStream(ctx context.Context, c *Client, cancel context.CancelCauseFunc, stallTimer *time.Timer, req InferRequest, body io.ReadCloser) *stream {
	s := &stream{
		client:     c,
		ctx:        ctx,
		cancel:     cancel,
		stallTimer: stallTimer,
		requestID:  req.RequestID,
		body:       body,
		nextToken:  req.ReceivedTokens,
	}
	s.lines = bufio.NewScanner(progressReader{s})
	s.lines.Buffer(make([]byte, 0, 4<<10), MaxEventBytes)
	return s
}

// progressReader reads the response body and resets the stall timer whenever
// bytes arrive.
type progressReader struct{ s *stream }

// Read implements io.Reader.
func (r progressReader) Read(p []byte) (int, error) {
	n, err := r.s.body.Read(p)
	if n > 0 {
		r.s.stallTimer.Reset(r.s.client.progressTimeout)
	}
	return n, err
}

// Next implements Stream. The stall timer runs only while Next waits, so a slow
// reader does not trigger it.
func (s *stream) Next() (Chunk, error) {
	if s.endErr != nil {
		return Chunk{}, s.endErr
	}
	s.stallTimer.Reset(s.client.progressTimeout)
	chunk, err := s.readChunk()
	s.stallTimer.Stop()
	if err != nil {
		s.finish(err)
		return Chunk{}, err
	}
	invariant.Check(chunk.RequestID == s.requestID, invariant.AnswerMatches,
		"request %s received a chunk of request %s", s.requestID, chunk.RequestID)
	if chunk.Done {
		s.finish(io.EOF)
	}
	return chunk, nil
}

// Close implements Stream. If the response is incomplete, it closes the
// connection, which cancels the request at the engine.
func (s *stream) Close() error {
	s.finish(io.ErrClosedPipe)
	return nil
}

// finish releases the stream's resources. Later calls of Next return endErr.
func (s *stream) finish(endErr error) {
	if s.endErr != nil {
		return
	}
	s.endErr = endErr
	if errors.Is(endErr, ErrStalled) {
		s.client.pooled.CloseIdleConnections()
	}
	if endErr == io.EOF {
		// A body read to its end lets the connection be reused. The stall timer
		// limits the time of this read.
		s.stallTimer.Reset(s.client.progressTimeout)
		_, _ = io.Copy(io.Discard, io.LimitReader(s.body, maxErrorBytes))
	}
	s.stallTimer.Stop()
	s.body.Close()
	s.cancel(nil)
}

// streamEvent is one server-sent event, without framing.
type streamEvent struct {
	id   string
	name string
	data []byte
}

func (s *stream) readChunk() (Chunk, error) {
	e, err := s.readEvent()
	if err != nil {
		return Chunk{}, err
	}
	if e.name == errorEventName {
		return Chunk{}, errorFromEvent(e.data)
	}
	if string(e.data) == doneData {
		return Chunk{RequestID: s.requestID, Index: s.nextToken, Done: true}, nil
	}
	id, err := ParseEventID(e.id)
	if err != nil {
		return Chunk{}, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return s.validateChunk(id, e.data)
}

// validateChunk returns the chunk of an event. It fails with ErrMismatch if the
// event belongs to another request or does not continue at the next token.
func (s *stream) validateChunk(id EventID, data []byte) (Chunk, error) {
	if id.RequestID != s.requestID && !s.client.skipRequestIDCheck {
		return Chunk{}, fmt.Errorf("%w: event has request id %q, want %q", ErrMismatch, id.RequestID, s.requestID)
	}
	if id.Index != s.nextToken {
		return Chunk{}, fmt.Errorf("%w: event starts at token %d, want %d", ErrMismatch, id.Index, s.nextToken)
	}
	s.nextToken = id.Index + id.Tokens
	return Chunk{RequestID: id.RequestID, Index: id.Index, Tokens: id.Tokens, Data: data}, nil
}

// readEvent reads the next event that has data. It skips comments.
func (s *stream) readEvent() (streamEvent, error) {
	var e streamEvent
	for s.lines.Scan() {
		line := s.lines.Bytes()
		if len(line) == 0 {
			if e.data != nil {
				return e, nil
			}
			continue
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "id":
			e.id = string(value)
		case "event":
			e.name = string(value)
		case "data":
			if len(e.data)+len(value) > MaxEventBytes {
				return streamEvent{}, classifyBrokenResponse(s.ctx, errEventSize)
			}
			e.data = append(e.data, value...)
		}
	}
	err := s.lines.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return streamEvent{}, classifyBrokenResponse(s.ctx, err)
}

// errorFromEvent returns the error that an error event describes.
func errorFromEvent(data []byte) error {
	var typed ErrorBody
	if err := json.Unmarshal(data, &typed); err != nil {
		return fmt.Errorf("%w: malformed error event", ErrUnknown)
	}
	// The request has run, so the error must not wrap a sentinel error that says
	// it did not take effect.
	return fmt.Errorf("%w: %s: %s", ErrUnknown, typed.Error.Code, typed.Error.Message)
}

// isDisconnect reports whether the error means that the peer closed the
// connection.
func isDisconnect(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.ErrClosedPipe)
}
