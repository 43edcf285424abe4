package front

import (
	"time"
)

// Intervals of periodic messages between nodes. They grow with the number of nodes of each
// group, which bounds what a node sends and receives, and the traffic between zones.
const (
	sendInterval   = 200 * time.Millisecond // interval in the smallest fleets
	fullRateNodes  = 30                     // most other nodes with which leaders and watchers send at sendInterval; they send to all at one interval
	nearRateNodes  = 12                     // most other nodes of the zone to which others send at sendInterval
	farRateNodes   = 6                      // most nodes of other zones to which others send at sendInterval
	maxFarInterval = 4 * time.Second        // longest interval to nodes of other zones
)

// peerCounts are the numbers of other nodes, as far as their zones are known.
type peerCounts struct{ all, near, far int }

// count counts the peers again after one was added or removed, or its zone changed.
func (p *peers) count() {
	p.counts, p.leaders = peerCounts{all: len(p.byIP)}, nil
	clear(p.positions)
	for _, other := range p.byIP {
		if other.Zone == p.settings.Zone {
			p.counts.near++
		} else {
			p.counts.far++
		}
	}
}

// slowdown returns by which factor the interval is longer than sendInterval if nodes nodes
// are sent a message, of which atFullRate do not lengthen it.
func slowdown(nodes, atFullRate int) int { return max(1, (nodes+atFullRate-1)/atFullRate) }

// slowdown returns by which factor messages to all are less frequent than in small fleets.
func (p *peers) slowdown() int { return slowdown(p.counts.all, fullRateNodes) }

// sendInterval returns the interval of messages to all nodes.
func (p *peers) sendInterval() time.Duration { return sendInterval * time.Duration(p.slowdown()) }

// nearInterval returns the interval of messages to nodes of the zone.
func (p *peers) nearInterval() time.Duration {
	return sendInterval * time.Duration(slowdown(p.counts.near, nearRateNodes))
}

// farInterval returns the interval of messages to nodes of other zones.
func (p *peers) farInterval() time.Duration {
	return min(maxFarInterval, max(p.nearInterval(), sendInterval*time.Duration(slowdown(p.counts.far, farRateNodes))))
}

// shortestInterval returns the shortest interval at which messages are due to some node.
func (p *peers) shortestInterval() time.Duration { return min(p.nearInterval(), p.sendInterval()) }

// intervalTo returns the interval of this node's messages to the other one. toAll says that
// this node leads or watches for all, so that its messages matter to each of them.
func (p *peers) intervalTo(other *peer, toAll bool) time.Duration {
	switch {
	case toAll, other.leads(), other.Zone == "":
		return p.sendInterval()
	case other.Zone == p.settings.Zone:
		return p.nearInterval()
	}
	return p.farInterval()
}

// interval returns the interval at which the peer's messages are expected.
func (p *peer) interval() time.Duration {
	switch {
	case len(p.Leaders) > 0, p.ServersDigest != nil:
		return p.peerSet.sendInterval()
	case p.Zone == p.peerSet.settings.Zone:
		return p.peerSet.nearInterval()
	}
	return p.peerSet.farInterval()
}

// maxStateAge returns for how long what the peer's periodic messages say is used.
func (p *peer) maxStateAge() time.Duration {
	return time.Duration(stateAgeIntervals * float64(p.interval()))
}

// leaderStateAge returns for how long what leaders say is used.
func (p *peers) leaderStateAge() time.Duration {
	return time.Duration(stateAgeIntervals * float64(p.sendInterval()))
}

// maxStateAge returns for how long what is to reach all nodes is repeated in periodic messages.
func (p *peers) maxStateAge() time.Duration {
	return time.Duration(stateAgeIntervals * float64(max(p.farInterval(), p.sendInterval())))
}
