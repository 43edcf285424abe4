package front_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/platform"
)

func TestRequestIsForwardedUnchanged(t *testing.T) {
	c := newCluster(t)
	b := c.backendServer("s1", "plain", text("done"))
	n := c.node("127.0.0.1", 0)
	got := c.call(n, http.MethodPost, "/unsafe/x%2fy?q=%20a", "r1", "Redwingnotch-Hold", "h1", "X-Mine", "1")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, "done")
	assert.Equal(t, got.header.Get(platform.HeaderStamp), "stamp-s1")
	assert.Equal(t, b.count(), 1)
	r := b.requests[0]
	assert.Equal(t, r.RequestURI, "/unsafe/x%2fy?q=%20a")
	assert.Equal(t, b.bodies[0], "body of r1")
	assert.Equal(t, r.Header.Get("Redwingnotch-Hold"), "")
	assert.Equal(t, r.Header.Get("X-Mine"), "1")
	assert.Equal(t, r.Header.Get(platform.HeaderExpectInstance), "s1")
}

func TestUnknownRouteIsNotFound(t *testing.T) {
	c := newCluster(t)
	b := c.backendServer("s1", "plain", text("done"))
	n := c.node("127.0.0.1", 0)
	for _, path := range []string{"/", "/unsafe", "/unsafe%2fx", "/other/x", "/x/../unsafe/"} {
		assert.Equal(t, c.call(n, http.MethodGet, path, "r1").status, http.StatusNotFound, path)
	}
	assert.Equal(t, b.count(), 0)
}

// TestResponseOfAnotherRequestIsRejected: a server sends a late response on a
// connection where the response to the next request is expected.
func TestResponseOfAnotherRequestIsRejected(t *testing.T) {
	c := newCluster(t)
	c.backendServer("s1", "plain", func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set(platform.HeaderRequestID, "other")
		fmt.Fprint(rw, "secret")
	})
	n := c.node("127.0.0.1", 0)
	got := c.call(n, http.MethodPost, "/unsafe/x", "r1")
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, got.body, "")
}

func TestResponseWithoutStampIsRejected(t *testing.T) {
	c := newCluster(t)
	c.backendServer("s1", "plain", func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Del(platform.HeaderStamp)
		fmt.Fprint(rw, "rotten")
	})
	n := c.node("127.0.0.1", 0)
	assert.Equal(t, c.call(n, http.MethodPost, "/unsafe/x", "r1").status, http.StatusBadGateway)
}

// TestUnsafeRequestIsNotRetriedOnceSent: the server may have run the request
// before its response was lost. Whether a request may be repeated depends on the
// route, not on the method.
func TestUnsafeRequestIsNotRetriedOnceSent(t *testing.T) {
	c := newCluster(t)
	a, b := c.backendServer("s1", "plain", closeConnection), c.backendServer("s2", "plain", closeConnection)
	n := c.node("127.0.0.1", 0)
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		before := a.count() + b.count()
		got := c.call(n, method, "/unsafe/x", "r-"+method)
		assert.Equal(t, got.status, http.StatusBadGateway)
		assert.Equal(t, a.count()+b.count(), before+1)
	}
}

func TestSafeRequestIsRetriedElsewhere(t *testing.T) {
	c := newCluster(t)
	a, b := c.backendServer("s1", "plain", closeConnection), c.backendServer("s2", "plain", text("done"))
	n := c.node("127.0.0.1", 0)
	for i := range 4 {
		got := c.call(n, http.MethodPost, "/safe/x", fmt.Sprint("r", i))
		assert.Equal(t, got.body, "done")
	}
	assert.Assert(t, a.count() > 0 || b.count() == 4)
}

