package front_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/redwingnotch/redwingnotch/internal/front"
	"github.com/redwingnotch/redwingnotch/internal/httpsend"
	"github.com/redwingnotch/redwingnotch/internal/telemetry"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/standin/objectapi"
)

// backendServer is a backend server whose responses the test's handler writes.
type backendServer struct {
	id       string
	server   *httptest.Server
	mu       sync.Mutex
	requests []*http.Request
	bodies   []string
	handler  func(w http.ResponseWriter, r *http.Request)
	born     int64  // start that its entry names, Unix milliseconds
	restarts int64  // starts since its entry was written, which it reports and its entry does not
	reported func() // called after each report; may be nil
	software string
}

func (b *backendServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/-/report" {
		b.mu.Lock()
		reported := b.reported
		fmt.Fprintf(w, `{"born":%d}`, b.born+b.restarts) // without the rest, so that no loader sends it orders
		b.mu.Unlock()
		if reported != nil {
			reported()
		}
		return
	}
	body, _ := io.ReadAll(r.Body) // the tests compare the bodies, which shows a truncated one
	b.mu.Lock()
	b.requests = append(b.requests, r)
	b.bodies = append(b.bodies, string(body))
	handler := b.handler
	b.mu.Unlock()
	w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
	w.Header().Set(platform.HeaderStamp, "stamp-"+b.id)
	handler(w, r)
}

func (b *backendServer) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.requests)
}

// restart lets the server go on as a later start under its ID and address, which its entry does not
// tell yet.
func (b *backendServer) restart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.restarts++
}

// text returns a handler that responds with the text.
func text(s string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, s) }
}

// closeConnection is a handler that closes the connection without a response.
func closeConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// cluster is a store, backend servers and entry nodes on loopback addresses.
type cluster struct {
	t        *testing.T
	store    *objectapi.API
	address  string // address of the store
	backends map[string]*backendServer
	nodes    map[string]*node
	logs     *bytes.Buffer
	logsMu   sync.Mutex

	metricsAddr string        // metrics address of nodes started from now on
	gracePeriod time.Duration // grace period of nodes started from now on
	slots       int           // slots of servers registered from now on
	revocation  time.Duration // with it, nodes started from now on accept no key that may be outdated; zero if they do
}

// Write implements io.Writer for the nodes' logs.
func (c *cluster) Write(p []byte) (int, error) {
	c.logsMu.Lock()
	defer c.logsMu.Unlock()
	return c.logs.Write(p)
}

// node is a running entry node.
type node struct {
	settings platform.Settings
	stop     context.CancelFunc
	done     chan error // receives the result of Run
}

const callerHost = "h.example"

