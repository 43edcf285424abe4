package engine

import (
	"context"
	"fmt"
	"time"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
)

// handleOrder applies the order unless one with its id was applied before, and
// returns the state afterwards. It takes the engine's lock.
func (p *process) handleOrder(o engine.Order) (engine.Report, error) {
	p.engine.mu.Lock()
	defer p.engine.mu.Unlock()
	p.abortIfEnded()
	if p.applied[o.ID] {
		return p.report(), nil
	}
	if err := p.checkFencing(o); err != nil {
		return engine.Report{}, err
	}
	if err := p.applyOrder(o); err != nil {
		return engine.Report{}, err
	}
	p.applied[o.ID] = true
	p.appliedIDs = append(p.appliedIDs, o.ID)
	if len(p.appliedIDs) > maxReportedOrders {
		p.appliedIDs = p.appliedIDs[1:]
	}
	return p.report(), nil
}

// checkFencing refuses orders with an old epoch, for another boot, or expired, if
// Config.Fencing is set. It raises the epoch to that of an accepted order.
func (p *process) checkFencing(o engine.Order) error {
	if !p.engine.config.Fencing {
		return nil
	}
	switch {
	case o.Epoch < p.epoch:
		p.engine.counts.RefusedFenced++
		return fmt.Errorf("%w: epoch %d is below %d", engine.ErrFenced, o.Epoch, p.epoch)
	case o.Boot != "" && o.Boot != p.boot:
		return fmt.Errorf("%w: current boot is %s", engine.ErrWrongBoot, p.boot)
	case !o.ExpiresAt.IsZero() && time.Now().After(o.ExpiresAt):
		return engine.ErrExpired
	}
	p.epoch = o.Epoch
	return nil
}

func (p *process) applyOrder(o engine.Order) error {
	checkpoint := Checkpoint{Model: o.Model, Version: o.Version}
	switch o.Kind {
	case engine.OrderLoad:
		return p.startLoad(checkpoint, o.Memory)
	case engine.OrderUnload:
		p.startUnload(checkpoint)
	case engine.OrderLoadAdapter:
		return p.startAdapterLoad(checkpoint, o.Adapter, o.Memory)
	case engine.OrderUnloadAdapter:
		p.unloadAdapter(checkpoint, o.Adapter)
	case engine.OrderRaiseEpoch:
	case engine.OrderDrain:
		p.draining = true
		if p.engine.leavingSince.IsZero() {
			p.engine.leavingSince = time.Now()
		}
	case engine.OrderSetRole:
		p.role = o.Role
	default:
		return fmt.Errorf("%w: unknown order kind %q", engine.ErrRejected, o.Kind)
	}
	return nil
}

func (p *process) startLoad(c Checkpoint, memory int64) error {
	if p.draining {
		return engine.ErrDraining
	}
	if p.replicas[c] != nil {
		return nil
	}
	spec, known := p.engine.config.Models[c.Model]
	if !known {
		return fmt.Errorf("%w: unknown model %q", engine.ErrRejected, c.Model)
	}
	if !p.commitMemory(memory) {
		return engine.ErrNoMemory
	}
	p.engine.config.FleetStats.loadStarted(c.Model)
	r := &replica{
		checkpoint:       c,
		state:            fleet.ReplicaLoading,
		memory:           memory,
		loadStart:        time.Now(),
		expectedLoadTime: spec.LoadTime,
		adapters:         map[fleet.AdapterID]*adapter{},
		batch:            newBatch(spec.Slots),
	}
	p.replicas[c] = r
	go p.finishLoad(r)
	return nil
}

// finishLoad waits without the lock until the weights are loaded and then makes the
// replica ready. It removes the replica if the load failed or an unload order
// arrived meanwhile.
func (p *process) finishLoad(r *replica) {
	err := p.engine.load(p.ctx, r.checkpoint)
	p.engine.mu.Lock()
	defer p.engine.mu.Unlock()
	if p.ctx.Err() != nil {
		return
	}
	p.engine.updateUsage()
	if err != nil {
		p.removeReplica(r)
		return
	}
	// The weights are now cached on disk, or still in memory.
	p.engine.locality[r.checkpoint] = min(fleet.LocalityDisk, p.localityOf(r.checkpoint))
	if r.state == fleet.ReplicaUnloading {
		p.removeReplica(r)
		return
	}
	r.state = fleet.ReplicaReady
}

// localityOf returns where the weights of the checkpoint are.
func (p *process) localityOf(c Checkpoint) fleet.Locality {
	if locality, ok := p.engine.locality[c]; ok {
		return locality
	}
	return fleet.LocalityRemote
}

// startUnload lets requests in progress finish before the replica is removed. A
// replica that is still loading is removed when its load ends.
func (p *process) startUnload(c Checkpoint) {
	r := p.replicas[c]
	if r == nil {
		return
	}
	p.engine.updateUsage()
	loading := r.state == fleet.ReplicaLoading
	r.state = fleet.ReplicaUnloading
	if !loading && r.running == 0 {
		p.removeReplica(r)
	}
}

// removeReplica removes the replica and frees its memory. Its weights stay cached
// locally.
func (p *process) removeReplica(r *replica) {
	if p.replicas[r.checkpoint] != r {
		return
	}
	delete(p.replicas, r.checkpoint)
	p.committed -= r.memory
	for _, a := range r.adapters {
		p.committed -= a.memory
	}
	p.engine.config.FleetStats.replicaRemoved(r.checkpoint.Model)
}

func (p *process) startAdapterLoad(c Checkpoint, id fleet.AdapterID, memory int64) error {
	r := p.replicas[c]
	if c.Version == "" {
		r = p.newestReady(c.Model)
	}
	if r == nil || r.state != fleet.ReplicaReady {
		return fmt.Errorf("%w: %s", engine.ErrNotLoaded, c.Model)
	}
	if r.adapters[id] != nil {
		return nil
	}
	if !p.commitMemory(memory) {
		return engine.ErrNoMemory
	}
	a := &adapter{memory: memory}
	r.adapters[id] = a
	go p.finishAdapterLoad(p.ctx, r, id, a)
	return nil
}

// finishAdapterLoad waits without the lock until the adapter is loaded and then
// makes it ready, or removes it if the load failed.
func (p *process) finishAdapterLoad(ctx context.Context, r *replica, id fleet.AdapterID, a *adapter) {
	err := p.engine.config.Weights.LoadAdapter(ctx, adapterLoadTime(id))
	p.engine.mu.Lock()
	defer p.engine.mu.Unlock()
	if r.adapters[id] != a {
		return
	}
	if err != nil {
		delete(r.adapters, id)
		p.committed -= a.memory
		return
	}
	a.ready = true
}

func (p *process) unloadAdapter(c Checkpoint, id fleet.AdapterID) {
	r := p.replicas[c]
	if c.Version == "" {
		r = p.newestReady(c.Model)
	}
	if r == nil || r.adapters[id] == nil {
		return
	}
	p.committed -= r.adapters[id].memory
	delete(r.adapters, id)
}
