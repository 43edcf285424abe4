package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/internal/httpsend"
	"github.com/redwingnotch/redwingnotch/peer"
)

// errNoController means that the active controller of the cell is not known.
var errNoController = errors.New("no active controller is known")

// peerClients holds the RPC clients of the other nodes and the last snapshot of
// the cell's replicas.
type peerClients struct {
	node     *Node
	http     *authClient
	mu       sync.Mutex
	cells    map[string]peer.Cell            // clients by peer address
	snapshot atomic.Pointer[[]fleet.Replica] // last replicas received from a controller; nil if none

	nextSnapshot time.Time // time of the next snapshot; used by refreshSnapshot only
}

func newPeerClients(n *Node) *peerClients {
	client := httpsend.NewClient(httpsend.Options{Dial: n.cfg.Dial})
	return &peerClients{
		node:  n,
		http:  &authClient{client: client, secret: string(n.cfg.Secret)},
		cells: make(map[string]peer.Cell),
	}
}

// maxPeerResponseBytes limits a response of another node; the largest are snapshots
// of all replicas and releases.
const maxPeerResponseBytes = 64 << 20

// authClient adds the shared secret to each call. After a call that timed out it
// closes idle connections, as they may be unresponsive too.
type authClient struct {
	client *http.Client
	secret string
}

// errUnframedPeerResponse means that a node's response has neither a length nor chunks.
// Nodes frame their responses. A protobuf message that is cut at the border of a field
// can be decoded, so a broken response would count as a whole one.
var errUnframedPeerResponse = errors.New("response of the node has neither a length nor chunks")

// Do implements the HTTP client interface of twirp.
func (a *authClient) Do(req *http.Request) (*http.Response, error) {
	req.Header.Set(HeaderSecret, a.secret)
	resp, err := httpsend.Do(a.client, req)
	if err != nil {
		if errors.Is(req.Context().Err(), context.DeadlineExceeded) {
			a.client.CloseIdleConnections()
		}
		return nil, err
	}
	if httpsend.FramingOf(resp) == httpsend.FramingClose {
		resp.Body.Close()
		return nil, errUnframedPeerResponse
	}
	resp.Body = http.MaxBytesReader(nil, resp.Body, maxPeerResponseBytes)
	return resp, nil
}

