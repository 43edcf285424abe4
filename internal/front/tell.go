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

// Limits of the messages between nodes.
const (
	minPublishGap             = 15 * time.Millisecond   // least time between messages about changes; grows like sendInterval
	publishLinkShare          = 0.2                     // part of the VM's link that messages may use
	fullMessageInterval       = 3 * time.Second         // interval of full messages to one node; grows like sendInterval
	leaderFullMessageInterval = 500 * time.Millisecond  // interval of full messages to one node while the sender publishes a cell's leadership
	peerUnresponsiveAfter     = 6 * time.Second         // time without a message after which a node is sent fewer messages
	unresponsivePeerInterval  = 2 * time.Second         // least time between messages to an unresponsive node
	statusRepublishPeriod     = 1200 * time.Millisecond // time within which each unchanged server status is sent once more
	arrivalsPublishedFor      = 7 * time.Second         // time after a count's last change for which it is sent; covers two full messages
	newServersPublishedFor    = 700 * time.Millisecond  // least time for which a new server is named
	maxNewServersPerMessage   = 4                       // limit of new servers in one message
	departuresPublishedFor    = 15 * time.Second        // time for which full messages name a departing server
	departuresInPartialFor    = 3 * time.Second         // least time for which partial messages name a departing server
	maxKnownPerPartial        = 4                       // limit of live nodes named in one partial message
)

// sendScope says which nodes are sent a message at once. A greater one includes
// the smaller ones.
type sendScope uint8

const (
	sendPeriodic   sendScope = iota // none: the change is sent with the next periodic message
	sendLeadersNow                  // nodes that lead a cell: demand has changed
	sendAllNow                      // all nodes
)

// Size of the smallest VMs on which nodes run.
const (
	smallVMCores    = 0.1
	smallVMLinkMbps = 10.0
)

// vmClass returns the size of the VM relative to the smallest one, as a base-2
// logarithm rounded down to an integer of at least 0. The scarcer of processor
// share and link rate counts. Nodes on VMs of the highest class rank first for
// work on behalf of the whole fleet.
func vmClass(s platform.Settings) int {
	scarcer := min(s.CPUShare/smallVMCores, s.LinkMbps/smallVMLinkMbps)
	if scarcer < 1 {
		return 0
	}
	return int(math.Log2(scarcer))
}

// publish sends this node's state to the nodes in the scope, or to all if a
// periodic message is due. If the last message is too recent, the change is sent
// with the next one. The caller holds n.mu.
func (n *Node) publish(now time.Time, scope sendScope) {
	p := n.peers
	n.pendingScope = max(n.pendingScope, scope)
	periodic := now.Sub(n.lastPeriodicSent) >= p.shortestInterval()
	if p.socket == nil || !periodic && n.pendingScope == sendPeriodic || now.Sub(n.lastSent) < n.minSendGap {
		return
	}
	scope = n.pendingScope
	n.lastSent, n.pendingScope = now, sendPeriodic
	if periodic {
		n.lastPeriodicSent = now
	}
	full := n.message(now, periodic || scope == sendAllNow, periodic)
	bytes := n.sendToPeers(now, full, scope, periodic)
	n.minSendGap = max(minPublishGap*time.Duration(p.slowdown()), n.minSendTime(bytes))
}

// minSendTime returns the time over which the bytes are to be spread to stay
// within the messages' share of the link.
func (n *Node) minSendTime(bytes int) time.Duration {
	if n.settings.LinkMbps <= 0 {
		return 0
	}
	const bitsPerByte, bitsPerMbit = 8, 1e6
	return time.Duration(float64(bytes) * bitsPerByte / bitsPerMbit / (publishLinkShare * n.settings.LinkMbps) * float64(time.Second))
}

// sendToPeers sends the message to each node in the scope and, if periodic, to each to which
// one is due, as a full or partial one, and returns the number of bytes sent. It forgets
// peers that have been unresponsive for long. The caller holds n.mu.
func (n *Node) sendToPeers(now time.Time, m message, scope sendScope, periodic bool) int {
	p := n.peers
	full := sync.OnceValue(func() []byte { return n.encode(m) })
	partial := sync.OnceValue(func() []byte { return n.encode(n.partial(now, m)) })
	// What full messages say beyond partial ones is for leaders, which get them each time,
	// and for nodes that may lead next.
	every := fullMessageInterval * time.Duration(p.slowdown())
	if len(m.Leaders) > 0 {
		every = leaderFullMessageInterval
	}
	special := len(m.Leaders) > 0 || m.ServersDigest != nil
	bytes := 0
	for ip, other := range p.byIP {
		if now.Sub(other.received) > peerForgetAfter && !slices.Contains(p.seeds, ip) {
			delete(p.byIP, ip)
			p.count()
			continue
		}
		alive, leads := other.alive(now), other.leads()
		skip := now.Sub(other.received) > peerUnresponsiveAfter && now.Sub(other.lastSent) < unresponsivePeerInterval
		due := periodic && now.Sub(other.lastSent) >= p.intervalTo(other, special)-tickInterval
		wanted := scope == sendAllNow || scope == sendLeadersNow && leads
		if !due && !wanted || skip {
			continue
		}
		other.lastSent = now
		data := partial
		if leads || !alive || now.Sub(other.lastFullSent) >= every {
			data, other.lastFullSent = full, now
		}
		bytes += len(data())
		addr := &net.UDPAddr{IP: net.ParseIP(ip), Port: n.settings.PeerPort}
		if _, err := p.socket.WriteToUDP(data(), addr); err != nil {
			level.Debug(n.log).Log("event", "peer_send_failed", "peer", ip, "err", err)
		}
	}
	return bytes
}

