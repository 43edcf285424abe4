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

// maxEventBytes bounds one line of an event stream: a whole answer.
const maxEventBytes = 8 << 20

// stream reads one answer's event stream. It is used by one goroutine.
type stream struct {
	client    *Client
	ctx       context.Context // carries the cause of a cancellation
	cancel    context.CancelCauseFunc
	silence   *time.Timer // cancels the context; reset by each byte that arrives
	requestID string
	body      io.ReadCloser
	lines     *bufio.Scanner
	next      int   // index that the next token must have
	end       error // set once the stream has ended
}

// newStream returns a stream of the request. The caller hands over the timer
// and the cancel function, which end with the stream.
func newStream(ctx context.Context, c *Client, cancel context.CancelCauseFunc, silence *time.Timer, req InferRequest, body io.ReadCloser) *stream {
	s := &stream{
		client:    c,
		ctx:       ctx,
		cancel:    cancel,
		silence:   silence,
		requestID: req.RequestID,
		body:      body,
		next:      req.ReceivedTokens,
	}
	s.lines = bufio.NewScanner(progressReader{s})
	s.lines.Buffer(make([]byte, 0, 4<<10), maxEventBytes)
	return s
}

// progressReader takes each byte that arrives as a sign of progress.
type progressReader struct{ s *stream }

// Read implements io.Reader.
func (r progressReader) Read(p []byte) (int, error) {
	n, err := r.s.body.Read(p)
	if n > 0 {
		r.s.silence.Reset(r.s.client.progressTimeout)
	}
	return n, err
}

// Next implements Stream. The silence timer runs only while Next waits.
func (s *stream) Next() (Chunk, error) {
	if s.end != nil {
		return Chunk{}, s.end
	}
	s.silence.Reset(s.client.progressTimeout)
	chunk, err := s.readChunk()
	s.silence.Stop()
	if err != nil {
		s.finish(err)
		return Chunk{}, err
	}
	invariant.Check(chunk.RequestID == s.requestID, invariant.AnswerMatches,
		"request %s got a chunk of %s", s.requestID, chunk.RequestID)
	if chunk.Done {
		s.finish(io.EOF)
	}
	return chunk, nil
}

// Close implements Stream. It ends the request's connection if the answer is
// not whole, which the engine takes as a cancellation.
func (s *stream) Close() error {
	s.finish(io.ErrClosedPipe)
	return nil
}

func (s *stream) finish(end error) {
	if s.end != nil {
		return
	}
	s.end = end
	if errors.Is(end, ErrSilent) {
		s.client.pooled.CloseIdleConnections()
	}
	if end == io.EOF {
		// Reading to the end lets the connection be used again. The timer bounds it.
		s.silence.Reset(s.client.progressTimeout)
		_, _ = io.Copy(io.Discard, io.LimitReader(s.body, maxErrorBytes))
	}
	s.silence.Stop()
	s.body.Close()
	s.cancel(nil)
}

// event is one event of the stream, without framing.
type event struct {
	id   string
	name string
	data []byte
}

func (s *stream) readChunk() (Chunk, error) {
	e, err := s.readEvent()
	if err != nil {
		return Chunk{}, err
	}
	if e.name == eventError {
		return Chunk{}, eventErr(e.data)
	}
	if string(e.data) == eventDone {
		return Chunk{RequestID: s.requestID, Index: s.next, Done: true}, nil
	}
	id, err := ParseEventID(e.id)
	if err != nil {
		return Chunk{}, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return s.checkedChunk(id, e.data)
}

// checkedChunk refuses chunks of other requests and gaps between tokens.
func (s *stream) checkedChunk(id EventID, data []byte) (Chunk, error) {
	if id.RequestID != s.requestID && !s.client.skipEchoCheck {
		return Chunk{}, fmt.Errorf("%w: got %q, want %q", ErrMismatch, id.RequestID, s.requestID)
	}
	if id.Index != s.next {
		return Chunk{}, fmt.Errorf("%w: token %d follows, want %d", ErrMismatch, id.Index, s.next)
	}
	s.next = id.Index + id.Tokens
	return Chunk{RequestID: id.RequestID, Index: id.Index, Tokens: id.Tokens, Data: data}, nil
}

// readEvent reads to the end of the next event, passing over comments.
func (s *stream) readEvent() (event, error) {
	var e event
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
			e.data = append(e.data, value...)
		}
	}
	err := s.lines.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return event{}, brokenAnswer(s.ctx, err)
}

func eventErr(data []byte) error {
	var typed ErrorBody
	if err := json.Unmarshal(data, &typed); err != nil {
		return fmt.Errorf("%w: malformed error event", ErrUnknown)
	}
	// The request ran, so no code of an event may say that it did not.
	return fmt.Errorf("%w: %s: %s", ErrUnknown, typed.Error.Code, typed.Error.Message)
}

// connectionLost reports whether the error is that of a peer that went away.
func connectionLost(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.ErrClosedPipe)
}
