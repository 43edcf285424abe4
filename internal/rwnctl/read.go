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

// statusResult is the result of status.
type statusResult struct {
	Accepted *acceptedRelease `json:"accepted,omitempty"` // nil if the platform was not asked or is unavailable
	Platform string           `json:"platform"`           // "read", "not asked" or why it could not be read
	InForce  uint64           `json:"in_force"`           // highest version known
	Reached  int              `json:"reached"`            // live nodes at that version
	Live     int              `json:"live"`
	Nodes    []nodeRow        `json:"nodes"`
	Cells    []admin.Cell     `json:"cells"`
	Failures []string         `json:"failures,omitempty"` // nodes that could not be asked
}

// acceptedRelease is the release that the platform holds.
type acceptedRelease struct {
	Version    uint64    `json:"version"`
	Operator   string    `json:"operator"`
	AcceptedAt time.Time `json:"accepted_at"`
}

// nodeRow is one node's view.
type nodeRow struct {
	Node     fleet.NodeID           `json:"node"`
	Zone     fleet.AvailabilityZone `json:"availability_zone"`
	State    string                 `json:"state"`
	Version  uint64                 `json:"version"`
	AsOf     time.Time              `json:"as_of"`              // when the version was true; zero if never heard
	Since    time.Time              `json:"since,omitzero"`     // when it came in force; only of nodes that were asked
	Standing string                 `json:"standing,omitempty"` // only of nodes that were asked
	live     bool
}

// status shows what is in force at each node.
func (r *run) status(ctx context.Context) error {
	result := statusResult{Platform: "not asked"}
	if r.args.PlatformURL != "" {
		r.readAccepted(ctx, &result)
	}
	answered := 0
	for _, address := range r.args.nodeAddresses() {
		s, err := admin.NewClient(address).Status(ctx)
		if err != nil {
			result.Failures = append(result.Failures, err.Error())
			continue
		}
		answered++
		result.addNode(s, r.Now())
	}
	if answered == 0 && result.Accepted == nil {
		return fmt.Errorf("%w: neither the platform (%s) nor a node answered: %v", admin.ErrUnreachable, result.Platform, result.Failures)
	}
	result.count()
	return r.write(result, func(w io.Writer) { r.statusTable(w, result) })
}

// readAccepted reads the head of the release from the platform.
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

// addNode adds what a node says of itself and of the others. What a node says
// of itself, and what was heard last, goes first.
func (s *statusResult) addNode(from admin.Status, now time.Time) {
	for _, m := range from.Members {
		row := nodeRow{Node: m.Node, Zone: m.Zone, State: m.State, Version: m.ReleaseVersion, AsOf: m.HeardAt}
		row.live = m.State == "alive" || m.State == "leaving" || m.State == "suspect"
		if m.Node == from.Node {
			row.Version = from.Release.Version
			row.AsOf = now
			row.Since = from.Release.Since
			row.Standing = from.Release.Standing
		}
		s.mergeRow(row)
	}
	for _, c := range from.Cells {
		s.mergeCell(c)
	}
}

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

// count sums up how far the newest version has reached.
func (s *statusResult) count() {
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

// statusTable writes the status for reading.
func (r *run) statusTable(w io.Writer, s statusResult) {
	if a := s.Accepted; a != nil {
		fmt.Fprintf(w, "accepted: version %d by %s, %s\n", a.Version, orNone(a.Operator), r.ago(a.AcceptedAt))
	} else {
		fmt.Fprintf(w, "accepted: not known, platform: %s\n", s.Platform)
	}
	if len(s.Nodes) == 0 {
		fmt.Fprintln(w, "where it is in force is not known, as no node answered")
	} else {
		fmt.Fprintf(w, "version %d is in force at %d of %d live nodes\n", s.InForce, s.Reached, s.Live)
		fmt.Fprintf(w, "\nNODE\tZONE\tSTATE\tVERSION\tAS OF\tIN FORCE SINCE\tVIEW\n")
	}
	for _, n := range s.Nodes {
		since := "-"
		if !n.Since.IsZero() {
			since = n.Since.UTC().Format(time.RFC3339)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%s\n", n.Node, n.Zone, n.State, n.Version, r.ago(n.AsOf), since, orDash(n.Standing))
	}
	if len(s.Cells) > 0 {
		fmt.Fprintf(w, "\nCELL\tCONTROLLER\tEPOCH\tREPLICAS\n")
	}
	for _, c := range s.Cells {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\n", c.Cell, orNone(string(c.Controller)), c.Epoch, len(c.Replicas))
	}
	for _, f := range s.Failures {
		fmt.Fprintf(w, "not asked: %s\n", f)
	}
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// audit shows the trail of changes.
func (r *run) audit(ctx context.Context, since time.Duration) error {
	now := r.Now()
	entries, err := audit.Read(ctx, r.store(), now.Add(-since), now)
	if err != nil {
		return err
	}
	return r.write(entries, func(w io.Writer) {
		fmt.Fprintf(w, "TIME\tWHO\tACTION\tVERSION\tOUTCOME\tWHAT\n")
		for _, e := range entries {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\n", e.Time.UTC().Format(time.RFC3339), e.Who, e.Action, e.Version, e.Outcome, e.Title)
			for _, c := range e.Changes {
				fmt.Fprintf(w, "\t\t\t\t\t  %s: %s -> %s\n", c.What, orNone(c.Before), orNone(c.After))
			}
			if e.Omitted > 0 {
				fmt.Fprintf(w, "\t\t\t\t\t  and %d changes more\n", e.Omitted)
			}
			if e.Detail != "" {
				fmt.Fprintf(w, "\t\t\t\t\t  %q\n", e.Detail)
			}
		}
	})
}

// explain asks the nodes in turn what became of a request.
func (r *run) explain(ctx context.Context, id string) error {
	var errs []error
	known := false
	for _, address := range r.args.nodeAddresses() {
		e, err := admin.NewClient(address).Explain(ctx, id)
		if err != nil {
			known = known || errors.Is(err, admin.ErrNotKnown)
			errs = append(errs, err)
			continue
		}
		return r.write(e, func(w io.Writer) { explanationTable(w, e) })
	}
	if known {
		return fmt.Errorf("%w: %s", admin.ErrNotKnown, id)
	}
	return errors.Join(errs...)
}

// explanationTable writes an explanation for reading.
func explanationTable(w io.Writer, e admin.Explanation) {
	fmt.Fprintf(w, "request\t%s\n", e.RequestID)
	fmt.Fprintf(w, "explained by\t%s\n", e.Node)
	fmt.Fprintf(w, "target\t%s\n", e.Target)
	fmt.Fprintf(w, "rank\t%s\n", e.Rank)
	fmt.Fprintf(w, "outcome\t%s\n", orNone(e.Outcome))
	fmt.Fprintf(w, "code\t%s\n", orNone(e.Code))
	fmt.Fprintf(w, "reason\t%s\n", e.Reason)
	for _, s := range e.Steps {
		fmt.Fprintf(w, "%s\t%s\n", s.At.UTC().Format(time.RFC3339Nano), s.What)
	}
}
