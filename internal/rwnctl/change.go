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

// standardInput names standard input as a file.
const standardInput = "-"

// auditTimeout bounds the writing of the audit trail after a change.
const auditTimeout = 10 * time.Second

// readNote reads and parses a note.
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

// checked is the result of check.
type checked struct {
	File    string `json:"file"`
	Against uint64 `json:"against_version"` // zero if the state in force was not read
}

// check reports the findings of a note, also those against the state in force
// if the platform is named.
func (r *run) check(ctx context.Context, name string) error {
	note, err := r.readNote(name)
	if err != nil {
		return err
	}
	if r.args.PlatformURL == "" {
		return r.write(checked{File: name}, func(w io.Writer) {
			fmt.Fprintf(w, "%s: no findings; not checked against what is in force, as no --platform-url is given\n", name)
		})
	}
	_, state, err := release.ReadState(ctx, r.store())
	if err != nil {
		return err
	}
	if findings := note.Check(state); findings != nil {
		return findings
	}
	return r.write(checked{File: name, Against: state.Version}, func(w io.Writer) {
		fmt.Fprintf(w, "%s: no findings against version %d in force\n", name, state.Version)
	})
}

func (r *run) store() platform.Store { return r.OpenStore(r.args.PlatformURL) }

// apply puts a note in force.
func (r *run) apply(ctx context.Context, name string) error {
	note, err := r.readNote(name)
	if err != nil {
		return err
	}
	return r.publish(ctx, "apply", note)
}

// withdraw withdraws one target.
func (r *run) withdraw(ctx context.Context, name string) error {
	target, err := fleet.ParseTarget(name)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	return r.publish(ctx, "withdraw", release.WithdrawNote(target))
}

// published is the result of a change.
type published struct {
	Version    uint64         `json:"version"`
	ID         string         `json:"id,omitempty"`
	AcceptedAt time.Time      `json:"accepted_at"`
	Changed    bool           `json:"changed"`
	Changes    []audit.Change `json:"changes,omitempty"`
}

// publish puts a note in force and records the attempt.
func (r *run) publish(ctx context.Context, action string, note *release.Note) error {
	store := r.store()
	publisher := &release.Publisher{Store: store, Operator: r.args.Operator, Now: r.Now}
	accepted, err := publisher.Publish(ctx, note)
	if errors.Is(err, release.ErrNoChange) {
		return r.write(published{}, func(w io.Writer) { fmt.Fprintln(w, "nothing to change: all of it is in force already") })
	}
	entry := r.entry(action, note, accepted, err)
	r.record(ctx, store, entry)
	if err != nil {
		return err
	}
	result := published{
		Version: accepted.Version, ID: accepted.ID, AcceptedAt: accepted.AcceptedAt, Changed: true, Changes: entry.Changes,
	}
	return r.write(result, func(w io.Writer) {
		fmt.Fprintf(w, "accepted as version %d\tid %s\n", result.Version, result.ID)
		for _, c := range result.Changes {
			fmt.Fprintf(w, "  %s\t%s -> %s\n", c.What, orNone(c.Before), orNone(c.After))
		}
	})
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

// entry returns the audit entry of an attempt.
func (r *run) entry(action string, note *release.Note, a release.Accepted, err error) audit.Entry {
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

// record writes the entry to the audit trail. Its failure does not change the
// outcome of the note, whose head object names the operator too.
func (r *run) record(ctx context.Context, store platform.Store, e audit.Entry) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), auditTimeout)
	defer cancel()
	if err := audit.Append(ctx, store, e); err != nil {
		fmt.Fprintf(r.Err, "rwnctl: warning: the audit trail does not have this attempt (%s): %v\n", e.Outcome, err)
	}
}

// settle tells whether a note of unknown outcome was accepted.
func (r *run) settle(ctx context.Context, id string) error {
	accepted, err := release.Settle(ctx, r.store(), id)
	if err != nil {
		return err
	}
	result := published{Version: accepted.Version, ID: id, AcceptedAt: accepted.AcceptedAt, Changed: true}
	return r.write(result, func(w io.Writer) { fmt.Fprintf(w, "accepted as version %d\tid %s\n", result.Version, id) })
}
