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

func TestARequestGoesThroughUnchanged(t *testing.T) {
	w := newWorld(t)
	b := w.backend("s1", "plain", text("done"))
	n := w.node("127.0.0.1", 0)
	got := w.call(n, http.MethodPost, "/unsafe/x%2fy?q=%20a", "r1", "Redwingnotch-Hold", "h1", "X-Mine", "1")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, "done")
	assert.Equal(t, got.header.Get(platform.HeaderStamp), "stamp-s1")
	assert.Equal(t, b.count(), 1)
	r := b.arrived[0]
	assert.Equal(t, r.RequestURI, "/unsafe/x%2fy?q=%20a")
	assert.Equal(t, b.bodies[0], "body of r1")
	assert.Equal(t, r.Header.Get("Redwingnotch-Hold"), "")
	assert.Equal(t, r.Header.Get("X-Mine"), "1")
	assert.Equal(t, r.Header.Get(platform.HeaderExpectInstance), "s1")
}

func TestUnknownRoutesAreNotFound(t *testing.T) {
	w := newWorld(t)
	b := w.backend("s1", "plain", text("done"))
	n := w.node("127.0.0.1", 0)
	for _, path := range []string{"/", "/unsafe", "/unsafe%2fx", "/other/x", "/x/../unsafe/"} {
		assert.Equal(t, w.call(n, http.MethodGet, path, "r1").status, http.StatusNotFound, path)
	}
	assert.Equal(t, b.count(), 0)
}

// TestAnAnswerOfAnotherRequestIsNotPassedOn: a server sends a late answer where
// the next one is due.
func TestAnAnswerOfAnotherRequestIsNotPassedOn(t *testing.T) {
	w := newWorld(t)
	w.backend("s1", "plain", func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set(platform.HeaderRequestID, "other")
		fmt.Fprint(rw, "secret")
	})
	n := w.node("127.0.0.1", 0)
	got := w.call(n, http.MethodPost, "/unsafe/x", "r1")
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, got.body, "")
}

func TestAnAnswerWithoutAStampIsNoSuccess(t *testing.T) {
	w := newWorld(t)
	w.backend("s1", "plain", func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Del(platform.HeaderStamp)
		fmt.Fprint(rw, "rotten")
	})
	n := w.node("127.0.0.1", 0)
	assert.Equal(t, w.call(n, http.MethodPost, "/unsafe/x", "r1").status, http.StatusBadGateway)
}

// TestARequestThatMayHaveRunIsNotSentAgain: the server ran it, and its answer was
// lost. What may be repeated follows from the route, not from the method.
func TestARequestThatMayHaveRunIsNotSentAgain(t *testing.T) {
	w := newWorld(t)
	a, b := w.backend("s1", "plain", abort), w.backend("s2", "plain", abort)
	n := w.node("127.0.0.1", 0)
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		before := a.count() + b.count()
		got := w.call(n, method, "/unsafe/x", "r-"+method)
		assert.Equal(t, got.status, http.StatusBadGateway)
		assert.Equal(t, a.count()+b.count(), before+1)
	}
}

func TestASafeRequestIsSentToAnotherServer(t *testing.T) {
	w := newWorld(t)
	a, b := w.backend("s1", "plain", abort), w.backend("s2", "plain", text("done"))
	n := w.node("127.0.0.1", 0)
	for i := range 4 {
		got := w.call(n, http.MethodPost, "/safe/x", fmt.Sprint("r", i))
		assert.Equal(t, got.body, "done")
	}
	assert.Assert(t, a.count() > 0 || b.count() == 4)
}

// TestARequestThatWasNotRunGoesElsewhere holds for all kinds.
func TestARequestThatWasNotRunGoesElsewhere(t *testing.T) {
	refuse := func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set(platform.HeaderNotRun, "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
	w := newWorld(t)
	w.backend("s1", "plain", refuse)
	w.backend("s2", "plain", text("done"))
	n := w.node("127.0.0.1", 0)
	for i := range 4 {
		assert.Equal(t, w.call(n, http.MethodPost, "/unsafe/x", fmt.Sprint("r", i)).body, "done")
	}
}

func TestAFailureIsPassedOnWithItsStamp(t *testing.T) {
	w := newWorld(t)
	w.backend("s1", "plain", func(rw http.ResponseWriter, _ *http.Request) {
		rw.WriteHeader(http.StatusInternalServerError)
		fmt.Fprint(rw, "why")
	})
	n := w.node("127.0.0.1", 0)
	got := w.call(n, http.MethodPost, "/unsafe/x", "r1")
	assert.Equal(t, got.status, http.StatusInternalServerError)
	assert.Equal(t, got.body, "why")
	assert.Equal(t, got.header.Get(platform.HeaderStamp), "stamp-s1")
}

func TestACutAnswerIsNoSuccess(t *testing.T) {
	w := newWorld(t)
	w.backend("s1", "plain", func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Content-Length", "100")
		fmt.Fprint(rw, "half")
	})
	n := w.node("127.0.0.1", 0)
	assert.Equal(t, w.call(n, http.MethodPost, "/unsafe/x", "r1").status, http.StatusBadGateway)
}

