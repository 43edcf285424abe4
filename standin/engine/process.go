package engine

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
)

// maxReportedOrders is the number of applied orders that a report lists.
const maxReportedOrders = 256

// process is the engine process of one boot. Its fields are guarded by the engine's
// lock.
type process struct {
	engine       *Engine
	boot         fleet.BootID
	ctx          context.Context // ends with the process
	cancel       context.CancelFunc
	epoch        fleet.Epoch // highest epoch of an accepted order, if Config.Fencing is set
	draining     bool
	role         string // last role that was ordered; has no effect
	replicas     map[Checkpoint]*replica
	committed    int64           // bytes of memory of replicas and adapters
	applied      map[string]bool // ids of all applied orders
	appliedIDs   []string        // ids of the last applied orders, oldest first
	requests     map[*request]struct{}
	prefixes     *prefixCache
	laggedReport engine.Report // last report returned by laggingReport
}

// replica is a model version that is loading, ready or unloading.
type replica struct {
	checkpoint       Checkpoint
	state            fleet.ReplicaState
	memory           int64 // bytes, without adapters
	loadStart        time.Time
	expectedLoadTime time.Duration // for the reported load progress
	adapters         map[fleet.AdapterID]*adapter
	batch            *batch
	running          int // requests in progress, including those waiting for a slot
}

// adapter is an adapter of a replica, loading until it is ready.
type adapter struct {
	memory int64 // bytes
	ready  bool
}

func newProcess(e *Engine, boot fleet.BootID) *process {
	ctx, cancel := context.WithCancel(context.Background())
	return &process{
		engine:   e,
		boot:     boot,
		ctx:      ctx,
		cancel:   cancel,
		replicas: map[Checkpoint]*replica{},
		applied:  map[string]bool{},
		requests: map[*request]struct{}{},
		prefixes: newPrefixCache(e.config),
	}
}

// terminate cancels all work, removes the replicas and returns the number of
// requests in progress.
func (p *process) terminate() int {
	p.engine.updateUsage()
	p.cancel()
	for c := range p.replicas {
		p.engine.config.FleetStats.replicaRemoved(c.Model)
	}
	p.replicas = map[Checkpoint]*replica{}
	return len(p.requests)
}

// abortIfEnded closes the caller's connection if the process has ended. It must be
// called in HTTP handlers, with the lock held.
func (p *process) abortIfEnded() {
	if p.ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

func (p *process) hasReadyReplica() bool {
	for _, r := range p.replicas {
		if r.state == fleet.ReplicaReady {
			return true
		}
	}
	return false
}

// commitMemory reserves memory and reports whether there was enough.
func (p *process) commitMemory(bytes int64) bool {
	if p.committed+bytes > p.engine.config.Memory {
		p.engine.counts.RefusedMemory++
		return false
	}
	p.committed += bytes
	p.engine.counts.PeakMemory = max(p.engine.counts.PeakMemory, p.committed)
	return true
}

// newestReady returns the ready replica of the model that started to load last, or
// nil.
func (p *process) newestReady(m fleet.ModelID) *replica {
	var found *replica
	for c, r := range p.replicas {
		if c.Model != m || r.state != fleet.ReplicaReady {
			continue
		}
		if found == nil || r.loadStart.After(found.loadStart) {
			found = r
		}
	}
	return found
}

// report returns the current state.
func (p *process) report() engine.Report {
	report := engine.Report{
		Backend:       p.engine.config.ID,
		Boot:          p.boot,
		Memory:        p.engine.config.Memory,
		Draining:      p.draining,
		AppliedOrders: slices.Clone(p.appliedIDs),
		MeasuredAt:    time.Now(),
	}
	if p.engine.config.Fencing {
		report.Epoch = p.epoch
	}
	if p.engine.config.TokenTime > 0 {
		report.TokensPerSecond = float64(time.Second) / float64(p.engine.config.TokenTime)
	}
	for c, r := range p.replicas {
		report.Replicas = append(report.Replicas, r.report(c))
	}
	slices.SortFunc(report.Replicas, func(x, y engine.LoadedReplica) int {
		return cmp.Or(cmp.Compare(x.Model, y.Model), cmp.Compare(x.Version, y.Version))
	})
	for c, locality := range p.engine.locality {
		report.Cached = append(report.Cached, engine.CachedWeights{Model: c.Model, Version: c.Version, WeightLocality: locality})
	}
	slices.SortFunc(report.Cached, func(x, y engine.CachedWeights) int {
		return cmp.Or(cmp.Compare(x.Model, y.Model), cmp.Compare(x.Version, y.Version))
	})
	return report
}

func (r *replica) report(c Checkpoint) engine.LoadedReplica {
	row := engine.LoadedReplica{
		Model:   c.Model,
		Version: c.Version,
		State:   r.state,
		Memory:  r.memory,
		Running: r.batch.running,
		Waiting: r.batch.waiting.Len(),
	}
	if r.state == fleet.ReplicaLoading && r.expectedLoadTime > 0 {
		row.Progress = min(0.99, float64(time.Since(r.loadStart))/float64(r.expectedLoadTime))
	}
	for id, a := range r.adapters {
		row.Memory += a.memory
		if a.ready {
			row.Adapters = append(row.Adapters, id)
		}
	}
	slices.Sort(row.Adapters)
	return row
}

// laggingReport returns a cached report, renewed once it is Config.ReportLag old.
func (p *process) laggingReport() engine.Report {
	if time.Since(p.laggedReport.MeasuredAt) >= p.engine.config.ReportLag {
		p.laggedReport = p.report()
	}
	return p.laggedReport
}

// adapterLoadTime returns the load time of the adapter at full speed.
func adapterLoadTime(id fleet.AdapterID) time.Duration {
	span := uint64(maxAdapterLoadTime - minAdapterLoadTime)
	return minAdapterLoadTime + time.Duration(xxhash.Sum64String(string(id))%(span+1))
}
