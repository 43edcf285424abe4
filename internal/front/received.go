package front

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"time"

	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/leadership"
	"github.com/redwingnotch/redwingnotch/replicas"
	"github.com/redwingnotch/redwingnotch/waiting"
)

// receive handles the messages of other nodes until the socket is closed.
func (n *Node) receive(ctx context.Context) error {
	buffer := make([]byte, maxDatagram)
	for {
		size, from, err := n.peers.socket.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return nil
		}
		if err != nil {
			level.Warn(n.log).Log("event", "peer_receive_failed", "err", err)
			sleep(ctx, sendInterval)
			continue
		}
		if n.receiveStreams(buffer[:size]) || n.receiveConfirm(buffer[:size]) || n.receiveAllowance(from.IP, buffer[:size]) {
			continue
		}
		m, err := decodeMessage(buffer[:size])
		if err != nil {
			level.Warn(n.log).Log("event", "peer_message_unreadable", "bytes", size, "err", err)
			continue
		}
		n.received(m)
	}
}

// errNoSender means that a message names no sender.
var errNoSender = errors.New("message names no sender")

// decodeMessage decodes a message of another node, without the parts that can't be used.
func decodeMessage(data []byte) (message, error) {
	var m message
	if err := json.Unmarshal(data, &m); err != nil {
		return message{}, fmt.Errorf("decode message: %w", err)
	}
	if m.Node == "" || m.IP == "" {
		return message{}, errNoSender
	}
	maps.DeleteFunc(m.Leaders, func(_ string, l *leaderState) bool { return l == nil })
	return m, nil
}

// received replaces the state known of another node by that in its message,
// unless a later one was received before.
func (n *Node) received(m message) { n.receivedAt(bootclock.Now(), m) }

// receivedAt handles a message as received does, at the time now.
func (n *Node) receivedAt(now time.Time, m message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.peers.add(now, m.IP)
	if p == nil {
		return
	}
	if p.Incarnation == m.Incarnation && m.Sequence <= p.Sequence {
		return // received out of order
	}
	if m.Incarnation < p.Incarnation && p.alive(now) {
		// Sent by an earlier run. A run that started after the clock was set back is
		// accepted once the one before is silent.
		return
	}
	if !p.alive(now) || p.Incarnation != m.Incarnation {
		if t := n.desired.Load(); t != nil && len(t.Teams) > 0 {
			p.lastSent = time.Time{} // allowances are divided by what a node knows of the others, so it is told soon
		}
		level.Info(n.log).Log("event", "peer", "peer", m.Node, "address", m.IP, "zone", m.Zone, "run", m.Incarnation)
	}
	delay := p.delays.observe(now, m.Incarnation, m.SentMS)
	p.startCounts(now, m)
	if m.Partial {
		p.completePartial(&m)
	}
	n.peers.replace(now, p, m)
	n.table.SetLeaderStateAge(n.peers.leaderStateAge())
	for _, ip := range m.KnownIPs {
		n.peers.add(now, ip)
	}
	n.table.SetPeerLoad(now, m.IP, m.InFlight, p.maxStateAge())
	n.table.SetPeerTokens(m.IP, replicas.PeerTokens(m.tokensInFlight))
	for _, server := range m.Down {
		n.table.MarkUnreachable(now, server)
		n.serverDown(now, server)
	}
	p.setDemand(now, m.Demand)
	for _, e := range m.NewServers {
		n.applyEntry(e, m.Node)
	}
	for _, d := range m.Departing {
		if d.Removed {
			n.removedElsewhere(now, d, m.Node)
		} else if n.table.MarkDraining(d.ID, d.Revision) {
			level.Info(n.log).Log("event", "server", "server", d.ID, "draining", true, "revision", d.Revision, "source", m.Node)
		}
	}
	if m.ServersDigest != nil && m.ServersAgeMS != nil && *m.ServersDigest == n.table.Digest() {
		n.serversFollowed.Confirm(now.Add(-delay - time.Duration(*m.ServersAgeMS)*time.Millisecond))
	}
	n.applyLimits(now, m.Limits, delay)
	n.applySuspects(now, m)
	n.applyArrivals(now, p, m.Arrivals)
	n.applyLeaders(now, m)
	n.applyCapacity(now, m.IP, m.Capacity)
	n.sync.PeerReported(now, m.DesiredVersion, m.confirmedAge(delay))
	n.keys.noteVersion(m.DesiredVersion)
	n.dispatchWaiting(now)
}

// setDemand replaces the demand by that of the latest message.
func (p *peer) setDemand(now time.Time, demand []demandState) {
	p.demand = p.demand[:0]
	for _, s := range demand {
		p.demand = append(p.demand, waiting.ModelDemand{Service: s.Service, Model: s.Model, Adapter: s.Adapter, Count: s.Count,
			Software: s.Software, Priority: s.Priority, Deadline: now.Add(time.Duration(s.RemainingMS) * time.Millisecond)})
	}
}

