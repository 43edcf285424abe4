package front

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/internal/httpsend"
	"github.com/redwingnotch/redwingnotch/replicas"
)

// stream passes on a stream event by event. If the stream breaks and the route
// allows it, the stream is resumed at another server.
func (x *exchange) stream(ctx context.Context, cancel context.CancelCauseFunc, server replicas.Entry, resp *http.Response, sent time.Time) (result attemptResult) {
	gap := x.limitGaps(server, cancel)
	defer gap.stop()
	server, err := x.confirmSoftware(ctx, server)
	if err != nil {
		if x.abandoned() {
			return attemptDone
		}
		return x.attemptFailed(server, "server_start_unconfirmed", err)
	}
	held := x.node.bodies.Hold()
	defer held.Release()
	reader := &eventReader{r: bufio.NewReader(resp.Body), held: held}
	flusher := http.NewResponseController(x.w)
	goesOn := x.lastEventID == "" // an ID has shown that the server goes on after the caller's last event
	events := 0
	timing := x.timeStream(server, sent)
	defer func() { timing.ended(result) }()
	for {
		event, id, err := reader.next()
		gap.stop() // a slow caller is no pause of the server
		if err != nil {
			return x.streamEnded(server, resp, streamEnd{events: events, rest: event, err: err})
		}
		if !x.inOrder(event, id, goesOn) {
			return x.streamFailed(server, fmt.Errorf("%w: ID %q after %q", errEventOrder, loggedEventID(id), loggedEventID(x.lastEventID)))
		}
		goesOn = goesOn || id != ""
		if hasData(event) {
			events++
			x.eventBegun = false
			timing.received()
		}
		if x.attemptBegan.IsZero() {
			x.attemptBegan = bootclock.Now()
		}
		if !x.responseStarted {
			x.attemptAnswered(server, bootclock.Now().Sub(sent))
			x.rememberOrigin(server)
			if !x.startResponse(resp, unknownLength) {
				return attemptDone
			}
			x.software = &server.Software
		}
		if !x.passOn(flusher, event, id) {
			return attemptDone
		}
		timing.passedOn()
		gap.start(x.repeatable())
	}
}

// passOn sends an event to the caller. It returns false if the caller has left.
func (x *exchange) passOn(flusher *http.ResponseController, event []byte, id string) bool {
	if !x.limitWrite() {
		return false
	}
	_, err := x.w.Write(event)
	if err == nil {
		err = flusher.Flush()
	}
	if err != nil {
		x.abort("caller_left")
		return false
	}
	if id != "" {
		x.firstEventID, x.lastEventID, x.sentWithoutID = cmp.Or(x.firstEventID, id), id, false
	} else if hasData(event) {
		x.sentWithoutID = true
	}
	return true
}

// errEventOrder means that an event does not come after the last one that the caller has.
var errEventOrder = errors.New("stream does not go on after the last event")

// inOrder reports whether the next event may come after those that the caller has. One without
// an ID may if goesOn is true: an ID has shown that the server goes on after them.
func (x *exchange) inOrder(event []byte, id string, goesOn bool) bool {
	if id == "" {
		return goesOn || !hasData(event)
	}
	return follows(id, x.lastEventID)
}

// follows reports whether an event may come after the last one. IDs that are numbers
// increase; of others it is known only that they differ.
func follows(id, last string) bool {
	if !isNumber(id) || !isNumber(last) {
		return id != last
	}
	id, last = strings.TrimLeft(id, "0"), strings.TrimLeft(last, "0")
	return len(id) > len(last) || len(id) == len(last) && id > last
}

// isNumber reports whether an ID is a decimal number, of any size.
func isNumber(id string) bool { return id != "" && strings.Trim(id, "0123456789") == "" }

// errInsideEvent means that a stream ended inside an event. It was broken off, even
// if its framing was completed.
var errInsideEvent = errors.New("stream ended inside an event")

// errNoEvent means that a stream ended without an event though there is one to come: each stream
// has an event, and an event of which an earlier server has sent the beginning follows.
var errNoEvent = errors.New("stream ended without an event")

// errUnframedEnd means that the connection of a stream without length and chunks was
// closed where that does not show that the stream is complete.
var errUnframedEnd = errors.New("stream without framing may be incomplete")

// errServerEnded means that nothing shows that the process which sent a response without length and
// chunks outlived it.
var errServerEnded = errors.New("server of a response without framing may have ended in it")

// streamEnd says how a server's stream ended.
type streamEnd struct {
	events int    // complete events received from this server
	rest   []byte // what followed the last complete event
	err    error  // error of the last read
}

// streamEnded handles the end of a stream.
func (x *exchange) streamEnded(server replicas.Entry, resp *http.Response, end streamEnd) attemptResult {
	inside := holdsEvent(end.rest)
	x.recordEnd(end.err, inside)
	x.eventBegun = x.eventBegun || inside
	switch {
	case !errors.Is(end.err, io.EOF):
		return x.streamFailed(server, end.err)
	case inside:
		return x.streamFailed(server, errInsideEvent)
	case end.events == 0 && (x.lastEventID == "" || x.eventBegun):
		return x.streamFailed(server, errNoEvent)
	case x.received.framing == httpsend.FramingClose:
		if err := x.checkUnframedEnd(server, end.events); err != nil {
			return x.streamFailed(server, err)
		}
	}
	x.responseComplete(server, resp)
	if !x.responseStarted && !x.startResponse(resp, unknownLength) {
		return attemptDone
	}
	if len(end.rest) > 0 {
		if _, err := x.w.Write(end.rest); err != nil {
			x.abort("caller_left")
		}
	}
	return attemptDone
}

// checkUnframedEnd returns an error unless a stream that ended with its connection, after the given
// number of events from this server, may be passed on as it is: the caller's response ends with its
// connection, too, and nothing shows that the server's process ended before the stream.
func (x *exchange) checkUnframedEnd(server replicas.Entry, events int) error {
	closedBefore := x.lastEventID != "" && x.closedAfter == x.lastEventID
	x.closedAfter = x.lastEventID
	switch {
	case x.responseStarted && !x.framedByClose:
		return errUnframedEnd // the caller's framing would claim a complete stream
	case events == 0 && !closedBefore:
		return errUnframedEnd // the server may have failed at once, unless another one ended the stream here, too
	case !x.livesOn(server):
		return errServerEnded
	}
	return nil
}

// streamFailed handles a stream that broke.
func (x *exchange) streamFailed(server replicas.Entry, err error) attemptResult {
	if x.abandoned() {
		return attemptDone
	}
	x.node.observe(server, replicas.Failed, 0)
	if !bootclock.Now().Before(x.deadline) {
		x.endUnanswered("time_over")
		return attemptDone
	}
	if x.received.brokenOff() {
		x.connectionLost(server)
	}
	reason := "stream_cut"
	if errors.Is(err, errEventOrder) {
		reason = "stream_order"
	}
	return x.attemptFailed(server, reason, err)
}
