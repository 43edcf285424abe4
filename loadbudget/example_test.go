package loadbudget_test

import (
	"fmt"
	"time"

	"github.com/redwingnotch/redwingnotch/loadbudget"
)

// Two loads may be in flight, or one while the controller has half of the limits.
func Example() {
	now := time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)
	budget := loadbudget.New(now, loadbudget.Settings{LoadsPerSecond: 10, LoadsInFlight: 2, AdaptersInFlight: 8})
	// A new budget has no token, so the first load has to wait.
	fmt.Println("at once:", budget.StartLoad(now, "order-1"))
	now = now.Add(time.Second)
	fmt.Println("a second later:", budget.StartLoad(now, "order-1"))
	now = now.Add(time.Second)
	fmt.Println("another one:", budget.StartLoad(now, "order-2"))
	now = now.Add(time.Second)
	fmt.Println("two in flight:", budget.StartLoad(now, "order-3"))

	budget.SetShare(now, loadbudget.ShareHalf)
	budget.EndLoad("order-1")
	fmt.Println("half the limits, one in flight:", budget.StartLoad(now, "order-3"))
	budget.EndLoad("order-2")
	now = now.Add(time.Second)
	fmt.Println("none in flight:", budget.StartLoad(now, "order-3"))
	// Output:
	// at once: false
	// a second later: true
	// another one: true
	// two in flight: false
	// half the limits, one in flight: false
	// none in flight: true
}
