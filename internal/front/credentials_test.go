package front_test

import (
	"encoding/hex"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/routes"
)

const (
	alphaKey = "alpha-secret-1"
	betaKey  = "beta-secret-2"
)

// putTeams writes a desired state with teams, the first of which may be without its key, and with a
// public route.
func (c *cluster) putTeams(version int, alphaKeys ...string) {
	state := maps.Clone(desired)
	state["version"] = version
	state["routes"] = append([]map[string]any{
		{"name": "open", "host": callerHost, "path_prefix": "/open/", "kind": "safe", "timeout_ms": 3000, "target_latency_ms": 100, "service": "plain", "max_attempts": 2, "public": true},
	}, desired["routes"].([]map[string]any)...)
	state["tenants"] = []map[string]any{
		{"name": "alpha", "api_keys": alphaKeys},
		{"name": "no good", "api_keys": []string{"gamma-secret-3"}},
		{"name": "beta", "api_keys": []string{betaKey, "", "shared-secret-4"}, "priority": 1},
		{"name": "delta", "api_keys": []string{"shared-secret-4"}},
	}
	c.put(platform.KindConfig, platform.ConfigName, state)
}

// keyed sends a request with the Authorization fields and returns the response.
func (c *cluster) keyed(n *node, path, id string, authorization ...string) response {
	req, err := http.NewRequestWithContext(c.t.Context(), http.MethodGet, "http://"+n.settings.CallerListen+path, nil)
	assert.NilError(c.t, err)
	req.Host = callerHost
	req.Header = http.Header{
		platform.HeaderRequestID: {id}, platform.HeaderDeadline: {"4000"}, platform.HeaderAuthorization: authorization, platform.HeaderTeam: {"forged"},
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	assert.NilError(c.t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(c.t, err)
	return response{status: resp.StatusCode, body: string(data), header: resp.Header}
}

// headersOf returns the headers of the server's request with the ID.
func (b *backendServer) headersOf(id string) http.Header {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.requests {
		if r.Header.Get(platform.HeaderRequestID) == id {
			return r.Header
		}
	}
	return nil
}

// Guards against a deployment without teams whose callers' own Authorization fields are dropped or
// refused, or whose nodes ask each other for confirmations.
func TestDeploymentWithoutTeamsPassesKeysOn(t *testing.T) {
	c := newCluster(t)
	b := c.backendServer("s1", "plain", text("done"))
	c.revocation = time.Second
	port, sent := datagramsAt(t, "127.0.0.2")
	n := c.node("127.0.0.1", port)
	for id, fields := range map[string][]string{"r1": {"Bearer own"}, "r2": {"Token own", "Basic own"}} {
		assert.Equal(t, c.keyed(n, "/safe/x", id, fields...).status, http.StatusOK)
		assert.DeepEqual(t, b.headersOf(id)[platform.HeaderAuthorization], fields)
		assert.DeepEqual(t, b.headersOf(id)[platform.HeaderTeam], []string{"forged"})
	}
	c.eventually(func() bool { return strings.Count(c.text(), "event=request ") == 2 })
	assert.Assert(t, !strings.Contains(c.text(), "team="))
	c.eventually(func() bool { return strings.Count(sent(), `{"n":`) > 5 })
	assert.Assert(t, !strings.Contains(sent(), "confirm"))
}

// datagramsAt returns a peer port, and a function that returns all datagrams that have arrived at it at
// the IP.
func datagramsAt(t *testing.T, ip string) (int, func() string) {
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip)})
	assert.NilError(t, err)
	t.Cleanup(func() { socket.Close() })
	var all strings.Builder
	buffer := make([]byte, 64<<10)
	return socket.LocalAddr().(*net.UDPAddr).Port, func() string {
		for {
			assert.NilError(t, socket.SetReadDeadline(time.Now().Add(time.Millisecond)))
			size, err := socket.Read(buffer)
			if err != nil {
				return all.String()
			}
			all.Write(buffer[:size])
		}
	}
}

// Guards against a caller that passes for another team, and against keys that leave the node: to a
// server, in logs, metrics or messages.
func TestTeamReachesServerAndKeyReachesNothing(t *testing.T) {
	c := newCluster(t)
	b := c.backendServer("s1", "plain", text("done"))
	c.putTeams(2, alphaKey)
	port, sent := datagramsAt(t, "127.0.0.2")
	n := c.node("127.0.0.1", port)
	for i, r := range []struct {
		path   string
		fields []string
		status int
		team   string
	}{
		{"/safe/x", []string{"Token " + alphaKey}, http.StatusOK, "alpha"},
		{"/unsafe/x", []string{"token " + betaKey}, http.StatusOK, "beta"},
		{"/open/x", []string{"Token " + betaKey}, http.StatusOK, "beta"},
		{"/open/x", []string{"Token unknown-secret-5"}, http.StatusOK, ""},
		{"/open/x", nil, http.StatusOK, ""},
		{"/safe/x", nil, http.StatusUnauthorized, ""},
		{"/safe/x?api_key=" + alphaKey, nil, http.StatusUnauthorized, ""},
		{"/safe/x", []string{"Token unknown-secret-5"}, http.StatusUnauthorized, ""},
		{"/safe/x", []string{"Token gamma-secret-3"}, http.StatusUnauthorized, ""},
		{"/safe/x", []string{"Token shared-secret-4"}, http.StatusUnauthorized, ""},
		{"/safe/x", []string{"Bearer " + alphaKey}, http.StatusUnauthorized, ""},
		{"/safe/x", []string{"Token "}, http.StatusUnauthorized, ""},
		{"/safe/x", []string{"Token " + alphaKey, "Token " + alphaKey}, http.StatusUnauthorized, ""},
	} {
		id := fmt.Sprint("r", i)
		got := c.keyed(n, r.path, id, r.fields...)
		assert.Equal(t, got.status, r.status, "%v", r)
		header := b.headersOf(id)
		assert.Equal(t, header != nil, r.status == http.StatusOK)
		assert.Equal(t, header.Get(platform.HeaderTeam), r.team)
		assert.Equal(t, len(header[platform.HeaderAuthorization]), 0)
		assert.Assert(t, !strings.Contains(fmt.Sprint(header), "secret"))
		if r.status == http.StatusUnauthorized {
			assert.Equal(t, got.header.Get("WWW-Authenticate"), "Token")
		}
	}
	c.eventually(func() bool {
		return strings.Count(c.text(), "event=request ") == 13 && strings.Contains(sent(), `"q":`)
	})
	assert.Assert(t, strings.Contains(c.text(), "team=alpha"))
	assert.Assert(t, strings.Contains(c.text(), "team 1: invalid name") && strings.Contains(c.text(), "teams 2 and 3 hold the same key"))
	resp, err := http.Get("http://" + n.settings.ControlListen + "/metrics")
	assert.NilError(t, err)
	defer resp.Body.Close()
	metrics, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(metrics), "redwingnotch_key_rejections_total{") && strings.Contains(string(metrics), `reason="key_unknown"`))
	for where, text := range map[string]string{"log": c.text(), "metrics": string(metrics), "messages": sent()} {
		hash := routes.HashKey(alphaKey)
		for _, secret := range []string{"secret", hex.EncodeToString(hash[:8])} {
			assert.Assert(t, !strings.Contains(text, secret), "%s: %s", where, text)
		}
	}
}

