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

// Counts holds the counters of one engine over all its boots.
type Counts struct {
	Accepted        int           // inference requests accepted
	Finished        int           // requests with a complete response
	Cancelled       int           // requests ended by a cancel call
	Disconnected    int           // requests whose caller disconnected early
	Aborted         int           // requests in progress when the process crashed or the VM was reclaimed
	Crashes         int           // processes ended by Crash, a crash marker or Reclaim
	RefusedDraining int           // requests refused while draining
	RefusedMemory   int           // load orders refused for lack of memory, adapters included
	RefusedFenced   int           // orders refused for an old epoch
	PeakMemory      int64         // highest committed memory in bytes
	PrefixHits      int           // requests whose prompt was in the prefix cache
	BusyTime        time.Duration // time with at least one request running
	ReadyTime       time.Duration // time with at least one replica ready
}

// Engine is a simulated model engine: a VM that runs one engine process at a time,
// each with its own boot id. Use New. Safe for concurrent use.
type Engine struct {
	Faults *fault.Injector // faults injected into requests and connections
	*host.Server
	config Config
	mux    http.Handler

	mu                   sync.Mutex
	bootCount            int
	reclaimed            bool     // no process starts again
	proc                 *process // nil between a crash and the next boot
	counts               Counts
	locality             map[Checkpoint]fleet.Locality
	leavingSince         time.Time       // time of MarkLeaving or of the first drain order
	arrivalsAfterLeaving []time.Duration // time from leavingSince to the arrival of each request
	usageUpdatedAt       time.Time       // time of the last updateUsage
}

// New returns an engine whose first process runs but does not serve HTTP yet.
func New(c Config) *Engine {
	if c.KeepAlive == 0 {
		c.KeepAlive = DefaultKeepAlive
	}
	if c.CachedPrefixes == 0 {
		c.CachedPrefixes = DefaultCachedPrefixes
	}
	if c.FleetStats == nil {
		c.FleetStats = NewFleetStats()
	}
	if c.Weights == nil {
		c.Weights = weightstore.New(weightstore.Options{})
	}
	e := &Engine{
		Faults:   &fault.Injector{},
		config:   c,
		locality: map[Checkpoint]fleet.Locality{},
	}
	for checkpoint, locality := range c.Cached {
		e.locality[checkpoint] = locality
	}
	e.mux = e.Faults.Wrap(e.routes())
	e.Server = host.New(e, e.Faults)
	e.startProcess()
	return e
}

// ID returns the backend server's id.
func (e *Engine) ID() fleet.BackendID { return e.config.ID }

// startProcess starts the next process. It returns false if the VM was reclaimed.
func (e *Engine) startProcess() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.reclaimed {
		return false
	}
	e.bootCount++
	e.proc = newProcess(e, fleet.BootID(fmt.Sprintf("%s-boot-%d", e.config.ID, e.bootCount)))
	return true
}

// Crash kills the process, which closes all connections and removes all replicas.
// After Config.RestartDelay a new process serves the same address.
func (e *Engine) Crash() {
	if !e.killProcess() {
		return
	}
	time.AfterFunc(e.config.RestartDelay, func() {
		if e.startProcess() {
			_ = e.Server.Restart()
		}
	})
}

// Reclaim kills the process as if the VM was reclaimed. No process starts again.
func (e *Engine) Reclaim() {
	e.mu.Lock()
	e.reclaimed = true
	e.mu.Unlock()
	e.killProcess()
}

// killProcess ends the current process and reports whether there was one. It
// removes the replicas before it closes the connections.
func (e *Engine) killProcess() bool {
	e.mu.Lock()
	p := e.proc
	e.proc = nil
	if p != nil {
		e.counts.Crashes++
		e.counts.Aborted += p.terminate()
		e.dropMemoryCache()
	}
	e.mu.Unlock()
	if p == nil {
		return false
	}
	e.Server.Close()
	return true
}

// dropMemoryCache turns weights cached in memory into weights cached on disk.
func (e *Engine) dropMemoryCache() {
	for c, locality := range e.locality {
		e.locality[c] = max(locality, fleet.LocalityDisk)
	}
}

// MarkLeaving records that the VM is listed as leaving from now on. The engine still
// accepts requests, but counts the late ones.
func (e *Engine) MarkLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leavingSince = time.Now()
}

// LateRequests returns the number of requests that arrived more than the grace
// time after MarkLeaving or after the first drain order.
func (e *Engine) LateRequests(grace time.Duration) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	late := 0
	for _, after := range e.arrivalsAfterLeaving {
		if after > grace {
			late++
		}
	}
	return late
}

// Counts returns a copy of the counters.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.updateUsage()
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

// Committed returns the memory in bytes that replicas and adapters occupy.
func (e *Engine) Committed() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.proc == nil {
		return 0
	}
	return e.proc.committed
}

// Report returns the current state of the engine, without lag.
func (e *Engine) Report() engine.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.proc == nil {
		return engine.Report{Backend: e.config.ID}
	}
	return e.proc.report()
}

// updateUsage adds the time since its last call to BusyTime and ReadyTime. It must
// be called with the lock held, before each change of replicas or requests.
func (e *Engine) updateUsage() {
	now := time.Now()
	elapsed := now.Sub(e.usageUpdatedAt)
	if e.usageUpdatedAt.IsZero() {
		elapsed = 0
	}
	e.usageUpdatedAt = now
	if e.proc == nil {
		return
	}
	if len(e.proc.requests) > 0 {
		e.counts.BusyTime += elapsed
	}
	if e.proc.hasReadyReplica() {
		e.counts.ReadyTime += elapsed
	}
}

// currentProcess returns the running process, nil between two boots.
func (e *Engine) currentProcess() *process {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.proc
}

// ServeHTTP implements http.Handler. docs/PROTOCOLS.md describes the protocol.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// loadTime returns the load time of the checkpoint at full speed and whether it is
// loaded from the weight store.
func (e *Engine) loadTime(c Checkpoint) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	remoteTime := e.config.Models[c.Model].LoadTime
	locality, cached := e.locality[c]
	switch {
	case !cached || locality == fleet.LocalityRemote:
		return remoteTime, true
	case locality == fleet.LocalityDisk:
		return time.Duration(float64(remoteTime) * diskLoadFactor), false
	}
	return time.Duration(float64(remoteTime) * memoryLoadFactor), false
}

// load simulates loading the checkpoint.
func (e *Engine) load(ctx context.Context, c Checkpoint) error {
	duration, remote := e.loadTime(c)
	if !remote {
		return fault.Sleep(ctx, duration)
	}
	return e.config.Weights.LoadModel(ctx, c.Model, duration)
}
