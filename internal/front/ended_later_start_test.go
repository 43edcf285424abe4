package front_test

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/internal/httpsend"
)

// TestResponseOfLaterStartClearsNoContent guards against an end of a server that is missed because the
// next start at its address responds before its entry is known.
func TestResponseOfLaterStartClearsNoContent(t *testing.T) {
	for name, requests := range map[string]int{"no request meanwhile": 0, "one request meanwhile": 1} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t)
			var b *backendServer
			b = c.backendServer("s1", "plain", func(rw http.ResponseWriter, r *http.Request) {
				if strings.HasSuffix(r.URL.Path, "/poison") {
					send(eventStream(httpsend.FramingClose, 1, 3, ""))(rw, r)
					b.restart()
					return
				}
				text("fine")(rw, r)
			})
			n := c.node("127.0.0.1", 0)
			c.call(n, http.MethodPost, "/safe/poison", "r1")
			for range requests {
				assert.Equal(t, c.call(n, http.MethodPost, "/safe/x", "r2").body, "fine")
			}
			b.mu.Lock()
			b.born, b.restarts = b.born+b.restarts, 0
			b.mu.Unlock()
			c.register(b, "plain", "ready")
			c.eventually(func() bool { return strings.Count(c.text(), "event=server server=s1") == 2 })
			assert.Assert(t, strings.Contains(c.text(), "event=server_ended server=s1"))
		})
	}
}
