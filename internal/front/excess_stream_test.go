package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/platform"
)

// excessServer sends events 1 to 3 in chunks to each request on a connection, and excess bytes behind
// the last chunk: at once, or where the response to the next request is due.
type excessServer struct {
	excess string
	late   bool
	reused atomic.Int64 // requests on a connection that has had one
}

func (s *excessServer) handle(rw http.ResponseWriter, r *http.Request) {
	conn, buffered, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	before, after := "", s.excess
	if s.late {
		after = ""
	}
	for err == nil {
		_, err = io.WriteString(conn, before+streamResponse(r.Header.Get(platform.HeaderRequestID), 1, 3)+after)
		if err != nil {
			return
		}
		if s.late {
			before = s.excess
		}
		if r, err = nextRequest(buffered.Reader); err == nil {
			s.reused.Add(1)
		}
	}
}

// streamResponse returns a whole response with the events from..to in chunks.
func streamResponse(id string, from, to int) string {
	head := fmt.Sprintf(strings.TrimSuffix(endlessChunked, "\r\n"), id) + "Content-Type: text/event-stream\r\n\r\n"
	return head + asChunk(eventText(from, to)) + "0\r\n\r\n"
}

// nextRequest reads the next request of a connection, with its body.
func nextRequest(reader *bufio.Reader) (*http.Request, error) {
	r, err := http.ReadRequest(reader)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r, err
}

// TestBytesAfterStreamReachNoOtherStream guards against events of another run in a stream: a server
// sends bytes that look like events, or like a stream, behind its last chunk, where the response to
// the next request on the connection is due.
func TestBytesAfterStreamReachNoOtherStream(t *testing.T) {
	for name, excess := range map[string]string{
		"events":             eventText(4, 6),
		"events in a chunk":  asChunk(eventText(4, 6)) + "0\r\n\r\n",
		"another stream":     streamResponse("other", 4, 6),
		"part of a stream":   streamResponse("other", 1, 3)[:150],
		"a stream of no one": strings.Replace(streamResponse("", 4, 6), platform.HeaderRequestID+": \r\n", "", 1),
	} {
		for path, late := range map[string]bool{"/chat/x": false, "/chat/late": true, "/proof/x": false, "/proof/late": true} {
			t.Run(name+" "+path, func(t *testing.T) {
				t.Parallel()
				c := newCluster(t)
				s := &excessServer{excess: excess, late: late}
				c.backendServer("s1", "llm", s.handle)
				c.backendServer("s2", "llm", s.handle)
				n := c.node("127.0.0.1", 0)
				whole := 0
				for i := range 40 {
					got := c.call(n, http.MethodPost, path, fmt.Sprint("r", i), platform.HeaderModel, "m")
					if got.status != http.StatusOK {
						continue // the excess bytes broke the response
					}
					assert.Assert(t, strings.HasPrefix(eventText(1, 3), got.body), "%q", got.body)
					assert.Assert(t, got.truncated || got.body == eventText(1, 3), "%q", got.body)
					whole++
				}
				assert.Assert(t, whole > 0)
				assert.Assert(t, !late || s.reused.Load() > 0)
				t.Logf("%d of 40 streams whole, %d requests on connections with excess bytes", whole, s.reused.Load())
			})
		}
	}
}
