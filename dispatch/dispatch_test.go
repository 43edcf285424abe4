package dispatch_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/dispatch"
	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
)

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

func TestMayRetryAndOutcomeOf(t *testing.T) {
	requestErr := errors.New("status 400")
	for _, tc := range []struct {
		err                 error
		idempotent, started bool
		retry               bool
		outcome             fleet.Outcome
	}{
		{err: engine.ErrNotSent, retry: true, outcome: fleet.OutcomeNotRun},
		{err: engine.ErrUnreachable, retry: true, outcome: fleet.OutcomeNotRun},
		{err: engine.ErrDraining, idempotent: true, retry: true, outcome: fleet.OutcomeNotRun},
		{err: engine.ErrNotLoaded, retry: true, outcome: fleet.OutcomeNotRun},
		{err: engine.ErrCrashed, outcome: fleet.OutcomeUnknown},
		{err: engine.ErrCrashed, idempotent: true, retry: true, outcome: fleet.OutcomeFailed},
		{err: engine.ErrCrashed, idempotent: true, started: true, outcome: fleet.OutcomeFailed},
		{err: engine.ErrStalled, outcome: fleet.OutcomeUnknown},
		{err: engine.ErrUnknown, idempotent: true, retry: true, outcome: fleet.OutcomeFailed},
		{err: errors.Join(engine.ErrNotSent, engine.ErrUnknown), outcome: fleet.OutcomeUnknown},
		{err: requestErr, idempotent: true, outcome: fleet.OutcomeFailed},
	} {
		err := tc.err
		if err != requestErr {
			err = fmt.Errorf("call: %w", err)
		}
		name := fmt.Sprint(err, tc.idempotent, tc.started)
		assert.Equal(t, dispatch.MayRetry(err, tc.idempotent, tc.started), tc.retry, name)
		assert.Equal(t, dispatch.OutcomeOf(err, tc.idempotent, tc.started), tc.outcome, name)
	}
}

func TestMayResumeRequiresSameVersion(t *testing.T) {
	b := dispatch.BrokenStream{Err: engine.ErrStalled, Received: 12, Version: "1"}
	assert.Assert(t, dispatch.MayResume(b, "1"))
	assert.Assert(t, !dispatch.MayResume(b, "2"))
	b.Resumptions = dispatch.MaxResumptions
	assert.Assert(t, !dispatch.MayResume(b, "1"))
}

func TestRetryBudgetAllowsShareOfRequests(t *testing.T) {
	b := dispatch.NewRetryBudget(dispatch.RetryBudgetSettings{RetriesPerRequest: 0.1, PerSecond: 0.5, Burst: 5})
	retries := 0
	for i := range 1000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		b.AddRequest(now)
		if b.TryRetry(now) {
			retries++
		}
	}
	assert.Assert(t, retries >= 100 && retries <= 5+100+1, "%d retries", retries)
	idle := start.Add(time.Hour)
	assert.Assert(t, b.TryRetry(idle))
}

func TestHedgeDelayTracksFirstTokenTimes(t *testing.T) {
	h := dispatch.NewHedger()
	initial := h.Delay("m")
	for range 100 {
		h.Observe(start, "m", 400*time.Millisecond)
	}
	observed := h.Delay("m")
	assert.Assert(t, observed < initial)
	assert.Assert(t, observed > 400*time.Millisecond && observed < time.Second, "%v", observed)
	assert.Assert(t, dispatch.MayHedge(true, false, 0))
	assert.Assert(t, !dispatch.MayHedge(true, false, 1))
	assert.Assert(t, !dispatch.MayHedge(false, false, 0))
	assert.Assert(t, !dispatch.MayHedge(true, true, 0))
}

func TestChoosePreferenceOrder(t *testing.T) {
	assert.Equal(t, dispatch.Choose(nil), -1)
	cs := []dispatch.Candidate{
		{Backend: "a", Load: 0, Excluded: true},
		{Backend: "b", Load: 0.5},
		{Backend: "c", Load: 0.25},
		{Backend: "d", Load: 0.25, SameZone: true},
	}
	assert.Equal(t, dispatch.Choose(cs), 3)
	assert.Equal(t, dispatch.Choose(cs[:1]), 0)
}

func TestDirectReturnsSameServersOnAllNodes(t *testing.T) {
	var rs []fleet.Replica
	for i := range 20 {
		rs = append(rs, fleet.Replica{
			ReplicaKey: fleet.ReplicaKey{Backend: fleet.BackendID(fmt.Sprintf("b%02d", i)), Model: "m"},
			State:      fleet.ReplicaReady,
			Draining:   i == 7,
		})
	}
	used := map[fleet.BackendID]int{}
	for i := range 500 {
		hash := fleet.ContentHash(fmt.Sprint(i))
		selected := dispatch.DirectReplicas(rs, "m", "", hash, 2)
		assert.Equal(t, len(selected), 2)
		assert.DeepEqual(t, selected, dispatch.DirectReplicas(append(rs[10:20:20], rs[:10]...), "m", "", hash, 2))
		for _, r := range selected {
			used[r.Backend]++
		}
	}
	assert.Equal(t, len(used), 19)
	assert.Equal(t, len(dispatch.DirectReplicas(rs, "m", "", "", 2)), 19)
}
