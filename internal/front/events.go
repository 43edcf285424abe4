package front

import (
	"bufio"
	"bytes"
	"errors"
	"strings"
	"unicode"

	"github.com/redwingnotch/redwingnotch/internal/bytebudget"
)

// maxEventBytes limits the size of one event of a stream.
const maxEventBytes = 1 << 20

// errEventSize means that an event is larger than maxEventBytes.
var errEventSize = errors.New("event too large")

// eventReader reads the server-sent events of a stream. Lines end with LF, CR or CR LF.
type eventReader struct {
	r       *bufio.Reader
	held    *bytebudget.Holding // memory of the event that is being read; grows with the largest one
	afterCR bool                // the last line ended with CR, so a LF that follows is a part of its end
}

// next reads one event, including the empty line that ends it, and returns it with
// its ID, empty if it has none. If the stream ends or fails, it returns what followed the last event
// and the error, io.EOF at the end.
func (e *eventReader) next() (event []byte, id string, err error) {
	for {
		start := len(event)
		if event, err = e.appendLine(event); err != nil {
			return event, "", err
		}
		line := bytes.Trim(event[start:], "\r\n")
		if len(line) == 0 {
			return event, id, nil
		}
		if name, value, _ := bytes.Cut(line, []byte(":")); string(name) == "id" {
			id = eventID(value)
		}
	}
}

// maxEventIDBytes limits the ID of an event, which must fit in a header.
const maxEventIDBytes = 1 << 10

// eventID returns the ID that a line with the value sets. It is empty if the line removes the
// ID, or a header can't carry it.
func eventID(value []byte) string {
	id := string(bytes.TrimPrefix(value, []byte(" ")))
	if len(id) > maxEventIDBytes || id != strings.TrimSpace(id) || strings.ContainsFunc(id, unicode.IsControl) {
		return ""
	}
	return id
}

// appendLine appends the next line to the event read so far. It fails with
// errEventSize as soon as the event exceeds maxEventBytes, also within the line.
func (e *eventReader) appendLine(event []byte) ([]byte, error) {
	for {
		if _, err := e.r.Peek(1); err != nil {
			return event, err
		}
		buffered, _ := e.r.Peek(e.r.Buffered()) // what is buffered can be peeked at
		part, ended := e.cutLine(buffered)
		if !e.held.Grow(int64(len(event) + len(part))) {
			return nil, bytebudget.ErrFull
		}
		event = append(event, part...)
		_, _ = e.r.Discard(len(part)) // what is buffered can be discarded
		if len(event) > maxEventBytes {
			return nil, errEventSize
		}
		if ended {
			return event, nil
		}
	}
}

// cutLine returns the part of text up to the end of the current line, and whether
// text holds that end.
func (e *eventReader) cutLine(text []byte) (part []byte, ended bool) {
	from := 0
	if e.afterCR && text[0] == '\n' {
		from = 1
	}
	e.afterCR = false
	length := bytes.IndexAny(text[from:], "\r\n")
	if length < 0 {
		return text, false
	}
	end := from + length + 1
	if text[end-1] == '\r' {
		if end < len(text) && text[end] == '\n' {
			return text[:end+1], true
		}
		e.afterCR = true
	}
	return text[:end], true
}

// maxLoggedEventID is the length to which IDs of events are cut in the log. They may be as long as
// an event.
const maxLoggedEventID = 64

// loggedEventID returns the ID of an event as the log has it.
func loggedEventID(id string) string { return id[:min(len(id), maxLoggedEventID)] }

// hasData reports whether an event has data. Callers ignore one that has none.
func hasData(event []byte) bool {
	for line := range bytes.FieldsFuncSeq(event, func(r rune) bool { return r == '\r' || r == '\n' }) {
		if name, _, _ := bytes.Cut(line, []byte(":")); string(name) == "data" {
			return true
		}
	}
	return false
}

// holdsEvent reports whether text holds an event or the beginning of one. Whole comment
// lines are no event.
func holdsEvent(text []byte) bool {
	text = bytes.TrimLeft(text, "\r\n")
	for len(text) > 0 {
		end := bytes.IndexAny(text, "\r\n")
		if end < 0 || text[0] != ':' {
			return true
		}
		text = bytes.TrimLeft(text[end:], "\r\n")
	}
	return false
}
