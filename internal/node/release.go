package node

import (
	"context"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// SetInForce puts a release version in force at this node. Versions must rise.
func (n *Node) SetInForce(version uint64, models []fleet.Model, adapters []fleet.Adapter) {
	n.catalog.set(version, models, adapters)
	n.members.setReleaseVersion(version)
}

func (n *Node) runRelease(ctx context.Context) error {
	<-ctx.Done()
	return nil
}
