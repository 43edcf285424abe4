package dev

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"

	"github.com/go-kit/log"
	"golang.org/x/sync/errgroup"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/internal/node"
	"github.com/redwingnotch/redwingnotch/internal/telemetry"
	"github.com/redwingnotch/redwingnotch/keepwarm"
	"github.com/redwingnotch/redwingnotch/membership/udp"
	"github.com/redwingnotch/redwingnotch/platform"
)

// Node is a running entry node with its admin server.
type Node struct {
	*node.Node
	AdminAddress string // host:port that serves metrics, readiness and the admin API

	cancel context.CancelFunc // starts the graceful stop
	done   chan struct{}      // closed when Run has returned
	err    error              // result of Run; valid once done is closed
}

// Stop stops the node gracefully and returns the result of its Run.
func (n *Node) Stop() error {
	n.cancel()
	<-n.done
	return n.err
}

// StartNode starts an entry node with the given name and its admin server.
func (d *Deployment) StartNode(name string) error {
	cfg, err := d.nodeConfig(name)
	if err != nil {
		return err
	}
	running, err := node.New(cfg)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", loopbackAddr)
	if err != nil {
		return err
	}
	admin := &http.Server{Handler: telemetry.NewAdminHandler(cfg.Metrics, running.NotReadyReason, false, running.AdminHandler())}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{Node: running, AdminAddress: listener.Addr().String(), cancel: cancel, done: make(chan struct{})}
	go func() { _ = admin.Serve(listener) }() // returns when the server is closed
	go func() {
		defer close(n.done)
		n.err = running.Run(ctx)
		admin.Close()
	}()
	d.mu.Lock()
	d.nodes = append(d.nodes, n)
	d.mu.Unlock()
	return nil
}

// nodeConfig opens the node's listeners and returns its configuration. If it
// fails, it closes the TCP listeners that it opened before.
func (d *Deployment) nodeConfig(name string) (node.Config, error) {
	callerListener, err := net.Listen("tcp", loopbackAddr)
	if err != nil {
		return node.Config{}, err
	}
	peerListener, err := net.Listen("tcp", loopbackAddr)
	if err != nil {
		return node.Config{}, errors.Join(err, callerListener.Close())
	}
	gossipConn, err := udp.Listen(peerListener.Addr().String())
	if err != nil {
		return node.Config{}, errors.Join(err, callerListener.Close(), peerListener.Close())
	}
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return node.Config{}, errors.Join(err, callerListener.Close(), peerListener.Close())
	}
	client := platform.NewClient(platform.Options{
		BaseURL:        "http://" + d.apiAddress,
		CallsPerSecond: platformCallsPerSecond / float64(d.options.Nodes),
	})
	keep := keepwarm.DefaultSettings()
	keep.MinKeep = minKeep
	d.mu.Lock()
	index := len(d.nodes)
	d.mu.Unlock()
	cfg := node.Config{
		ID:             fleet.NodeID(name),
		Region:         Region,
		Zone:           zone(index),
		Cell:           Cell,
		Callers:        callerListener,
		Peers:          peerListener,
		Gossip:         gossipConn,
		GossipAddress:  gossipConn.Addr(),
		Secret:         []byte("shared by the nodes of this process"),
		Store:          client,
		VMs:            client,
		Log:            log.With(d.options.Log, "node", name),
		Metrics:        metrics,
		EntryTTL:       entryTTL,
		VMListInterval: vmListInterval,
		KeepWarm:       keep,
	}
	cfg.Controller.Budget.LoadsPerSecond = loadsPerSecond
	return cfg, nil
}

// Nodes returns the entry nodes that were started and not removed.
func (d *Deployment) Nodes() []*Node {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.nodes)
}

// RemoveNode removes a node from the list that Nodes returns. Call it before the node
// is stopped or killed.
func (d *Deployment) RemoveNode(n *Node) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nodes = slices.DeleteFunc(d.nodes, func(other *Node) bool { return other == n })
}

// Controller returns the node that is the cell's active controller; nil if there
// is none.
func (d *Deployment) Controller() *Node {
	for _, n := range d.Nodes() {
		if _, active := n.Active(); active {
			return n
		}
	}
	return nil
}

// StopNodes stops all entry nodes gracefully and concurrently. It returns the
// first error.
func (d *Deployment) StopNodes() error {
	var group errgroup.Group
	for _, n := range d.Nodes() {
		group.Go(n.Stop)
	}
	err := group.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nodes = nil
	return err
}
