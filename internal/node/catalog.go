package node

import (
	"slices"
	"sync/atomic"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/internal/entry"
	"github.com/redwingnotch/redwingnotch/invariant"
	"github.com/redwingnotch/redwingnotch/release"
)

// releaseSnapshot is one version of the release. It is immutable.
type releaseSnapshot struct {
	version     uint64
	models      []fleet.Model
	adapters    []fleet.Adapter
	ranks       []release.RankSettings // overrides of the node's own settings
	byTarget    map[fleet.Target]targetStatus
	targetNames []string // names of the targets in force, sorted
}

// targetStatus is a target's model and whether the target is in force.
type targetStatus struct {
	model        fleet.Model
	targetStatus entry.TargetState
}

// catalog holds the release in force at this node. It is safe for concurrent use.
type catalog struct {
	current   atomic.Pointer[releaseSnapshot]
	syncState atomic.Uint32 // sync state of the node, a release.SyncState
}

func newCatalog() *catalog {
	c := &catalog{}
	c.current.Store(&releaseSnapshot{})
	return c
}

// set puts a version in force. Each call must pass a higher version than the last.
func (c *catalog) set(version uint64, models []fleet.Model, adapters []fleet.Adapter, ranks []release.RankSettings) {
	before := c.current.Load().version
	invariant.Check(version > before, invariant.VersionMonotonic, "release version %d set after version %d", version, before)
	s := &releaseSnapshot{version: version, models: models, adapters: adapters, ranks: ranks, byTarget: make(map[fleet.Target]targetStatus)}
	byID := make(map[fleet.ModelID]fleet.Model, len(models))
	for _, m := range models {
		byID[m.ID] = m
		s.add(fleet.Target{Model: m.ID}, m, m.Withdrawn)
	}
	for _, a := range adapters {
		m, known := byID[a.Model]
		if known {
			s.add(fleet.Target{Model: a.Model, Adapter: a.ID}, m, m.Withdrawn || a.Withdrawn)
		}
	}
	slices.Sort(s.targetNames)
	c.current.Store(s)
}

func (s *releaseSnapshot) add(t fleet.Target, m fleet.Model, withdrawn bool) {
	if withdrawn {
		s.byTarget[t] = targetStatus{m, entry.TargetWithdrawn}
		return
	}
	s.byTarget[t] = targetStatus{m, entry.TargetInForce}
	s.targetNames = append(s.targetNames, t.String())
}

// Lookup implements entry.Catalog.
func (c *catalog) Lookup(t fleet.Target) (fleet.Model, entry.TargetState) {
	s := c.current.Load().byTarget[t]
	return s.model, s.targetStatus
}

// Names implements entry.Catalog.
func (c *catalog) Names() []string { return c.current.Load().targetNames }

// Version implements entry.Catalog. It returns zero while the sync state is unknown or
// expired, as the node may not serve requests then.
func (c *catalog) Version() uint64 {
	if s := c.getSyncState(); s == release.SyncUnknown || s == release.SyncExpired {
		return 0
	}
	return c.current.Load().version
}

func (c *catalog) setSyncState(s release.SyncState) { c.syncState.Store(uint32(s)) }
func (c *catalog) getSyncState() release.SyncState  { return release.SyncState(c.syncState.Load()) }
