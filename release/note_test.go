package release

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// validNote has no findings.
const validNote = `title: collar diagnosis
models:
  - id: lathe
    version: v3
    replicas: {sk-central: 2}
    memory: 14GiB
    load_time: 25s
    slots: 8
    ranks: [urgent, standard]
adapters:
  - {model: lathe, id: collar, version: v1, memory: 200MiB}
ranks:
  urgent: {target: 2s, floor: 0.5, worth: 100}
`

// mustParse parses a note without findings.
func mustParse(t testing.TB, text string) *Note {
	t.Helper()
	n, fs := ParseNote([]byte(text))
	assert.Assert(t, fs == nil, "%v", fs)
	return n
}

func TestParseNote(t *testing.T) {
	n := mustParse(t, validNote)
	assert.DeepEqual(t, n.Models, []Model{{
		ID: "lathe", Version: "v3", Replicas: []CellReplicas{{"sk-central", 2}}, MemoryBytes: 14 << 30,
		LoadTime: 25 * time.Second, Slots: 8, Ranks: []fleet.Rank{fleet.RankUrgent, fleet.RankStandard},
	}})
	assert.DeepEqual(t, n.Adapters, []Adapter{{AdapterKey: AdapterKey{"lathe", "collar"}, Version: "v1", MemoryBytes: 200 << 20}})
	assert.DeepEqual(t, n.Ranks, []RankSettings{{Rank: fleet.RankUrgent, Target: 2 * time.Second, Floor: 0.5, Worth: 100}})
	assert.Equal(t, n.position("model lathe", fieldSlots), NotePosition{8, 5})
}

func TestParseNoteFindings(t *testing.T) {
	row := "models:\n  - {id: a, version: v, replicas: {c: 1}, memory: 1GiB, load_time: 1s, slots: 1%s}\n"
	withField := func(s string) string { return strings.Replace(row, "%s", s, 1) }
	for _, tc := range []struct {
		name, note string
		want       []string
	}{
		{"empty", "", []string{"1:1: the note is empty"}},
		{"no content", "title: t\n", []string{"1:1: the note contains no models, adapters, ranks or withdrawals"}},
		{"not YAML", "models: [", []string{"1:9: invalid YAML: sequence end token ']' not found"}},
		{"not a mapping", "- a\n", []string{"1:1: want a mapping, not a list"}},
		{"two documents", "title: a\n---\ntitle: b\n", []string{"3:6: want one document, not 2"}},
		{"unknown field", withField(", slot: 1"), []string{`2:82: models[0].slot: unknown field`}},
		{"duplicate field", withField(", slots: 2"), []string{"2:82: models[0].slots: duplicate field"}},
		{"wrong type and range", "models:\n  - id: a\n    version: 3\n    replicas: {c: -1}\n    memory: lots\n    load_time: fast\n    slots: 0\n    ranks: [urgent, urgent, high]\n", []string{
			"3:14: models[0].version: want text, not a whole number",
			"4:19: models[0].replicas.c: -1 is out of range, want 0 to 10000",
			`5:13: models[0].memory: "lots" is not a size, want such as 14GiB or 200MiB`,
			`6:16: models[0].load_time: "fast" is not a duration, want such as 25s or 1m30s`,
			"7:12: models[0].slots: 0 is out of range, want 1 to 4096",
			"8:21: models[0].ranks[1]: urgent is listed twice",
			`8:29: models[0].ranks[2]: unknown rank "high", want one of urgent, standard, bulk`,
		}},
		{"missing fields", "adapters:\n  - id: x\n", []string{
			"2:5: adapters[0].memory: missing", "2:5: adapters[0].model: missing", "2:5: adapters[0].version: missing",
		}},
		{"duplicate row", withField("") + "  - {id: a, version: w, replicas: {c: 1}, memory: 1GiB, load_time: 1s, slots: 1}\n", []string{
			"3:6: models[1]: model a is defined twice, first at line 2",
		}},
		{"defined and withdrawn", withField("") + "withdraw: {models: [a, b, b], adapters: [a]}\n", []string{
			"3:21: withdraw: model a is also defined at line 2",
			"3:27: withdraw.models[2]: model b is withdrawn twice, first at line 3",
			`3:42: withdraw.adapters[0]: "a" does not name an adapter, want model+adapter`,
		}},
		{"alias", "title: &t x\nmodels: *t\n", []string{
			"1:8: title: want text, not an anchor or alias, which notes do not support",
			"2:9: models: want a list, not an anchor or alias, which notes do not support",
		}},
		{"invalid name", "withdraw: {models: ['a b']}\n", []string{`1:21: withdraw.models[0]: "a b" is not a name: spaces, control characters, / and + are not allowed`}},
		{"floors and worth", "ranks:\n  urgent: {target: 1s, floor: 0.8, worth: 1}\n  bulk: {target: 1s, floor: 0.3, worth: .nan}\n", []string{
			"3:22: ranks: the floors add up to more than 1", "3:41: ranks.bulk.worth: want a number, not infinity or not-a-number",
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, fs := ParseNote([]byte(tc.note))
			assert.Equal(t, fs.Error(), strings.Join(tc.want, "\n"))
		})
	}
}

