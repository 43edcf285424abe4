package replicas

import (
	"testing"
	"time"
)

// patterns are the loads of docs/design/competing-callers.md.
func patterns(nodes int) []pattern {
	usual := pattern{nodes: nodes, servers: 30, slots: 16, base: 150 * time.Millisecond, hold: 600 * time.Millisecond, load: 0.5, affected: 6, restart: true,
		limit: time.Second, warm: 20 * time.Second}
	cold := func(name string, factor float64, slowFor, says time.Duration) pattern {
		p := usual
		p.name, p.factor, p.slowFor, p.says, p.window = name, factor, slowFor, says, slowFor+12*time.Second
		return p
	}
	half := cold("half of a service replaced, 4 times slower for 8 s", 4, 8*time.Second, 8*time.Second)
	half.affected = 15
	flap := cold("a flap each second for 20 s, 3 times slower", 3, 20*time.Second, 5*time.Second)
	flap.down = func(since time.Duration) bool { return since < 20*time.Second && since/time.Second%2 == 0 }
	alone := cold("the only server of a model, 4 times slower for 8 s", 4, 8*time.Second, 8*time.Second)
	alone.alone, alone.affected, alone.limit = true, 1, 8*time.Second
	turned := cold("turns slow without a start, 6 times for 20 s", 6, 20*time.Second, 0)
	turned.restart, turned.reports = false, true
	far := cold("slow for one node in ten only", 1, 0, 0)
	far.restart = false
	far.far = func(node int) float64 {
		if node%10 == 0 {
			return 8
		}
		return 1
	}
	misreports := cold("says that it is slow and is not", 1, 0, time.Minute)
	silent := cold("is 5 times slower for 10 s and does not say so", 5, 10*time.Second, 0)
	return []pattern{
		cold("2 times slower for 1 s", 2, time.Second, time.Second), cold("2 times slower for 20 s", 2, 20*time.Second, 20*time.Second),
		cold("10 times slower for 1 s", 10, time.Second, time.Second), cold("10 times slower for 20 s", 10, 20*time.Second, 20*time.Second),
		half, flap, alone, turned, far, misreports, silent,
	}
}

func TestLimitPatterns(t *testing.T) {
	for _, nodes := range []int{9, 90} {
		for _, p := range patterns(nodes) {
			for _, strategy := range strategies {
				s := play(p, strategy, 7)
				t.Logf("%3d nodes, %-55s %-15s in time %.4f late %.4f unserved %.4f of %d; used %.3f, full share after %d s, most at once %d, limits before %d",
					nodes, p.name, strategy, float64(s.inTime)/float64(s.offered), float64(s.late)/float64(s.offered), float64(s.unserved)/float64(s.offered), s.offered, s.used(), s.fullShare(), s.maxRunning, s.limited)
			}
		}
	}
}
