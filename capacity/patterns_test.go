package capacity_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/capacity"
)

// seeds is the number of plays of a pattern over which results are averaged.
const seeds = 3

// noise is the share of requests served by which the averages of equally good plays differ.
const noise = 0.005

// compare plays the pattern without and with what is learned, and logs both.
func compare(t *testing.T, p pattern) (before, after result) {
	t.Helper()
	average := func(use bool) (mean result) {
		for p.seed = range seeds {
			r := play(p, use)
			mean.served += r.served / seeds
			mean.busiest += r.busiest / seeds
			mean.learned += r.learned / seeds
		}
		return mean
	}
	before, after = average(false), average(true)
	t.Logf("before: %s", before)
	t.Logf("after:  %s", after)
	return before, after
}

// TestPacesSideBySide guards against a choice that treats fast and slow servers alike: requests
// at the slow ones miss their limit.
func TestPacesSideBySide(t *testing.T) {
	t.Parallel()
	before, after := compare(t, pattern{nodes: 9, slots: 48, paces: slices.Repeat([]float64{0.13, 1, 5}, 5), perSecond: 60, length: 30 * time.Second})
	assert.Assert(t, after.served > before.served)
}

// TestServersOfTwoSpeeds guards against the same in a fleet as deployment B has it.
func TestServersOfTwoSpeeds(t *testing.T) {
	t.Parallel()
	before, after := compare(t, pattern{nodes: 20, slots: 48, paces: slices.Repeat([]float64{0.83, 0.83, 1.8}, 5), perSecond: 160, length: 30 * time.Second})
	assert.Assert(t, after.busiest < before.busiest)
	assert.Assert(t, after.served > before.served-noise)
}

// TestServerTurnsSlowAndBack guards against a server that stays avoided after it has recovered.
func TestServerTurnsSlowAndBack(t *testing.T) {
	t.Parallel()
	const slow = 3
	server := capacity.Server{ID: "s3", Start: 1}
	worst, last := 1.0, 1.0
	p := pattern{nodes: 9, slots: 48, paces: slices.Repeat([]float64{1}, 15), perSecond: 120, length: 40 * time.Second,
		paceAt: func(i int, after time.Duration) float64 {
			if i == slow && after > 8*time.Second && after < 16*time.Second {
				return 5
			}
			return 1
		},
		probe: func(n *simNode) {
			last = n.learned.Factor(server)
			worst = max(worst, last)
		}}
	before, after := compare(t, p)
	assert.Assert(t, after.served > before.served-noise)
	assert.Assert(t, worst > 1.4, "slow server not found: %v", worst)
	assert.Equal(t, last, 1.0)
}

// TestSlotsOverstatedByFour guards against busy models that have too few copies, as each is thought
// to run slots at which none of its responses is in time.
func TestSlotsOverstatedByFour(t *testing.T) {
	t.Parallel()
	before, after := compare(t, pattern{nodes: 9, slots: 48, paces: slices.Repeat([]float64{4}, 15), perSecond: 30, length: 40 * time.Second, loader: true})
	assert.Assert(t, after.learned < 16, "learned slots %v", after.learned)
	assert.Assert(t, after.served > before.served+noise)
	assert.Assert(t, after.busiest < before.busiest)
}

// TestHealthyServersAreServedAsBefore guards against harm to deployments whose servers answer well:
// each request goes to the same server as without what is learned.
func TestHealthyServersAreServedAsBefore(t *testing.T) {
	t.Parallel()
	for _, slots := range []int{16, 24, 64} {
		p := pattern{nodes: 9, slots: slots, paces: slices.Repeat([]float64{0.3}, 15), perSecond: 150, length: 20 * time.Second}
		assert.DeepEqual(t, play(p, true).chosen, play(p, false).chosen)
	}
}
