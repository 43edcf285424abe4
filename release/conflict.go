package release

import (
	"fmt"
	"slices"
	"strings"
)

// Collision is one field to which a note and a version accepted since the note's
// base version assign different values.
type Collision struct {
	NotePosition
	Subject  string `json:"subject"` // such as "model lathe"
	Field    string `json:"field"`
	Ours     string `json:"ours"`     // value in the note
	Theirs   string `json:"theirs"`   // value that Version assigned
	Version  uint64 `json:"version"`  // version that assigned Theirs
	Operator string `json:"operator"` // who published that version
}

// String returns a description of one line.
func (c Collision) String() string {
	return fmt.Sprintf("%d:%d: %s, %s: this note says %s, version %d by %s says %s",
		c.Line, c.Column, c.Subject, c.Field, c.Ours, c.Version, c.Operator, c.Theirs)
}

// ConflictError reports that a note conflicts with versions accepted since its
// base version. The note was not applied.
type ConflictError struct {
	BasedOn    uint64
	Current    uint64
	Collisions []Collision
}

// Error implements error. It lists one collision per line.
func (e *ConflictError) Error() string {
	lines := []string{fmt.Sprintf("the note is based on version %d and conflicts with changes up to version %d", e.BasedOn, e.Current)}
	for _, c := range e.Collisions {
		lines = append(lines, c.String())
	}
	return strings.Join(lines, "\n")
}

// collisions returns the fields to which the note and the difference assign
// different values. The difference must be newer than the note's base version.
func (n *Note) collisions(d *Difference) []Collision {
	var found []Collision
	add := func(subject string, changes []fieldChange) {
		for _, c := range changes {
			found = append(found, Collision{
				NotePosition: n.position(subject, c.name), Subject: subject, Field: string(c.name),
				Ours: c.new, Theirs: c.old, Version: d.Version, Operator: d.Operator,
			})
		}
	}
	models, adapters := n.rowsBySubject()
	// The version that a withdrawal gets is not known yet; any but zero means withdrawn.
	for _, theirs := range d.Models {
		if ours, ok := models[modelSubject(theirs.ID)]; ok {
			add(modelSubject(theirs.ID), modelChanges(theirs, ours))
		}
		if theirs.WithdrawnIn == 0 && slices.Contains(n.WithdrawnModels, theirs.ID) {
			add(modelSubject(theirs.ID), []fieldChange{{fieldWithdraw, formatWithdrawn(0), formatWithdrawn(1)}})
		}
	}
	for _, theirs := range d.Adapters {
		subject := adapterSubject(theirs.AdapterKey)
		if ours, ok := adapters[subject]; ok {
			add(subject, adapterChanges(theirs, ours))
		}
		if theirs.WithdrawnIn == 0 && slices.Contains(n.WithdrawnAdapters, theirs.AdapterKey) {
			add(subject, []fieldChange{{fieldWithdraw, formatWithdrawn(0), formatWithdrawn(1)}})
		}
	}
	for _, theirs := range d.Ranks {
		for _, ours := range n.Ranks {
			if ours.Rank == theirs.Rank {
				add(rankSubject(ours.Rank), rankChanges(theirs, ours))
			}
		}
	}
	return found
}

// rowsBySubject returns the model and adapter rows of the note, keyed by subject.
func (n *Note) rowsBySubject() (map[string]Model, map[string]Adapter) {
	models := make(map[string]Model, len(n.Models))
	for _, m := range n.Models {
		models[modelSubject(m.ID)] = m
	}
	adapters := make(map[string]Adapter, len(n.Adapters))
	for _, a := range n.Adapters {
		adapters[adapterSubject(a.AdapterKey)] = a
	}
	return models, adapters
}
