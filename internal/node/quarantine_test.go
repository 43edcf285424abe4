package node_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestCrashesOnBothSidesOfPartitionAreCounted has two nodes that cannot reach each
// other record one crash each of the same content. Once they can, every node must
// refuse that content.
func TestCrashesOnBothSidesOfPartitionAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		defer d.close()
		for _, name := range []string{"n1", "n2", "n3"} {
			d.start(name)
		}
		time.Sleep(startupTime)
		d.gossip.setIsolated(map[string]bool{"n1:81": true})
		d.nodes["n1"].Quarantine().ReportCrash(time.Now(), "e1", "e1-boot", "lathe", "content")
		time.Sleep(time.Second)
		d.nodes["n2"].Quarantine().ReportCrash(time.Now(), "e2", "e2-boot", "lathe", "content")
		time.Sleep(time.Second)
		d.gossip.setIsolated(nil)
		time.Sleep(startupTime)
		for name, n := range d.nodes {
			assert.Assert(t, n.Quarantine().RefusedFor(time.Now(), "lathe", "content") > 0, name)
		}
	})
}
