package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	stdlog "log"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/google/uuid"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/platform"
)

// nodeRecord is the object that a node writes to the store at its start. Other nodes
// read it to join.
type nodeRecord struct {
	Node        fleet.NodeID           `json:"node"`
	Incarnation fleet.Incarnation      `json:"incarnation"`
	Region      fleet.Region           `json:"region"`
	Zone        fleet.AvailabilityZone `json:"availability_zone"`
	Gossip      string                 `json:"gossip_address"`
	Peer        string                 `json:"peer_address"`
	Entry       string                 `json:"entry_address"`
	StartedAt   time.Time              `json:"started_at"`
}

// Timeouts of registration.
const (
	registerTimeout = 5 * time.Second // timeout of registering, looking up nodes or unregistering; also added to the wait of a watch call on the release
	identityTimeout = time.Second     // timeout of a call to identityPath
)

// identityPath is where a node's peer server returns the node's own nodeRecord.
const identityPath = "/identity"

// register returns ErrNameInUse if another live run has this node's name. Otherwise it
// writes this run's record and looks up nodes to join. If the store is unavailable,
// the node starts anyway; membership then detects a second node with the name.
func (n *Node) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	expect, err := n.checkNameFree(ctx)
	if errors.Is(err, ErrNameInUse) {
		return err
	}
	if err == nil {
		err = n.writeRecord(ctx, expect)
	}
	if errors.Is(err, platform.ErrConflict) {
		// Another run with this name is registering concurrently: check again.
		if _, err := n.checkNameFree(ctx); errors.Is(err, ErrNameInUse) {
			return err
		}
	}
	if err != nil {
		level.Warn(n.cfg.Log).Log("event", "register_failed", "err", err)
	}
	n.loadSeeds(ctx)
	return nil
}

// checkNameFree returns the version of the record stored under this node's name, zero
// if there is none, or ErrNameInUse if another run with the name responds.
func (n *Node) checkNameFree(ctx context.Context) (uint64, error) {
	object, err := n.cfg.Store.Get(ctx, platform.KindNode, string(n.cfg.ID))
	if errors.Is(err, platform.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	var r nodeRecord
	if err := json.Unmarshal(object.Value, &r); err != nil {
		return object.Version, nil // a malformed record is replaced
	}
	if r.Incarnation != n.incarnation && n.respondsAsNode(ctx, r) {
		return 0, fmt.Errorf("%w: %s runs at %s since %s", ErrNameInUse, r.Node, r.Peer, r.StartedAt.Format(time.RFC3339))
	}
	return object.Version, nil
}

// respondsAsNode reports whether a node with this node's name responds at the record's
// peer address.
func (n *Node) respondsAsNode(ctx context.Context, r nodeRecord) bool {
	ctx, cancel := context.WithTimeout(ctx, identityTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.Peer+identityPath, nil)
	if err != nil {
		return false
	}
	resp, err := n.peers.http.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	var found nodeRecord
	return json.NewDecoder(http.MaxBytesReader(nil, resp.Body, 4096)).Decode(&found) == nil && found.Node == n.cfg.ID
}

func (n *Node) nodeRecord() nodeRecord {
	return nodeRecord{
		Node:        n.cfg.ID,
		Incarnation: n.incarnation,
		Region:      n.cfg.Region,
		Zone:        n.cfg.Zone,
		Gossip:      n.cfg.GossipAddress,
		Peer:        n.cfg.PeerAddress,
		Entry:       n.cfg.CallerAddress,
		StartedAt:   n.startedAt,
	}
}

func (n *Node) writeRecord(ctx context.Context, expect uint64) error {
	value, err := json.Marshal(n.nodeRecord())
	if err != nil {
		return fmt.Errorf("encode node record: %w", err)
	}
	_, err = platform.PutResolved(ctx, n.cfg.Store, platform.KindNode, string(n.cfg.ID), value, expect, uuid.NewString())
	return err
}

// loadSeeds uses the nodes registered in the store as seeds, if none are configured.
func (n *Node) loadSeeds(ctx context.Context) {
	if len(n.cfg.Seeds) > 0 {
		return
	}
	objects, _, err := n.cfg.Store.List(ctx, platform.KindNode, "")
	if err != nil {
		level.Warn(n.cfg.Log).Log("event", "no_nodes_to_join", "err", err)
		return
	}
	var seeds []string
	for _, object := range objects {
		var r nodeRecord
		if json.Unmarshal(object.Value, &r) == nil && r.Gossip != "" {
			seeds = append(seeds, r.Gossip)
		}
	}
	n.members.setSeeds(seeds)
}

// rejoinInterval is the interval at which a node that knows no other members looks up
// nodes in the store.
const rejoinInterval = 5 * time.Second

// rejoin looks up nodes to join while this node knows no other members.
func (n *Node) rejoin(ctx context.Context, _ time.Time) error {
	if len(n.members.list()) > 1 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	n.loadSeeds(ctx)
	return nil
}

// unregister deletes this run's record after a graceful stop.
func (n *Node) unregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	object, err := n.cfg.Store.Get(ctx, platform.KindNode, string(n.cfg.ID))
	var r nodeRecord
	if err != nil || json.Unmarshal(object.Value, &r) != nil || r.Incarnation != n.incarnation {
		return
	}
	if err := n.cfg.Store.Delete(ctx, platform.KindNode, string(n.cfg.ID), object.Version); err != nil {
		level.Info(n.cfg.Log).Log("event", "unregister_failed", "err", err)
	}
}

func (n *Node) serveIdentity(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// An encoding error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(n.nodeRecord())
}

// serverLog returns a logger that passes the lines of an HTTP server to the node's
// log at level debug.
func serverLog(logger log.Logger) *stdlog.Logger {
	return stdlog.New(log.NewStdlibAdapter(level.Debug(logger)), "", 0)
}
