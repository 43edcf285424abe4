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

// keyOwners reports whether the owner of an idempotency key is alive, and forwards
// calls to it. It implements idempotency.Peers.
type keyOwners struct{ node *Node }

// Alive implements idempotency.Peers.
func (k keyOwners) Alive(owner idempotency.Owner) bool {
	if owner.Node == k.node.cfg.ID {
		return false // the owner is an earlier run of this node
	}
	member, ok := k.node.members.member(owner.Node)
	return ok && !member.State.Stopped() && membership.FirstIncarnation(member.Incarnation) == owner.Incarnation
}

// Forward implements idempotency.Peers.
func (k keyOwners) Forward(ctx context.Context, owner idempotency.Owner, call idempotency.Call) (idempotency.Result, error) {
	member, ok := k.node.members.member(owner.Node)
	if !ok {
		return idempotency.Result{}, fmt.Errorf("forward call to the owner of its key: node %s is not in the member table", owner.Node)
	}
	client := peer.NewKeysProtobufClient("http://"+member.PeerAddr, k.node.peers.http)
	fingerprint := call.Fingerprint()
	resp, err := client.Call(ctx, &peer.KeyedCallRequest{
		Key:         string(call.Key),
		Service:     string(call.Service),
		Method:      call.Method,
		Path:        call.Path,
		Headers:     headersToMap(call.Headers),
		Body:        call.Body,
		DeadlineMs:  call.Deadline.UnixMilli(),
		ContentHash: fingerprint[:],
	})
	if err != nil {
		return idempotency.Result{}, err
	}
	return resultFromMessage(resp), nil
}

// keyServer handles calls that other nodes forward to this node. It implements
// peer.Keys.
type keyServer struct{ node *Node }

// errHashMismatch means that a forwarded call does not match its content hash.
var errHashMismatch = errors.New("forwarded call does not match its content hash")

// Call implements peer.Keys.
func (k keyServer) Call(ctx context.Context, m *peer.KeyedCallRequest) (*peer.KeyedCallResponse, error) {
	call := idempotency.Call{
		Key:       idempotency.Key(m.GetKey()),
		RequestID: k.node.entry.NewRequestID(),
		Service:   fleet.ServiceID(m.GetService()),
		Method:    m.GetMethod(),
		Path:      m.GetPath(),
		Headers:   headersFromMap(m.GetHeaders()),
		Body:      m.GetBody(),
		Deadline:  time.UnixMilli(m.GetDeadlineMs()),
	}
	fingerprint := call.Fingerprint()
	if string(fingerprint[:]) != string(m.GetContentHash()) {
		return nil, errHashMismatch
	}
	r := k.node.keys.CallForwarded(ctx, call)
	return &peer.KeyedCallResponse{
		Outcome:  outcomeNames[r.Outcome],
		Code:     string(r.Code),
		Detail:   r.Detail,
		Status:   uint32(r.Response.Status),
		Headers:  headersToMap(r.Response.Headers),
		Body:     r.Response.Body,
		Unframed: r.Response.Unframed,
	}, nil
}

// outcomeNames maps outcomes to their names in peer.KeyedCallResponse.
var outcomeNames = map[fleet.Outcome]string{
	fleet.OutcomeAnswered: "done",
	fleet.OutcomeFailed:   "failed",
	fleet.OutcomeNotRun:   "not_run",
	fleet.OutcomeUnknown:  "unknown",
}

// resultFromMessage decodes the response of a key's owner. A name that is not in
// outcomeNames becomes OutcomeUnknown. Replayed is always set, as the message does
// not hold it.
func resultFromMessage(m *peer.KeyedCallResponse) idempotency.Result {
	r := idempotency.Result{Outcome: fleet.OutcomeUnknown, Code: idempotency.Code(m.GetCode()), Detail: m.GetDetail(), Replayed: true}
	for outcome, name := range outcomeNames {
		if name == m.GetOutcome() {
			r.Outcome = outcome
		}
	}
	if r.Outcome == fleet.OutcomeAnswered {
		r.Response = idempotency.Response{
			Status:   int(m.GetStatus()),
			Headers:  headersFromMap(m.GetHeaders()),
			Body:     m.GetBody(),
			Unframed: m.GetUnframed(),
		}
	}
	return r
}

func headersToMap(headers []idempotency.Header) map[string]string {
	out := make(map[string]string, len(headers))
	for _, h := range headers {
		out[h.Name] = h.Value
	}
	return out
}

func headersFromMap(m map[string]string) []idempotency.Header {
	headers := make([]idempotency.Header, 0, len(m))
	for name, value := range m {
		headers = append(headers, idempotency.Header{Name: name, Value: value})
	}
	return headers
}
