package front

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/replicas"
	"github.com/redwingnotch/redwingnotch/waiting"
)

// Limits of the state about other nodes.
const (
	minPeerAliveTimeout = 1200 * time.Millisecond // time without a message after which a node no longer counts as alive
	peerAliveIntervals  = 3.5                     // time without a message after which a node no longer counts as alive, in send intervals; applies if it is longer than minPeerAliveTimeout
	stateAgeIntervals   = 2.5                     // age up to which what periodic messages say is used, in send intervals: one may be lost
	peerForgetAfter     = 30 * time.Second        // time without a message after which a peer that is no seed is removed
	maxDatagram         = 64 << 10                // size of the receive buffer for one message, bytes
	storeContactSlack   = 300 * time.Millisecond  // longest time that a message and a store call may take together
)

// message is a node's state, as it sends it to the other nodes. A later message
// replaces an earlier one.
type message struct {
	Node           string                  `json:"n"`
	IP             string                  `json:"a"` // IP of the sender, which identifies it
	Zone           string                  `json:"z"`
	VMClass        int                     `json:"m,omitempty"`  // size of the sender's VM, see vmClass
	Partial        bool                    `json:"i,omitempty"`  // it holds only what changes often, see Node.partial
	Incarnation    int64                   `json:"r"`            // start of the sender's process by the time of day, in Unix nanoseconds
	Sequence       uint64                  `json:"q"`            // rises with each message of an incarnation
	SentMS         int64                   `json:"t,omitempty"`  // milliseconds from the sender's start to the sending, by its boot clock, and one; zero from builds that do not tell
	CallerAddr     string                  `json:"f"`            // the sender's address for callers
	Ready          bool                    `json:"y,omitempty"`  // the sender takes requests
	Stopping       bool                    `json:"x,omitempty"`  // the sender is stopping
	DesiredVersion uint64                  `json:"d,omitempty"`  // version of the desired state in force; zero if there is none
	ConfirmedAgeMS *int64                  `json:"da,omitempty"` // milliseconds since the store confirmed to the sender itself that no newer desired state exists; nil if it never did
	ServersAgeMS   *int64                  `json:"sa,omitempty"` // milliseconds since the sender had read all changes of servers; nil from builds that do not tell
	ServersDigest  *uint64                 `json:"sd,omitempty"` // replicas.Table.Digest of a node that watches the servers; nil at others
	StoreAgeMS     int64                   `json:"s"`            // milliseconds since the store last responded to the sender
	Leaders        map[string]*leaderState `json:"h,omitempty"`  // by cell: the sender's leadership of the cell, or its orders as a former leader
	InFlight       map[string]int          `json:"l,omitempty"`  // requests in flight, by backend server
	Demand         []demandState           `json:"w,omitempty"`  // models and adapters for which requests wait
	Arrivals       []arrivalState          `json:"c,omitempty"`  // numbers of requests that arrived at the sender
	Statuses       []replicas.ServerStatus `json:"v,omitempty"`  // statuses of backend servers in the cells that the sender leads
	Down           []string                `json:"u,omitempty"`  // backend servers to which the sender recently failed to connect
	Departing      []departing             `json:"g,omitempty"`  // backend servers that are draining or removed
	NewServers     []replicas.Entry        `json:"e,omitempty"`  // backend servers that the sender read from the store within newServersPublishedFor
	Ends           []endState              `json:"b,omitempty"`  // backend servers that ended under the sender's requests
	Innocent       []uint64                `json:"j,omitempty"`  // hashes of traits under which a response was completed
	InnocentAgeMS  []int64                 `json:"ja,omitempty"` // milliseconds since then, for each of Innocent; missing from builds that do not tell
	Refusals       []refusalState          `json:"p,omitempty"`  // traits that the sender refuses; in partial messages only while they are new
	Capacity       *capacityState          `json:"lc,omitempty"` // what the sender has learned of the servers' capacity
	Limits         []limitState            `json:"o,omitempty"`  // concurrency limits of backend servers by what the sender has seen
	KnownIPs       []string                `json:"k,omitempty"`  // IPs of other nodes that are alive; partial messages name some of them

	tokensInFlight
}

// confirmedAge returns the age of the desired state's confirmation when a message with the given
// delay is received, negative if unknown.
func (m *message) confirmedAge(delay time.Duration) time.Duration {
	if m.ConfirmedAgeMS == nil {
		return -1
	}
	return delay + time.Duration(*m.ConfirmedAgeMS)*time.Millisecond
}

