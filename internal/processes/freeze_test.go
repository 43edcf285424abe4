package processes

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/fleet"
)

func TestFrozenControllerWithFencing(t *testing.T) {
	t.Parallel()
	testFrozenController(t, true)
}

func TestFrozenControllerWithoutFencing(t *testing.T) {
	t.Parallel()
	testFrozenController(t, false)
}

// testFrozenController freezes the controller's process until another node has
// replaced it, during a cold load and keyed calls, and then resumes it.
// checkGuarantees checks replica limits and that each key ran at most once.
func testFrozenController(t *testing.T, fencing bool) {
	d := deploy(t, deployOptions{nodes: 4, fencing: fencing, loadTime: 2 * time.Second})
	d.freezeDuringLoad()
	d.freezeBeforeLoad()
}

// freezeDuringLoad freezes the controller while a load that it ordered and keyed
// calls that it received are running.
func (d *deployment) freezeDuringLoad() {
	t := d.t
	d.service.SetRunTime(time.Second)
	controller := d.controller(d.nodes)
	rest := without(d.nodes, controller)
	issued := controller.newKey()
	keys := []string{"chosen-1", issued}
	results := make(chan orderResult, len(keys))
	for _, key := range keys {
		go func() { results <- controller.order(key, "one spindle") }()
	}
	waiting := startBurst(t, rest, deck, 3)
	waitFor(t, "the load and the keyed calls are running", func() bool {
		return d.ledger.Loads(deck) == 1 && d.service.TotalRuns() == len(keys)
	})
	d.freeze(controller, rest, func() {
		waiting.waitAnswered()
		for _, key := range keys {
			d.checkRanOrUnknown(rest[0].order(key, "one spindle"))
		}
	})
	for range keys {
		r := <-results
		assert.NilError(t, r.err)
		assert.Assert(t, r.outcome == "ran" || r.outcome == "unknown", r.body)
	}
	assert.Equal(t, d.ledger.Loads(deck), 1)
	for _, key := range keys {
		d.checkRanOrUnknown(rest[1].order(key, "one spindle"))
		assert.Equal(t, d.service.Runs(key), 1, key)
	}
}

// checkRanOrUnknown checks the reported outcome of a call that ran once: it must be
// "ran" or "unknown", never "not_run".
func (d *deployment) checkRanOrUnknown(o orderResult) {
	d.t.Helper()
	assert.NilError(d.t, o.err)
	assert.Assert(d.t, o.outcome == "ran" || o.outcome == "unknown", "status %d: %s", o.status, o.body)
}

// freezeBeforeLoad freezes the controller while the engines delay orders, so that
// its load order may reach an engine after a successor has taken over.
func (d *deployment) freezeBeforeLoad() {
	t := d.t
	controller := d.controller(d.nodes)
	rest := without(d.nodes, controller)
	for _, e := range d.engines {
		e.Faults.SetDelay(engineDelay)
	}
	waiting := startBurst(t, rest, rulebook, 3)
	waitFor(t, "an entry node can explain the waiting request", func() bool {
		return rwnctl(t, "explain", string(rulebook)+"-"+rest[0].name+"-0", "--nodes", rest[0].admin()).exitCode == 0
	})
	d.freeze(controller, rest, func() {
		for _, e := range d.engines {
			e.Faults.SetDelay(0)
		}
	})
	waiting.waitAnswered()
	d.checkServes(controller, rulebook)
}

// engineDelay is how long delayed engines wait before they handle a request.
const engineDelay = 700 * time.Millisecond

// freeze stops the process until the other nodes agree on another controller and
// during has run. It then resumes the process and waits until all nodes are ready.
func (d *deployment) freeze(n *daemon, rest []*daemon, during func()) {
	d.t.Helper()
	before := n.incarnation()
	n.signal(syscall.SIGSTOP)
	d.controller(rest)
	during()
	n.signal(syscall.SIGCONT)
	// Until the node detects the pause, it still reports that it is ready.
	waitFor(d.t, n.name+" has detected its pause", func() bool { return n.incarnation() > before })
	d.waitReady(d.nodes)
	assert.Assert(d.t, n.running(), "%s exited", n.name)
}

// incarnation returns the node's own incarnation, or zero if the node doesn't
// respond.
func (n *daemon) incarnation() fleet.Incarnation {
	s, _ := n.status()
	for _, m := range s.Members {
		if m.Node == s.Node {
			return m.Incarnation
		}
	}
	return 0
}

// checkServes checks that the node serves model requests and keyed calls.
func (d *deployment) checkServes(n *daemon, m fleet.ModelID) {
	d.t.Helper()
	assert.NilError(d.t, n.chat(m, "after the pause", "after-the-pause-"+n.name))
	o := n.order("after-the-pause-"+n.name, "one spindle")
	assert.Equal(d.t, o.status, http.StatusOK, o.body)
}
