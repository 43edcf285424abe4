package front

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/replicas"
)

// TestOutcomeAtEarlierStartIsIgnored: the outcome of a request that was sent to a
// server before its restart must not free a slot of a request sent since, nor make
// the new start count as unreachable or without the model.
func TestOutcomeAtEarlierStartIsIgnored(t *testing.T) {
	n := newTestNode(t, platform.Settings{})
	now := bootclock.Now()
	before := replicas.Entry{ID: "s1", Address: "127.0.0.1:1", Service: "s", Zone: "z", Slots: 4, Start: 1, Revision: 1, Holds: []replicas.Holding{{Model: "m"}}}
	n.table.SetEntry(now, before)
	n.table.Begin(bootclock.Now(), before.ID)
	after := before
	after.Start, after.Revision = 2, 2
	n.table.SetEntry(now, after)
	n.table.Begin(bootclock.Now(), after.ID)

	n.observe(before, replicas.Unreachable, 0)
	n.markAbsent(before, "m", "")
	n.setReportedLoad(before, platform.ServerLoad{Running: before.Slots})
	n.attemptEnded(before, replicas.Size{}, 0)
	assert.Equal(t, n.table.InFlight()[after.ID], 1)
	assert.Equal(t, len(n.table.Unreachable(now)), 0)
	_, result := n.table.Choose(now, replicas.Requirement{Service: "s", Model: "m", Zone: "z"})
	assert.Equal(t, result, replicas.Chosen)

	n.attemptEnded(after, replicas.Size{}, 0)
	assert.Equal(t, n.table.InFlight()[after.ID], 0)
}
