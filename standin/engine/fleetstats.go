package engine

import (
	"sync"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// FleetStats counts replicas, loads and requests over several engines, so that tests
// can check limits and at-most-once execution. Safe for concurrent use.
type FleetStats struct {
	mu          sync.Mutex
	replicas    map[fleet.ModelID]int
	maxReplicas map[fleet.ModelID]int // highest values of replicas
	loads       map[fleet.ModelID]int // loads started
	runs        map[string]int        // accepted requests by request id
}

// NewFleetStats returns FleetStats whose counters are zero.
func NewFleetStats() *FleetStats {
	return &FleetStats{
		replicas:    map[fleet.ModelID]int{},
		maxReplicas: map[fleet.ModelID]int{},
		loads:       map[fleet.ModelID]int{},
		runs:        map[string]int{},
	}
}

// MaxReplicas returns the highest number of replicas of the model that existed at
// once on all engines, loading and unloading ones included.
func (s *FleetStats) MaxReplicas(m fleet.ModelID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxReplicas[m]
}

// Replicas returns the current number of replicas of the model, loading and
// unloading ones included.
func (s *FleetStats) Replicas(m fleet.ModelID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replicas[m]
}

// Loads returns the number of loads of the model that were started.
func (s *FleetStats) Loads(m fleet.ModelID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads[m]
}

// Runs returns how often engines accepted a request with the id.
func (s *FleetStats) Runs(requestID string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[requestID]
}

func (s *FleetStats) loadStarted(m fleet.ModelID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads[m]++
	s.replicas[m]++
	s.maxReplicas[m] = max(s.maxReplicas[m], s.replicas[m])
}

func (s *FleetStats) replicaRemoved(m fleet.ModelID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replicas[m]--
}

func (s *FleetStats) requestAccepted(requestID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[requestID]++
}
