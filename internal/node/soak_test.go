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
	soakTime    = flag.Duration("soak", 0, "run random episodes for this long, by the wall clock")
	soakSeed    = flag.Uint64("soak-seed", 1, "seed of the random episodes")
	soakLog     = flag.String("soak-log", "error", "least level of the nodes' events in the test log")
	soakEpisode = flag.Int("soak-episode", -1, "replay only this episode of the seed")
)

// Lengths of one episode in virtual time.
const (
	soakFaultDuration = 2 * time.Minute // faults are brought about
	soakRecoveryTime  = time.Minute     // everything works again
	soakDrainTimeout  = 3 * time.Minute // in which all requests must have ended
)

// shortSoakEpisodes are run by every go test: one with planned stops only.
const shortSoakEpisodes = 3

// TestSoakShort runs the first episodes of a fixed seed.
func TestSoakShort(t *testing.T) {
	for episode := range shortSoakEpisodes {
		runEpisode(t, 1, episode)
	}
}

// TestSoak runs episodes of random faults until the time of -soak has passed.
// An episode is determined by seed and number, but for the order of goroutines
// within one virtual instant.
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

// soakCounts is what the callers of one or more episodes saw.
type soakCounts struct {
	Answered, Refused, Cut    int // chat requests
	Ordered, NotRun, Unknown  int // keyed calls, by last reply
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

// soak is one episode: a deployment, its callers and its faults.
type soak struct {
	*deployment
	models      []fleet.Model
	seed        uint64
	episode     int
	planned     bool // only planned changes, so nothing may be cut
	began       time.Time
	stopCallers chan struct{} // closed when callers shall stop

	mu            sync.Mutex
	rng           *rand.Rand // of the fault schedule
	versions      []int      // of the models, as last written in a note
	counts        soakCounts
	violations    []string
	faultLog      []string // of faults
	nodeNames     []string // of nodes that callers may know
	engines       []*soakEngine
	services      []*soakService
	nameSequence  int
	poisonCount   int
	newestRelease uint64 // newest accepted release
	background    sync.WaitGroup

	nodesMu sync.Mutex // guards the deployment's nodes
}

func runEpisode(t *testing.T, seed uint64, episode int) soakCounts {
	var s *soak
	t.Run(fmt.Sprintf("seed=%d/episode=%d", seed, episode), func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s = newSoak(t, seed, episode)
			s.run()
		})
	})
	return s.counts
}

// newSoak returns a deployment like a user's, somewhat smaller. Every third
// episode has planned changes only; every other one has engines that do not
// check fencing numbers.
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

// releaseNote writes a note that puts the models of the episode in force.
func (s *soak) releaseNote() string {
	var note strings.Builder
	note.WriteString("title: soak\nmodels:\n")
	for i, m := range s.models {
		fmt.Fprintf(&note, "  - {id: %s, version: v%d, replicas: {c: %d}, memory: 2GiB, load_time: %v, slots: %d}\n",
			m.ID, s.versions[i], m.MaxReplicas, m.LoadTime, m.Slots)
	}
	return note.String()
}

// soakModelMemory is the memory of one replica, as in the release notes.
const soakModelMemory = 2 << 30

// soakModels returns models of which several compete for memory.
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
	time.Sleep(settleTime)
	s.startCallers()
	s.background.Go(s.watchReplicas)
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
		s.recordViolation("requests have not ended %v after the last began", soakDrainTimeout)
		<-ended
	}
}

// recordViolation records a broken promise with its time in the episode.
func (s *soak) recordViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf("%8v ", time.Since(s.began).Round(time.Millisecond))+fmt.Sprintf(format, args...))
}

// recordFault records a fault.
func (s *soak) recordFault(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Faults++
	s.faultLog = append(s.faultLog, fmt.Sprintf("%8v ", time.Since(s.began).Round(time.Millisecond))+fmt.Sprintf(format, args...))
}

// updateCounts changes the counts under the lock.
func (s *soak) updateCounts(f func(c *soakCounts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.counts)
}

// report fails the test with what was violated and what had been brought about.
func (s *soak) report() {
	s.t.Logf("%+v", s.counts)
	if len(s.violations) == 0 {
		return
	}
	for _, line := range s.faultLog {
		s.t.Log("fault ", line)
	}
	for _, line := range s.violations {
		s.t.Log("broken", line)
	}
	s.t.Errorf("%d promises broken; replay: go test ./internal/node -run 'TestSoak$' -soak-seed %d -soak-episode %d",
		len(s.violations), s.seed, s.episode)
}
