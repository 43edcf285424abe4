package front

import (
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/internal/telemetry"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/routes"
)

// limited is a team whose bucket does not fill within a test.
var limited = routes.Team{Name: "limited", Rate: 0.001, Burst: 100_000, PlainTokens: 300}

// allowanceNode returns a node that has been running for a while, with its socket, and the team. It
// has no periodic work but receives messages.
func allowanceNode(t *testing.T, ip string, port int) *Node {
	metrics, err := telemetry.NewMetrics()
	assert.NilError(t, err)
	bounds := platform.Bounds{QuotaWindow: 8 * time.Second, QuotaOverage: 0.1, QuotaSlack: 10_000}
	n := New(platform.Settings{Node: ip, IP: ip, Zone: "z", Zones: []string{"z"}, PeerPort: port, Bounds: bounds}, log.NewNopLogger(), metrics)
	n.peers.startedAt = bootclock.Now().Add(-time.Minute)
	n.allowances = newAllowances(n.peers.startedAt, n.settings, n.nextKey, n.log, n.metrics)
	n.desired.Store(&routes.Table{Version: 1, Teams: []routes.Team{limited}})
	n.refusalsKnown.Store(true)
	n.peers.socket, err = listenPeers(n.settings)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = n.peers.socket.Close() })
	go n.receive(t.Context()) //nolint:errcheck // ends with the socket
	return n
}

// meet lets the nodes know each other and does their periodic work for allowances, until the test
// ends. It returns once the team is held.
func meet(t *testing.T, nodes ...*Node) {
	round := func(sequence uint64) {
		for _, n := range nodes {
			for _, other := range nodes {
				n.received(message{Node: other.settings.IP, IP: other.settings.IP, Zone: "z", Incarnation: other.peers.incarnation, Sequence: sequence, SentMS: 60_000, Ready: true})
			}
			n.mu.Lock()
			n.tickAllowances(bootclock.Now())
			n.mu.Unlock()
		}
	}
	round(1)
	go func() {
		for sequence := uint64(2); t.Context().Err() == nil; sequence++ {
			time.Sleep(tickInterval)
			round(sequence)
		}
	}()
	untilStatus(t, nodes[0], "1,0", 1, http.StatusOK)
}

// untilStatus sends requests until one gets the status. Tokens that a node keeps for requests to
// come are back at the holder after a second.
func untilStatus(t *testing.T, n *Node, counts string, ran, status int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if request(t, n, &limited, counts, ran).StatusCode == status {
			return poll.Success()
		}
		return poll.Continue("another status")
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
}

// request sends a request of the team to the node with the token counts, and returns the response.
// ran is how many servers ran the request.
func request(t *testing.T, n *Node, team *routes.Team, counts string, ran int) *http.Response {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{node: n, w: w, r: r, team: team, route: &routes.Route{}, arrived: bootclock.Now(), deadline: bootclock.Now().Add(10 * time.Second), runs: ran}
		x.params, _ = platform.ParseRequestParams(r.Header)
		if x.takeAllowance() {
			x.writeEmpty(http.StatusOK)
		}
		x.returnAllowance()
	}))
	defer server.Close()
	req, err := http.NewRequest(http.MethodPost, server.URL, nil)
	assert.NilError(t, err)
	req.Header.Set(platform.HeaderRequestID, "r1")
	if counts != "" {
		req.Header.Set(platform.HeaderTokenCounts, counts)
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return resp
}

// TestAllowanceIsSharedByNodes guards against nodes that each admit the allowance, against 429 without
// the time at which there is room, and against tokens of requests that did not run and are lost.
func TestAllowanceIsSharedByNodes(t *testing.T) {
	port := freeUDPPort(t)
	a, b := allowanceNode(t, "127.0.9.1", port), allowanceNode(t, "127.0.9.2", port)
	meet(t, a, b)
	// The bucket of a new holder is an eighth of the margin, 0.1 x 100,000 + 10,000, and that is
	// of its part of the fleet: half, as it has not reached the other node for long.
	for range 2 {
		untilStatus(t, a, "", 1, http.StatusOK)
		untilStatus(t, b, "100,200", 1, http.StatusOK)
	}
	for range 10 {
		untilStatus(t, a, "20,25", 0, http.StatusOK) // no server ran it
	}
	untilStatus(t, b, "10,1", 1, http.StatusTooManyRequests)
	resp := request(t, b, &limited, "", 1)
	assert.Equal(t, resp.StatusCode, http.StatusTooManyRequests)
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, seconds > 1 && seconds <= 60, "%v", seconds)
	unlimited := routes.Team{Name: "unlimited"}
	assert.Equal(t, request(t, b, &unlimited, "1000000,1", 1).StatusCode, http.StatusOK)
	assert.Equal(t, request(t, b, nil, "1000000,1", 1).StatusCode, http.StatusOK)
}

