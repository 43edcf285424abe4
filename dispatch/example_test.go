package dispatch_test

import (
	"fmt"

	"github.com/redwingnotch/redwingnotch/dispatch"
	"github.com/redwingnotch/redwingnotch/engine"
)

func ExampleChoose() {
	candidates := []dispatch.Candidate{
		{Backend: "engine-1", Load: 0.2, Excluded: true}, // an earlier attempt failed there
		{Backend: "engine-2", Load: 0.9},
		{Backend: "engine-3", Load: 0.4, SameZone: true},
	}
	fmt.Println(candidates[dispatch.Choose(candidates)].Backend)
	// Output: engine-3
}

// A request that may have run can be retried only if it is idempotent and no
// part of the response has reached the caller.
func ExampleMayRetry() {
	fmt.Println(dispatch.MayRetry(engine.ErrUnreachable, false, false), dispatch.OutcomeOf(engine.ErrUnreachable, false, false))
	fmt.Println(dispatch.MayRetry(engine.ErrStalled, false, false), dispatch.OutcomeOf(engine.ErrStalled, false, false))
	fmt.Println(dispatch.MayRetry(engine.ErrStalled, true, false))
	fmt.Println(dispatch.MayRetry(engine.ErrStalled, true, true))
	// Output:
	// true not_run
	// false unknown
	// true
	// false
}
