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

// errNoController means that no node is known to control the cell.
var errNoController = errors.New("no controller is known")

// peerClients holds the connections to other nodes.
type peerClients struct {
	node     *Node
	http     *authClient
	mu       sync.Mutex
	cells    map[string]peer.Cell // by peer address
	snapshot atomic.Pointer[[]fleet.Replica]

	nextSnapshot time.Time // used by refreshSnapshot only
}

func newPeerClients(n *Node) *peerClients {
	client := httpsend.NewClient(httpsend.Options{Dial: n.cfg.Dial})
	return &peerClients{
		node:  n,
		http:  &authClient{client: client, secret: string(n.cfg.Secret)},
		cells: make(map[string]peer.Cell),
	}
}

// authClient adds the shared secret to each call. After a call that got no
// answer in time it drops idle connections, as they may be silent too.
type authClient struct {
	client *http.Client
	secret string
}

// Do implements the client of twirp.
func (a *authClient) Do(req *http.Request) (*http.Response, error) {
	req.Header.Set(HeaderSecret, a.secret)
	resp, err := a.client.Do(req)
	if err != nil && errors.Is(req.Context().Err(), context.DeadlineExceeded) {
		a.client.CloseIdleConnections()
	}
	return resp, err
}

// cellAt returns the cell service of a node: in this process without a call.
func (p *peerClients) cellAt(id fleet.NodeID) (peer.Cell, error) {
	if id == p.node.cfg.ID {
		return p.node.cell, nil
	}
	member, ok := p.node.members.member(id)
	if !ok || id == "" {
		return nil, fmt.Errorf("%w: %q is no member", errNoController, id)
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

// controller returns the cell service of the node in office.
func (p *peerClients) controller() (peer.Cell, error) {
	holder := p.node.cell.holder.Load()
	if holder == nil {
		return nil, errNoController
	}
	return p.cellAt(holder.Node)
}

// Acquire implements entry.Grants. If the node asked is not in office and names
// another one, that one is asked at once.
func (p *peerClients) Acquire(ctx context.Context, req *peer.AcquireRequest) (*peer.AcquireResponse, error) {
	client, err := p.controller()
	if err != nil {
		return nil, err
	}
	resp, err := client.Acquire(ctx, req)
	if err != nil || resp.GetRedirect() == nil {
		return resp, err
	}
	client, err = p.cellAt(fleet.NodeID(resp.GetRedirect().GetNode()))
	if err != nil {
		return nil, err
	}
	return client.Acquire(ctx, req)
}

// Repeats of a Finish that was not heard.
const (
	finishTimeout = time.Second
	finishTries   = 8
	finishPause   = 250 * time.Millisecond
)

// Finish implements entry.Grants.
func (p *peerClients) Finish(req *peer.FinishRequest) {
	client, err := p.controller()
	if err == nil && client == peer.Cell(p.node.cell) {
		// A call in this process can't fail.
		_, _ = client.Finish(context.Background(), req)
		return
	}
	p.node.background.Go(func() { p.finishRemote(req) })
}

// FinishNow implements entry.Grants.
func (p *peerClients) FinishNow(ctx context.Context, req *peer.FinishRequest) {
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	client, err := p.controller()
	if err == nil {
		_, err = client.Finish(ctx, req)
	}
	if err != nil {
		p.node.background.Go(func() { p.finishRemote(req) })
	}
}

// finishRemote tells the node in office, and after a takeover its successor,
// which ignores grants of earlier terms.
func (p *peerClients) finishRemote(req *peer.FinishRequest) {
	for range finishTries {
		client, err := p.controller()
		if err == nil {
			ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
			_, err = client.Finish(ctx, req)
			cancel()
		}
		if err == nil {
			return
		}
		time.Sleep(finishPause)
	}
	level.Warn(p.node.cfg.Log).Log("event", "finish_not_told", "grant", req.GetGrantId(), "request_id", req.GetRequestId())
}

// Snapshot implements entry.Grants.
func (p *peerClients) Snapshot() []fleet.Replica {
	rows := p.snapshot.Load()
	if rows == nil {
		return nil
	}
	// The controller may have told of the replicas before it knew that their
	// backend server leaves.
	return p.node.backends.markLeaving(*rows)
}

// Times of snapshots.
const (
	snapshotInterval = 2 * time.Second
	snapshotTimeout  = time.Second
)

// snapshotBytesPerSecond bounds what snapshots cost a node: the larger the
// cell, the less often it asks.
const snapshotBytesPerSecond = 1024

// refreshSnapshot keeps the last replicas that a controller told.
func (n *Node) refreshSnapshot(ctx context.Context, now time.Time) error {
	client, err := n.peers.controller()
	if err != nil || now.Before(n.peers.nextSnapshot) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	resp, err := client.Snapshot(ctx, &peer.SnapshotRequest{Cell: string(n.cfg.Cell)})
	if err != nil || resp.GetController() == "" || len(resp.GetReplicas()) == 0 {
		return nil
	}
	n.peers.nextSnapshot = now.Add(snapshotPause(proto.Size(resp)))
	rows := make([]fleet.Replica, 0, len(resp.GetReplicas()))
	for _, row := range resp.GetReplicas() {
		rows = append(rows, replicaOf(row))
	}
	n.peers.snapshot.Store(&rows)
	return nil
}

// snapshotPause returns the time to the next snapshot after one of that size.
func snapshotPause(bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / snapshotBytesPerSecond
}

func replicaOf(row *peer.ReplicaRow) fleet.Replica {
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
