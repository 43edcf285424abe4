// Package release holds the operators' release notes and the configuration
// that they make up: which models and adapters are in service, at which
// version, with how many replicas.
//
// A note is parsed and checked with all findings reported at once, merged into
// the state in force, and published by one conditional write. Nodes follow by
// differences; Replica holds the logic of one node and never goes back to a
// lower version.
package release

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/invariant"
)

// Errors of Apply.
var (
	ErrStale = errors.New("difference is not newer than the state")
	ErrGap   = errors.New("difference does not follow on the state")
)

// CellReplicas is a model's replica limit in one cell.
type CellReplicas struct {
	Cell  fleet.CellID
	Count int
}

// Model is one row of the state.
type Model struct {
	ID          fleet.ModelID
	Version     fleet.Version
	Replicas    []CellReplicas // ordered by cell; cells not listed have none
	MemoryBytes int64
	LoadTime    time.Duration // full milliseconds
	Slots       int
	Ranks       []fleet.Rank // ordered; empty allows all
	WithdrawnIn uint64       // version that withdrew it; zero if in service
}

// AdapterKey names an adapter.
type AdapterKey struct {
	Model fleet.ModelID
	ID    fleet.AdapterID
}

// Adapter is one row of the state.
type Adapter struct {
	AdapterKey
	Version     fleet.Version
	MemoryBytes int64
	WithdrawnIn uint64 // version that withdrew it; zero if in service
}

// RankSettings override the settings of one rank.
type RankSettings struct {
	Rank   fleet.Rank
	Target time.Duration // until the first token; full milliseconds; zero if not overridden
	Floor  float64       // share of the slots kept during an overload, 0 to 1
	Worth  float64       // of one request answered in time
}

// State is the whole configuration at one version. It is not safe for
// concurrent use, also for reading.
type State struct {
	Version    uint64
	AcceptedAt time.Time
	Operator   string
	models     map[fleet.ModelID]Model
	adapters   map[AdapterKey]Adapter
	ranks      map[fleet.Rank]RankSettings

	sortedAdapterKeys []AdapterKey // of adapters, sorted; nil if it must be made anew
}

// Difference leads from the state at Version-1 to the state at Version. Rows
// replace those of the same name.
type Difference struct {
	Version           uint64
	Operator          string
	Writer            string // unique id of the write that published it
	Title             string
	AcceptedAt        time.Time
	Models            []Model
	Adapters          []Adapter
	Ranks             []RankSettings
	ForgottenModels   []fleet.ModelID
	ForgottenAdapters []AdapterKey
}

// NewState returns the empty state at version zero.
func NewState() *State {
	return &State{
		models:   map[fleet.ModelID]Model{},
		adapters: map[AdapterKey]Adapter{},
		ranks:    map[fleet.Rank]RankSettings{},
	}
}

// Clone returns a copy that shares nothing that changes.
func (s *State) Clone() *State {
	c := *s
	c.models = maps.Clone(s.models)
	c.adapters = maps.Clone(s.adapters)
	c.ranks = maps.Clone(s.ranks)
	c.sortedAdapterKeys = slices.Clone(s.sortedAdapterKeys)
	return &c
}

// Model returns the row of a model, withdrawn ones included.
func (s *State) Model(id fleet.ModelID) (Model, bool) {
	m, ok := s.models[id]
	return m, ok
}

// Adapter returns the row of an adapter, withdrawn ones included.
func (s *State) Adapter(key AdapterKey) (Adapter, bool) {
	a, ok := s.adapters[key]
	return a, ok
}

// Counts returns the number of models and adapters, withdrawn ones included.
func (s *State) Counts() (models, adapters int) { return len(s.models), len(s.adapters) }

// Models returns the table of models as seen by one cell, ordered by id. A
// model without replicas in the cell has a limit of zero.
func (s *State) Models(cell fleet.CellID) []fleet.Model {
	rows := make([]fleet.Model, 0, len(s.models))
	for _, m := range s.sortedModels() {
		rows = append(rows, fleet.Model{
			ID: m.ID, Version: m.Version, MaxReplicas: m.replicasIn(cell), MemoryBytes: m.MemoryBytes,
			LoadTime: m.LoadTime, Slots: m.Slots, Withdrawn: m.WithdrawnIn != 0, AllowedRanks: m.Ranks,
		})
	}
	return rows
}

