package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/platform"
)

// modelVersion is one version of a model.
type modelVersion struct {
	model   fleet.ModelID
	version fleet.Version
}

// retiredBoot is a boot that was replaced by another.
type retiredBoot struct {
	boot fleet.BootID
	at   time.Time // reports requested later prove that it lives after all
}

// maxRetiredBoots bounds the memory of past boots of one backend server.
const maxRetiredBoots = 8

// backend is one row of the table of backend servers.
type backend struct {
	row fleet.BackendServer
	vm  fleet.VM

	boot       fleet.BootID // empty until a report was requested in this office
	retired    []retiredBoot
	raised     bool      // takes orders of this office only, at this boot
	raisedAt   time.Time // reports requested since then were made after the raise
	readAt     time.Time // when the newest answered raise was sent
	recheckAt  time.Time // a raise sent since then must be answered
	raiseSent  time.Time // last raise
	requestAt  time.Time // when the last report was requested
	answeredAt time.Time // when the last report came
	measuredAt time.Time // of the newest report
	memory     int64     // as reported, bytes
	leaving    bool      // as reported
	drainSince time.Time // when it was first seen to leave
	open       map[string]*openOrder
	near       map[modelVersion]fleet.Nearness
	replicas   map[modelVersion]*replica
	rows       []*replica                  // of replicas, sorted
	avoid      map[fleet.ModelID]time.Time // no load of the model until then
}

// replica is one row of the table of replicas.
type replica struct {
	key       fleet.ReplicaKey
	state     fleet.ReplicaState
	memory    int64 // of the model
	reported  int64 // as the engine reports it, with or without its adapters
	slots     int
	seen      bool // in a report of this boot
	orderID   string
	running   int
	waiting   int
	readyAt   time.Time
	lastUsed  time.Time
	draining  bool
	expired   bool      // drains only because its retention ended
	drainedAt time.Time // when draining began
	adapters  map[fleet.AdapterID]*adapter
}

// adapter is one adapter at a replica.
type adapter struct {
	memory   int64
	resident bool
	version  fleet.Version // empty if another controller loaded it
	orderID  string        // open load order
	lastUsed time.Time
	leaving  bool // unload ordered
}

func (r *replica) idle() bool { return r.running+r.waiting == 0 }

