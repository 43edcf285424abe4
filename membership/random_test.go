package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Duration of the random faults and time limit for convergence after them.
const (
	faultDuration    = 2 * time.Minute
	convergenceLimit = 40 * time.Second
)

// TestRandomFaultsConverge injects random crashes, restarts, new nodes, planned
// stops, pauses, partitions and packet loss. After the last fault every node
// must be awake and have as many members alive as nodes are running.
func TestRandomFaultsConverge(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { testRandomFaults(t, seed) })
	}
}

func testRandomFaults(t *testing.T, seed uint64) {
	n := newCluster(t, seed, clusterSize)
	rng := rand.New(rand.NewPCG(seed, 9))
	next := 100
	for end := n.now.Add(faultDuration); n.now.Before(end); n.run(time.Duration(rng.IntN(4000)) * time.Millisecond) {
		next = n.randomFault(rng, next)
	}
	n.lossRate = 0
	n.blocked = nil
	for addr, h := range n.hosts {
		if h.paused {
			n.resume(addr)
		}
	}
	n.waitFor(convergenceLimit, "all running nodes alive and awake", func() bool { return n.converged(len(n.hosts)) })
	for _, h := range n.hosts {
		assert.Assert(t, !h.sawEvent(EventIDInUse, h.core.Self().ID))
	}
}

// randomFault injects one random fault. It returns the number of the next new
// node. Nodes 0 and 1 are the seeds and are not affected by node faults.
func (n *network) randomFault(rng *rand.Rand, next int) int {
	node := 2 + rng.IntN(clusterSize-2)
	addr := addrOf(node)
	h := n.hosts[addr]
	switch rng.IntN(7) {
	case 0:
		delete(n.hosts, addr)
	case 1:
		n.start(node, addr, addrOf(0), addrOf(1))
	case 2:
		n.start(next, addrOf(next), addrOf(0), addrOf(1))
		next++
	case 3:
		if h != nil && !h.paused {
			n.apply(addr, h.core.Leave(n.now))
			n.run(time.Second)
			n.apply(addr, h.core.CompleteLeave(n.now))
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
		n.blocked = func(from, to string) bool {
			// The last digit of a node's IP address determines its side.
			return from[len(from)-6]%3 == byte(side) != (to[len(to)-6]%3 == byte(side))
		}
	case 6:
		n.blocked = nil
		n.lossRate = 0.2 * rng.Float64()
	}
	return next
}
