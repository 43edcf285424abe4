package rwnctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/redwingnotch/redwingnotch/admin"
	"github.com/redwingnotch/redwingnotch/audit"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/release"
)

// statusResult is the output of status.
type statusResult struct {
	Accepted *acceptedRelease `json:"accepted,omitempty"` // nil if it could not be read or --platform-url is not set
	Platform string           `json:"platform"`           // "read", "not asked" without --platform-url, or the error of reading it
	InForce  uint64           `json:"in_force"`           // highest version that the platform or a node reported
	Reached  int              `json:"reached"`            // live nodes that have this version in force
	Live     int              `json:"live"`               // nodes whose state is alive, leaving or suspect
	Nodes    []nodeRow        `json:"nodes"`
	Cells    []admin.Cell     `json:"cells"`
	Failures []string         `json:"failures,omitempty"` // errors of the nodes that returned no status
}

// acceptedRelease is the newest release stored at the platform.
type acceptedRelease struct {
	Version    uint64    `json:"version"`
	Operator   string    `json:"operator"`
	AcceptedAt time.Time `json:"accepted_at"`
}

// nodeRow is one node's row of the status.
type nodeRow struct {
	Node      fleet.NodeID           `json:"node"`
	Zone      fleet.AvailabilityZone `json:"availability_zone"`
	State     string                 `json:"state"`
	Version   uint64                 `json:"version"`
	AsOf      time.Time              `json:"as_of"`              // time at which the node had the version; zero if no message came from it
	Since     time.Time              `json:"since,omitzero"`     // when the version came in force; only for nodes that returned their status
	SyncState string                 `json:"standing,omitempty"` // sync state against the release; only for nodes that returned their status
	live      bool
}

// status shows the newest release and the version in force at each node. It fails
// only if neither the platform nor a node responded.
func (r *run) status(ctx context.Context) error {
	result := statusResult{Platform: "not asked"}
	if r.args.PlatformURL != "" {
		r.readAccepted(ctx, &result)
	}
	responded := 0
	for _, address := range r.args.nodeAddresses() {
		s, err := admin.NewClient(address).Status(ctx)
		if err != nil {
			result.Failures = append(result.Failures, err.Error())
			continue
		}
		responded++
		result.addNode(s, r.Now())
	}
	if responded == 0 && result.Accepted == nil {
		return fmt.Errorf("%w: neither the platform (%s) nor any node responded: %v", admin.ErrUnreachable, result.Platform, result.Failures)
	}
	result.countReached()
	return r.writeResult(result, func(w io.Writer) { r.statusTable(w, result) })
}

// readAccepted reads the newest release's version and log entry from the platform.
func (r *run) readAccepted(ctx context.Context, result *statusResult) {
	head, err := release.ReadHead(ctx, r.store())
	if err != nil {
		result.Platform = err.Error()
		return
	}
	result.Platform = "read"
	result.Accepted = &acceptedRelease{Version: head.Version}
	if n := len(head.Log); n > 0 {
		result.Accepted.Operator = head.Log[n-1].Operator
		result.Accepted.AcceptedAt = head.Log[n-1].AcceptedAt
	}
}

// addNode merges the status that a node returned: its own release version, the
// other members' state at their last contact with it, and the cells. Of several rows
// for a node the most recent is used, so a node's own status replaces reports by
// others.
func (s *statusResult) addNode(from admin.Status, now time.Time) {
	for _, m := range from.Members {
		row := nodeRow{Node: m.Node, Zone: m.Zone, State: m.State, Version: m.ReleaseVersion, AsOf: m.LastContact}
		row.live = m.State == "alive" || m.State == "leaving" || m.State == "suspect"
		if m.Node == from.Node {
			row.Version = from.Release.Version
			row.AsOf = now
			row.Since = from.Release.Since
			row.SyncState = from.Release.SyncState
		}
		s.mergeRow(row)
	}
	for _, c := range from.Cells {
		s.mergeCell(c)
	}
}

// mergeRow adds the row, or replaces the node's row if the new one is more recent.
func (s *statusResult) mergeRow(row nodeRow) {
	for i, known := range s.Nodes {
		if known.Node != row.Node {
			continue
		}
		if row.AsOf.After(known.AsOf) {
			s.Nodes[i] = row
		}
		return
	}
	s.Nodes = append(s.Nodes, row)
}

// mergeCell adds the cell, or replaces it if the new one has a higher epoch, or the
// same epoch and more replicas: only the controller reports replicas.
func (s *statusResult) mergeCell(c admin.Cell) {
	for i, known := range s.Cells {
		if known.Cell != c.Cell {
			continue
		}
		if c.Epoch > known.Epoch || (c.Epoch == known.Epoch && len(c.Replicas) > len(known.Replicas)) {
			s.Cells[i] = c
		}
		return
	}
	s.Cells = append(s.Cells, c)
}

