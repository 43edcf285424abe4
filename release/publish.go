package release

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/google/uuid"

	"github.com/redwingnotch/redwingnotch/platform"
)

// Errors of Publish and ResolveOutcome.
var (
	ErrNotAccepted = errors.New("the note was not accepted")
	ErrUnknown     = errors.New("unknown whether the note was accepted")
	ErrBadID       = errors.New("malformed writer id")
)

// UnknownError reports that a note may have been accepted, or may still be.
// ResolveOutcome with the ID resolves the outcome later.
type UnknownError struct {
	ID  string
	Err error
}

// Error implements error. It includes the ID for ResolveOutcome.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("%v; check later with id %s: %v", ErrUnknown, e.ID, e.Err)
}

// Unwrap returns ErrUnknown and the cause.
func (e *UnknownError) Unwrap() []error { return []error{ErrUnknown, e.Err} }

// Publisher publishes notes by conditional writes of the head object.
type Publisher struct {
	Store    platform.Store
	Operator string           // recorded with each note; must not be empty
	Now      func() time.Time // nil selects time.Now
	Attempts int              // attempts to write a note if other writes come first; zero selects defaultAttempts
}

// defaultAttempts is the default of Publisher.Attempts.
const defaultAttempts = 8

// AcceptedNote describes an accepted note.
type AcceptedNote struct {
	Version    uint64
	ID         string // writer ID, with which ResolveOutcome finds the note
	AcceptedAt time.Time
	Difference *Difference // nil if ResolveOutcome no longer finds it in the log
	Before     *State      // state that the note was merged into; nil if returned by ResolveOutcome
}

// Publish merges the note into the state in force and writes the result. It
// returns no error only if the write is confirmed. Otherwise the error is
// Findings, ErrNoChange, a *ConflictError, an error that wraps ErrNotAccepted, or
// an *UnknownError.
func (p *Publisher) Publish(ctx context.Context, note *Note) (AcceptedNote, error) {
	if p.Operator == "" || !utf8.ValidString(p.Operator) {
		return AcceptedNote{}, fmt.Errorf("%w: the operator name is empty or not valid UTF-8", ErrNotAccepted)
	}
	base := note.BasedOn
	for range cmp.Or(p.Attempts, defaultAttempts) {
		head, state, err := loadState(ctx, p.Store)
		if err != nil {
			return AcceptedNote{}, fmt.Errorf("%w: %w", ErrNotAccepted, err)
		}
		if base == 0 {
			base = head.Version
		}
		if err := note.checkConflicts(head, base); err != nil {
			return AcceptedNote{}, err
		}
		done, err := p.tryPublish(ctx, note, head, state)
		if !errors.Is(err, platform.ErrConflict) {
			return done, err
		}
	}
	return AcceptedNote{}, fmt.Errorf("%w: another write changed the release during each attempt", ErrNotAccepted)
}

// loadState reads the head and the state at its version.
func loadState(ctx context.Context, store platform.Store) (Head, *State, error) {
	var err error
	for range snapshotReadAttempts {
		var head Head
		if head, err = ReadHead(ctx, store); err != nil {
			return Head{}, nil, err
		}
		var u Update
		u, err = head.Update(ctx, store, 0)
		if errors.Is(err, platform.ErrNotFound) {
			continue
		}
		if err != nil {
			return Head{}, nil, err
		}
		state := NewState()
		if _, err = u.applyTo(&state); err != nil {
			return Head{}, nil, err
		}
		return head, state, nil
	}
	return Head{}, nil, err
}

// ReadState reads the head and the state in force from the store.
func ReadState(ctx context.Context, store platform.Store) (Head, *State, error) {
	return loadState(ctx, store)
}

// checkConflicts returns a *ConflictError if a version after base assigns a field
// of the note another value, Findings if base is not in force yet, and an error
// that wraps ErrNotAccepted if the log does not reach back to base.
func (n *Note) checkConflicts(head Head, base uint64) error {
	if base > head.Version {
		return Findings{{NotePosition: n.positions[fieldKey{name: fieldBasedOn}], Field: "based_on", Problem: fmt.Sprintf("version %d is newer than the version in force, %d", base, head.Version)}}
	}
	ds, ok, err := head.differencesAfter(base)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotAccepted, err)
	}
	conflict := &ConflictError{BasedOn: base, Current: head.Version}
	if !ok {
		return fmt.Errorf("%w: the changes since version %d are no longer in the log of the release, base the note on version %d", ErrNotAccepted, base, head.Version)
	}
	for _, d := range ds {
		conflict.Collisions = append(conflict.Collisions, n.collisions(d)...)
	}
	if len(conflict.Collisions) > 0 {
		return conflict
	}
	return nil
}

// tryPublish merges the note into the state and writes the next head. It returns an
// error that wraps platform.ErrConflict if another note was published first.
func (p *Publisher) tryPublish(ctx context.Context, note *Note, head Head, state *State) (AcceptedNote, error) {
	d, err := note.Merge(state, p.Operator, p.now())
	if err != nil {
		return AcceptedNote{}, err
	}
	d.Writer = newWriterID(head.ObjectVersion)
	next, err := p.nextHead(ctx, head, state, d)
	if err != nil {
		return AcceptedNote{}, fmt.Errorf("%w: %w", ErrNotAccepted, err)
	}
	value, err := next.encode()
	if err != nil {
		return AcceptedNote{}, fmt.Errorf("%w: %w", ErrNotAccepted, err)
	}
	_, err = platform.PutResolved(ctx, p.Store, platform.KindRelease, HeadName, value, head.ObjectVersion, d.Writer)
	accepted := AcceptedNote{Version: d.Version, ID: d.Writer, AcceptedAt: d.AcceptedAt, Difference: d, Before: state}
	switch {
	case err == nil:
		p.deleteSnapshot(ctx, head, next)
		return accepted, nil
	case errors.Is(err, platform.ErrUnknown):
		return p.resolve(ctx, accepted, err)
	case errors.Is(err, platform.ErrConflict):
		p.deleteSnapshot(ctx, next, head)
		return AcceptedNote{}, err
	}
	p.deleteSnapshot(ctx, next, head)
	return AcceptedNote{}, fmt.Errorf("%w: %w", ErrNotAccepted, err)
}

