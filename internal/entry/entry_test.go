package entry_test

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/idempotency"
	"github.com/redwingnotch/redwingnotch/internal/entry"
	"github.com/redwingnotch/redwingnotch/internal/httpsend"
	"github.com/redwingnotch/redwingnotch/peer"
)

const (
	streamedRequest   = `{"model":"lathe","stream":true}`
	unstreamedRequest = `{"model":"lathe"}`
	streamedResponse  = "data: t0\n\ndata: t1\n\ndata: t2\n\ndata: [DONE]\n\n"
)

// withHarness runs f with a harness in virtual time.
func withHarness(t *testing.T, f func(t *testing.T, h *harness)) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.close()
		f(t, h)
	})
}

// code returns the code and the outcome of an error response.
func (r response) code(t *testing.T) (code, outcome string) {
	t.Helper()
	var body struct {
		Error struct{ Code, Outcome string }
	}
	assert.NilError(t, json.Unmarshal([]byte(r.body), &body), r.body)
	return body.Error.Code, body.Error.Outcome
}

func TestChatReturnsStreamedAndUnstreamedResponse(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		got := h.chat(streamedRequest, "Redwingnotch-Request-Id", "req-7", "Redwingnotch-Rank", "urgent")
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, streamedResponse)
		assert.Equal(t, got.header.Get("Redwingnotch-Request-Id"), "req-7")
		assert.Equal(t, h.grants.acquires[0].GetRank(), uint32(fleet.RankUrgent))
		got = h.chat(unstreamedRequest)
		assert.Equal(t, got.body, "t0t1t2")
		assert.Equal(t, h.grants.outcomes(), "ok ok")
		assert.Assert(t, h.grants.acquires[0].GetRequestId() != h.grants.acquires[1].GetRequestId())
	})
}

func TestInvalidChatRequestsReturnTypedErrors(t *testing.T) {
	for _, tc := range []struct {
		name, body string
		headers    []string
		status     int
		code       string
	}{
		{"malformed", `{`, nil, 400, "bad_request"},
		{"no model", `{}`, nil, 400, "bad_request"},
		{"unknown", `{"model":"nope"}`, nil, 404, "unknown_model"},
		{"withdrawn", `{"model":"old"}`, nil, 410, "withdrawn"},
		{"rank not allowed", `{"model":"urgent-only"}`, nil, 403, "rank_not_allowed"},
		{"too large", strings.Repeat("x", 2000), nil, 413, "body_too_large"},
		{"bad rank", unstreamedRequest, []string{"Redwingnotch-Rank", "asap"}, 400, "bad_request"},
		{"bad deadline", unstreamedRequest, []string{"Redwingnotch-Deadline", "soon"}, 400, "bad_request"},
		{"past deadline", unstreamedRequest, []string{"Redwingnotch-Deadline", "1999-01-01T00:00:00Z"}, 504, "deadline_past"},
		{"past duration", unstreamedRequest, []string{"Redwingnotch-Deadline", "-1s"}, 504, "deadline_past"},
		{"long id", unstreamedRequest, []string{"Redwingnotch-Request-Id", strings.Repeat("i", 300)}, 400, "bad_request"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withHarness(t, func(t *testing.T, h *harness) {
				got := h.chat(tc.body, tc.headers...)
				assert.Equal(t, got.status, tc.status, got.body)
				code, outcome := got.code(t)
				assert.Equal(t, code, tc.code)
				assert.Equal(t, outcome, "not_run")
				assert.Equal(t, len(h.grants.acquires), 0)
			})
		})
	}
}

func TestUnknownPathsReturnTypedErrors(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		for _, target := range []string{"GET /", "GET /v1/chat/completions", "DELETE /v1/entry", "POST /v2/keys"} {
			method, path, _ := strings.Cut(target, " ")
			got := h.send(method, path, "")
			assert.Equal(t, got.status, http.StatusNotFound, target)
			code, outcome := got.code(t)
			assert.Equal(t, code+" "+outcome, "not_found not_run", target)
		}
	})
}