func (r *replica) residentAdapters() []fleet.AdapterID {
	var ids []fleet.AdapterID
	for id, a := range r.adapters {
		if a.resident && !a.leaving {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (r *replica) drain(now time.Time) {
	if !r.draining {
		r.draining = true
		r.drainedAt = now
	}
}

// committed returns the memory of the replica and its adapters, in bytes: the
// larger of what the tables and the engine say.
func (r *replica) committed() int64 {
	known, reported := r.memory, r.reported
	for _, a := range r.adapters {
		known += a.memory
		if !a.resident {
			reported += a.memory
		}
	}
	return max(known, reported)
}

func (b *backend) isEngine() bool { return b.row.Service == "" }

// forget drops all that was learnt in an office.
func (b *backend) forget() {
	b.retired = nil
	b.requestAt = time.Time{}
	b.raiseSent = time.Time{}
	b.answeredAt = time.Time{}
	b.restart("")
}

// restart drops all that is true of one boot only.
func (b *backend) restart(boot fleet.BootID) {
	b.boot = boot
	b.raised = false
	b.raisedAt = time.Time{}
	b.readAt = time.Time{}
	b.recheckAt = time.Time{}
	b.measuredAt = time.Time{}
	b.memory = 0
	b.leaving = false
	b.open = map[string]*openOrder{}
	b.near = map[modelVersion]fleet.Nearness{}
	b.replicas = map[modelVersion]*replica{}
	b.rows = nil
	b.avoid = map[fleet.ModelID]time.Time{}
}

func (b *backend) draining(stopping map[fleet.BackendID]bool) bool {
	return b.leaving || b.row.Draining || b.vm.State != fleet.VMLive || stopping[b.row.ID]
}

// capacity returns the memory that may be committed, in bytes.
func (b *backend) capacity() int64 {
	if b.memory == 0 || b.vm.Memory != 0 && b.vm.Memory < b.memory {
		return b.vm.Memory
	}
	return b.memory
}

// nearness returns where the weights are, seen from the backend server.
func (b *backend) nearness(m fleet.ModelID, v fleet.Version) fleet.Nearness {
	if near, ok := b.near[modelVersion{m, v}]; ok {
		return near
	}
	return fleet.NearRemote
}

func (b *backend) holds(m fleet.ModelID) int {
	n := 0
	for key := range b.replicas {
		if key.model == m {
			n++
		}
	}
	return n
}

func (b *backend) avoids(now time.Time, m fleet.ModelID) bool {
	until, ok := b.avoid[m]
	if ok && !until.After(now) {
		delete(b.avoid, m)
		return false
	}
	return ok
}

// SetBackends takes in the platform's VM list as of a time of the platform.
// Older lists are ignored. A VM that a newer list no longer names is gone, and
// with it all that was committed there.
func (c *Core) SetBackends(_ time.Time, rs []platform.VMRecord, asOf time.Time) {
	if asOf.Before(c.listAsOf) {
		return
	}
	c.listAsOf = asOf
	listed := map[fleet.BackendID]bool{}
	for _, r := range rs {
		if r.Backend.ID == "" || r.VM.State == fleet.VMGone || r.Backend.Cell != c.cell {
			continue
		}
		listed[r.Backend.ID] = true
		c.listBackend(r)
	}
	for _, b := range c.rows {
		if !listed[b.row.ID] {
			c.dropBackend(b.row.ID)
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
		b.forget()
		c.backends[r.Backend.ID] = b
	}
	b.row, b.vm = r.Backend, r.VM
}

func (c *Core) dropBackend(id fleet.BackendID) {
	b := c.backends[id]
	for _, r := range slices.Clone(b.rows) {
		c.removeReplica(b, r)
	}
	c.closeOrdersOf(id)
	delete(c.backends, id)
	delete(c.stopping, id)
}

func (c *Core) sortBackends() {
	c.rows = c.rows[:0]
	for _, b := range c.backends {
		c.rows = append(c.rows, b)
	}
	slices.SortFunc(c.rows, func(a, b *backend) int { return cmp.Compare(a.row.ID, b.row.ID) })
}

// SetStopping names the backend servers that an operator stops as planned.
func (c *Core) SetStopping(_ time.Time, ids []fleet.BackendID) {
	clear(c.stopping)
	for _, id := range ids {
		c.stopping[id] = true
	}
}

// addReplica enters a replica into the tables.
func (c *Core) addReplica(b *backend, r *replica) {
	b.replicas[modelVersion{r.key.Model, r.key.Version}] = r
	i, _ := slices.BinarySearchFunc(b.rows, r, compareReplicas)
	b.rows = slices.Insert(b.rows, i, r)
	at := c.placed[r.key.Model]
	if at == nil {
		at = map[fleet.BackendID]struct{}{}
		c.placed[r.key.Model] = at
	}
	at[b.row.ID] = struct{}{}
}

// removeReplica takes a replica that is known to be gone out of the tables.
func (c *Core) removeReplica(b *backend, r *replica) {
	delete(b.replicas, modelVersion{r.key.Model, r.key.Version})
	b.rows = slices.DeleteFunc(b.rows, func(other *replica) bool { return other == r })
	c.endLoad(b, r)
	for id, o := range b.open {
		if o.replica == r {
			c.closeOrder(id)
		}
	}
	for id, a := range r.adapters {
		c.removeAdapter(r, id, a)
	}
	if b.holds(r.key.Model) > 0 {
		return
	}
	at := c.placed[r.key.Model]
	delete(at, b.row.ID)
	if len(at) == 0 {
		delete(c.placed, r.key.Model)
	}
}

func (c *Core) removeAdapter(r *replica, id fleet.AdapterID, a *adapter) {
	delete(r.adapters, id)
	c.closeOrder(a.orderID)
	if c.budget != nil {
		c.budget.EndAdapter(a.orderID)
	}
}

// budgetID names the load of a replica in the load budget.
func budgetID(key fleet.ReplicaKey) string {
	return string(key.Backend) + "/" + string(key.Boot) + "/" + string(key.Model) + "/" + string(key.Version)
}

func (c *Core) endLoad(_ *backend, r *replica) {
	if c.budget != nil {
		c.budget.EndLoad(budgetID(r.key))
	}
}
