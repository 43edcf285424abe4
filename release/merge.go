package release

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// MaxWithdrawn is the number of withdrawn models, and of withdrawn adapters, that
// a state retains. The oldest are dropped first; requests for them are then
// refused as unknown instead of withdrawn.
const MaxWithdrawn = 4096

// ErrNoChange reports that everything in a note is in force already.
var ErrNoChange = errors.New("the note changes nothing")

// Check validates the note against the state in force. It returns nil if the note
// can be merged.
func (n *Note) Check(s *State) Findings {
	var fs Findings
	inNote := map[fleet.ModelID]bool{}
	for _, m := range n.Models {
		inNote[m.ID] = true
	}
	withdrawn := map[fleet.ModelID]bool{}
	for _, id := range n.WithdrawnModels {
		withdrawn[id] = true
		if _, ok := s.models[id]; !ok {
			fs.add(n.position(modelSubject(id), fieldWithdraw), "withdraw.models", "unknown model %q", id)
		}
	}
	for _, key := range n.WithdrawnAdapters {
		if _, ok := s.adapters[key]; !ok {
			fs.add(n.position(adapterSubject(key), fieldWithdraw), "withdraw.adapters", "unknown %s", adapterSubject(key))
		}
	}
	for _, a := range n.Adapters {
		model, ok := s.models[a.Model]
		inService := inNote[a.Model] || (ok && model.WithdrawnIn == 0)
		if !inService || withdrawn[a.Model] {
			fs.add(n.position(adapterSubject(a.AdapterKey), "model"), "adapters", "%s: no model %q in service", adapterSubject(a.AdapterKey), a.Model)
		}
	}
	n.checkFloors(s, &fs)
	return fs.sorted()
}

// checkFloors reports rank floors that, with those in force, add up to more than 1.
func (n *Note) checkFloors(s *State, fs *Findings) {
	if len(n.Ranks) == 0 {
		return
	}
	ranks := maps.Clone(s.ranks)
	for _, r := range n.Ranks {
		ranks[r.Rank] = r
	}
	sum := 0.0
	for _, r := range ranks {
		sum += r.Floor
	}
	if sum > 1 {
		fs.add(n.position(rankSubject(n.Ranks[0].Rank), fieldFloor), "ranks", "the floors, with those in force, add up to more than 1")
	}
}

// Merge returns the difference that applies the note to the state, without
// changing the state. It fails with Findings or ErrNoChange.
func (n *Note) Merge(s *State, operator string, now time.Time) (*Difference, error) {
	if fs := n.Check(s); fs != nil {
		return nil, fs
	}
	d := &Difference{Version: s.Version + 1, Operator: operator, Title: n.Title, AcceptedAt: now.Truncate(time.Millisecond)}
	for _, m := range n.Models {
		if old, ok := s.models[m.ID]; !ok || len(modelChanges(old, m)) > 0 {
			d.Models = append(d.Models, m)
		}
	}
	for _, a := range n.Adapters {
		if old, ok := s.adapters[a.AdapterKey]; !ok || old != a {
			d.Adapters = append(d.Adapters, a)
		}
	}
	for _, r := range n.Ranks {
		if s.ranks[r.Rank] != r {
			d.Ranks = append(d.Ranks, r)
		}
	}
	n.addWithdrawals(s, d)
	if len(d.Models)+len(d.Adapters)+len(d.Ranks) == 0 {
		return nil, ErrNoChange
	}
	dropOldestWithdrawn(s, d)
	return d, nil
}

// addWithdrawals adds to the difference the models and adapters that the note
// withdraws. Withdrawing a model withdraws all its adapters.
func (n *Note) addWithdrawals(s *State, d *Difference) {
	withdrawn := map[AdapterKey]bool{}
	for _, key := range n.WithdrawnAdapters {
		withdrawn[key] = true
	}
	for _, id := range n.WithdrawnModels {
		if m := s.models[id]; m.WithdrawnIn == 0 {
			m.WithdrawnIn = d.Version
			d.Models = append(d.Models, m)
		}
	}
	for _, a := range s.sortedAdapters() {
		if a.WithdrawnIn == 0 && (withdrawn[a.AdapterKey] || slices.Contains(n.WithdrawnModels, a.Model)) {
			a.WithdrawnIn = d.Version
			d.Adapters = append(d.Adapters, a)
		}
	}
}

