package front

import (
	"net"
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/allowance"
	"github.com/redwingnotch/redwingnotch/platform"
)

// Limits of the view of the fleet that allowances are divided by.
const (
	contactInterval   = 400 * time.Millisecond // interval at which nodes that hold teams are told that a node is alive
	viewInterval      = 100 * time.Millisecond // interval at which the view is derived again; well below allowance.MaxGap
	minReachedTimeout = time.Second            // least time without a message after which a node does not count as reached
	reachedIntervals  = 1.25                   // time without a message after which a node does not count as reached, in send intervals
	reachedSlack      = 200 * time.Millisecond // in addition: a message may be late
	youngFor          = 2 * time.Second        // time after its start in which a node holds no team if others can: it does not know the fleet yet
	minLargeNodes     = 3                      // nodes on VMs above the smallest class from which on only they hold teams
)

// reachedTimeout returns the time without a message after which a node with the send interval does
// not count as reached. It is shorter than aliveTimeout: for so long, the part of an allowance that
// the node may use on its own is granted to others as well.
func reachedTimeout(interval time.Duration) time.Duration {
	return max(minReachedTimeout, time.Duration(reachedIntervals*float64(interval))+reachedSlack)
}

// fleetView derives the view of the fleet, and the IPs of the other nodes that are alive. The caller
// holds n.mu and the mutex of the allowances.
func (n *Node) fleetView(now time.Time) (allowance.View, map[string]bool) {
	p := n.peers
	known := map[string]bool{}
	v := allowance.View{Reached: map[string]allowance.Contact{}, Silence: reachedTimeout(max(p.farInterval(), p.sendInterval()))}
	var candidates []holderCandidate
	if n.ready() {
		candidates = append(candidates, holderCandidate{n.settings.IP, now.Sub(p.startedAt) < youngFor, vmClass(n.settings) == 0})
	}
	for ip, other := range p.byIP {
		if !other.alive(now) {
			continue
		}
		known[ip] = true
		heard := other.received
		if at := n.allowances.heard[ip]; at.After(heard) {
			heard = at
		}
		silent := now.Sub(heard)
		if silent >= reachedTimeout(other.interval()) {
			continue
		}
		young := time.Duration(other.SentMS)*time.Millisecond+now.Sub(other.received) < youngFor
		v.Reached[ip] = allowance.Contact{Heard: heard, Young: young}
		if other.Ready && !other.Stopping {
			candidates = append(candidates, holderCandidate{ip, young, other.VMClass == 0})
		}
	}
	v.Candidates = holderCandidates(candidates)
	return v, known
}

// holderCandidate is a node that takes requests.
type holderCandidate struct {
	ip           string
	young, small bool
}

// holderCandidates returns the IPs of the nodes that may hold teams, sorted.
func holderCandidates(all []holderCandidate) []string {
	keep := func(drop func(holderCandidate) bool, least int) {
		if rest := slices.DeleteFunc(slices.Clone(all), drop); len(rest) >= least {
			all = rest
		}
	}
	keep(func(c holderCandidate) bool { return c.young }, 1)
	keep(func(c holderCandidate) bool { return c.small }, minLargeNodes)
	var ips []string
	for _, c := range all {
		ips = append(ips, c.ip)
	}
	slices.Sort(ips)
	return ips
}

// hasOtherSeeds reports whether the settings name other nodes.
func hasOtherSeeds(s platform.Settings) bool {
	return slices.ContainsFunc(s.Seeds, func(seed string) bool {
		host, _, err := net.SplitHostPort(seed)
		return err == nil && host != s.IP
	})
}