// TestRequestNotRunIsRetriedElsewhere checks that also a request of an unsafe
// route is sent to another server if the first says that it did not run it.
func TestRequestNotRunIsRetriedElsewhere(t *testing.T) {
	refuse := func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set(platform.HeaderNotRun, "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
	c := newCluster(t)
	c.backendServer("s1", "plain", refuse)
	c.backendServer("s2", "plain", text("done"))
	n := c.node("127.0.0.1", 0)
	for i := range 4 {
		assert.Equal(t, c.call(n, http.MethodPost, "/unsafe/x", fmt.Sprint("r", i)).body, "done")
	}
}

func TestServerErrorIsForwardedWithStamp(t *testing.T) {
	c := newCluster(t)
	c.backendServer("s1", "plain", func(rw http.ResponseWriter, _ *http.Request) {
		rw.WriteHeader(http.StatusInternalServerError)
		fmt.Fprint(rw, "why")
	})
	n := c.node("127.0.0.1", 0)
	got := c.call(n, http.MethodPost, "/unsafe/x", "r1")
	assert.Equal(t, got.status, http.StatusInternalServerError)
	assert.Equal(t, got.body, "why")
	assert.Equal(t, got.header.Get(platform.HeaderStamp), "stamp-s1")
}

func TestTruncatedResponseIsRejected(t *testing.T) {
	c := newCluster(t)
	c.backendServer("s1", "plain", func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Content-Length", "100")
		fmt.Fprint(rw, "half")
	})
	n := c.node("127.0.0.1", 0)
	assert.Equal(t, c.call(n, http.MethodPost, "/unsafe/x", "r1").status, http.StatusBadGateway)
}

// writeEvents writes stream events with the IDs from..to. If truncated is set, it
// then closes the connection in the middle of the next event.
func writeEvents(rw http.ResponseWriter, from, to int, truncated bool) {
	rw.Header().Set("Content-Type", "text/event-stream")
	for i := from; i <= to; i++ {
		fmt.Fprintf(rw, "id: %d\ndata: piece %d\n\n", i, i)
		rw.(http.Flusher).Flush()
	}
	if truncated {
		fmt.Fprintf(rw, "id: %d\nda", to+1)
		rw.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
}

// eventText returns the stream that writeEvents writes for the IDs from..to.
func eventText(from, to int) string {
	var s strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&s, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return s.String()
}

// TestBrokenStreamResumesElsewhere checks that the caller gets each event exactly
// once and whole.
func TestBrokenStreamResumesElsewhere(t *testing.T) {
	c := newCluster(t)
	serve := func(rw http.ResponseWriter, r *http.Request) {
		if r.Header.Get(platform.HeaderLastEventID) == "3" {
			writeEvents(rw, 4, 6, false)
			return
		}
		writeEvents(rw, 1, 3, true)
	}
	c.backendServer("s1", "llm", serve)
	c.backendServer("s2", "llm", serve)
	n := c.node("127.0.0.1", 0)
	got := c.call(n, http.MethodPost, "/proof/x", "r1", platform.HeaderModel, "m")
	assert.Equal(t, got.body, eventText(1, 6))
	assert.Assert(t, !got.truncated)
}

func TestBrokenStreamIsAbortedIfNotResumable(t *testing.T) {
	c := newCluster(t)
	b := c.backendServer("s1", "llm", func(rw http.ResponseWriter, _ *http.Request) { writeEvents(rw, 1, 3, true) })
	n := c.node("127.0.0.1", 0)
	got := c.call(n, http.MethodPost, "/chat/x", "r1", platform.HeaderModel, "m")
	assert.Equal(t, got.body, eventText(1, 3))
	assert.Assert(t, got.truncated)
	assert.Equal(t, b.count(), 1)
}

func TestModelNotReadyInTimeIsRefusedAtOnce(t *testing.T) {
	c := newCluster(t)
	b := c.backendServer("s1", "llm", text("done"))
	n := c.node("127.0.0.1", 0)
	got := c.call(n, http.MethodPost, "/chat/x", "r1", platform.HeaderModel, "cold")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	for _, r := range b.requests {
		assert.Assert(t, strings.HasPrefix(r.URL.Path, "/-/"), "the request was sent to a server: %s", r.URL.Path)
	}
}

// TestCallerDisconnectCancelsServerRequest checks that the connection to the
// server is closed.
func TestCallerDisconnectCancelsServerRequest(t *testing.T) {
	c := newCluster(t)
	disconnected := make(chan struct{})
	c.backendServer("s1", "plain", func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(disconnected)
	})
	n := c.node("127.0.0.1", 0)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	got := c.callWith(ctx, n, http.MethodPost, "/unsafe/x", "r1")
	assert.Assert(t, got.err != nil)
	<-disconnected
}

