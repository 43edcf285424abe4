package front

import (
	"encoding/json"
	"math"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/platform"
)

// Terms of the messages between nodes.
const (
	tellEvery      = 200 * time.Millisecond  // a node's state, in fleets up to tellFleet nodes
	tellFleet      = 30                      // nodes; beyond, the interval grows in proportion, so that a node's traffic does not
	tellAtOnce     = 15 * time.Millisecond   // least pause between messages about what has just changed, grown as the interval
	tellLinkShare  = 0.2                     // of the VM's link that messages may take
	wholeEvery     = 3 * time.Second         // all of a node's state to each other
	wholeByHolder  = 500 * time.Millisecond  // the same of a node in charge of loads
	peerSilentFrom = 6 * time.Second         // since the last message, after which a node is told less often
	peerSilentTell = 2 * time.Second         // between messages to a node that is not heard
	viewsRound     = 1200 * time.Millisecond // in which each view is told again
	countsFor      = 7 * time.Second         // counts that have not changed for this long are not told: two whole messages
	tellStartedFor = 700 * time.Millisecond  // that a server is new
	startedPerTell = 4                       // entries in one datagram
	tellPartingFor = 15 * time.Second        // that a server leaves or is gone
	partingLight   = 3 * time.Second         // the same in light messages
	knownPerTell   = 4                       // nodes named in one light message
)

// audience says who is told at once. Greater ones include the smaller.
type audience uint8

const (
	whenDue       audience = iota
	holdersAtOnce          // nodes in charge of loads: what waits for models
	allAtOnce              // all nodes
)

// Sizes of the smallest VMs that nodes are placed on.
const (
	smallCPU  = 0.1  // cores
	smallLink = 10.0 // Mbit/s
)

// sizeClass returns how many times the scarcer of processor and link doubles that
// of a small VM. Work for the whole fleet is placed on VMs of the highest class.
func sizeClass(s platform.Settings) int {
	scarcer := min(s.CPUShare/smallCPU, s.LinkMbps/smallLink)
	if scarcer < 1 {
		return 0
	}
	return int(math.Log2(scarcer))
}

// intervals returns how many times the interval of a small fleet lies between two
// messages of a node.
func (p *peers) intervals() int { return max(1, (len(p.byIP)+tellFleet-1)/tellFleet) }

// tellEvery returns the interval between a node's messages.
func (p *peers) tellEvery() time.Duration { return tellEvery * time.Duration(p.intervals()) }

// tell sends this node's state to the others if it is due, or at once to those
// whom a change concerns. What comes too soon after the last message goes out
// with the next. n.mu is held.
func (n *Node) tell(now time.Time, to audience) {
	p := n.peers
	n.toTell = max(n.toTell, to)
	regular := now.Sub(n.lastRegular) >= p.tellEvery()
	if p.socket == nil || !regular && n.toTell == whenDue || now.Sub(n.lastTell) < n.tellPause {
		return
	}
	toAll := regular || n.toTell == allAtOnce
	n.lastTell, n.toTell = now, whenDue
	if regular {
		n.lastRegular = now
	}
	whole := n.message(now, toAll, regular)
	bytes := n.send(now, whole, toAll)
	n.tellPause = max(tellAtOnce*time.Duration(p.intervals()), n.linkTime(bytes))
}

// linkTime returns in which time messages of the size may be sent.
func (n *Node) linkTime(bytes int) time.Duration {
	if n.settings.LinkMbps <= 0 {
		return 0
	}
	const bitsPerByte, bitsPerMbit = 8, 1e6
	return time.Duration(float64(bytes) * bitsPerByte / bitsPerMbit / (tellLinkShare * n.settings.LinkMbps) * float64(time.Second))
}