// resolve checks whether a write of unknown outcome took effect.
func (p *Publisher) resolve(ctx context.Context, a AcceptedNote, cause error) (AcceptedNote, error) {
	_, err := ResolveOutcome(ctx, p.Store, a.ID)
	switch {
	case err == nil:
		return a, nil
	case errors.Is(err, ErrNotAccepted):
		return AcceptedNote{}, fmt.Errorf("%w: %w", platform.ErrConflict, err)
	}
	return AcceptedNote{}, &UnknownError{ID: a.ID, Err: cause}
}

// ResolveOutcome finds out whether the note with the writer ID was accepted. The error
// wraps ErrNotAccepted if the note was not and can't be accepted any more, and is
// an *UnknownError if the outcome is still unknown. A malformed ID gives ErrBadID.
func ResolveOutcome(ctx context.Context, store platform.Store, id string) (AcceptedNote, error) {
	expected, err := expectedVersion(id)
	if err != nil {
		return AcceptedNote{}, err
	}
	head, err := ReadHead(ctx, store)
	if err != nil {
		return AcceptedNote{}, &UnknownError{ID: id, Err: err}
	}
	if e, ok := head.findWriter(id); ok {
		a := AcceptedNote{Version: e.Version, ID: id, AcceptedAt: e.AcceptedAt}
		if len(e.Difference) > 0 {
			a.Difference, err = DecodeDifference(e.Difference)
		}
		return a, err
	}
	if head.ObjectVersion <= expected {
		return AcceptedNote{}, &UnknownError{ID: id, Err: errors.New("the write may still take effect")}
	}
	if len(head.Log) >= maxLogEntries {
		return AcceptedNote{}, &UnknownError{ID: id, Err: errors.New("the log of accepted notes no longer reaches back that far; see the audit trail")}
	}
	return AcceptedNote{}, fmt.Errorf("%w: another write replaced the head object first", ErrNotAccepted)
}

// idSeparator separates the unique part of a writer ID from the version of the
// head object that the write expects.
const idSeparator = "@"

// newWriterID returns a unique writer ID for a write that expects the version of
// the head object.
func newWriterID(expected uint64) string {
	return uuid.NewString() + idSeparator + strconv.FormatUint(expected, 10)
}

// expectedVersion returns the version of the head object in a writer ID.
func expectedVersion(id string) (uint64, error) {
	_, version, found := strings.Cut(id, idSeparator)
	expected, err := strconv.ParseUint(version, 10, 64)
	if !found || err != nil {
		return 0, fmt.Errorf("%w: %q", ErrBadID, id)
	}
	return expected, nil
}

// nextHead returns the head with the difference appended. If a snapshot is due, it
// writes the snapshot objects first.
func (p *Publisher) nextHead(ctx context.Context, head Head, before *State, d *Difference) (Head, error) {
	next, snapshot := head.append(d)
	if !snapshot {
		return next, nil
	}
	after := before.Clone()
	if err := after.Apply(d); err != nil {
		return Head{}, err
	}
	objects, err := p.writeSnapshot(ctx, after)
	if err != nil {
		return Head{}, err
	}
	return next.withSnapshot(after.Version, objects), nil
}

// writeSnapshot writes the state to new snapshot objects and returns their names.
func (p *Publisher) writeSnapshot(ctx context.Context, s *State) ([]string, error) {
	data := EncodeState(s)
	snapshotID := uuid.NewString()
	var names []string
	for start := 0; start < len(data); start += maxSnapshotObjectBytes {
		chunk := data[start:min(start+maxSnapshotObjectBytes, len(data))]
		name := fmt.Sprintf("%s%d-%s-%d", snapshotPrefix, s.Version, snapshotID, len(names))
		if _, err := platform.PutResolved(ctx, p.Store, platform.KindRelease, name, chunk, 0, uuid.NewString()); err != nil {
			return nil, fmt.Errorf("write release snapshot: %w", err)
		}
		names = append(names, name)
	}
	return names, nil
}

// deleteSnapshot deletes the snapshot objects of the unused head unless the used
// head has the same snapshot. Errors are ignored: a remaining object is unused.
func (p *Publisher) deleteSnapshot(ctx context.Context, unused, used Head) {
	if unused.SnapshotVersion == used.SnapshotVersion {
		return
	}
	for _, name := range unused.SnapshotObjects {
		if obj, err := p.Store.Get(ctx, platform.KindRelease, name); err == nil {
			_ = p.Store.Delete(ctx, platform.KindRelease, name, obj.Version)
		}
	}
}

func (p *Publisher) now() time.Time {
	if p.Now != nil {
		return p.Now()
	}
	return time.Now()
}

// applyTo applies the update to *s, and may replace *s by the update's state. It
// reports whether the version increased.
func (u Update) applyTo(s **State) (bool, error) {
	before := (*s).Version
	if u.State != nil && u.State.Version > before {
		*s = u.State
	}
	for _, d := range u.Differences {
		if err := (*s).Apply(d); err != nil && !errors.Is(err, ErrStale) {
			return (*s).Version > before, err
		}
	}
	return (*s).Version > before, nil
}
