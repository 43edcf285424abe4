package front

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/internal/telemetry"
	"github.com/redwingnotch/redwingnotch/pace"
	"github.com/redwingnotch/redwingnotch/replicas"
)

// maxLimitsPerMessage bounds the limits in one message, about 70 bytes each. Those of the newest
// evidence are sent.
const maxLimitsPerMessage = 16

// limitState is the encoded form of a replicas.ServerLimit.
type limitState struct {
	ID    string  `json:"i"`
	Start int64   `json:"b,omitempty"` // server start in Unix milliseconds
	Limit float64 `json:"l,omitempty"` // zero if the limit was dropped
	AgeMS int64   `json:"g"`           // milliseconds since the evidence for the limit
	Cause string  `json:"c,omitempty"`
}

// limitStates returns the limits that this node tells the others. The caller holds n.mu.
func (n *Node) limitStates(now time.Time) []limitState {
	own := n.table.OwnLimits(now)
	var states []limitState
	for _, l := range own[:min(len(own), maxLimitsPerMessage)] {
		states = append(states, limitState{ID: l.ID, Start: l.Start, Limit: l.Limit, AgeMS: now.Sub(l.At).Milliseconds(), Cause: string(l.Cause)})
	}
	return states
}

// applyLimits takes over the limits of another node's message, whose evidence is older by the
// message's delay. The caller holds n.mu.
func (n *Node) applyLimits(now time.Time, states []limitState, delay time.Duration) {
	for _, l := range states[:min(len(states), maxLimitsPerMessage)] {
		cause := pace.Cause(l.Cause)
		if l.AgeMS < 0 || l.AgeMS > time.Hour.Milliseconds() || !cause.Known() {
			continue
		}
		at := now.Add(-delay - time.Duration(l.AgeMS)*time.Millisecond)
		n.table.AdoptLimit(now, replicas.ServerLimit{ID: l.ID, Start: l.Start, State: pace.State{Limit: l.Limit, At: at, Cause: cause}})
	}
}

// logLimits logs and counts the changes of limits since the last call. The caller holds n.mu.
func (n *Node) logLimits() {
	for _, c := range n.table.TakeLimitChanges() {
		source := "own"
		if !c.Own {
			source = "peer"
		}
		n.metrics.LimitChanged(string(c.Cause), source)
		logger := level.Info(n.log)
		if !c.Own && c.Limit > 0 && c.Before > 0 {
			logger = level.Debug(n.log) // logged by the node that has the evidence
		}
		logger.Log("event", "server_limit", "server", c.Server, "start", c.Start, "service", c.Service, "limit", c.Limit, "before", c.Before,
			"cause", c.Cause, "source", source, "age_ms", c.Age.Milliseconds(), "load", c.Load)
	}
}

// observeLimits returns the limits for the metrics.
func (n *Node) observeLimits() []telemetry.ServerLimit {
	n.mu.Lock()
	defer n.mu.Unlock()
	var limits []telemetry.ServerLimit
	for _, l := range n.table.Limits(bootclock.Now()) {
		limits = append(limits, telemetry.ServerLimit{Server: l.ID, Cause: string(l.Cause), Limit: l.Limit})
	}
	return limits
}

// rejected records that the server did not run a request because it was full.
func (n *Node) rejected(server replicas.Entry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.table.SameStart(server) {
		n.table.Rejected(bootclock.Now(), server.ID)
	}
}
