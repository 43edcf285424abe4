package front

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/replicas"
	"github.com/redwingnotch/redwingnotch/waiting"
)

// Terms of what is known of other nodes.
const (
	peerAliveFor    = 1200 * time.Millisecond // without a message
	peerAliveTells  = 3.5                     // messages that may be lost, in fleets where that takes longer
	peerKeptFor     = 30 * time.Second        // silent peers are told less often, and then forgotten
	maxDatagram     = 64 << 10
	storeAfterSlack = 300 * time.Millisecond // the time that a message and a call may take
)

// message is what a node tells the others. It holds the sender's state; a later
// one replaces an earlier one.
type message struct {
	Node     string                  `json:"n"`
	IP       string                  `json:"a"`
	Zone     string                  `json:"z"`
	Class    int                     `json:"m,omitempty"` // of the node's VM, see sizeClass
	Light    bool                    `json:"i,omitempty"` // only what changes often: the rest is as the last whole message told
	Run      int64                   `json:"r"`           // start of the sender's process, by the time of day, in nanoseconds
	Sequence uint64                  `json:"q"`           // rises with each message of a run
	Front    string                  `json:"f"`           // address for callers
	Ready    bool                    `json:"y,omitempty"`
	Leaving  bool                    `json:"x,omitempty"`
	Desired  uint64                  `json:"d,omitempty"` // version of the desired state in force
	StoreMS  int64                   `json:"s"`           // since the store last answered
	Holders  map[string]*holderState `json:"h,omitempty"` // by cell
	InFlight map[string]int          `json:"l,omitempty"`
	Wants    []wantState             `json:"w,omitempty"`
	Counts   []countState            `json:"c,omitempty"`
	Views    []replicas.View         `json:"v,omitempty"`
	Down     []string                `json:"u,omitempty"` // servers to which the node could not connect lately
	Parting  []parting               `json:"g,omitempty"` // servers that leave or are gone
	Started  []replicas.Entry        `json:"e,omitempty"` // servers that the node learnt of lately
	Known    []string                `json:"k,omitempty"` // IPs of some other nodes
}

// holderState is what a node says of its tenure.
type holderState struct {
	Token   uint64                        `json:"t"`
	Holding bool                          `json:"h,omitempty"`
	Planned map[string]int64              `json:"p,omitempty"` // model that waits for the weight store: milliseconds until it is expected
	Bids    map[string]map[string]float64 `json:"b,omitempty"` // by service, and by model or model/adapter
	SinceMS map[string]int64              `json:"o,omitempty"` // if not holding: by server, since its last order under the token had ended
}

// wantState is one waiting.Want on its way.
type wantState struct {
	Service  string `json:"s"`
	Model    string `json:"m"`
	Adapter  string `json:"a,omitempty"`
	Count    int    `json:"n"`
	Priority int    `json:"p,omitempty"`
	LeftMS   int64  `json:"l"` // until the last of them gives up
}

// countState is the number of requests for a model since the sender's start.
type countState struct {
	Service string `json:"s"`
	Model   string `json:"m"`
	Adapter string `json:"a,omitempty"`
	Fast    bool   `json:"f,omitempty"`
	Count   int    `json:"n"`
}

// parting is a server that leaves or is gone.
type parting struct {
	ID       string    `json:"i"`
	Revision uint64    `json:"b"` // of its newest entry
	at       time.Time // when this node learnt it from the store
}

// startedServer is a server that this node learnt of.
type startedServer struct {
	entry replicas.Entry
	at    time.Time
}

type arrivalKey struct {
	service, model, adapter string
	fast                    bool
}

type arrivalCount struct {
	count int
	at    time.Time
}

// peer is what this node knows of another.
type peer struct {
	message
	fleet   *peers
	heard   time.Time
	told    time.Time
	wholeAt time.Time // when it was last told all
	wants   []waiting.Want
	counts  map[arrivalKey]int
}