func TestUnknownModelErrorListsTargetsInForce(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		assert.Assert(t, strings.Contains(h.chat(`{"model":"nope"}`).body, `"in_force":["lathe","urgent-only"]`))
	})
}

func TestNotReadyWithoutRelease(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		assert.Assert(t, strings.Contains(h.send(http.MethodGet, "/v1/models", "").body, `"id":"lathe"`))
		h.catalog.version = 0
		for _, got := range []response{h.chat(unstreamedRequest), h.send(http.MethodGet, "/v1/models", "")} {
			assert.Equal(t, got.status, http.StatusServiceUnavailable, got.body)
			code, outcome := got.code(t)
			assert.Equal(t, code+" "+outcome, "not_ready not_run")
		}
	})
}

func TestControllerRefusalIsReturned(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.grants.refusal = &peer.Refusal{Code: "overloaded", Detail: "the queue is full", RetryAfterMs: 1500}
		got := h.chat(unstreamedRequest)
		assert.Equal(t, got.status, http.StatusTooManyRequests)
		assert.Equal(t, got.header.Get("Retry-After"), "2")
		code, outcome := got.code(t)
		assert.Equal(t, code+" "+outcome, "overloaded not_run")
	})
}

func TestQuarantinedContentIsRefused(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.quarantine.refused = time.Minute
		code, outcome := h.chat(unstreamedRequest).code(t)
		assert.Equal(t, code+" "+outcome, "quarantined not_run")
	})
}

func TestAttemptsThatDidNotRunAreRetried(t *testing.T) {
	for _, failure := range []error{engine.ErrNotSent, engine.ErrNotLoaded, engine.ErrDraining, engine.ErrUnreachable} {
		withHarness(t, func(t *testing.T, h *harness) {
			h.engines["b1"] = &fakeEngine{failure: failure}
			assert.Equal(t, h.chat(streamedRequest).body, streamedResponse)
			assert.Equal(t, h.grants.outcomes(), "not_run ok")
			assert.DeepEqual(t, h.grants.acquires[1].GetExcludedBackends(), []string{"b1"})
		})
	}
}

func TestChatCompletesAfterBackendServerCrash(t *testing.T) {
	for _, body := range []string{streamedRequest, unstreamedRequest} {
		withHarness(t, func(t *testing.T, h *harness) {
			h.engines["b1"] = &fakeEngine{tokens: 3, failAfter: 2, failure: engine.ErrCrashed}
			got := h.chat(body)
			assert.NilError(t, got.err)
			want := streamedResponse
			if body == unstreamedRequest {
				want = "t0t1t2"
			}
			assert.Equal(t, got.body, want)
			assert.Equal(t, h.grants.outcomes(), "crashed ok")
		})
	}
}

func TestFailedStreamBreaksConnection(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		for _, b := range []string{"b1", "b2"} {
			h.engines[b] = &fakeEngine{tokens: 3, failAfter: 2, failure: engine.ErrCrashed}
		}
		got := h.chat(streamedRequest)
		assert.Assert(t, errors.Is(got.err, io.ErrUnexpectedEOF), "%v", got.err)
		assert.Assert(t, !strings.Contains(got.body, "[DONE]"))
		assert.Equal(t, h.grants.outcomes(), "crashed crashed")
	})
}

func TestFailedUnstreamedChatHasOutcomeRan(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		for _, b := range []string{"b1", "b2"} {
			h.engines[b] = &fakeEngine{tokens: 3, failAfter: 2, failure: engine.ErrCrashed}
		}
		code, outcome := h.chat(unstreamedRequest).code(t)
		assert.Equal(t, code+" "+outcome, "backend_failed ran")
	})
}

func TestHedgeUsesFreshConnection(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.engines["b1"] = &fakeEngine{tokens: 3, stallsPooledConns: true}
		assert.Equal(t, h.chat(streamedRequest).body, streamedResponse)
		assert.Equal(t, h.grants.outcomes(), "ok")
	})
}

