package node

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/internal/operators"
)

// Status returns what the node knows, for operators.
func (n *Node) Status() operators.Status {
	now := time.Now()
	s := operators.Status{
		Node:     n.record(),
		At:       now.UTC(),
		NotReady: n.NotReady(),
		Running:  n.entry.Running(),
		Release:  n.releases.status(now),
		Cell:     n.cell.status(now),
	}
	for _, m := range n.members.all() {
		s.Members = append(s.Members, operators.Member{
			Node: m.ID, Zone: m.Zone, State: m.State.String(), Release: m.ReleaseVersion, HeardAt: m.HeardAt.UTC(),
		})
	}
	return s
}

func (r *releases) status(now time.Time) operators.Release {
	r.mu.Lock()
	defer r.mu.Unlock()
	return operators.Release{
		Version:  r.core.Version(),
		Since:    r.core.Since().UTC(),
		Heard:    r.core.Heard(),
		Standing: r.core.Standing(now).String(),
	}
}

func (c *cell) status(now time.Time) operators.Cell {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := operators.Cell{
		Cell:         c.node.cfg.Cell,
		Controller:   c.authority.Holder.Node,
		Epoch:        c.authority.Epoch,
		InOffice:     c.authority.InOffice,
		StoreContact: c.authority.StoreContact,
	}
	if !s.InOffice {
		return s
	}
	for _, r := range c.controller.Replicas() {
		s.Replicas = append(s.Replicas, operators.Replica{
			Model: r.Model, Version: r.Version, Backend: r.Backend, State: r.State.String(),
			Adapters: r.Adapters, Draining: r.Draining, LastUsed: r.LastUsed.UTC(),
		})
	}
	for _, d := range c.queue.Demands(now) {
		for rank := range fleet.Rank(fleet.RankCount) {
			s.Waiting[rank] += d.Waiting[rank]
		}
	}
	if blocked := c.blocked.Load(); blocked != nil {
		for _, b := range *blocked {
			s.Blocked = append(s.Blocked, operators.Blocked{Target: b.Target.String(), Reason: string(b.Reason)})
		}
	}
	return s
}

func (n *Node) serveStatus(w http.ResponseWriter, _ *http.Request) { writeOperators(w, n.Status()) }

func (n *Node) serveExplain(w http.ResponseWriter, r *http.Request) {
	explanation, ok := n.entry.Explain(r.PathValue("id"))
	if !ok {
		http.Error(w, operators.ErrNotKnown.Error(), http.StatusNotFound)
		return
	}
	writeOperators(w, explanation)
}

func writeOperators(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A tool that went away learns nothing.
	_ = json.NewEncoder(w).Encode(v)
}