// TestDeadlineEndsRequest checks that the caller gets a final response that does
// not say whether the request has run.
func TestDeadlineEndsRequest(t *testing.T) {
	c := newCluster(t)
	c.backendServer("s1", "plain", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	n := c.node("127.0.0.1", 0)
	got := c.call(n, http.MethodPost, "/unsafe/x", "r1", platform.HeaderDeadline, "300")
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
}

// TestSmuggledRequestStaysInBody: a request with both Content-Length and
// Transfer-Encoding is read by its chunks, and a request inside the body is not
// executed.
func TestSmuggledRequestStaysInBody(t *testing.T) {
	c := newCluster(t)
	b := c.backendServer("s1", "plain", text("done"))
	n := c.node("127.0.0.1", 0)
	inner := "POST /unsafe/inner HTTP/1.1\r\nHost: h.example\r\nRedwingnotch-Request-Id: evil\r\nContent-Length: 0\r\n\r\n"
	conn, err := net.Dial("tcp", n.settings.CallerListen)
	assert.NilError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /unsafe/x HTTP/1.1\r\nHost: %s\r\nRedwingnotch-Request-Id: r1\r\nRedwingnotch-Deadline-Ms: 4000\r\nConnection: close\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", callerHost, len(inner), inner)
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	for i, r := range b.requests {
		assert.Equal(t, r.Header.Get(platform.HeaderRequestID), "r1")
		assert.Equal(t, b.bodies[i], inner)
	}
	assert.Assert(t, b.count() <= 1)
}

// resolveAddresses returns the addresses that the node returns to callers of zone
// z1, nil if it returns none.
func resolveAddresses(t *testing.T, c *cluster, n *node) []string {
	resp, err := http.Get("http://" + n.settings.ResolveListen + platform.PathResolve + "?name=h&region=r&zone=z1")
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var got struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttl_s"`
	}
	if resp.StatusCode != http.StatusOK {
		return nil
	}
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&got))
	assert.Assert(t, got.TTL > 0)
	return got.Addresses
}

// TestGracefulStopFinishesRequests checks that a stopping node first reports
// itself unready and is no longer among the resolved addresses, still serves
// requests that arrive, finishes those in progress, and that the other node
// serves on.
func TestGracefulStopFinishesRequests(t *testing.T) {
	c := newCluster(t)
	release := make(chan struct{})
	c.backendServer("s1", "plain", func(rw http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/slow") {
			<-release
		}
		fmt.Fprint(rw, "done")
	})
	port := freePort(t, "127.0.0.1")
	a, b := c.node("127.0.0.1", port), c.node("127.0.0.2", port)
	c.eventually(func() bool { return len(resolveAddresses(t, c, a)) == 2 && len(resolveAddresses(t, c, b)) == 2 })
	slow := make(chan response, 1)
	go func() { slow <- c.call(a, http.MethodPost, "/unsafe/slow", "r1") }()
	c.eventually(func() bool { return c.backends["s1"].count() == 1 })
	a.stop()
	c.eventually(func() bool { return len(resolveAddresses(t, c, b)) == 1 })
	assert.Equal(t, c.status("http://"+a.settings.ReadyListen+platform.PathReadiness), http.StatusServiceUnavailable)
	got := c.call(a, http.MethodPost, "/unsafe/x", "r2")
	assert.Equal(t, got.body, "done", "callers that still have the address are served")
	close(release)
	assert.Equal(t, (<-slow).body, "done")
	assert.NilError(t, <-a.done)
	assert.Equal(t, c.call(b, http.MethodPost, "/unsafe/x", "r3").body, "done")
}