func TestMergeChecksNoteAgainstState(t *testing.T) {
	s := NewState()
	note := mustParse(t, validNote)
	d, err := note.Merge(s, "ana", time.Unix(1, 0))
	assert.NilError(t, err)
	assert.NilError(t, s.Apply(d))
	_, err = note.Merge(s, "ana", time.Unix(2, 0))
	assert.ErrorIs(t, err, ErrNoChange)

	bad := mustParse(t, `adapters:
  - {model: nowhere, id: x, version: v1, memory: 1MiB}
  - {model: lathe, id: y, version: v1, memory: 1MiB}
ranks:
  bulk: {target: 1m, floor: 0.6, worth: 1}
withdraw: {models: [lathe, other], adapters: [lathe+none]}
`)
	_, err = bad.Merge(s, "ana", time.Unix(3, 0))
	assert.Error(t, err, strings.Join([]string{
		`2:6: adapters: adapter nowhere+x: no model "nowhere" in service`,
		`3:6: adapters: adapter lathe+y: no model "lathe" in service`,
		"5:22: ranks: the floors, with those in force, add up to more than 1",
		`6:28: withdraw.models: unknown model "other"`,
		`6:47: withdraw.adapters: unknown adapter lathe+none`,
	}, "\n"))
}

func TestWithdrawModelWithdrawsItsAdapters(t *testing.T) {
	s := stateAfter(t, validNote)
	d, err := WithdrawNote(fleet.Target{Model: "lathe"}).Merge(s, "ana", time.Unix(2, 0))
	assert.NilError(t, err)
	assert.NilError(t, s.Apply(d))
	models, adapters := s.Models("sk-central"), s.Adapters("sk-central")
	assert.Assert(t, models[0].Withdrawn)
	assert.Equal(t, models[0].MaxReplicas, 2)
	assert.Assert(t, adapters[0].Withdrawn)
	assert.Equal(t, len(s.Adapters("gt-central")), 0)
}

// stateAfter returns the state after merging the notes in order.
func stateAfter(t testing.TB, notes ...string) *State {
	s := NewState()
	for _, text := range notes {
		d, err := mustParse(t, text).Merge(s, "ana", time.Unix(1, 0))
		assert.NilError(t, err)
		assert.NilError(t, s.Apply(d))
	}
	return s
}

func FuzzParseNote(f *testing.F) {
	f.Add([]byte(validNote))
	f.Add([]byte("withdraw: {models: [lathe], adapters: [lathe+collar]}\nbased_on: 3\n"))
	f.Add([]byte("a: &x [*x]\n? [b]\n: c\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		n, fs := ParseNote(data)
		if fs != nil {
			for _, finding := range fs {
				assert.Assert(t, finding.Line > 0 && finding.Column > 0, "%+v", finding)
			}
			return
		}
		s := stateAfter(t, validNote)
		d, err := n.Merge(s, "ana", time.Unix(2, 0))
		if err != nil {
			return
		}
		got, err := DecodeDifference(EncodeDifference(d))
		assert.NilError(t, err)
		assert.NilError(t, s.Apply(got))
		again, err := DecodeState(EncodeState(s))
		assert.NilError(t, err)
		assert.DeepEqual(t, EncodeState(again), EncodeState(s))
		_, err = n.Merge(again, "ana", time.Unix(3, 0))
		assert.ErrorIs(t, err, ErrNoChange)
	})
}

func TestSortedAdaptersAfterChanges(t *testing.T) {
	s := stateAfter(t, adaptersNote(100))
	s.sortedAdapters()
	for _, id := range []string{"customer-00050x", "a", "z"} {
		d, err := mustParse(t, "adapters: [{model: m, id: "+id+", version: v1, memory: 1MiB}]").Merge(s, "ana", time.Unix(2, 0))
		assert.NilError(t, err)
		assert.NilError(t, s.Apply(d))
	}
	d := &Difference{Version: s.Version + 1, ForgottenAdapters: []AdapterKey{{"m", "a"}}}
	got := s.Clone()
	assert.NilError(t, got.Apply(d))
	for _, state := range []*State{s, got} {
		rows := state.sortedAdapters()
		_, count := state.Counts()
		assert.Equal(t, len(rows), count)
		assert.Assert(t, slices.IsSortedFunc(rows, func(a, b Adapter) int { return compareAdapterKeys(a.AdapterKey, b.AdapterKey) }))
	}
}
