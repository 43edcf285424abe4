package front

import (
	"bytes"
	"encoding/json"
	"net"
	"time"

	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/allowance"
	"github.com/redwingnotch/redwingnotch/internal/bootclock"
)

// allowanceMessage is what one node tells another about a team's allowance, in a datagram of its
// own. Builds before it drop such a datagram.
type allowanceMessage struct {
	IP       string         `json:"a"` // IP of the sender
	Query    *queryState    `json:"q,omitempty"`
	Grant    *grantState    `json:"w,omitempty"`
	Redirect *redirectState `json:"r,omitempty"`
	Handover *handoverState `json:"h,omitempty"`
}

// allowanceDatagram is the encoded form of an allowanceMessage.
type allowanceDatagram struct {
	Allowance *allowanceMessage `json:"allowance"`
}

// allowanceDatagramPrefix begins each allowanceDatagram, and no other one.
var allowanceDatagramPrefix = []byte(`{"allowance":`)

// queryState is the encoded form of an allowance.Query.
type queryState struct {
	Key    uint64  `json:"k"`
	Team   string  `json:"t"`
	Needs  []int64 `json:"n,omitempty"`
	Ahead  int64   `json:"x,omitempty"`
	Stock  int64   `json:"s,omitempty"`
	Return int64   `json:"b,omitempty"`
	Epoch  uint64  `json:"e,omitempty"`
}

// grantState is the encoded form of an allowance.Grant.
type grantState struct {
	Key      uint64 `json:"k"`
	Team     string `json:"t"`
	Epoch    uint64 `json:"e"`
	Admitted uint64 `json:"y,omitempty"`
	Ahead    int64  `json:"x,omitempty"`
	WaitMS   int64  `json:"l,omitempty"`
}

// redirectState answers a query for a team that the node does not hold.
type redirectState struct {
	Key    uint64 `json:"k"` // of the query
	Team   string `json:"t"`
	Holder string `json:"h,omitempty"` // IP of the node that holds it; empty if unknown
}

// handoverState passes a team's bucket on to the node that holds it from now on.
type handoverState struct {
	Team  string `json:"t"`
	Level int64  `json:"v"` // tokens in the bucket; a debt is negative
}

// outgoing is a message to a node.
type outgoing struct {
	to string
	m  allowanceMessage
}

// encodeQuery returns the encoded form of a query.
func encodeQuery(team string, q allowance.Query) *queryState {
	return &queryState{Key: q.Key, Team: team, Needs: q.Needs, Ahead: q.Ahead, Stock: q.Stock, Return: q.Return, Epoch: q.Epoch}
}

// decode returns the query.
func (s *queryState) decode() allowance.Query {
	return allowance.Query{Key: s.Key, Needs: s.Needs, Ahead: s.Ahead, Stock: s.Stock, Return: s.Return, Epoch: s.Epoch}
}

// encodeGrant returns the encoded form of a grant.
func encodeGrant(team string, g allowance.Grant) *grantState {
	return &grantState{Key: g.Key, Team: team, Epoch: g.Epoch, Admitted: g.Admitted, Ahead: g.Ahead, WaitMS: g.Wait.Milliseconds()}
}

// decode returns the grant.
func (s *grantState) decode() allowance.Grant {
	wait := time.Duration(max(0, min(s.WaitMS, time.Hour.Milliseconds()))) * time.Millisecond
	return allowance.Grant{Key: s.Key, Epoch: s.Epoch, Admitted: s.Admitted, Ahead: s.Ahead, Wait: wait}
}

// sendAllowances sends the messages.
func (n *Node) sendAllowances(out []outgoing) {
	for _, o := range out {
		to := net.ParseIP(o.to)
		if to == nil || n.peers.socket == nil {
			continue
		}
		o.m.IP = n.settings.IP
		data, err := json.Marshal(allowanceDatagram{&o.m})
		if err != nil {
			level.Error(n.log).Log("event", "peer_message_failed", "err", err)
			continue
		}
		if _, err := n.peers.socket.WriteToUDP(data, &net.UDPAddr{IP: to, Port: n.settings.PeerPort}); err != nil {
			level.Debug(n.log).Log("event", "peer_send_failed", "peer", o.to, "err", err)
		}
	}
}

// receiveAllowance handles a datagram about allowances. It returns false if the datagram is another
// one. The sender must be the node that it names, and one that is alive.
func (n *Node) receiveAllowance(from net.IP, data []byte) bool {
	if !bytes.HasPrefix(data, allowanceDatagramPrefix) {
		return false
	}
	var d allowanceDatagram
	if err := json.Unmarshal(data, &d); err != nil || d.Allowance == nil {
		level.Warn(n.log).Log("event", "peer_message_unreadable", "bytes", len(data), "err", err)
		return true
	}
	m, a, now := d.Allowance, n.allowances, bootclock.Now()
	if ip := net.ParseIP(m.IP); ip == nil || !ip.Equal(from) {
		return true
	}
	a.mu.Lock()
	var out []outgoing
	if m.Grant != nil || m.Redirect != nil || a.view.known[m.IP] {
		out = a.received(now, m)
	}
	a.mu.Unlock()
	n.sendAllowances(out)
	return true
}

// received handles a message and returns those that follow from it. The caller holds a.mu.
func (a *allowances) received(now time.Time, m *allowanceMessage) []outgoing {
	switch {
	case m.Query != nil:
		q := m.Query.decode()
		g, redirect := a.answer(now, m.Query.Team, m.IP, q)
		if redirect != nil {
			return []outgoing{{m.IP, allowanceMessage{Redirect: redirect}}}
		}
		if q.Return > 0 {
			return nil // not waited for
		}
		return []outgoing{{m.IP, allowanceMessage{Grant: encodeGrant(m.Query.Team, g)}}}
	case m.Grant != nil:
		if acc := a.accounts[m.Grant.Team]; acc != nil {
			a.decide(acc.Receive(now, m.IP, m.Grant.decode()))
			return a.step(now, m.Grant.Team, acc)
		}
	case m.Redirect != nil:
		if acc := a.accounts[m.Redirect.Team]; acc != nil {
			a.redirect(now, acc, m.IP, m.Redirect.Key, m.Redirect.Holder)
			return a.step(now, m.Redirect.Team, acc)
		}
	case m.Handover != nil:
		if h := a.held[m.Handover.Team]; h != nil && !h.Open(now) {
			h.TakeOver(now, max(-allowance.MaxTokens, min(m.Handover.Level, allowance.MaxTokens)))
			a.logHolder(m.Handover.Team, true, "handed_over", m.IP, 0)
		}
	}
	return nil
}
