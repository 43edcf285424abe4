package front

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/pace"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/replicas"
)

// addSlowServers adds servers that say that they are slow after their start, and have answered once.
func (n *testNode) addSlowServers(now time.Time, count int) {
	for i := range count {
		id := fmt.Sprintf("i-%010x", i)
		n.table.SetEntry(now.Add(-time.Second), replicas.Entry{ID: id, Address: "127.0.0.1:1", Service: "s", Slots: 16, Start: 1_700_000_000_000, Revision: 1, ColdRemaining: time.Second})
		n.table.Observe(now.Add(time.Duration(i)*time.Millisecond), id, replicas.Answered, time.Millisecond)
	}
}

// TestLimitsReachOtherNodes guards against limits that are not sent in partial messages, lose their
// age on the way or are taken over without it, and against nodes that send on what they were told.
func TestLimitsReachOtherNodes(t *testing.T) {
	from, to := newTestNode(t, platform.Settings{Node: "from"}), newTestNode(t, platform.Settings{}, "127.0.0.2")
	now := bootclock.Now()
	from.addSlowServers(now, 1)
	to.table.SetEntry(now, replicas.Entry{ID: "i-0000000000", Address: "127.0.0.1:1", Service: "s", Slots: 16, Start: 1_700_000_000_000, Revision: 1, ColdRemaining: time.Second})
	later := now.Add(3 * time.Second)
	data, err := json.Marshal(from.partial(later, from.message(later, false, true)))
	assert.NilError(t, err)
	m, err := decodeMessage(data)
	assert.NilError(t, err)
	m.IP, m.Sequence, m.Incarnation = "127.0.0.2", 2, 1
	to.receivedAt(later, m)
	limits := to.table.Limits(later)
	assert.Equal(t, len(limits), 1)
	assert.Equal(t, limits[0].Limit, 4.0)
	assert.Equal(t, later.Sub(limits[0].At), 3*time.Second)
	assert.Equal(t, limits[0].Cause, pace.GoodAnswer)
	assert.Equal(t, len(to.limitStates(later)), 0)
	assert.Equal(t, len(to.observeLimits()), 1)
}

// TestLimitsInMessagesAreBounded guards against messages that grow with the servers that are
// replaced at once, and against nodes that send limits while no server is slow.
func TestLimitsInMessagesAreBounded(t *testing.T) {
	n := newTestNode(t, platform.Settings{})
	now := bootclock.Now()
	without := len(n.encode(n.message(now, false, false)))
	n.addSlowServers(now, 200)
	states := n.limitStates(now.Add(time.Second))
	assert.Equal(t, len(states), maxLimitsPerMessage)
	assert.Equal(t, states[0].ID, fmt.Sprintf("i-%010x", 199), "the newest evidence first")
	const bytesPerLimit = 80
	assert.Assert(t, len(n.encode(n.message(now, false, false)))-without <= maxLimitsPerMessage*bytesPerLimit+20)
}
