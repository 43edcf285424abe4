package release

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/redwingnotch/redwingnotch/platform"
)

// HeadName is the name of the head object, of kind platform.KindRelease. It
// holds the version in force, the newest differences, and the names of the
// objects that hold the newest snapshot.
const HeadName = "head"

// snapshotPrefix starts the names of snapshot objects.
const snapshotPrefix = "snapshot-"

// Limits of the head object and the snapshot objects. The head is small, as
// each relay receives it with each change.
const (
	maxLogEntries          = 64        // accepted notes that are remembered
	maxLogDifferences      = 48        // of them, with their difference
	maxLogBytes            = 64 << 10  // of all differences together
	retainedDifferences    = 16        // after a snapshot
	retainedBytes          = 16 << 10  // of them, after a snapshot
	maxSnapshotObjectBytes = 900 << 10 // of one snapshot object
	snapshotReadAttempts   = 3         // as a snapshot may be replaced while it is read
)

// LogEntry is one accepted note.
type LogEntry struct {
	Version    uint64
	Operator   string
	Writer     string
	AcceptedAt time.Time
	Difference []byte // encoded; empty if no longer kept
}

// Head is the decoded head object.
type Head struct {
	Version         uint64
	ObjectVersion   uint64 // of the object, for the conditional write; zero if absent
	SnapshotVersion uint64
	SnapshotObjects []string
	Log             []LogEntry // oldest first
}

// Update brings a node to a version: by differences, or by a whole state if it
// is set. Differences may overlap with what the node has.
type Update struct {
	Version     uint64
	State       *State
	Differences []*Difference
}

// DecodeHead reads the head object.
func DecodeHead(obj platform.Object) (Head, error) {
	r := &HeadRecord{}
	if err := proto.Unmarshal(obj.Value, r); err != nil {
		return Head{}, fmt.Errorf("release head: %w: %v", ErrEncoding, err)
	}
	h := Head{
		Version: r.Version, ObjectVersion: obj.Version,
		SnapshotVersion: r.SnapshotVersion, SnapshotObjects: r.SnapshotObjects,
	}
	for _, e := range r.Log {
		h.Log = append(h.Log, LogEntry{
			Version: e.Version, Operator: e.Operator, Writer: e.Writer,
			AcceptedAt: time.UnixMilli(e.AcceptedMs), Difference: e.Difference,
		})
	}
	return h, nil
}

// encode returns the value of the head object.
func (h Head) encode() ([]byte, error) {
	r := &HeadRecord{Version: h.Version, SnapshotVersion: h.SnapshotVersion, SnapshotObjects: h.SnapshotObjects}
	for _, e := range h.Log {
		r.Log = append(r.Log, &LogRecord{
			Version: e.Version, Operator: e.Operator, Writer: e.Writer,
			AcceptedMs: e.AcceptedAt.UnixMilli(), Difference: e.Difference,
		})
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(r)
}

// ReadHead reads the head object. A store without one is at version zero.
func ReadHead(ctx context.Context, store platform.Store) (Head, error) {
	obj, err := store.Get(ctx, platform.KindRelease, HeadName)
	if errors.Is(err, platform.ErrNotFound) {
		return Head{}, nil
	}
	if err != nil {
		return Head{}, fmt.Errorf("read release head: %w", err)
	}
	return DecodeHead(obj)
}

// Load reads from the store what brings a node on from the version after.
func Load(ctx context.Context, store platform.Store, after uint64) (Update, error) {
	var err error
	for range snapshotReadAttempts {
		var h Head
		if h, err = ReadHead(ctx, store); err != nil {
			return Update{}, err
		}
		var u Update
		if u, err = h.Update(ctx, store, after); !errors.Is(err, platform.ErrNotFound) {
			return u, err
		}
	}
	return Update{}, err
}

// Update returns what brings a node on from the version after to the head's,
// reading the snapshot if the head's differences do not reach back that far.
func (h Head) Update(ctx context.Context, store platform.Store, after uint64) (Update, error) {
	u := Update{Version: h.Version}
	if h.Version <= after {
		return u, nil
	}
	if ds, ok, err := h.differencesAfter(after); ok || err != nil {
		u.Differences = ds
		return u, err
	}
	if h.SnapshotVersion == 0 {
		return u, fmt.Errorf("%w: the head has neither differences nor a snapshot after version %d", ErrEncoding, after)
	}
	state, err := h.readSnapshot(ctx, store)
	if err != nil {
		return u, err
	}
	rest, ok, err := h.differencesAfter(state.Version)
	if err == nil && !ok {
		err = fmt.Errorf("%w: no differences after snapshot %d", ErrEncoding, state.Version)
	}
	u.State = state
	u.Differences = rest
	return u, err
}

// differencesAfter returns the differencesAfter after a version. It is not ok if the head
// no longer holds all of them.
func (h Head) differencesAfter(after uint64) ([]*Difference, bool, error) {
	if after >= h.Version {
		return nil, true, nil
	}
	missing := h.Version - after
	if missing > uint64(len(h.Log)) {
		return nil, false, nil
	}
	var ds []*Difference
	for _, e := range h.Log[uint64(len(h.Log))-missing:] {
		if len(e.Difference) == 0 {
			return nil, false, nil
		}
		d, err := DecodeDifference(e.Difference)
		if err != nil {
			return nil, false, err
		}
		ds = append(ds, d)
	}
	return ds, true, nil
}

// readSnapshot reads the objects of the snapshot.
func (h Head) readSnapshot(ctx context.Context, store platform.Store) (*State, error) {
	var data []byte
	for _, name := range h.SnapshotObjects {
		obj, err := store.Get(ctx, platform.KindRelease, name)
		if err != nil {
			return nil, fmt.Errorf("read release snapshot %s: %w", name, err)
		}
		data = append(data, obj.Value...)
	}
	return DecodeState(data)
}

// findWriter returns the log entry of a writer id.
func (h Head) findWriter(writer string) (LogEntry, bool) {
	for _, e := range h.Log {
		if e.Writer == writer {
			return e, true
		}
	}
	return LogEntry{}, false
}

// append returns the head with one more accepted note, and whether it needs a
// new snapshot, as its differences have become too many or too large.
func (h Head) append(d *Difference) (Head, bool) {
	next := h
	next.Version = d.Version
	next.Log = append([]LogEntry{}, h.Log...)
	next.Log = append(next.Log, LogEntry{
		Version: d.Version, Operator: d.Operator, Writer: d.Writer, AcceptedAt: d.AcceptedAt, Difference: EncodeDifference(d),
	})
	next.Log = next.Log[max(0, len(next.Log)-maxLogEntries):]
	count, bytes := 0, 0
	for _, e := range next.Log {
		if len(e.Difference) > 0 {
			count++
			bytes += len(e.Difference)
		}
	}
	return next, count > maxLogDifferences || bytes > maxLogBytes
}

// withSnapshot returns the head with the differences that are kept after a snapshot.
func (h Head) withSnapshot(snapshotVersion uint64, objects []string) Head {
	h.SnapshotVersion = snapshotVersion
	h.SnapshotObjects = objects
	count, bytes := 0, 0
	for i := len(h.Log) - 1; i >= 0; i-- {
		count++
		bytes += len(h.Log[i].Difference)
		if count > retainedDifferences || bytes > retainedBytes {
			h.Log[i].Difference = nil
		}
	}
	return h
}
