package processes

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/standin/fault"
	"github.com/redwingnotch/redwingnotch/standin/objectapi"
)

var (
	streamSeeds    = flag.Int("stream-seeds", 1, "number of seeds of TestStreamsTakenUpStayInOrder")
	streamSeed     = flag.Uint64("stream-seed", 1, "first seed of TestStreamsTakenUpStayInOrder")
	streamFor      = flag.Duration("stream-for", 25*time.Second, "time for which a seed's streams begin")
	streamPlans    = flag.String("stream-plan", "", "deployment of all seeds: tocka-prod, colacion-gt or three; empty: they take turns")
	streamLogs     = flag.String("stream-logs", "", "directory in which the logs of failed seeds are kept; empty: only their ends are printed")
	streamEmpty    = flag.String("stream-restarts", "", "what servers hold that start again: nothing or models; empty: seeds take turns")
	streamUnframed = flag.Float64("stream-unframed", -1, "share of servers that send streams without framing; negative: none, some or all, drawn by the seed")
	streamBreaks   = flag.Float64("stream-breaks", -1, "share of streams that their servers break; negative: none, some or many, drawn by the seed")
	streamOnly     = flag.String("stream-only", "", "part of the names of the disturbances that are brought about; empty: all")
	frontProgram   = flag.String("front-program", "", "program of the entry nodes; empty: this repository's")
)

// streamRun is the run of one seed: entry nodes and servers as processes, callers and the store
// in the test's process.
type streamRun struct {
	t    *testing.T
	plan deploymentPlan
	dir  string

	api     *objectapi.API
	gates   []*storeGate // of the servers first, then one of each node
	expiry  *expiry
	nodes   []*frontNode
	servers *serverFleet

	restartEmpty bool       // servers that start again hold no models
	unframed     float64    // share of servers that send streams without framing
	breaks       float64    // share of streams that their servers break
	framings     *rand.Rand // draws which servers are unframed, apart from the other draws
	disturbing   sync.WaitGroup
	releasing    sync.Mutex // held during a release

	plain plainCallers

	mu       sync.Mutex
	timeline []string
	version  int // of the desired state
	lastID   int
	streams  []*callerStream
}

// streamOptions are the parameters of a seed's run.
type streamOptions struct {
	plan     string        // deployment; empty: drawn by the seed
	restarts string        // what servers hold that start again: nothing or models; empty: drawn by the seed
	only     string        // part of the names of the disturbances; empty: all
	unframed float64       // share of servers that send streams without framing; negative: drawn by the seed
	breaks   float64       // share of streams that their servers break; negative: drawn by the seed
	duration time.Duration // for which streams begin
}

// TestStreamsTakenUpStayInOrder guards against streams that, over all tries of their callers, lack
// an event, repeat one, or join events of two software versions, while nodes, servers and the store fail.
func TestStreamsTakenUpStayInOrder(t *testing.T) {
	o := streamOptions{plan: *streamPlans, restarts: *streamEmpty, only: *streamOnly, unframed: *streamUnframed, breaks: *streamBreaks, duration: *streamFor}
	for seed := *streamSeed; seed < *streamSeed+uint64(*streamSeeds); seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { runStreamSeed(t, seed, o) })
	}
}

// TestStreamsStayInOrderAtThawedNodes guards against nodes that stood still during a release in
// place and serve what waited in their sockets by the versions that servers had before.
func TestStreamsStayInOrderAtThawedNodes(t *testing.T) {
	runStreamSeed(t, 607, streamOptions{restarts: "nothing", only: "freeze nodes in a release", duration: 25 * time.Second})
}

// streamRunHosts are the loopback addresses of all seeds, which run one after the other.
var streamRunHosts []string

// streamRunHost returns the address with an index.
func streamRunHost(i int) string {
	for i >= len(streamRunHosts) {
		streamRunHosts = append(streamRunHosts, newHost())
	}
	return streamRunHosts[i]
}

