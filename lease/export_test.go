package lease

import "github.com/redwingnotch/redwingnotch/fleet"

// SetLastActiveEpoch sets the highest epoch with which the core believes that it
// was active.
func (c *Core) SetLastActiveEpoch(e fleet.Epoch) { c.lastActiveEpoch = e }
