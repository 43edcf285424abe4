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
	"github.com/redwingnotch/redwingnotch/peer"
)

const (
	streamed = `{"model":"lathe","stream":true}`
	whole    = `{"model":"lathe"}`
	answer   = "data: t0\n\ndata: t1\n\ndata: t2\n\ndata: [DONE]\n\n"
)

// inRig runs f with a rig in virtual time.
func inRig(t *testing.T, f func(t *testing.T, r *rig)) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		defer r.close()
		f(t, r)
	})
}

func (r reply) code(t *testing.T) (code, outcome string) {
	t.Helper()
	var body struct {
		Error struct{ Code, Outcome string }
	}
	assert.NilError(t, json.Unmarshal([]byte(r.body), &body), r.body)
	return body.Error.Code, body.Error.Outcome
}

func TestAnswers(t *testing.T) {
	inRig(t, func(t *testing.T, r *rig) {
		got := r.chat(streamed, "Redwingnotch-Request-Id", "req-7", "Redwingnotch-Rank", "urgent")
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, answer)
		assert.Equal(t, got.header.Get("Redwingnotch-Request-Id"), "req-7")
		assert.Equal(t, r.grants.asked[0].GetRank(), uint32(fleet.RankUrgent))
		got = r.chat(whole)
		assert.Equal(t, got.body, "t0t1t2")
		assert.Equal(t, r.grants.outcomes(), "ok ok")
		assert.Assert(t, r.grants.asked[0].GetRequestId() != r.grants.asked[1].GetRequestId())
	})
}

func TestRefusalsAreTyped(t *testing.T) {
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
		{"bad rank", whole, []string{"Redwingnotch-Rank", "asap"}, 400, "bad_request"},
		{"bad deadline", whole, []string{"Redwingnotch-Deadline", "soon"}, 400, "bad_request"},
		{"past deadline", whole, []string{"Redwingnotch-Deadline", "1999-01-01T00:00:00Z"}, 504, "deadline_past"},
		{"past duration", whole, []string{"Redwingnotch-Deadline", "-1s"}, 504, "deadline_past"},
		{"long id", whole, []string{"Redwingnotch-Request-Id", strings.Repeat("i", 300)}, 400, "bad_request"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inRig(t, func(t *testing.T, r *rig) {
				got := r.chat(tc.body, tc.headers...)
				assert.Equal(t, got.status, tc.status, got.body)
				code, outcome := got.code(t)
				assert.Equal(t, code, tc.code)
				assert.Equal(t, outcome, "not_run")
				assert.Equal(t, len(r.grants.asked), 0)
			})
		})
	}
}

func TestUnknownPathsAreTyped(t *testing.T) {
	inRig(t, func(t *testing.T, r *rig) {
		for _, target := range []string{"GET /", "GET /v1/chat/completions", "DELETE /v1/entry", "POST /v2/keys"} {
			method, path, _ := strings.Cut(target, " ")
			got := r.send(method, path, "")
			assert.Equal(t, got.status, http.StatusNotFound, target)
			code, outcome := got.code(t)
			assert.Equal(t, code+" "+outcome, "not_found not_run", target)
		}
	})
}

func TestUnknownModelNamesWhatIsInForce(t *testing.T) {
	inRig(t, func(t *testing.T, r *rig) {
		assert.Assert(t, strings.Contains(r.chat(`{"model":"nope"}`).body, `"in_force":["lathe","urgent-only"]`))
	})
}

func TestWithoutAReleaseNothingIsSaidToBeInForce(t *testing.T) {
	inRig(t, func(t *testing.T, r *rig) {
		assert.Assert(t, strings.Contains(r.send(http.MethodGet, "/v1/models", "").body, `"id":"lathe"`))
		r.catalog.version = 0
		for _, got := range []reply{r.chat(whole), r.send(http.MethodGet, "/v1/models", "")} {
			assert.Equal(t, got.status, http.StatusServiceUnavailable, got.body)
			code, outcome := got.code(t)
			assert.Equal(t, code+" "+outcome, "not_ready not_run")
		}
	})
}

func TestControllerRefusal(t *testing.T) {
	inRig(t, func(t *testing.T, r *rig) {
		r.grants.refusal = &peer.Refusal{Code: "overloaded", Detail: "the queue is full", RetryAfterMs: 1500}
		got := r.chat(whole)
		assert.Equal(t, got.status, http.StatusTooManyRequests)
		assert.Equal(t, got.header.Get("Retry-After"), "2")
		code, outcome := got.code(t)
		assert.Equal(t, code+" "+outcome, "overloaded not_run")
	})
}

func TestQuarantinedContentIsRefused(t *testing.T) {
	inRig(t, func(t *testing.T, r *rig) {
		r.verdict.refused = time.Minute
		code, outcome := r.chat(whole).code(t)
		assert.Equal(t, code+" "+outcome, "quarantined not_run")
	})
}

