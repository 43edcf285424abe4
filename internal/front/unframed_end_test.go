package front_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/internal/httpsend"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/standin/rawhttp"
)

// endings are the ends of a server's process, or its halt, as other connections see them.
var endings = map[string]func(*cluster, *backendServer){
	"it refuses connections": func(_ *cluster, b *backendServer) { _ = b.server.Listener.Close() }, // closed once more at the end
	"it has started again": func(_ *cluster, b *backendServer) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.restarts++
	},
	"it does not respond": func(c *cluster, b *backendServer) {
		_ = b.server.Listener.Close() // closed once more at the end
		l, err := net.Listen("tcp", b.server.Listener.Addr().String())
		assert.Check(c.t, err)
		c.t.Cleanup(func() { l.Close() })
	},
}

// endsInStream starts a backend server that sends events 1 to 3 of a new stream without framing, and
// ends before the node sees that it closes the connection: before its response, or once it has
// reported which start responds. It goes on with other streams up to the event to.
func (c *cluster) endsInStream(id, service string, framing httpsend.Framing, to int, reports bool, end func(*cluster, *backendServer)) {
	var b *backendServer
	b = c.backendServer(id, service, func(rw http.ResponseWriter, r *http.Request) {
		if r.Header.Get(platform.HeaderLastEventID) == "" {
			ended := sync.OnceFunc(func() { end(c, b) })
			if reports {
				b.mu.Lock()
				b.reported = ended
				b.mu.Unlock()
			} else {
				ended()
			}
			send(eventStream(httpsend.FramingClose, 1, 3, ""))(rw, r)
			return
		}
		send(eventStream(framing, 4, to, ""))(rw, r)
	})
}

// TestUnframedStreamOfEndedServerIsNotComplete guards against a stream that ends too early and
// looks complete: the process of a server that sends neither a length nor chunks ends between two
// events, and the kernel closes the connection in order.
func TestUnframedStreamOfEndedServerIsNotComplete(t *testing.T) {
	for name, end := range endings {
		for _, path := range []string{"/chat/x", "/proof/x", "/proof/reported"} {
			t.Run(name+" "+path, func(t *testing.T) {
				t.Parallel()
				c := newCluster(t)
				c.endsInStream("s1", "llm", httpsend.FramingClose, 6, path == "/proof/reported", end)
				n := c.node("127.0.0.1", 0)
				got := c.call(n, http.MethodPost, path, "r1", platform.HeaderModel, "m")
				assert.Equal(t, got.body, eventText(1, 3))
				assert.Assert(t, got.truncated)
			})
		}
	}
}

// TestUnframedStreamOfEndedPlainServerIsNotComplete guards against the same on a plain service,
// whose servers have no reports.
func TestUnframedStreamOfEndedPlainServerIsNotComplete(t *testing.T) {
	c := newCluster(t)
	c.endsInStream("s1", "plain", httpsend.FramingClose, 6, false, endings["it refuses connections"])
	n := c.node("127.0.0.1", 0)
	got := c.call(n, http.MethodPost, "/unsafe/x", "r1")
	assert.Equal(t, got.body, eventText(1, 3))
	assert.Assert(t, got.truncated)
}

// TestUnframedResponseOfEndedServerIsNotComplete guards against a part of a plain response that looks
// complete: the process of a server that sends neither a length nor chunks ends within the response, and
// the kernel closes the connection in order.
func TestUnframedResponseOfEndedServerIsNotComplete(t *testing.T) {
	for _, path := range []string{"/unsafe/x", "/safe/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			var ends *backendServer
			ends = c.backendServer("s1", "plain", func(rw http.ResponseWriter, r *http.Request) {
				endings["it refuses connections"](c, ends)
				send(rawhttp.Response{Framing: httpsend.FramingClose, Parts: []string{"half of "}, Cut: rawhttp.All, End: rawhttp.Close})(rw, r)
			})
			n := c.node("127.0.0.1", 0)
			if path == "/safe/x" {
				c.backendServer("s2", "plain", text("half of the body"))
				c.eventually(func() bool { return strings.Contains(c.text(), "event=server server=s2 ") })
				for i := range 4 {
					assert.Equal(t, c.call(n, http.MethodGet, path, fmt.Sprint("r", i)).body, "half of the body")
				}
				return
			}
			got := c.call(n, http.MethodPost, path, "r1")
			assert.Equal(t, got.status, http.StatusBadGateway)
			assert.Equal(t, ends.count(), 1)
		})
	}
}

