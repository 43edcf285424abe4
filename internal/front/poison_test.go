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
)

// crash ends the server as a process that crashes: its connections are reset and it
// refuses new ones.
func (b *backendServer) crash() {
	b.server.Listener.Close()
	b.server.CloseClientConnections()
}

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
			statuses[i] = c.call(nodes[i%3], http.MethodPost, fmt.Sprint("/safe/slow-", i), fmt.Sprint("beside-", i)).status
		})
	}
	for i := 0; count() < 3; i++ {
		assert.Assert(t, i < 20, "only %d servers ended", count())
		c.call(nodes[i%3], http.MethodPost, "/safe/poison", fmt.Sprint("poison-", i))
	}
	time.Sleep(contactTimeout)
	before := count()
	for i := range 9 {
		got := c.call(nodes[i%3], http.MethodPost, "/safe/poison", fmt.Sprint("again-", i))
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Assert(t, got.header.Get("Retry-After") != "")
	}
	assert.Equal(t, count(), before, "further servers ended")
	unblock()
	beside.Wait()
	for i := range statuses {
		got := c.call(nodes[(i+1)%3], http.MethodPost, fmt.Sprint("/safe/slow-", i), fmt.Sprint("repeated-", i))
		assert.Equal(t, got.status, http.StatusOK, "request %d, first answered with %d", i, statuses[i])
	}
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