// countReached determines the highest version, and counts the live nodes and those
// of them at that version.
func (s *statusResult) countReached() {
	if s.Accepted != nil {
		s.InForce = s.Accepted.Version
	}
	for _, n := range s.Nodes {
		s.InForce = max(s.InForce, n.Version)
	}
	for _, n := range s.Nodes {
		if !n.live {
			continue
		}
		s.Live++
		if n.Version == s.InForce {
			s.Reached++
		}
	}
}

// statusTable writes the status as text.
func (r *run) statusTable(w io.Writer, s statusResult) {
	if a := s.Accepted; a != nil {
		fmt.Fprintf(w, "accepted: version %d by %s, %s\n", a.Version, orNone(a.Operator), r.ago(a.AcceptedAt))
	} else {
		fmt.Fprintf(w, "accepted: not known, platform: %s\n", s.Platform)
	}
	if len(s.Nodes) == 0 {
		fmt.Fprintln(w, "it is not known where the version is in force: no node responded")
	} else {
		fmt.Fprintf(w, "version %d is in force at %d of %d live nodes\n", s.InForce, s.Reached, s.Live)
		fmt.Fprintf(w, "\nNODE\tZONE\tSTATE\tVERSION\tAS OF\tIN FORCE SINCE\tVIEW\n")
	}
	for _, n := range s.Nodes {
		since := "-"
		if !n.Since.IsZero() {
			since = n.Since.UTC().Format(time.RFC3339)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%s\n", n.Node, n.Zone, n.State, n.Version, r.ago(n.AsOf), since, orDash(n.SyncState))
	}
	if len(s.Cells) > 0 {
		fmt.Fprintf(w, "\nCELL\tCONTROLLER\tEPOCH\tREPLICAS\n")
	}
	for _, c := range s.Cells {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\n", c.Cell, orNone(string(c.Controller)), c.Epoch, len(c.Replicas))
	}
	for _, f := range s.Failures {
		fmt.Fprintf(w, "status not read: %s\n", f)
	}
}

// orDash returns s, or "-" if it is empty.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// audit shows the entries of the audit trail from the given time ago until now.
func (r *run) audit(ctx context.Context, since time.Duration) error {
	now := r.Now()
	entries, err := audit.Read(ctx, r.store(), now.Add(-since), now)
	if err != nil {
		return err
	}
	return r.writeResult(entries, func(w io.Writer) {
		fmt.Fprintf(w, "TIME\tWHO\tACTION\tVERSION\tOUTCOME\tWHAT\n")
		for _, e := range entries {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\n", e.Time.UTC().Format(time.RFC3339), e.Who, e.Action, e.Version, e.Outcome, e.Title)
			for _, c := range e.Changes {
				fmt.Fprintf(w, "\t\t\t\t\t  %s: %s -> %s\n", c.What, orNone(c.Before), orNone(c.After))
			}
			if e.Omitted > 0 {
				fmt.Fprintf(w, "\t\t\t\t\t  and %d more changes\n", e.Omitted)
			}
			if e.Detail != "" {
				fmt.Fprintf(w, "\t\t\t\t\t  %q\n", e.Detail)
			}
		}
	})
}

// explain asks one node after another about a request and shows the first
// explanation. If no node has one, it returns ErrNotKnown if any node responded that
// it doesn't know the request, and the errors of all nodes otherwise.
func (r *run) explain(ctx context.Context, id string) error {
	var errs []error
	notKnown := false
	for _, address := range r.args.nodeAddresses() {
		e, err := admin.NewClient(address).Explain(ctx, id)
		if err != nil {
			notKnown = notKnown || errors.Is(err, admin.ErrNotKnown)
			errs = append(errs, err)
			continue
		}
		return r.writeResult(e, func(w io.Writer) { explanationTable(w, e) })
	}
	if notKnown {
		return fmt.Errorf("%w: %s", admin.ErrNotKnown, id)
	}
	return errors.Join(errs...)
}

// explanationTable writes an explanation as text.
func explanationTable(w io.Writer, e admin.Explanation) {
	fmt.Fprintf(w, "request\t%s\n", e.RequestID)
	fmt.Fprintf(w, "explained by\t%s\n", e.Node)
	fmt.Fprintf(w, "target\t%s\n", e.Target)
	fmt.Fprintf(w, "rank\t%s\n", e.Rank)
	fmt.Fprintf(w, "outcome\t%s\n", orNone(e.Outcome))
	fmt.Fprintf(w, "code\t%s\n", orNone(e.Code))
	fmt.Fprintf(w, "reason\t%s\n", e.Reason)
	for _, s := range e.Steps {
		fmt.Fprintf(w, "%s\t%s\n", s.At.UTC().Format(time.RFC3339Nano), s.Description)
	}
}
