package release

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/standin/objectapi"
)

// modelNote returns a note that defines one model in the cell c.
func modelNote(id string, slots int) string {
	return fmt.Sprintf("models:\n  - id: %s\n    version: v1\n    replicas: {c: 1}\n    memory: 1GiB\n    load_time: 1s\n    slots: %d\n", id, slots)
}

// publish publishes the note as the operator.
func publish(t testing.TB, store platform.Store, operator, text string) (AcceptedNote, error) {
	p := &Publisher{Store: store, Operator: operator}
	return p.Publish(context.Background(), mustParse(t, text))
}

func TestPublishIncrementsVersion(t *testing.T) {
	store := objectapi.New()
	for i := range uint64(3) {
		a, err := publish(t, store, "ana", modelNote("m", int(i)+1))
		assert.NilError(t, err)
		assert.Equal(t, a.Version, i+1)
	}
	u, err := LoadUpdate(context.Background(), store, 1)
	assert.NilError(t, err)
	assert.Equal(t, len(u.Differences), 2)
	_, err = publish(t, store, "ana", modelNote("m", 3))
	assert.ErrorIs(t, err, ErrNoChange)
	_, err = publish(t, store, "", modelNote("m", 4))
	assert.ErrorIs(t, err, ErrNotAccepted)
}

// raceStore calls before ahead of its first write, so that another operator can
// publish first.
type raceStore struct {
	platform.Store
	before func()
}

func (s *raceStore) Put(ctx context.Context, kind platform.Kind, name string, value []byte, expect uint64, writer string) (uint64, error) {
	if f := s.before; f != nil {
		s.before = nil
		f()
	}
	return s.Store.Put(ctx, kind, name, value, expect, writer)
}

func TestPublishRejectsConflictingNote(t *testing.T) {
	store := objectapi.New()
	_, err := publish(t, store, "ana", modelNote("m", 1))
	assert.NilError(t, err)
	race := &raceStore{Store: store, before: func() {
		_, err := publish(t, store, "bo", modelNote("m", 16))
		assert.NilError(t, err)
	}}
	_, err = publish(t, race, "ana", modelNote("m", 8))
	var conflict *ConflictError
	assert.Assert(t, errors.As(err, &conflict), "%v", err)
	assert.DeepEqual(t, conflict.Collisions, []Collision{{
		NotePosition: NotePosition{7, 5}, Subject: "model m", Field: "slots", Ours: "8", Theirs: "16", Version: 2, Operator: "bo",
	}})
	_, state, err := ReadState(context.Background(), store)
	assert.NilError(t, err)
	m, _ := state.Model("m")
	assert.Equal(t, m.Slots, 16)
}

func TestPublishRetriesWithoutConflict(t *testing.T) {
	store := objectapi.New()
	race := &raceStore{Store: store, before: func() {
		_, err := publish(t, store, "bo", modelNote("other", 1))
		assert.NilError(t, err)
	}}
	a, err := publish(t, race, "ana", modelNote("m", 1))
	assert.NilError(t, err)
	assert.Equal(t, a.Version, uint64(2))
	_, err = publish(t, store, "cy", "based_on: 1\nwithdraw: {models: [m]}\n")
	assert.ErrorContains(t, err, "this note says withdrawn, version 2 by ana says in service")
	_, err = publish(t, store, "cy", "title: t\nbased_on: 9\nwithdraw: {models: [m]}\n")
	assert.Error(t, err, "2:11: based_on: version 9 is newer than the version in force, 2")
}

func TestPublishResolvesLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectapi.New()
		store.Faults.DropResponses(2)
		a, err := publish(t, store, "ana", modelNote("m", 1))
		assert.NilError(t, err)
		resolved, err := ResolveOutcome(context.Background(), store, a.ID)
		assert.NilError(t, err)
		assert.Equal(t, resolved.Version, uint64(1))
	})
}

func TestPublishResolvesLostResponseAfterAnotherNote(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectapi.New()
		lossy := &lossyStore{Store: store, after: func() {
			_, err := publish(t, store, "bo", modelNote("other", 1))
			assert.NilError(t, err)
		}}
		a, err := publish(t, lossy, "ana", modelNote("m", 1))
		assert.NilError(t, err)
		assert.Equal(t, a.Version, uint64(1))
	})
}

// lossyStore applies its first write, calls after, and then loses the response.
type lossyStore struct {
	platform.Store
	after func()
}

