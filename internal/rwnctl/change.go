package rwnctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/redwingnotch/redwingnotch/audit"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/release"
)

// standardInput is the file name that selects standard input.
const standardInput = "-"

// auditTimeout is the time limit for writing the audit entry after a change.
const auditTimeout = 10 * time.Second

// readNote reads and parses a release note.
func (r *run) readNote(name string) (*release.Note, error) {
	data, err := r.readFile(name)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	note, findings := release.ParseNote(data)
	if findings != nil {
		return nil, findings
	}
	return note, nil
}

// readFile reads a file or standard input, up to one byte more than a release note
// may have, so that a larger note is found to be too large.
func (r *run) readFile(name string) ([]byte, error) {
	in := r.In
	if name != standardInput {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer file.Close()
		in = file
	}
	return io.ReadAll(io.LimitReader(in, release.MaxNoteBytes+1))
}

// checkResult is the output of check if there are no findings.
type checkResult struct {
	File    string `json:"file"`
	Against uint64 `json:"against_version"` // version of the release in force that the note was checked against; zero if it was not read
}

// check reports the findings of a release note. If --platform-url is set, it also
// checks the note against the release in force.
func (r *run) check(ctx context.Context, name string) error {
	note, err := r.readNote(name)
	if err != nil {
		return err
	}
	if r.args.PlatformURL == "" {
		return r.writeResult(checkResult{File: name}, func(w io.Writer) {
			fmt.Fprintf(w, "%s: no findings; not checked against the release in force, as --platform-url is not set\n", name)
		})
	}
	_, state, err := release.ReadState(ctx, r.store())
	if err != nil {
		return err
	}
	if findings := note.Check(state); findings != nil {
		return findings
	}
	return r.writeResult(checkResult{File: name, Against: state.Version}, func(w io.Writer) {
		fmt.Fprintf(w, "%s: no findings against version %d in force\n", name, state.Version)
	})
}

// store returns the object API of the platform.
func (r *run) store() platform.Store { return r.OpenStore(r.args.PlatformURL) }

// apply publishes a release note.
func (r *run) apply(ctx context.Context, name string) error {
	note, err := r.readNote(name)
	if err != nil {
		return err
	}
	return r.publish(ctx, "apply", note)
}

// withdraw publishes a release note that withdraws one model or adapter.
func (r *run) withdraw(ctx context.Context, name string) error {
	target, err := fleet.ParseTarget(name)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	return r.publish(ctx, "withdraw", release.WithdrawNote(target))
}

// publishResult is the output of apply, withdraw and settle.
type publishResult struct {
	Version    uint64         `json:"version"`
	ID         string         `json:"id,omitempty"` // writer ID of the note, argument of settle
	AcceptedAt time.Time      `json:"accepted_at"`
	Changed    bool           `json:"changed"` // false if all that the note states was in force already
	Changes    []audit.Change `json:"changes,omitempty"`
}

// publish publishes a release note and appends the attempt to the audit trail. A
// note that changes nothing is not recorded.
func (r *run) publish(ctx context.Context, action string, note *release.Note) error {
	store := r.store()
	publisher := &release.Publisher{Store: store, Operator: r.args.Operator, Now: r.Now}
	accepted, err := publisher.Publish(ctx, note)
	if errors.Is(err, release.ErrNoChange) {
		return r.writeResult(publishResult{}, func(w io.Writer) { fmt.Fprintln(w, "nothing to change: all of it is in force already") })
	}
	auditEntry := r.auditEntry(action, note, accepted, err)
	r.appendAudit(ctx, store, auditEntry)
	if err != nil {
		return err
	}
	result := publishResult{
		Version: accepted.Version, ID: accepted.ID, AcceptedAt: accepted.AcceptedAt, Changed: true, Changes: auditEntry.Changes,
	}
	return r.writeResult(result, func(w io.Writer) {
		fmt.Fprintf(w, "accepted as version %d\tid %s\n", result.Version, result.ID)
		for _, c := range result.Changes {
			fmt.Fprintf(w, "  %s\t%s -> %s\n", c.What, orNone(c.Before), orNone(c.After))
		}
	})
}

// orNone returns s, or "none" if it is empty.
func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

// auditEntry returns the audit entry for an attempt to publish a note, of which err
// is the error.
func (r *run) auditEntry(action string, note *release.Note, a release.AcceptedNote, err error) audit.Entry {
	e := audit.Entry{Time: r.Now(), Who: r.args.Operator, Action: action, Title: note.Title, Outcome: audit.OutcomeAccepted}
	if err == nil {
		e.Version = a.Version
		e.ID = a.ID
		for _, c := range a.Difference.Describe(a.Before) {
			e.Changes = append(e.Changes, audit.Change{What: strings.TrimSpace(c.Subject + " " + c.Field), Before: c.Before, After: c.After})
		}
		return e
	}
	e.Detail = err.Error()
	var unknown *release.UnknownError
	var findings release.Findings
	var conflict *release.ConflictError
	switch {
	case errors.As(err, &unknown):
		e.Outcome = audit.OutcomeUnknown
		e.ID = unknown.ID
	case errors.As(err, &findings), errors.As(err, &conflict):
		e.Outcome = audit.OutcomeRefused
	default:
		e.Outcome = audit.OutcomeNotAccepted
	}
	return e
}

// appendAudit appends an entry to the audit trail, even if the run's time is over.
// A failure only prints a warning, as it doesn't change the outcome of the note. The
// release's head object records the operator too.
func (r *run) appendAudit(ctx context.Context, store platform.Store, e audit.Entry) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), auditTimeout)
	defer cancel()
	if err := audit.Append(ctx, store, e); err != nil {
		fmt.Fprintf(r.Err, "rwnctl: warning: could not record this attempt (%s) in the audit trail: %v\n", e.Outcome, err)
	}
}

// settle resolves the outcome of a note that an earlier run left unknown.
func (r *run) settle(ctx context.Context, id string) error {
	accepted, err := release.ResolveOutcome(ctx, r.store(), id)
	if err != nil {
		return err
	}
	result := publishResult{Version: accepted.Version, ID: id, AcceptedAt: accepted.AcceptedAt, Changed: true}
	return r.writeResult(result, func(w io.Writer) { fmt.Fprintf(w, "accepted as version %d\tid %s\n", result.Version, id) })
}