// TestSilentHolderIsNotWaitedFor guards against requests that wait for a holder that is gone, and
// against a holder's bucket that any process on the network can empty.
func TestSilentHolderIsNotWaitedFor(t *testing.T) {
	port := freeUDPPort(t)
	a, b := allowanceNode(t, "127.0.9.3", port), allowanceNode(t, "127.0.9.4", port)
	meet(t, a, b)
	a.allowances.mu.Lock()
	isHolder := a.allowances.node.HolderOf(limited.Name) == a.settings.IP
	a.allowances.mu.Unlock()
	if isHolder {
		a, b = b, a
	}
	stranger, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP("127.0.9.5")})
	assert.NilError(t, err)
	defer stranger.Close()
	for _, ip := range []string{"127.0.9.5", a.settings.IP} {
		for _, m := range []string{`{"q":{"k":9000000000000000000,"t":"limited","n":[1250]}}`, `{"h":{"t":"limited","v":-100000}}`, `{"q":{"n":[NaN]}}`, `{"w":{}}`, `{"q":{"n":[1e300]}}`} {
			datagram := fmt.Sprintf(`{"allowance":{"a":%q,%s}`, ip, m[1:])
			_, err := stranger.WriteToUDP([]byte(datagram), &net.UDPAddr{IP: net.ParseIP(b.settings.IP), Port: port})
			assert.NilError(t, err)
			b.receiveAllowance(net.ParseIP("127.0.9.5"), []byte(datagram))
		}
	}
	assert.Equal(t, request(t, a, &limited, "600,600", 1).StatusCode, http.StatusOK) // nearly all that the bucket has
	assert.NilError(t, b.peers.socket.Close())
	assert.Equal(t, request(t, a, &limited, "", 1).StatusCode, http.StatusTooManyRequests)
	a.allowances.mu.Lock()
	defer a.allowances.mu.Unlock()
	_, silent := a.allowances.node.Silent(bootclock.Now(), limited.Name)
	assert.Assert(t, silent)
}

// TestAllowanceViewLeavesNodesOut guards against teams that are held by nodes that do not serve, do not
// know the fleet yet, or are silent.
func TestAllowanceViewLeavesNodesOut(t *testing.T) {
	n, now := allowanceNode(t, "127.0.9.6", freeUDPPort(t)), bootclock.Now()
	receive := func(ip string, ago time.Duration, change func(*message)) {
		m := message{Node: ip, IP: ip, Zone: "z", Incarnation: 1, Sequence: 1, SentMS: 60_000, Ready: true}
		change(&m)
		n.receivedAt(now.Add(-ago), m)
	}
	receive("127.0.9.10", 0, func(*message) {})
	receive("127.0.9.11", 0, func(m *message) { m.Ready = false })
	receive("127.0.9.12", 0, func(m *message) { m.Stopping = true })
	receive("127.0.9.13", 0, func(m *message) { m.SentMS = 100 })
	receive("127.0.9.14", 1100*time.Millisecond, func(*message) {})
	// A node whose messages are late, but which has said since that it is alive.
	receive("127.0.9.15", 1100*time.Millisecond, func(m *message) { m.Ready = false })
	n.allowances.mu.Lock()
	n.allowances.known = map[string]bool{"127.0.9.15": true}
	n.allowances.mu.Unlock()
	assert.Assert(t, n.receiveAllowance(net.ParseIP("127.0.9.15"), []byte(`{"allowance":{"a":"127.0.9.15"}}`)))
	assert.Assert(t, n.receiveAllowance(net.ParseIP("127.0.9.16"), []byte(`{"allowance":{"a":"127.0.9.16"}}`)))
	n.mu.Lock()
	defer n.mu.Unlock()
	view, known := n.fleetView(now)
	assert.DeepEqual(t, view.Candidates, []string{"127.0.9.10", "127.0.9.6"})
	assert.DeepEqual(t, slices.Sorted(maps.Keys(view.Reached)), []string{"127.0.9.10", "127.0.9.11", "127.0.9.12", "127.0.9.13", "127.0.9.15"})
	assert.Assert(t, view.Reached["127.0.9.13"].Young && !view.Reached["127.0.9.10"].Young)
	assert.Equal(t, len(known), 6)
	assert.DeepEqual(t, holderCandidates([]holderCandidate{{"a", false, true}, {"b", false, false}, {"c", false, false}, {"d", false, false}}), []string{"b", "c", "d"})
}

// freeUDPPort returns a UDP port that is free at the moment.
func freeUDPPort(t *testing.T) int {
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP("127.0.9.9")})
	assert.NilError(t, err)
	defer socket.Close()
	return socket.LocalAddr().(*net.UDPAddr).Port
}
