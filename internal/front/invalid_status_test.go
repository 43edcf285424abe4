package front_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/platform"
)

// TestInvalidStatusIsNoResponse guards against a status outside 100 to 599 that a caller gets as a server's
// response, or that ends the handler: the request has failed at this server, and is repeated elsewhere if
// its route allows that. What else such a response says, as that the request was not run, does not count.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "-00", "+20", "600", "999"} {
		for _, header := range []string{"", platform.HeaderNotRun + ": 1\r\n"} {
			t.Run(status+" "+header, func(t *testing.T) {
				t.Parallel()
				c := newCluster(t)
				c.rawServer("s1", func(conn *net.TCPConn, id string) {
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Odd\r\n%s: %s\r\n%s: stamp\r\n%sContent-Length: 4\r\n\r\nbody", status, platform.HeaderRequestID, id, platform.HeaderStamp, header)
				})
				n := c.node("127.0.0.1", 0)
				c.eventually(func() bool { return strings.Contains(c.text(), "event=server ") })
				got := c.call(n, http.MethodPost, "/unsafe/x", "r1")
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusBadGateway)
				assert.Equal(t, got.header.Get(platform.HeaderStamp), "")
				c.backendServer("s2", "plain", text("sound"))
				c.eventually(func() bool { return strings.Contains(c.text(), "event=server server=s2 ") })
				for i := range 4 {
					got := c.call(n, http.MethodGet, "/safe/x", fmt.Sprint("safe", i))
					assert.NilError(t, got.err)
					assert.Equal(t, got.status, http.StatusOK)
					assert.Equal(t, got.body, "sound")
				}
			})
		}
	}
}
