package front

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/credentials"
	"github.com/redwingnotch/redwingnotch/internal/bootclock"
)

// confirmMessage is a query for the confirmation of the desired state, or the reply to one, in a
// datagram of its own. Builds before it drop such a datagram.
type confirmMessage struct {
	IP    string        `json:"a"` // IP of the sender
	Query *confirmQuery `json:"q,omitempty"`
	Reply *confirmReply `json:"w,omitempty"`
}

// confirmDatagram is the encoded form of a confirmMessage.
type confirmDatagram struct {
	Confirm *confirmMessage `json:"confirm"`
}

// confirmDatagramPrefix begins each confirmDatagram, and no message.
var confirmDatagramPrefix = []byte(`{"confirm":`)

// confirmQuery asks how current the desired state of another node is.
type confirmQuery struct {
	Key uint64 `json:"k"` // random, so that a reply belongs to one query of one run of the node
}

// confirmReply answers a confirmQuery.
type confirmReply struct {
	Key     uint64 `json:"k"`            // of the query
	Version uint64 `json:"d"`            // version in force; zero if there is none
	AgeMS   *int64 `json:"da,omitempty"` // milliseconds, rounded up, since the store confirmed it to the sender itself; nil if it never did
}

// confirmPeer is a node that has sent a query, and the query's key.
type confirmPeer struct {
	ip  string
	key uint64
}

// Limits of the confirmations.
const (
	confirmOthers = 2         // nodes that are asked if the watching node does not reply
	maxUnread     = 512       // queries that are answered once more after a read
	maxConfirmAge = time.Hour // ages beyond it say nothing; larger numbers may overflow
)

// reconcileKeys asks other nodes for a confirmation, or requests a read of the desired state, if one
// is due, and logs when this node's keys become too old and when they are confirmed again. The
// caller holds n.mu.
func (n *Node) reconcileKeys(now time.Time) {
	if t := n.desired.Load(); t == nil || !t.RequireKeys {
		return
	}
	k := n.keys
	k.mu.Lock()
	defer k.mu.Unlock()
	n.logKeys(now)
	next := k.refresher.Tick(now, k.checker, n.confirms(now), rand.Uint64())
	if next.Read {
		n.sync.RequestRead()
	}
	if next.Ask == credentials.AskNone {
		return
	}
	order := n.peers.succession(now)
	asked := order[:min(1, len(order))]
	if next.Ask == credentials.AskOthers {
		asked = order[len(asked):min(1+confirmOthers, len(order))]
	}
	for _, ip := range asked {
		n.sendConfirm(ip, confirmMessage{Query: &confirmQuery{next.Nonce}})
	}
}

// logKeys logs a change between keys that are confirmed and keys that are too old. The caller holds
// n.mu and n.keys.mu.
func (n *Node) logKeys(now time.Time) {
	k := n.keys
	stale := k.checker.Stale(now)
	if stale == k.stale {
		return
	}
	k.stale = stale
	logger := log.With(level.Info(n.log), "version", k.checker.Version(), "age_ms", k.checker.Age(now).Milliseconds(),
		"own_age_ms", k.checker.OwnAge(now).Milliseconds(), "source", k.source)
	if stale {
		logger.Log("event", "keys_stale")
		return
	}
	logger.Log("event", "keys_confirmed")
}

// succession returns the IPs of the other live nodes in the order of succession, which is that of
// the nodes that watch the desired state.
func (p *peers) succession(now time.Time) []string {
	type candidate struct {
		ip  string
		key successionKey
	}
	var live []candidate
	for ip, other := range p.byIP {
		if other.alive(now) && !other.Stopping {
			live = append(live, candidate{ip, successionKey{other.VMClass, other.Zone != "", xxhash.Sum64String(ip + "/")}})
		}
	}
	slices.SortFunc(live, func(a, b candidate) int {
		switch {
		case a.key.before(b.key):
			return -1
		case b.key.before(a.key):
			return 1
		}
		return 0
	})
	var ips []string
	for _, c := range live[:min(1+confirmOthers, len(live))] {
		ips = append(ips, c.ip)
	}
	return ips
}