func TestSafeRetries(t *testing.T) {
	for _, failure := range []error{engine.ErrNotSent, engine.ErrNotLoaded, engine.ErrDraining, engine.ErrUnreachable} {
		inRig(t, func(t *testing.T, r *rig) {
			r.engines["b1"] = &fakeEngine{failure: failure}
			assert.Equal(t, r.chat(streamed).body, answer)
			assert.Equal(t, r.grants.outcomes(), "not_run ok")
			assert.DeepEqual(t, r.grants.asked[1].GetExcludedBackends(), []string{"b1"})
		})
	}
}

func TestCrashIsResumedAsOneWholeAnswer(t *testing.T) {
	for _, body := range []string{streamed, whole} {
		inRig(t, func(t *testing.T, r *rig) {
			r.engines["b1"] = &fakeEngine{tokens: 3, failAfter: 2, failure: engine.ErrCrashed}
			got := r.chat(body)
			assert.NilError(t, got.err)
			want := answer
			if body == whole {
				want = "t0t1t2"
			}
			assert.Equal(t, got.body, want)
			assert.Equal(t, r.grants.outcomes(), "crashed ok")
		})
	}
}

func TestBrokenStreamLooksBroken(t *testing.T) {
	inRig(t, func(t *testing.T, r *rig) {
		for _, b := range []string{"b1", "b2"} {
			r.engines[b] = &fakeEngine{tokens: 3, failAfter: 2, failure: engine.ErrCrashed}
		}
		got := r.chat(streamed)
		assert.Assert(t, errors.Is(got.err, io.ErrUnexpectedEOF), "%v", got.err)
		assert.Assert(t, !strings.Contains(got.body, "[DONE]"))
		assert.Equal(t, r.grants.outcomes(), "crashed crashed")
	})
}

func TestFailedWholeAnswerIsNotCalledNotRun(t *testing.T) {
	inRig(t, func(t *testing.T, r *rig) {
		for _, b := range []string{"b1", "b2"} {
			r.engines[b] = &fakeEngine{tokens: 3, failAfter: 2, failure: engine.ErrCrashed}
		}
		code, outcome := r.chat(whole).code(t)
		assert.Equal(t, code+" "+outcome, "backend_failed ran")
	})
}

func TestHedgeOnAFreshConnection(t *testing.T) {
	inRig(t, func(t *testing.T, r *rig) {
		r.engines["b1"] = &fakeEngine{tokens: 3, silent: true}
		assert.Equal(t, r.chat(streamed).body, answer)
		assert.Equal(t, r.grants.outcomes(), "ok")
	})
}

func TestUrgentRequestsAreDispatchedDirectlySooner(t *testing.T) {
	for _, tc := range []struct {
		rank string
		wait time.Duration
	}{{"urgent", 300 * time.Millisecond}, {"standard", 2 * time.Second}} {
		inRig(t, func(t *testing.T, r *rig) {
			r.grants.silent = true
			r.grants.replicas = []fleet.Replica{{ReplicaKey: fleet.ReplicaKey{Backend: "b9", Model: "lathe"}, Address: "b9", State: fleet.ReplicaReady, Slots: 1}}
			began := time.Now()
			assert.Equal(t, r.chat(streamed, "Redwingnotch-Rank", tc.rank).body, answer)
			assert.Equal(t, time.Since(began).Round(50*time.Millisecond), tc.wait, tc.rank)
			assert.Equal(t, r.grants.outcomes(), "cancelled", "the place in the queue is given up")
		})
	}
}

// TestSuspectsAreNotDispatchedDirectly has a request that crashes its server
// while no controller is there to be told.
func TestSuspectsAreNotDispatchedDirectly(t *testing.T) {
	inRig(t, func(t *testing.T, r *rig) {
		r.grants.silent = true
		r.engines["b9"] = &fakeEngine{failure: engine.ErrCrashed, failAfter: 1, tokens: 3}
		r.grants.replicas = []fleet.Replica{{ReplicaKey: fleet.ReplicaKey{Backend: "b9", Model: "lathe"}, Address: "b9", State: fleet.ReplicaReady, Slots: 1}}
		assert.Assert(t, r.chat(streamed).err != nil, "the broken stream looks whole")
		assert.DeepEqual(t, r.verdict.crashed, []fleet.BackendID{"b9"})
		r.verdict.suspected = true
		code, outcome := r.chat(streamed).code(t)
		assert.Equal(t, code+" "+outcome, "no_controller not_run")
		assert.Equal(t, len(r.verdict.crashed), 1)
	})
}

func TestDirectDispatchWhileTheControllerIsSilent(t *testing.T) {
	inRig(t, func(t *testing.T, r *rig) {
		r.grants.silent = true
		code, outcome := r.chat(streamed).code(t)
		assert.Equal(t, code+" "+outcome, "no_controller not_run")
		r.grants.replicas = []fleet.Replica{{ReplicaKey: fleet.ReplicaKey{Backend: "b9", Model: "lathe"}, Address: "b9", State: fleet.ReplicaReady, Slots: 1}}
		assert.Equal(t, r.chat(streamed).body, answer)
		assert.Equal(t, r.chat(streamed).body, answer, "the slot was given back")
	})
}

