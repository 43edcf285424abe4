package release

import (
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// Limits of a note.
const (
	MaxNoteBytes    = 8 << 20
	maxNameBytes    = 128
	maxVersionBytes = 64
	maxTitleBytes   = 200
	maxReplicas     = 10_000 // of a model in one cell
	maxSlots        = 4096
	maxLoadTime     = 24 * time.Hour
	maxTarget       = 24 * time.Hour
	maxMemoryBytes  = 1 << 45
	maxWorth        = 1e6
)

// Note is a parsed release note.
type Note struct {
	Title    string
	BasedOn  uint64 // version that the operator had read; zero if not stated
	Models   []Model
	Adapters []Adapter
	Ranks    []RankSettings

	WithdrawnModels   []fleet.ModelID
	WithdrawnAdapters []AdapterKey

	positions map[fieldKey]Place
}

// fieldName names a field of a row of a note.
type fieldName string

// The fields of rows.
const (
	fieldRow      fieldName = "" // the row as a whole
	fieldVersion  fieldName = "version"
	fieldReplicas fieldName = "replicas"
	fieldMemory   fieldName = "memory"
	fieldLoadTime fieldName = "load_time"
	fieldSlots    fieldName = "slots"
	fieldRanks    fieldName = "ranks"
	fieldTarget   fieldName = "target"
	fieldFloor    fieldName = "floor"
	fieldWorth    fieldName = "worth"
	fieldWithdraw fieldName = "withdraw"
	fieldBasedOn  fieldName = "based_on" // of the note
)

// fieldKey is one fieldKey of the row of one model, adapter or rank.
type fieldKey struct {
	subject string // "model lathe", "adapter lathe+collar" or "rank urgent"
	name    fieldName
}

func modelSubject(id fleet.ModelID) string { return "model " + string(id) }

func adapterSubject(key AdapterKey) string {
	return "adapter " + fleet.Target{Model: key.Model, Adapter: key.ID}.String()
}

func rankSubject(r fleet.Rank) string { return "rank " + r.String() }

// position returns where the note states the field, or else its row.
func (n *Note) position(subject string, name fieldName) Place {
	if p, ok := n.positions[fieldKey{subject, name}]; ok {
		return p
	}
	return n.positions[fieldKey{subject, fieldRow}]
}

// Empty reports whether the note states nothing.
func (n *Note) Empty() bool {
	return len(n.Models)+len(n.Adapters)+len(n.Ranks)+len(n.WithdrawnModels)+len(n.WithdrawnAdapters) == 0
}

// WithdrawNote returns a note that withdraws one target.
func WithdrawNote(t fleet.Target) *Note {
	n := &Note{Title: "withdraw " + t.String(), positions: map[fieldKey]Place{}}
	if t.Adapter == "" {
		n.WithdrawnModels = []fleet.ModelID{t.Model}
		return n
	}
	n.WithdrawnAdapters = []AdapterKey{{Model: t.Model, ID: t.Adapter}}
	return n
}