func runStreamSeed(t *testing.T, seed uint64, o streamOptions) {
	rng := rand.New(rand.NewPCG(seed, 44))
	plan := deploymentPlans[seed%uint64(len(deploymentPlans))]
	for _, p := range deploymentPlans {
		if p.name == o.plan {
			plan = p
		}
	}
	r := &streamRun{t: t, plan: plan, dir: t.TempDir(), api: objectapi.New(), plain: plainCallers{outcomes: map[string]int{}}}
	r.restartEmpty = rng.IntN(2) == 0 && o.restarts == "" || o.restarts == "nothing"
	r.framings = rand.New(rand.NewPCG(seed, 1))
	if r.unframed = []float64{0, 0.3, 1}[r.framings.IntN(3)]; o.unframed >= 0 {
		r.unframed = o.unframed
	}
	if r.breaks = []float64{0, 0.1, 0.4}[r.framings.IntN(3)]; o.breaks >= 0 {
		r.breaks = o.breaks
	}
	r.deploy(rng)
	ctx, cancel := context.WithTimeout(t.Context(), o.duration)
	defer cancel()
	var disturbed sync.WaitGroup
	faults := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
	disturbed.Go(func() { r.disturb(ctx, faults, o.only) })
	r.call(ctx, rng)
	disturbed.Wait()
	r.report(seed)
}

// logf adds a line to the run's timeline.
func (r *streamRun) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.timeline = append(r.timeline, time.Now().Format(stampFormat)+" "+fmt.Sprintf(format, args...))
}

// startStore starts the store and prepares the start of servers.
func (r *streamRun) startStore() {
	t, host := r.t, streamRunHost(0)
	r.addGate(host + ":" + storePort)
	r.expiry = &expiry{api: r.api}
	var expiring sync.WaitGroup
	expiring.Go(func() { r.expiry.run(t.Context(), func(id string) { r.logf("entry of %s has expired", id) }) })
	t.Cleanup(expiring.Wait)
	r.writeDesired(map[string]float64{mainEngine: 1})
	r.servers = &serverFleet{dir: r.dir, host: host, store: r.gates[0].address, slots: r.plan.slots, logf: r.logf, unframed: r.unframed, breaks: r.breaks, framings: r.framings, reserved: map[*serverProcess]bool{}}
	t.Cleanup(r.servers.close)
}

// deploy starts the store, the servers and the nodes and waits until the nodes are ready.
func (r *streamRun) deploy(rng *rand.Rand) {
	r.startStore()
	mixed := rng.IntN(2) == 0 // several versions of the software from the start
	for i := range mainServers + secondServers + plainServers {
		service, held := mainEngine, []string{engineModels[i%3], engineModels[(i+1)%3]}
		if i >= mainServers {
			service = secondEngine
		}
		if i >= mainServers+secondServers {
			service = plainService
		}
		software := softwares[0]
		if service != plainService && mixed && rng.IntN(3) == 0 {
			software = softwares[1]
		}
		_, err := r.servers.start(r.servers.newConfig(rng, service, r.plan.zones[i%3], software, held))
		assert.NilError(r.t, err)
	}
	r.startNodes()
}

// Servers of each service.
const (
	mainServers   = 8
	secondServers = 4
	plainServers  = 2
)

func (r *streamRun) addGate(address string) *storeGate {
	g, err := startGate(r.api, address)
	assert.NilError(r.t, err)
	r.t.Cleanup(g.close)
	r.gates = append(r.gates, g)
	return g
}

// startNodes starts the nodes and waits until they are ready.
func (r *streamRun) startNodes() {
	program := *frontProgram
	if program == "" {
		program = filepath.Join(binaryDir, "redwingnotch")
	}
	var seeds []string
	for i := range r.plan.nodes {
		n := &frontNode{name: fmt.Sprintf("front-%d", i+1), host: streamRunHost(i + 1), zone: r.plan.zones[i%3], program: program, dir: r.dir, logf: r.logf}
		r.nodes = append(r.nodes, n)
		if i < 3 {
			seeds = append(seeds, n.host+":"+controlPort)
		}
	}
	for _, n := range r.nodes {
		g := r.addGate(n.host + ":" + storePort)
		n.conf = strings.Join(r.plan.settings(n.name, n.host, n.zone, g.address, seeds), "\n")
		assert.NilError(r.t, n.run())
		r.t.Cleanup(n.stop)
	}
	for _, n := range r.nodes {
		waitFor(r.t, n.name+" is ready", n.ready)
	}
}

// writeDesired writes the next version of the desired state.
func (r *streamRun) writeDesired(weights map[string]float64) {
	r.mu.Lock()
	r.version++
	version := r.version
	r.mu.Unlock()
	err := writeConfig(r.api, r.plan.desired(version, weights))
	r.logf("desired state %d: %v: %v", version, weights, err)
}

// Parameters of the callers.
const (
	callerHosts   = 9
	streamsPerSec = 10
)

