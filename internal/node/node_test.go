package node_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/admin"
	"github.com/redwingnotch/redwingnotch/internal/httpsend"
	"github.com/redwingnotch/redwingnotch/internal/node"
	"github.com/redwingnotch/redwingnotch/peer"
	"github.com/redwingnotch/redwingnotch/standin/engine"
)

func TestExactlyOneNodeControlsCell(t *testing.T) {
	inDeployment(t, 0, 3, func(t *testing.T, d *deployment) {
		_, count := d.controllerNode()
		assert.Equal(t, count, 1)
		body := d.send("n1", "GET", "/v1/entry", "").body
		assert.Equal(t, strings.Count(body, `"address"`), 3, body)
	})
}

func TestDuplicateNodeNameIsRejected(t *testing.T) {
	inDeployment(t, 0, 1, func(t *testing.T, d *deployment) {
		second := d.startAt("n1", "other")
		err := <-second.err
		assert.Assert(t, errors.Is(err, node.ErrNameInUse), "%v", err)
		assert.ErrorContains(t, err, "n1 runs at n1:81")
		delete(d.nodes, "other")
	})
}

func TestPlannedStopHandsOverController(t *testing.T) {
	inDeployment(t, 0, 3, func(t *testing.T, d *deployment) {
		first, _ := d.controllerNode()
		leaving := d.nodes[first]
		leaving.stop()
		time.Sleep(3 * time.Second)
		next, count := d.controllerNode()
		assert.Equal(t, count, 1)
		assert.Assert(t, next != first)
		body := d.send(next, "GET", "/v1/entry", "").body
		assert.Equal(t, strings.Count(body, `"address"`), 2, body)
		assert.NilError(t, <-leaving.err)
		delete(d.nodes, first)
	})
}

var latheRequest = chat("lathe", "The collar of lathe 7 chatters.")

func TestColdBurstCausesOneLoad(t *testing.T) {
	inDeployment(t, 2, 3, func(t *testing.T, d *deployment) {
		replies := make(chan reply, 9)
		for i := range 9 {
			go func() {
				replies <- d.send([]string{"n1", "n2", "n3"}[i%3], "POST", "/v1/chat/completions", latheRequest)
			}()
		}
		for range 9 {
			got := <-replies
			assert.NilError(t, checkAnswer(got, "lathe", latheRequest))
		}
		assert.Equal(t, d.stats.Loads("lathe"), 1)
	})
}

func TestIdempotencyKeyRunsOnceAcrossNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		defer d.close()
		ordering := d.addService("s1", "ordering")
		d.start("n1")
		d.start("n2")
		time.Sleep(startupTime)
		var issued struct{ Key string }
		got := d.send("n1", "POST", "/v1/keys", "")
		assert.NilError(t, json.Unmarshal([]byte(got.body), &issued))
		replies := make(chan reply, 8)
		for i := range cap(replies) {
			key := []string{"order-7", issued.Key}[i/2%2]
			go func() {
				replies <- d.send([]string{"n1", "n2"}[i%2], "POST", "/v1/services/ordering/orders", "spindle", "Idempotency-Key", key)
			}()
		}
		for range cap(replies) {
			got := <-replies
			assert.Equal(t, got.status, 200, got.body)
			assert.Assert(t, strings.Contains(got.body, `"run":1`), got.body)
		}
		assert.Equal(t, ordering.TotalRuns(), 2)
		got = d.send("n2", "POST", "/v1/services/ordering/orders", "two spindles", "Idempotency-Key", "order-7")
		assert.Equal(t, got.status, 422, got.body)
	})
}

// TestStartedNodeIsListedOnceItKnowsTheRelease guards against callers that are sent to a
// node which refuses them, as it has just started and does not know the release in force.
func TestStartedNodeIsListedOnceItKnowsTheRelease(t *testing.T) {
	inDeployment(t, 1, 2, func(t *testing.T, d *deployment) {
		// The new node reads the release late.
		d.api.Faults.SetDelay(time.Second)
		d.start("n3")
		listed := map[string]bool{}
		for range 400 {
			for _, host := range []string{"n1", "n3"} {
				got := d.send(host, "GET", "/v1/entry", "")
				if got.status == http.StatusServiceUnavailable && host == "n3" {
					continue
				}
				assert.Equal(t, got.status, http.StatusOK, got.body)
				if !strings.Contains(got.body, `"n3:80"`) {
					continue
				}
				listed[host] = true
				models := d.send("n3", "GET", "/v1/models", "")
				assert.Equal(t, models.status, http.StatusOK, models.body)
			}
			time.Sleep(10 * time.Millisecond)
		}
		assert.DeepEqual(t, listed, map[string]bool{"n1": true, "n3": true})
		d.api.Faults.SetDelay(0)
	})
}

