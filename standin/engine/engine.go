package engine

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/standin/fault"
	"github.com/redwingnotch/redwingnotch/standin/host"
	"github.com/redwingnotch/redwingnotch/standin/weightstore"
)

// Counts is what one engine has seen over all its boots.
type Counts struct {
	Accepted        int           // inference requests
	Finished        int           // whole answers
	Cancelled       int           // by a cancel call
	Disconnected    int           // caller went away before the end
	Cut             int           // running when the engine crashed or was closed
	Crashes         int           // crashes, marked requests included
	RefusedDraining int           // arrived while draining
	RefusedMemory   int           // load orders beyond the memory
	RefusedFenced   int           // orders with an old epoch
	PeakMemory      int64         // most bytes committed at once
	PrefixHits      int           // requests whose prompt was cached
	BusyTime        time.Duration // time with at least one request running
	LoadedTime      time.Duration // time with at least one replica ready
}

// Engine is the stand-in: one VM on which boots of an engine process follow
// each other. Use New. Safe for concurrent use.
type Engine struct {
	Faults *fault.Board
	*host.Host
	config Config
	mux    http.Handler

	mu            sync.Mutex
	boots         int
	reclaimed     bool     // no further boot follows
	proc          *process // nil between a crash and the next boot
	counts        Counts
	near          map[Checkpoint]fleet.Nearness
	leavingSince  time.Time
	lateArrivals  []time.Duration // after MarkLeaving
	lastOccupancy time.Time
}

// New returns an engine at its first boot that does not serve HTTP yet.
func New(c Config) *Engine {
	if c.KeepAlive == 0 {
		c.KeepAlive = DefaultKeepAlive
	}
	if c.CachedPrefixes == 0 {
		c.CachedPrefixes = DefaultCachedPrefixes
	}
	if c.Ledger == nil {
		c.Ledger = NewLedger()
	}
	if c.Weights == nil {
		c.Weights = weightstore.New(weightstore.Options{})
	}
	e := &Engine{
		Faults: &fault.Board{},
		config: c,
		near:   map[Checkpoint]fleet.Nearness{},
	}
	for checkpoint, near := range c.Cached {
		e.near[checkpoint] = near
	}
	e.mux = e.Faults.Wrap(e.routes())
	e.Host = host.New(e, e.Faults)
	e.boot()
	return e
}

// ID returns the backend server's id.
func (e *Engine) ID() fleet.BackendID { return e.config.ID }

// boot starts the next process and reports whether the VM is still there.
func (e *Engine) boot() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.reclaimed {
		return false
	}
	e.boots++
	e.proc = newProcess(e, fleet.BootID(fmt.Sprintf("%s-boot-%d", e.config.ID, e.boots)))
	return true
}

// Crash ends the process at once: all connections drop and all replicas are
// gone. After the restart delay the next boot serves the same address.
func (e *Engine) Crash() {
	if !e.kill() {
		return
	}
	time.AfterFunc(e.config.RestartDelay, func() {
		if e.boot() {
			_ = e.Host.Restart()
		}
	})
}

// Reclaim ends the process at once and for good, as a reclaimed VM does.
func (e *Engine) Reclaim() {
	e.mu.Lock()
	e.reclaimed = true
	e.mu.Unlock()
	e.kill()
}

// kill reports whether a process ran. Replicas go before the connections drop.
func (e *Engine) kill() bool {
	e.mu.Lock()
	p := e.proc
	e.proc = nil
	if p != nil {
		e.counts.Crashes++
		e.counts.Cut += p.end()
		e.forgetMemory()
	}
	e.mu.Unlock()
	if p == nil {
		return false
	}
	e.Host.Close()
	return true
}

// forgetMemory leaves of the weights near in memory only what is on disk.
func (e *Engine) forgetMemory() {
	for c, near := range e.near {
		e.near[c] = max(near, fleet.NearDisk)
	}
}

// MarkLeaving notes that the fleet was told that this backend server leaves.
// The engine itself goes on accepting; LateArrivals counts what it gets.
func (e *Engine) MarkLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leavingSince = time.Now()
}

// LateArrivals returns how many requests arrived later than the grace time
// after MarkLeaving or after an order to drain.
func (e *Engine) LateArrivals(grace time.Duration) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	late := 0
	for _, after := range e.lateArrivals {
		if after > grace {
			late++
		}
	}
	return late
}

// Counts returns what the engine has seen.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reckonOccupancy()
	return e.counts
}

// Running returns the number of inference requests in progress.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.proc == nil {
		return 0
	}
	return len(e.proc.requests)
}

// Committed returns the bytes that replicas and adapters occupy.
func (e *Engine) Committed() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.proc == nil {
		return 0
	}
	return e.proc.committed
}

// Report returns the engine's present state, without lag.
func (e *Engine) Report() engine.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.proc == nil {
		return engine.Report{Backend: e.config.ID}
	}
	return e.proc.report()
}

// reckonOccupancy adds the time since the last change to the counters. It is
// called with the lock held, before each change of replicas or requests.
func (e *Engine) reckonOccupancy() {
	now := time.Now()
	elapsed := now.Sub(e.lastOccupancy)
	if e.lastOccupancy.IsZero() {
		elapsed = 0
	}
	e.lastOccupancy = now
	if e.proc == nil {
		return
	}
	if len(e.proc.requests) > 0 {
		e.counts.BusyTime += elapsed
	}
	if e.proc.anyReady() {
		e.counts.LoadedTime += elapsed
	}
}

// current returns the running process, or nil.
func (e *Engine) current() *process {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.proc
}

// ServeHTTP implements http.Handler by the protocol of docs/PROTOCOLS.md.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// loadTime returns how long a load takes and whether it uses the weight store.
func (e *Engine) loadTime(c Checkpoint) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	full := e.config.Models[c.Model].LoadTime
	near, cached := e.near[c]
	switch {
	case !cached || near == fleet.NearRemote:
		return full, true
	case near == fleet.NearDisk:
		return time.Duration(float64(full) * diskLoadShare), false
	}
	return time.Duration(float64(full) * memoryLoadShare), false
}

func (e *Engine) load(ctx context.Context, c Checkpoint) error {
	took, remote := e.loadTime(c)
	if !remote {
		return fault.Sleep(ctx, took)
	}
	return e.config.Weights.LoadModel(ctx, c.Model, took)
}
