package admission_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/admission"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/quarantine"
)

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// replica returns a ready replica on backend server n.
func replica(n int, model fleet.ModelID, slots int) fleet.Replica {
	return fleet.Replica{
		ReplicaKey: fleet.ReplicaKey{
			Backend: fleet.BackendID(fmt.Sprintf("b%d", n)),
			Boot:    fleet.BootID(fmt.Sprintf("b%d-1", n)),
			Model:   model,
			Version: "1",
		},
		State: fleet.ReplicaReady,
		Slots: slots,
	}
}

func request(id string, rank fleet.Rank) admission.Request {
	return admission.Request{ID: id, Entry: "n1", Incarnation: 1, Target: fleet.Target{Model: "m"}, Rank: rank, Caller: "c"}
}

func newQueue(rs ...fleet.Replica) *admission.Queue {
	q := admission.New(admission.DefaultSettings())
	q.SetReplicas(start, rs, nil)
	return q
}

func finish(q *admission.Queue, now time.Time, d admission.Decision, outcome admission.FinishOutcome) {
	q.Finish(now, admission.Finish{GrantID: d.Grant.ID, RequestID: d.RequestID, Outcome: outcome, Tokens: 100, FirstToken: 100 * time.Millisecond, Duration: 2 * time.Second})
}

func TestOfferIsIdempotent(t *testing.T) {
	q := newQueue(replica(1, "m", 1))
	first := q.Offer(start, request("a", fleet.RankUrgent))
	assert.Equal(t, first.Kind, admission.Grant)
	assert.Equal(t, q.Offer(start, request("a", fleet.RankUrgent)), first)

	retry := request("a", fleet.RankUrgent)
	retry.Attempt = 1
	second := q.Offer(start, retry)
	assert.Equal(t, second.Kind, admission.Grant)
	assert.Assert(t, second.Grant.ID != first.Grant.ID)
	finish(q, start, first, admission.FinishOK) // the grant has ended, so no slot becomes free
	assert.Equal(t, q.Offer(start, request("b", fleet.RankUrgent)).Kind, admission.Wait)
	assert.Equal(t, len(q.Tick(start)), 0)
}

func TestServesUrgentFirstThenEarliestDeadline(t *testing.T) {
	q := newQueue(replica(1, "m", 1))
	running := q.Offer(start, request("running", fleet.RankBulk))
	late := request("late", fleet.RankStandard)
	early := request("early", fleet.RankStandard)
	late.Deadline = start.Add(4 * time.Minute)
	early.Deadline = start.Add(2 * time.Minute)
	for _, r := range []admission.Request{request("bulk", fleet.RankBulk), late, early, request("urgent", fleet.RankUrgent)} {
		assert.Equal(t, q.Offer(start, r).Kind, admission.Wait)
	}
	for _, want := range []string{"urgent", "early", "late", "bulk"} {
		finish(q, start, running, admission.FinishOK)
		decided := q.TakeDecisions()
		assert.Equal(t, len(decided), 1)
		assert.Equal(t, decided[0].RequestID, want)
		running = decided[0]
	}
}

func TestModelsShareSlotsOfBackendServer(t *testing.T) {
	a, b := replica(1, "m", 2), replica(1, "other", 2)
	q := newQueue(a, b)
	assert.Equal(t, q.Offer(start, request("a", fleet.RankUrgent)).Kind, admission.Grant)
	other := request("b", fleet.RankUrgent)
	other.Target.Model = "other"
	assert.Equal(t, q.Offer(start, other).Kind, admission.Grant)
	assert.Equal(t, q.Offer(start, request("c", fleet.RankUrgent)).Kind, admission.Wait)
}

func TestOfferRefusesUnreachableDeadlineDuringLoad(t *testing.T) {
	loading := replica(1, "m", 4)
	loading.State = fleet.ReplicaLoading
	loading.ReadyAt = start.Add(time.Minute)
	q := newQueue(loading)
	d := q.Offer(start, request("urgent", fleet.RankUrgent))
	assert.Equal(t, d.Kind, admission.Refuse)
	assert.Equal(t, d.Refusal.Code, admission.CodeDeadline)
	assert.Equal(t, d.Refusal.RetryAfter, 15*time.Second)
	assert.Equal(t, q.Offer(start, request("standard", fleet.RankStandard)).Kind, admission.Wait)
}

