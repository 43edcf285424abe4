package front_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/platform"
)

// TestRequestLargerThanKVCacheGetsNoRetryAfter guards against callers that are told to repeat a
// request that no server can ever hold, and against a log that does not say why it was rejected.
func TestRequestLargerThanKVCacheGetsNoRetryAfter(t *testing.T) {
	c := newCluster(t)
	data, err := json.Marshal(desired)
	assert.NilError(t, err)
	state := strings.Replace(string(data), `"slots":4`, `"kv_cache_tokens":1000,"slots":4`, 1)
	assert.Assert(t, state != string(data))
	c.put(platform.KindConfig, platform.ConfigName, json.RawMessage(state))
	b := c.backendServer("s1", "llm", text("answer"))
	n := c.node("127.0.0.1", 0)
	got := c.call(n, http.MethodPost, "/chat/", "large", platform.HeaderModel, "m", platform.HeaderTokenCounts, "990,11")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.header.Get("Retry-After"), "")
	assert.Equal(t, b.count(), 0)
	assert.Assert(t, strings.Contains(c.text(), "event=wait id=large"), c.text())
	assert.Assert(t, strings.Contains(c.text(), "reason=exceeds_kv_cache"), c.text())
	got = c.call(n, http.MethodPost, "/chat/", "fits", platform.HeaderModel, "m", platform.HeaderTokenCounts, "990,10")
	assert.Equal(t, got.status, http.StatusOK)
}