// dropOldestWithdrawn adds to the difference the removal of the oldest withdrawn
// rows beyond MaxWithdrawn.
func dropOldestWithdrawn(s *State, d *Difference) {
	var models []Model
	for _, m := range s.sortedModels() {
		if m.WithdrawnIn != 0 && !slices.ContainsFunc(d.Models, func(o Model) bool { return o.ID == m.ID }) {
			models = append(models, m)
		}
	}
	slices.SortStableFunc(models, func(a, b Model) int { return cmp.Compare(a.WithdrawnIn, b.WithdrawnIn) })
	for _, m := range models[:max(0, len(models)-MaxWithdrawn)] {
		d.ForgottenModels = append(d.ForgottenModels, m.ID)
	}
	inDifference := map[AdapterKey]bool{}
	for _, a := range d.Adapters {
		inDifference[a.AdapterKey] = true
	}
	var adapters []Adapter
	for _, a := range s.sortedAdapters() {
		if a.WithdrawnIn != 0 && !inDifference[a.AdapterKey] {
			adapters = append(adapters, a)
		}
	}
	slices.SortStableFunc(adapters, func(a, b Adapter) int { return cmp.Compare(a.WithdrawnIn, b.WithdrawnIn) })
	for _, a := range adapters[:max(0, len(adapters)-MaxWithdrawn)] {
		d.ForgottenAdapters = append(d.ForgottenAdapters, a.AdapterKey)
	}
}

// fieldChange is one field of a row with its old and new value as text.
type fieldChange struct {
	name     fieldName
	old, new string
}

// modelChanges returns the fields that differ between two rows of a model.
func modelChanges(old, m Model) []fieldChange {
	return onlyChanged(
		fieldChange{fieldVersion, string(old.Version), string(m.Version)},
		fieldChange{fieldReplicas, formatReplicas(old.Replicas), formatReplicas(m.Replicas)},
		fieldChange{fieldMemory, formatSize(old.MemoryBytes), formatSize(m.MemoryBytes)},
		fieldChange{fieldLoadTime, old.LoadTime.String(), m.LoadTime.String()},
		fieldChange{fieldSlots, fmt.Sprint(old.Slots), fmt.Sprint(m.Slots)},
		fieldChange{fieldRanks, formatRanks(old.Ranks), formatRanks(m.Ranks)},
		fieldChange{fieldWithdraw, formatWithdrawn(old.WithdrawnIn), formatWithdrawn(m.WithdrawnIn)},
	)
}

// adapterChanges returns the fields that differ between two rows of an adapter.
func adapterChanges(old, a Adapter) []fieldChange {
	return onlyChanged(
		fieldChange{fieldVersion, string(old.Version), string(a.Version)},
		fieldChange{fieldMemory, formatSize(old.MemoryBytes), formatSize(a.MemoryBytes)},
		fieldChange{fieldWithdraw, formatWithdrawn(old.WithdrawnIn), formatWithdrawn(a.WithdrawnIn)},
	)
}

// rankChanges returns the fields that differ between two settings of a rank.
func rankChanges(old, r RankSettings) []fieldChange {
	return onlyChanged(
		fieldChange{fieldTarget, old.Target.String(), r.Target.String()},
		fieldChange{fieldFloor, fmt.Sprint(old.Floor), fmt.Sprint(r.Floor)},
		fieldChange{fieldWorth, fmt.Sprint(old.Worth), fmt.Sprint(r.Worth)},
	)
}

// onlyChanged returns the fields whose old and new values differ.
func onlyChanged(all ...fieldChange) []fieldChange {
	return slices.DeleteFunc(all, func(c fieldChange) bool { return c.old == c.new })
}

func formatReplicas(rows []CellReplicas) string {
	parts := make([]string, len(rows))
	for i, r := range rows {
		parts[i] = fmt.Sprintf("%s: %d", r.Cell, r.Count)
	}
	return "{" + strings.Join(parts, ", ") + "}"
}

func formatRanks(ranks []fleet.Rank) string {
	if len(ranks) == 0 {
		return "all"
	}
	parts := make([]string, len(ranks))
	for i, r := range ranks {
		parts[i] = r.String()
	}
	return "[" + strings.Join(parts, ", ") + "]"
}

// formatSize formats the size in the largest unit that divides it.
func formatSize(bytes int64) string {
	for _, u := range sizeUnits {
		if unit := int64(u.bytes); bytes >= unit && bytes%unit == 0 {
			return fmt.Sprintf("%d%s", bytes/unit, u.suffix)
		}
	}
	return "0B"
}

func formatWithdrawn(version uint64) string {
	if version == 0 {
		return "in service"
	}
	return "withdrawn"
}
