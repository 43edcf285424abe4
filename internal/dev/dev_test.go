package dev

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/standin/engine"
	"github.com/redwingnotch/redwingnotch/standin/objectapi"
	"github.com/redwingnotch/redwingnotch/standin/weightstore"
)

func TestChatReportsResult(t *testing.T) {
	request := Request{Target: fleet.Target{Model: "m"}, Rank: fleet.RankBulk, Content: "c", MaxTokens: 1, Deadline: time.Minute}
	expected, err := engine.ExpectedText(fleet.Target{Model: "m"}, request.body())
	assert.NilError(t, err)
	stream := func(text, end string) string {
		return fmt.Sprintf("data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n%s", text, end)
	}
	refusalBody := `{"error":{"code":%q,"outcome":%q,"retry_after_ms":250}}`
	for _, tc := range []struct {
		name   string
		status int
		body   string
		want   Result
		tries  int
	}{
		{"complete", 200, stream(expected, "data: [DONE]\n\n"), Answered, 1},
		{"response to another request", 200, stream("other", "data: [DONE]\n\n"), Wrong, 1},
		{"incomplete", 200, stream(expected, ""), Failed, maxTries},
		{"refused", 503, fmt.Sprintf(refusalBody, "overloaded", "not_run"), Refused, 1},
		{"expired", 504, fmt.Sprintf(refusalBody, "deadline_exceeded", "unknown"), Expired, 1},
		{"failed", 502, fmt.Sprintf(refusalBody, "backend_failed", "ran"), Failed, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/v1/entry" {
					fmt.Fprintf(w, `{"addresses":[{"address":%q}],"valid_for_ms":1000}`, r.Host)
					return
				}
				w.WriteHeader(tc.status)
				_, _ = io.WriteString(w, tc.body)
			}))
			defer server.Close()
			c := NewCaller("c", func() []string { return []string{strings.TrimPrefix(server.URL, "http://")} })
			defer c.Close()
			reply := c.Chat(context.Background(), request)
			assert.Equal(t, reply.Result, tc.want, reply.Code)
			assert.Equal(t, reply.Tries, tc.tries)
		})
	}
}

func TestReplicasBeyondLimitViolateGuarantee(t *testing.T) {
	d := &Deployment{
		API:        objectapi.New(),
		FleetStats: engine.NewFleetStats(),
		Weights:    weightstore.New(weightstore.Options{}),
		startedAt:  time.Now().Add(-time.Minute),
	}
	release := Release{Models: []fleet.Model{{ID: "m", MaxReplicas: 1}}}
	for i := range 2 {
		assert.Equal(t, printGuarantees(io.Discard, d.standInGuarantees(release)), 0)
		e := engine.New(engine.Config{
			ID:         fleet.BackendID(fmt.Sprint("e", i)),
			Memory:     10,
			FleetStats: d.FleetStats,
			Models:     map[fleet.ModelID]engine.Model{"m": {}},
		})
		defer e.Reclaim()
		loadOn(t, e)
	}
	assert.Equal(t, printGuarantees(io.Discard, d.standInGuarantees(release)), 1)
}

// loadOn sends the engine an order to load model m over HTTP.
func loadOn(t *testing.T, e *engine.Engine) {
	server := httptest.NewServer(e)
	defer server.Close()
	resp, err := http.Post(server.URL+"/v1/orders", "application/json", strings.NewReader(`{"id":"o","kind":"load","model":"m","version":"v1","memory_bytes":5}`))
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

func TestFailedRequestsViolateGuarantees(t *testing.T) {
	for _, tc := range []struct {
		result   Result
		violated int
	}{
		{Answered, 0}, {Refused, 0}, {Expired, 0}, {Failed, 1}, {Wrong, 1}, {NoResponse, 1},
	} {
		m := NewStats()
		for rank := range fleet.Rank(fleet.RankCount) {
			m.Add(Reply{Request: Request{Rank: rank}, Result: Answered}, false)
		}
		m.Add(Reply{Request: Request{Rank: fleet.RankBulk}, Result: tc.result}, true)
		assert.Equal(t, printGuarantees(io.Discard, m.callerGuarantees()), tc.violated, "result %d", tc.result)
	}
}

func TestVMRecordsAreSortedByBackendServer(t *testing.T) {
	d := &Deployment{vms: map[fleet.BackendID]platform.VMRecord{}}
	for _, id := range []fleet.BackendID{"b", "a"} {
		d.vms[id] = platform.VMRecord{Backend: fleet.BackendServer{ID: id}}
	}
	assert.Equal(t, d.vmRecords()[0].Backend.ID, fleet.BackendID("a"))
}
