package quarantine_test

import (
	"fmt"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/quarantine"
)

// A request that was in flight at two crashes is refused for a limited time.
func Example() {
	now := time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)
	table := quarantine.New(quarantine.DefaultSettings())
	key := quarantine.Key{Model: "lathe-diagnosis", Hash: "hash of the prompt"}
	fmt.Println(table.Decision(now, key))
	for _, boot := range []fleet.BootID{"boot-1", "boot-2"} {
		table.RecordStart(key, boot)
		table.RecordCrash(now, quarantine.CrashReport{Backend: "engine-1", Boot: boot, InFlight: []quarantine.Key{key}})
		fmt.Println(table.Decision(now, key))
	}
	fmt.Println("retry after", table.RetryAfter(now, key))
	// Output:
	// free
	// isolate
	// refuse
	// retry after 30m0s
}
