package credentials_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/credentials"
)

// modelSeeds is the number of seeds of a run.
var modelSeeds = flag.Int("model-seeds", 30, "number of seeds of the model")

// playSeed plays a minute of disturbances.
func playSeed(seed uint64, how mutation) error {
	m := newModel(seed, 1+int(seed%9), how)
	m.disturbance = 40
	return m.play(time.Minute)
}

// TestModelNoKeyRunsPastItsTime guards against requests that run with a key that was removed longer
// ago than the revocation time, and against a 401 for a key that all states in force hold: nodes
// that are cut off, frozen, killed, with late and lost messages and clocks that step.
func TestModelNoKeyRunsPastItsTime(t *testing.T) {
	for seed := range uint64(*modelSeeds) {
		if err := playSeed(seed, none); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// TestModelFindsMutations checks that the model finds each fault that it is to guard against.
func TestModelFindsMutations(t *testing.T) {
	for _, how := range []mutation{neighborAge, noSecondCheck, judgedBehind, frozenClock, timeOfDay, receiveTime} {
		t.Run(string(how), func(t *testing.T) {
			found := 0
			for seed := range uint64(*modelSeeds) {
				if playSeed(seed, how) != nil {
					found++
				}
			}
			t.Logf("%d of %d seeds", found, *modelSeeds)
			assert.Assert(t, found > 0)
		})
	}
}

// TestFleetConfirmsWithCallsOfOneNode guards against a fleet whose calls to the store grow with the
// number of its nodes, and against keys that are rejected while nothing is wrong.
func TestFleetConfirmsWithCallsOfOneNode(t *testing.T) {
	const length = 8 * time.Second
	for _, nodes := range []int{1, 9, 90, 300} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			m := newModel(1, nodes, none)
			assert.NilError(t, m.play(2*time.Second))
			m.reads, m.datagrams, m.rejected = 0, 0, map[credentials.Result]int{}
			assert.NilError(t, m.play(length))
			t.Logf("%.2f calls/s to the store; %.2f datagrams/s for a node", float64(m.reads)/length.Seconds(), float64(m.datagrams)/length.Seconds()/float64(nodes))
			assert.Assert(t, m.reads <= int(length/(applyTimeout*2/5))+1, m.reads)
			assert.Equal(t, m.rejected[credentials.Stale]+m.rejected[credentials.Behind], 0)
		})
	}
}

// TestFleetOutlivesWatchingNode guards against keys that are rejected because the node that watches
// the desired state has died, and against nodes that then all read the store at one moment.
func TestFleetOutlivesWatchingNode(t *testing.T) {
	for _, nodes := range []int{9, 90, 300} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			m := newModel(1, nodes, none)
			assert.NilError(t, m.play(2*time.Second))
			m.nodes[0].dead = m.now
			m.reads, m.rejected = 0, map[credentials.Result]int{}
			most := 0
			for range int(6 * time.Second / step) {
				before := m.reads
				assert.NilError(t, m.play(step))
				most = max(most, m.reads-before)
			}
			t.Logf("%d calls to the store in 6 s, %d at one moment", m.reads, most)
			assert.Assert(t, m.reads <= 12 && most <= 2, "%d, %d", m.reads, most)
			assert.Equal(t, m.rejected[credentials.Stale]+m.rejected[credentials.Behind], 0)
		})
	}
}

// TestNodesWithoutRepliesReadAtDifferentTimes guards against all nodes of a fleet reading the store
// at one moment when none gets replies from the others.
func TestNodesWithoutRepliesReadAtDifferentTimes(t *testing.T) {
	const nodes = 90
	m := newModel(1, nodes, none)
	assert.NilError(t, m.play(2*time.Second))
	for _, n := range m.nodes {
		for id := range nodes {
			n.cutFrom[id] = m.now.Add(time.Hour)
		}
	}
	most, total := 0, m.reads
	m.rejected = map[credentials.Result]int{}
	for range int(6 * time.Second / step) {
		before := m.reads
		assert.NilError(t, m.play(step))
		most = max(most, m.reads-before)
	}
	t.Logf("%d calls to the store in 6 s, %d at one moment", m.reads-total, most)
	assert.Assert(t, most <= nodes/9, most)
	assert.Equal(t, m.rejected[credentials.Stale]+m.rejected[credentials.Behind], 0)
}
