package front_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDepartureAfterStoreOutageIsNotTakenForExpiry guards against requests that reach a server
// longer than the drain timeout after its entry was removed, because the node takes the removal
// for a consequence of an outage that ended contactTimeout before (DRAIN). Whether the node would
// do so depends on when its calls fail, so several try.
func TestDepartureAfterStoreOutageIsNotTakenForExpiry(t *testing.T) {
	for i := range 8 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			leaving := c.backendServer("s1", "plain", text("done"))
			c.backendServer("s2", "plain", text("done"))
			n := c.node("127.0.0.1", 0)
			c.store.Faults.SetDelay(10 * time.Second)
			time.Sleep(contactTimeout + time.Duration(i)*130*time.Millisecond)
			c.store.Faults.SetDelay(0)
			time.Sleep(contactTimeout + 20*time.Millisecond)
			c.unregister("s1")
			time.Sleep(n.settings.Bounds.DrainTimeout)
			before := leaving.count()
			for i := range 20 {
				assert.Equal(t, c.call(n, http.MethodGet, "/safe/x", fmt.Sprint("r", i)).status, http.StatusOK)
				time.Sleep(10 * time.Millisecond)
			}
			assert.Equal(t, leaving.count(), before)
		})
	}
}

// TestEntryThatReturnsAfterStoreOutageIsInUse guards against nodes that give up servers whose
// entries expired in an outage and return after it.
func TestEntryThatReturnsAfterStoreOutageIsInUse(t *testing.T) {
	c := newCluster(t)
	b := c.backendServer("s1", "plain", text("done"))
	port := freePort(t, "127.0.0.1")
	nodes := []*node{c.node("127.0.0.2", port), c.node("127.0.0.3", port), c.node("127.0.0.4", port)}
	c.connected(len(nodes))
	c.store.Faults.SetDelay(10 * time.Second)
	time.Sleep(contactTimeout)
	c.store.Faults.SetDelay(0)
	c.unregister("s1")
	time.Sleep(1500 * time.Millisecond)
	c.register(b, "plain", "ready")
	for began := time.Now(); time.Since(began) < contactTimeout; time.Sleep(50 * time.Millisecond) {
		for _, n := range nodes {
			assert.Equal(t, c.call(n, http.MethodGet, "/safe/x", "r").status, http.StatusOK, n.settings.Node)
		}
	}
}
