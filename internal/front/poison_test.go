package front_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/poison"
)

// crash ends the server as a process that crashes: its connections are reset and it
// refuses new ones.
func (b *backendServer) crash() {
	b.server.Listener.Close()
	b.server.CloseClientConnections()
}

// maxLateEnds is how many servers may end under a poison request later than
// contactTimeout after the third.
const maxLateEnds = 3

// poisonable returns a handler that crashes the server under requests for paths that
// contain "poison", and holds requests for paths that contain "slow" until then or
// until release is closed.
func poisonable(b **backendServer, ended *sync.Map, release <-chan struct{}) func(http.ResponseWriter, *http.Request) {
	down := make(chan struct{})
	var once sync.Once
	return func(w http.ResponseWriter, r *http.Request) {
		switch {
		case strings.Contains(r.URL.Path, "poison"):
			once.Do(func() {
				ended.Store((*b).id, true)
				close(down)
				go (*b).crash()
			})
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case strings.Contains(r.URL.Path, "slow"):
			select {
			case <-release:
			case <-down:
				panic(http.ErrAbortHandler)
			}
		}
		fmt.Fprint(w, "done")
	}
}

// TestPoisonRequestIsRefusedOnAllNodes guards against a request that ends each server
// that runs it and is sent on without end, as its caller sends it through node after
// node. Requests that ran beside it are served.
func TestPoisonRequestIsRefusedOnAllNodes(t *testing.T) {
	c := newCluster(t)
	var ended sync.Map
	release := make(chan struct{})
	unblock := sync.OnceFunc(func() { close(release) })
	t.Cleanup(unblock)
	servers := make([]*backendServer, 8)
	for i := range servers {
		servers[i] = c.backendServer(fmt.Sprint("s", i), "plain", poisonable(&servers[i], &ended, release))
	}
	port := freePort(t, "127.0.0.1")
	nodes := []*node{c.node("127.0.0.2", port), c.node("127.0.0.3", port), c.node("127.0.0.4", port)}
	count := func() int {
		n := 0
		ended.Range(func(_, _ any) bool { n++; return true })
		return n
	}
	var beside sync.WaitGroup
	statuses := make([]int, 12)
	for i := range statuses {
		beside.Go(func() {
			statuses[i] = c.call(nodes[i%3], http.MethodGet, fmt.Sprint("/safe/slow-", i), fmt.Sprint("beside-", i)).status
		})
	}
	for i := 0; count() < 3; i++ {
		assert.Assert(t, i < 20, "only %d servers ended", count())
		c.call(nodes[i%3], http.MethodGet, "/safe/poison", fmt.Sprint("poison-", i))
	}
	time.Sleep(contactTimeout)
	before := count()
	for i := range 9 {
		got := c.call(nodes[i%3], http.MethodGet, "/safe/poison", fmt.Sprint("again-", i))
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Assert(t, got.header.Get("Retry-After") != "")
	}
	assert.Equal(t, count(), before, "further servers ended")
	unblock()
	beside.Wait()
	ended.Range(func(id, _ any) bool { c.unregister(id.(string)); return true })
	for i := range statuses {
		c.eventually(func() bool {
			return c.call(nodes[(i+1)%3], http.MethodGet, fmt.Sprint("/safe/slow-", i), fmt.Sprint("repeated-", i)).status == http.StatusOK
		})
	}
	for line := range strings.Lines(c.text()) {
		innocent := strings.Contains(line, "id=beside-") || strings.Contains(line, "id=repeated-")
		assert.Assert(t, !innocent || !strings.Contains(line, "poison_request"), line)
	}
}

// TestPoisonIsRecognisedByRestarts guards against a request that ends servers which are
// back at once: they accept connections again, and only their entries name another start.
func TestPoisonIsRecognisedByRestarts(t *testing.T) {
	testPoisonAtServersThatAreBack(t, func(c *cluster, b *backendServer) { c.register(b, "plain", "ready") })
}

// TestPoisonIsRecognisedByNewIDAtAddress guards against a request that ends servers which are
// back at once under another ID at the same address: no entry names a later start of them.
func TestPoisonIsRecognisedByNewIDAtAddress(t *testing.T) {
	testPoisonAtServersThatAreBack(t, func(c *cluster, b *backendServer) {
		c.unregister(b.id)
		b.id = fmt.Sprint(strings.TrimRight(b.id, "+0123456789"), b.born)
		c.register(b, "plain", "ready")
	})
}

// testPoisonAtServersThatAreBack sends a request under which servers end that are back at
// once, and checks that it is refused.
func testPoisonAtServersThatAreBack(t *testing.T, back func(c *cluster, b *backendServer)) {
	c := newCluster(t)
	var mu sync.Mutex
	var ended []time.Time
	for i := range 6 {
		var b *backendServer
		b = c.backendServer(fmt.Sprint("s", i, "-"), "plain", func(w http.ResponseWriter, r *http.Request) {
			if !strings.Contains(r.URL.Path, "poison") {
				fmt.Fprint(w, "done")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			ended = append(ended, time.Now())
			b.born++
			back(c, b)
			panic(http.ErrAbortHandler)
		})
	}
	port := freePort(t, "127.0.0.1")
	nodes := []*node{c.node("127.0.0.2", port), c.node("127.0.0.3", port), c.node("127.0.0.4", port)}
	for i := range 12 {
		c.call(nodes[i%3], http.MethodGet, "/unsafe/poison", fmt.Sprint("poison-", i))
		assert.Equal(t, c.call(nodes[i%3], http.MethodGet, "/unsafe/x", fmt.Sprint("other-", i)).status, http.StatusOK)
		time.Sleep(600 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, at := range ended {
		if len(ended) >= poison.MaxEnds && at.After(ended[poison.MaxEnds-1].Add(contactTimeout)) {
			late++
		}
	}
	assert.Assert(t, late <= maxLateEnds, "%d servers ended, %d of them late", len(ended), late)
	assert.Assert(t, strings.Contains(c.text(), "reason=poison_request"))
}

// TestLostConnectionsOfLiveServerAreNoPoison guards against a request that is refused
// although the servers that closed its connections have not ended.
func TestLostConnectionsOfLiveServerAreNoPoison(t *testing.T) {
	c := newCluster(t)
	var mu sync.Mutex
	losses := 4
	for i := range 4 {
		c.backendServer(fmt.Sprint("s", i), "plain", func(w http.ResponseWriter, _ *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			if losses--; losses >= 0 {
				panic(http.ErrAbortHandler)
			}
			fmt.Fprint(w, "done")
		})
	}
	n := c.node("127.0.0.1", 0)
	for i := range 4 {
		c.call(n, http.MethodPost, "/unsafe/x", fmt.Sprint("r", i), platform.HeaderDeadline, "2000")
	}
	assert.Equal(t, c.call(n, http.MethodPost, "/unsafe/x", "last").status, http.StatusOK)
}