// events writes events with ids from..to, and then cuts the stream inside the
// next event if cut is set.
func events(rw http.ResponseWriter, from, to int, cut bool) {
	rw.Header().Set("Content-Type", "text/event-stream")
	for i := from; i <= to; i++ {
		fmt.Fprintf(rw, "id: %d\ndata: piece %d\n\n", i, i)
		rw.(http.Flusher).Flush()
	}
	if cut {
		fmt.Fprintf(rw, "id: %d\nda", to+1)
		rw.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
}

func stream(from, to int) string {
	var s strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&s, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return s.String()
}

// TestABrokenStreamGoesOnElsewhere: no piece is missing, twice or torn.
func TestABrokenStreamGoesOnElsewhere(t *testing.T) {
	w := newWorld(t)
	serve := func(rw http.ResponseWriter, r *http.Request) {
		if r.Header.Get(platform.HeaderLastEventID) == "3" {
			events(rw, 4, 6, false)
			return
		}
		events(rw, 1, 3, true)
	}
	w.backend("s1", "llm", serve)
	w.backend("s2", "llm", serve)
	n := w.node("127.0.0.1", 0)
	got := w.call(n, http.MethodPost, "/proof/x", "r1", platform.HeaderModel, "m")
	assert.Equal(t, got.body, stream(1, 6))
	assert.Assert(t, !got.cut)
}

func TestABrokenStreamThatMayNotGoOnLooksBroken(t *testing.T) {
	w := newWorld(t)
	b := w.backend("s1", "llm", func(rw http.ResponseWriter, _ *http.Request) { events(rw, 1, 3, true) })
	n := w.node("127.0.0.1", 0)
	got := w.call(n, http.MethodPost, "/chat/x", "r1", platform.HeaderModel, "m")
	assert.Equal(t, got.body, stream(1, 3))
	assert.Assert(t, got.cut)
	assert.Equal(t, b.count(), 1)
}

func TestAModelThatCannotBeReadyIsRefusedAtOnce(t *testing.T) {
	w := newWorld(t)
	b := w.backend("s1", "llm", text("done"))
	n := w.node("127.0.0.1", 0)
	got := w.call(n, http.MethodPost, "/chat/x", "r1", platform.HeaderModel, "cold")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	for _, r := range b.arrived {
		assert.Assert(t, strings.HasPrefix(r.URL.Path, "/-/"), "the request was sent to a server: %s", r.URL.Path)
	}
}

// TestACallerThatLeavesEndsTheRun: the server's connection is closed.
func TestACallerThatLeavesEndsTheRun(t *testing.T) {
	w := newWorld(t)
	gone := make(chan struct{})
	w.backend("s1", "plain", func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(gone)
	})
	n := w.node("127.0.0.1", 0)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	got := w.callWith(ctx, n, http.MethodPost, "/unsafe/x", "r1")
	assert.Assert(t, got.err != nil)
	<-gone
}

