package processes

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestControllerKilledDuringColdLoad(t *testing.T) {
	t.Parallel()
	d := deploy(t, shape{nodes: 4, fencing: true, loadTime: 3 * time.Second})
	controller := d.controller(d.nodes)
	rest := others(d.nodes, controller)

	waiting := startBurst(t, rest, lathe, 5)
	waitFor(t, "the load begins", func() bool { return d.ledger.Loads(lathe) == 1 })
	controller.kill()
	waiting.answered()
	assert.Equal(t, d.ledger.Loads(lathe), 1)

	assert.Assert(t, d.controller(rest) != controller)
	startBurst(t, rest, deck, 2).answered()
	assert.Equal(t, d.ledger.Loads(deck), 1)
}

func TestAllNodesKilledAtOnceKeepTheRelease(t *testing.T) {
	t.Parallel()
	d := deploy(t, shape{nodes: 3, fencing: true, loadTime: time.Second})
	winner, loser := d.race()
	version := 2
	assert.Equal(t, winner.result.code, 0, winner.result.errOut)
	assert.Equal(t, loser.result.code, 1, loser.result.errOut)
	for _, told := range []string{winner.operator, "version 2", "replicas"} {
		assert.Assert(t, strings.Contains(loser.result.errOut, told), "%q is not in %s", told, loser.result.errOut)
	}
	d.waitInForce(d.nodes, version)

	for _, n := range d.nodes {
		n.signal(syscall.SIGKILL)
	}
	for _, n := range d.nodes {
		<-n.exited
		n.start()
	}
	for _, n := range d.nodes {
		waitFor(t, n.name+" is ready again", func() bool {
			n.checkInForce(winner.model)
			return n.ready()
		})
		n.checkInForce(winner.model)
	}
	d.waitInForce(d.nodes, version)
	assert.Equal(t, d.statusByTool(d.nodes).InForce, version)
}

// attempt is one operator's note in a race.
type attempt struct {
	operator string
	model    string // that only this note adds
	result   result
}

// race lets two operators apply notes that state different limits of one model
// and were both written after reading version 1.
func (d *deployment) race() (winner, loser attempt) {
	attempts := []attempt{{operator: "carla", model: "added-by-carla"}, {operator: "dimitri", model: "added-by-dimitri"}}
	var wait sync.WaitGroup
	for i := range attempts {
		a := &attempts[i]
		note := fmt.Sprintf(raceNote, i+1, a.model)
		wait.Go(func() { a.result = d.apply(a.operator, note) })
	}
	wait.Wait()
	if attempts[0].result.code == 0 {
		return attempts[0], attempts[1]
	}
	return attempts[1], attempts[0]
}

const raceNote = `title: race
based_on: 1
models:
  - {id: lathe, version: v1, replicas: {cell-1: %d}, memory: 1GiB, load_time: 1s, slots: 64}
  - {id: %s, version: v1, replicas: {cell-1: 1}, memory: 1GiB, load_time: 1s, slots: 4}
`

// checkInForce fails the test if the node says that it serves a release without
// the model.
func (n *daemon) checkInForce(model string) {
	n.t.Helper()
	if r := n.send(http.MethodGet, "/v1/models", ""); r.err == nil && r.status == http.StatusOK && !strings.Contains(r.body, model) {
		n.t.Fatalf("%s serves a release without %s: %s", n.name, model, r.body)
	}
}
