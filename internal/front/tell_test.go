package front

import (
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/internal/telemetry"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/replicas"
)

// teller is a node whose messages arrive at sockets of a test.
type teller struct {
	*Node
	t       *testing.T
	sockets map[string]*net.UDPConn
}

func newTeller(t *testing.T, s platform.Settings, peers ...string) *teller {
	s.IP, s.Zone, s.Zones = "127.0.0.1", "z", []string{"z"}
	own, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(s.IP)})
	assert.NilError(t, err)
	t.Cleanup(func() { own.Close() })
	s.PeerPort = own.LocalAddr().(*net.UDPAddr).Port
	metrics, err := telemetry.NewMetrics()
	assert.NilError(t, err)
	n := &teller{Node: New(s, log.NewNopLogger(), metrics), t: t, sockets: map[string]*net.UDPConn{}}
	n.peers.socket = own
	for _, ip := range peers {
		socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip), Port: s.PeerPort})
		assert.NilError(t, err)
		t.Cleanup(func() { socket.Close() })
		n.sockets[ip] = socket
		n.heard(message{Node: "n" + ip, IP: ip, Zone: "z", Run: 1, Sequence: 1})
	}
	return n
}

// got returns the next message at a peer, nil if none comes.
func (n *teller) got(ip string) *message {
	n.t.Helper()
	buffer := make([]byte, maxDatagram)
	assert.NilError(n.t, n.sockets[ip].SetReadDeadline(time.Now().Add(200*time.Millisecond)))
	size, err := n.sockets[ip].Read(buffer)
	if err != nil {
		return nil
	}
	var m message
	assert.NilError(n.t, json.Unmarshal(buffer[:size], &m))
	return &m
}

// TestOnlyNodesInChargeAreToldAtOnceWhatWaits: others do nothing about it.
func TestOnlyNodesInChargeAreToldAtOnceWhatWaits(t *testing.T) {
	n := newTeller(t, platform.Settings{}, "127.0.0.2", "127.0.0.3")
	n.heard(message{Node: "holder", IP: "127.0.0.2", Zone: "z", Run: 1, Sequence: 2, Holders: map[string]*holderState{"z": {Token: 1, Holding: true}}})
	now := bootclock.Now()
	n.tell(now, whenDue) // the first is due, to all
	assert.Assert(t, n.got("127.0.0.2") != nil && n.got("127.0.0.3") != nil)
	now = now.Add(tellAtOnce)
	n.tell(now, holdersAtOnce)
	first := n.got("127.0.0.2")
	assert.Assert(t, first != nil && !first.Light)
	assert.Assert(t, n.got("127.0.0.3") == nil)
	n.tell(now.Add(tellAtOnce/2), allAtOnce) // too soon: goes out with the next
	assert.Assert(t, n.got("127.0.0.3") == nil)
	n.tell(now.Add(tellAtOnce), whenDue)
	second := n.got("127.0.0.3")
	assert.Assert(t, second != nil && second.Light)
}

// TestMessagesKeepToAShareOfTheLink: on a small link they come less often.
func TestMessagesKeepToAShareOfTheLink(t *testing.T) {
	n := newTeller(t, platform.Settings{LinkMbps: 0.1}, "127.0.0.2")
	now := bootclock.Now()
	n.tell(now, allAtOnce)
	m := n.got("127.0.0.2")
	assert.Assert(t, m != nil)
	data, err := json.Marshal(m)
	assert.NilError(t, err)
	const bits = 8
	least := time.Duration(float64(len(data)*bits) / (tellLinkShare * 0.1e6) * float64(time.Second))
	n.tell(now.Add(least-time.Millisecond), allAtOnce)
	assert.Assert(t, n.got("127.0.0.2") == nil)
	n.tell(now.Add(least+time.Millisecond), whenDue)
	assert.Assert(t, n.got("127.0.0.2") != nil)
}

// TestALightMessageKeepsWhatTheWholeOneTold: bids and planned loads of a node in
// charge stay known between its whole messages.
func TestALightMessageKeepsWhatTheWholeOneTold(t *testing.T) {
	n := newTeller(t, platform.Settings{}, "127.0.0.2")
	holders := map[string]*holderState{"z2": {Token: 1, Holding: true, Bids: map[string]map[string]float64{"s": {"m": 2}}, Planned: map[string]int64{"m": 5000}}}
	whole := message{Node: "holder", IP: "127.0.0.2", Zone: "z", Run: 1, Sequence: 2, Holders: holders}
	n.heard(whole)
	now := bootclock.Now()
	whole.Sequence = 3
	n.heard(n.light(now, whole))
	cost, told := n.peers.bid(now, "z2", "s", "m")
	assert.Assert(t, told && cost == 2)
	_, planned := n.table.ReadyAt(now, "s", "m")
	assert.Assert(t, planned)
}

// TestLightMessagesAreSmall bounds the traffic of a node of a fleet of 60, which
// hears all others each interval, by a fifth of a link of 10 Mbit/s.
func TestLightMessagesAreSmall(t *testing.T) {
	n := newTeller(t, platform.Settings{Node: "front-some-zone-12"})
	now := bootclock.Now()
	for i := range 59 {
		n.heard(message{Node: fmt.Sprint("front-some-zone-", i), IP: fmt.Sprintf("10.1.0.%d", i+1), Zone: "z", Run: 1, Sequence: 1})
	}
	for i := range 8 {
		id := fmt.Sprintf("i-%010x", i)
		n.table.SetEntry(now, replicas.Entry{ID: id, Address: "127.0.0.1:1", Service: "s", Start: 1, Revision: 1})
		n.table.Begin(id)
	}
	for i := range 40 {
		n.arrivals[arrivalKey{"s", fmt.Sprint("model", i), "", true}] = &arrivalCount{count: i, at: now}
	}
	light := n.encode(n.light(now, n.message(now, true, true)))
	perSecond := float64(len(light)*59) / n.peers.tellEvery().Seconds()
	const bits = 8
	assert.Assert(t, perSecond*bits <= tellLinkShare*10e6, "%d bytes each, %.0f bytes a second", len(light), perSecond)
}

// TestWorkForTheFleetGoesToLargeVMs: a node on a small VM comes after those on
// larger ones, also of other zones; equal ones keep to their zone.
func TestWorkForTheFleetGoesToLargeVMs(t *testing.T) {
	small := platform.Settings{CPUShare: 0.19, LinkMbps: 10}
	large := platform.Settings{CPUShare: 0.8, LinkMbps: 200}
	assert.Assert(t, sizeClass(small) < sizeClass(large))
	assert.Equal(t, sizeClass(platform.Settings{}), 0)
	n := newTeller(t, small, "127.0.0.2")
	now := bootclock.Now()
	n.heard(message{Node: "large", IP: "127.0.0.2", Zone: "other", Run: 1, Sequence: 2, Class: sizeClass(large)})
	assert.Equal(t, n.peers.rank(now, "z"), 1)
	n.heard(message{Node: "large", IP: "127.0.0.2", Zone: "other", Run: 1, Sequence: 3, Class: sizeClass(small)})
	assert.Equal(t, n.peers.rank(now, "z"), 0)
}
