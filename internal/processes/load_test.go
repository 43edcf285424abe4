package processes

import (
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/internal/dev"
)

// Load of the tests below.
const (
	loadCallers   = 8
	loadRequests  = 3 * loadCallers // between two events
	silenceRounds = 2
)

func TestNodesStoppedInTurnCutNothing(t *testing.T) {
	t.Parallel()
	d := deploy(t, shape{nodes: 3, fencing: true, loadTime: time.Second})
	l := startLoad(t, d.nodes, lathe, loadCallers)
	for _, n := range d.nodes {
		l.waitMore(t, loadRequests)
		n.signal(syscall.SIGTERM)
		<-n.exited
		assert.Equal(t, n.cmd.ProcessState.ExitCode(), 0, n.name)
		l.waitMore(t, loadRequests)
		n.start()
		d.waitReady(d.nodes)
	}
	for _, r := range l.end() {
		assert.Equal(t, r.Result, dev.Answered, r.Code)
		assert.Equal(t, r.Tries, 1, r.Code)
	}
}

func TestSilentConnectionsEndNoRequestUntold(t *testing.T) {
	t.Parallel()
	d := deploy(t, shape{nodes: 3, fencing: true, loadTime: time.Second})
	l := startLoad(t, d.nodes, lathe, loadCallers)
	for range silenceRounds {
		l.waitMore(t, loadRequests)
		for _, e := range d.engines {
			e.Faults.SilenceOpen()
		}
		d.api.Faults.SilenceOpen()
		l.waitMore(t, loadRequests)
	}
	for _, r := range l.end() {
		assert.Equal(t, r.Result, dev.Answered, "%s at try %d", r.Code, r.Tries)
	}
	startBurst(t, d.nodes, deck, 2).answered()
	applied := d.apply("ana", "title: after the silence\nwithdraw: {models: [rulebook]}\n")
	assert.Equal(t, applied.code, 0, applied.errOut)
	d.waitInForce(d.nodes, 2)
}
