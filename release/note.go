package release

import (
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// Limits of a note and its values.
const (
	MaxNoteBytes    = 8 << 20        // size of a note
	maxNameBytes    = 128            // length of the name of a model, adapter or cell
	maxVersionBytes = 64             // length of a version, size or duration as text
	maxTitleBytes   = 200            // length of the title
	maxReplicas     = 10_000         // replicas of a model in one cell
	maxSlots        = 4096           // slots of one replica
	maxLoadTime     = 24 * time.Hour // load time of a model
	maxTarget       = 24 * time.Hour // target latency of a rank
	maxMemoryBytes  = 1 << 45        // 32 TiB for one model or adapter
	maxWorth        = 1e6            // worth of one request
)

// Note is a parsed release note.
type Note struct {
	Title    string
	BasedOn  uint64 // version that the operator based the note on; zero if not given
	Models   []Model
	Adapters []Adapter
	Ranks    []RankSettings

	WithdrawnModels   []fleet.ModelID
	WithdrawnAdapters []AdapterKey

	positions map[fieldKey]NotePosition // where each row and field is in the source
}

// fieldName is the name of a field in a row of a note.
type fieldName string

// Names of the fields of rows, except for fieldBasedOn.
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
	fieldBasedOn  fieldName = "based_on" // a field of the note itself
)

// fieldKey identifies one field of one row: a model, an adapter or a rank.
type fieldKey struct {
	subject string // "model lathe", "adapter lathe+collar" or "rank urgent"
	name    fieldName
}

func modelSubject(id fleet.ModelID) string { return "model " + string(id) }

func adapterSubject(key AdapterKey) string {
	return "adapter " + fleet.Target{Model: key.Model, Adapter: key.ID}.String()
}

func rankSubject(r fleet.Rank) string { return "rank " + r.String() }

// position returns the position of the field, or of its row if the note does not
// set the field.
func (n *Note) position(subject string, name fieldName) NotePosition {
	if p, ok := n.positions[fieldKey{subject, name}]; ok {
		return p
	}
	return n.positions[fieldKey{subject, fieldRow}]
}

// Empty reports whether the note contains no models, adapters, ranks or
// withdrawals.
func (n *Note) Empty() bool {
	return len(n.Models)+len(n.Adapters)+len(n.Ranks)+len(n.WithdrawnModels)+len(n.WithdrawnAdapters) == 0
}

// WithdrawNote returns a note that withdraws one model or adapter.
func WithdrawNote(t fleet.Target) *Note {
	n := &Note{Title: "withdraw " + t.String(), positions: map[fieldKey]NotePosition{}}
	if t.Adapter == "" {
		n.WithdrawnModels = []fleet.ModelID{t.Model}
		return n
	}
	n.WithdrawnAdapters = []AdapterKey{{Model: t.Model, ID: t.Adapter}}
	return n
}