// peers are the other nodes. Guarded by Node.mu, but for the socket.
type peers struct {
	settings platform.Settings
	socket   *net.UDPConn
	run      int64
	began    time.Time
	sequence uint64
	byIP     map[string]*peer
	seeds    []string // IPs
	knownAt  int      // position in the list of nodes that the next message names
}

func newPeers(now time.Time, s platform.Settings) *peers {
	p := &peers{settings: s, run: time.Now().UnixNano(), began: now, byIP: map[string]*peer{}}
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err == nil && host != s.IP {
			p.seeds = append(p.seeds, host)
			p.know(now, host)
		}
	}
	return p
}

// know adds a node that is worth telling.
func (p *peers) know(now time.Time, ip string) *peer {
	if ip == p.settings.IP {
		return nil
	}
	if p.byIP[ip] == nil {
		p.byIP[ip] = &peer{message: message{IP: ip}, fleet: p, heard: now.Add(-p.aliveFor()), counts: map[arrivalKey]int{}}
	}
	return p.byIP[ip]
}

func (p *peer) alive(now time.Time) bool {
	return p.Node != "" && now.Sub(p.heard) < p.fleet.aliveFor()
}

// aliveFor is for how long a node that is not heard is taken as alive.
func (p *peers) aliveFor() time.Duration {
	return max(peerAliveFor, time.Duration(peerAliveTells*float64(p.tellEvery())))
}

// holds reports whether the node says that it holds the tenure of some cell.
func (p *peer) holds() bool {
	for _, h := range p.Holders {
		if h.Holding {
			return true
		}
	}
	return false
}

// alive counts the other nodes that were heard lately.
func (p *peers) alive(now time.Time) int {
	n := 0
	for _, other := range p.byIP {
		if other.alive(now) {
			n++
		}
	}
	return n
}

// fronts returns the callers' addresses of the other nodes that take requests,
// those of the zone apart.
func (p *peers) fronts(now time.Time, zone string) (near, all []string) {
	for _, other := range p.byIP {
		if !other.alive(now) || !other.Ready || other.Leaving {
			continue
		}
		all = append(all, other.Front)
		if other.Zone == zone {
			near = append(near, other.Front)
		}
	}
	slices.Sort(near)
	slices.Sort(all)
	return near, all
}

// holderAlive reports whether another node says that it holds a cell's tenure.
func (p *peers) holderAlive(now time.Time, zone string) bool {
	for _, other := range p.byIP {
		if h := other.Holders[zone]; h != nil && h.Holding && other.alive(now) {
			return true
		}
	}
	return false
}

// bid returns what the holder of a cell's tenure bids for a model or adapter.
func (p *peers) bid(now time.Time, zone, service, name string) (float64, bool) {
	for _, other := range p.byIP {
		if h := other.Holders[zone]; h != nil && h.Holding && other.alive(now) {
			cost, told := h.Bids[service][name]
			return cost, told
		}
	}
	return 0, false
}

// storeAfter reports whether the store has answered another node after the time.
func (p *peers) storeAfter(now, after time.Time) bool {
	for _, other := range p.byIP {
		if other.alive(now) && other.heard.Add(-time.Duration(other.StoreMS)*time.Millisecond).After(after.Add(storeAfterSlack)) {
			return true
		}
	}
	return false
}

// wants returns what requests at other nodes wait for.
func (p *peers) wants(now time.Time) []waiting.Want {
	var wants []waiting.Want
	for _, other := range p.byIP {
		if !other.alive(now) {
			continue
		}
		for _, w := range other.wants {
			if now.Before(w.GiveUp) {
				wants = append(wants, w)
			}
		}
	}
	return wants
}

// listenPeers opens the socket for messages between nodes.
func listenPeers(s platform.Settings) (*net.UDPConn, error) {
	addr, err := net.ResolveUDPAddr("udp4", net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort)))
	if err != nil {
		return nil, fmt.Errorf("peers' address: %w", err)
	}
	socket, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, fmt.Errorf("peers' address: %w", err)
	}
	return socket, nil
}

