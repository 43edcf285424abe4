package admission_test

import (
	"fmt"
	"time"

	"github.com/redwingnotch/redwingnotch/admission"
	"github.com/redwingnotch/redwingnotch/fleet"
)

// An urgent request goes before a bulk request that waited longer for the only
// slot.
func Example() {
	now := time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)
	queue := admission.New(admission.DefaultSettings())
	queue.SetReplicas(now, []fleet.Replica{{
		ReplicaKey: fleet.ReplicaKey{Backend: "engine-1", Boot: "boot-1", Model: "lathe-diagnosis", Version: "v1"},
		Address:    "192.0.2.31:9000",
		State:      fleet.ReplicaReady,
		Slots:      1,
	}}, nil)
	offer := func(id string, rank fleet.Rank) admission.Decision {
		return queue.Offer(now, admission.Request{
			ID: id, Entry: "entry-1", Target: fleet.Target{Model: "lathe-diagnosis"}, Rank: rank, Arrival: now,
		})
	}
	first := offer("first", fleet.RankStandard)
	fmt.Println("first:", first.Kind, first.Grant.Address)
	fmt.Println("bulk:", offer("bulk", fleet.RankBulk).Kind)
	fmt.Println("urgent:", offer("urgent", fleet.RankUrgent).Kind)

	now = now.Add(time.Second)
	queue.Finish(now, admission.Finish{GrantID: first.Grant.ID, RequestID: "first", Outcome: admission.FinishOK})
	for _, decision := range queue.TakeDecisions() {
		fmt.Println("then:", decision.RequestID, decision.Kind)
	}
	// Output:
	// first: grant 192.0.2.31:9000
	// bulk: wait
	// urgent: wait
	// then: urgent grant
}
