package front

import (
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/internal/telemetry"
)

// desiredSync says how current the desired state in force is. Guarded by Node.mu.
type desiredSync struct {
	confirmed   time.Time // latest time as of which the store is known to hold no version above the one in force
	newest      uint64    // highest version that this node knows of
	newestSince time.Time // when this node learned of newest
	stale       bool      // confirmed is older than Bounds.ConfigApplyTimeout
}

// desiredConfirmed records that the store held no version above the one in force as of
// the time.
func (n *Node) desiredConfirmed(asOf time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if asOf.After(n.sync.confirmed) {
		n.sync.confirmed = asOf
	}
}

// noteDesiredVersion records that a version of the desired state exists. The caller
// holds n.mu.
func (n *Node) noteDesiredVersion(now time.Time, version uint64) {
	if version > n.sync.newest {
		n.sync.newest, n.sync.newestSince = version, now
	}
}

// desiredStatus returns how current the desired state in force is. The caller holds
// n.mu.
func (n *Node) desiredStatus(now time.Time) telemetry.DesiredState {
	s := telemetry.DesiredState{ConfirmedAge: now.Sub(n.sync.confirmed)}
	if t := n.desired.Load(); t != nil {
		s.Version = t.Version
	}
	if n.sync.newest > s.Version {
		s.Behind = now.Sub(n.sync.newestSince)
	}
	return s
}

// observeDesired is desiredStatus for the metrics.
func (n *Node) observeDesired() telemetry.DesiredState {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.desiredStatus(bootclock.Now())
}

// logDesiredAge logs when the confirmation of the desired state becomes older than the
// time within which a new one must be in force, and when it is renewed. The caller
// holds n.mu.
func (n *Node) logDesiredAge(now time.Time) {
	status := n.desiredStatus(now)
	stale := status.ConfirmedAge > n.settings.Bounds.ConfigApplyTimeout
	if stale == n.sync.stale {
		return
	}
	n.sync.stale = stale
	logger := log.With(level.Info(n.log), "version", status.Version, "newest", n.sync.newest,
		"age_ms", status.ConfirmedAge.Milliseconds(), "behind_ms", status.Behind.Milliseconds())
	if stale {
		logger.Log("event", "desired_state_stale")
		return
	}
	logger.Log("event", "desired_state_confirmed")
}
