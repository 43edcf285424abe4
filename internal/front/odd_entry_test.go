package front_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/platform"
)

// oddEntry returns the text of an entry of a server with one field replaced.
func oddEntry(field, value string) string {
	fields := map[string]string{
		"service": `"plain"`, "address": `"127.0.0.1:9"`, "zone": `"z1"`, "slots": "4", "state": `"ready"`, "models": "[]", "born": "1700000000000",
	}
	fields[field] = value
	var parts []string
	for name, text := range fields {
		parts = append(parts, fmt.Sprintf("%q:%s", name, text))
	}
	return "{" + strings.Join(parts, ",") + "}"
}

// TestOddEntryDoesNotStopFollowingOthers guards against one entry of another writer
// that ends the node, or after which it follows no entries any more.
func TestOddEntryDoesNotStopFollowingOthers(t *testing.T) {
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	for name, value := range map[string]string{
		"nested":           oddEntry("note", deep),
		"only nested":      deep,
		"number too large": oddEntry("slots", "1e999"),
		"huge slots":       oddEntry("slots", "9000000000000000000"),
		"huge start":       oddEntry("born", "1e300"),
		"port too large":   oddEntry("address", `"127.0.0.1:99999"`),
		"port zero":        oddEntry("address", `"127.0.0.1:0"`),
		"line break":       oddEntry("address", `"127.0.0.1:9\r\nX: y"`),
		"long name":        oddEntry("service", `"`+strings.Repeat("x", 200_000)+`"`),
		"not an object":    `"\ud800"`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			first := c.backendServer("s1", "plain", text("done"))
			c.storeRaw("odd", value)
			port := freePort(t, "127.0.0.1")
			nodes := []*node{c.node("127.0.0.2", port), c.node("127.0.0.3", port)}
			c.storeRaw("odder", value)
			for i, n := range nodes {
				assert.Equal(t, c.call(n, http.MethodGet, "/safe/x", fmt.Sprint("before-", i)).status, http.StatusOK)
			}
			added := c.backendServer("s2", "plain", text("done"))
			c.register(first, "plain", "draining")
			for i, n := range nodes {
				c.eventually(func() bool {
					before := added.count()
					return c.call(n, http.MethodGet, "/safe/x", fmt.Sprint("r", i)).status == http.StatusOK && added.count() > before
				})
			}
			c.eventually(func() bool { return strings.Contains(c.text(), "event=server_entry_unusable server=odder") })
			for _, n := range nodes {
				assert.Equal(t, len(n.done), 0, "the node has ended")
			}
		})
	}
}

// storeRaw writes an entry that no encoder would produce.
func (c *cluster) storeRaw(name, value string) {
	_, err := c.store.Put(c.t.Context(), platform.KindServers, name, []byte(value), 0, "another writer")
	assert.NilError(c.t, err)
}