func TestDeadlineBoundsTheFirstToken(t *testing.T) {
	inRig(t, func(t *testing.T, r *rig) {
		r.engines["b1"] = &fakeEngine{tokens: 3, pace: 2 * time.Second}
		r.engines["b2"] = &fakeEngine{tokens: 3, pace: 2 * time.Second}
		code, outcome := r.chat(streamed, "Redwingnotch-Deadline", "1s").code(t)
		assert.Equal(t, code+" "+outcome, "deadline_exceeded ran")
		assert.Equal(t, r.chat(streamed, "Redwingnotch-Deadline", "3s").body, answer, "a slow answer that has begun is not cut")
	})
}

func TestCallerGoneCancelsAtTheEngine(t *testing.T) {
	inRig(t, func(t *testing.T, r *rig) {
		slow := &fakeEngine{tokens: 1000, pace: 100 * time.Millisecond}
		r.engines["b1"] = slow
		r.client.Timeout = time.Second
		got := r.chat(streamed)
		assert.Assert(t, got.err != nil)
		r.handler.Wait()
		assert.Equal(t, r.grants.outcomes(), "cancelled")
		assert.Equal(t, len(slow.cancelled), 1)
	})
}

func TestEntryAddresses(t *testing.T) {
	inRig(t, func(t *testing.T, r *rig) {
		var got struct {
			Addresses  []struct{ Node, Address string }
			ValidForMS int `json:"valid_for_ms"`
		}
		ask := func(path string) []string {
			assert.NilError(t, json.Unmarshal([]byte(r.send(http.MethodGet, path, "").body), &got))
			var nodes []string
			for _, a := range got.Addresses {
				nodes = append(nodes, a.Node)
			}
			return nodes
		}
		assert.Equal(t, ask("/v1/entry")[0], "n1", "the node's own zone first")
		assert.Equal(t, ask("/v1/entry?availability_zone=z2")[2], "n1")
		assert.Equal(t, got.ValidForMS, 5000)
	})
}

func TestServices(t *testing.T) {
	inRig(t, func(t *testing.T, r *rig) {
		got := r.send(http.MethodPost, "/v1/services/ordering/parts/a%2Fb?x=1", "spindle")
		code, outcome := got.code(t)
		assert.Equal(t, code+" "+outcome, "key_required not_run")
		got = r.send(http.MethodPost, "/v1/services/ordering/parts/a%2Fb?x=1", "spindle", "Idempotency-Key", "k1", "Redwingnotch-Attempt", "1")
		assert.Equal(t, got.status, 201)
		assert.Equal(t, got.body, "ordered")
		call := r.services.calls[0]
		assert.Equal(t, call.Path, "/parts/a%2Fb?x=1")
		assert.Equal(t, string(call.Key)+" "+call.Method, "k1 POST")
		assert.Assert(t, call.First)
		assert.Equal(t, r.send(http.MethodPut, "/v1/services/ordering/x", "").status, 201, "PUT needs no key")
		assert.Equal(t, r.send(http.MethodGet, "/v1/services/nope/x", "").status, 404)
		r.send(http.MethodPost, "/v1/services/ordering/x", "", "Redwingnotch-Request-Id", "call-7")
		why, known := r.handler.Explain("call-7")
		assert.Assert(t, known)
		assert.Equal(t, why.Target+" "+why.Code+" "+why.Outcome, "service ordering key_required not_run")
		// A node that has just started may not know the service yet.
		code, outcome = r.send(http.MethodPost, "/v1/services/nope/x", "", "Idempotency-Key", "k1").code(t)
		assert.Equal(t, code+" "+outcome, "unknown_service unknown")
		code, outcome = r.send(http.MethodPost, "/v1/services/nope/x", "", "Idempotency-Key", "k9", "Redwingnotch-Attempt", "1").code(t)
		assert.Equal(t, code+" "+outcome, "unknown_service not_run")
		r.services.result = idempotency.Result{Outcome: fleet.OutcomeUnknown, Code: idempotency.CodeOwnerGone}
		code, outcome = r.send(http.MethodPost, "/v1/services/ordering/x", "", "Idempotency-Key", "k1").code(t)
		assert.Equal(t, code+" "+outcome, "owner_gone unknown")
	})
}

func TestSlowBodyTimesOut(t *testing.T) {
	inRig(t, func(t *testing.T, r *rig) {
		body, writer := io.Pipe()
		defer writer.Close()
		req, err := http.NewRequest(http.MethodPost, "http://entry:80/v1/chat/completions", body)
		assert.NilError(t, err)
		resp, err := r.client.Do(req)
		assert.NilError(t, err)
		resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusRequestTimeout)
	})
}
