package node_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/invariant"
)

var (
	soakTime    = flag.Duration("soak", 0, "run random episodes for this duration of wall-clock time")
	soakSeed    = flag.Uint64("soak-seed", 1, "seed of the random episodes")
	soakLog     = flag.String("soak-log", "error", "minimum level of the nodes' events in the test log")
	soakEpisode = flag.Int("soak-episode", -1, "replay only this episode of the seed")
)

// Phases of one episode in virtual time.
const (
	soakFaultDuration = 2 * time.Minute // faults are injected
	soakRecoveryTime  = time.Minute     // no faults; the deployment recovers
	soakDrainTimeout  = 3 * time.Minute // then all requests must have ended
)

// shortSoakEpisodes is the number of episodes that every go test runs. The first one
// has planned changes only.
const shortSoakEpisodes = 3

// TestSoakShort runs the first episodes of a fixed seed.
func TestSoakShort(t *testing.T) {
	for episode := range shortSoakEpisodes {
		runEpisode(t, 1, episode)
	}
}

// TestSoak runs episodes of random faults until the duration of -soak has passed. An
// episode is determined by its seed and number, except for the order of goroutines
// within one instant of virtual time.
func TestSoak(t *testing.T) {
	if *soakEpisode >= 0 {
		runEpisode(t, *soakSeed, *soakEpisode)
		return
	}
	if *soakTime == 0 {
		t.Skip("no -soak given")
	}
	t.Logf("seed %d", *soakSeed)
	started := time.Now()
	episode, total := 0, soakCounts{}
	for time.Since(started) < *soakTime && !t.Failed() {
		total.add(runEpisode(t, *soakSeed, episode))
		episode++
	}
	t.Logf("seed %d: %d episodes, %+v", *soakSeed, episode, total)
}

// soakCounts counts the results and faults of one or more episodes. Its field names
// appear in the test log.
type soakCounts struct {
	Answered, Refused, Cut    int // chat requests
	Ordered, NotRun, Unknown  int // keyed calls, by the last outcome
	Faults, Kills             int
	Stops, Crashes, Reclaimed int
	Retired                   int // engines that left as planned
}

func (c *soakCounts) add(o soakCounts) {
	c.Answered += o.Answered
	c.Refused += o.Refused
	c.Cut += o.Cut
	c.Ordered += o.Ordered
	c.NotRun += o.NotRun
	c.Unknown += o.Unknown
	c.Faults += o.Faults
	c.Kills += o.Kills
	c.Stops += o.Stops
	c.Crashes += o.Crashes
	c.Reclaimed += o.Reclaimed
	c.Retired += o.Retired
}

// soak is one episode: a deployment with its callers and faults.
type soak struct {
	*deployment
	models      []fleet.Model
	seed        uint64
	episode     int
	planned     bool // only planned changes, so no request may be interrupted
	began       time.Time
	stopCallers chan struct{} // closed when callers must stop

	mu            sync.Mutex
	rng           *rand.Rand // random numbers of the fault schedule
	versions      []int      // by model: version number in the last note
	counts        soakCounts
	violations    []string
	faultLog      []string // injected faults with their times
	nodeNames     []string // nodes that callers may try
	engines       []*soakEngine
	services      []*soakService
	nameSequence  int
	poisonCount   int
	newestRelease uint64 // highest accepted release version
	background    sync.WaitGroup

	nodesMu sync.Mutex // guards deployment.nodes
}

func runEpisode(t *testing.T, seed uint64, episode int) soakCounts {
	var s *soak
	t.Run(fmt.Sprintf("seed=%d/episode=%d", seed, episode), func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s = newSoak(t, seed, episode)
			s.run()
		})
	})
	if s == nil { // skipped with go test -skip
		return soakCounts{}
	}
	return s.counts
}

