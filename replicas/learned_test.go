package replicas_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/replicas"
)

// TestChooseCountsLoadRelativeToLearnedSlots guards against a server that is filled up to slots
// that it can't run, and against one that counts as full before it is.
func TestChooseCountsLoadRelativeToLearnedSlots(t *testing.T) {
	near, far := entry("s1", "z1", "m"), entry("s2", "z2", "m")
	near.Slots, far.Slots = 48, 48
	tab := table(near, far)
	tab.SetPeerLoad(now, "peer", map[string]int{"s1": 5}, 0)
	assert.Equal(t, choose(t, tab, requirement("m", ""), now), "s1") // 5 of 48 are less than crossZoneCost
	learned := map[string]float64{"s1": 12, "s2": 12}
	learn := func() { tab.SetLearnedSlots(func(e *replicas.Entry) float64 { return learned[e.ID] }) }
	learn()
	assert.Equal(t, choose(t, tab, requirement("m", ""), now), "s2")
	learned["s2"] = 1 // 1 request more than s2 can run is worse than 5 of 12
	learn()
	tab.SetPeerLoad(now, "peer", map[string]int{"s1": 5, "s2": 1}, 0)
	assert.Equal(t, choose(t, tab, requirement("m", ""), now), "s1")
	learned["s1"] = 1
	learn()
	tab.SetPeerLoad(now, "peer", map[string]int{"s1": 47, "s2": 48}, 0)
	assert.Equal(t, choose(t, tab, requirement("m", ""), now), "s1")
	for range 4 {
		tab.Observe(now, "s2", replicas.Failed, 0)
	}
	tab.SetPeerLoad(now, "peer", map[string]int{"s1": 47}, 0)
	assert.Equal(t, choose(t, tab, requirement("m", ""), now), "s1", "an ejected server is the last resort")
	tab.SetPeerLoad(now, "peer", map[string]int{"s1": 48, "s2": 48}, 0)
	assert.Equal(t, choose(t, tab, requirement("m", ""), now), "full")
}
