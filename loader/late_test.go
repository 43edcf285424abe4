package loader_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// lateSeeds is the number of seeds of TestLateOrdersNeverExceedCapacity.
var lateSeeds = flag.Int("late-seeds", 60, "number of seeds of the model of late orders")

// playLate plays a seed of a leader whose calls are slow: orders get no response and are
// carried out up to 6 s later, and many reports fail. It returns how a server was ordered to
// hold too much, or "".
func playLate(seed uint64, live bool) string {
	random := rand.New(rand.NewPCG(seed, 29))
	c := newCluster([]string{"a"}, 3, 8)
	for i, s := range c.servers {
		for j := range 3 {
			s.addModel(fmt.Sprint("m", (2*i+j)%8))
		}
		for j := range 8 {
			s.onDisk[fmt.Sprint("m", j)] = true
		}
	}
	c.liveOrders = live
	slow := false
	c.late = func() (time.Duration, bool) {
		return time.Duration(random.IntN(6000)) * time.Millisecond, slow && random.IntN(3) > 0
	}
	c.reportFails = func() bool { return slow && random.IntN(2) == 0 }
	for range 30 {
		slow = random.IntN(3) > 0
		c.demand = nil
		for range 1 + random.IntN(3) {
			model, adapter := fmt.Sprint("m", random.IntN(8)), ""
			if random.IntN(3) == 0 {
				adapter = fmt.Sprint("a", 1+random.IntN(3))
			}
			c.demand = append(c.demand, demandFor(c, model, adapter))
			c.arrive(model, true, 1+random.IntN(5))
		}
		c.run(time.Duration(200+random.IntN(2000)) * time.Millisecond)
		for _, s := range c.servers {
			if s.crashed != "" {
				return fmt.Sprintf("%s: %s\n%v", s.entry.ID, s.crashed, c.orderLog[max(0, len(c.orderLog)-12):])
			}
		}
	}
	return ""
}

// TestLateOrdersNeverExceedCapacity guards against a server that is ordered to hold more than
// fits because another order than the one that was assumed had been accepted, late: several
// of unknown result name the same number of accepted orders, and a report may show the new
// number beside older values.
func TestLateOrdersNeverExceedCapacity(t *testing.T) {
	for _, live := range []bool{false, true} {
		t.Run(fmt.Sprint("current number of orders=", live), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(*lateSeeds) {
				if how := playLate(seed, live); how != "" {
					t.Errorf("seed %d: %s", seed, how)
				}
			}
		})
	}
}
