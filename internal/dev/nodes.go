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

// Node is one running entry node.
type Node struct {
	*node.Node
	AdminAddress string // of metrics, readiness and the operators' interface

	cancel context.CancelFunc
	done   chan struct{}
	err    error // of Run; valid once done is closed
}

// Stop stops the node gracefully and returns what its run returned.
func (n *Node) Stop() error {
	n.cancel()
	<-n.done
	return n.err
}

// StartNode starts an entry node of the name.
func (d *Deployment) StartNode(name string) error {
	cfg, err := d.nodeConfig(name)
	if err != nil {
		return err
	}
	running, err := node.New(cfg)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return err
	}
	admin := &http.Server{Handler: telemetry.Admin(cfg.Metrics, running.NotReady, false, running.AdminHandler())}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{Node: running, AdminAddress: listener.Addr().String(), cancel: cancel, done: make(chan struct{})}
	go func() { _ = admin.Serve(listener) }() // ends by Close
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

func (d *Deployment) nodeConfig(name string) (node.Config, error) {
	callers, err := net.Listen("tcp", loopback)
	if err != nil {
		return node.Config{}, err
	}
	peers, err := net.Listen("tcp", loopback)
	if err != nil {
		return node.Config{}, errors.Join(err, callers.Close())
	}
	gossip, err := udp.Listen(peers.Addr().String())
	if err != nil {
		return node.Config{}, errors.Join(err, callers.Close(), peers.Close())
	}
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return node.Config{}, errors.Join(err, callers.Close(), peers.Close())
	}
	client := platform.NewClient(platform.Options{
		BaseURL:        "http://" + d.apiAddress,
		CallsPerSecond: platformCalls / float64(d.options.Nodes),
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
		Callers:        callers,
		Peers:          peers,
		Gossip:         gossip,
		GossipAddress:  gossip.Addr(),
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

// Nodes returns the entry nodes that run.
func (d *Deployment) Nodes() []*Node {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.nodes)
}

// Forget takes a node off the list, before it is stopped or killed.
func (d *Deployment) Forget(n *Node) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nodes = slices.DeleteFunc(d.nodes, func(other *Node) bool { return other == n })
}

// Controller returns the node that controls the cell, or nil.
func (d *Deployment) Controller() *Node {
	for _, n := range d.Nodes() {
		if _, in := n.InOffice(); in {
			return n
		}
	}
	return nil
}

// StopNodes stops all entry nodes gracefully, side by side.
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