// receive handles the messages of other nodes.
func (n *Node) receive(ctx context.Context) error {
	buffer := make([]byte, maxDatagram)
	for {
		size, _, err := n.peers.socket.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return nil
		}
		if err != nil {
			level.Warn(n.log).Log("event", "peer_receive_failed", "err", err)
			sleep(ctx, tellEvery)
			continue
		}
		var m message
		if err := json.Unmarshal(buffer[:size], &m); err != nil || m.Node == "" || m.IP == "" {
			level.Warn(n.log).Log("event", "peer_message_unreadable", "bytes", size, "err", err)
			continue
		}
		n.heard(m)
	}
}

// heard takes over another node's state.
func (n *Node) heard(m message) {
	now := bootclock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.peers.know(now, m.IP)
	if p == nil {
		return
	}
	if p.Run == m.Run && m.Sequence <= p.Sequence {
		return // overtaken by a later message
	}
	if !p.alive(now) || p.Run != m.Run {
		level.Info(n.log).Log("event", "peer", "peer", m.Node, "address", m.IP, "zone", m.Zone, "run", m.Run)
	}
	if p.Run != m.Run {
		p.counts = map[arrivalKey]int{}
	}
	if m.Light {
		p.keepRest(&m)
	}
	p.message, p.heard = m, now
	for _, ip := range m.Known {
		n.peers.know(now, ip)
	}
	n.table.SetPeerLoad(now, m.IP, m.InFlight)
	for _, server := range m.Down {
		n.table.PeerUnreachable(now, server)
	}
	p.wants = p.wants[:0]
	for _, w := range m.Wants {
		p.wants = append(p.wants, waiting.Want{Service: w.Service, Model: w.Model, Adapter: w.Adapter, Count: w.Count,
			Priority: w.Priority, GiveUp: now.Add(time.Duration(w.LeftMS) * time.Millisecond)})
	}
	for _, e := range m.Started {
		n.takeEntry(e, m.Node)
	}
	for _, g := range m.Parting {
		if n.table.PeerLeaving(g.ID, g.Revision) {
			level.Info(n.log).Log("event", "server", "server", g.ID, "draining", true, "revision", g.Revision, "source", m.Node)
		}
	}
	n.heardCounts(now, p, m.Counts)
	n.heardHolders(now, m)
	if t := n.desired.Load(); t == nil || m.Desired > t.Version {
		n.desiredNews(m.Desired)
	}
	n.pump(now)
}

// keepRest completes a light message by what the last whole one told.
func (p *peer) keepRest(m *message) {
	for zone, h := range m.Holders {
		if before := p.Holders[zone]; before != nil && h.Holding && before.Holding {
			h.Bids, h.Planned = before.Bids, before.Planned
		}
	}
}

func (n *Node) heardCounts(now time.Time, p *peer, counts []countState) {
	for _, c := range counts {
		key := arrivalKey{c.Service, c.Model, c.Adapter, c.Fast}
		if more := c.Count - p.counts[key]; more > 0 {
			n.arrived(now, key, more)
		}
		p.counts[key] = max(p.counts[key], c.Count)
	}
}

// heardHolders takes over what nodes in charge of loads tell.
func (n *Node) heardHolders(now time.Time, m message) {
	for _, c := range n.cells {
		h := m.Holders[c.zone]
		if h == nil || h.Holding {
			continue
		}
		since := map[string]time.Duration{}
		for server, ms := range h.SinceMS {
			since[server] = time.Duration(ms) * time.Millisecond
		}
		c.tenure.HolderReleased(now, h.Token, since)
	}
	if !m.Light {
		planned := map[string]time.Time{}
		for _, h := range m.Holders {
			for model, ms := range h.Planned {
				planned[model] = now.Add(time.Duration(ms) * time.Millisecond)
			}
		}
		n.table.SetPlanned(now, m.IP, planned)
	}
	for _, v := range m.Views {
		if v.Loading != "" {
			v.LoadEnds = now.Add(time.Duration(v.LoadInMS) * time.Millisecond)
		}
		n.table.SetView(now, v)
	}
}
