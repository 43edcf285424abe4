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

// statusOfAll is the part of rwnctl status --output json that is checked.
type statusOfAll struct {
	InForce int `json:"in_force"`
	Reached int `json:"reached"`
	Live    int `json:"live"`
}

// statusByTool reads the status by rwnctl.
func (d *deployment) statusByTool(nodes []*daemon) statusOfAll {
	d.t.Helper()
	r := rwnctl(d.t, "status", "--platform-url", d.apiURL, "--nodes", adminList(nodes), "--output", "json")
	assert.Equal(d.t, r.code, 0, r.errOut)
	var s statusOfAll
	assert.NilError(d.t, json.Unmarshal([]byte(r.out), &s), r.out)
	return s
}

// waitInForce waits until a version is in force at all of the nodes.
func (d *deployment) waitInForce(nodes []*daemon, version int) {
	d.t.Helper()
	want := statusOfAll{InForce: version, Reached: len(nodes), Live: len(nodes)}
	waitFor(d.t, "the version is in force everywhere", func() bool { return d.statusByTool(nodes) == want })
}

func TestWholePath(t *testing.T) {
	t.Parallel()
	d := deploy(t, shape{nodes: 3, fencing: true, loadTime: time.Second})

	startBurst(t, d.nodes, lathe, 4).answered()
	assert.Equal(t, d.ledger.Loads(lathe), 1)

	first := d.nodes[0].order("order-1", "one spindle")
	again := d.nodes[1].order("order-1", "one spindle")
	assert.Equal(t, first.status, http.StatusOK, first.body)
	assert.Equal(t, again.body, first.body)
	assert.Equal(t, d.service.Runs("order-1"), 1)

	d.waitInForce(d.nodes, 1)
	second := d.apply("boris", "title: second\nwithdraw: {models: [rulebook]}\n")
	assert.Equal(t, second.code, 0, second.errOut)
	d.waitInForce(d.nodes, 2)
	withdrawn := d.nodes[2].send(http.MethodPost, "/v1/chat/completions", `{"model":"rulebook","messages":[]}`)
	assert.Equal(t, withdrawn.status, http.StatusGone, withdrawn.body)

	for id, wants := range map[string]string{
		"lathe-entry-2-0": "waits",
		withdrawn.header.Get(entry.HeaderRequestID): "withdrawn",
	} {
		explained := rwnctl(t, "explain", id, "--nodes", adminList(d.nodes))
		assert.Equal(t, explained.code, 0, explained.errOut)
		assert.Assert(t, strings.Contains(explained.out, wants), explained.out)
	}
	trail := rwnctl(t, "audit", "--platform-url", d.apiURL)
	assert.Equal(t, trail.code, 0, trail.errOut)
	for _, who := range []string{"ana", "boris"} {
		assert.Assert(t, strings.Contains(trail.out, who), trail.out)
	}
}
