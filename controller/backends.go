package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/platform"
)

// modelVersion identifies one version of a model.
type modelVersion struct {
	model   fleet.ModelID
	version fleet.Version
}

// replacedBoot is a boot that was replaced by another.
type replacedBoot struct {
	boot       fleet.BootID
	replacedAt time.Time // time of the replacement; a report requested later proves that the boot still runs
}

// maxReplacedBoots is the maximum number of replaced boots remembered per
// backend server.
const maxReplacedBoots = 8

// backend is the state of one backend server.
type backend struct {
	record fleet.BackendServer
	vm     fleet.VM

	boot              fleet.BootID // empty until a report arrived in this term
	replacedBoots     []replacedBoot
	epochRaised       bool      // this boot accepts only orders of this term
	epochRaisedAt     time.Time // reports requested since then were made after the epoch was raised
	confirmedAt       time.Time // send time of the newest order whose response confirmed the epoch
	reconfirmAfter    time.Time // a confirmation by an order sent at or after this time is needed
	raiseSentAt       time.Time // when the last raise-epoch order was sent
	reportRequestedAt time.Time // when the last report was requested
	lastContact       time.Time // when the last report arrived
	measuredAt        time.Time // measurement time of the newest report
	reportedMemory    int64     // total memory, bytes; zero if not reported
	reportedDraining  bool      // the engine reports that it is draining
	departingSince    time.Time // when draining was first seen; zero if not draining
	openOrders        map[string]*openOrder
	weightLocality    map[modelVersion]fleet.Locality
	replicas          map[modelVersion]*replica
	sorted            []*replica                  // values of replicas, sorted by key
	loadBackoff       map[fleet.ModelID]time.Time // time until which the model is not loaded here
}

// replica is the state of one replica.
type replica struct {
	key              fleet.ReplicaKey
	state            fleet.ReplicaState
	memory           int64 // memory of the model, bytes
	reportedMemory   int64 // memory reported by the engine, with or without adapters, bytes
	slots            int
	reported         bool   // a report of this boot listed it
	orderID          string // load order; empty if not ordered in this term
	running          int
	waiting          int
	readyAt          time.Time
	lastUsed         time.Time
	draining         bool
	retentionExpired bool      // draining only because its retention ended
	drainingSince    time.Time // when draining began
	adapters         map[fleet.AdapterID]*adapter
}

// adapter is the state of one adapter on a replica.
type adapter struct {
	memory    int64         // bytes
	resident  bool          // the engine reports it as loaded
	version   fleet.Version // empty if another controller loaded it
	orderID   string        // load order; empty if not ordered in this term
	lastUsed  time.Time
	unloading bool // an unload order was created
}

func (r *replica) idle() bool { return r.running+r.waiting == 0 }