// Guards against a request that is sent once more after its key was removed: it gets 401 if no server
// has run it, else the response of a failed request.
func TestKeyRemovedBetweenAttemptsIsRefused(t *testing.T) {
	for name, want := range map[string]int{"not run": http.StatusUnauthorized, "maybe run": http.StatusBadGateway} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t)
			c.putTeams(2, alphaKey)
			c.revocation = 5 * time.Second
			first := func(w http.ResponseWriter, _ *http.Request) {
				c.putTeams(3)
				c.eventually(func() bool { return strings.Contains(c.text(), "event=desired_state version=3") })
				if want == http.StatusBadGateway {
					panic(http.ErrAbortHandler)
				}
				w.Header().Set(platform.HeaderNotRun, "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			servers := []*backendServer{c.backendServer("s1", "plain", first), c.backendServer("s2", "plain", first)}
			n := c.node("127.0.0.1", 0)
			assert.Equal(t, c.keyed(n, "/safe/x", "r1", "Token "+alphaKey).status, want)
			assert.Equal(t, servers[0].count()+servers[1].count(), 1)
			c.eventually(func() bool { return strings.Contains(c.text(), "reason=key_removed") })
		})
	}
}

// Guards against a node that accepts keys although it can't confirm them, that callers are sent to
// meanwhile, or that serves nothing at all; and against one that does not recover.
func TestPublicRouteIsServedWhileKeysAreStale(t *testing.T) {
	c := newCluster(t)
	c.backendServer("s1", "plain", text("done"))
	c.putTeams(2, alphaKey)
	c.revocation = 5 * time.Second
	n := c.node("127.0.0.1", 0)
	addresses := "http://" + n.settings.ResolveListen + platform.PathResolve
	ready := "http://" + n.settings.ReadyListen + platform.PathReadiness
	c.store.Faults.SetDelay(time.Hour)
	c.eventually(func() bool { return c.status(ready) == http.StatusServiceUnavailable })
	refused := c.keyed(n, "/safe/x", "r1", "Token "+alphaKey)
	assert.Equal(t, refused.status, http.StatusServiceUnavailable)
	assert.Equal(t, refused.header.Get("Retry-After"), "0.500")
	assert.Equal(t, c.keyed(n, "/safe/x", "r2").status, http.StatusServiceUnavailable)
	assert.Equal(t, c.keyed(n, "/open/x", "r3", "Token "+alphaKey).status, http.StatusOK)
	assert.Equal(t, c.status(addresses), http.StatusServiceUnavailable)
	c.store.Faults.SetDelay(0)
	c.eventually(func() bool { return c.status(ready) == http.StatusOK })
	assert.Equal(t, c.keyed(n, "/safe/x", "r4", "Token "+alphaKey).status, http.StatusOK)
	c.eventually(func() bool {
		return strings.Contains(c.text(), "event=keys_stale") && strings.Contains(c.text(), "event=keys_confirmed")
	})
}

// Guards against a fleet in which only the node that watches the desired state confirms keys, and
// against one whose nodes each read the store for it.
func TestNodesConfirmKeysByQueries(t *testing.T) {
	c := newCluster(t)
	c.backendServer("s1", "plain", text("done"))
	c.putTeams(2, alphaKey)
	c.revocation = 5 * time.Second
	port := freePort(t, "127.0.0.1")
	nodes := []*node{c.node("127.0.0.2", port), c.node("127.0.0.3", port), c.node("127.0.0.4", port)}
	c.connected(len(nodes))
	for began := time.Now(); time.Since(began) < c.revocation; time.Sleep(100 * time.Millisecond) {
		for _, n := range nodes {
			assert.Equal(t, c.keyed(n, "/safe/x", "r", "Token "+alphaKey).status, http.StatusOK)
		}
	}
	c.putTeams(3)
	for _, n := range nodes {
		c.eventually(func() bool {
			return c.keyed(n, "/safe/x", "r", "Token "+alphaKey).status == http.StatusUnauthorized
		})
	}
	assert.Equal(t, strings.Count(c.text(), "event=keys_stale"), 0)
}