// Adapters returns the table of adapters of models that have replicas in the
// cell, ordered by model and id.
func (s *State) Adapters(cell fleet.CellID) []fleet.Adapter {
	var rows []fleet.Adapter
	for _, a := range s.sortedAdapters() {
		if s.models[a.Model].replicasIn(cell) == 0 {
			continue
		}
		rows = append(rows, fleet.Adapter{
			Model: a.Model, ID: a.ID, Version: a.Version, MemoryBytes: a.MemoryBytes, Withdrawn: a.WithdrawnIn != 0,
		})
	}
	return rows
}

// Ranks returns the overridden rank settings, most urgent first.
func (s *State) Ranks() []RankSettings {
	rows := slices.Collect(maps.Values(s.ranks))
	slices.SortFunc(rows, func(a, b RankSettings) int { return cmp.Compare(a.Rank, b.Rank) })
	return rows
}

func (m Model) replicasIn(cell fleet.CellID) int {
	for _, r := range m.Replicas {
		if r.Cell == cell {
			return r.Count
		}
	}
	return 0
}

func (s *State) sortedModels() []Model {
	rows := slices.Collect(maps.Values(s.models))
	slices.SortFunc(rows, func(a, b Model) int { return cmp.Compare(a.ID, b.ID) })
	return rows
}

func (s *State) sortedAdapters() []Adapter {
	if s.sortedAdapterKeys == nil {
		s.sortedAdapterKeys = slices.SortedFunc(maps.Keys(s.adapters), compareAdapterKeys)
	}
	rows := make([]Adapter, 0, len(s.sortedAdapterKeys))
	for _, key := range s.sortedAdapterKeys {
		rows = append(rows, s.adapters[key])
	}
	return rows
}

// maxSortedInserts is the number of new rows up to which they are put in order one by
// one.
const maxSortedInserts = 64

// putAdapters replaces and adds rows.
func (s *State) putAdapters(rows []Adapter) {
	if len(rows) > maxSortedInserts {
		s.sortedAdapterKeys = nil
	}
	for _, a := range rows {
		if _, known := s.adapters[a.AdapterKey]; !known && s.sortedAdapterKeys != nil {
			at, _ := slices.BinarySearchFunc(s.sortedAdapterKeys, a.AdapterKey, compareAdapterKeys)
			s.sortedAdapterKeys = slices.Insert(s.sortedAdapterKeys, at, a.AdapterKey)
		}
		s.adapters[a.AdapterKey] = a
	}
}

// deleteAdapters drops rows.
func (s *State) deleteAdapters(keys []AdapterKey) {
	if len(keys) == 0 {
		return
	}
	s.sortedAdapterKeys = nil
	for _, key := range keys {
		delete(s.adapters, key)
	}
}

func compareAdapterKeys(a, b AdapterKey) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.ID, b.ID))
}

// Apply brings the state to the difference's version. It fails with ErrStale
// or ErrGap and changes nothing if the difference does not follow.
func (s *State) Apply(d *Difference) error {
	if d.Version <= s.Version {
		return fmt.Errorf("version %d on %d: %w", d.Version, s.Version, ErrStale)
	}
	if d.Version != s.Version+1 {
		return fmt.Errorf("version %d on %d: %w", d.Version, s.Version, ErrGap)
	}
	for _, m := range d.Models {
		s.models[m.ID] = m
	}
	s.putAdapters(d.Adapters)
	for _, r := range d.Ranks {
		s.ranks[r.Rank] = r
	}
	for _, id := range d.ForgottenModels {
		delete(s.models, id)
	}
	s.deleteAdapters(d.ForgottenAdapters)
	s.setVersion(d.Version, d.AcceptedAt, d.Operator)
	return nil
}

// setVersion asserts that the version rises.
func (s *State) setVersion(v uint64, at time.Time, operator string) {
	invariant.Check(v > s.Version, invariant.VersionMonotonic, "state at %d set to %d", s.Version, v)
	s.Version = v
	s.AcceptedAt = at
	s.Operator = operator
}
