// Package service is a stand-in for a plain service. It counts how often the
// calls with each idempotency key ran.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/redwingnotch/redwingnotch/service"
	"github.com/redwingnotch/redwingnotch/standin/fault"
	"github.com/redwingnotch/redwingnotch/standin/host"
)

// maxBodyBytes is the largest accepted request body.
const maxBodyBytes = 8 << 20

// Service is a simulated plain service. Use New. Safe for concurrent use. Calls
// refused by an injected outage or failure do not run; calls with a lost response
// do.
type Service struct {
	Faults *fault.Injector // faults injected into calls and connections
	*host.Server
	handler http.Handler

	mu          sync.Mutex
	runDuration time.Duration
	runsByKey   map[string]int // by idempotency key
	totalRuns   int            // runs of all calls, with and without a key
	draining    bool           // refuse all calls
	crashAtRun  int            // value of totalRuns at which the service crashes; zero: never
}

// Result is the JSON body of a response. Key, Path and Body are those of the call.
type Result struct {
	Key  string `json:"key"`
	Run  int    `json:"run"` // number of runs of the key, this one included
	Path string `json:"path"`
	Body string `json:"body"`
}

// New returns a service that does not serve HTTP yet.
func New() *Service {
	s := &Service{Faults: &fault.Injector{}, runsByKey: map[string]int{}}
	s.handler = s.Faults.Wrap(http.HandlerFunc(s.run))
	s.Server = host.New(s, s.Faults)
	return s
}

// SetRunTime sets the duration of each run.
func (s *Service) SetRunTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runDuration = d
}

// SetDraining sets whether the service refuses all calls, without running them.
func (s *Service) SetDraining(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = on
}

// CrashAfterRun makes the service crash when the n-th run from now is over, before
// it sends the response. Restart makes it serve again.
func (s *Service) CrashAfterRun(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashAtRun = s.totalRuns + n
}

// Runs returns how often calls with the idempotency key ran.
func (s *Service) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runsByKey[key]
}

// MaxRunsPerKey returns the highest number of runs of a single idempotency key.
func (s *Service) MaxRunsPerKey() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	highest := 0
	for key, n := range s.runsByKey {
		if key != "" {
			highest = max(highest, n)
		}
	}
	return highest
}

// TotalRuns returns the number of runs of all calls, with and without a key.
func (s *Service) TotalRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totalRuns
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// run serves one call: it counts the run, waits for its duration and responds with
// a Result.
func (s *Service) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeNotRun(w, http.StatusRequestEntityTooLarge)
		return
	}
	w.Header().Set(service.HeaderRequestID, r.Header.Get(service.HeaderRequestID))
	key := r.Header.Get(service.HeaderKey)
	run, duration, crash := s.startRun(key)
	if run == 0 {
		writeNotRun(w, http.StatusServiceUnavailable)
		return
	}
	// The run does not end early if the caller disconnects.
	time.Sleep(duration)
	if crash {
		s.Server.Close()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Result{Key: key, Run: run, Path: r.URL.Path, Body: string(body)})
}

// startRun counts a run of the key and returns its number (zero if the call is
// refused), its duration, and whether the service crashes after it.
func (s *Service) startRun(key string) (run int, duration time.Duration, crash bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return 0, 0, false
	}
	s.runsByKey[key]++
	s.totalRuns++
	return s.runsByKey[key], s.runDuration, s.totalRuns == s.crashAtRun
}

// writeNotRun responds that the call did not run.
func writeNotRun(w http.ResponseWriter, status int) {
	w.Header().Set(service.HeaderOutcome, service.OutcomeNotRun)
	http.Error(w, "not run", status)
}