// encode returns the message in JSON.
func (n *Node) encode(m message) []byte {
	data, err := json.Marshal(m)
	if err != nil {
		level.Error(n.log).Log("event", "peer_message_failed", "err", err)
	}
	return data
}

// partial returns the part of the message that changes often. The caller holds
// n.mu.
func (n *Node) partial(now time.Time, m message) message {
	m.Partial = true
	m.Demand, m.Arrivals, m.Departing, m.KnownIPs = nil, nil, nil, n.peers.nextOf(m.KnownIPs)
	m.Capacity = m.Capacity.partial()
	m.Ends, m.Refusals = latestEnds(m.Ends), n.latestRefusals(now, m.Refusals)
	for _, d := range n.departing {
		if now.Sub(d.at) < max(departuresInPartialFor, n.peers.maxStateAge()) {
			m.Departing = append(m.Departing, d)
		}
	}
	leaders := map[string]*leaderState{}
	for zone, leader := range m.Leaders {
		part := *leader
		part.ExpectedReady, part.LoadCosts = nil, nil
		leaders[zone] = &part
	}
	m.Leaders = leaders
	return m
}

// message returns this node's state, with server statuses if they are asked for.
// The caller holds n.mu.
func (n *Node) message(now time.Time, statuses, periodic bool) message {
	p := n.peers
	p.sequence++
	m := message{
		Node: n.settings.Node, IP: n.settings.IP, Zone: n.settings.Zone, VMClass: vmClass(n.settings), Incarnation: p.incarnation, Sequence: p.sequence,
		SentMS: 1 + now.Sub(p.startedAt).Milliseconds(), CallerAddr: n.settings.CallerListen, Ready: n.ready(), Stopping: n.stopping.Load(), InFlight: n.table.InFlight(),
		Down: n.table.Unreachable(now), Capacity: n.capacityReport(now), KnownIPs: p.aliveIPs(now),
	}
	m.tokensInFlight = tokensInFlight(n.table.TokensInFlight(n.queue.CacheWaiters()))
	if t := n.desired.Load(); t != nil {
		m.DesiredVersion = t.Version
		if age, confirmed := n.sync.OwnConfirmedAge(now); confirmed {
			ms := age.Milliseconds()
			m.ConfirmedAgeMS = &ms
		}
	}
	for _, w := range n.queue.Demand(now, n.table) {
		m.Demand = append(m.Demand, demandState{Service: w.Service, Model: w.Model, Adapter: w.Adapter, Software: w.Software, Count: w.Count,
			Priority: w.Priority, RemainingMS: w.Deadline.Sub(now).Milliseconds()})
	}
	for key, c := range n.arrivals {
		if now.Sub(c.at) < arrivalsPublishedFor {
			m.Arrivals = append(m.Arrivals, arrivalState{Service: key.service, Model: key.model, Adapter: key.adapter, Fast: key.fast, Count: c.count})
		}
	}
	n.departing = slices.DeleteFunc(n.departing, func(d departing) bool { return now.Sub(d.at) > departuresPublishedFor })
	m.Departing = n.departing
	n.newServers = slices.DeleteFunc(n.newServers, func(s newServer) bool { return now.Sub(s.at) > max(newServersPublishedFor, p.maxStateAge()) })
	for _, s := range n.newServers[max(0, len(n.newServers)-maxNewServersPerMessage):] {
		m.NewServers = append(m.NewServers, s.entry)
	}
	serversAge := now.Sub(n.serversAsOf).Milliseconds()
	m.ServersAgeMS = &serversAge
	if p.successorPosition(now, "") < frequentWatchers {
		digest := n.table.Digest()
		m.ServersDigest = &digest
	}
	m.Limits = n.limitStates(now)
	n.addSuspects(now, &m)
	m.StoreAgeMS = now.Sub(n.lastStoreContact).Milliseconds()
	for _, c := range n.cells {
		if leader := n.leaderState(now, c); leader != nil {
			if m.Leaders == nil {
				m.Leaders = map[string]*leaderState{}
			}
			m.Leaders[c.zone] = leader
		}
	}
	if statuses {
		m.Statuses = n.statusesToPublish(now, periodic)
	}
	return m
}

// aliveIPs returns the IPs of the nodes that are alive, sorted.
func (p *peers) aliveIPs(now time.Time) []string {
	var aliveIPs []string
	for ip, other := range p.byIP {
		if other.alive(now) {
			aliveIPs = append(aliveIPs, ip)
		}
	}
	slices.Sort(aliveIPs)
	return aliveIPs
}

// nextOf returns up to maxKnownPerPartial of the IPs, in rotation.
func (p *peers) nextOf(ips []string) []string {
	var some []string
	for range min(maxKnownPerPartial, len(ips)) {
		p.knownOffset++
		some = append(some, ips[p.knownOffset%len(ips)])
	}
	return some
}