var desired = map[string]any{
	"version": 1,
	"routes": []map[string]any{
		{"name": "unsafe", "host": callerHost, "path_prefix": "/unsafe/", "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 100, "service": "plain", "max_attempts": 1},
		{"name": "safe", "host": callerHost, "path_prefix": "/safe/", "kind": "safe", "timeout_ms": 3000, "target_latency_ms": 100, "service": "plain", "max_attempts": 2},
		{"name": "chat", "host": callerHost, "path_prefix": "/chat/", "kind": "streaming", "timeout_ms": 9000, "target_latency_ms": 400, "target_gap_ms": 400, "service": "llm", "max_attempts": 1},
		{"name": "proof", "host": callerHost, "path_prefix": "/proof/", "kind": "streaming", "timeout_ms": 9000, "target_latency_ms": 5000, "target_gap_ms": 400, "service": "llm", "max_attempts": 2, "resumable": true},
	},
	"services": []map[string]any{
		{"name": "plain"},
		{"name": "llm", "engine": map[string]any{"slots": 4, "weights_mb": 100, "adapter_slots": 2, "loads_per_s": 5,
			"models": []map[string]any{{"name": "m", "weights_mb": 40, "load_time_s": 30, "disk_load_s": 1, "warm_s": 0.4}, {"name": "cold", "weights_mb": 40, "load_time_s": 30, "disk_load_s": 30, "warm_s": 30}}}},
	},
	"limits": map[string]any{"max_body_bytes": 1 << 20},
}

func newCluster(t *testing.T) *cluster {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	c := &cluster{t: t, store: objectapi.New(), address: l.Addr().String(), backends: map[string]*backendServer{}, nodes: map[string]*node{}, logs: &bytes.Buffer{}, gracePeriod: 8 * time.Second, slots: 4}
	assert.NilError(t, c.store.Serve(l))
	t.Cleanup(func() {
		for _, n := range c.nodes {
			n.stop()
		}
		c.store.Close()
		for _, b := range c.backends {
			b.server.CloseClientConnections()
			b.server.Close()
		}
		if t.Failed() {
			c.logsMu.Lock()
			defer c.logsMu.Unlock()
			t.Log(c.logs.String())
		}
	})
	c.put(platform.KindConfig, platform.ConfigName, desired)
	return c
}

// put writes a store object, whether it exists or not.
func (c *cluster) put(kind platform.Kind, name string, value any) {
	data, err := json.Marshal(value)
	assert.NilError(c.t, err)
	version := uint64(0)
	if old, err := c.store.Get(c.t.Context(), kind, name); err == nil {
		version = old.Version
	}
	_, err = c.store.Put(c.t.Context(), kind, name, data, version, "operator")
	assert.NilError(c.t, err)
}

// backendServer starts a backend server and registers it as ready.
func (c *cluster) backendServer(id, service string, handler func(http.ResponseWriter, *http.Request)) *backendServer {
	b := &backendServer{id: id, handler: handler, born: 1700000000000, software: "v1"}
	b.server = httptest.NewServer(b)
	c.backends[id] = b
	c.register(b, service, "ready")
	return b
}

// register writes the server's entry to the store.
func (c *cluster) register(b *backendServer, service, state string) {
	c.put(platform.KindServers, b.id, map[string]any{
		"service": service, "address": strings.TrimPrefix(b.server.URL, "http://"), "zone": "z1", "slots": c.slots, "state": state,
		"models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "born": b.born, "version": b.software,
	})
}

// unregister removes the server's entry from the store, as the platform does once the
// server is silent.
func (c *cluster) unregister(id string) {
	entry, err := c.store.Get(c.t.Context(), platform.KindServers, id)
	assert.NilError(c.t, err)
	assert.NilError(c.t, c.store.Delete(c.t.Context(), platform.KindServers, id, entry.Version))
}

// freePort returns a TCP port of the IP that is free at the moment.
func freePort(t *testing.T, ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// maxStarts limits how often a node is started again with other ports, in case
// another process has taken one meanwhile.
const maxStarts = 5

// node starts a node at a loopback IP and waits until it is ready and knows all
// servers. Peer port zero selects a free one.
func (c *cluster) node(ip string, peerPort int) *node {
	for range maxStarts {
		n := c.startNode(ip, peerPort)
		var err error
		c.eventually(func() bool {
			select {
			case err = <-n.done:
				return true
			default:
				return c.status("http://"+n.settings.ReadyListen+platform.PathReadiness) == http.StatusOK
			}
		})
		if err == nil {
			c.eventually(func() bool { return strings.Count(c.text(), "event=server ") >= len(c.backends) })
			return n
		}
		c.t.Log(err)
		assert.ErrorIs(c.t, err, syscall.EADDRINUSE)
	}
	c.t.Fatal("no free ports")
	return nil
}

// settings returns the settings of a node at a loopback IP. Peer port zero selects a free one.
func (c *cluster) settings(ip string, peerPort int) platform.Settings {
	if peerPort == 0 {
		peerPort = freePort(c.t, ip)
	}
	at := func() string { return net.JoinHostPort(ip, strconv.Itoa(freePort(c.t, ip))) }
	return platform.Settings{
		Node: "node-" + ip, IP: ip, Zone: "z1", Region: "r", Zones: []string{"z1"}, CallerListen: at(), ControlListen: at(), ReadyListen: at(), ResolveListen: at(),
		PeerPort: peerPort, Seeds: []string{"127.0.0.2:1"}, FirstStart: true, StoreAddress: c.address, HeartbeatInterval: 1200 * time.Millisecond,
		Bounds: platform.Bounds{GracePeriod: c.gracePeriod, ConfigApplyTimeout: 2 * time.Second, ContactTimeout: contactTimeout, DrainTimeout: 2 * time.Second, RetryBudgetRatio: 0.2, RetryBudgetSlack: 58, OrderLease: 3 * time.Second, MaxTTL: 5 * time.Second,
			FailClosed: c.revocation > 0, RevocationTimeout: max(c.revocation, time.Second)},
	}
}

// startNode starts a node without waiting for it.
func (c *cluster) startNode(ip string, peerPort int) *node {
	n := &node{done: make(chan error, 1), settings: c.settings(ip, peerPort)}
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	metrics, err := telemetry.NewMetrics()
	assert.NilError(c.t, err)
	node := front.New(n.settings, log.NewLogfmtLogger(c), metrics)
	node.ServeMetricsAt(c.metricsAddr)
	go func() { n.done <- node.Run(ctx) }()
	c.nodes[ip] = n
	return n
}

// text returns what the nodes have logged.
func (c *cluster) text() string {
	c.logsMu.Lock()
	defer c.logsMu.Unlock()
	return c.logs.String()
}

// eventually waits until ok returns true.
func (c *cluster) eventually(ok func() bool) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("not yet")
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
}

// status returns the status of a GET request, zero if there is no response.
func (c *cluster) status(url string) int {
	resp, err := http.Get(url)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// response is what a caller received.
type response struct {
	status    int
	body      string
	header    http.Header
	framing   httpsend.Framing
	truncated bool // the body ended early
	err       error
}

func (c *cluster) call(n *node, method, path, id string, header ...string) response {
	return c.callWith(c.t.Context(), n, method, path, id, header...)
}

func (c *cluster) callWith(ctx context.Context, n *node, method, path, id string, header ...string) response {
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("body of " + id)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.settings.CallerListen+path, body)
	assert.NilError(c.t, err)
	req.Host = callerHost
	req.Header.Set(platform.HeaderRequestID, id)
	req.Header.Set(platform.HeaderDeadline, "4000")
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return do(req)
}

// do sends the request on a connection of its own and returns the response.
func do(req *http.Request) response {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, body: string(data), header: resp.Header, framing: httpsend.FramingOf(resp), truncated: err != nil}
}
