package front

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/capacity"
	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/replicas"
)

// maxCapacityBytes bounds what messages say of capacity: of a full message, that is less than the
// counts of requests in flight take.
const maxCapacityBytes = 512

// TestLearnedCapacityIsTold guards against nodes that do not learn from the others, and against
// messages that grow with the number of servers.
func TestLearnedCapacityIsTold(t *testing.T) {
	teller, other := newTestNode(t, platform.Settings{}), newTestNode(t, platform.Settings{}, "127.0.0.2")
	now := bootclock.Now()
	r := capacity.Request{Service: "llm", OutputTokens: 50, Limit: 6 * time.Second, Target: time.Second}
	for i := range 400 {
		load, perEvent := 1+i%40, 10*time.Millisecond
		if load > 15 {
			perEvent = 90 * time.Millisecond
		}
		server := capacity.Server{ID: fmt.Sprintf("i-%010d", i%50), Start: 1700000000000}
		if i%50 == 0 {
			perEvent *= 4
		}
		now = now.Add(10 * time.Millisecond)
		teller.capacity.ObserveFirst(now, r, load, perEvent)
		teller.capacity.ObserveEvents(now, r, server, load, 49, 49*perEvent)
		teller.capacity.ObserveComplete(now, r, 50)
		teller.capacity.Refresh(now)
	}
	full := teller.message(now, false, false)
	partial := teller.partial(now, full)
	for _, m := range []message{full, partial} {
		data, err := json.Marshal(m.Capacity)
		assert.NilError(t, err)
		t.Logf("%d servers, %d bytes", len(m.Capacity.Servers), len(data))
		assert.Assert(t, len(data) <= maxCapacityBytes)
	}
	assert.Assert(t, len(full.Capacity.Servers) <= maxReportedServers && len(partial.Capacity.Servers) <= maxReportedInPartial)

	slow := replicas.Entry{ID: "i-0000000000", Service: "llm", Start: 1700000000000, Slots: 48}
	usual := replicas.Entry{ID: "i-0000000001", Service: "llm", Start: 1700000000000, Slots: 48}
	learned := func(e replicas.Entry) float64 {
		return other.capacity.Learned(e.Service, capacity.Server{ID: e.ID, Start: e.Start}, e.Slots)
	}
	for i, m := range []message{full, partial} {
		m.Node, m.IP, m.Zone, m.Incarnation, m.Sequence = "n", "127.0.0.2", "z", 1, uint64(10+i)
		decoded, err := decodeMessage(other.encode(m))
		assert.NilError(t, err)
		other.receivedAt(now, decoded)
		other.capacity.Refresh(now.Add(time.Duration(i) * time.Second))
		assert.Equal(t, learned(usual), 15.0)
		assert.Assert(t, learned(slow) < 13, "%v", learned(slow))
	}
}
