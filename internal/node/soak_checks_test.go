package node_test

import (
	"fmt"
	"strings"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// maxCrashesPerPoison is the number of backend servers that one poison request may
// crash.
const maxCrashesPerPoison = 2

// checkReleases checks that the newest accepted release is in force at every node.
func (s *soak) checkReleases() {
	s.nodesMu.Lock()
	defer s.nodesMu.Unlock()
	for name, n := range s.nodes {
		if version := n.ReleaseVersion(); version < s.newestRelease {
			s.recordViolation("%s has release %d in force, but release %d was accepted", name, version, s.newestRelease)
		}
	}
}

// watchReplicas records a violation as soon as a model has more replicas than its
// limit.
func (s *soak) watchReplicas() {
	for !s.callersStopped() {
		for _, m := range s.models {
			if now := s.stats.Replicas(m.ID); now > m.MaxReplicas {
				s.recordViolation("%d replicas of %s now, limit %d: %s", now, m.ID, m.MaxReplicas, s.describeReplicas(m.ID))
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// describeReplicas lists the engines that hold a replica of a model.
func (s *soak) describeReplicas(m fleet.ModelID) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []string
	for _, e := range s.engines {
		report := e.Report()
		for _, r := range report.Replicas {
			if r.Model == m {
				all = append(all, fmt.Sprintf("%s %s epoch %d fencing %t", report.Boot, r.State, report.Epoch, e.fencing))
			}
		}
	}
	return strings.Join(all, "; ")
}

// checkEngines checks replica limits, memory limits, requests to leaving engines and
// the number of crashes.
func (s *soak) checkEngines() {
	for _, m := range s.models {
		if most := s.stats.MaxReplicas(m.ID); most > m.MaxReplicas {
			s.recordViolation("up to %d replicas of %s at once, limit %d", most, m.ID, m.MaxReplicas)
		}
	}
	crashes := 0
	for _, e := range s.engines {
		counts := e.Counts()
		crashes += counts.Crashes
		if counts.RefusedMemory > 0 {
			s.recordViolation("%s: %d loads ordered beyond its memory", e.name, counts.RefusedMemory)
		}
		if late := e.LateRequests(leavingGracePeriod); late > 0 {
			s.recordViolation("%s: %d requests arrived more than %v after the VM list showed it as leaving", e.name, late, leavingGracePeriod)
		}
	}
	// Crashes that no injected fault and no planned stop explains.
	if crashedByPoison := crashes - s.counts.Crashes - s.counts.Reclaimed - s.counts.Retired; crashedByPoison > maxCrashesPerPoison*s.poisonCount {
		s.recordViolation("%d engines lost to %d poisons", crashedByPoison, s.poisonCount)
	}
}

// checkKeyedCalls checks that no key ran more than once at any one replica.
func (s *soak) checkKeyedCalls() {
	for _, v := range s.services {
		if most := v.MaxRunsPerKey(); most > 1 {
			s.recordViolation("%s ran a key %d times", v.name, most)
		}
	}
	assert.Assert(s.t, s.counts.Answered > 0, "no request got a response")
}