// newSoak returns an episode whose release is published. Every third episode has
// planned changes only. In episodes with an odd number half of the engines do not
// check fencing tokens.
func newSoak(t *testing.T, seed uint64, episode int) *soak {
	s := &soak{
		deployment:  newDeployment(t),
		seed:        seed,
		episode:     episode,
		planned:     episode%3 == 0,
		stopCallers: make(chan struct{}),
		rng:         rand.New(rand.NewPCG(seed, uint64(episode))),
	}
	s.logLevel = *soakLog
	s.models = soakModels()
	s.versions = make([]int, len(s.models))
	s.publish(s.releaseNote())
	return s
}

// releaseNote returns a note that puts the models of the episode in force.
func (s *soak) releaseNote() string {
	var note strings.Builder
	note.WriteString("title: soak\nmodels:\n")
	for i, m := range s.models {
		fmt.Fprintf(&note, "  - {id: %s, version: v%d, replicas: {c: %d}, memory: 2GiB, load_time: %v, slots: %d}\n",
			m.ID, s.versions[i], m.MaxReplicas, m.LoadTime, m.Slots)
	}
	return note.String()
}

// soakModelMemory is the memory of one replica in bytes, as in the release notes.
const soakModelMemory = 2 << 30

// soakModels returns models that compete for the engines' memory.
func soakModels() []fleet.Model {
	limits := []int{1, 1, 1, 1, 2, 2, 2, 3}
	models := make([]fleet.Model, len(limits))
	for i, limit := range limits {
		models[i] = fleet.Model{
			ID:          fleet.ModelID(fmt.Sprint("m", i)),
			MaxReplicas: limit,
			MemoryBytes: soakModelMemory,
			LoadTime:    time.Duration(2+i) * time.Second,
			Slots:       2 + i%3,
		}
	}
	return models
}

func (s *soak) run() {
	invariant.SetMode(invariant.ModeReport)
	invariant.SetReporter(func(v invariant.Violation) { s.recordViolation("%v", v) })
	defer invariant.SetMode(invariant.ModePanic)
	s.began = time.Now()
	s.startAll()
	time.Sleep(startupTime)
	s.startCallers()
	s.background.Go(s.watchReplicas)
	if !s.planned {
		s.background.Go(s.cutResponses)
	}
	s.injectFaults()
	s.clearFaults()
	time.Sleep(soakRecoveryTime)
	s.checkReleases()
	close(s.stopCallers)
	s.waitForRequests()
	s.close()
	s.checkEngines()
	s.checkKeyedCalls()
	s.report()
}

func (s *soak) startAll() {
	for i := range 6 {
		s.addSoakEngine(fmt.Sprint("e", i), s.episode%2 == 0 || i%2 == 0)
	}
	for i := range 2 {
		s.addSoakService(fmt.Sprint("s", i))
	}
	for i := range 5 {
		s.startNode(fmt.Sprint("n", i))
	}
}

// waitForRequests checks that every request ends.
func (s *soak) waitForRequests() {
	ended := make(chan struct{})
	go func() {
		s.background.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(soakDrainTimeout):
		s.recordViolation("requests have not ended %v after callers were stopped", soakDrainTimeout)
		<-ended
	}
}

// recordViolation records a violated guarantee with the time in the episode.
func (s *soak) recordViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf("%8v ", time.Since(s.began).Round(time.Millisecond))+fmt.Sprintf(format, args...))
}

// recordFault records an injected fault with the time in the episode.
func (s *soak) recordFault(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Faults++
	s.faultLog = append(s.faultLog, fmt.Sprintf("%8v ", time.Since(s.began).Round(time.Millisecond))+fmt.Sprintf(format, args...))
}

// updateCounts changes the counts while holding s.mu.
func (s *soak) updateCounts(f func(c *soakCounts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.counts)
}

// report logs the faults and violations and fails the test if there are violations.
func (s *soak) report() {
	s.t.Logf("%+v", s.counts)
	if len(s.violations) == 0 {
		return
	}
	for _, line := range s.faultLog {
		s.t.Log("fault    ", line)
	}
	for _, line := range s.violations {
		s.t.Log("violation", line)
	}
	s.t.Errorf("%d guarantees violated; replay: go test ./internal/node -run 'TestSoak$' -soak-seed %d -soak-episode %d",
		len(s.violations), s.seed, s.episode)
}
