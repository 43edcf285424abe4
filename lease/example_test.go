package lease_test

import (
	"context"
	"fmt"
	"time"

	"github.com/redwingnotch/redwingnotch/lease"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/standin/objectapi"
)

// A node claims a cell that has no holder. The caller makes the store calls that
// the core asks for.
func Example() {
	ctx, store := context.Background(), objectapi.New()
	now := time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)
	self := lease.Holder{Node: "entry-1", Incarnation: 7}
	core := lease.New(lease.Config{}, "cell-1", self)
	core.SetMembers(now, []lease.Member{{Node: self.Node, Incarnation: self.Incarnation, State: lease.MemberAlive}})
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		effects := core.Tick(now)
		if effects.Read {
			object, err := store.Get(ctx, platform.KindLease, "cell-1")
			core.HandleRead(now, object, err)
		}
		if w := effects.Write; w != nil {
			version, err := store.Put(ctx, platform.KindLease, "cell-1", w.Value, w.Expect, w.Writer)
			core.HandleWrite(now, w.Writer, version, err)
		}
	}
	authority := core.Authority(now)
	fmt.Println("active:", authority.Active)
	fmt.Println("fencing token:", authority.Epoch)
	core.HandleHigherEpoch(now, authority.Epoch+1)
	fmt.Println("active after an engine reports a higher token:", core.Authority(now).Active)
	// Output:
	// active: true
	// fencing token: 1
	// active after an engine reports a higher token: false
}
