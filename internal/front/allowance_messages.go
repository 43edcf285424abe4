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

// allowanceMessage is the encoded form of an allowance.Message, in a datagram of its own. Builds
// before it drop such a datagram. One that has only the IP says that its sender is alive.
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

	Unheard bool `json:"u,omitempty"`
	Last    bool `json:"z,omitempty"`
	Instead bool `json:"i,omitempty"`
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

// redirectState is the encoded form of an allowance.Redirect.
type redirectState struct {
	Key    uint64 `json:"k"`
	Team   string `json:"t"`
	Holder string `json:"h,omitempty"`
}

// handoverState is the encoded form of a handover.
type handoverState struct {
	Team  string `json:"t"`
	Level int64  `json:"v"`
}

// encodeAllowance returns the encoded form of the message.
func encodeAllowance(ip string, m allowance.Message) allowanceMessage {
	out := allowanceMessage{IP: ip}
	switch {
	case m.Query != nil:
		q := m.Query
		out.Query = &queryState{Key: q.Key, Team: m.Team, Needs: q.Needs, Ahead: q.Ahead, Stock: q.Stock, Return: q.Return, Epoch: q.Epoch,
			Unheard: q.Unheard, Last: q.Last, Instead: q.Instead}
	case m.Grant != nil:
		g := m.Grant
		out.Grant = &grantState{Key: g.Key, Team: m.Team, Epoch: g.Epoch, Admitted: g.Admitted, Ahead: g.Ahead, WaitMS: g.Wait.Milliseconds()}
	case m.Redirect != nil:
		out.Redirect = &redirectState{Key: m.Redirect.Key, Team: m.Team, Holder: m.Redirect.Holder}
	case m.Handover != nil:
		out.Handover = &handoverState{Team: m.Team, Level: *m.Handover}
	}
	return out
}

// maxWaitMS limits the wait in a grant, so that it does not overflow.
const maxWaitMS = 60 * 60 * 1000

// decode returns the message.
func (s *allowanceMessage) decode() allowance.Message {
	switch {
	case s.Query != nil:
		q := s.Query
		return allowance.Message{Team: q.Team, Query: &allowance.Query{Key: q.Key, Needs: q.Needs, Ahead: q.Ahead, Stock: q.Stock, Return: q.Return, Epoch: q.Epoch,
			Unheard: q.Unheard, Last: q.Last, Instead: q.Instead}}
	case s.Grant != nil:
		g := s.Grant
		wait := time.Duration(max(0, min(g.WaitMS, maxWaitMS))) * time.Millisecond
		return allowance.Message{Team: g.Team, Grant: &allowance.Grant{Key: g.Key, Epoch: g.Epoch, Admitted: g.Admitted, Ahead: g.Ahead, Wait: wait}}
	case s.Redirect != nil:
		return allowance.Message{Team: s.Redirect.Team, Redirect: &allowance.Redirect{Key: s.Redirect.Key, Holder: s.Redirect.Holder}}
	case s.Handover != nil:
		return allowance.Message{Team: s.Handover.Team, Handover: &s.Handover.Level}
	}
	return allowance.Message{}
}

// sendAllowances sends the messages.
func (n *Node) sendAllowances(out []allowance.Outgoing) {
	for _, o := range out {
		to := net.ParseIP(o.To)
		if to == nil || n.peers.socket == nil {
			continue
		}
		m := encodeAllowance(n.settings.IP, o.Message)
		data, err := json.Marshal(allowanceDatagram{&m})
		if err != nil {
			level.Error(n.log).Log("event", "peer_message_failed", "err", err)
			continue
		}
		if _, err := n.peers.socket.WriteToUDP(data, &net.UDPAddr{IP: to, Port: n.settings.PeerPort}); err != nil {
			level.Debug(n.log).Log("event", "peer_send_failed", "peer", o.To, "err", err)
		}
	}
}

// contactHolders tells the nodes that hold teams that this one is alive. They divide an allowance
// by the nodes that they reach, and the messages about the fleet, which come each 2 s from other
// zones at 90 nodes and later from VMs with slow links, do not tell them in time.
func (n *Node) contactHolders(now time.Time) []allowance.Outgoing {
	a := n.allowances
	if now.Sub(a.contacted) < contactInterval {
		return nil
	}
	a.contacted = now
	var out []allowance.Outgoing
	for _, holder := range a.node.Holders() {
		out = append(out, allowance.Outgoing{To: holder})
	}
	return out
}

// receiveAllowance handles a datagram about allowances. It returns false if the datagram is another
// one. The datagram must come from the node that it names. Queries and handovers are taken from
// nodes that are alive only; grants and redirects must answer a query in progress.
func (n *Node) receiveAllowance(from net.IP, data []byte) bool {
	if !bytes.HasPrefix(data, allowanceDatagramPrefix) {
		return false
	}
	var d allowanceDatagram
	if err := json.Unmarshal(data, &d); err != nil || d.Allowance == nil {
		level.Warn(n.log).Log("event", "peer_message_unreadable", "bytes", len(data), "err", err)
		return true
	}
	a, sender := n.allowances, net.ParseIP(d.Allowance.IP)
	if sender == nil || !sender.Equal(from) {
		return true
	}
	m := d.Allowance.decode()
	a.mu.Lock()
	if a.known[d.Allowance.IP] {
		a.heard[d.Allowance.IP] = bootclock.Now()
	}
	var out allowance.Output
	if m.Query == nil && m.Grant == nil && m.Redirect == nil && m.Handover == nil {
		a.mu.Unlock()
		return true
	}
	if m.Grant != nil || m.Redirect != nil || a.known[d.Allowance.IP] {
		out = a.node.Receive(bootclock.Now(), d.Allowance.IP, m)
		a.apply(out)
	}
	a.mu.Unlock()
	n.sendAllowances(out.Send)
	return true
}
