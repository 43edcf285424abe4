package keepwarm_test

import (
	"fmt"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/keepwarm"
)

// A model requested every five minutes is kept between requests; one requested every
// five hours is not.
func Example() {
	begin := time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC)
	policy := keepwarm.New(keepwarm.DefaultSettings())
	often, seldom := fleet.Target{Model: "often"}, fleet.Target{Model: "seldom"}
	now := begin
	for ; now.Before(begin.Add(48 * time.Hour)); now = now.Add(5 * time.Minute) {
		policy.Observe(now, often, fleet.RankUrgent)
		if now.Sub(begin)%(5*time.Hour) == 0 {
			policy.Observe(now, seldom, fleet.RankUrgent)
		}
	}
	fmt.Println("often kept over the gap:", policy.KeepUntil(often, now).Sub(now) >= 5*time.Minute)
	fmt.Println("seldom kept for", policy.KeepUntil(seldom, now).Sub(now))
	// Output:
	// often kept over the gap: true
	// seldom kept for 1m0s
}
