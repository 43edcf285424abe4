package replicas

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOlderCopyBringsNoLeftServerBack guards against work for a server that has left, or is leaving, because
// the store came back from a copy in which its entry is still there; and against a server that is not
// taken back though it runs: its entry had only expired, or it has started again.
func TestOlderCopyBringsNoLeftServerBack(t *testing.T) {
	now := time.Unix(1000, 0)
	entry := func(era uint64, start int64, draining bool) Entry {
		return Entry{ID: "s", Revision: era<<44 | 5, Era: era, Start: start, Service: "x", Address: "a:1", Slots: 1, Draining: draining}
	}
	for name, tc := range map[string]struct {
		before func(*Table)
		entry  Entry
		taken  bool
	}{
		"left":                         {func(tb *Table) { tb.Remove(now, "s", 1<<44|9) }, entry(2, 7, false), false},
		"left, started again":          {func(tb *Table) { tb.Remove(now, "s", 1<<44|9) }, entry(2, 8, false), true},
		"expired":                      {func(tb *Table) { tb.MarkExpired("s", now); tb.RemoveExpired(now) }, entry(2, 7, false), true},
		"leaving":                      {func(tb *Table) { tb.SetEntry(now, entry(1, 7, true)) }, entry(2, 7, false), false},
		"leaving, by another node":     {func(tb *Table) { tb.MarkDraining("s", 1<<44|9) }, entry(2, 7, false), false},
		"leaving, written again":       {func(tb *Table) { tb.SetEntry(now, entry(1, 7, true)) }, entry(2, 7, true), true},
		"leaving, started again":       {func(tb *Table) { tb.SetEntry(now, entry(1, 7, true)) }, entry(2, 8, false), true},
		"leaving, same era":            {func(tb *Table) { tb.SetEntry(now, entry(1, 7, true)) }, Entry{ID: "s", Revision: 1<<44 | 9, Era: 1, Start: 7, Service: "x", Address: "a:1"}, true},
		"ready, at a lower revision":   {func(tb *Table) {}, Entry{ID: "s", Revision: 2<<44 | 1, Era: 2, Start: 7, Service: "x", Address: "a:1"}, true},
		"late, of the era before that": {func(tb *Table) { tb.SetEntry(now, entry(2, 7, false)) }, entry(1, 7, false), false},
	} {
		t.Run(name, func(t *testing.T) {
			tb := NewTable()
			assert.Assert(t, tb.SetEntry(now, entry(1, 7, false)))
			tc.before(tb)
			assert.Equal(t, tb.SetEntry(now, tc.entry), tc.taken)
		})
	}
}
