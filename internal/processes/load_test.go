package processes

import (
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/internal/dev"
)

// Parameters of the load.
const (
	loadCallers           = 8
	requestsBetweenEvents = 3 * loadCallers // number of requests that complete between two events
	stallRounds           = 2
)

func TestRollingRestartCompletesAllRequests(t *testing.T) {
	t.Parallel()
	d := deploy(t, deployOptions{nodes: 3, fencing: true, loadTime: time.Second})
	l := startLoad(t, d.nodes, lathe, loadCallers)
	for _, n := range d.nodes {
		l.waitCompleted(t, requestsBetweenEvents)
		n.signal(syscall.SIGTERM)
		<-n.exited
		assert.Equal(t, n.cmd.ProcessState.ExitCode(), 0, n.name)
		l.waitCompleted(t, requestsBetweenEvents)
		n.start()
		d.waitReady(d.nodes)
	}
	for _, r := range l.stopAndCollect() {
		assert.Equal(t, r.Result, dev.Answered, r.Code)
		assert.Equal(t, r.Tries, 1, r.Code)
	}
}

func TestRequestsCompleteDespiteStalledConnections(t *testing.T) {
	t.Parallel()
	d := deploy(t, deployOptions{nodes: 3, fencing: true, loadTime: time.Second})
	l := startLoad(t, d.nodes, lathe, loadCallers)
	for range stallRounds {
		l.waitCompleted(t, requestsBetweenEvents)
		for _, e := range d.engines {
			e.Faults.StallConns()
		}
		d.api.Faults.StallConns()
		l.waitCompleted(t, requestsBetweenEvents)
	}
	for _, r := range l.stopAndCollect() {
		assert.Equal(t, r.Result, dev.Answered, "%s at try %d", r.Code, r.Tries)
	}
	startBurst(t, d.nodes, deck, 2).waitAnswered()
	applied := d.apply("ana", "title: after the stall\nwithdraw: {models: [rulebook]}\n")
	assert.Equal(t, applied.exitCode, 0, applied.stderr)
	d.waitInForce(d.nodes, 2)
}
