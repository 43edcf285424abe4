package front_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/platform"
)

// TestStreamIsNotTakenUpAtLaterStartOfServer guards against a stream that goes on at a server which
// has started again under its ID and address, maybe with other software, while the entry that the
// node has still describes the start before (ORDER).
func TestStreamIsNotTakenUpAtLaterStartOfServer(t *testing.T) {
	c := newCluster(t)
	restarted := c.versionedServer("s1", "v1")
	n := c.node("127.0.0.1", 0)
	assert.Equal(t, c.call(n, http.MethodPost, "/proof/x", "r1", platform.HeaderModel, "m").body, eventText(1, 3))
	restarted.restart()
	got := c.takeUp(n, "a", "r1")
	assert.Assert(t, got.status != http.StatusOK, "%d %q", got.status, got.body)
	other := c.versionedServer("s2", "v1")
	c.eventually(func() bool {
		got := c.takeUp(n, "b", "r1")
		return got.status == http.StatusOK && got.body == eventText(4, 6) && got.header.Get(platform.HeaderStamp) == "stamp-"+other.id
	})
}

// TestStreamOfLaterStartOfServerIsNotTakenUp guards against the record of a stream that names the
// version in a server's entry although a later start of the server began it.
func TestStreamOfLaterStartOfServerIsNotTakenUp(t *testing.T) {
	c := newCluster(t)
	restarted := c.versionedServer("s1", "v1")
	port := freePort(t, "127.0.0.2")
	first, second := c.node("127.0.0.2", port), c.node("127.0.0.3", port)
	c.connected(2)
	restarted.restart()
	got := c.call(first, http.MethodPost, "/proof/x", "r1", platform.HeaderModel, "m")
	assert.Equal(t, got.body, eventText(1, 3))
	c.versionedServer("s2", "v1")
	c.eventually(func() bool {
		got := c.call(second, http.MethodPost, "/proof/x", "r2", platform.HeaderModel, "m")
		return got.header.Get(platform.HeaderStamp) == "stamp-s2"
	})
	for i, n := range []*node{first, second} {
		assert.Equal(t, c.takeUp(n, string(rune('a'+i)), "r1").status, http.StatusServiceUnavailable)
	}
}

// TestResponseDoesNotGoOnAtLaterStartOfServer guards against one response that joins the events of
// a server and those of a later start of another, whose entry names the version of the start before.
func TestResponseDoesNotGoOnAtLaterStartOfServer(t *testing.T) {
	for name, which := range map[string]int{"the first has restarted": 0, "the second has restarted": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			servers := map[string]*backendServer{}
			began := 0
			serve := func(rw http.ResponseWriter, r *http.Request) {
				if r.Header.Get(platform.HeaderLastEventID) == "3" {
					writeEvents(rw, 4, 6, false)
					return
				}
				for _, b := range servers {
					if is := "stamp-"+b.id == rw.Header().Get(platform.HeaderStamp); is == (which == 0) {
						b.restart()
					}
				}
				began++
				writeEvents(rw, 1, 3, true)
			}
			servers["s1"], servers["s2"] = c.backendServer("s1", "llm", serve), c.backendServer("s2", "llm", serve)
			n := c.node("127.0.0.1", 0)
			got := c.call(n, http.MethodPost, "/proof/x", "r1", platform.HeaderModel, "m")
			assert.Equal(t, got.body, eventText(1, 3))
			assert.Assert(t, got.truncated)
			assert.Equal(t, began, 1)
		})
	}
}

// TestStreamsGoOnBesideRestartedServers guards against streams that are refused though servers of their
// version serve: each would be sent to the servers with outdated entries first, which fail fast and so
// have the least load.
func TestStreamsGoOnBesideRestartedServers(t *testing.T) {
	const streams, servers, restarted, attempts = 24, 6, 4, 2
	c := newCluster(t)
	var all []*backendServer
	for i := range servers {
		all = append(all, c.versionedServer(fmt.Sprint("s", i), "v1"))
	}
	n := c.node("127.0.0.1", 0)
	for i := range streams {
		assert.Equal(t, c.call(n, http.MethodPost, "/proof/x", fmt.Sprint("r", i), platform.HeaderModel, "m").body, eventText(1, 3))
	}
	before := map[*backendServer]int{}
	for _, b := range all[:restarted] {
		b.restart()
		before[b] = b.count()
	}
	goOn := 0
	for i := range streams {
		if got := c.takeUp(n, fmt.Sprint(i), fmt.Sprint("r", i)); got.status == http.StatusOK && got.body == eventText(4, 6) {
			goOn++
		}
	}
	assert.Assert(t, goOn >= streams-restarted/attempts, "%d of %d", goOn, streams)
	for _, b := range all[:restarted] {
		assert.Assert(t, b.count() <= before[b]+1, "%s got %d streams", b.id, b.count()-before[b])
	}
}

// TestCallerThatLeavesDuringCheckTakesNoRetry guards against retries that are taken from the budget for
// callers that have left while the start of their server was checked.
func TestCallerThatLeavesDuringCheckTakesNoRetry(t *testing.T) {
	c := newCluster(t)
	b := c.versionedServer("s1", "v1")
	n := c.node("127.0.0.1", 0)
	assert.Equal(t, c.call(n, http.MethodPost, "/proof/x", "r1", platform.HeaderModel, "m").body, eventText(1, 3))
	unanswered := make(chan struct{})
	defer close(unanswered)
	b.mu.Lock()
	b.handler = func(rw http.ResponseWriter, _ *http.Request) {
		b.mu.Lock() // no report is answered from now on
		go func() { <-unanswered; b.mu.Unlock() }()
		writeEvents(rw, 4, 6, false)
	}
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	c.callWith(ctx, n, http.MethodPost, "/proof/x", "r2", platform.HeaderModel, "m", platform.HeaderLastEventID, "3", "Resumes", "r1")
	c.eventually(func() bool { return strings.Contains(c.text(), "event=request id=r2") })
	assert.Assert(t, strings.Contains(c.text(), "event=server_start_unconfirmed id=r2"))
	assert.Assert(t, !strings.Contains(c.text(), "event=attempt_failed id=r2"))
}

// TestReportWithoutStartMarksNoRestart guards against a server that goes on with no stream any more
// because one of its reports lacked its start.
func TestReportWithoutStartMarksNoRestart(t *testing.T) {
	c := newCluster(t)
	b := c.versionedServer("s1", "v1")
	n := c.node("127.0.0.1", 0)
	assert.Equal(t, c.call(n, http.MethodPost, "/proof/x", "r1", platform.HeaderModel, "m").body, eventText(1, 3))
	set := func(restarts int64) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.restarts = restarts
	}
	set(-b.born)
	assert.Assert(t, c.takeUp(n, "a", "r1").status != http.StatusOK)
	set(0)
	assert.Equal(t, c.takeUp(n, "b", "r1").status, http.StatusOK)
}
