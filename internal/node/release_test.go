package node_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestReleaseAcceptedWithoutOpenWatchIsInForce checks that a note accepted while no
// node has a watch open is in force as soon as one accepted during a watch.
func TestReleaseAcceptedWithoutOpenWatchIsInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		defer d.close()
		for _, name := range []string{"n1", "n2", "n3"} {
			d.start(name)
		}
		time.Sleep(startupTime)
		d.api.Faults.SetOutage(true)
		time.Sleep(5 * time.Second)
		d.api.Faults.SetOutage(false)
		d.publish("withdraw: {models: [deck]}\n")
		time.Sleep(releasePropagationTime)
		for name := range d.nodes {
			assert.Equal(t, d.send(name, "POST", "/v1/chat/completions", chat("deck", "Order?")).status, 410, name)
		}
	})
}

func TestReconfirmSuspendsReleaseUntilConfirmed(t *testing.T) {
	inDeployment(t, 1, 2, func(t *testing.T, d *deployment) {
		n := d.nodes["n1"]
		assert.Equal(t, n.ReleaseVersion(), uint64(1))
		n.Reconfirm(time.Now())
		assert.Equal(t, n.ReleaseVersion(), uint64(0))
		time.Sleep(releasePropagationTime)
		assert.Equal(t, n.ReleaseVersion(), uint64(1))
	})
}
