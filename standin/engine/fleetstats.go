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

// NewFleetStats returns a Ledger whose counters are zero.
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
func (l *FleetStats) MaxReplicas(m fleet.ModelID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.maxReplicas[m]
}

// Replicas returns the current number of replicas of the model, loading and
// unloading ones included.
func (l *FleetStats) Replicas(m fleet.ModelID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.replicas[m]
}

// Loads returns the number of loads of the model that were started.
func (l *FleetStats) Loads(m fleet.ModelID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.loads[m]
}

// Runs returns how often engines accepted a request with the id.
func (l *FleetStats) Runs(requestID string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[requestID]
}

func (l *FleetStats) loadStarted(m fleet.ModelID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loads[m]++
	l.replicas[m]++
	l.maxReplicas[m] = max(l.maxReplicas[m], l.replicas[m])
}

func (l *FleetStats) replicaRemoved(m fleet.ModelID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replicas[m]--
}

func (l *FleetStats) requestAccepted(requestID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[requestID]++
}
