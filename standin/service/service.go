// Package service is a stand-in for a plain service, such as ordering. It
// counts how often each keyed call ran.
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

// maxBodyBytes bounds a call's body.
const maxBodyBytes = 8 << 20

// Service is the stand-in. Use New. Safe for concurrent use. The board's outage
// and failures answer before the call runs; a lost answer follows its run.
type Service struct {
	Faults *fault.Board
	*host.Host
	handler http.Handler

	mu       sync.Mutex
	runTime  time.Duration
	runs     map[string]int // by key
	total    int
	draining bool
	crashAt  int // the run that crashes; zero: none
}

// Result is the JSON body of an answer.
type Result struct {
	Key  string `json:"key"`
	Run  int    `json:"run"` // how often the key has run, this run included
	Path string `json:"path"`
	Body string `json:"body"`
}

// New returns a service that does not serve yet.
func New() *Service {
	s := &Service{Faults: &fault.Board{}, runs: map[string]int{}}
	s.handler = s.Faults.Wrap(http.HandlerFunc(s.run))
	s.Host = host.New(s, s.Faults)
	return s
}

// SetRunTime makes each run take the time.
func (s *Service) SetRunTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runTime = d
}

// SetDraining makes the service refuse calls unrun.
func (s *Service) SetDraining(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = on
}

// CrashAfterRun makes the service crash once the n-th call from now has run,
// before it answers. It serves again after Restart.
func (s *Service) CrashAfterRun(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashAt = s.total + n
}

// Runs returns how often calls with the key ran.
func (s *Service) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// MaxRuns returns the most runs of any one key.
func (s *Service) MaxRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	for key, n := range s.runs {
		if key != "" {
			most = max(most, n)
		}
	}
	return most
}

// Total returns how many calls ran.
func (s *Service) Total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

func (s *Service) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		refuse(w, http.StatusRequestEntityTooLarge)
		return
	}
	w.Header().Set(service.HeaderRequestID, r.Header.Get(service.HeaderRequestID))
	key := r.Header.Get(service.HeaderKey)
	run, took, crash := s.begin(key)
	if run == 0 {
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	// The call runs to its end whatever becomes of its caller.
	time.Sleep(took)
	if crash {
		s.Host.Close()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Result{Key: key, Run: run, Path: r.URL.Path, Body: string(body)})
}

// begin counts a run and returns its number, zero if the call is refused.
func (s *Service) begin(key string) (run int, took time.Duration, crash bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return 0, 0, false
	}
	s.runs[key]++
	s.total++
	return s.runs[key], s.runTime, s.total == s.crashAt
}

func refuse(w http.ResponseWriter, status int) {
	w.Header().Set(service.HeaderOutcome, service.OutcomeNotRun)
	http.Error(w, "not run", status)
}
