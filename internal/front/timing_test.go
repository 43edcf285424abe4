package front_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStreamsShowCapacity guards against streams that are not observed, and against servers that
// break their streams off and are taken for fast ones.
func TestStreamsShowCapacity(t *testing.T) {
	const events = 6
	for _, broken := range []bool{false, true} {
		t.Run(fmt.Sprint("broken_", broken), func(t *testing.T) {
			c := newCluster(t)
			c.backendServer("s1", "llm", func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				for i := range events {
					fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1)
					_ = http.NewResponseController(w).Flush() // a caller that has left ends the handler
					time.Sleep(5 * time.Millisecond)          // so that the server takes most of the time, not the caller
				}
				if broken {
					panic(http.ErrAbortHandler)
				}
			})
			n := c.node("127.0.0.2", 0)
			sent := 0
			call := func() {
				sent++
				r := c.call(n, http.MethodPost, "/chat/x", fmt.Sprint("r", sent), "Redwingnotch-Model", "m", "Redwingnotch-Token-Counts", "10,6")
				assert.Equal(t, r.status, http.StatusOK)
				assert.Equal(t, r.truncated, broken)
			}
			metrics := func() string {
				resp, err := http.Get("http://" + n.settings.ControlListen + "/metrics")
				assert.NilError(t, err)
				defer resp.Body.Close()
				body, err := io.ReadAll(resp.Body)
				assert.NilError(t, err)
				return string(body)
			}
			if !broken {
				c.eventually(func() bool { call(); return strings.Contains(metrics(), "redwingnotch_learned_slots{") })
				return
			}
			for range 24 {
				call()
			}
			c.eventually(func() bool { return strings.Contains(metrics(), "redwingnotch_servers_of_other_pace") })
			assert.Assert(t, !strings.Contains(metrics(), "redwingnotch_learned_slots{"))
			assert.Assert(t, !strings.Contains(c.text(), "event=server_capacity_learned"))
		})
	}
}
