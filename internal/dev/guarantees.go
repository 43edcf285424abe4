package dev

import (
	"fmt"
	"io"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/standin/weightstore"
)

// leavingGrace is the time for which a backend server may still receive new
// requests after its VM was marked as leaving.
const leavingGrace = 4 * time.Second

// Limits of the calls per second of all nodes together to the platform's object API
// and VM list.
const (
	maxAPIWritesPerSecond = 300
	maxAPIReadsPerSecond  = 2000
)

// Guarantee is the result of checking one guarantee of the system.
type Guarantee struct {
	Name   string // what is guaranteed
	Held   bool   // false if the guarantee was violated
	Detail string // counts that the result rests on
}

// standInGuarantees checks the guarantees that the stand-ins have counters for.
// The replica limit of a model is the highest of its limits in the releases.
func (d *Deployment) standInGuarantees(releases ...Release) []Guarantee {
	guarantees := d.replicaGuarantees(releases)
	for _, e := range d.Engines {
		counts := e.Counts()
		guarantees = append(guarantees,
			Guarantee{
				Name:   fmt.Sprintf("memory of %s stays within its size", e.ID()),
				Held:   counts.PeakMemory <= engineMemory && counts.RefusedMemory == 0,
				Detail: fmt.Sprintf("peak %d of %d MiB, %d load orders beyond it", counts.PeakMemory>>20, engineMemory>>20, counts.RefusedMemory),
			},
			Guarantee{
				Name:   fmt.Sprintf("no new requests to %s while it is leaving", e.ID()),
				Held:   e.LateRequests(leavingGrace) == 0,
				Detail: fmt.Sprintf("%d arrived after %s", e.LateRequests(leavingGrace), leavingGrace),
			},
			Guarantee{
				Name:   fmt.Sprintf("no request interrupted at %s", e.ID()),
				Held:   counts.Aborted == 0,
				Detail: fmt.Sprintf("%d interrupted, %d finished", counts.Aborted, counts.Finished),
			})
	}
	loads := d.Weights.Counts()
	return append(guarantees, d.objectAPIGuarantee(), Guarantee{
		Name:   "model and adapter loads in flight stay within limits",
		Held:   loads.MaxLoads <= weightstore.DefaultFullSpeedLoads && loads.MaxAdapters <= weightstore.DefaultFullSpeedAdapters,
		Detail: fmt.Sprintf("%d models and %d adapters at most", loads.MaxLoads, loads.MaxAdapters),
	})
}

// objectAPIGuarantee compares the rate of calls that reached the object API and VM
// list with the highest rates allowed.
func (d *Deployment) objectAPIGuarantee() Guarantee {
	counts := d.API.Counts()
	seconds := time.Since(d.startedAt).Seconds()
	writes := float64(counts.Writes) / seconds
	reads := float64(counts.Reads+counts.Watches+counts.VMReads) / seconds
	return Guarantee{
		Name:   "calls to the object API and VM list stay within limits",
		Held:   writes <= maxAPIWritesPerSecond && reads <= maxAPIReadsPerSecond,
		Detail: fmt.Sprintf("%.1f writes/s, %.1f reads and watches/s, allowed %d/s and %d/s", writes, reads, maxAPIWritesPerSecond, maxAPIReadsPerSecond),
	}
}

// replicaGuarantees compares the highest number of replicas of each model that
// existed at once with the highest limit of the model in the releases.
func (d *Deployment) replicaGuarantees(releases []Release) []Guarantee {
	limits := map[fleet.ModelID]int{}
	var order []fleet.ModelID
	for _, r := range releases {
		for _, m := range r.Models {
			if _, seen := limits[m.ID]; !seen {
				order = append(order, m.ID)
			}
			limits[m.ID] = max(limits[m.ID], m.MaxReplicas)
		}
	}
	var guarantees []Guarantee
	for _, id := range order {
		peak := d.FleetStats.MaxReplicas(id)
		guarantees = append(guarantees, Guarantee{
			Name:   fmt.Sprintf("replicas of %s stay within the limit", id),
			Held:   peak <= limits[id],
			Detail: fmt.Sprintf("%d at peak, %d allowed, %d loads", peak, limits[id], d.FleetStats.Loads(id)),
		})
	}
	return guarantees
}

// callerGuarantees checks that each request got the expected response or a
// correct error response, and that no urgent request was refused or expired.
func (s *Stats) callerGuarantees() []Guarantee {
	var guarantees []Guarantee
	for rank := range fleet.Rank(fleet.RankCount) {
		row := s.Rank(rank)
		guarantees = append(guarantees, Guarantee{
			Name:   fmt.Sprintf("each %s request is answered, refused or expires", rank),
			Held:   row.Sent > 0 && row.NoResponse == 0 && row.Wrong == 0 && row.Failed == 0,
			Detail: fmt.Sprintf("%d sent, %d expired, %d failed, %d wrong, %d without response", row.Sent, row.Expired, row.Failed, row.Wrong, row.NoResponse),
		})
	}
	urgent := s.Rank(fleet.RankUrgent)
	return append(guarantees, Guarantee{
		Name:   "no urgent request is refused or expires",
		Held:   urgent.Refused == 0 && urgent.Expired == 0,
		Detail: fmt.Sprintf("%d refused, %d expired, %d late", urgent.Refused, urgent.Expired, urgent.Late),
	})
}

// serviceRuns returns how often the call with the idempotency key ran, summed over
// the backend servers of the plain service.
func (d *Deployment) serviceRuns(key string) int {
	runs := 0
	for _, s := range d.Services {
		runs += s.Runs(key)
	}
	return runs
}

// printGuarantees writes one line for each checked guarantee and returns how many
// were violated.
func printGuarantees(out io.Writer, guarantees []Guarantee) (violated int) {
	for _, g := range guarantees {
		result := "held"
		if !g.Held {
			result = "BROKEN"
			violated++
		}
		fmt.Fprintf(out, "%-6s  %s: %s\n", result, g.Name, g.Detail)
	}
	return violated
}