// TestTheRoutesTimeEndsARequest: the caller gets a final answer that promises
// nothing.
func TestTheRoutesTimeEndsARequest(t *testing.T) {
	w := newWorld(t)
	w.backend("s1", "plain", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	n := w.node("127.0.0.1", 0)
	got := w.call(n, http.MethodPost, "/unsafe/x", "r1", platform.HeaderDeadline, "300")
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
}

// TestASmuggledRequestStaysInTheBody: a request with both lengths is read by its
// chunks, and what is inside is not taken for a request.
func TestASmuggledRequestStaysInTheBody(t *testing.T) {
	w := newWorld(t)
	b := w.backend("s1", "plain", text("done"))
	n := w.node("127.0.0.1", 0)
	inner := "POST /unsafe/inner HTTP/1.1\r\nHost: h.example\r\nRedwingnotch-Request-Id: evil\r\nContent-Length: 0\r\n\r\n"
	conn, err := net.Dial("tcp", n.settings.FrontListen)
	assert.NilError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /unsafe/x HTTP/1.1\r\nHost: %s\r\nRedwingnotch-Request-Id: r1\r\nRedwingnotch-Deadline-Ms: 4000\r\nConnection: close\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", hostName, len(inner), inner)
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	for i, r := range b.arrived {
		assert.Equal(t, r.Header.Get(platform.HeaderRequestID), "r1")
		assert.Equal(t, b.bodies[i], inner)
	}
	assert.Assert(t, b.count() <= 1)
}

func addresses(t *testing.T, w *world, n *node) []string {
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

// TestAPlannedStopCutsNothing: the node leaves the addresses and readiness first,
// serves what comes and runs, and the other node takes over.
func TestAPlannedStopCutsNothing(t *testing.T) {
	w := newWorld(t)
	release := make(chan struct{})
	w.backend("s1", "plain", func(rw http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/slow") {
			<-release
		}
		fmt.Fprint(rw, "done")
	})
	port := freePort(t, "127.0.0.1")
	a, b := w.node("127.0.0.1", port), w.node("127.0.0.2", port)
	w.eventually(func() bool { return len(addresses(t, w, a)) == 2 && len(addresses(t, w, b)) == 2 })
	slow := make(chan answer, 1)
	go func() { slow <- w.call(a, http.MethodPost, "/unsafe/slow", "r1") }()
	w.eventually(func() bool { return w.backends["s1"].count() == 1 })
	a.stop()
	w.eventually(func() bool { return len(addresses(t, w, b)) == 1 })
	assert.Equal(t, w.status("http://"+a.settings.ReadyListen+platform.PathReadiness), http.StatusServiceUnavailable)
	got := w.call(a, http.MethodPost, "/unsafe/x", "r2")
	assert.Equal(t, got.body, "done", "callers that still have the address are served")
	close(release)
	assert.Equal(t, (<-slow).body, "done")
	assert.NilError(t, <-a.done)
	assert.Equal(t, w.call(b, http.MethodPost, "/unsafe/x", "r3").body, "done")
}

// TestANewDesiredStateIsInForceAndDoesNotRevert, also when an older one comes again.
func TestANewDesiredStateIsInForceAndDoesNotRevert(t *testing.T) {
	w := newWorld(t)
	w.backend("s1", "plain", text("one"))
	w.backend("s2", "llm", text("two"))
	n := w.node("127.0.0.1", 0)
	assert.Equal(t, w.call(n, http.MethodPost, "/unsafe/x", "r1").body, "one")
	newer := map[string]any{"version": 5, "services": desired["services"], "limits": desired["limits"], "routes": []map[string]any{
		{"name": "moved", "host": hostName, "path_prefix": "/unsafe/", "kind": "unsafe", "timeout_ms": 3000, "service": "llm", "max_attempts": 1},
	}}
	w.put(platform.KindConfig, platform.ConfigName, newer)
	w.eventually(func() bool { return w.call(n, http.MethodPost, "/unsafe/x", "r2").body == "two" })
	w.put(platform.KindConfig, platform.ConfigName, desired)
	w.eventually(func() bool { return w.store.Counts().Watches > 3 })
	assert.Equal(t, w.call(n, http.MethodPost, "/unsafe/x", "r3").body, "two")
}

func TestALeavingServerGetsNothing(t *testing.T) {
	w := newWorld(t)
	a := w.backend("s1", "plain", text("a"))
	w.backend("s2", "plain", text("b"))
	n := w.node("127.0.0.1", 0)
	w.enter(a, "plain", "draining")
	w.eventually(func() bool { return strings.Contains(w.text(), "server=s1 service=plain draining=true") })
	before := a.count()
	for i := range 6 {
		assert.Equal(t, w.call(n, http.MethodPost, "/unsafe/x", fmt.Sprint("r", i)).body, "b")
	}
	assert.Equal(t, a.count(), before)
}

// TestForeignEntriesAreLoggedAndLoseNothing: an unreadable entry beside a good one.
func TestForeignEntriesAreLoggedAndLoseNothing(t *testing.T) {
	w := newWorld(t)
	w.backend("s1", "plain", text("a"))
	w.put(platform.KindServers, "forged", "not an entry")
	n := w.node("127.0.0.1", 0)
	assert.Equal(t, w.call(n, http.MethodPost, "/unsafe/x", "r1").body, "a")
	assert.Assert(t, strings.Contains(w.text(), "event=server_entry_unusable server=forged"))
}

// TestServingOutlastsTheStore: what is known is served on.
func TestServingOutlastsTheStore(t *testing.T) {
	w := newWorld(t)
	w.backend("s1", "plain", text("a"))
	n := w.node("127.0.0.1", 0)
	w.store.Faults.SetOutage(true)
	w.eventually(func() bool { return strings.Contains(w.text(), "event=store_lost") })
	assert.Equal(t, w.call(n, http.MethodPost, "/unsafe/x", "r1").body, "a")
	w.store.Faults.SetOutage(false)
	w.eventually(func() bool { return strings.Contains(w.text(), "event=store_back") })
}

// TestASilentServerIsLeftAloneWhileRequestsHangThere: a server went dark, and what
// was sent there can't be sent again.
func TestASilentServerIsLeftAloneWhileRequestsHangThere(t *testing.T) {
	w := newWorld(t)
	hang := make(chan struct{})
	let := sync.OnceFunc(func() { close(hang) })
	t.Cleanup(let)
	a := w.backend("s1", "plain", func(http.ResponseWriter, *http.Request) { <-hang })
	// The other server answers once three requests hang, or it alone would get
	// whatever arrives after its first answers.
	enough := make(chan struct{})
	w.backend("s2", "plain", func(rw http.ResponseWriter, r *http.Request) {
		<-enough
		fmt.Fprint(rw, "b")
	})
	open := sync.OnceFunc(func() { close(enough) })
	t.Cleanup(open)
	n := w.node("127.0.0.1", 0)
	for i := range 8 {
		go func() { w.call(n, http.MethodPost, "/unsafe/x", fmt.Sprint("r", i)) }()
	}
	w.eventually(func() bool { return a.count() >= 3 })
	open()
	w.eventually(func() bool {
		before := a.count()
		for i := range 6 {
			if w.call(n, http.MethodPost, "/unsafe/x", fmt.Sprint("later", i)).body != "b" {
				return false
			}
		}
		return a.count() == before
	})
	let()
}

// TestTheTimeAtAServerIsNoWait: the log tells how long a request waited for
// servers, without the time that a first server took.
func TestTheTimeAtAServerIsNoWait(t *testing.T) {
	w := newWorld(t)
	const hangs = 300 * time.Millisecond
	w.backend("s1", "plain", func(rw http.ResponseWriter, r *http.Request) {
		time.Sleep(hangs)
		abort(rw, r)
	})
	w.backend("s2", "plain", text("b"))
	n := w.node("127.0.0.1", 0)
	id := ""
	for i := 0; !strings.Contains(w.text(), "event=attempt_failed"); i++ {
		id = fmt.Sprint("r", i)
		assert.Equal(t, w.call(n, http.MethodGet, "/safe/x", id).body, "b")
	}
	w.eventually(func() bool { return strings.Contains(w.text(), "event=request id="+id+" ") })
	_, line, _ := strings.Cut(w.text(), "event=request id="+id+" ")
	_, line, _ = strings.Cut(line, "waited_ms=")
	value, _, _ := strings.Cut(line, " ")
	waited, err := strconv.Atoi(value)
	assert.NilError(t, err)
	assert.Assert(t, time.Duration(waited)*time.Millisecond < hangs, "%d ms", waited)
}

// TestMetricsAtAPortOfTheProject: if another process has the port, the node
// serves all the same.
func TestMetricsAtAPortOfTheProject(t *testing.T) {
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
			w := newWorld(t)
			w.metricsAt = tc.address
			w.backend("s1", "plain", text("a"))
			n := w.node("127.0.0.1", 0)
			assert.Equal(t, w.call(n, http.MethodGet, "/safe/x", "r").status, http.StatusOK)
			if tc.want != 0 {
				assert.Equal(t, w.status("http://"+tc.address+"/metrics"), tc.want)
			} else {
				assert.Assert(t, strings.Contains(w.text(), "event=metrics_not_served"))
			}
		})
	}
}