func TestOfferRefusesUnreachableDeadlineBehindQueue(t *testing.T) {
	q := newQueue(replica(1, "m", 1))
	finish(q, start.Add(2*time.Second), q.Offer(start, request("sample", fleet.RankUrgent)), admission.FinishOK)
	now := start.Add(2 * time.Second)
	kinds := map[admission.DecisionKind]int{}
	for i := range 40 {
		kinds[q.Offer(now, request(fmt.Sprint(i), fleet.RankUrgent)).Kind]++
	}
	// One request runs. At 2 s each, 23 can wait, as the last of them is
	// expected to start after 44 s and the deadline is 45 s after arrival.
	assert.DeepEqual(t, kinds, map[admission.DecisionKind]int{admission.Grant: 1, admission.Wait: 23, admission.Refuse: 16})
}

func TestTickRefusesExpiredAndUnpolledRequests(t *testing.T) {
	q := newQueue()
	r := request("a", fleet.RankStandard)
	r.Deadline = start.Add(10 * time.Second)
	assert.Equal(t, q.Offer(start, r).Kind, admission.Wait)
	assert.Equal(t, q.Offer(start, request("b", fleet.RankStandard)).Kind, admission.Wait)
	decided := q.Tick(start.Add(10 * time.Second))
	assert.Equal(t, len(decided), 1)
	assert.Equal(t, decided[0].Refusal.Code, admission.CodeExpired)
	decided = q.Tick(start.Add(admission.DefaultPollTimeout))
	assert.Equal(t, len(decided), 1)
	assert.Equal(t, decided[0].Refusal.Code, admission.CodeCancelled)
}

func TestNoGrantToDrainingReplica(t *testing.T) {
	draining := replica(1, "m", 4)
	draining.Draining = true
	q := newQueue(draining)
	assert.Equal(t, q.Offer(start, request("a", fleet.RankUrgent)).Kind, admission.Wait)
	q.SetReplicas(start, []fleet.Replica{draining, replica(2, "m", 4)}, nil)
	decided := q.TakeDecisions()
	assert.Equal(t, len(decided), 1)
	assert.Equal(t, decided[0].Grant.Replica.Backend, fleet.BackendID("b2"))
}

func TestEntryNodeFailedFreesSlotsAndRefusesWaiters(t *testing.T) {
	q := newQueue(replica(1, "m", 1))
	q.Offer(start, request("a", fleet.RankUrgent))
	q.Offer(start, request("b", fleet.RankUrgent))
	other := request("c", fleet.RankUrgent)
	other.Entry = "n2"
	q.Offer(start, other)
	q.EntryNodeFailed(start, "n1", 1)
	kinds := map[string]admission.DecisionKind{}
	for _, d := range q.TakeDecisions() {
		kinds[d.RequestID] = d.Kind
	}
	assert.DeepEqual(t, kinds, map[string]admission.DecisionKind{"b": admission.Refuse, "c": admission.Grant})
}

func TestAdapterRequestWaitsForLoadedAdapter(t *testing.T) {
	withoutAdapter, withAdapter := replica(1, "m", 4), replica(2, "m", 4)
	q := newQueue(withoutAdapter)
	r := request("a", fleet.RankUrgent)
	r.Target.Adapter = "x"
	assert.Equal(t, q.Offer(start, r).Kind, admission.Wait)
	demands := q.Demands(start)
	assert.Equal(t, len(demands), 1)
	assert.Equal(t, demands[0].Target, r.Target)
	assert.Equal(t, demands[0].Total(), 1)
	withAdapter.Adapters = []fleet.AdapterID{"x"}
	q.SetReplicas(start, []fleet.Replica{withoutAdapter, withAdapter}, nil)
	assert.Equal(t, q.TakeDecisions()[0].Grant.Replica.Backend, fleet.BackendID("b2"))
}