// send sends the message to each node, whole or light, and returns the bytes
// sent. Each form is encoded if some node gets it. n.mu is held.
func (n *Node) send(now time.Time, m message, toAll bool) int {
	p := n.peers
	whole := sync.OnceValue(func() []byte { return n.encode(m) })
	light := sync.OnceValue(func() []byte { return n.encode(n.light(now, m)) })
	every := wholeEvery
	if len(m.Holders) > 0 {
		every = wholeByHolder
	}
	bytes := 0
	for ip, other := range p.byIP {
		if now.Sub(other.heard) > peerKeptFor && !slices.Contains(p.seeds, ip) {
			delete(p.byIP, ip)
			continue
		}
		alive, holds := other.alive(now), other.holds()
		silent := now.Sub(other.heard) > peerSilentFrom && now.Sub(other.told) < peerSilentTell
		if !toAll && !holds || silent {
			continue
		}
		other.told = now
		data := light
		if holds || !alive || now.Sub(other.wholeAt) >= every {
			data, other.wholeAt = whole, now
		}
		bytes += len(data())
		addr := &net.UDPAddr{IP: net.ParseIP(ip), Port: n.settings.PeerPort}
		if _, err := p.socket.WriteToUDP(data(), addr); err != nil {
			level.Debug(n.log).Log("event", "peer_send_failed", "peer", ip, "err", err)
		}
	}
	return bytes
}

func (n *Node) encode(m message) []byte {
	data, err := json.Marshal(m)
	if err != nil {
		level.Error(n.log).Log("event", "peer_message_failed", "err", err)
	}
	return data
}

// light returns the part of the message that changes often.
func (n *Node) light(now time.Time, m message) message {
	m.Light = true
	m.Wants, m.Counts, m.Parting, m.Known = nil, nil, nil, n.peers.someOf(m.Known)
	for _, g := range n.parting {
		if now.Sub(g.at) < partingLight {
			m.Parting = append(m.Parting, g)
		}
	}
	holders := map[string]*holderState{}
	for zone, h := range m.Holders {
		part := *h
		part.Planned, part.Bids = nil, nil
		holders[zone] = &part
	}
	m.Holders = holders
	return m
}

// message returns this node's state, views only if it goes to all nodes. n.mu is held.
func (n *Node) message(now time.Time, views, regular bool) message {
	p := n.peers
	p.sequence++
	m := message{
		Node: n.settings.Node, IP: n.settings.IP, Zone: n.settings.Zone, Class: sizeClass(n.settings), Run: p.run, Sequence: p.sequence,
		Front: n.settings.FrontListen, Ready: n.ready(), Leaving: n.leaving.Load(), InFlight: n.table.InFlight(),
		Down: n.table.Unreachable(now), Known: p.known(now),
	}
	if t := n.desired.Load(); t != nil {
		m.Desired = t.Version
	}
	for _, w := range n.list.Wants(now, n.table) {
		m.Wants = append(m.Wants, wantState{Service: w.Service, Model: w.Model, Adapter: w.Adapter, Count: w.Count,
			Priority: w.Priority, LeftMS: w.GiveUp.Sub(now).Milliseconds()})
	}
	for key, c := range n.arrivals {
		if now.Sub(c.at) < countsFor {
			m.Counts = append(m.Counts, countState{Service: key.service, Model: key.model, Adapter: key.adapter, Fast: key.fast, Count: c.count})
		}
	}
	n.parting = slices.DeleteFunc(n.parting, func(g parting) bool { return now.Sub(g.at) > tellPartingFor })
	m.Parting = n.parting
	n.started = slices.DeleteFunc(n.started, func(s startedServer) bool { return now.Sub(s.at) > tellStartedFor })
	for _, s := range n.started[max(0, len(n.started)-startedPerTell):] {
		m.Started = append(m.Started, s.entry)
	}
	m.StoreMS = now.Sub(n.storeAt).Milliseconds()
	for _, c := range n.cells {
		if h := n.holderState(now, c); h != nil {
			if m.Holders == nil {
				m.Holders = map[string]*holderState{}
			}
			m.Holders[c.zone] = h
		}
	}
	if views {
		m.Views = n.viewsToTell(now, regular)
	}
	return m
}

// known returns the nodes that are alive.
func (p *peers) known(now time.Time) []string {
	var known []string
	for ip, other := range p.byIP {
		if other.alive(now) {
			known = append(known, ip)
		}
	}
	slices.Sort(known)
	return known
}

// someOf returns some of the nodes, others each time.
func (p *peers) someOf(known []string) []string {
	var some []string
	for range min(knownPerTell, len(known)) {
		p.knownAt++
		some = append(some, known[p.knownAt%len(known)])
	}
	return some
}