// call begins streams until the context ends and waits until all have ended.
func (r *streamRun) call(ctx context.Context, rng *rand.Rand) {
	var hosts []*resolver
	for i := range callerHosts {
		hosts = append(hosts, &resolver{region: r.plan.region, zone: r.plan.zones[i%3], nodes: r.nodes, keepFactor: []float64{1, 1, 3}[rng.IntN(3)]})
	}
	routes := r.plan.streamRoutes()
	var callers sync.WaitGroup
	plain := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
	callers.Go(func() { r.plain.run(ctx, hosts, plain, r.nextID) })
	for i := 0; ; i++ {
		if fault.Sleep(ctx, between(rng, 0, 2*time.Second/streamsPerSec)) != nil {
			break
		}
		p := streamPlan{route: routes[rng.IntN(len(routes))], model: engineModels[rng.IntN(len(engineModels))], body: fmt.Sprintf("stream-%d", i),
			events: r.plan.events, limit: 17 * time.Second, tries: 2 + rng.IntN(5), impatient: rng.IntN(3) == 0, hasty: rng.IntN(4) == 0}
		if rng.IntN(4) == 0 {
			p.limit = time.Minute
		}
		if rng.IntN(4) == 0 {
			p.leaveAt = 1 + rng.IntN(p.events)
		}
		c := &streamCaller{resolver: hosts[rng.IntN(len(hosts))], rng: rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64())), nextID: r.nextID}
		callers.Go(func() {
			s := c.run(r.t.Context(), p)
			r.mu.Lock()
			defer r.mu.Unlock()
			r.streams = append(r.streams, s)
		})
	}
	callers.Wait()
}

// nextID returns the ID of the next request.
func (r *streamRun) nextID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastID++
	return fmt.Sprintf("9c41d07b%08x", r.lastID)
}

// report checks the streams and prints the counts, and the breaches if there are any.
func (r *streamRun) report(seed uint64) {
	reasons := map[string]string{}
	for _, n := range r.nodes {
		for id, reason := range n.reasons() {
			reasons[id] = reason
		}
		for _, f := range n.faults() {
			r.t.Errorf("%s wrote %q", n.name, f)
		}
	}
	for _, s := range r.streams {
		if found := s.check(); len(found) > 0 {
			r.t.Errorf("%d breaches, the first %v\n%vlogs of the nodes:\n%s", len(found), found[0], s, r.logsOf(s))
		}
	}
	for _, wrong := range r.plain.wrong {
		r.t.Errorf("not the server's response: %s", wrong)
	}
	counts := countStreams(r.streams, reasons)
	r.t.Logf("seed %d, %s, servers restart empty %t, unframed %v, breaks %v: %v\n  plain requests: %s", seed, r.plan.name, r.restartEmpty, r.unframed, r.breaks, counts, list(r.plain.outcomes))
	assert.Check(r.t, counts.whole > 0, "no stream was whole")
	r.keepLogs(seed)
}

// logsOf returns what the nodes have logged about the stream's tries, by their IDs.
func (r *streamRun) logsOf(s *callerStream) string {
	var found strings.Builder
	for _, n := range r.nodes {
		text, err := os.ReadFile(n.logPath())
		if err != nil {
			return err.Error()
		}
		for line := range strings.Lines(string(text)) {
			if slices.ContainsFunc(s.tries, func(t streamTry) bool { return strings.Contains(line, t.id) }) {
				found.WriteString(line)
			}
		}
	}
	return found.String()
}

// keepLogs keeps the logs of a failed run, or prints the end of its timeline.
func (r *streamRun) keepLogs(seed uint64) {
	timeline := strings.Join(r.timeline, "\n") + "\n"
	if !r.t.Failed() {
		return
	}
	if *streamLogs == "" {
		r.t.Logf("timeline:\n%s", strings.Join(r.timeline[max(0, len(r.timeline)-maxPrintedLines):], "\n"))
		return
	}
	dir := filepath.Join(*streamLogs, fmt.Sprintf("seed-%d-%s", seed, time.Now().Format("150405")))
	assert.NilError(r.t, os.CopyFS(dir, os.DirFS(r.dir)))
	assert.NilError(r.t, os.WriteFile(filepath.Join(dir, "timeline.log"), []byte(timeline), 0o600))
	r.t.Logf("logs are in %s", dir)
}

// maxPrintedLines is the number of the timeline's last lines that are printed.
const maxPrintedLines = 80
