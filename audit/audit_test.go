package audit_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/audit"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/standin/objectapi"
)

var base = time.Date(2026, 3, 1, 12, 30, 0, 0, time.UTC)

func TestReadReturnsEntriesInTimeOrder(t *testing.T) {
	ctx, store := context.Background(), objectapi.New()
	for i, when := range []time.Time{base, base.Add(-26 * time.Hour), base.Add(2 * time.Hour), base.Add(time.Minute)} {
		e := audit.Entry{Time: when, Who: "ana", Action: "apply", Version: uint64(i), Outcome: audit.OutcomeAccepted}
		assert.NilError(t, audit.Append(ctx, store, e))
	}
	all, err := audit.Read(ctx, store, base.Add(-48*time.Hour), base.Add(24*time.Hour))
	assert.NilError(t, err)
	var versions []uint64
	for _, e := range all {
		versions = append(versions, e.Version)
	}
	assert.DeepEqual(t, versions, []uint64{1, 0, 3, 2})
	recent, err := audit.Read(ctx, store, base.Add(time.Second), base.Add(time.Hour))
	assert.NilError(t, err)
	assert.Equal(t, len(recent), 1)
}

func TestAppendLimitsBatchAndEntrySize(t *testing.T) {
	ctx, store := context.Background(), objectapi.New()
	e := audit.Entry{Time: base, Who: "ana", Detail: strings.Repeat("d", 3*audit.MaxDetailBytes)}
	for range audit.MaxChanges + 50 {
		e.Changes = append(e.Changes, audit.Change{What: strings.Repeat("w", 200), Before: strings.Repeat("b", 100)})
	}
	for range 6 {
		assert.NilError(t, audit.Append(ctx, store, e))
	}
	objects, _, err := store.List(ctx, platform.KindAudit, "")
	assert.NilError(t, err)
	assert.Assert(t, len(objects) > 1)
	for _, obj := range objects {
		assert.Assert(t, len(obj.Value) <= audit.MaxBatchBytes)
	}
	all, err := audit.Read(ctx, store, base, base)
	assert.NilError(t, err)
	assert.Equal(t, len(all), 6)
	assert.Equal(t, all[0].Omitted, 50)
	assert.Equal(t, len(all[0].Detail), audit.MaxDetailBytes)
}

func TestAppendReturnsErrUnavailableDuringOutage(t *testing.T) {
	store := objectapi.New()
	store.Faults.SetOutage(true)
	err := audit.Append(context.Background(), store, audit.Entry{Time: base})
	assert.ErrorIs(t, err, platform.ErrUnavailable)
}
