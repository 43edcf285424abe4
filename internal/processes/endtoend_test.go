package processes

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/internal/entry"
)

// rwnctlStatus is the part of the output of rwnctl status that tests check.
type rwnctlStatus struct {
	InForce int `json:"in_force"`
	Reached int `json:"reached"`
	Live    int `json:"live"`
}

// rwnctlStatusOf runs rwnctl status for the nodes.
func (d *deployment) rwnctlStatusOf(nodes []*daemon) rwnctlStatus {
	d.t.Helper()
	r := rwnctl(d.t, "status", "--platform-url", d.platformURL, "--nodes", adminAddresses(nodes), "--output", "json")
	assert.Equal(d.t, r.exitCode, 0, r.stderr)
	var s rwnctlStatus
	assert.NilError(d.t, json.Unmarshal([]byte(r.stdout), &s), r.stdout)
	return s
}

// waitInForce waits until a release version is in force at all the nodes.
func (d *deployment) waitInForce(nodes []*daemon, version int) {
	d.t.Helper()
	want := rwnctlStatus{InForce: version, Reached: len(nodes), Live: len(nodes)}
	waitFor(d.t, "the version is in force at all nodes", func() bool { return d.rwnctlStatusOf(nodes) == want })
}

func TestColdBurstOrdersAndReleasesEndToEnd(t *testing.T) {
	t.Parallel()
	d := deploy(t, deployOptions{nodes: 3, fencing: true, loadTime: time.Second})

	startBurst(t, d.nodes, lathe, 4).waitAnswered()
	assert.Equal(t, d.ledger.Loads(lathe), 1)

	first := d.nodes[0].order("order-1", "one spindle")
	repeated := d.nodes[1].order("order-1", "one spindle")
	assert.Equal(t, first.status, http.StatusOK, first.body)
	assert.Equal(t, repeated.body, first.body)
	assert.Equal(t, d.service.Runs("order-1"), 1)

	d.waitInForce(d.nodes, 1)
	second := d.apply("boris", "title: second\nwithdraw: {models: [rulebook]}\n")
	assert.Equal(t, second.exitCode, 0, second.stderr)
	d.waitInForce(d.nodes, 2)
	withdrawn := d.nodes[2].sendRequest(http.MethodPost, "/v1/chat/completions", `{"model":"rulebook","messages":[]}`)
	assert.Equal(t, withdrawn.status, http.StatusGone, withdrawn.body)

	for id, expected := range map[string]string{
		"lathe-entry-2-0": "waits",
		withdrawn.header.Get(entry.HeaderRequestID): "withdrawn",
	} {
		explained := rwnctl(t, "explain", id, "--nodes", adminAddresses(d.nodes))
		assert.Equal(t, explained.exitCode, 0, explained.stderr)
		assert.Assert(t, strings.Contains(explained.stdout, expected), explained.stdout)
	}
	audit := rwnctl(t, "audit", "--platform-url", d.platformURL)
	assert.Equal(t, audit.exitCode, 0, audit.stderr)
	for _, operator := range []string{"ana", "boris"} {
		assert.Assert(t, strings.Contains(audit.stdout, operator), audit.stdout)
	}
}
