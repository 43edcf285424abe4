package node_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/platform"
)

// TestSuccessorLoadsModelDuringStoreOutage kills the active controller during an
// outage of the object API. Nodes that start later are named as successors in the
// lease only after the first claim.
func TestSuccessorLoadsModelDuringStoreOutage(t *testing.T) {
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
			time.Sleep(startupTime)
			controllerNode, _ := d.controllerNode()
			d.api.Faults.SetOutage(true)
			time.Sleep(time.Second)
			d.nodes[controllerNode].Kill()
			assert.NilError(t, <-d.nodes[controllerNode].err)
			delete(d.nodes, controllerNode)
			for other := range d.nodes {
				got := d.send(other, "POST", "/v1/chat/completions", latheRequest, "Redwingnotch-Deadline", "1m")
				assert.NilError(t, checkAnswer(got, "lathe", latheRequest), "started %v apart", stagger)
			}
			assert.Equal(t, d.stats.Loads("lathe"), 1)
			d.api.Faults.SetOutage(false)
			time.Sleep(startupTime)
		})
	}
}

// longRequest runs for half a minute, so that its replica is not unloaded.
const longRequest = `{"model":"lathe","stream":true,"max_tokens":600,"messages":[{"role":"user","content":"The whole history of lathe 7."}]}`

// TestDirectDispatchSkipsLeavingServer guards against direct dispatch to a backend
// server that is known to leave. The only node that publishes replicas is killed just
// after the VM list shows the server of the only replica as leaving, so the last
// snapshot still lists that replica as usable. The phases vary the time since the
// last snapshot.
func TestDirectDispatchSkipsLeavingServer(t *testing.T) {
	for phase := range 8 {
		testServerLeavingBeforeControllerCrash(t, time.Duration(phase)*250*time.Millisecond)
	}
}

func testServerLeavingBeforeControllerCrash(t *testing.T, phase time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		defer d.close()
		e := d.addEngine("e1")
		for _, name := range []string{"n1", "n2"} {
			d.start(name)
		}
		time.Sleep(startupTime)
		controllerNode, _ := d.controllerNode()
		other := map[string]string{"n1": "n2", "n2": "n1"}[controllerNode]
		assert.NilError(t, checkAnswer(d.send(other, "POST", "/v1/chat/completions", latheRequest), "lathe", latheRequest))
		time.Sleep(5*time.Second + phase)
		long := make(chan error, 1)
		go func() {
			got := d.send(other, "POST", "/v1/chat/completions", longRequest)
			long <- checkAnswer(got, "lathe", longRequest)
		}()
		time.Sleep(time.Second)
		accepted := e.Counts().Accepted
		backend := fleet.BackendServer{ID: "e1", VM: "e1", Cell: "c", Address: "e1:90", Fencing: true}
		d.api.SetVM(platform.VMRecord{VM: fleet.VM{ID: "e1", Zone: "z1", State: fleet.VMLeaving, Memory: engineMemory}, Backend: backend})
		time.Sleep(1100 * time.Millisecond) // one node.DefaultVMListInterval and a margin
		d.api.Faults.SetOutage(true)
		d.nodes[controllerNode].Kill()
		assert.NilError(t, <-d.nodes[controllerNode].err)
		delete(d.nodes, controllerNode)
		d.send(other, "POST", "/v1/chat/completions", latheRequest, "Redwingnotch-Rank", "urgent", "Redwingnotch-Deadline", "5s")
		assert.Equal(t, e.Counts().Accepted, accepted, "%v", phase)
		assert.NilError(t, <-long, "the running request must complete")
		d.api.Faults.SetOutage(false)
	})
}
