// Package release implements release notes and the configuration that results
// from them: which models and adapters are in service, at which version, and with
// how many replicas.
//
// A note is parsed and validated, with all findings reported at once, merged into
// the state in force, and published by one conditional write. Nodes fetch and
// apply the differences. Follower implements this for one node, without I/O; its
// version never decreases.
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

// Errors of State.Apply.
var (
	ErrStale = errors.New("difference is not newer than the state")
	ErrGap   = errors.New("difference skips a version")
)

// CellReplicas is the replica limit of a model in one cell.
type CellReplicas struct {
	Cell  fleet.CellID
	Count int
}

// Model is the configuration of one model.
type Model struct {
	ID          fleet.ModelID
	Version     fleet.Version
	Replicas    []CellReplicas // ordered by cell; the limit of other cells is zero
	MemoryBytes int64
	LoadTime    time.Duration // time to load one replica from the weight store at full speed; whole milliseconds
	Slots       int           // requests that one replica runs at once
	Ranks       []fleet.Rank  // ranks that may use the model, most urgent first; empty allows all
	WithdrawnIn uint64        // version that withdrew the model; zero if in service
}

// AdapterKey identifies an adapter.
type AdapterKey struct {
	Model fleet.ModelID
	ID    fleet.AdapterID
}

// Adapter is the configuration of one adapter.
type Adapter struct {
	AdapterKey
	Version     fleet.Version
	MemoryBytes int64
	WithdrawnIn uint64 // version that withdrew the adapter; zero if in service
}

// RankSettings override a node's own settings of one rank.
type RankSettings struct {
	Rank   fleet.Rank
	Target time.Duration // target time to the first token; whole milliseconds; zero if not overridden
	Floor  float64       // share of the slots reserved during an overload, 0 to 1
	Worth  float64       // worth of one request that completes in time
}

// State is the whole configuration at one version. It is not safe for concurrent
// use, not even for reads, as these may sort sortedAdapterKeys.
type State struct {
	Version    uint64
	AcceptedAt time.Time
	Operator   string
	models     map[fleet.ModelID]Model
	adapters   map[AdapterKey]Adapter
	ranks      map[fleet.Rank]RankSettings

	sortedAdapterKeys []AdapterKey // keys of adapters; nil if they must be sorted again
}

// Difference is the change from the state at Version-1 to the state at Version.
// Each row replaces the row of the same model, adapter or rank.
type Difference struct {
	Version           uint64
	Operator          string
	Writer            string // unique ID of the write that published the difference
	Title             string
	AcceptedAt        time.Time
	Models            []Model
	Adapters          []Adapter
	Ranks             []RankSettings
	ForgottenModels   []fleet.ModelID // withdrawn models to delete from the state
	ForgottenAdapters []AdapterKey    // withdrawn adapters to delete from the state
}

// NewState returns an empty state at version zero.
func NewState() *State {
	return &State{
		models:   map[fleet.ModelID]Model{},
		adapters: map[AdapterKey]Adapter{},
		ranks:    map[fleet.Rank]RankSettings{},
	}
}

// Clone returns a copy that can be changed independently.
func (s *State) Clone() *State {
	c := *s
	c.models = maps.Clone(s.models)
	c.adapters = maps.Clone(s.adapters)
	c.ranks = maps.Clone(s.ranks)
	c.sortedAdapterKeys = slices.Clone(s.sortedAdapterKeys)
	return &c
}

// Model returns the configuration of a model, including a withdrawn one.
func (s *State) Model(id fleet.ModelID) (Model, bool) {
	m, ok := s.models[id]
	return m, ok
}

// Adapter returns the configuration of an adapter, including a withdrawn one.
func (s *State) Adapter(key AdapterKey) (Adapter, bool) {
	a, ok := s.adapters[key]
	return a, ok
}

// Counts returns the numbers of models and adapters, including withdrawn ones.
func (s *State) Counts() (models, adapters int) { return len(s.models), len(s.adapters) }

// Models returns all models with their replica limits in the cell, ordered by ID.
// A model that is not placed in the cell has a limit of zero.
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

// Adapters returns the adapters of all models whose replica limit in the cell is
// not zero, ordered by model and ID.
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

// maxSortedInserts is the largest number of rows that putAdapters inserts into the
// sorted keys one by one; for more, all keys are sorted again.
const maxSortedInserts = 64

// putAdapters adds rows or replaces those with the same key.
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

// deleteAdapters deletes the rows with the given keys.
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

// Apply applies the difference to the state. If the difference does not directly
// follow the state's version, it fails with ErrStale or ErrGap and changes nothing.
func (s *State) Apply(d *Difference) error {
	if d.Version <= s.Version {
		return fmt.Errorf("apply difference %d to state at version %d: %w", d.Version, s.Version, ErrStale)
	}
	if d.Version != s.Version+1 {
		return fmt.Errorf("apply difference %d to state at version %d: %w", d.Version, s.Version, ErrGap)
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

// setVersion sets the version and asserts that it increases.
func (s *State) setVersion(v uint64, at time.Time, operator string) {
	invariant.Check(v > s.Version, invariant.VersionMonotonic, "state at %d set to %d", s.Version, v)
	s.Version = v
	s.AcceptedAt = at
	s.Operator = operator
}
