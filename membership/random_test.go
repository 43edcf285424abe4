package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Length of a random run: faults, then a time in which all works.
const (
	faultTime    = 2 * time.Minute
	convergeTime = 40 * time.Second
)

// TestRandomFaultsConverge brings about crashes, restarts under the old name,
// new nodes, planned stops, pauses, cuts and loss at random. The naive version
// is the list of running nodes, which all tables must equal in the end.
func TestRandomFaultsConverge(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { randomRun(t, seed) })
	}
}

func randomRun(t *testing.T, seed uint64) {
	n := formed(t, seed, todaySize)
	rng := rand.New(rand.NewPCG(seed, 9))
	next := 100
	for end := n.now.Add(faultTime); n.now.Before(end); n.run(time.Duration(rng.IntN(4000)) * time.Millisecond) {
		next = n.randomFault(rng, next)
	}
	n.loss = 0
	n.cut = nil
	for addr, h := range n.hosts {
		if h.paused {
			n.resume(addr)
		}
	}
	n.within(convergeTime, "all tables equal the list of running nodes", func() bool { return n.whole(len(n.hosts)) })
	for _, h := range n.hosts {
		assert.Assert(t, !h.has(EventNameTaken, h.core.Self().ID))
	}
}

// randomFault brings about one fault. It returns the number of the next new
// node. Nodes 0 and 1 are the seeds and stay.
func (n *network) randomFault(rng *rand.Rand, next int) int {
	victim := 2 + rng.IntN(todaySize-2)
	addr := addrOf(victim)
	h := n.hosts[addr]
	switch rng.IntN(7) {
	case 0:
		delete(n.hosts, addr)
	case 1:
		n.start(victim, addr, addrOf(0), addrOf(1))
	case 2:
		n.start(next, addrOf(next), addrOf(0), addrOf(1))
		next++
	case 3:
		if h != nil && !h.paused {
			n.carry(addr, h.core.Leave(n.now))
			n.run(time.Second)
			n.carry(addr, h.core.Left(n.now))
			delete(n.hosts, addr)
		}
	case 4:
		if h != nil && h.paused {
			n.resume(addr)
		} else if h != nil {
			h.paused = true
		}
	case 5:
		side := rng.IntN(3)
		n.cut = func(from, to string) bool {
			return from[len(from)-6]%3 == byte(side) != (to[len(to)-6]%3 == byte(side))
		}
	case 6:
		n.cut = nil
		n.loss = 0.2 * rng.Float64()
	}
	return next
}
