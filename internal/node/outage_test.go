package node_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestSuccessorLoadsWhileTheStoreIsOut kills the node in office during an outage
// of the object API. Nodes that start one after the other are named as
// successors after the first claim.
func TestSuccessorLoadsWhileTheStoreIsOut(t *testing.T) {
	for _, stagger := range []time.Duration{0, 300 * time.Millisecond, 5 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			d := newDeployment(t)
			defer d.close()
			d.addEngine("e1")
			d.addEngine("e2")
			for _, name := range []string{"n1", "n2", "n3", "n4"} {
				d.start(name)
				time.Sleep(stagger)
			}
			time.Sleep(settleTime)
			holder, _ := d.holder()
			d.api.Faults.SetOutage(true)
			time.Sleep(time.Second)
			d.nodes[holder].Kill()
			assert.NilError(t, <-d.nodes[holder].err)
			delete(d.nodes, holder)
			for other := range d.nodes {
				got := d.send(other, "POST", "/v1/chat/completions", latheRequest, "Redwingnotch-Deadline", "1m")
				assert.NilError(t, checkAnswer(got, "lathe", latheRequest), "started %v apart", stagger)
			}
			assert.Equal(t, d.ledger.Loads("lathe"), 1)
			d.api.Faults.SetOutage(false)
			time.Sleep(settleTime)
		})
	}
}
