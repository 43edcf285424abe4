package replicas

import "time"

// tombstoneRetention is the time for which removed entries are remembered, to reject older entries that arrive late.
const tombstoneRetention = time.Minute

// tombstone marks an entry that was removed.
type tombstone struct {
	revision uint64 // entries of this or a lower revision are outdated
	at       time.Time
	era      uint64 // of the entry
	start    int64  // that was removed; zero if not known
	left     bool   // the server has left; false if its entry only expired
}

// Remove removes a server whose entry no longer exists in the store as of the
// revision.
func (t *Table) Remove(now time.Time, id string, revision uint64) { t.remove(now, id, revision, true) }

// remove removes a server that has left, or whose entry has only expired.
func (t *Table) remove(now time.Time, id string, revision uint64, left bool) {
	stone := tombstone{revision: revision, at: now, left: left}
	if row := t.rows[id]; row != nil {
		stone.revision, stone.era, stone.start = max(revision, row.Revision), row.Era, row.Start
	}
	t.unlist(now, t.rows[id])
	delete(t.rows, id)
	t.removed[id] = stone
	for other, old := range t.removed {
		if now.Sub(old.at) > tombstoneRetention {
			delete(t.removed, other)
		}
	}
}

// hasLeft reports whether the entry is one that the store has again because it came back from an older copy:
// it was read in a later era than that in which this start of the server began to leave.
func (t *Table) hasLeft(e Entry) bool {
	if e.Draining || e.Start == 0 {
		return false
	}
	if row := t.rows[e.ID]; row != nil {
		return row.listedDraining && row.Start == e.Start && row.Era < e.Era
	}
	old := t.removed[e.ID]
	return old.left && old.start == e.Start && old.era < e.Era
}