// TestUnframedResponseIsReplayedUnframed guards against a response of a service that may
// be incomplete and is framed as complete to callers that send the key again: while the
// call runs at another node, and once its record is written.
func TestUnframedResponseIsReplayedUnframed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		defer d.close()
		ordering := d.addService("s1", "ordering")
		ordering.Faults.SetUnframed(true)
		ordering.SetRunTime(5 * time.Second)
		d.start("n1")
		d.start("n2")
		time.Sleep(startupTime)
		hosts := []string{"n1", "n2", "n1", "n2"}
		replies := make(chan reply, len(hosts))
		for i, host := range hosts {
			go func() {
				time.Sleep(time.Duration(i) * 3 * time.Second) // the first two overlap
				replies <- d.send(host, "POST", "/v1/services/ordering/orders", "spindle", "Idempotency-Key", "order-7")
			}()
		}
		for range hosts {
			got := <-replies
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, 200, got.body)
			assert.Equal(t, got.framing, httpsend.FramingClose)
		}
		assert.Equal(t, ordering.TotalRuns(), 1)
	})
}

// TestPlannedStopInterruptsNoStreams sends streams through all nodes, using the
// addresses that /v1/entry returns, while nodes are stopped and replaced one by one.
func TestPlannedStopInterruptsNoStreams(t *testing.T) {
	inDeployment(t, 2, 3, func(t *testing.T, d *deployment) {
		ctx, cancel := context.WithCancel(t.Context())
		var callers errgroup.Group
		for i := range 6 {
			callers.Go(func() error { return d.streamUntilDone(ctx, fmt.Sprint("caller", i), []string{"n1", "n2", "n3"}[i%3]) })
		}
		for _, name := range []string{"n1", "n2"} {
			time.Sleep(3 * time.Second)
			n := d.nodes[name]
			n.stop()
			assert.NilError(t, <-n.err)
			delete(d.nodes, name)
			d.start(name + "b")
		}
		time.Sleep(3 * time.Second)
		cancel()
		assert.NilError(t, callers.Wait())
	})
}

// streamUntilDone sends one stream after another to the address that /v1/entry last
// returned, as long as that is valid. It fails at the first incomplete response.
func (d *deployment) streamUntilDone(ctx context.Context, caller, first string) error {
	host, validUntil := first, time.Time{}
	for ctx.Err() == nil {
		if time.Now().After(validUntil) {
			var list struct {
				Addresses  []struct{ Address string }
				ValidForMS int64 `json:"valid_for_ms"`
			}
			got := d.send(host, "GET", "/v1/entry", "", "Redwingnotch-Caller", caller)
			if err := json.Unmarshal([]byte(got.body), &list); err != nil {
				return fmt.Errorf("%s: %q: %w", host, got.body, errors.Join(err, got.err))
			}
			host = strings.TrimSuffix(list.Addresses[0].Address, ":80")
			validUntil = time.Now().Add(time.Duration(list.ValidForMS) * time.Millisecond)
		}
		got := d.send(host, "POST", "/v1/chat/completions", latheRequest)
		if err := checkAnswer(got, "lathe", latheRequest); err != nil {
			return fmt.Errorf("%s through %s: %w", caller, host, err)
		}
	}
	return nil
}

func TestControllerCrashLosesNoWaitingRequest(t *testing.T) {
	inDeployment(t, 2, 3, func(t *testing.T, d *deployment) {
		controllerNode, _ := d.controllerNode()
		replies := make(chan reply, 6)
		for name := range d.nodes {
			if name == controllerNode {
				continue
			}
			for range 3 {
				go func() { replies <- d.send(name, "POST", "/v1/chat/completions", latheRequest) }()
			}
		}
		time.Sleep(loadTime / 2)
		d.nodes[controllerNode].Kill()
		assert.NilError(t, <-d.nodes[controllerNode].err)
		delete(d.nodes, controllerNode)
		for range cap(replies) {
			got := <-replies
			assert.NilError(t, checkAnswer(got, "lathe", latheRequest))
		}
		assert.Equal(t, d.stats.Loads("lathe"), 1)
	})
}

