package processes

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/fleet"
)

func TestFrozenControllerFencingEngines(t *testing.T) {
	t.Parallel()
	testFrozenController(t, true)
}

func TestFrozenControllerEnginesWithoutFencing(t *testing.T) {
	t.Parallel()
	testFrozenController(t, false)
}

// testFrozenController freezes the controller's process for longer than a crash
// takes to be detected, while a cold load and keyed orders are on their way, and
// lets it go on. Replica limits and single runs are checked by checkPromises.
func testFrozenController(t *testing.T, fencing bool) {
	d := deploy(t, shape{nodes: 4, fencing: fencing, loadTime: 2 * time.Second})
	d.freezeAfterLoadBegan()
	d.freezeBeforeLoadBegan()
}

// freezeAfterLoadBegan freezes the controller with a load and an order of its
// own running.
func (d *deployment) freezeAfterLoadBegan() {
	t := d.t
	d.service.SetRunTime(time.Second)
	controller := d.controller(d.nodes)
	rest := others(d.nodes, controller)
	issued := controller.issueKey()
	keys := []string{"chosen-1", issued}
	first := make(chan ordered, len(keys))
	for _, key := range keys {
		go func() { first <- controller.order(key, "one spindle") }()
	}
	waiting := startBurst(t, rest, deck, 3)
	waitFor(t, "load and orders are on their way", func() bool {
		return d.ledger.Loads(deck) == 1 && d.service.Total() == len(keys)
	})
	d.freeze(controller, rest, func() {
		waiting.answered()
		for _, key := range keys {
			d.checkFateUntold(rest[0].order(key, "one spindle"))
		}
	})
	for range keys {
		end := <-first
		assert.NilError(t, end.err)
		assert.Assert(t, end.outcome == "ran" || end.outcome == "unknown", end.body)
	}
	assert.Equal(t, d.ledger.Loads(deck), 1)
	for _, key := range keys {
		d.checkFateUntold(rest[1].order(key, "one spindle"))
		assert.Equal(t, d.service.Runs(key), 1, key)
	}
}

// checkFateUntold checks what is said of a key that ran once: it ran, or it may
// have run, but never that it did not.
func (d *deployment) checkFateUntold(o ordered) {
	d.t.Helper()
	assert.NilError(d.t, o.err)
	assert.Assert(d.t, o.outcome == "ran" || o.outcome == "unknown", "status %d: %s", o.status, o.body)
}

// freezeBeforeLoadBegan freezes the controller while engines are slow to take
// orders, so that its order may reach an engine after its successor took over.
func (d *deployment) freezeBeforeLoadBegan() {
	t := d.t
	controller := d.controller(d.nodes)
	rest := others(d.nodes, controller)
	for _, e := range d.engines {
		e.Faults.SetDelay(orderDelay)
	}
	waiting := startBurst(t, rest, rulebook, 3)
	waitFor(t, "a request waits at the controller", func() bool {
		return rwnctl(t, "explain", string(rulebook)+"-"+rest[0].name+"-0", "--nodes", rest[0].admin()).code == 0
	})
	d.freeze(controller, rest, func() {
		for _, e := range d.engines {
			e.Faults.SetDelay(0)
		}
	})
	waiting.answered()
	d.checkMember(controller, rulebook)
}

// orderDelay is the time that slow engines take to begin with a call.
const orderDelay = 700 * time.Millisecond

// freeze stops the process until the others have put another controller in its
// place and the function has run, and lets it go on.
func (d *deployment) freeze(n *daemon, rest []*daemon, during func()) {
	d.t.Helper()
	before := n.incarnation()
	n.signal(syscall.SIGSTOP)
	d.controller(rest)
	during()
	n.signal(syscall.SIGCONT)
	// Until it notices the pause, the node still says that it is ready.
	waitFor(d.t, n.name+" notices its pause", func() bool { return n.incarnation() > before })
	d.waitReady(d.nodes)
	assert.Assert(d.t, n.running(), "%s ended", n.name)
}

// incarnation returns the node's own incarnation, zero if it does not answer.
func (n *daemon) incarnation() fleet.Incarnation {
	s, _ := n.status()
	for _, m := range s.Members {
		if m.Node == s.Node {
			return m.Incarnation
		}
	}
	return 0
}

// checkMember checks that the node serves as an ordinary member.
func (d *deployment) checkMember(n *daemon, m fleet.ModelID) {
	d.t.Helper()
	assert.NilError(d.t, n.chat(m, "after the pause", "after-the-pause-"+n.name))
	o := n.order("after-the-pause-"+n.name, "one spindle")
	assert.Equal(d.t, o.status, http.StatusOK, o.body)
}
