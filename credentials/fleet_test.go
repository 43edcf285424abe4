package credentials_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// modelSeeds is the number of seeds of a run.
var modelSeeds = flag.Int("model-seeds", 30, "number of seeds of the model")

// playSeed plays a minute of disturbances.
func playSeed(seed uint64, how mutation) error {
	m := newModel(seed, 1+int(seed%9), how)
	m.disturbEvery = 40
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

// TestFleetCallsStoreAsOneNode guards against a fleet whose calls to the store grow with the number of
// its nodes, against keys that are rejected while the store is there, and against nodes that all read
// the store at one moment: once the node that watches the desired state has died, and while no node
// gets replies.
func TestFleetCallsStoreAsOneNode(t *testing.T) {
	const length = 6 * time.Second
	for _, play := range []struct {
		name        string
		nodes       int
		disturb     func(m *model)
		calls, most int // limits, in all and in one step
	}{
		{"calm", 1, nil, 6, 1}, {"calm", 9, nil, 6, 1}, {"calm", 90, nil, 6, 1}, {"calm", 300, nil, 6, 1},
		{"watching node dies", 9, killWatching, 12, 2}, {"watching node dies", 90, killWatching, 12, 2}, {"watching node dies", 300, killWatching, 12, 2},
		{"no replies", 90, cutAll, 90 * 4, 10},
	} {
		t.Run(fmt.Sprint(play.name, " ", play.nodes), func(t *testing.T) {
			m := newModel(1, play.nodes, none)
			assert.NilError(t, m.play(2*time.Second))
			if play.disturb != nil {
				play.disturb(m)
			}
			m.calls, m.datagrams, m.unjudged = 0, 0, 0
			most := 0
			for range int(length / step) {
				before := m.calls
				assert.NilError(t, m.play(step))
				most = max(most, m.calls-before)
			}
			t.Logf("%d calls to the store in 6 s, %d at one moment; %.2f datagrams/s for a node", m.calls, most, float64(m.datagrams)/length.Seconds()/float64(play.nodes))
			assert.Assert(t, m.calls <= play.calls && most <= play.most)
			assert.Equal(t, m.unjudged, 0)
		})
	}
}

func killWatching(m *model) { m.nodes[0].dead = m.now }

func cutAll(m *model) {
	for _, n := range m.nodes {
		for id := range m.nodes {
			n.cutFrom[id] = m.now.Add(time.Hour)
		}
	}
}