// TestAStopRefusesWhatWaits: a request that was not sent to any server is told so
// while there is time, and is not cut when the process ends.
func TestAStopRefusesWhatWaits(t *testing.T) {
	w := newWorld(t)
	release := make(chan struct{})
	let := sync.OnceFunc(func() { close(release) })
	t.Cleanup(let)
	b := w.backend("s1", "llm", func(rw http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/chat/") {
			<-release
		}
		events(rw, 1, 2, false)
	})
	n := w.node("127.0.0.1", 0)
	call := func(path, id string) answer {
		return w.call(n, http.MethodPost, path, id, platform.HeaderModel, "m", platform.HeaderDeadline, "9000")
	}
	chats := func() int {
		b.mu.Lock()
		defer b.mu.Unlock()
		count := 0
		for _, r := range b.arrived {
			if strings.HasPrefix(r.URL.Path, "/chat/") {
				count++
			}
		}
		return count
	}
	running := make(chan answer, 4)
	for i := range 4 {
		go func() { running <- call("/chat/x", fmt.Sprint("r", i)) }()
	}
	w.eventually(func() bool { return chats() == 4 })
	waits := make(chan answer, 1)
	go func() { waits <- call("/proof/x", "waits") }()
	n.stop()
	got := <-waits
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	let()
	for range 4 {
		assert.Equal(t, (<-running).body, stream(1, 2))
	}
	assert.NilError(t, <-n.done)
}
