package release

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// NotePosition is a position in a note. Line and Column start at 1; the zero value means
// that the position is not known.
type NotePosition struct {
	Line   int `json:"line"`
	Column int `json:"column"`
}

// Finding is one error in a note.
type Finding struct {
	NotePosition
	Field   string `json:"field"` // path such as models[2].slots; empty for the whole note
	Problem string `json:"problem"`
}

// String returns "line:column: field: problem".
func (f Finding) String() string {
	if f.Field == "" {
		return fmt.Sprintf("%d:%d: %s", f.Line, f.Column, f.Problem)
	}
	return fmt.Sprintf("%d:%d: %s: %s", f.Line, f.Column, f.Field, f.Problem)
}

// Findings are all errors in a note, ordered by position. A note with findings is
// not applied.
type Findings []Finding

// Error implements error. It lists one finding per line.
func (fs Findings) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// maxFindings limits the report on a file that is no release note at all.
const maxFindings = 1000

// add appends a finding unless there are maxFindings already.
func (fs *Findings) add(at NotePosition, field, format string, args ...any) {
	if len(*fs) < maxFindings {
		*fs = append(*fs, Finding{NotePosition: at, Field: field, Problem: fmt.Sprintf(format, args...)})
	}
}

// sorted returns the findings ordered by position, or nil if there are none.
func (fs Findings) sorted() Findings {
	if len(fs) == 0 {
		return nil
	}
	slices.SortStableFunc(fs, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return fs
}
