package node_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/internal/httpsend"
	"github.com/redwingnotch/redwingnotch/internal/node"
	"github.com/redwingnotch/redwingnotch/internal/telemetry"
	"github.com/redwingnotch/redwingnotch/membership"
	"github.com/redwingnotch/redwingnotch/release"
	"github.com/redwingnotch/redwingnotch/standin/engine"
	"github.com/redwingnotch/redwingnotch/standin/fault"
	"github.com/redwingnotch/redwingnotch/standin/objectapi"
	"github.com/redwingnotch/redwingnotch/standin/pipenet"
	"github.com/redwingnotch/redwingnotch/standin/weightstore"
)

// gossipNetwork passes datagrams between the nodes of one process.
type gossipNetwork struct {
	mu       sync.Mutex
	ports    map[string]chan []byte
	isolated map[string]bool // datagrams between an address that is in it and one that is not are dropped
}

// setIsolated replaces the set of isolated addresses.
func (g *gossipNetwork) setIsolated(addresses map[string]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isolated = addresses
}

type gossipPort struct {
	network *gossipNetwork
	address string
	in      chan []byte
}

func (g *gossipNetwork) port(address string) *gossipPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := &gossipPort{network: g, address: address, in: make(chan []byte, 256)}
	g.ports[address] = p.in
	return p
}

// Send implements node.Gossip. Datagrams to a full or absent port are dropped.
func (p *gossipPort) Send(packets []membership.Datagram) error {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	for _, packet := range packets {
		if p.network.isolated[p.address] != p.network.isolated[packet.Addr] {
			continue
		}
		select {
		case p.network.ports[packet.Addr] <- packet.Data:
		default:
		}
	}
	return nil
}

// Run implements node.Gossip.
func (p *gossipPort) Run(ctx context.Context, handle func([]byte)) error {
	for {
		select {
		case data := <-p.in:
			handle(data)
		case <-ctx.Done():
			return nil
		}
	}
}

// network connects the processes of a deployment.
type network interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, network, address string) (net.Conn, error)
}

// deployment consists of several nodes and stand-ins in one process. Tests run it in
// virtual time.
type deployment struct {
	t       testing.TB
	network network
	gossip  *gossipNetwork
	api     *objectapi.API
	nodes   map[string]*runningNode
	client  *http.Client
	closers []func() // functions that close the stand-ins
	stats   *engine.FleetStats
	weights *weightstore.Store
	slots   int

	tokenTime       time.Duration
	maxConnections  int // of callers at each node; zero for the default
	shutdownTimeout time.Duration
	peerFaults      fault.Injector // faults of connections between nodes

	logLevel string
}

type runningNode struct {
	*node.Node
	stop context.CancelFunc
	err  chan error
}

func newDeployment(t *testing.T) *deployment { return newDeploymentOn(t, pipenet.New()) }

func newDeploymentOn(t testing.TB, n network) *deployment {
	d := &deployment{
		t:         t,
		network:   n,
		logLevel:  "debug",
		stats:     engine.NewFleetStats(),
		weights:   weightstore.New(weightstore.Options{}),
		tokenTime: tokenTime,
		slots:     4,
		gossip:    &gossipNetwork{ports: make(map[string]chan []byte)},
		api:       objectapi.New(),
		nodes:     make(map[string]*runningNode),
	}
	d.publish(releaseNote)
	d.client = &http.Client{Transport: &http.Transport{DialContext: d.network.Dial}}
	return d
}

// releaseNote puts two models in force.
const releaseNote = `title: test
models:
  - {id: lathe, version: v1, replicas: {c: 1}, memory: 2GiB, load_time: 2s, slots: 4}
  - {id: deck, version: v1, replicas: {c: 4}, memory: 2GiB, load_time: 2s, slots: 4}
`

// publish publishes a release note.
func (d *deployment) publish(text string) release.AcceptedNote {
	d.t.Helper()
	note, findings := release.ParseNote([]byte(text))
	assert.Equal(d.t, len(findings), 0, "%v", findings)
	publisher := release.Publisher{Store: d.api, Operator: "test"}
	accepted, err := publisher.Publish(context.Background(), note)
	assert.NilError(d.t, err)
	return accepted
}

