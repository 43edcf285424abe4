package front_test

import (
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/platform"
)

// Guards against a team over its allowance whose requests reach a server or are rejected without a
// time to come back, and against another team that is rejected with it.
func TestTeamOverItsAllowanceIsRejected(t *testing.T) {
	const rate, burst, plainTokens = 1000, 2000, 200
	c := newCluster(t)
	b := c.backendServer("s1", "plain", text("done"))
	state := maps.Clone(desired)
	state["version"] = 2
	state["tenants"] = []map[string]any{
		{"name": "alpha", "api_keys": []string{alphaKey}, "unit": "token_count", "plain_tokens": plainTokens, "rate_per_s": rate, "burst": burst},
		{"name": "beta", "api_keys": []string{betaKey}, "unit": "token_count", "plain_tokens": plainTokens},
	}
	c.put(platform.KindConfig, platform.ConfigName, state)
	n := c.node("127.0.0.1", freePort(t, "127.0.0.1"))
	began := time.Now()
	served, rejected := 0, 0
	for i := 0; rejected == 0 || i < 60; i++ {
		id := fmt.Sprint("alpha-", i)
		response := c.keyed(n, "/safe/x", id, "Token "+alphaKey)
		switch response.status {
		case http.StatusOK:
			served++
		case http.StatusTooManyRequests:
			rejected++
			after, err := strconv.ParseFloat(response.header.Get("Retry-After"), 64)
			assert.NilError(t, err)
			assert.Assert(t, after > 0)
			assert.Assert(t, b.headersOf(id) == nil, "a rejected request has run")
		default:
			t.Fatalf("%s: status %d", id, response.status)
		}
		assert.Equal(t, c.keyed(n, "/safe/x", fmt.Sprint("beta-", i), "Token "+betaKey).status, http.StatusOK)
	}
	// The settings allow nothing beyond rate and burst.
	limit := rate*time.Since(began).Seconds() + burst
	assert.Assert(t, float64(served*plainTokens) <= limit, "%d requests, %d tokens allowed", served, int(limit))
}
