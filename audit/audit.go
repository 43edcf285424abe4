// Package audit stores the audit trail in the platform's object API: who
// attempted which change and when, the values before and after, the resulting
// version and the outcome. Entries are stored in batches of bounded size, each
// with entries of one hour.
package audit

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/redwingnotch/redwingnotch/platform"
)

// Outcome is the result of an attempted change.
type Outcome string

// Outcomes of attempted changes.
const (
	OutcomeAccepted    Outcome = "accepted"
	OutcomeRefused     Outcome = "refused"      // rejected because of findings or a conflict; nothing changed
	OutcomeNotAccepted Outcome = "not accepted" // failed for another reason; nothing changed
	OutcomeUnknown     Outcome = "unknown"      // the change may have taken effect
)

// Change is the value of one field before and after a change. An empty value
// means that the field did not exist or was removed.
type Change struct {
	What   string `json:"what"` // the field, such as "model lathe slots"
	Before string `json:"before"`
	After  string `json:"after"`
}

// Entry records one attempted change.
type Entry struct {
	Time    time.Time `json:"time"`
	Who     string    `json:"who"`    // operator who attempted the change
	Action  string    `json:"action"` // attempted operation, such as "apply" or "withdraw"
	Title   string    `json:"title,omitempty"`
	Version uint64    `json:"version,omitempty"` // version of the resulting release, if accepted
	Outcome Outcome   `json:"outcome"`
	ID      string    `json:"id,omitempty"` // writer ID of the change, needed to resolve an unknown outcome
	Detail  string    `json:"detail,omitempty"`
	Changes []Change  `json:"changes,omitempty"`
	Omitted int       `json:"omitted,omitempty"` // number of changes dropped because of MaxChanges
}

// Limits of an entry and of a batch.
const (
	MaxChanges     = 200       // changes stored in an entry
	MaxDetailBytes = 2048      // length of an entry's Detail
	MaxBatchBytes  = 256 << 10 // size of a batch with more than one entry
)

// Parts of a batch's name: the prefix, the hour in UTC and a number.
const (
	batchPrefix = "batch-"
	hourLayout  = "2006-01-02T15"
	dayLayout   = "2006-01-02" // the start of hourLayout, common to all batches of a day
)

// maxBatchesPerHour is the maximum number of batches of one hour.
const maxBatchesPerHour = 1000

// maxWriteAttempts is the maximum number of attempts to write an entry while
// concurrent writes cause conflicts.
const maxWriteAttempts = 8

// ErrBusy means that no batch could be written because of concurrent writes.
var ErrBusy = errors.New("audit trail busy: entry not written because of concurrent writes")

// truncate cuts the entry to MaxChanges and MaxDetailBytes.
func (e Entry) truncate() Entry {
	if len(e.Changes) > MaxChanges {
		e.Omitted += len(e.Changes) - MaxChanges
		e.Changes = e.Changes[:MaxChanges]
	}
	if len(e.Detail) > MaxDetailBytes {
		e.Detail = e.Detail[:MaxDetailBytes]
	}
	return e
}

// Append adds an entry, cut to the limits, to the audit trail. If the outcome
// of a write is unknown, the entry may be stored twice, never more often. The
// error wraps ErrBusy if concurrent writes prevented the write.
func Append(ctx context.Context, store platform.Store, e Entry) error {
	e = e.truncate()
	for attempt, number := 0, 0; attempt < maxWriteAttempts && number < maxBatchesPerHour; {
		name := batchName(e.Time, number)
		entries, version, err := readBatch(ctx, store, name)
		if err != nil {
			return fmt.Errorf("append to audit trail: read batch: %w", err)
		}
		value, err := json.Marshal(append(entries, e))
		if err != nil {
			return fmt.Errorf("append to audit trail: encode batch: %w", err)
		}
		if len(value) > MaxBatchBytes && len(entries) > 0 {
			number++
			continue
		}
		_, err = platform.PutResolved(ctx, store, platform.KindAudit, name, value, version, uuid.NewString())
		if !errors.Is(err, platform.ErrConflict) {
			return err
		}
		attempt++
	}
	return ErrBusy
}

// batchName returns the name of a batch of the hour that includes t.
func batchName(t time.Time, number int) string {
	return fmt.Sprintf("%s%s-%03d", batchPrefix, t.UTC().Format(hourLayout), number)
}

// readBatch returns a batch's entries and its object version, which is zero if
// the batch does not exist.
func readBatch(ctx context.Context, store platform.Store, name string) ([]Entry, uint64, error) {
	obj, err := store.Get(ctx, platform.KindAudit, name)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	entries, err := decodeBatch(obj)
	return entries, obj.Version, err
}

func decodeBatch(obj platform.Object) ([]Entry, error) {
	var entries []Entry
	if err := json.Unmarshal(obj.Value, &entries); err != nil {
		return nil, fmt.Errorf("decode audit batch %s: %w", obj.Name, err)
	}
	return entries, nil
}

// Read returns the entries with a time in [from, until], oldest first. It lists
// the batches of every day in that range.
func Read(ctx context.Context, store platform.Store, from, until time.Time) ([]Entry, error) {
	var result []Entry
	day := from.UTC().Truncate(24 * time.Hour)
	for ; !day.After(until); day = day.Add(24 * time.Hour) {
		objects, _, err := store.List(ctx, platform.KindAudit, batchPrefix+day.Format(dayLayout))
		if err != nil {
			return nil, fmt.Errorf("read audit trail: list batches: %w", err)
		}
		for _, obj := range objects {
			entries, err := decodeBatch(obj)
			if err != nil {
				return nil, fmt.Errorf("read audit trail: %w", err)
			}
			result = append(result, entries...)
		}
	}
	result = slices.DeleteFunc(result, func(e Entry) bool { return e.Time.Before(from) || e.Time.After(until) })
	slices.SortStableFunc(result, func(a, b Entry) int { return a.Time.Compare(b.Time) })
	return result, nil
}