func (s *lossyStore) Put(ctx context.Context, kind platform.Kind, name string, value []byte, expect uint64, writer string) (uint64, error) {
	version, err := s.Store.Put(ctx, kind, name, value, expect, writer)
	if f := s.after; f != nil {
		s.after = nil
		f()
		return 0, platform.ErrUnknown
	}
	return version, err
}

func TestPublishOutcomeUnknownAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectapi.New()
		lossy := &lossyStore{Store: store, after: func() { store.Faults.SetOutage(true) }}
		_, err := publish(t, lossy, "ana", modelNote("m", 1))
		var unknown *UnknownError
		assert.Assert(t, errors.As(err, &unknown), "%v", err)
		assert.ErrorIs(t, err, ErrUnknown)
		store.Faults.SetOutage(false)
		a, err := ResolveOutcome(context.Background(), store, unknown.ID)
		assert.NilError(t, err)
		assert.Equal(t, a.Version, uint64(1))
		_, err = publish(t, store, "ana", modelNote("m", 2))
		assert.NilError(t, err)
		_, err = ResolveOutcome(context.Background(), store, newWriterID(0))
		assert.ErrorIs(t, err, ErrNotAccepted)
		_, err = ResolveOutcome(context.Background(), store, newWriterID(1000))
		assert.ErrorIs(t, err, ErrUnknown)
		_, err = ResolveOutcome(context.Background(), store, "x")
		assert.ErrorIs(t, err, ErrBadID)
	})
}

func TestPublishNotAcceptedDuringOutage(t *testing.T) {
	store := objectapi.New()
	store.Faults.SetOutage(true)
	_, err := publish(t, store, "ana", modelNote("m", 1))
	assert.ErrorIs(t, err, ErrNotAccepted)
	assert.ErrorIs(t, err, platform.ErrUnavailable)
}

// adaptersNote returns a note that defines the model m with count adapters.
func adaptersNote(count int) string {
	var b strings.Builder
	b.WriteString(modelNote("m", 1) + "adapters:\n")
	for i := range count {
		fmt.Fprintf(&b, "  - {model: m, id: customer-%05d, version: v%d, memory: %dMiB}\n", i, i%7+1, 100+i%50)
	}
	return b.String()
}

func TestPublishCompactsLog(t *testing.T) {
	store := objectapi.New()
	_, err := publish(t, store, "ana", adaptersNote(2000))
	assert.NilError(t, err)
	for i := range 3 * maxLogDifferences {
		_, err := publish(t, store, "ana", modelNote("m", i+2))
		assert.NilError(t, err)
	}
	objects, _, err := store.List(context.Background(), platform.KindRelease, "")
	assert.NilError(t, err)
	assert.Equal(t, len(objects), 2, "the head and one snapshot object")
	for _, after := range []uint64{0, 1, 100, 144} {
		u, err := LoadUpdate(context.Background(), store, after)
		assert.NilError(t, err)
		s := stateAfter(t)
		if u.State == nil {
			s.Version = after
		}
		_, err = u.applyTo(&s)
		assert.NilError(t, err)
		assert.Equal(t, s.Version, uint64(3*maxLogDifferences+1))
		assert.Equal(t, s.Models("c")[0].Slots, 3*maxLogDifferences+1)
	}
	_, err = publish(t, store, "bo", fmt.Sprintf("based_on: 2\n%s", modelNote("m", 1)))
	assert.ErrorContains(t, err, "the changes since version 2 are no longer in the log of the release")
}

func TestMergeDropsOldestWithdrawn(t *testing.T) {
	s := stateAfter(t, adaptersNote(MaxWithdrawn+10))
	rows := s.sortedAdapters()
	for i := range rows {
		rows[i].WithdrawnIn = 1
	}
	s.putAdapters(rows)
	d, err := mustParse(t, modelNote("m", 2)).Merge(s, "ana", time.Unix(1, 0))
	assert.NilError(t, err)
	assert.Equal(t, len(d.ForgottenAdapters), 10)
	assert.NilError(t, s.Apply(d))
	_, adapters := s.Counts()
	assert.Equal(t, adapters, MaxWithdrawn)
	_, ok := s.Adapter(AdapterKey{Model: "m", ID: fleet.AdapterID("customer-00009")})
	assert.Assert(t, !ok)
}
