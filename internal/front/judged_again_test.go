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
func (c *cluster) putLimitedTeams(version int, keys map[string][]string) {
	state := maps.Clone(desired)
	state["version"] = version
	state["routes"] = append([]map[string]any{
		{"name": "open", "host": callerHost, "path_prefix": "/open/", "kind": "safe", "timeout_ms": 3000, "target_latency_ms": 100, "service": "plain", "max_attempts": 2, "public": true},
	}, desired["routes"].([]map[string]any)...)
	var teams []map[string]any
	for name, keys := range keys {
		team := map[string]any{"name": name, "api_keys": keys, "unit": "token_count", "plain_tokens": 100}
		if name != "beta" {
			team["rate_per_s"], team["burst"] = 20_000, 60_000
		}
		teams = append(teams, team)
	}
	state["tenants"] = teams
	c.put(platform.KindConfig, platform.ConfigName, state)
	c.eventually(func() bool {
		return len(c.nodes) == 0 || strings.Contains(c.text(), fmt.Sprintf("event=desired_state version=%d", version))
	})
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

// gammaKey is the key of a third team.
const gammaKey = "gamma-secret-4"

// teamKeys returns the keys of the teams before they change.
func teamKeys() map[string][]string {
	return map[string][]string{"alpha": {alphaKey}, "beta": {betaKey}, "gamma": {gammaKey}}
}

// sendUntilAdmitted sends a request until its team's allowance has room, which takes a while at a node that
// has just started.
func (c *cluster) sendUntilAdmitted(n *node, path, id, key string) response {
	for {
		r := c.callWith(c.t.Context(), n, http.MethodGet, path, id, platform.HeaderAuthorization, "Token "+key)
		if r.status != http.StatusTooManyRequests {
			return r
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// judgeWhileWaiting sends a request of alpha that has paid for its tokens and waits for a server until
// while returns. It returns the node and the response.
func (c *cluster) judgeWhileWaiting(path string, answer func(http.ResponseWriter), while func(*node)) (*node, response) {
	c.slots, c.revocation = 1, 2*time.Second
	release := make(chan struct{})
	b := c.backendServer("s1", "plain", func(w http.ResponseWriter, r *http.Request) {
		switch r.Header.Get(platform.HeaderRequestID) {
		case "first":
			<-release
		case "waits":
			answer(w)
		}
	})
	c.putLimitedTeams(2, teamKeys())
	n := c.node("127.0.0.1", 0)
	for _, key := range []string{alphaKey, gammaKey} {
		assert.Equal(c.t, c.sendUntilAdmitted(n, "/safe/x", "earlier", key).status, http.StatusOK)
	}
	earlier := c.allowanceTokens(n, "alpha", "granted")
	first, waits := make(chan response, 1), make(chan response, 1)
	go func() { first <- c.sendUntilAdmitted(n, "/safe/x", "first", betaKey) }()
	c.eventually(func() bool { return b.count() == 3 })
	go func() { waits <- c.sendUntilAdmitted(n, path, "waits", alphaKey) }()
	c.eventually(func() bool { return c.allowanceTokens(n, "alpha", "granted") > earlier })
	while(n)
	close(release)
	assert.Equal(c.t, (<-first).status, http.StatusOK)
	return n, <-waits
}

// TestWaitingRequestWhoseKeyIsJudgedAgainIsAnswered guards against a request that waits for a server,
// has paid for its tokens, and ends with a closed connection instead of a response: its key is checked
// once more before it is sent, and the second check names no team.
func TestWaitingRequestWhoseKeyIsJudgedAgainIsAnswered(t *testing.T) {
	for name, tc := range map[string]struct {
		path         string
		newerVersion int  // of which the node hears
		unconfirmed  bool // instead of the removal, the store is away
		status       int
		reason       string
	}{
		"removed":                   {path: "/safe/x", status: http.StatusUnauthorized, reason: "key_removed"},
		"newer version known":       {path: "/safe/x", newerVersion: 9, status: http.StatusServiceUnavailable, reason: "keys_behind"},
		"state unconfirmed":         {path: "/safe/x", unconfirmed: true, status: http.StatusServiceUnavailable, reason: "keys_stale"},
		"removed on a public route": {path: "/open/x", status: http.StatusServiceUnavailable, reason: "server_full"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			notRun := func(w http.ResponseWriter) {
				w.Header().Set(platform.HeaderNotRun, "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			n, got := c.judgeWhileWaiting(tc.path, notRun, func(n *node) {
				if tc.unconfirmed {
					c.store.Faults.SetDelay(time.Hour)
					c.eventually(func() bool { return strings.Contains(c.text(), "event=keys_stale") })
					return
				}
				keys := teamKeys()
				delete(keys, "alpha")
				c.putLimitedTeams(3, keys)
				if tc.newerVersion > 0 {
					c.noteVersion(n, tc.newerVersion)
				}
			})
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, tc.status)
			c.eventually(func() bool {
				return strings.Contains(c.text(), fmt.Sprintf("status=%d reason=%s ", tc.status, tc.reason))
			})
			assert.Equal(t, c.allowanceTokens(n, "alpha", "returned"), 100)
		})
	}
}

// TestWaitingRequestIsPaidByTeamOfItsKey guards against a request that runs for a team whose allowance
// it was not taken from, and against tokens returned to that team: the key becomes another team's while
// the request waits for a server.
func TestWaitingRequestIsPaidByTeamOfItsKey(t *testing.T) {
	c := newCluster(t)
	before := 0
	n, got := c.judgeWhileWaiting("/safe/x", func(http.ResponseWriter) {}, func(n *node) {
		before = c.allowanceTokens(n, "gamma", "granted")
		c.putLimitedTeams(3, map[string][]string{"alpha": {"alpha-secret-5"}, "beta": {betaKey}, "gamma": {gammaKey, alphaKey}})
	})
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, c.backends["s1"].headersOf("waits").Get(platform.HeaderTeam), "gamma")
	assert.Equal(t, c.allowanceTokens(n, "alpha", "returned"), 100)
	assert.Equal(t, c.allowanceTokens(n, "gamma", "granted"), before+100)
}
