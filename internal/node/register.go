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

// record is a node's object in the platform's store. Others join by it.
type record struct {
	Node        fleet.NodeID           `json:"node"`
	Incarnation fleet.Incarnation      `json:"incarnation"`
	Region      fleet.Region           `json:"region"`
	Zone        fleet.AvailabilityZone `json:"availability_zone"`
	Gossip      string                 `json:"gossip_address"`
	Peer        string                 `json:"peer_address"`
	Entry       string                 `json:"entry_address"`
	StartedAt   time.Time              `json:"started_at"`
}

// Times of registration.
const (
	registerTimeout = 5 * time.Second
	identityTimeout = time.Second
)

// identityPath tells which run of which node listens at a peer address.
const identityPath = "/identity"

// register refuses the node's name if another run bears it and is alive, then
// writes this run's record and learns of nodes to join. A node starts also
// while the store is down; membership finds a second node of the name then.
func (n *Node) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	expect, err := n.checkName(ctx)
	if errors.Is(err, ErrNameInUse) {
		return err
	}
	if err == nil {
		err = n.writeRecord(ctx, expect)
	}
	if errors.Is(err, platform.ErrConflict) {
		// Another run of this name registers at this moment: look again.
		if _, err := n.checkName(ctx); errors.Is(err, ErrNameInUse) {
			return err
		}
	}
	if err != nil {
		level.Warn(n.cfg.Log).Log("event", "register_failed", "err", err)
	}
	n.learnSeeds(ctx)
	return nil
}

// checkName returns the version of the name's record.
func (n *Node) checkName(ctx context.Context) (uint64, error) {
	object, err := n.cfg.Store.Get(ctx, platform.KindNode, string(n.cfg.ID))
	if errors.Is(err, platform.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	var r record
	if err := json.Unmarshal(object.Value, &r); err != nil {
		return object.Version, nil // a damaged record is replaced
	}
	if r.Incarnation != n.run && n.bears(ctx, r) {
		return 0, fmt.Errorf("%w: %s runs at %s since %s", ErrNameInUse, r.Node, r.Peer, r.StartedAt.Format(time.RFC3339))
	}
	return object.Version, nil
}

// bears reports whether the run of the record answers at its address.
func (n *Node) bears(ctx context.Context, r record) bool {
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
	var found record
	return json.NewDecoder(http.MaxBytesReader(nil, resp.Body, 4096)).Decode(&found) == nil && found.Node == n.cfg.ID
}

func (n *Node) record() record {
	return record{
		Node:        n.cfg.ID,
		Incarnation: n.run,
		Region:      n.cfg.Region,
		Zone:        n.cfg.Zone,
		Gossip:      n.cfg.GossipAddress,
		Peer:        n.cfg.PeerAddress,
		Entry:       n.cfg.CallerAddress,
		StartedAt:   n.startedAt,
	}
}

func (n *Node) writeRecord(ctx context.Context, expect uint64) error {
	value, err := json.Marshal(n.record())
	if err != nil {
		return fmt.Errorf("node record: %w", err)
	}
	_, err = platform.PutSettled(ctx, n.cfg.Store, platform.KindNode, string(n.cfg.ID), value, expect, uuid.NewString())
	return err
}

// learnSeeds joins the nodes that the store lists, if none were configured.
func (n *Node) learnSeeds(ctx context.Context) {
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
		var r record
		if json.Unmarshal(object.Value, &r) == nil && r.Gossip != "" {
			seeds = append(seeds, r.Gossip)
		}
	}
	n.members.setSeeds(seeds)
}

// rejoinInterval is the interval at which a node that knows no other one looks
// for nodes in the store.
const rejoinInterval = 5 * time.Second

func (n *Node) rejoin(ctx context.Context, _ time.Time) error {
	if len(n.members.all()) > 1 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	n.learnSeeds(ctx)
	return nil
}

// unregister deletes this run's record after a graceful stop.
func (n *Node) unregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	object, err := n.cfg.Store.Get(ctx, platform.KindNode, string(n.cfg.ID))
	var r record
	if err != nil || json.Unmarshal(object.Value, &r) != nil || r.Incarnation != n.run {
		return
	}
	if err := n.cfg.Store.Delete(ctx, platform.KindNode, string(n.cfg.ID), object.Version); err != nil {
		level.Info(n.cfg.Log).Log("event", "unregister_failed", "err", err)
	}
}

func (n *Node) serveIdentity(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// A caller that went away learns nothing.
	_ = json.NewEncoder(w).Encode(n.record())
}

// serverLog passes the lines of an HTTP server to the node's log.
func serverLog(logger log.Logger) *stdlog.Logger {
	return stdlog.New(log.NewStdlibAdapter(level.Debug(logger)), "", 0)
}