// removedElsewhere removes a server whose entry another node has seen removed, unless a newer
// entry is known. The caller holds n.mu.
func (n *Node) removedElsewhere(now time.Time, d departing, source string) {
	if e, known := n.table.Entry(d.ID); known && e.Revision <= d.Revision {
		n.table.Remove(now, d.ID, d.Revision)
		level.Info(n.log).Log("event", "server_gone", "server", d.ID, "reason", "entry removed", "source", source)
	}
}

// replace replaces what is known of a peer by its message.
func (p *peers) replace(now time.Time, other *peer, m message) {
	moved := other.Zone != m.Zone
	if moved || other.VMClass != m.VMClass || other.Stopping != m.Stopping || !other.alive(now) {
		clear(p.positions)
	}
	if len(other.Leaders) > 0 || len(m.Leaders) > 0 {
		p.leaders = nil
	}
	other.message, other.received = m, now
	if moved {
		p.count()
	}
}

// completePartial fills in what a partial message leaves out of the leaders'
// states, from the last message received.
func (p *peer) completePartial(m *message) {
	for zone, leader := range m.Leaders {
		if before := p.Leaders[zone]; before != nil && leader.Leading && before.Leading {
			leader.LoadCosts, leader.ExpectedReady = before.LoadCosts, before.ExpectedReady
		}
	}
}

// startCounts discards the counts of the peer's requests if the message is the first full
// one of a run, or the first after a time without full ones.
func (p *peer) startCounts(now time.Time, m message) {
	if m.Partial {
		return
	}
	followed := p.Node != "" && now.Sub(p.fullReceived) < arrivalsPublishedFor
	p.fullReceived = now
	if followed && p.countedRun == m.Incarnation {
		return
	}
	p.countedRun = m.Incarnation
	p.arrivals, p.fromStart = map[arrivalKey]int{}, followed
}

// newArrivals returns how many requests have arrived at the peer since its last
// count. The first count may include requests from long before this node received
// the peer's messages; only one is then known to be recent.
func (p *peer) newArrivals(key arrivalKey, count int) int {
	before, known := p.arrivals[key]
	p.arrivals[key] = max(before, count)
	if !known && !p.fromStart {
		return min(1, count)
	}
	return max(0, count-before)
}

// applyArrivals passes the requests that arrived at a peer since its last counts to
// the loaders.
func (n *Node) applyArrivals(now time.Time, p *peer, arrivals []arrivalState) {
	for _, c := range arrivals {
		key := arrivalKey{c.Service, c.Model, c.Adapter, c.Fast}
		if more := p.newArrivals(key, c.Count); more > 0 {
			n.arrived(now, key, more)
		}
	}
}

// applyLeaders applies what the sender publishes about the leadership of cells, about
// planned loads and about server statuses.
func (n *Node) applyLeaders(now time.Time, m message) {
	for _, c := range n.cells {
		leader := m.Leaders[c.zone]
		if leader == nil || leader.Leading {
			continue
		}
		resignation := leadership.Resignation{Token: leader.Token, OrderAges: map[string]time.Duration{}}
		for server, ms := range leader.OrderAgeMS {
			resignation.OrderAges[server] = time.Duration(ms) * time.Millisecond
		}
		if c.leadership.LeaderResigned(now, resignation) {
			level.Info(n.log).Log("event", "tenure_resignation", "cell", c.zone, "token", leader.Token, "peer", m.Node, "run", m.Incarnation)
		}
	}
	if !m.Partial {
		planned := map[string]time.Time{}
		for _, leader := range m.Leaders {
			for model, ms := range leader.ExpectedReady {
				planned[model] = now.Add(time.Duration(ms) * time.Millisecond)
			}
		}
		n.table.SetPlanned(now, m.IP, planned)
	}
	leads := n.leadsNow(now, m)
	for _, status := range m.Statuses {
		if server, known := n.table.Entry(status.ID); !known || !leads[server.Zone] {
			continue
		}
		if status.Loading != "" {
			status.LoadEnds = now.Add(time.Duration(status.LoadInMS) * time.Millisecond)
		}
		n.table.SetServerStatus(now, status)
	}
}

// leadsNow returns the cells that the sender leads, without those of which a leader
// with a higher token is known: the message was sent before that one took over.
func (n *Node) leadsNow(now time.Time, m message) map[string]bool {
	leads := map[string]bool{}
	for zone, leader := range m.Leaders {
		leads[zone] = leader.Leading && leader.Token >= n.peers.leaderToken(now, zone)
	}
	for _, c := range n.cells {
		if c.leadership.Leading(now) {
			leads[c.zone] = false
		}
	}
	return leads
}

// leaderToken returns the highest token with which a live node publishes that it leads
// the cell; zero if none does.
func (p *peers) leaderToken(now time.Time, zone string) uint64 {
	highest := uint64(0)
	for _, other := range p.leading() {
		if leader := other.Leaders[zone]; leader != nil && leader.Leading && other.alive(now) {
			highest = max(highest, leader.Token)
		}
	}
	return highest
}