func TestDirectDispatchStartsSoonerForUrgentRequests(t *testing.T) {
	for _, tc := range []struct {
		rank string
		wait time.Duration
	}{{"urgent", 300 * time.Millisecond}, {"standard", 2 * time.Second}} {
		withHarness(t, func(t *testing.T, h *harness) {
			h.grants.unresponsive = true
			h.grants.replicas = []fleet.Replica{{ReplicaKey: fleet.ReplicaKey{Backend: "b9", Model: "lathe"}, Address: "b9", State: fleet.ReplicaReady, Slots: 1}}
			start := time.Now()
			assert.Equal(t, h.chat(streamedRequest, "Redwingnotch-Rank", tc.rank).body, streamedResponse)
			assert.Equal(t, time.Since(start).Round(50*time.Millisecond), tc.wait, tc.rank)
			assert.Equal(t, h.grants.outcomes(), "cancelled", "the waiting request is cancelled")
		})
	}
}

// TestDirectDispatchExcludesSuspectedContent guards against a poison request that
// crashes one backend server after another by direct dispatch: the node must
// record the crash and then wait for a controller's grant.
func TestDirectDispatchExcludesSuspectedContent(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.grants.unresponsive = true
		h.engines["b9"] = &fakeEngine{failure: engine.ErrCrashed, failAfter: 1, tokens: 3}
		h.grants.replicas = []fleet.Replica{{ReplicaKey: fleet.ReplicaKey{Backend: "b9", Model: "lathe"}, Address: "b9", State: fleet.ReplicaReady, Slots: 1}}
		assert.Assert(t, h.chat(streamedRequest).err != nil, "the interrupted stream looks complete")
		assert.DeepEqual(t, h.quarantine.crashed, []fleet.BackendID{"b9"})
		h.quarantine.suspected = true
		code, outcome := h.chat(streamedRequest).code(t)
		assert.Equal(t, code+" "+outcome, "no_controller not_run")
		assert.Equal(t, len(h.quarantine.crashed), 1)
	})
}

func TestDirectDispatchWithUnresponsiveController(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.grants.unresponsive = true
		code, outcome := h.chat(streamedRequest).code(t)
		assert.Equal(t, code+" "+outcome, "no_controller not_run")
		h.grants.replicas = []fleet.Replica{{ReplicaKey: fleet.ReplicaKey{Backend: "b9", Model: "lathe"}, Address: "b9", State: fleet.ReplicaReady, Slots: 1}}
		assert.Equal(t, h.chat(streamedRequest).body, streamedResponse)
		assert.Equal(t, h.chat(streamedRequest).body, streamedResponse, "the slot was freed")
	})
}

func TestDeadlineLimitsTimeToFirstToken(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.engines["b1"] = &fakeEngine{tokens: 3, chunkDelay: 2 * time.Second}
		h.engines["b2"] = &fakeEngine{tokens: 3, chunkDelay: 2 * time.Second}
		code, outcome := h.chat(streamedRequest, "Redwingnotch-Deadline", "1s").code(t)
		assert.Equal(t, code+" "+outcome, "deadline_exceeded ran")
		assert.Equal(t, h.chat(streamedRequest, "Redwingnotch-Deadline", "3s").body, streamedResponse, "a slow response that has started is not cut")
	})
}

func TestCallerDisconnectCancelsAtEngine(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		slow := &fakeEngine{tokens: 1000, chunkDelay: 100 * time.Millisecond}
		h.engines["b1"] = slow
		h.client.Timeout = time.Second
		got := h.chat(streamedRequest)
		assert.Assert(t, got.err != nil)
		h.handler.Wait()
		assert.Equal(t, h.grants.outcomes(), "cancelled")
		assert.Equal(t, len(slow.cancelled), 1)
	})
}