func (r *replica) residentAdapters() []fleet.AdapterID {
	var ids []fleet.AdapterID
	for id, a := range r.adapters {
		if a.resident && !a.unloading {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (r *replica) drain(now time.Time) {
	if !r.draining {
		r.draining = true
		r.drainingSince = now
	}
}

// committed returns the memory of the replica and its adapters, in bytes: the
// larger of the amounts in the release and in the engine's reports.
func (r *replica) committed() int64 {
	known, reportedMemory := r.memory, r.reportedMemory
	for _, a := range r.adapters {
		known += a.memory
		if !a.resident {
			reportedMemory += a.memory
		}
	}
	return max(known, reportedMemory)
}

func (b *backend) isEngine() bool { return b.record.Service == "" }

// reset drops everything that was learned in a term.
func (b *backend) reset() {
	b.replacedBoots = nil
	b.reportRequestedAt = time.Time{}
	b.raiseSentAt = time.Time{}
	b.lastContact = time.Time{}
	b.resetBoot("")
}

// resetBoot sets the boot and drops everything that holds only for one boot.
func (b *backend) resetBoot(boot fleet.BootID) {
	b.boot = boot
	b.epochRaised = false
	b.epochRaisedAt = time.Time{}
	b.confirmedAt = time.Time{}
	b.reconfirmAfter = time.Time{}
	b.measuredAt = time.Time{}
	b.reportedMemory = 0
	b.reportedDraining = false
	b.openOrders = map[string]*openOrder{}
	b.weightLocality = map[modelVersion]fleet.Locality{}
	b.replicas = map[modelVersion]*replica{}
	b.sorted = nil
	b.loadBackoff = map[fleet.ModelID]time.Time{}
}

func (b *backend) draining(stopping map[fleet.BackendID]bool) bool {
	return b.reportedDraining || b.record.Draining || b.vm.State != fleet.VMLive || stopping[b.record.ID]
}

// capacity returns the memory that may be committed, in bytes.
func (b *backend) capacity() int64 {
	if b.reportedMemory == 0 || b.vm.Memory != 0 && b.vm.Memory < b.reportedMemory {
		return b.vm.Memory
	}
	return b.reportedMemory
}

// locality returns how near to the backend server the weights are.
func (b *backend) locality(m fleet.ModelID, v fleet.Version) fleet.Locality {
	if weightLocality, ok := b.weightLocality[modelVersion{m, v}]; ok {
		return weightLocality
	}
	return fleet.LocalityRemote
}

func (b *backend) replicaCount(m fleet.ModelID) int {
	n := 0
	for key := range b.replicas {
		if key.model == m {
			n++
		}
	}
	return n
}

func (b *backend) inLoadBackoff(now time.Time, m fleet.ModelID) bool {
	until, ok := b.loadBackoff[m]
	if ok && !until.After(now) {
		delete(b.loadBackoff, m)
		return false
	}
	return ok
}

// SetBackends applies the platform's VM list. The time asOf is from the
// platform's clock; older lists are ignored. A VM missing from a newer list has
// been removed, and so has everything committed there.
func (c *Core) SetBackends(_ time.Time, rs []platform.VMRecord, asOf time.Time) {
	if asOf.Before(c.vmListTime) {
		return
	}
	c.vmListTime = asOf
	listed := map[fleet.BackendID]bool{}
	for _, r := range rs {
		if r.Backend.ID == "" || r.VM.State == fleet.VMRemoved || r.Backend.Cell != c.cell {
			continue
		}
		listed[r.Backend.ID] = true
		c.listBackend(r)
	}
	for _, b := range c.sorted {
		if !listed[b.record.ID] {
			c.dropBackend(b.record.ID)
		}
	}
	c.sortBackends()
}

func (c *Core) listBackend(r platform.VMRecord) {
	b, ok := c.backends[r.Backend.ID]
	if ok && b.vm.ID != r.VM.ID {
		c.dropBackend(r.Backend.ID)
		ok = false
	}
	if !ok {
		b = &backend{}
		b.reset()
		c.backends[r.Backend.ID] = b
	}
	b.record, b.vm = r.Backend, r.VM
}

func (c *Core) dropBackend(id fleet.BackendID) {
	b := c.backends[id]
	for _, r := range slices.Clone(b.sorted) {
		c.removeReplica(b, r)
	}
	c.closeOrders(id)
	delete(c.backends, id)
	delete(c.stopping, id)
}

func (c *Core) sortBackends() {
	c.sorted = c.sorted[:0]
	for _, b := range c.backends {
		c.sorted = append(c.sorted, b)
	}
	slices.SortFunc(c.sorted, func(a, b *backend) int { return cmp.Compare(a.record.ID, b.record.ID) })
}

// SetStopping sets the backend servers that an operator is stopping.
func (c *Core) SetStopping(_ time.Time, ids []fleet.BackendID) {
	clear(c.stopping)
	for _, id := range ids {
		c.stopping[id] = true
	}
}

// addReplica adds a replica to the tables.
func (c *Core) addReplica(b *backend, r *replica) {
	b.replicas[modelVersion{r.key.Model, r.key.Version}] = r
	i, _ := slices.BinarySearchFunc(b.sorted, r, compareReplicas)
	b.sorted = slices.Insert(b.sorted, i, r)
	at := c.placedOn[r.key.Model]
	if at == nil {
		at = map[fleet.BackendID]struct{}{}
		c.placedOn[r.key.Model] = at
	}
	at[b.record.ID] = struct{}{}
}

// removeReplica removes a replica that no longer exists from the tables.
func (c *Core) removeReplica(b *backend, r *replica) {
	delete(b.replicas, modelVersion{r.key.Model, r.key.Version})
	b.sorted = slices.DeleteFunc(b.sorted, func(other *replica) bool { return other == r })
	c.endLoad(b, r)
	for id, o := range b.openOrders {
		if o.replica == r {
			c.closeOrder(id)
		}
	}
	for id, a := range r.adapters {
		c.removeAdapter(r, id, a)
	}
	if b.replicaCount(r.key.Model) > 0 {
		return
	}
	at := c.placedOn[r.key.Model]
	delete(at, b.record.ID)
	if len(at) == 0 {
		delete(c.placedOn, r.key.Model)
	}
}

func (c *Core) removeAdapter(r *replica, id fleet.AdapterID, a *adapter) {
	delete(r.adapters, id)
	c.closeOrder(a.orderID)
	if c.budget != nil {
		c.budget.EndAdapter(a.orderID)
	}
}

// budgetID returns the id of a replica's load in the load budget.
func budgetID(key fleet.ReplicaKey) string {
	return string(key.Backend) + "/" + string(key.Boot) + "/" + string(key.Model) + "/" + string(key.Version)
}

func (c *Core) endLoad(_ *backend, r *replica) {
	if c.budget != nil {
		c.budget.EndLoad(budgetID(r.key))
	}
}
