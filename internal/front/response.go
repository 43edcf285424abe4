package front

import (
	"net/http"
	"strconv"

	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/internal/closeframe"
	"github.com/redwingnotch/redwingnotch/internal/httpsend"
	"github.com/redwingnotch/redwingnotch/platform"
)

// unknownLength is the length of a stream for startResponse.
const unknownLength = -1

// startResponse sends the caller the head of a server's response. It returns false if
// the caller has left. length is that of the body, or unknownLength.
//
// The caller gets no framing that claims more than the server's did: a response of the
// server that ends with its connection ends with the caller's connection, too. So does a
// stream to a caller that knows no chunks.
func (x *exchange) startResponse(resp *http.Response, length int64) bool {
	if !x.limitWrite() {
		return false
	}
	header := x.w.Header()
	platform.CopyResponseHeaders(header, resp.Header)
	switch {
	case x.received.framing == httpsend.FramingClose, length == unknownLength && !x.r.ProtoAtLeast(1, 1):
		x.framedByClose = true
		if err := closeframe.Begin(x.w, x.r); err != nil {
			x.abort("caller_left")
			return false
		}
	case length >= 0:
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if x.node.stopping.Load() {
		header.Set("Connection", "close")
	}
	x.status, x.outcome = resp.StatusCode, "answered"
	x.firstByteAfter = bootclock.Now().Sub(x.arrived)
	x.responseStarted = true
	x.w.WriteHeader(resp.StatusCode)
	return true
}

// finishResponse ends a response that ends with the caller's connection.
func (x *exchange) finishResponse() {
	if !x.framedByClose || x.outcome == "aborted" {
		return
	}
	if err := closeframe.End(x.w, x.r); err != nil {
		x.abort("caller_left")
	}
}
