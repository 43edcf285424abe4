package front_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/platform"
)

// streamSilence is longer than the pause after which a resumable stream of the tests' route goes on at another
// server.
const streamSilence = 2400 * time.Millisecond

// TestSilentServerKeepsItsStream guards against a resumable stream that ends because its server is silent for a
// while, though no other server can go on with it, or the node stops and could not send it again.
func TestSilentServerKeepsItsStream(t *testing.T) {
	for name, tc := range map[string]struct {
		servers []string
		stops   bool
		silent  bool // the whole silence passes
	}{
		"no other server":       {[]string{"s1"}, false, true},
		"stop, no other server": {[]string{"s1"}, true, true},
		"stop":                  {[]string{"s1", "s2"}, true, true},
		"another server":        {[]string{"s1", "s2"}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			for _, id := range tc.servers {
				c.backendServer(id, "llm", func(rw http.ResponseWriter, r *http.Request) {
					if r.Header.Get(platform.HeaderLastEventID) != "" {
						writeEvents(rw, 4, 6, false)
						return
					}
					writeEvents(rw, 1, 3, false)
					_ = http.NewResponseController(rw).Flush() // fails if the node has left, as the caller sees
					time.Sleep(streamSilence)
					writeEvents(rw, 4, 6, false)
				})
			}
			n := c.node("127.0.0.1", 0)
			got, began := make(chan response, 1), time.Now()
			go func() { got <- c.call(n, http.MethodPost, "/proof/x", "r1", platform.HeaderModel, "m") }()
			if tc.stops {
				time.Sleep(200 * time.Millisecond)
				n.stop()
			}
			r := <-got
			assert.NilError(t, r.err)
			assert.Equal(t, r.body, eventText(1, 6))
			assert.Assert(t, !r.truncated)
			assert.Equal(t, time.Since(began) >= streamSilence, tc.silent, "%v", time.Since(began))
			assert.Equal(t, strings.Contains(c.text(), "reason=stream_cut"), !tc.silent)
		})
	}
}
