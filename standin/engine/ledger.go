package engine

import (
	"sync"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// Ledger counts what the engines of a fleet really did. Tests compare it with
// the promises. Safe for concurrent use.
type Ledger struct {
	mu          sync.Mutex
	replicas    map[fleet.ModelID]int
	maxReplicas map[fleet.ModelID]int
	loads       map[fleet.ModelID]int
	runs        map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		replicas:    map[fleet.ModelID]int{},
		maxReplicas: map[fleet.ModelID]int{},
		loads:       map[fleet.ModelID]int{},
		runs:        map[string]int{},
	}
}

// MaxReplicas returns the most replicas of the model that existed at once over
// all engines, loading and unloading ones included.
func (l *Ledger) MaxReplicas(m fleet.ModelID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.maxReplicas[m]
}

// Replicas returns the replicas of the model that exist now.
func (l *Ledger) Replicas(m fleet.ModelID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.replicas[m]
}

// Loads returns the loads of the model that were begun.
func (l *Ledger) Loads(m fleet.ModelID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.loads[m]
}

// Runs returns how often requests with the id were accepted.
func (l *Ledger) Runs(requestID string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[requestID]
}

func (l *Ledger) loadBegun(m fleet.ModelID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loads[m]++
	l.replicas[m]++
	l.maxReplicas[m] = max(l.maxReplicas[m], l.replicas[m])
}

func (l *Ledger) replicaGone(m fleet.ModelID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replicas[m]--
}

func (l *Ledger) accepted(requestID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[requestID]++
}
