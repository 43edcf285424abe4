package front_test

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/platform"
)

// putLimitedTeams writes a desired state with a public route and with the teams that the keys name, all
// but beta with an allowance.
func (c *cluster) putLimitedTeams(version int, keys map[string]string) {
	state := maps.Clone(desired)
	state["version"] = version
	state["routes"] = append([]map[string]any{
		{"name": "open", "host": callerHost, "path_prefix": "/open/", "kind": "safe", "timeout_ms": 3000, "target_latency_ms": 100, "service": "plain", "max_attempts": 2, "public": true},
	}, desired["routes"].([]map[string]any)...)
	var teams []map[string]any
	for key, name := range keys {
		team := map[string]any{"name": name, "api_keys": []string{key}, "unit": "token_count", "plain_tokens": 100}
		if name != "beta" {
			team["rate_per_s"], team["burst"] = 20_000, 60_000
		}
		teams = append(teams, team)
	}
	state["tenants"] = teams
	c.put(platform.KindConfig, platform.ConfigName, state)
}

// allowanceTokens returns how many tokens of the team the node's metrics count with the result.
func (c *cluster) allowanceTokens(n *node, team, result string) (total int) {
	resp, err := http.Get("http://" + n.settings.ControlListen + "/metrics")
	assert.NilError(c.t, err)
	defer resp.Body.Close()
	metrics, err := io.ReadAll(resp.Body)
	assert.NilError(c.t, err)
	for line := range strings.Lines(string(metrics)) {
		if strings.HasPrefix(line, "redwingnotch_allowance_tokens") && strings.Contains(line, fmt.Sprintf("team=%q", team)) && strings.Contains(line, fmt.Sprintf("result=%q", result)) {
			var tokens float64
			_, err := fmt.Sscan(line[strings.LastIndex(line, " ")+1:], &tokens)
			assert.NilError(c.t, err)
			total += int(tokens)
		}
	}
	return total
}

// noteVersion lets the node hear from another one that a version of the desired state is in force.
func (c *cluster) noteVersion(n *node, version int) {
	conn, err := net.Dial("udp4", net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.PeerPort)))
	assert.NilError(c.t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, `{"n":"other","a":"127.0.0.9","r":1,"q":1,"d":%d}`, version)
	assert.NilError(c.t, err)
	c.eventually(func() bool { return strings.Contains(c.text(), "event=peer peer=other") })
}

// TestWaitingRequestWhoseKeyIsJudgedAgainIsAnswered guards against a request that waits for a server,
// has paid for its tokens, and ends with a closed connection instead of a response: its key is checked
// once more before it is sent, and the second check names no team.
func TestWaitingRequestWhoseKeyIsJudgedAgainIsAnswered(t *testing.T) {
	const paid = 100
	withAlpha, without := map[string]string{alphaKey: "alpha", betaKey: "beta"}, map[string]string{betaKey: "beta"}
	removed := func(c *cluster, _ *node) {
		c.putLimitedTeams(3, without)
		c.eventually(func() bool { return strings.Contains(c.text(), "event=desired_state version=3") })
	}
	for name, tc := range map[string]struct {
		path   string
		while  func(*cluster, *node) // what happens while the request waits
		status int
		reason string
	}{
		"removed": {"/safe/x", removed, http.StatusUnauthorized, "key_removed"},
		"newer version known": {"/safe/x", func(c *cluster, n *node) {
			removed(c, n)
			c.noteVersion(n, 9)
		}, http.StatusServiceUnavailable, "keys_behind"},
		"state unconfirmed": {"/safe/x", func(c *cluster, n *node) {
			c.store.Faults.SetDelay(time.Hour)
			c.eventually(func() bool { return strings.Contains(c.text(), "event=keys_stale") })
		}, http.StatusServiceUnavailable, "keys_stale"},
		"removed on a public route": {"/open/x", removed, http.StatusServiceUnavailable, "server_full"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			c.slots, c.revocation = 1, 2*time.Second
			release := make(chan struct{})
			b := c.backendServer("s1", "plain", func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get(platform.HeaderRequestID) == "first" {
					<-release
				}
				if r.Header.Get(platform.HeaderRequestID) == "waits" {
					w.Header().Set(platform.HeaderNotRun, "1")
					w.WriteHeader(http.StatusServiceUnavailable)
				}
			})
			c.putLimitedTeams(2, withAlpha)
			n := c.node("127.0.0.1", 0)
			send := func(path, id, key string) response { // until the allowance of a node that has just started has room
				for {
					r := c.callWith(t.Context(), n, http.MethodGet, path, id, platform.HeaderAuthorization, "Token "+key)
					if r.status != http.StatusTooManyRequests {
						return r
					}
					time.Sleep(10 * time.Millisecond)
				}
			}
			assert.Equal(t, send("/safe/x", "earlier", alphaKey).status, http.StatusOK)
			earlier := c.allowanceTokens(n, "alpha", "granted")
			first, waits := make(chan response, 1), make(chan response, 1)
			go func() { first <- send("/safe/x", "first", betaKey) }()
			c.eventually(func() bool { return b.count() == 2 })
			go func() { waits <- send(tc.path, "waits", alphaKey) }()
			c.eventually(func() bool { return c.allowanceTokens(n, "alpha", "granted") == earlier+paid })
			tc.while(c, n)
			close(release)
			assert.Equal(t, (<-first).status, http.StatusOK)
			got := <-waits
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, tc.status)
			c.eventually(func() bool {
				return strings.Contains(c.text(), fmt.Sprintf("status=%d reason=%s ", tc.status, tc.reason))
			})
			assert.Equal(t, c.allowanceTokens(n, "alpha", "returned"), paid)
		})
	}
}
