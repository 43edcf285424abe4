package front_test

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/platform"
)

// contactTimeout is the time after which a disturbance of its connections no longer
// excuses a node.
const contactTimeout = 3 * time.Second

// withRoute returns the desired state at the version with one more route.
func withRoute(version int, prefix string) map[string]any {
	next := maps.Clone(desired)
	next["version"] = version
	next["routes"] = append(slices.Clone(desired["routes"].([]map[string]any)), map[string]any{
		"name": fmt.Sprint("added-", version), "host": callerHost, "path_prefix": prefix, "kind": "safe", "timeout_ms": 3000,
		"target_latency_ms": 100, "service": "plain", "max_attempts": 2,
	})
	return next
}

// TestDesiredStateIsInForceAfterStoreConnectionsFallSilent guards against a confirmed
// change that no node follows, because the connections of all their watches have died
// without a reset.
func TestDesiredStateIsInForceAfterStoreConnectionsFallSilent(t *testing.T) {
	c := newCluster(t)
	c.backendServer("s1", "plain", text("done"))
	port := freePort(t, "127.0.0.1")
	nodes := []*node{c.node("127.0.0.2", port), c.node("127.0.0.3", port), c.node("127.0.0.4", port)}
	time.Sleep(time.Second) // until each node waits for a change
	c.store.Faults.StallConns()
	silent := time.Now()
	c.put(platform.KindConfig, platform.ConfigName, withRoute(2, "/added/"))
	time.Sleep(time.Until(silent.Add(contactTimeout)))
	for _, n := range nodes {
		assert.Equal(t, c.call(n, http.MethodGet, "/added/x", "r-"+n.settings.IP).status, http.StatusOK, n.settings.Node)
	}
}

// TestDepartureIsKnownAfterStoreConnectionsFallSilent guards against requests that
// reach a server long after it was confirmed to drain, because the connections of the
// watches that would have said so have died without a reset.
func TestDepartureIsKnownAfterStoreConnectionsFallSilent(t *testing.T) {
	c := newCluster(t)
	leaving := c.backendServer("s1", "plain", text("done"))
	c.backendServer("s2", "plain", text("done"))
	port := freePort(t, "127.0.0.1")
	nodes := []*node{c.node("127.0.0.2", port), c.node("127.0.0.3", port), c.node("127.0.0.4", port)}
	time.Sleep(time.Second) // until the nodes wait for a change
	c.store.Faults.StallConns()
	silent := time.Now()
	c.register(leaving, "plain", "draining")
	time.Sleep(time.Until(silent.Add(contactTimeout)))
	before := leaving.count()
	for i := range 12 {
		assert.Equal(t, c.call(nodes[i%len(nodes)], http.MethodGet, "/safe/x", fmt.Sprint("r", i)).status, http.StatusOK)
	}
	assert.Equal(t, leaving.count(), before)
}
