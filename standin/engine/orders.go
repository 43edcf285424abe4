package engine

import (
	"context"
	"fmt"
	"time"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
)

// carryOut applies an order once and returns the state after it. It is called
// without the lock.
func (p *process) carryOut(o engine.Order) (engine.Report, error) {
	p.engine.mu.Lock()
	defer p.engine.mu.Unlock()
	p.mustLive()
	if p.applied[o.ID] {
		return p.report(), nil
	}
	if err := p.check(o); err != nil {
		return engine.Report{}, err
	}
	if err := p.apply(o); err != nil {
		return engine.Report{}, err
	}
	p.applied[o.ID] = true
	p.order = append(p.order, o.ID)
	if len(p.order) > keptOrderIDs {
		p.order = p.order[1:]
	}
	return p.report(), nil
}

// check refuses outdated orders, at engines that do so.
func (p *process) check(o engine.Order) error {
	if !p.engine.config.Fencing {
		return nil
	}
	switch {
	case o.Epoch < p.epoch:
		p.engine.counts.RefusedFenced++
		return fmt.Errorf("%w: %d is below %d", engine.ErrFenced, o.Epoch, p.epoch)
	case o.Boot != "" && o.Boot != p.boot:
		return fmt.Errorf("%w: this is %s", engine.ErrWrongBoot, p.boot)
	case !o.ExpiresAt.IsZero() && time.Now().After(o.ExpiresAt):
		return engine.ErrExpired
	}
	p.epoch = o.Epoch
	return nil
}

func (p *process) apply(o engine.Order) error {
	checkpoint := Checkpoint{Model: o.Model, Version: o.Version}
	switch o.Kind {
	case engine.OrderLoad:
		return p.startLoad(checkpoint, o.Memory)
	case engine.OrderUnload:
		p.startUnload(checkpoint)
	case engine.OrderLoadAdapter:
		return p.startAdapter(checkpoint, o.Adapter, o.Memory)
	case engine.OrderUnloadAdapter:
		p.dropAdapter(checkpoint, o.Adapter)
	case engine.OrderRaiseEpoch:
	case engine.OrderDrain:
		p.draining = true
		if p.engine.leavingSince.IsZero() {
			p.engine.leavingSince = time.Now()
		}
	case engine.OrderSetRole:
		p.role = o.Role
	default:
		return fmt.Errorf("%w: unknown kind of order %q", engine.ErrRejected, o.Kind)
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
	if !p.commit(memory) {
		return engine.ErrNoMemory
	}
	p.engine.config.Ledger.loadBegun(c.Model)
	r := &replica{
		checkpoint: c,
		state:      fleet.ReplicaLoading,
		memory:     memory,
		loadBegan:  time.Now(),
		expected:   spec.LoadTime,
		adapters:   map[fleet.AdapterID]*adapter{},
		batch:      newBatch(spec.Slots),
	}
	p.replicas[c] = r
	go p.finishLoad(r)
	return nil
}

// finishLoad runs without the lock until the weights have arrived.
func (p *process) finishLoad(r *replica) {
	err := p.engine.load(p.ctx, r.checkpoint)
	p.engine.mu.Lock()
	defer p.engine.mu.Unlock()
	if p.ctx.Err() != nil {
		return
	}
	p.engine.reckonOccupancy()
	if err != nil {
		p.remove(r)
		return
	}
	p.engine.near[r.checkpoint] = min(fleet.NearDisk, p.nearness(r.checkpoint))
	if r.state == fleet.ReplicaUnloading {
		p.remove(r)
		return
	}
	r.state = fleet.ReplicaReady
}

func (p *process) nearness(c Checkpoint) fleet.Nearness {
	if near, ok := p.engine.near[c]; ok {
		return near
	}
	return fleet.NearRemote
}

// startUnload lets running requests finish. A replica that still loads goes
// when its load is over.
func (p *process) startUnload(c Checkpoint) {
	r := p.replicas[c]
	if r == nil {
		return
	}
	p.engine.reckonOccupancy()
	loading := r.state == fleet.ReplicaLoading
	r.state = fleet.ReplicaUnloading
	if !loading && r.running == 0 {
		p.remove(r)
	}
}

// remove frees the replica's memory. Its weights stay near.
func (p *process) remove(r *replica) {
	if p.replicas[r.checkpoint] != r {
		return
	}
	delete(p.replicas, r.checkpoint)
	p.committed -= r.memory
	for _, a := range r.adapters {
		p.committed -= a.memory
	}
	p.engine.config.Ledger.replicaGone(r.checkpoint.Model)
}

func (p *process) startAdapter(c Checkpoint, id fleet.AdapterID, memory int64) error {
	r := p.replicas[c]
	if c.Version == "" {
		r = p.newest(c.Model)
	}
	if r == nil || r.state != fleet.ReplicaReady {
		return fmt.Errorf("%w: %s", engine.ErrNotLoaded, c.Model)
	}
	if r.adapters[id] != nil {
		return nil
	}
	if !p.commit(memory) {
		return engine.ErrNoMemory
	}
	a := &adapter{memory: memory}
	r.adapters[id] = a
	go p.finishAdapter(p.ctx, r, id, a)
	return nil
}

// finishAdapter runs without the lock until the adapter has arrived.
func (p *process) finishAdapter(ctx context.Context, r *replica, id fleet.AdapterID, a *adapter) {
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

func (p *process) dropAdapter(c Checkpoint, id fleet.AdapterID) {
	r := p.replicas[c]
	if c.Version == "" {
		r = p.newest(c.Model)
	}
	if r == nil || r.adapters[id] == nil {
		return
	}
	p.committed -= r.adapters[id].memory
	delete(r.adapters, id)
}