func TestWarmModelIsServedWithoutController(t *testing.T) {
	inDeployment(t, 1, 2, func(t *testing.T, d *deployment) {
		controllerNode, other := d.controllerAndOther()
		assert.NilError(t, checkAnswer(d.send(other, "POST", "/v1/chat/completions", latheRequest), "lathe", latheRequest))
		time.Sleep(5 * time.Second)
		d.api.Faults.SetOutage(true)
		d.nodes[controllerNode].Kill()
		assert.NilError(t, <-d.nodes[controllerNode].err)
		delete(d.nodes, controllerNode)
		assert.NilError(t, checkAnswer(d.send(other, "POST", "/v1/chat/completions", latheRequest), "lathe", latheRequest))
		d.api.Faults.SetOutage(false)
	})
}

func TestPoisonRequestCrashesAtMostTwoServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		defer d.close()
		var engines []*engine.Engine
		for _, name := range []string{"e1", "e2", "e3", "e4"} {
			engines = append(engines, d.addEngine(name))
		}
		nodes := []string{"n1", "n2", "n3"}
		for _, name := range nodes {
			d.start(name)
		}
		time.Sleep(startupTime)
		var callers errgroup.Group
		for i := range 6 {
			callers.Go(func() error {
				for range 10 {
					got := d.send(nodes[i%3], "POST", "/v1/chat/completions", chat("deck", poisonMarker), "Redwingnotch-Deadline", "20s")
					if strings.Contains(got.body, "[DONE]") {
						return errors.New("a poison request got a complete response")
					}
					time.Sleep(time.Second)
				}
				return nil
			})
			callers.Go(func() error {
				for n := range 5 {
					body := chat("deck", fmt.Sprintf("innocent %d of %d", n, i))
					got := d.send(nodes[i%3], "POST", "/v1/chat/completions", body)
					if err := checkAnswer(got, "deck", body); err != nil {
						return fmt.Errorf("harmless request: %w", err)
					}
				}
				return nil
			})
		}
		assert.NilError(t, callers.Wait())
		crashes := 0
		for _, e := range engines {
			crashes += e.Counts().Crashes
		}
		assert.Assert(t, crashes <= 2, "%d crashes", crashes)
		assert.Assert(t, crashes > 0)
	})
}

func TestReleaseIsInForceAtAllNodesAndAtNewOnes(t *testing.T) {
	inDeployment(t, 1, 3, func(t *testing.T, d *deployment) {
		collar := chat("collar", "Pitch?")
		assert.Equal(t, d.send("n1", "POST", "/v1/chat/completions", collar).status, 404)
		d.publish("title: add\nmodels:\n  - {id: collar, version: v1, replicas: {c: 1}, memory: 1GiB, load_time: 2s, slots: 4}\n" +
			"withdraw: {models: [deck]}\n")
		time.Sleep(releasePropagationTime)
		for name := range d.nodes {
			assert.NilError(t, checkAnswer(d.send(name, "POST", "/v1/chat/completions", collar), "collar", collar))
			assert.Equal(t, d.send(name, "POST", "/v1/chat/completions", chat("deck", "Order?")).status, 410)
		}
		// A node that starts while the store is unavailable gets the version in
		// force from its peers and serves no older one.
		d.api.Faults.SetOutage(true)
		n := d.startWith("n4", []string{"n1:81"})
		time.Sleep(startupTime)
		assert.Equal(t, n.NotReadyReason(), "")
		assert.NilError(t, checkAnswer(d.send("n4", "POST", "/v1/chat/completions", collar), "collar", collar))
		d.api.Faults.SetOutage(false)
	})
}

// releasePropagationTime is the time for an accepted release to be in force at all nodes
// of a deployment of this size.
const releasePropagationTime = 3 * time.Second

func TestAdminStatusAndExplain(t *testing.T) {
	inDeployment(t, 1, 2, func(t *testing.T, d *deployment) {
		assert.NilError(t, checkAnswer(d.send("n1", "POST", "/v1/chat/completions", latheRequest), "lathe", latheRequest))
		assert.Equal(t, d.send("n1", "POST", "/v1/chat/completions", chat("nope", "?"), "Redwingnotch-Request-Id", "r-1").status, 404)

		controllerNode, _ := d.controllerNode()
		status := d.nodes[controllerNode].Status()
		assert.Equal(t, status.Release.Version, uint64(1))
		assert.Equal(t, status.Release.SyncState, "current")
		assert.Equal(t, string(status.Cells[0].Controller), controllerNode)
		assert.Equal(t, len(status.Cells[0].Replicas), 1)
		assert.Equal(t, len(status.Members), 2)

		explain := func(node, id string) (int, admin.Explanation) {
			recorder := httptest.NewRecorder()
			d.nodes[node].AdminHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, admin.PathExplain+id, nil))
			var e admin.Explanation
			assert.NilError(t, json.Unmarshal(recorder.Body.Bytes(), &e))
			return recorder.Code, e
		}
		code, e := explain("n1", "r-1")
		assert.Equal(t, code, http.StatusOK)
		assert.Equal(t, e.Code+" "+e.Outcome, "unknown_model not_run")
		code, _ = explain("n2", "r-1")
		assert.Equal(t, code, http.StatusNotFound)
	})
}