// leaderState is what a node publishes about its leadership of a cell.
type leaderState struct {
	Token         uint64                        `json:"t"`           // fencing token; the highest one given up if the node does not lead the cell now
	Leading       bool                          `json:"h,omitempty"` // the node leads the cell now
	ExpectedReady map[string]int64              `json:"p,omitempty"` // milliseconds until a model that waits for the weight store is expected to be ready, by model
	LoadCosts     map[string]map[string]float64 `json:"b,omitempty"` // estimated load costs by service, and by model or model/adapter
	OrderAgeMS    map[string]int64              `json:"o,omitempty"` // of a former leader: milliseconds since its last order to a server ended, by server
}

// demandState is the encoded form of a waiting.ModelDemand.
type demandState struct {
	Service     string `json:"s"`
	Model       string `json:"m"`
	Adapter     string `json:"a,omitempty"`
	Software    string `json:"v,omitempty"` // version of the servers' software that alone will do
	Count       int    `json:"n"`           // number of waiting requests
	Priority    int    `json:"p,omitempty"` // priority of the most urgent request; 0 is the highest
	RemainingMS int64  `json:"l"`           // milliseconds until the last of the requests times out
}

// arrivalState is the number of requests for a model or adapter since the
// sender's start.
type arrivalState struct {
	Service string `json:"s"`
	Model   string `json:"m"`
	Adapter string `json:"a,omitempty"`
	Fast    bool   `json:"f,omitempty"` // the requests have a latency target below fastTarget
	Count   int    `json:"n"`
}

// departing is a backend server that is draining or removed.
type departing struct {
	ID       string    `json:"i"`
	Revision uint64    `json:"b"`           // revision of the server's newest entry
	Removed  bool      `json:"r,omitempty"` // its entry is gone
	at       time.Time // when this node learned it
}

// newServer is a backend server that this node learned of from the store.
type newServer struct {
	entry replicas.Entry
	at    time.Time // when this node learned of it
}

// arrivalKey selects the requests that are counted together.
type arrivalKey struct {
	service, model, adapter string
	fast                    bool
}

// arrivalCount counts the requests that arrived at this node.
type arrivalCount struct {
	count int
	at    time.Time // when the newest one arrived
}

// peer is another node as this node knows it. The embedded message is the last
// one received from it; it holds only the IP before the first.
type peer struct {
	message
	peerSet      *peers                // the set that this peer belongs to
	received     time.Time             // when the last message was received
	delays       delays                // of its messages
	lastSent     time.Time             // when the last message was sent to it
	lastFullSent time.Time             // when the last full message was sent to it
	demand       []waiting.ModelDemand // demand in the last message
	fullReceived time.Time             // when the last full message was received
	countedRun   int64                 // incarnation of which arrivals are
	arrivals     map[arrivalKey]int    // newest counts of the peer's incarnation
	fromStart    bool                  // arrivals hold the counts since the start of the incarnation; a missing one was zero
}

// peers are the other nodes. Guarded by Node.mu, except for the socket.
type peers struct {
	settings    platform.Settings
	socket      *net.UDPConn
	incarnation int64     // start of this process by the time of day, in Unix nanoseconds
	startedAt   time.Time // start of this node, by the boot clock
	sequence    uint64    // sequence number of the last message sent
	byIP        map[string]*peer
	seeds       []string // IPs of the seed nodes, without this one
	counts      peerCounts
	leaders     []*peer                      // see leading; nil if it has to be collected again
	positions   map[string]successorPosition // by zone
	knownOffset int                          // position in the list of live nodes from which the next partial message names some
}

func newPeers(now time.Time, s platform.Settings) *peers {
	p := &peers{settings: s, incarnation: time.Now().UnixNano(), startedAt: now, byIP: map[string]*peer{}, positions: map[string]successorPosition{}}
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err == nil && host != s.IP {
			p.seeds = append(p.seeds, host)
			p.add(now, host)
		}
	}
	return p
}

// add returns the peer at the IP and adds it, as not alive, if it is unknown. It
// returns nil for this node's own IP.
func (p *peers) add(now time.Time, ip string) *peer {
	if ip == p.settings.IP || net.ParseIP(ip) == nil {
		return nil
	}
	if p.byIP[ip] == nil {
		other := &peer{message: message{IP: ip}, peerSet: p, arrivals: map[arrivalKey]int{}}
		other.received = now.Add(-other.aliveTimeout())
		p.byIP[ip] = other
		p.count()
	}
	return p.byIP[ip]
}

