package node

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/redwingnotch/redwingnotch/admin"
	"github.com/redwingnotch/redwingnotch/fleet"
)

// AdminHandler serves the operators' interface: status and request explanations.
func (n *Node) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+admin.PathStatus, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, n.Status())
	})
	mux.HandleFunc("GET "+admin.PathExplain+"{id}", n.serveExplain)
	return mux
}

func (n *Node) serveExplain(w http.ResponseWriter, r *http.Request) {
	explanation, ok := n.entry.Explain(r.PathValue("id"))
	if !ok {
		writeJSON(w, http.StatusNotFound, admin.ErrorResponse{Code: "not_known", Detail: "this node has no record of the request"})
		return
	}
	writeJSON(w, http.StatusOK, explanation)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An encoding error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

// Status returns the node's state for operators: release, members and its cell.
func (n *Node) Status() admin.Status {
	now := time.Now()
	s := admin.Status{
		Node:    n.cfg.ID,
		Region:  n.cfg.Region,
		Zone:    n.cfg.Zone,
		Release: n.releaseLoop.status(now),
		Cells:   []admin.Cell{n.cell.status()},
	}
	for _, m := range n.members.list() {
		s.Members = append(s.Members, admin.Member{
			Node: m.ID, Zone: m.Zone, State: m.State.String(), Incarnation: m.Incarnation,
			ReleaseVersion: m.ReleaseVersion, LastContact: m.LastContact.UTC(),
		})
	}
	return s
}

func (r *releaseLoop) status(now time.Time) admin.Release {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.core.State()
	return admin.Release{
		Version:     r.core.Version(),
		Since:       r.core.Since().UTC(),
		AcceptedAt:  state.AcceptedAt.UTC(),
		Operator:    state.Operator,
		LatestKnown: r.core.LatestKnown(),
		SyncState:   r.core.SyncState(now).String(),
		Age:         r.core.Age(now),
	}
}

func (c *cell) status() admin.Cell {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := admin.Cell{
		Cell:         c.node.cfg.Cell,
		Controller:   c.authority.Holder.Node,
		Epoch:        c.authority.Epoch,
		LeaseVersion: c.node.leaseLoop.leaseVersion(),
	}
	if !c.authority.Active {
		return s
	}
	for _, r := range c.controller.Replicas() {
		s.Replicas = append(s.Replicas, admin.Replica{Model: r.Model, Version: r.Version, Backend: r.Backend, State: r.State.String()})
	}
	return s
}

// blockedReason returns why a requested target is not being loaded, or the empty
// string if it is not blocked. The caller holds c.mu.
func (c *cell) blockedReason(t fleet.Target) string {
	for _, b := range c.blocked {
		if b.Target == t {
			return string(b.Reason)
		}
	}
	return ""
}