func TestExplainWaitingRequest(t *testing.T) {
	inDeployment(t, 0, 1, func(t *testing.T, d *deployment) {
		done := make(chan reply, 1)
		go func() {
			done <- d.send("n1", "POST", "/v1/chat/completions", latheRequest, "Redwingnotch-Request-Id", "r-1", "Redwingnotch-Deadline", "20s")
		}()
		time.Sleep(3 * time.Second)
		recorder := httptest.NewRecorder()
		d.nodes["n1"].AdminHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, admin.PathExplain+"r-1", nil))
		assert.Assert(t, strings.Contains(recorder.Body.String(), "no backend server has room"), recorder.Body.String())
		assert.Assert(t, strings.Contains((<-done).body, `"outcome":"not_run"`))
	})
}

// authClient adds the deployment's secret to each call.
type authClient struct{ *http.Client }

func (c authClient) Do(req *http.Request) (*http.Response, error) {
	req.Header.Set(node.HeaderSecret, secret)
	return c.Client.Do(req)
}

func TestControllerWithOlderReleaseRefusesNothing(t *testing.T) {
	inDeployment(t, 1, 1, func(t *testing.T, d *deployment) {
		controller := peer.NewCellProtobufClient("http://n1:81", authClient{d.client})
		acquire := func() *peer.AcquireResponse {
			now := time.Now()
			resp, err := controller.Acquire(t.Context(), &peer.AcquireRequest{
				RequestId: "r", EntryNode: "n2", EntryIncarnation: 1, Model: "collar", Rank: 1, MaxTokens: 1, Cell: "c", ReleaseVersion: 2,
				ArrivalMs: now.UnixMilli(), DeadlineMs: now.Add(time.Minute).UnixMilli(), WaitMs: 1000,
			})
			assert.NilError(t, err)
			return resp
		}
		assert.Equal(t, acquire().GetWaiting().GetReason(), "release", "model of a release that the controller does not have")
		d.publish("title: add\nmodels:\n  - {id: collar, version: v1, replicas: {c: 1}, memory: 1GiB, load_time: 2s, slots: 4}\n")
		time.Sleep(releasePropagationTime)
		for acquire().GetGrant() == nil {
			assert.Assert(t, acquire().GetRefusal() == nil)
		}
	})
}

// TestPlannedStopFinishesWaitingAndRunningRequests stops the active controller while a
// request for a model that is not loaded waits and a keyed call runs through it.
func TestPlannedStopFinishesWaitingAndRunningRequests(t *testing.T) {
	inDeployment(t, 1, 3, func(t *testing.T, d *deployment) {
		ordering := d.addService("s1", "ordering")
		time.Sleep(2 * time.Second)
		controllerNode, _ := d.controllerNode()
		waiting, running := make(chan reply, 1), make(chan reply, 1)
		go func() { waiting <- d.send(controllerNode, "POST", "/v1/chat/completions", latheRequest) }()
		go func() {
			running <- d.send(controllerNode, "POST", "/v1/services/ordering/orders", "spindle", "Idempotency-Key", "order-7")
		}()
		time.Sleep(loadTime / 4)
		d.nodes[controllerNode].stop()
		assert.NilError(t, checkAnswer(<-waiting, "lathe", latheRequest))
		got := <-running
		assert.Equal(t, got.status, http.StatusOK, got.body)
		assert.Equal(t, ordering.Runs("order-7"), 1)
		assert.Equal(t, d.stats.Loads("lathe"), 1)
		assert.NilError(t, <-d.nodes[controllerNode].err)
		delete(d.nodes, controllerNode)
	})
}

func TestStopAfterShutdownTimeoutReportsInterruptedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		defer d.close()
		d.shutdownTimeout = time.Second
		d.tokenTime = 10 * time.Second
		d.addEngine("e1")
		n := d.start("n1")
		time.Sleep(startupTime)
		answer := make(chan reply, 1)
		go func() { answer <- d.send("n1", "POST", "/v1/chat/completions", latheRequest) }()
		time.Sleep(loadTime + 2*d.tokenTime)
		n.stop()
		assert.ErrorIs(t, <-n.err, node.ErrRequestsInterrupted)
		got := <-answer
		assert.Assert(t, got.err != nil, "an interrupted response must end with an error: %q", got.body)
		delete(d.nodes, "n1")
	})
}
