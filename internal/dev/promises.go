package dev

import (
	"fmt"
	"io"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/standin/weightstore"
)

// leavingGrace is the time in which a backend server that leaves may still get
// new work.
const leavingGrace = 4 * time.Second

// Rates of the platform's object API, in calls a second.
const (
	apiWritesPerSecond = 300
	apiReadsPerSecond  = 2000
)

// Promise is one thing that must have held, with what was counted.
type Promise struct {
	Name   string
	Held   bool
	Detail string
}

// countedPromises checks the stand-ins' counters.
func (d *Deployment) countedPromises(releases ...Release) []Promise {
	promises := d.replicaPromises(releases)
	for _, e := range d.Engines {
		counts := e.Counts()
		promises = append(promises,
			Promise{
				Name:   fmt.Sprintf("memory of %s", e.ID()),
				Held:   counts.PeakMemory <= engineMemory && counts.RefusedMemory == 0,
				Detail: fmt.Sprintf("peak %d MiB of %d, %d loads beyond it ordered", counts.PeakMemory>>20, engineMemory>>20, counts.RefusedMemory),
			},
			Promise{
				Name:   fmt.Sprintf("no new work to %s while leaving", e.ID()),
				Held:   e.LateArrivals(leavingGrace) == 0,
				Detail: fmt.Sprintf("%d arrived after %s", e.LateArrivals(leavingGrace), leavingGrace),
			},
			Promise{
				Name:   fmt.Sprintf("no request cut at %s", e.ID()),
				Held:   counts.Cut == 0,
				Detail: fmt.Sprintf("%d cut, %d finished", counts.Cut, counts.Finished),
			})
	}
	loads := d.Weights.Counts()
	return append(promises, d.storePromise(), Promise{
		Name:   "loads in flight",
		Held:   loads.MaxLoads <= weightstore.DefaultFullSpeedLoads && loads.MaxAdapters <= weightstore.DefaultFullSpeedAdapters,
		Detail: fmt.Sprintf("%d models and %d adapters at most", loads.MaxLoads, loads.MaxAdapters),
	})
}

// storePromise compares the calls that reached the object API with its rates.
func (d *Deployment) storePromise() Promise {
	counts := d.API.Counts()
	seconds := time.Since(d.began).Seconds()
	writes := float64(counts.Writes) / seconds
	reads := float64(counts.Reads+counts.Watches+counts.VMReads) / seconds
	return Promise{
		Name:   "calls of the object API and VM list",
		Held:   writes <= apiWritesPerSecond && reads <= apiReadsPerSecond,
		Detail: fmt.Sprintf("%.1f writes, %.1f reads and watches a second, of %d and %d", writes, reads, apiWritesPerSecond, apiReadsPerSecond),
	}
}

// replicaPromises compares the replicas that existed at once with the most that
// any of the releases allows.
func (d *Deployment) replicaPromises(releases []Release) []Promise {
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
	var promises []Promise
	for _, id := range order {
		most := d.Ledger.MaxReplicas(id)
		promises = append(promises, Promise{
			Name:   fmt.Sprintf("replicas of %s", id),
			Held:   most <= limits[id],
			Detail: fmt.Sprintf("%d at most, %d allowed, %d loads", most, limits[id], d.Ledger.Loads(id)),
		})
	}
	return promises
}

// callerPromises checks that each request came to one honest end.
func (m *Measures) callerPromises() []Promise {
	var promises []Promise
	for rank := range fleet.Rank(fleet.RankCount) {
		row := m.Rank(rank)
		promises = append(promises, Promise{
			Name:   fmt.Sprintf("each %s request answered or refused", rank),
			Held:   row.Sent > 0 && row.Lost == 0 && row.Wrong == 0 && row.Failed == 0,
			Detail: fmt.Sprintf("%d sent, %d told of their expiry, %d failed, %d wrong, %d lost", row.Sent, row.Expired, row.Failed, row.Wrong, row.Lost),
		})
	}
	urgent := m.Rank(fleet.RankUrgent)
	return append(promises, Promise{
		Name:   "urgent requests answered, none refused",
		Held:   urgent.Refused == 0 && urgent.Expired == 0,
		Detail: fmt.Sprintf("%d refused, %d expired, %d late", urgent.Refused, urgent.Expired, urgent.Late),
	})
}

// runsOf sums the runs of a key over the services.
func (d *Deployment) runsOf(key string) int {
	runs := 0
	for _, s := range d.Services {
		runs += s.Runs(key)
	}
	return runs
}

func printPromises(out io.Writer, promises []Promise) (broken int) {
	for _, p := range promises {
		verdict := "held"
		if !p.Held {
			verdict = "BROKEN"
			broken++
		}
		fmt.Fprintf(out, "%-6s  %s: %s\n", verdict, p.Name, p.Detail)
	}
	return broken
}
