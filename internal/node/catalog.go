package node

import (
	"slices"
	"sync/atomic"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/internal/entry"
	"github.com/redwingnotch/redwingnotch/invariant"
	"github.com/redwingnotch/redwingnotch/release"
)

// inForce is one version of the release. It does not change.
type inForce struct {
	version  uint64
	models   []fleet.Model
	adapters []fleet.Adapter
	ranks    []release.RankSettings // that override the node's own settings
	byTarget map[fleet.Target]standing
	names    []string
}

type standing struct {
	model    fleet.Model
	standing entry.Standing
}

// catalog is the release in force at this node. Safe for concurrent use.
type catalog struct {
	current  atomic.Pointer[inForce]
	standing atomic.Uint32 // a release.Standing
}

func newCatalog() *catalog {
	c := &catalog{}
	c.current.Store(&inForce{})
	return c
}

// set puts a version in force. Versions must rise.
func (c *catalog) set(version uint64, models []fleet.Model, adapters []fleet.Adapter, ranks []release.RankSettings) {
	before := c.current.Load().version
	invariant.Check(version > before, invariant.VersionMonotonic, "release %d after %d", version, before)
	f := &inForce{version: version, models: models, adapters: adapters, ranks: ranks, byTarget: make(map[fleet.Target]standing)}
	byID := make(map[fleet.ModelID]fleet.Model, len(models))
	for _, m := range models {
		byID[m.ID] = m
		f.add(fleet.Target{Model: m.ID}, m, m.Withdrawn)
	}
	for _, a := range adapters {
		m, known := byID[a.Model]
		if known {
			f.add(fleet.Target{Model: a.Model, Adapter: a.ID}, m, m.Withdrawn || a.Withdrawn)
		}
	}
	slices.Sort(f.names)
	c.current.Store(f)
}

func (f *inForce) add(t fleet.Target, m fleet.Model, withdrawn bool) {
	if withdrawn {
		f.byTarget[t] = standing{m, entry.StandingWithdrawn}
		return
	}
	f.byTarget[t] = standing{m, entry.StandingInForce}
	f.names = append(f.names, t.String())
}

// Lookup implements entry.Catalog.
func (c *catalog) Lookup(t fleet.Target) (fleet.Model, entry.Standing) {
	s := c.current.Load().byTarget[t]
	return s.model, s.standing
}

// Names implements entry.Catalog.
func (c *catalog) Names() []string { return c.current.Load().names }

// Version implements entry.Catalog. It is zero while the node may not serve by
// what it knows.
func (c *catalog) Version() uint64 {
	if s := c.getStanding(); s == release.StandingUnknown || s == release.StandingExpired {
		return 0
	}
	return c.current.Load().version
}

func (c *catalog) setStanding(s release.Standing) { c.standing.Store(uint32(s)) }
func (c *catalog) getStanding() release.Standing  { return release.Standing(c.standing.Load()) }