// alive reports whether a message was received from the peer within aliveTimeout.
func (p *peer) alive(now time.Time) bool {
	return p.Node != "" && now.Sub(p.received) < p.aliveTimeout()
}

// aliveTimeout returns the time without a message after which the node no longer
// counts as alive.
func (p *peer) aliveTimeout() time.Duration {
	return max(minPeerAliveTimeout, time.Duration(peerAliveIntervals*float64(p.interval())))
}

// leads reports whether the peer published that it leads some cell.
func (p *peer) leads() bool {
	for _, leader := range p.Leaders {
		if leader.Leading {
			return true
		}
	}
	return false
}

// alive returns the number of other nodes that are alive.
func (p *peers) alive(now time.Time) int {
	n := 0
	for _, other := range p.byIP {
		if other.alive(now) {
			n++
		}
	}
	return n
}

// anyLately reports whether a message of some other node was received within peerForgetAfter.
func (p *peers) anyLately(now time.Time) bool {
	for _, other := range p.byIP {
		if other.Node != "" && now.Sub(other.received) < peerForgetAfter {
			return true
		}
	}
	return false
}

// entryNodes returns the addresses for callers of the other nodes that take
// requests: of those in the zone, and of all.
func (p *peers) entryNodes(now time.Time, zone string) (near, all []string) {
	for _, other := range p.byIP {
		if !other.alive(now) || !other.Ready || other.Stopping {
			continue
		}
		all = append(all, other.CallerAddr)
		if other.Zone == zone {
			near = append(near, other.CallerAddr)
		}
	}
	slices.Sort(near)
	slices.Sort(all)
	return near, all
}

// leaderAlive reports whether another live node publishes that it leads the cell.
func (p *peers) leaderAlive(now time.Time, zone string) bool {
	for _, other := range p.leading() {
		if leader := other.Leaders[zone]; leader != nil && leader.Leading && other.alive(now) {
			return true
		}
	}
	return false
}

// leading returns the peers whose last message tells of leaderships, alive or not.
func (p *peers) leading() []*peer {
	if p.leaders == nil {
		p.leaders = []*peer{}
		for _, other := range p.byIP {
			if len(other.Leaders) > 0 {
				p.leaders = append(p.leaders, other)
			}
		}
	}
	return p.leaders
}

// loadCost returns the estimated cost to load a model or adapter that another
// node, the cell's leader, published; false if there is no estimate.
func (p *peers) loadCost(now time.Time, zone, service, name string) (float64, bool) {
	for _, other := range p.leading() {
		if leader := other.Leaders[zone]; leader != nil && leader.Leading && other.alive(now) {
			cost, known := leader.LoadCosts[service][name]
			return cost, known
		}
	}
	return 0, false
}

// storeContactAfter reports whether the store has responded to another live node
// later than the time, by more than storeContactSlack.
func (p *peers) storeContactAfter(now, after time.Time) bool {
	for _, other := range p.byIP {
		if other.alive(now) && other.received.Add(-time.Duration(other.StoreAgeMS)*time.Millisecond).After(after.Add(storeContactSlack)) {
			return true
		}
	}
	return false
}

// knowDesired reports whether another live node has the version of the desired state in force.
func (p *peers) knowDesired(now time.Time, version uint64) bool {
	for _, other := range p.byIP {
		if other.DesiredVersion >= version && other.alive(now) {
			return true
		}
	}
	return false
}

// demand returns the models and adapters for which requests wait at other nodes.
func (p *peers) demand(now time.Time) []waiting.ModelDemand {
	var demand []waiting.ModelDemand
	for _, other := range p.byIP {
		if !other.alive(now) {
			continue
		}
		for _, d := range other.demand {
			if now.Before(d.Deadline) {
				demand = append(demand, d)
			}
		}
	}
	return demand
}

// listenPeers opens the socket for messages between nodes.
func listenPeers(s platform.Settings) (*net.UDPConn, error) {
	addr, err := net.ResolveUDPAddr("udp4", net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort)))
	if err != nil {
		return nil, fmt.Errorf("resolve peer address: %w", err)
	}
	socket, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, fmt.Errorf("listen on peer address: %w", err)
	}
	return socket, nil
}