// inDeployment runs f in virtual time with the engines e1, e2, … and the nodes
// n1, n2, …, after startupTime.
func inDeployment(t *testing.T, engines, nodes int, f func(t *testing.T, d *deployment)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		defer d.close()
		for i := range engines {
			d.addEngine(fmt.Sprint("e", i+1))
		}
		for i := range nodes {
			d.start(fmt.Sprint("n", i+1))
		}
		time.Sleep(startupTime)
		f(t, d)
	})
}

// controllerAndOther returns the active controller and the other one of n1 and n2.
func (d *deployment) controllerAndOther() (controllerNode, other string) {
	controllerNode, _ = d.controllerNode()
	return controllerNode, map[string]string{"n1": "n2", "n2": "n1"}[controllerNode]
}

// start runs a node. Its availability zone is "z" and the last digit of its name
// modulo three.
func (d *deployment) start(name string) *runningNode {
	d.t.Helper()
	return d.startAt(name, name)
}

// startWith runs a node that joins through the seeds.
func (d *deployment) startWith(name string, seeds []string) *runningNode {
	d.t.Helper()
	return d.run(name, name, seeds)
}

// startAt runs a node whose addresses use the given host name.
func (d *deployment) startAt(name, host string) *runningNode {
	d.t.Helper()
	return d.run(name, host, nil)
}

func (d *deployment) run(name, host string, seeds []string) *runningNode {
	d.t.Helper()
	metrics, err := telemetry.NewMetrics()
	assert.NilError(d.t, err)
	callers, err := d.network.Listen(host + ":80")
	assert.NilError(d.t, err)
	peers, err := d.network.Listen(host + ":81")
	assert.NilError(d.t, err)
	n, err := node.New(node.Config{
		ID: fleet.NodeID(name), Region: "r", Zone: fleet.AvailabilityZone(fmt.Sprint("z", name[len(name)-1]%3)), Cell: "c",
		Callers: callers, Peers: d.peerFaults.Listener(peers), MaxConnections: d.maxConnections, ShutdownTimeout: d.shutdownTimeout, Gossip: d.gossip.port(host + ":81"), GossipAddress: host + ":81", Seeds: seeds,
		Secret: []byte(secret), Store: d.api, VMs: d.api, Dial: d.network.Dial, Metrics: metrics,
		Log: telemetry.NewLogger(testLog{d.t}, name, d.logLevel),
	})
	assert.NilError(d.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningNode{Node: n, stop: cancel, err: make(chan error, 1)}
	go func() { r.err <- n.Run(ctx) }()
	d.nodes[host] = r
	return r
}

// close stops all nodes gracefully and checks that none interrupted a request.
func (d *deployment) close() {
	for _, n := range d.nodes {
		n.stop()
	}
	for name, n := range d.nodes {
		assert.NilError(d.t, <-n.err, name)
	}
	d.client.CloseIdleConnections()
	for _, stop := range d.closers {
		stop()
	}
	d.api.Close()
}

// controllerNode returns the name of the active controller and the number of nodes
// that consider themselves active.
func (d *deployment) controllerNode() (string, int) {
	name, count := "", 0
	for n, r := range d.nodes {
		if _, active := r.Active(); active {
			name = n
			count++
		}
	}
	return name, count
}

// testLog writes the nodes' events to the test log, shown with go test -v or when a
// test fails.
type testLog struct{ t testing.TB }

func (l testLog) Write(line []byte) (int, error) {
	l.t.Log(strings.TrimSpace(string(line)))
	return len(line), nil
}

type reply struct {
	status  int
	header  http.Header
	framing httpsend.Framing
	body    string
	err     error
}

func (d *deployment) send(host, method, path, body string, headers ...string) reply {
	req, err := http.NewRequest(method, "http://"+host+":80"+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, framing: httpsend.FramingOf(resp), body: string(data), err: err}
}

const secret = "a secret of some length"

// startupTime is long enough for nodes to join and for one of them to claim the lease.
const startupTime = 10 * time.Second
