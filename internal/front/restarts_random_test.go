package front_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/platform"
)

// Sizes of the random run.
const (
	randomEvents  = 20                     // events of a whole stream
	randomStreams = 120                    // streams that begin
	randomLag     = 600 * time.Millisecond // longest time after which a restarted server's entry is written
	randomTries   = 6                      // attempts of one caller
)

// restartingServer is a backend server that restarts under its ID and address with other software.
type restartingServer struct {
	*backendServer
	mu      sync.Mutex
	rng     *rand.Rand
	version int
}

// serve writes the rest of a stream and breaks off at times. Each event names the version of the
// software that the process has.
func (s *restartingServer) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	version, breaks := s.version, s.rng.IntN(2*randomEvents)
	s.mu.Unlock()
	last, _ := strconv.Atoi(r.Header.Get(platform.HeaderLastEventID)) // zero for a new stream
	w.Header().Set("Content-Type", "text/event-stream")
	for id := last + 1; id <= randomEvents; id++ {
		if id-last > breaks {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: v%d\n\n", id, version)
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// restartWith ends the process and starts another with the version, whose entry is written after
// the lag.
func (s *restartingServer) restartWith(c *cluster, version int, lag time.Duration) {
	s.mu.Lock()
	s.version = version
	s.backendServer.restart()
	s.mu.Unlock()
	s.server.CloseClientConnections()
	time.Sleep(lag)
	s.backendServer.mu.Lock()
	s.born, s.restarts, s.software = s.born+s.restarts, 0, fmt.Sprintf("v%d", version)
	s.backendServer.mu.Unlock()
	c.register(s.backendServer, "llm", "ready")
}

// eventVersion finds the events of a body.
var eventVersion = regexp.MustCompile(`id: (\d+)\ndata: (v\d+)\n\n`)

// randomStream lets a caller have a stream from the nodes and returns the versions of its events, and
// whether it was taken up.
func (c *cluster) randomStream(rng *rand.Rand, nodes []*node, id string) (versions map[string]bool, takenUp bool) {
	versions = map[string]bool{}
	last, first := "", ""
	for try := range randomTries {
		attempt := fmt.Sprintf("%s-%d", id, try)
		headers := []string{platform.HeaderModel, "m"}
		if first != "" {
			headers = append(headers, platform.HeaderLastEventID, last, "Resumes", first)
		}
		got := c.call(nodes[rng.IntN(len(nodes))], http.MethodPost, "/proof/x", attempt, headers...)
		for _, event := range eventVersion.FindAllStringSubmatch(got.body, -1) {
			takenUp = takenUp || first != "" && first != attempt
			if first == "" {
				first = attempt
			}
			last, versions[event[2]] = event[1], true
		}
		if last == strconv.Itoa(randomEvents) {
			break
		}
	}
	return versions, takenUp
}

// restartSeeds is the number of seeds of TestRestartsWithOtherSoftwareJoinNoStream.
var restartSeeds = flag.Uint64("restart-seeds", 1, "number of seeds of servers that restart with other software")

// TestRestartsWithOtherSoftwareJoinNoStream guards against streams that hold events of two software
// versions while servers restart under their IDs and addresses, ahead of their entries (ORDER).
func TestRestartsWithOtherSoftwareJoinNoStream(t *testing.T) {
	for seed := range *restartSeeds {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			c := newCluster(t)
			var servers []*restartingServer
			for i := range uint64(4) {
				s := &restartingServer{rng: rand.New(rand.NewPCG(seed, i)), version: 1}
				s.backendServer = c.backendServer(fmt.Sprint("s", i), "llm", s.serve)
				servers = append(servers, s)
			}
			port := freePort(t, "127.0.0.2")
			nodes := []*node{c.node("127.0.0.2", port), c.node("127.0.0.3", port), c.node("127.0.0.4", port)}
			c.connected(len(nodes))
			stop := c.keepRestarting(seed, servers)
			joined, takenUp := c.randomCallers(seed, nodes)
			stop()
			assert.Equal(t, joined, 0, "streams hold events of two versions; %d were taken up", takenUp)
			assert.Assert(t, takenUp > 0)
		})
	}
}

// keepRestarting restarts the servers until the function that it returns is called.
func (c *cluster) keepRestarting(seed uint64, servers []*restartingServer) (stop func()) {
	ended := make(chan struct{})
	var restarts sync.WaitGroup
	for i, s := range servers {
		rng := rand.New(rand.NewPCG(seed, 100+uint64(i)))
		restarts.Go(func() {
			for {
				select {
				case <-ended:
					return
				case <-time.After(time.Duration(200+rng.IntN(1000)) * time.Millisecond):
					s.restartWith(c, 1+rng.IntN(2), time.Duration(rng.Int64N(int64(randomLag))))
				}
			}
		})
	}
	return func() {
		close(ended)
		restarts.Wait()
	}
}

// randomCallers returns how many streams of callers hold events of several versions, and how many
// were taken up.
func (c *cluster) randomCallers(seed uint64, nodes []*node) (joined, takenUp int) {
	const inParallel = 8
	var mu sync.Mutex
	var callers sync.WaitGroup
	for i := range inParallel {
		rng := rand.New(rand.NewPCG(seed, 200+uint64(i)))
		callers.Go(func() {
			for j := range randomStreams / inParallel {
				versions, again := c.randomStream(rng, nodes, fmt.Sprintf("r%d-%d", i, j))
				mu.Lock()
				if len(versions) > 1 {
					joined++
				}
				if again {
					takenUp++
				}
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	return joined, takenUp
}
