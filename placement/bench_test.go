package placement

import (
	"fmt"
	"testing"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// BenchmarkScaleBest gives the time of one placement decision over a candidate
// set of which each server would have to evict.
func BenchmarkScaleBest(b *testing.B) {
	for _, servers := range []int{4, 16, 72} {
		b.Run(fmt.Sprintf("candidates=%d", servers), func(b *testing.B) {
			var table []Server
			for i := range servers {
				s := Server{Backend: fleet.BackendID(fmt.Sprint(i)), Near: fleet.NearDisk, FreeBytes: 1}
				for j := range 4 {
					s.Residents = append(s.Residents, idle(fmt.Sprint(j), 2, j%2 == 0))
				}
				table = append(table, s)
			}
			for range b.N {
				Best(now, need(4), table)
			}
		})
	}
}

// BenchmarkScaleCandidates gives the time to draw one model's candidate set.
func BenchmarkScaleCandidates(b *testing.B) {
	for _, servers := range []int{18, 730, 7300} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			roster := NewRoster(ids(servers))
			for range b.N {
				roster.Candidates("model", MinCandidates)
			}
		})
	}
}
