package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/platform"
)

// repeatingServer refuses the first request of each connection. Before its response to the
// second one, which it runs, it writes the refusal once more.
type repeatingServer struct {
	status int
	withID bool // the refusal names the request that it belongs to
	mu     sync.Mutex
	runs   map[string]int // by request ID
}

// handle serves the requests of one connection.
func (s *repeatingServer) handle(w http.ResponseWriter, r *http.Request) {
	conn, rw, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	refusal := fmt.Sprintf("HTTP/1.1 %d Refused\r\n%s: 1\r\nContent-Length: 0\r\n", s.status, platform.HeaderNotRun)
	if s.withID {
		refusal += platform.HeaderRequestID + ": " + r.Header.Get(platform.HeaderRequestID) + "\r\n"
	}
	refusal += "\r\n"
	if _, err := io.WriteString(conn, refusal); err != nil {
		return
	}
	next, err := http.ReadRequest(bufio.NewReader(rw))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, next.Body) // the response below fails, too
	id := next.Header.Get(platform.HeaderRequestID)
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp\r\nContent-Length: 4\r\n\r\ndone", platform.HeaderRequestID, id, platform.HeaderStamp)
	_, _ = io.WriteString(conn, refusal+answer) // the node may have left
}

// TestRepeatedRefusalIsNotBelieved guards against a caller that is told that its request was
// not run, and against a request that runs twice, because a server wrote an earlier
// refusal once more on a kept connection.
func TestRepeatedRefusalIsNotBelieved(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusBadRequest} {
		for _, withID := range []bool{true, false} {
			t.Run(fmt.Sprint(status, ", with ID ", withID), func(t *testing.T) {
				t.Parallel()
				c := newCluster(t)
				s := &repeatingServer{status: status, withID: withID, runs: map[string]int{}}
				for i := range 3 {
					c.backendServer(fmt.Sprint("s", i), "plain", s.handle)
				}
				n := c.node("127.0.0.1", 0)
				statuses := map[string]int{}
				for i := range 40 {
					id := fmt.Sprint("r", i)
					got := c.call(n, http.MethodPost, "/unsafe/x", id)
					statuses[id] = got.status
					assert.Assert(t, got.status != http.StatusOK || got.body == "done")
				}
				s.mu.Lock()
				defer s.mu.Unlock()
				assert.Assert(t, len(s.runs) > 0)
				for id, runs := range s.runs {
					assert.Assert(t, runs == 1, "%s ran %d times", id, runs)
					assert.Assert(t, statuses[id] != http.StatusServiceUnavailable, "%s was run, and its caller told that it was not", id)
				}
				assert.Assert(t, strings.Contains(c.text(), "reason=answer_of_another_request"))
			})
		}
	}
}