// TestUnframedResponseOfEndingServerIsNotComplete guards against the same while the kernel closes the sockets
// of the ended process: the one that listens still accepts connections for a moment, and resets them then.
func TestUnframedResponseOfEndingServerIsNotComplete(t *testing.T) {
	for range 5 {
		c := newCluster(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer l.Close()
		c.registerRaw("s1", l)
		n := c.node("127.0.0.1", 0)
		c.eventually(func() bool { return strings.Contains(c.text(), "event=server ") })
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			answer := earlyAnswer{contentType: "text/plain"}
			if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				answer.write(conn, r.Header.Get(platform.HeaderRequestID))
			}
			_ = conn.Close()
			time.Sleep(2 * time.Millisecond)
			_ = l.Close()
		}()
		assert.Equal(t, c.call(n, http.MethodGet, "/unsafe/x", "r1").status, http.StatusBadGateway)
	}
}

// TestUnframedStreamOfEndedServerIsResumed guards against a caller that loses the rest of such a
// stream, or a stream that was whole, though another server can tell. The server has reported its
// start: of a stream whose server ends before that, no node knows which servers may go on with it.
func TestUnframedStreamOfEndedServerIsResumed(t *testing.T) {
	for _, framing := range rawhttp.Framings() {
		for name, to := range map[string]int{"the rest follows": 6, "nothing follows": 3} {
			t.Run(string(framing)+" "+name, func(t *testing.T) {
				t.Parallel()
				c := newCluster(t)
				for _, id := range []string{"s1", "s2"} {
					c.endsInStream(id, "llm", framing, to, true, endings["it refuses connections"])
				}
				n := c.node("127.0.0.1", 0)
				got := c.call(n, http.MethodPost, "/proof/x", "r1", platform.HeaderModel, "m")
				assert.Equal(t, got.body, eventText(1, to))
				assert.Assert(t, !got.truncated)
				assert.Equal(t, got.framing, httpsend.FramingClose)
			})
		}
	}
}

// TestUnframedStreamOfLivingServerRunsOnce guards against a service whose servers frame no streams
// and that gets each of them twice.
func TestUnframedStreamOfLivingServerRunsOnce(t *testing.T) {
	for _, path := range []string{"/chat/x", "/proof/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			serve := send(eventStream(httpsend.FramingClose, 1, 3, ""))
			first, second := c.backendServer("s1", "llm", serve), c.backendServer("s2", "llm", serve)
			n := c.node("127.0.0.1", 0)
			got := c.call(n, http.MethodPost, path, "r1", platform.HeaderModel, "m")
			assert.Equal(t, got.body, eventText(1, 3))
			assert.Assert(t, !got.truncated)
			assert.Equal(t, first.count()+second.count(), 1)
		})
	}
}

// TestStreamTakenUpAfterLastEventIsComplete guards against a caller that has the whole stream but
// not its end, and gets an error each time it takes the stream up.
func TestStreamTakenUpAfterLastEventIsComplete(t *testing.T) {
	for _, framing := range rawhttp.Framings() {
		t.Run(string(framing), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			serve := func(rw http.ResponseWriter, r *http.Request) {
				last, _ := strconv.Atoi(r.Header.Get(platform.HeaderLastEventID)) // zero if there is none
				send(eventStream(framing, last+1, 3, ""))(rw, r)
			}
			c.backendServer("s1", "llm", serve)
			c.backendServer("s2", "llm", serve)
			n := c.node("127.0.0.1", 0)
			c.call(n, http.MethodPost, "/proof/x", "r1", platform.HeaderModel, "m")
			got := c.call(n, http.MethodPost, "/proof/x", "r2", platform.HeaderModel, "m", platform.HeaderLastEventID, "3", "Resumes", "r1")
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, got.body, "")
			assert.Assert(t, !got.truncated)
		})
	}
}