func TestEntryAddressesListRequestedZoneFirst(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		var got struct {
			Addresses  []struct{ Node, Address string }
			ValidForMS int `json:"valid_for_ms"`
		}
		requestNodes := func(path string) []string {
			assert.NilError(t, json.Unmarshal([]byte(h.send(http.MethodGet, path, "").body), &got))
			var nodes []string
			for _, a := range got.Addresses {
				nodes = append(nodes, a.Node)
			}
			return nodes
		}
		assert.Equal(t, requestNodes("/v1/entry")[0], "n1", "the node's own zone first")
		assert.Equal(t, requestNodes("/v1/entry?availability_zone=z2")[2], "n1")
		assert.Equal(t, got.ValidForMS, 5000)
	})
}

func TestServiceCallsForwardCallAndReportOutcome(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		got := h.send(http.MethodPost, "/v1/services/ordering/parts/a%2Fb?x=1", "spindle")
		code, outcome := got.code(t)
		assert.Equal(t, code+" "+outcome, "key_required not_run")
		got = h.send(http.MethodPost, "/v1/services/ordering/parts/a%2Fb?x=1", "spindle", "Idempotency-Key", "k1", "Redwingnotch-Attempt", "1")
		assert.Equal(t, got.status, 201)
		assert.Equal(t, got.body, "ordered")
		call := h.services.calls[0]
		assert.Equal(t, call.Path, "/parts/a%2Fb?x=1")
		assert.Equal(t, string(call.Key)+" "+call.Method, "k1 POST")
		assert.Assert(t, call.FirstSend)
		assert.Equal(t, h.send(http.MethodPut, "/v1/services/ordering/x", "").status, 201, "PUT needs no key")
		assert.Equal(t, h.send(http.MethodGet, "/v1/services/nope/x", "").status, 404)
		h.send(http.MethodPost, "/v1/services/ordering/x", "", "Redwingnotch-Request-Id", "call-7")
		explanation, found := h.handler.Explain("call-7")
		assert.Assert(t, found)
		assert.Equal(t, explanation.Target+" "+explanation.Code+" "+explanation.Outcome, "service ordering key_required not_run")
		// A node that has just started may not know the service yet, so its
		// refusal says nothing about earlier requests with the key.
		code, outcome = h.send(http.MethodPost, "/v1/services/nope/x", "", "Idempotency-Key", "k1").code(t)
		assert.Equal(t, code+" "+outcome, "unknown_service unknown")
		code, outcome = h.send(http.MethodPost, "/v1/services/nope/x", "", "Idempotency-Key", "k9", "Redwingnotch-Attempt", "1").code(t)
		assert.Equal(t, code+" "+outcome, "unknown_service not_run")
		h.services.result = idempotency.Result{Outcome: fleet.OutcomeUnknown, Code: idempotency.CodeOwnerGone}
		code, outcome = h.send(http.MethodPost, "/v1/services/ordering/x", "", "Idempotency-Key", "k1").code(t)
		assert.Equal(t, code+" "+outcome, "owner_gone unknown")
	})
}

// TestUnframedServiceResponseStaysUnframed guards against a response that is framed as
// complete, although only the end of the service's connection ended it.
func TestUnframedServiceResponseStaysUnframed(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		for _, unframed := range []bool{false, true} {
			h.services.result.Response.Unframed = unframed
			got := h.send(http.MethodPost, "/v1/services/ordering/orders", "spindle", entry.HeaderIdempotencyKey, "k")
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusCreated)
			assert.Equal(t, got.body, "ordered")
			assert.Equal(t, got.framing == httpsend.FramingClose, unframed)
		}
	})
}

func TestSlowBodyTimesOut(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		body, writer := io.Pipe()
		defer writer.Close()
		req, err := http.NewRequest(http.MethodPost, "http://entry:80/v1/chat/completions", body)
		assert.NilError(t, err)
		resp, err := h.client.Do(req)
		assert.NilError(t, err)
		resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusRequestTimeout)
	})
}