// cellClient returns the cell service of a node. For this node that is the local
// implementation, without a network call.
func (p *peerClients) cellClient(id fleet.NodeID) (peer.Cell, error) {
	if id == p.node.cfg.ID {
		return p.node.cell, nil
	}
	member, ok := p.node.members.member(id)
	if !ok || id == "" {
		return nil, fmt.Errorf("%w: node %q is not in the member table", errNoController, id)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	client := p.cells[member.PeerAddr]
	if client == nil {
		client = peer.NewCellProtobufClient("http://"+member.PeerAddr, p.http)
		p.cells[member.PeerAddr] = client
	}
	return client, nil
}

// controllerClient returns the cell service of the active controller.
func (p *peerClients) controllerClient() (peer.Cell, error) {
	activeController := p.node.cell.activeController.Load()
	if activeController == nil {
		return nil, errNoController
	}
	return p.cellClient(activeController.Node)
}

// Acquire implements entry.Grants. It follows one redirect at once.
func (p *peerClients) Acquire(ctx context.Context, req *peer.AcquireRequest) (*peer.AcquireResponse, error) {
	client, err := p.controllerClient()
	if err != nil {
		return nil, err
	}
	resp, err := client.Acquire(ctx, req)
	if err != nil || resp.GetRedirect() == nil {
		return resp, err
	}
	client, err = p.cellClient(fleet.NodeID(resp.GetRedirect().GetNode()))
	if err != nil {
		return nil, err
	}
	return client.Acquire(ctx, req)
}

// Retries of a Finish that could not be delivered.
const (
	finishTimeout    = time.Second // timeout of one attempt
	finishAttempts   = 8
	finishRetryDelay = 250 * time.Millisecond // time between two attempts
)

// Finish implements entry.Grants.
func (p *peerClients) Finish(req *peer.FinishRequest) {
	client, err := p.controllerClient()
	if err == nil && client == peer.Cell(p.node.cell) {
		// A local call cannot fail.
		_, _ = client.Finish(context.Background(), req)
		return
	}
	p.node.background.Go(func() { p.finishWithRetries(req) })
}

// FinishSync implements entry.Grants.
func (p *peerClients) FinishSync(ctx context.Context, req *peer.FinishRequest) {
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	client, err := p.controllerClient()
	if err == nil {
		_, err = client.Finish(ctx, req)
	}
	if err != nil {
		p.node.background.Go(func() { p.finishWithRetries(req) })
	}
}

// finishWithRetries sends the Finish to the active controller, or after a takeover to
// its successor, which ignores grants of earlier terms. After finishAttempts failures
// it only logs that the Finish was not delivered.
func (p *peerClients) finishWithRetries(req *peer.FinishRequest) {
	for range finishAttempts {
		client, err := p.controllerClient()
		if err == nil {
			ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
			_, err = client.Finish(ctx, req)
			cancel()
		}
		if err == nil {
			return
		}
		time.Sleep(finishRetryDelay)
	}
	level.Warn(p.node.cfg.Log).Log("event", "finish_not_told", "grant", req.GetGrantId(), "request_id", req.GetRequestId())
}

// Snapshot implements entry.Grants.
func (p *peerClients) Snapshot() []fleet.Replica {
	rows := p.snapshot.Load()
	if rows == nil {
		return nil
	}
	// The controller may have sent the replicas before it observed that their backend
	// server is leaving.
	return p.node.backends.markDraining(*rows)
}

// Interval and timeout of snapshot calls.
const (
	snapshotInterval = 2 * time.Second
	snapshotTimeout  = time.Second
)

// snapshotBytesPerSecond limits the average rate at which a node receives
// snapshots: the larger a snapshot, the later the next one.
const snapshotBytesPerSecond = 1024

// refreshSnapshot stores the replicas of the active controller. If the call fails, or
// the response names no controller or no replicas, the last snapshot stays.
func (n *Node) refreshSnapshot(ctx context.Context, now time.Time) error {
	client, err := n.peers.controllerClient()
	if err != nil || now.Before(n.peers.nextSnapshot) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	resp, err := client.Snapshot(ctx, &peer.SnapshotRequest{Cell: string(n.cfg.Cell)})
	if err != nil || resp.GetController() == "" || len(resp.GetReplicas()) == 0 {
		return nil
	}
	n.peers.nextSnapshot = now.Add(snapshotDelay(proto.Size(resp)))
	rows := make([]fleet.Replica, 0, len(resp.GetReplicas()))
	for _, row := range resp.GetReplicas() {
		rows = append(rows, replicaFromRow(row))
	}
	n.peers.snapshot.Store(&rows)
	return nil
}

// snapshotDelay returns the time until the next snapshot after one of the given
// size.
func snapshotDelay(bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / snapshotBytesPerSecond
}

func replicaFromRow(row *peer.ReplicaRow) fleet.Replica {
	r := fleet.Replica{
		ReplicaKey: fleet.ReplicaKey{
			Backend: fleet.BackendID(row.GetBackend()),
			Boot:    fleet.BootID(row.GetBoot()),
			Model:   fleet.ModelID(row.GetModel()),
			Version: fleet.Version(row.GetVersion()),
		},
		Address:  row.GetAddress(),
		Slots:    int(row.GetSlots()),
		Draining: row.GetDraining(),
	}
	for s := fleet.ReplicaReserved; s <= fleet.ReplicaUnloading; s++ {
		if s.String() == row.GetState() {
			r.State = s
		}
	}
	for _, a := range row.GetAdapters() {
		r.Adapters = append(r.Adapters, fleet.AdapterID(a))
	}
	return r
}
