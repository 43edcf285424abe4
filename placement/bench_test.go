package placement

import (
	"fmt"
	"testing"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// BenchmarkScaleBest measures one placement decision over a candidate set in
// which every server has to evict replicas.
func BenchmarkScaleBest(b *testing.B) {
	for _, servers := range []int{4, 16, 72} {
		b.Run(fmt.Sprintf("candidates=%d", servers), func(b *testing.B) {
			var candidates []Server
			for i := range servers {
				s := Server{Backend: fleet.BackendID(fmt.Sprint(i)), WeightLocality: fleet.LocalityDisk, FreeBytes: 1}
				for j := range 4 {
					s.Residents = append(s.Residents, idle(fmt.Sprint(j), 2, j%2 == 0))
				}
				candidates = append(candidates, s)
			}
			for range b.N {
				Best(now, need(4), candidates)
			}
		})
	}
}

// BenchmarkScaleCandidates measures drawing one model's candidate set.
func BenchmarkScaleCandidates(b *testing.B) {
	for _, servers := range []int{18, 730, 7300} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			set := NewServerSet(ids(servers))
			for range b.N {
				set.Candidates("model", MinCandidates)
			}
		})
	}
}
