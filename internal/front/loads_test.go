package front

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/leadership"
	"github.com/redwingnotch/redwingnotch/loader"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/replicas"
	"github.com/redwingnotch/redwingnotch/routes"
)

// acquire makes the node acquire the leadership of a cell by a write that results in
// the version, and returns the time at which it leads.
func (n *testNode) acquire(now time.Time, c *cell, version uint64) time.Time {
	n.t.Helper()
	const attempts = 4
	for range attempts {
		switch a := c.leadership.Tick(now, leadership.Peers{Eligible: true}); a.Kind {
		case leadership.Read:
			c.leadership.ReadDone(now, leadership.Record{}, 0, nil)
		case leadership.Write:
			c.leadership.WriteDone(now, a.Record, version, leadership.Written)
		}
		if c.leadership.Leading(now) {
			return now
		}
		now = now.Add(leadership.DefaultSettings(0).CallPause)
	}
	n.t.Fatal("the node does not lead the cell")
	return now
}

// TestStatusesAreSentAnewByNewLeadership: a node that leads a cell again must send all
// statuses at once, also those equal to what it sent before. The nodes have those of
// the leader between, which may name a model that is not usable.
func TestStatusesAreSentAnewByNewLeadership(t *testing.T) {
	n := newTestNode(t, platform.Settings{})
	c := n.cells[0]
	now := n.acquire(bootclock.Now(), c, 1)
	server := replicas.Entry{ID: "s1", Address: "127.0.0.1:1", Service: "s", Zone: "z", Slots: 4, Start: 1, Revision: 1}
	core := c.loader(now, "s", n.settings)
	report := func() {
		core.Tick(now, loader.Input{Engine: &routes.Engine{}, Servers: []replicas.Entry{server}, MayOrder: func(string) bool { return false }})
		core.HandleReport(now, server.ID, server.Start, replicas.Report{Start: server.Start, Holds: []replicas.Holding{{Model: "m"}}}, nil)
	}
	report()
	assert.Equal(t, len(n.statusesToPublish(now, false)), 1)
	assert.Equal(t, len(n.statusesToPublish(now, false)), 0)

	c.leadership.StepDown(now)
	now = n.acquire(now, c, 3)
	core.Reset(now)
	report()
	assert.Equal(t, len(n.statusesToPublish(now, false)), 1)
}
