package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/idempotency"
	"github.com/redwingnotch/redwingnotch/membership"
	"github.com/redwingnotch/redwingnotch/peer"
)

// keyOwners reaches the owners of idempotency keys. It implements
// idempotency.Peers.
type keyOwners struct{ node *Node }

// Alive implements idempotency.Peers.
func (k keyOwners) Alive(owner idempotency.Owner) bool {
	if owner.Node == k.node.cfg.ID {
		return false // an earlier run of this node
	}
	member, ok := k.node.members.member(owner.Node)
	return ok && !member.State.Gone() && membership.RunOf(member.Incarnation) == owner.Incarnation
}

// Forward implements idempotency.Peers.
func (k keyOwners) Forward(ctx context.Context, owner idempotency.Owner, call idempotency.Call) (idempotency.Result, error) {
	member, ok := k.node.members.member(owner.Node)
	if !ok {
		return idempotency.Result{}, fmt.Errorf("node %s is no member", owner.Node)
	}
	client := peer.NewKeysProtobufClient("http://"+member.PeerAddr, k.node.peers.http)
	fingerprint := call.Fingerprint()
	resp, err := client.Call(ctx, &peer.KeyedCallRequest{
		Key:         string(call.Key),
		Service:     string(call.Service),
		Method:      call.Method,
		Path:        call.Path,
		Headers:     mapOf(call.Headers),
		Body:        call.Body,
		DeadlineMs:  call.Deadline.UnixMilli(),
		ContentHash: fingerprint[:],
	})
	if err != nil {
		return idempotency.Result{}, err
	}
	return resultOf(resp), nil
}

// keyServer takes calls forwarded to this node. It implements peer.Keys.
type keyServer struct{ node *Node }

// errDamaged means that a forwarded call differs from its hash.
var errDamaged = errors.New("forwarded call is damaged")

// Call implements peer.Keys.
func (k keyServer) Call(ctx context.Context, m *peer.KeyedCallRequest) (*peer.KeyedCallResponse, error) {
	call := idempotency.Call{
		Key:       idempotency.Key(m.GetKey()),
		RequestID: k.node.entry.NextID(),
		Service:   fleet.ServiceID(m.GetService()),
		Method:    m.GetMethod(),
		Path:      m.GetPath(),
		Headers:   headersOf(m.GetHeaders()),
		Body:      m.GetBody(),
		Deadline:  time.UnixMilli(m.GetDeadlineMs()),
	}
	fingerprint := call.Fingerprint()
	if string(fingerprint[:]) != string(m.GetContentHash()) {
		return nil, errDamaged
	}
	r := k.node.keys.CallForwarded(ctx, call)
	return &peer.KeyedCallResponse{
		Outcome: outcomeNames[r.Outcome],
		Code:    string(r.Code),
		Detail:  r.Detail,
		Status:  uint32(r.Answer.Status),
		Headers: mapOf(r.Answer.Headers),
		Body:    r.Answer.Body,
	}, nil
}

// outcomeNames are the outcomes of peer.KeyedCallResponse.
var outcomeNames = map[fleet.Outcome]string{
	fleet.OutcomeAnswered: "done",
	fleet.OutcomeFailed:   "failed",
	fleet.OutcomeNotRun:   "not_run",
	fleet.OutcomeUnknown:  "unknown",
}

func resultOf(m *peer.KeyedCallResponse) idempotency.Result {
	r := idempotency.Result{Outcome: fleet.OutcomeUnknown, Code: idempotency.Code(m.GetCode()), Detail: m.GetDetail(), Replayed: true}
	for outcome, name := range outcomeNames {
		if name == m.GetOutcome() {
			r.Outcome = outcome
		}
	}
	if r.Outcome == fleet.OutcomeAnswered {
		r.Answer = idempotency.Answer{Status: int(m.GetStatus()), Headers: headersOf(m.GetHeaders()), Body: m.GetBody()}
	}
	return r
}

func mapOf(headers []idempotency.Header) map[string]string {
	out := make(map[string]string, len(headers))
	for _, h := range headers {
		out[h.Name] = h.Value
	}
	return out
}

func headersOf(m map[string]string) []idempotency.Header {
	headers := make([]idempotency.Header, 0, len(m))
	for name, value := range m {
		headers = append(headers, idempotency.Header{Name: name, Value: value})
	}
	return headers
}
