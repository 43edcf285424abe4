package front

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/go-kit/log/level"
)

// reasonPanic is the reason of a request whose handling panicked.
const reasonPanic = "panic"

// endPanicked ends a request whose handling panicked; defer it. Without it net/http closes the
// connection, also with a response that is still in its buffer, and the log has the request as answered.
// A response that is whole is left as it is.
func (x *exchange) endPanicked() {
	cause := recover()
	if cause == nil {
		return
	}
	level.Error(x.node.log).Log("event", "request_panic", "id", x.params.ID, "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
	switch {
	case x.responseStarted:
		x.abort(reasonPanic)
	case !x.emptyWritten:
		clear(x.w.Header()) // may hold those of the response that was not written
		x.fail(http.StatusInternalServerError, reasonPanic)
	}
}
