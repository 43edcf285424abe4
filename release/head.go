package release

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/redwingnotch/redwingnotch/platform"
)

// HeadName is the name of the head object, which has the kind
// platform.KindRelease. The head object holds the version in force, the newest
// differences, and the names of the objects that hold the newest snapshot.
const HeadName = "head"

// snapshotPrefix is the prefix of the names of snapshot objects.
const snapshotPrefix = "snapshot-"

// Limits of the head object and the snapshot objects. The head object is kept
// small because every relay receives all of it on each change.
const (
	maxLogEntries          = 64        // log entries in the head object
	maxLogDifferences      = 48        // log entries with a difference; more trigger a snapshot
	maxLogBytes            = 64 << 10  // total size of the differences; more triggers a snapshot
	retainedDifferences    = 16        // differences that stay in the log after a snapshot
	retainedBytes          = 16 << 10  // total size of the differences that stay after a snapshot
	maxSnapshotObjectBytes = 900 << 10 // size of one snapshot object
	snapshotReadAttempts   = 3         // attempts to read the head and its snapshot, which may be replaced meanwhile
)

// LogEntry is the log entry of one accepted note.
type LogEntry struct {
	Version    uint64
	Operator   string
	Writer     string
	AcceptedAt time.Time
	Difference []byte // encoded difference; empty once it was dropped
}

// Head is the decoded head object.
type Head struct {
	Version         uint64     // version in force; zero if no note was accepted
	ObjectVersion   uint64     // version of the object, for the conditional write; zero if it does not exist
	SnapshotVersion uint64     // version of the state in the snapshot; zero if there is none
	SnapshotObjects []string   // names of the objects that hold the snapshot, in the order of their content
	Log             []LogEntry // oldest first
}

// Update brings a node to Version. The node takes State first, if it is set, and
// then applies Differences; it skips those that it already has.
type Update struct {
	Version     uint64
	State       *State
	Differences []*Difference
}

// DecodeHead decodes the head object. It fails with ErrEncoding.
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

// encode returns the encoded value of the head object.
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

// ReadHead reads the head object from the store. Without a head object the
// version is zero.
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

// LoadUpdate reads from the store the update for a node at the version after.
func LoadUpdate(ctx context.Context, store platform.Store, after uint64) (Update, error) {
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

// Update returns the update from the version after to the head's version. It reads
// the snapshot from the store if the head no longer holds all differences after
// that version. The error wraps platform.ErrNotFound if the snapshot was replaced
// meanwhile.
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

// differencesAfter returns the differences after a version. It returns false if
// the head no longer holds all of them.
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

// readSnapshot reads and decodes the snapshot objects.
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

// findWriter returns the log entry with the writer ID.
func (h Head) findWriter(writer string) (LogEntry, bool) {
	for _, e := range h.Log {
		if e.Writer == writer {
			return e, true
		}
	}
	return LogEntry{}, false
}

// append returns a copy of the head with the log entry of one more accepted
// note. It reports whether a new snapshot is needed because the differences exceed
// their limits.
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

// withSnapshot returns the head with a new snapshot. It drops all but the newest
// differences from the log.
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