// TestDesiredStateAppliesAndDoesNotRevert checks that a newer desired state takes
// effect and that an older one, written later, does not replace it.
func TestDesiredStateAppliesAndDoesNotRevert(t *testing.T) {
	c := newCluster(t)
	c.backendServer("s1", "plain", text("one"))
	c.backendServer("s2", "llm", text("two"))
	n := c.node("127.0.0.1", 0)
	assert.Equal(t, c.call(n, http.MethodPost, "/unsafe/x", "r1").body, "one")
	newer := map[string]any{"version": 5, "services": desired["services"], "limits": desired["limits"], "routes": []map[string]any{
		{"name": "moved", "host": callerHost, "path_prefix": "/unsafe/", "kind": "unsafe", "timeout_ms": 3000, "service": "llm", "max_attempts": 1},
	}}
	c.put(platform.KindConfig, platform.ConfigName, newer)
	c.eventually(func() bool { return c.call(n, http.MethodPost, "/unsafe/x", "r2").body == "two" })
	c.put(platform.KindConfig, platform.ConfigName, desired)
	c.eventually(func() bool { return c.store.Counts().Watches > 3 })
	assert.Equal(t, c.call(n, http.MethodPost, "/unsafe/x", "r3").body, "two")
}

func TestDrainingServerGetsNoRequests(t *testing.T) {
	c := newCluster(t)
	a := c.backendServer("s1", "plain", text("a"))
	c.backendServer("s2", "plain", text("b"))
	n := c.node("127.0.0.1", 0)
	c.register(a, "plain", "draining")
	c.eventually(func() bool { return strings.Contains(c.text(), "server=s1 service=plain draining=true") })
	before := a.count()
	for i := range 6 {
		assert.Equal(t, c.call(n, http.MethodPost, "/unsafe/x", fmt.Sprint("r", i)).body, "b")
	}
	assert.Equal(t, a.count(), before)
}

// TestUnreadableEntryIsLoggedAndSkipped checks that an unreadable server entry
// does not affect a valid one.
func TestUnreadableEntryIsLoggedAndSkipped(t *testing.T) {
	c := newCluster(t)
	c.backendServer("s1", "plain", text("a"))
	c.put(platform.KindServers, "forged", "not an entry")
	n := c.node("127.0.0.1", 0)
	assert.Equal(t, c.call(n, http.MethodPost, "/unsafe/x", "r1").body, "a")
	assert.Assert(t, strings.Contains(c.text(), "event=server_entry_unusable server=forged"))
}

// TestServingContinuesDuringStoreOutage checks that the node serves with the
// entries and routes read before.
func TestServingContinuesDuringStoreOutage(t *testing.T) {
	c := newCluster(t)
	c.backendServer("s1", "plain", text("a"))
	n := c.node("127.0.0.1", 0)
	c.store.Faults.SetOutage(true)
	c.eventually(func() bool { return strings.Contains(c.text(), "event=store_lost") })
	assert.Equal(t, c.call(n, http.MethodPost, "/unsafe/x", "r1").body, "a")
	c.store.Faults.SetOutage(false)
	c.eventually(func() bool { return strings.Contains(c.text(), "event=store_back") })
}

// TestUnresponsiveServerIsAvoidedWhileRequestsHang: a server stops responding
// while it has requests that can't be sent again and so hang until their
// deadline.
func TestUnresponsiveServerIsAvoidedWhileRequestsHang(t *testing.T) {
	c := newCluster(t)
	hang := make(chan struct{})
	unblock := sync.OnceFunc(func() { close(hang) })
	t.Cleanup(unblock)
	a := c.backendServer("s1", "plain", func(http.ResponseWriter, *http.Request) { <-hang })
	// The other server holds its responses back until three requests hang at the
	// first. Otherwise it would get all requests after its first responses.
	enough := make(chan struct{})
	c.backendServer("s2", "plain", func(rw http.ResponseWriter, r *http.Request) {
		<-enough
		fmt.Fprint(rw, "b")
	})
	open := sync.OnceFunc(func() { close(enough) })
	t.Cleanup(open)
	n := c.node("127.0.0.1", 0)
	for i := range 8 {
		go func() { c.call(n, http.MethodPost, "/unsafe/x", fmt.Sprint("r", i)) }()
	}
	c.eventually(func() bool { return a.count() >= 3 })
	open()
	c.eventually(func() bool {
		before := a.count()
		for i := range 6 {
			if c.call(n, http.MethodPost, "/unsafe/x", fmt.Sprint("later", i)).body != "b" {
				return false
			}
		}
		return a.count() == before
	})
	unblock()
}

