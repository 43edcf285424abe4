package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/redwingnotch/redwingnotch/admission"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/quarantine"
)

// BenchmarkDecision measures an Offer that is granted at once and its Finish,
// with the given number of replicas of up to 210 models.
func BenchmarkDecision(b *testing.B) {
	for _, replicas := range []int{18, 73, 730, 7300} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			q, models := newBenchmarkQueue(replicas)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := start.Add(time.Duration(i) * time.Millisecond)
				r := request("r", fleet.Rank(i%fleet.RankCount))
				r.Target.Model = models[i%len(models)]
				d := q.Offer(now, r)
				if d.Kind != admission.Grant {
					b.Fatal(d.Kind)
				}
				finish(q, now, d, admission.FinishOK)
				q.TakeDecisions()
			}
		})
	}
}

// BenchmarkDecisionInOverload measures an Offer and a Finish while 10,000
// requests wait.
func BenchmarkDecisionInOverload(b *testing.B) {
	for _, replicas := range []int{18, 73, 730, 7300} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			q, models := newBenchmarkQueue(replicas)
			var running []admission.Decision
			for i := 0; len(running) < 4*replicas || i < 4*replicas+10000; i++ {
				r := request(fmt.Sprint(i), fleet.RankUrgent)
				r.Target.Model = models[i%len(models)]
				if d := q.Offer(start, r); d.Kind == admission.Grant {
					running = append(running, d)
				}
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r := request(fmt.Sprint("b", i), fleet.RankUrgent)
				r.Target.Model = models[i%len(models)]
				q.Offer(start, r)
				finished := running[i%len(running)]
				q.Finish(start, admission.Finish{GrantID: finished.Grant.ID, Outcome: admission.FinishFailed})
				for _, d := range q.TakeDecisions() {
					running[i%len(running)] = d
				}
			}
		})
	}
}

// newBenchmarkQueue returns a queue with the given number of replicas of up to
// 210 models, and the models.
func newBenchmarkQueue(replicas int) (*admission.Queue, []fleet.ModelID) {
	s := admission.DefaultSettings()
	s.MaxWaiting = 1 << 20
	s.Quarantine = quarantine.New(quarantine.DefaultSettings())
	q := admission.New(s)
	var models []fleet.ModelID
	for i := range min(replicas, 210) {
		models = append(models, fleet.ModelID(fmt.Sprintf("m%03d", i)))
	}
	rs := make([]fleet.Replica, replicas)
	for i := range rs {
		rs[i] = replica(i, models[i%len(models)], 4)
	}
	q.SetReplicas(start, rs, nil)
	return q, models
}

// BenchmarkSetReplicas measures the replacement of the replica table.
func BenchmarkSetReplicas(b *testing.B) {
	for _, replicas := range []int{18, 73, 730, 7300} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			q, models := newBenchmarkQueue(replicas)
			rs := make([]fleet.Replica, replicas)
			for i := range rs {
				rs[i] = replica(i, models[i%len(models)], 4)
			}
			b.ReportAllocs()
			for b.Loop() {
				q.SetReplicas(start, rs, nil)
			}
		})
	}
}