// sendConfirm sends the message to the node.
func (n *Node) sendConfirm(ip string, m confirmMessage) {
	if n.peers.socket == nil {
		return
	}
	m.IP = n.settings.IP
	data, err := json.Marshal(confirmDatagram{&m})
	if err != nil {
		level.Error(n.log).Log("event", "peer_message_failed", "err", err)
		return
	}
	if _, err := n.peers.socket.WriteToUDP(data, &net.UDPAddr{IP: net.ParseIP(ip), Port: n.settings.PeerPort}); err != nil {
		level.Debug(n.log).Log("event", "peer_send_failed", "peer", ip, "err", err)
	}
}

// receiveConfirm handles a datagram about confirmations of the desired state. It returns false if
// the datagram is another one.
func (n *Node) receiveConfirm(data []byte) bool {
	if !bytes.HasPrefix(data, confirmDatagramPrefix) {
		return false
	}
	var d confirmDatagram
	if err := json.Unmarshal(data, &d); err != nil || d.Confirm == nil {
		level.Warn(n.log).Log("event", "peer_message_unreadable", "bytes", len(data), "err", err)
		return true
	}
	m, now := d.Confirm, bootclock.Now()
	n.mu.Lock()
	_, known := n.peers.byIP[m.IP]
	n.mu.Unlock()
	if m.Query != nil && known {
		n.answerConfirm(now, confirmPeer{m.IP, m.Query.Key})
	}
	if m.Reply != nil {
		n.confirmReplied(now, m.IP, *m.Reply)
	}
	return true
}

// answerConfirm replies to a query. If this node's own confirmation is missing or old, it reads the
// store and then replies once more.
func (n *Node) answerConfirm(now time.Time, asker confirmPeer) {
	k := n.keys
	k.mu.Lock()
	reply := k.reply(now, asker.key)
	if k.refresher.Queried(now, k.checker) && len(k.unread) < maxUnread {
		k.unread = append(k.unread, asker)
	}
	k.mu.Unlock()
	n.sendConfirm(asker.ip, confirmMessage{Reply: reply})
}

// reply returns the reply to the query with the key. The caller holds k.mu.
func (k *keyState) reply(now time.Time, key uint64) *confirmReply {
	r := &confirmReply{Key: key, Version: k.checker.Version()}
	if age := k.checker.OwnAge(now); age >= 0 {
		ms := int64((age + time.Millisecond - 1) / time.Millisecond)
		r.AgeMS = &ms
	}
	return r
}

// answerWaiting replies once more to the nodes whose queries waited for a read of the store, if that
// succeeded.
func (n *Node) answerWaiting(succeeded bool) {
	k := n.keys
	k.mu.Lock()
	asked, now := k.unread, bootclock.Now()
	k.unread = nil
	if !succeeded {
		asked = nil
	}
	var replies []*confirmReply
	for _, asker := range asked {
		replies = append(replies, k.reply(now, asker.key))
	}
	k.mu.Unlock()
	for i, asker := range asked {
		n.sendConfirm(asker.ip, confirmMessage{Reply: replies[i]})
	}
}

// confirmReplied handles a reply. If the node that replies has a newer version, this node reads the
// store.
func (n *Node) confirmReplied(now time.Time, from string, r confirmReply) {
	age := time.Duration(-1)
	if r.AgeMS != nil && *r.AgeMS >= 0 && *r.AgeMS < maxConfirmAge.Milliseconds() {
		age = time.Duration(*r.AgeMS) * time.Millisecond
	}
	k := n.keys
	k.mu.Lock()
	before := k.checker.Age(now)
	k.refresher.Replied(now, k.checker, r.Key, r.Version, age)
	if after := k.checker.Age(now); after >= 0 && (before < 0 || after < before) {
		k.source = from
	}
	newer := r.Version > k.checker.Version()
	k.mu.Unlock()
	if newer {
		n.mu.Lock()
		n.sync.PeerReported(now, r.Version, -1)
		n.mu.Unlock()
	}
}
