package front

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/platform"
)

// TestPanickedRequestIsAnswered guards against a fault in the handling of one request that closes its
// caller's connection without a response, or that makes a part of a response look whole.
func TestPanickedRequestIsAnswered(t *testing.T) {
	for name, tc := range map[string]struct {
		handle func(x *exchange)
		status int // zero: the connection is closed
		reason string
	}{
		"before a response":     {func(*exchange) {}, http.StatusInternalServerError, reasonPanic},
		"after a refusal":       {func(x *exchange) { x.refuse("why", shortRetryAfter) }, http.StatusServiceUnavailable, "why"},
		"within a response":     {func(x *exchange) { x.startResponse(&http.Response{StatusCode: http.StatusOK}, 9) }, 0, reasonPanic},
		"in its head":           {func(x *exchange) { x.startResponse(&http.Response{StatusCode: 9}, 0) }, 0, reasonPanic},
		"in an empty response":  {func(x *exchange) { x.fail(9, "why") }, http.StatusInternalServerError, reasonPanic},
		"with a time to return": {func(x *exchange) { x.w.Header().Set("Retry-After", "1"); x.fail(9, "why") }, http.StatusInternalServerError, reasonPanic},
	} {
		t.Run(name, func(t *testing.T) {
			n, reasons := newTestNode(t, platform.Settings{}), make(chan string, 1)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				x := &exchange{node: n.Node, w: w, r: r, arrived: bootclock.Now()}
				defer x.log()
				defer func() { reasons <- x.reason }()
				defer x.endPanicked()
				tc.handle(x)
				panic("a fault")
			}))
			defer server.Close()
			resp, err := http.Get(server.URL)
			assert.Equal(t, <-reasons, tc.reason)
			if err == nil {
				_, err = io.ReadAll(resp.Body)
				resp.Body.Close()
			}
			if tc.status == 0 {
				assert.Assert(t, err != nil)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, tc.status)
			assert.Equal(t, resp.Header.Get("Retry-After") != "", tc.status == http.StatusServiceUnavailable)
		})
	}
}
