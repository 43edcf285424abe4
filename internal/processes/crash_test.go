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
	d := deploy(t, deployOptions{nodes: 4, fencing: true, loadTime: 3 * time.Second})
	controller := d.controller(d.nodes)
	rest := without(d.nodes, controller)

	waiting := startBurst(t, rest, lathe, 5)
	waitFor(t, "the load begins", func() bool { return d.ledger.Loads(lathe) == 1 })
	controller.kill()
	waiting.waitAnswered()
	assert.Equal(t, d.ledger.Loads(lathe), 1)

	// Waits until the remaining nodes agree on a controller among them.
	assert.Assert(t, d.controller(rest) != controller)
	startBurst(t, rest, deck, 2).waitAnswered()
	assert.Equal(t, d.ledger.Loads(deck), 1)
}

func TestReleaseSurvivesKillOfAllNodes(t *testing.T) {
	t.Parallel()
	d := deploy(t, deployOptions{nodes: 3, fencing: true, loadTime: time.Second})
	winner, loser := d.applyConcurrently()
	version := 2
	assert.Equal(t, winner.result.exitCode, 0, winner.result.stderr)
	assert.Equal(t, loser.result.exitCode, 1, loser.result.stderr)
	for _, expected := range []string{winner.operator, "version 2", "replicas"} {
		assert.Assert(t, strings.Contains(loser.result.stderr, expected), "%q is not in %s", expected, loser.result.stderr)
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
			n.checkServesReleaseWith(winner.model)
			return n.ready()
		})
		n.checkServesReleaseWith(winner.model)
	}
	d.waitInForce(d.nodes, version)
	assert.Equal(t, d.rwnctlStatusOf(d.nodes).InForce, version)
}

// applyAttempt is one operator's release note and the result of applying it.
type applyAttempt struct {
	operator string
	model    string // a model that only this note adds
	result   result
}

// applyConcurrently lets two operators apply conflicting notes at the same time.
// Both are based on version 1 and set different replica limits of one model.
func (d *deployment) applyConcurrently() (winner, loser applyAttempt) {
	attempts := []applyAttempt{{operator: "carla", model: "added-by-carla"}, {operator: "dimitri", model: "added-by-dimitri"}}
	var wg sync.WaitGroup
	for i := range attempts {
		a := &attempts[i]
		note := fmt.Sprintf(conflictingNote, i+1, a.model)
		wg.Go(func() { a.result = d.apply(a.operator, note) })
	}
	wg.Wait()
	if attempts[0].result.exitCode == 0 {
		return attempts[0], attempts[1]
	}
	return attempts[1], attempts[0]
}

// conflictingNote is a release note with a replica limit of lathe and the ID of a
// new model to fill in.
const conflictingNote = `title: race
based_on: 1
models:
  - {id: lathe, version: v1, replicas: {cell-1: %d}, memory: 1GiB, load_time: 1s, slots: 64}
  - {id: %s, version: v1, replicas: {cell-1: 1}, memory: 1GiB, load_time: 1s, slots: 4}
`

// checkServesReleaseWith fails the test if the node lists its models and the model
// is not among them. It passes if the node doesn't respond.
func (n *daemon) checkServesReleaseWith(model string) {
	n.t.Helper()
	if r := n.sendRequest(http.MethodGet, "/v1/models", ""); r.err == nil && r.status == http.StatusOK && !strings.Contains(r.body, model) {
		n.t.Fatalf("%s serves a release without model %s: %s", n.name, model, r.body)
	}
}
