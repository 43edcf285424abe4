// Package audit keeps the trail of changes in the platform's object API: who
// changed what, from what to what, at which version, with which outcome, and
// when. Entries are kept in batches of bounded size, one or more an hour.
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

// Outcome says how an attempt at a change ended.
type Outcome string

// The outcomes.
const (
	OutcomeAccepted    Outcome = "accepted"
	OutcomeRefused     Outcome = "refused"      // by findings or a conflict; nothing changed
	OutcomeNotAccepted Outcome = "not accepted" // for other reasons; nothing changed
	OutcomeUnknown     Outcome = "unknown"      // may have taken effect
)

// Change is one field before and after. An empty text means that there was or
// is none.
type Change struct {
	What   string `json:"what"` // such as "model lathe slots"
	Before string `json:"before"`
	After  string `json:"after"`
}

// Entry is one attempt at a change.
type Entry struct {
	Time    time.Time `json:"time"`
	Who     string    `json:"who"`
	Action  string    `json:"action"` // such as "apply" or "withdraw"
	Title   string    `json:"title,omitempty"`
	Version uint64    `json:"version,omitempty"` // that it became, if accepted
	Outcome Outcome   `json:"outcome"`
	ID      string    `json:"id,omitempty"` // writer id, to settle an unknown outcome
	Detail  string    `json:"detail,omitempty"`
	Changes []Change  `json:"changes,omitempty"`
	Omitted int       `json:"omitted,omitempty"` // changes beyond MaxChanges
}

// Limits of an entry and of a batch.
const (
	MaxChanges     = 200
	MaxDetailBytes = 2048
	MaxBatchBytes  = 256 << 10
)

// batchPrefix starts the names of batches; the hour and a number follow.
const (
	batchPrefix = "batch-"
	hourLayout  = "2006-01-02T15"
	dayLayout   = "2006-01-02"
)

// maxBatches bounds the batches of one hour.
const maxBatches = 1000

// appendAttempts bounds how often a batch that others write to is tried.
const appendAttempts = 8

// ErrBusy says that others wrote to the trail at each attempt.
var ErrBusy = errors.New("the audit trail is busy")

// bound cuts the entry to the limits.
func (e Entry) bound() Entry {
	if len(e.Changes) > MaxChanges {
		e.Omitted += len(e.Changes) - MaxChanges
		e.Changes = e.Changes[:MaxChanges]
	}
	if len(e.Detail) > MaxDetailBytes {
		e.Detail = e.Detail[:MaxDetailBytes]
	}
	return e
}

// Append adds an entry to the trail. An entry whose write has an unknown
// outcome may be in it twice, never more.
func Append(ctx context.Context, store platform.Store, e Entry) error {
	e = e.bound()
	for attempt, number := 0, 0; attempt < appendAttempts && number < maxBatches; {
		name := batchName(e.Time, number)
		entries, version, err := readBatch(ctx, store, name)
		if err != nil {
			return fmt.Errorf("audit trail: %w", err)
		}
		value, err := json.Marshal(append(entries, e))
		if err != nil {
			return fmt.Errorf("audit trail: %w", err)
		}
		if len(value) > MaxBatchBytes && len(entries) > 0 {
			number++
			continue
		}
		_, err = platform.PutSettled(ctx, store, platform.KindAudit, name, value, version, uuid.NewString())
		if !errors.Is(err, platform.ErrConflict) {
			return err
		}
		attempt++
	}
	return ErrBusy
}

func batchName(at time.Time, number int) string {
	return fmt.Sprintf("%s%s-%03d", batchPrefix, at.UTC().Format(hourLayout), number)
}

// readBatch returns a batch's entries and its object version, zero if absent.
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
		return nil, fmt.Errorf("batch %s: %w", obj.Name, err)
	}
	return entries, nil
}

// Read returns the entries from a time on, oldest first. It reads whole days.
func Read(ctx context.Context, store platform.Store, from, until time.Time) ([]Entry, error) {
	var found []Entry
	day := from.UTC().Truncate(24 * time.Hour)
	for ; !day.After(until); day = day.Add(24 * time.Hour) {
		objects, _, err := store.List(ctx, platform.KindAudit, batchPrefix+day.Format(dayLayout))
		if err != nil {
			return nil, fmt.Errorf("audit trail: %w", err)
		}
		for _, obj := range objects {
			entries, err := decodeBatch(obj)
			if err != nil {
				return nil, fmt.Errorf("audit trail: %w", err)
			}
			found = append(found, entries...)
		}
	}
	found = slices.DeleteFunc(found, func(e Entry) bool { return e.Time.Before(from) || e.Time.After(until) })
	slices.SortStableFunc(found, func(a, b Entry) int { return a.Time.Compare(b.Time) })
	return found, nil
}
