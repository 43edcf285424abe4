package front_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// TestBytesAfterAnswer: a server goes on sending after the end of its answer. The
// answer is complete and is passed on, but what came with its end must not be taken
// for the response to another request.
func TestBytesAfterAnswer(t *testing.T) {
	whole := endlessHead + "Content-Length: 4\r\n\r\ndone"
	for _, tc := range []endlessResponse{
		{"after a body with length", whole, "x"},
		{"after a body in chunks", endlessChunked + asChunk("done") + "0\r\n\r\n", "x"},
		{"after no body", strings.Replace(endlessHead, "200 OK", "204 No Content", 1) + "\r\n", "x"},
		{"responses", whole, strings.Replace(whole, "%s", "other", 1)},
		{"interim responses", whole, "HTTP/1.1 100 Continue\r\n\r\n"},
	} {
		for _, slow := range []bool{false, true} {
			t.Run(fmt.Sprint(tc.name, ", slow=", slow), func(t *testing.T) { testBytesAfterAnswer(t, &endlessServer{response: tc, slow: slow}) })
		}
	}
}

func testBytesAfterAnswer(t *testing.T, s *endlessServer) {
	c := newCluster(t)
	c.backendServer("s1", "plain", s.handle)
	n := c.node("127.0.0.1", 0)
	var wg sync.WaitGroup
	var bad atomic.Int64
	const callers, calls = 4, 50
	for i := range callers {
		wg.Go(func() {
			for j := range calls {
				got := c.call(n, http.MethodPost, "/unsafe/endless", fmt.Sprint("r", i, "-", j))
				if got.status >= http.StatusMultipleChoices || got.truncated || got.err != nil {
					bad.Add(1)
				}
			}
		})
	}
	wg.Wait()
	c.eventually(func() bool { return s.open.Load() == 0 })
	assert.Equal(t, bad.Load(), int64(0))
}
