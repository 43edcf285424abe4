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

// keptOrderIDs is the number of applied orders that a report names.
const keptOrderIDs = 256

// process is one boot of an engine. Its fields are guarded by the engine's lock.
type process struct {
	engine    *Engine
	boot      fleet.BootID
	ctx       context.Context // ends with the process
	cancel    context.CancelFunc
	epoch     fleet.Epoch
	draining  bool
	role      string
	replicas  map[Checkpoint]*replica
	committed int64
	applied   map[string]bool
	order     []string // applied order ids, oldest first
	requests  map[*request]struct{}
	prefixes  *prefixCache
	snapshot  engine.Report
}

// replica is one loaded or loading model version.
type replica struct {
	checkpoint Checkpoint
	state      fleet.ReplicaState
	memory     int64
	loadBegan  time.Time
	expected   time.Duration
	adapters   map[fleet.AdapterID]*adapter
	batch      *batch
	running    int
}

type adapter struct {
	memory int64
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

// end releases what the process held and returns how many requests it cut.
func (p *process) end() int {
	p.engine.reckonOccupancy()
	p.cancel()
	for c := range p.replicas {
		p.engine.config.Ledger.replicaGone(c.Model)
	}
	p.replicas = map[Checkpoint]*replica{}
	return len(p.requests)
}

// mustLive cuts the caller's connection if the process has ended. It is called
// in handlers, with the lock held.
func (p *process) mustLive() {
	if p.ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

func (p *process) anyReady() bool {
	for _, r := range p.replicas {
		if r.state == fleet.ReplicaReady {
			return true
		}
	}
	return false
}

// commit takes memory and reports whether there was enough.
func (p *process) commit(bytes int64) bool {
	if p.committed+bytes > p.engine.config.Memory {
		p.engine.counts.RefusedMemory++
		return false
	}
	p.committed += bytes
	p.engine.counts.PeakMemory = max(p.engine.counts.PeakMemory, p.committed)
	return true
}

// newest returns the model's replica that serves, or nil.
func (p *process) newest(m fleet.ModelID) *replica {
	var found *replica
	for c, r := range p.replicas {
		if c.Model != m || r.state != fleet.ReplicaReady {
			continue
		}
		if found == nil || r.loadBegan.After(found.loadBegan) {
			found = r
		}
	}
	return found
}

// report returns the state now.
func (p *process) report() engine.Report {
	report := engine.Report{
		Backend:      p.engine.config.ID,
		Boot:         p.boot,
		Memory:       p.engine.config.Memory,
		Draining:     p.draining,
		AppliedOrder: slices.Clone(p.order),
		MeasuredAt:   time.Now(),
	}
	if p.engine.config.Fencing {
		report.Epoch = p.epoch
	}
	if p.engine.config.TokenTime > 0 {
		report.TokensPerSec = float64(time.Second) / float64(p.engine.config.TokenTime)
	}
	for c, r := range p.replicas {
		report.Replicas = append(report.Replicas, r.report(c))
	}
	slices.SortFunc(report.Replicas, func(x, y engine.LoadedReplica) int {
		return cmp.Or(cmp.Compare(x.Model, y.Model), cmp.Compare(x.Version, y.Version))
	})
	for c, near := range p.engine.near {
		report.Cached = append(report.Cached, engine.CachedWeights{Model: c.Model, Version: c.Version, Near: near})
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
	if r.state == fleet.ReplicaLoading && r.expected > 0 {
		row.Progress = min(0.99, float64(time.Since(r.loadBegan))/float64(r.expected))
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

// laggingReport returns a report of at most the configured age.
func (p *process) laggingReport() engine.Report {
	if time.Since(p.snapshot.MeasuredAt) >= p.engine.config.ReportLag {
		p.snapshot = p.report()
	}
	return p.snapshot
}

func adapterLoadTime(id fleet.AdapterID) time.Duration {
	span := uint64(maxAdapterLoad - minAdapterLoad)
	return minAdapterLoad + time.Duration(xxhash.Sum64String(string(id))%(span+1))
}