// TestLoggedWaitExcludesServerTime checks that the logged waited_ms does not
// include the time that a failed attempt took at its server.
func TestLoggedWaitExcludesServerTime(t *testing.T) {
	c := newCluster(t)
	const hangs = 300 * time.Millisecond
	c.backendServer("s1", "plain", func(rw http.ResponseWriter, r *http.Request) {
		time.Sleep(hangs)
		closeConnection(rw, r)
	})
	c.backendServer("s2", "plain", text("b"))
	n := c.node("127.0.0.1", 0)
	id := ""
	for i := 0; !strings.Contains(c.text(), "event=attempt_failed"); i++ {
		id = fmt.Sprint("r", i)
		assert.Equal(t, c.call(n, http.MethodGet, "/safe/x", id).body, "b")
	}
	c.eventually(func() bool { return strings.Contains(c.text(), "event=request id="+id+" ") })
	_, line, _ := strings.Cut(c.text(), "event=request id="+id+" ")
	_, line, _ = strings.Cut(line, "waited_ms=")
	value, _, _ := strings.Cut(line, " ")
	waited, err := strconv.Atoi(value)
	assert.NilError(t, err)
	assert.Assert(t, time.Duration(waited)*time.Millisecond < hangs, "%d ms", waited)
}

// TestMetricsAddressMayBeInUse checks that the node serves callers even if
// another process listens on the metrics address.
func TestMetricsAddressMayBeInUse(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer taken.Close()
	for _, tc := range []struct {
		name, address string
		want          int
	}{
		{"free", fmt.Sprint("127.0.0.1:", freePort(t, "127.0.0.1")), http.StatusOK},
		{"taken", taken.Addr().String(), 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t)
			c.metricsAddr = tc.address
			c.backendServer("s1", "plain", text("a"))
			n := c.node("127.0.0.1", 0)
			assert.Equal(t, c.call(n, http.MethodGet, "/safe/x", "r").status, http.StatusOK)
			if tc.want != 0 {
				assert.Equal(t, c.status("http://"+tc.address+"/metrics"), tc.want)
			} else {
				assert.Assert(t, strings.Contains(c.text(), "event=metrics_not_served"))
			}
		})
	}
}

// TestStopRefusesWaitingRequests checks that a request that waits for a server
// gets a refusal during the stop, instead of a closed connection when the process
// exits.
func TestStopRefusesWaitingRequests(t *testing.T) {
	c := newCluster(t)
	release := make(chan struct{})
	unblock := sync.OnceFunc(func() { close(release) })
	t.Cleanup(unblock)
	b := c.backendServer("s1", "llm", func(rw http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/chat/") {
			<-release
		}
		writeEvents(rw, 1, 2, false)
	})
	n := c.node("127.0.0.1", 0)
	call := func(path, id string) response {
		return c.call(n, http.MethodPost, path, id, platform.HeaderModel, "m", platform.HeaderDeadline, "9000")
	}
	chats := func() int {
		b.mu.Lock()
		defer b.mu.Unlock()
		count := 0
		for _, r := range b.requests {
			if strings.HasPrefix(r.URL.Path, "/chat/") {
				count++
			}
		}
		return count
	}
	running := make(chan response, 4)
	for i := range 4 {
		go func() { running <- call("/chat/x", fmt.Sprint("r", i)) }()
	}
	c.eventually(func() bool { return chats() == 4 })
	waits := make(chan response, 1)
	go func() { waits <- call("/proof/x", "waits") }()
	n.stop()
	got := <-waits
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	unblock()
	for range 4 {
		assert.Equal(t, (<-running).body, eventText(1, 2))
	}
	assert.NilError(t, <-n.done)
}
