package front_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/platform"
)

// TestResponseDoesNotJoinSoftwareVersions guards against one response whose events come from
// servers of two software versions, or from servers that name none.
func TestResponseDoesNotJoinSoftwareVersions(t *testing.T) {
	for name, tc := range map[string]struct {
		first, other string
		joined       bool
	}{
		"same version":  {"v1", "v1", true},
		"other version": {"v1", "v2", false},
		"no versions":   {"", "", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			serve := func(rw http.ResponseWriter, r *http.Request) {
				if r.Header.Get(platform.HeaderLastEventID) == "3" {
					writeEvents(rw, 4, 6, false)
					return
				}
				writeEvents(rw, 1, 3, true)
			}
			for id, software := range map[string]string{"s1": tc.first, "s2": tc.other} {
				b := c.backendServer(id, "llm", serve)
				b.software = software
				c.register(b, "llm", "ready")
			}
			n := c.node("127.0.0.1", 0)
			got := c.call(n, http.MethodPost, "/proof/x", "r1", platform.HeaderModel, "m")
			want := eventText(1, 3)
			if tc.joined {
				want = eventText(1, 6)
			}
			assert.Equal(t, got.body, want)
			assert.Equal(t, got.truncated, !tc.joined)
		})
	}
}
