package front

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/poison"
	"github.com/redwingnotch/redwingnotch/replicas"
)

// TestSuspectsFitInOneMessage guards against messages that exceed a datagram, so that the nodes
// no longer know of each other, when servers end under many different poison requests.
func TestSuspectsFitInOneMessage(t *testing.T) {
	n := newTestNode(t, platform.Settings{}, "127.0.0.2")
	now := bootclock.Now()
	key := poison.Key(math.MaxUint64)
	for bad := range poison.Key(1000) {
		for end := range int64(5) {
			requests := []poison.Request{{Traits: []poison.Key{math.MaxUint64/2 - bad}}}
			for range 20 {
				key -= 4
				requests = append(requests, poison.Request{Traits: []poison.Key{key, key + 1, key + 2, key + 3}})
			}
			n.reportEnd(now, replicas.Entry{ID: "s", Start: int64(bad)*10 + end}, requests)
		}
		n.poison.Answered(now, now, key, key+1)
		n.publishInnocent(now, []poison.Key{key, key + 1})
	}
	now = now.Add(1400 * time.Millisecond)
	for range 10 {
		n.decidePoison(now)
		now = now.Add(time.Second)
	}
	size := len(n.encode(n.message(now, true, true)))
	assert.Assert(t, len(n.poison.Refusals(now, 1000)) > maxRefusalsPublished)
	assert.Assert(t, size < maxDatagram/2, "%d bytes", size)
}