func TestQuarantineLimitsCrashesOfPoisonRequest(t *testing.T) {
	s := admission.DefaultSettings()
	s.Quarantine = quarantine.New(quarantine.DefaultSettings())
	q := admission.New(s)
	var rs []fleet.Replica
	for n := range 6 {
		rs = append(rs, replica(n, "m", 4))
	}
	q.SetReplicas(start, rs, nil)
	crashed := map[fleet.BackendID]bool{}
	now := start
	answered := 0
	for i := range 12 {
		poison := request(fmt.Sprintf("poison-%d", i), fleet.RankUrgent)
		poison.Hash = "poison"
		other := request(fmt.Sprintf("other-%d", i), fleet.RankUrgent)
		other.Hash = fleet.ContentHash(other.ID)
		decisions := []admission.Decision{q.Offer(now, other), q.Offer(now, poison)}
		for _, d := range decisions {
			if d.Kind != admission.Grant {
				continue
			}
			if d.RequestID == poison.ID {
				crashed[d.Grant.Replica.Backend] = true
				finish(q, now, d, admission.FinishCrashed)
				continue
			}
			finish(q, now, d, admission.FinishOK)
			answered++
		}
	}
	assert.Equal(t, len(crashed), quarantine.MaxCrashes)
	assert.Equal(t, answered, 12)
	last := request("again", fleet.RankUrgent)
	last.Hash = "poison"
	assert.Equal(t, q.Offer(now, last).Refusal.Code, admission.CodePoison)
}

// Guards against a cold model that is never loaded and whose callers are refused
// for ever, because its load takes longer than their deadlines.
func TestDemandsIncludeRefusedColdModel(t *testing.T) {
	q := newQueue()
	q.SetColdEstimates([]admission.ColdEstimate{{Model: "m", ReadyIn: time.Hour}})
	assert.Equal(t, q.Offer(start, request("a", fleet.RankUrgent)).Refusal.Code, admission.CodeDeadline)
	demands := q.Demands(start)
	assert.Equal(t, len(demands), 1)
	assert.Equal(t, demands[0].Total(), 0)
	assert.Equal(t, demands[0].Unserved(), 1)
	assert.Equal(t, len(q.Demands(start.Add(time.Hour))), 0)
}

// A replica that did not run a request gets no other one until its pause ends.
func TestReplicaIsPausedAfterNotRun(t *testing.T) {
	q := newQueue(replica(1, "m", 4))
	d := q.Offer(start, request("a", fleet.RankUrgent))
	finish(q, start, d, admission.FinishNotRun)
	again := request("a", fleet.RankUrgent)
	again.Attempt = 1
	assert.Equal(t, q.Offer(start, again).Kind, admission.Wait)
	decided := q.Tick(start.Add(500 * time.Millisecond))
	assert.Equal(t, len(decided), 1)
	assert.Equal(t, decided[0].Kind, admission.Grant)
}

// Requests that are overdue because they waited for a load must not be refused
// on account of an overload long ago.
func TestBurstLongAfterOverloadIsNotRefused(t *testing.T) {
	q := newQueue(replica(1, "m", 1))
	running := q.Offer(start, request("running", fleet.RankStandard))
	for i := range 3 {
		q.Offer(start, request(fmt.Sprint("first-", i), fleet.RankStandard))
	}
	now := start.Add(20 * time.Second) // after the first-token target of 15 s
	q.Tick(now)
	for range 4 {
		now = now.Add(3 * time.Second)
		finish(q, now, running, admission.FinishOK)
		if decided := q.TakeDecisions(); len(decided) > 0 {
			running = decided[0]
		}
	}
	now = now.Add(time.Hour)
	q.Offer(now, request("again", fleet.RankStandard))
	for i := range 20 {
		late := request(fmt.Sprint("late-", i), fleet.RankStandard)
		late.Arrival = now.Add(-16 * time.Second)
		assert.Equal(t, q.Offer(now, late).Kind, admission.Wait)
	}
}

func TestFullQueueDisplacesRequestOfLeastWorth(t *testing.T) {
	s := admission.DefaultSettings()
	s.MaxWaiting = 2
	q := admission.New(s)
	assert.Equal(t, q.Offer(start, request("bulk", fleet.RankBulk)).Kind, admission.Wait)
	assert.Equal(t, q.Offer(start, request("standard", fleet.RankStandard)).Kind, admission.Wait)
	assert.Equal(t, q.Offer(start, request("urgent", fleet.RankUrgent)).Kind, admission.Wait)
	decided := q.TakeDecisions()
	assert.Equal(t, len(decided), 1)
	assert.Equal(t, decided[0].RequestID, "bulk")
	assert.Equal(t, decided[0].Refusal.Code, admission.CodeOverloaded)
	assert.Equal(t, q.Offer(start, request("more", fleet.RankBulk)).Refusal.Code, admission.CodeOverloaded)
}
