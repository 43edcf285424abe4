package engine_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/invariant"
	standin "github.com/redwingnotch/redwingnotch/standin/engine"
	"github.com/redwingnotch/redwingnotch/standin/pipenet"
)

const (
	address     = "engine:90"
	loadTime    = 10 * time.Second
	tokenTime   = 40 * time.Millisecond
	crashMarker = "CRASH"
)

var requestBody = []byte(`{"messages":[{"role":"user","content":"collar wobbles"}],"max_tokens":5}`)

// testEnv is an engine that has loaded model m, and its client.
type testEnv struct {
	engine *standin.Engine
	client *engine.Client
}

// withEngine runs the test in virtual time with an engine that has loaded model m.
func withEngine(t *testing.T, fencing bool, test func(t *testing.T, env testEnv)) {
	synctest.Test(t, func(t *testing.T) {
		network := pipenet.New()
		e := standin.New(standin.Config{
			ID:           "b1",
			Memory:       100,
			Fencing:      fencing,
			Models:       map[fleet.ModelID]standin.Model{"m": {LoadTime: loadTime, Slots: 2}},
			TokenTime:    tokenTime,
			CrashMarker:  crashMarker,
			RestartDelay: time.Second,
		})
		e.SetListen(func() (net.Listener, error) { return network.Listen(address) })
		assert.NilError(t, e.Restart())
		client := engine.NewClient(engine.Options{BaseURL: "http://" + address, Dial: network.Dial})
		defer synctest.Wait()
		defer client.Close()
		defer e.Reclaim()
		mustOrder(t, client, engine.Order{ID: "o-load", Kind: engine.OrderLoad, Epoch: 3, Model: "m", Version: "1", Memory: 60})
		time.Sleep(loadTime)
		synctest.Wait()
		test(t, testEnv{engine: e, client: client})
	})
}

// mustOrder sends an order and requires that it is accepted.
func mustOrder(t *testing.T, c *engine.Client, o engine.Order) engine.Report {
	t.Helper()
	report, err := c.Order(t.Context(), o)
	assert.NilError(t, err)
	return report
}

func newRequest(id string) engine.InferRequest {
	return engine.InferRequest{RequestID: id, Target: fleet.Target{Model: "m"}, Body: requestBody, Stream: true}
}

// readAll reads a stream to its end and closes it.
func readAll(s engine.Stream) ([]engine.Chunk, error) {
	defer s.Close()
	var chunks []engine.Chunk
	for {
		chunk, err := s.Next()
		if errors.Is(err, io.EOF) {
			return chunks, nil
		}
		if err != nil {
			return chunks, err
		}
		chunks = append(chunks, chunk)
	}
}

// inferAndRead starts a request and reads its whole response.
func inferAndRead(c *engine.Client, req engine.InferRequest) ([]engine.Chunk, error) {
	s, err := c.Infer(context.Background(), req)
	if err != nil {
		return nil, err
	}
	return readAll(s)
}

func TestInferStreamsResumesAndReturnsWholeResponse(t *testing.T) {
	withEngine(t, true, func(t *testing.T, env testEnv) {
		want, err := standin.ExpectedText(fleet.Target{Model: "m"}, requestBody)
		assert.NilError(t, err)
		words := strings.Fields(want)
		start := time.Now()
		chunks, err := inferAndRead(env.client, newRequest("r1"))
		assert.NilError(t, err)
		assert.Equal(t, time.Since(start), 5*tokenTime)
		assert.Equal(t, len(chunks), 6)
		for i, word := range words {
			assert.Assert(t, strings.Contains(string(chunks[i].Data), word))
		}
		assert.Assert(t, chunks[5].Done)
		resumed := newRequest("r1")
		resumed.ReceivedTokens = 3
		chunks, err = inferAndRead(env.client, resumed)
		assert.NilError(t, err)
		assert.Equal(t, chunks[0].Index, 3)
		assert.Assert(t, strings.Contains(string(chunks[0].Data), words[3]))
		whole := newRequest("r2")
		whole.Stream = false
		chunks, err = inferAndRead(env.client, whole)
		assert.NilError(t, err)
		assert.Equal(t, len(chunks), 2)
		assert.Assert(t, strings.Contains(string(chunks[0].Data), want))
		assert.Equal(t, env.engine.Counts().Finished, 3)
	})
}

func TestInferReturnsTypedErrors(t *testing.T) {
	marked := newRequest("r")
	marked.Body = []byte(`{"messages":[{"role":"user","content":"` + crashMarker + `"}]}`)
	unknown := newRequest("r")
	unknown.Target.Model = "other"
	fresh := newRequest("r")
	fresh.FreshConn = true
	stall := func(env testEnv) { env.engine.Faults.StallConns() }
	for _, tc := range []struct {
		name  string
		fault func(env testEnv)
		req   engine.InferRequest
		want  error
	}{
		{"model not loaded", nil, unknown, engine.ErrNotLoaded},
		{"connection refused", func(env testEnv) { env.engine.Reclaim() }, newRequest("r"), engine.ErrUnreachable},
		{"crash during the request", nil, marked, engine.ErrCrashed},
		{"stalled pooled connection", stall, newRequest("r"), engine.ErrStalled},
		{"stalled pooled connection, new connection used", stall, fresh, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withEngine(t, true, func(t *testing.T, env testEnv) {
				_, err := env.client.Report(t.Context()) // leaves a pooled connection
				assert.NilError(t, err)
				synctest.Wait()
				if tc.fault != nil {
					tc.fault(env)
				}
				start := time.Now()
				_, err = inferAndRead(env.client, tc.req)
				assert.ErrorIs(t, err, tc.want)
				assert.Assert(t, time.Since(start) <= engine.DefaultProgressTimeout)
			})
		})
	}
}

func TestStalledStreamTimesOutAndRetrySucceeds(t *testing.T) {
	withEngine(t, true, func(t *testing.T, env testEnv) {
		req := newRequest("r1")
		req.Body = []byte(`{"messages":[],"max_tokens":1000}`)
		s, err := env.client.Infer(t.Context(), req)
		assert.NilError(t, err)
		_, err = s.Next()
		assert.NilError(t, err)
		env.engine.Faults.StallConns()
		start := time.Now()
		_, err = readAll(s)
		assert.ErrorIs(t, err, engine.ErrStalled)
		assert.Equal(t, time.Since(start), engine.DefaultProgressTimeout)
		_, err = inferAndRead(env.client, newRequest("r2"))
		assert.NilError(t, err)
	})
}

func TestSlowStreamDoesNotTimeOut(t *testing.T) {
	withEngine(t, true, func(t *testing.T, env testEnv) {
		whole := newRequest("r1")
		whole.Stream = false
		whole.Body = []byte(`{"messages":[],"max_tokens":1000}`)
		start := time.Now()
		_, err := inferAndRead(env.client, whole)
		assert.NilError(t, err)
		assert.Equal(t, time.Since(start), 1000*tokenTime)
		s, err := env.client.Infer(t.Context(), newRequest("r2"))
		assert.NilError(t, err)
		time.Sleep(time.Minute) // a slow reader does not count as a stall of the engine
		_, err = readAll(s)
		assert.NilError(t, err)
	})
}

func TestCancelEndsRequestAndDrainRefusesNewOnes(t *testing.T) {
	withEngine(t, true, func(t *testing.T, env testEnv) {
		long := newRequest("r1")
		long.Body = []byte(`{"messages":[],"max_tokens":1000}`)
		s, err := env.client.Infer(t.Context(), long)
		assert.NilError(t, err)
		running, err := env.client.Infer(t.Context(), newRequest("r2"))
		assert.NilError(t, err)
		mustOrder(t, env.client, engine.Order{ID: "o-drain", Kind: engine.OrderDrain, Epoch: 3})
		time.Sleep(time.Second)
		_, err = inferAndRead(env.client, newRequest("r3"))
		assert.ErrorIs(t, err, engine.ErrDraining)
		assert.Equal(t, env.engine.LateRequests(0), 1)
		assert.Equal(t, env.engine.LateRequests(2*time.Second), 0)
		assert.NilError(t, env.client.Cancel(t.Context(), "r1"))
		_, err = readAll(s)
		assert.Assert(t, err != nil, "a cancelled response was reported as complete")
		_, err = readAll(running)
		assert.NilError(t, err)
		synctest.Wait()
		counts := env.engine.Counts()
		assert.Equal(t, counts.Cancelled, 1)
		assert.Equal(t, counts.Aborted, 0)
	})
}

func TestOrderReturnsTypedErrorsAndIsIdempotent(t *testing.T) {
	withEngine(t, true, func(t *testing.T, env testEnv) {
		ctx := t.Context()
		load := engine.Order{ID: "o2", Kind: engine.OrderLoad, Epoch: 3, Model: "m", Version: "2", Memory: 60}
		for _, tc := range []struct {
			change func(o *engine.Order)
			want   error
		}{
			{func(o *engine.Order) {}, engine.ErrNoMemory},
			{func(o *engine.Order) { o.Epoch = 2 }, engine.ErrFenced},
			{func(o *engine.Order) { o.Boot = "other" }, engine.ErrWrongBoot},
			{func(o *engine.Order) { o.ExpiresAt = time.Now().Add(-time.Second) }, engine.ErrExpired},
			{func(o *engine.Order) { o.Kind = "no_such_kind" }, engine.ErrRejected},
		} {
			o := load
			tc.change(&o)
			_, err := env.client.Order(ctx, o)
			assert.ErrorIs(t, err, tc.want)
		}
		env.engine.Faults.DropResponses(1)
		unload := engine.Order{ID: "o3", Kind: engine.OrderUnload, Epoch: 3, Model: "m", Version: "1"}
		_, err := env.client.Order(ctx, unload)
		assert.Assert(t, errors.Is(err, engine.ErrCrashed) || errors.Is(err, engine.ErrUnknown), "%v", err)
		report := mustOrder(t, env.client, unload)
		assert.Equal(t, len(report.Replicas), 0)
		assert.Equal(t, report.Epoch, fleet.Epoch(3))
		mustOrder(t, env.client, load)
		assert.Equal(t, env.engine.Committed(), int64(60))
		assert.Equal(t, env.engine.Counts().PeakMemory, int64(60))
	})
}

func TestStaleOrderTakesEffectWithoutFencing(t *testing.T) {
	withEngine(t, false, func(t *testing.T, env testEnv) {
		report := mustOrder(t, env.client, engine.Order{ID: "o2", Kind: engine.OrderUnload, Epoch: 1, Boot: "other", Model: "m", Version: "1"})
		assert.Equal(t, report.Epoch, fleet.Epoch(0))
		assert.Equal(t, len(report.Replicas), 0)
	})
}

func TestOrderAtBootRejectsOtherBoot(t *testing.T) {
	withEngine(t, false, func(t *testing.T, env testEnv) {
		report, err := env.client.Report(t.Context())
		assert.NilError(t, err)
		unload := engine.Order{ID: "o2", Kind: engine.OrderUnload, Boot: report.Boot, Model: "m", Version: "1"}
		env.engine.Crash()
		time.Sleep(2 * time.Second)
		_, err = env.client.OrderAtBoot(t.Context(), unload)
		assert.ErrorIs(t, err, engine.ErrWrongBoot)
		report, err = env.client.Report(t.Context())
		assert.NilError(t, err)
		load := engine.Order{ID: "o3", Kind: engine.OrderLoad, Boot: report.Boot, Model: "m", Version: "1", Memory: 60}
		report, err = env.client.OrderAtBoot(t.Context(), load)
		assert.NilError(t, err)
		assert.Equal(t, len(report.Replicas), 1)
	})
}

// If the connection ends after the report, the engine may have restarted. The
// order must not be sent to another boot on a new connection.
func TestOrderAtBootOpensNoSecondConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := pipenet.New()
		l, err := network.Listen(address)
		assert.NilError(t, err)
		orders := 0
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Connection", "close")
			if r.URL.Path == engine.PathOrders {
				orders++
			}
			fmt.Fprint(w, `{"boot":"one"}`)
		})}
		go func() { _ = server.Serve(l) }()
		defer server.Close()
		client := engine.NewClient(engine.Options{BaseURL: "http://" + address, Dial: network.Dial})
		defer client.Close()
		_, err = client.OrderAtBoot(t.Context(), engine.Order{ID: "o", Boot: "one"})
		assert.ErrorIs(t, err, engine.ErrNotSent)
		assert.Equal(t, orders, 0)
	})
}

func TestRestartAfterCrashReportsNewBoot(t *testing.T) {
	withEngine(t, true, func(t *testing.T, env testEnv) {
		before, err := env.client.Report(t.Context())
		assert.NilError(t, err)
		env.engine.Crash()
		time.Sleep(2 * time.Second)
		after, err := env.client.Report(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, before.Boot != after.Boot)
		assert.Equal(t, len(after.Replicas), 0)
		assert.DeepEqual(t, after.Cached, []engine.CachedWeights{{Model: "m", Version: "1", WeightLocality: fleet.LocalityDisk}})
	})
}

// mismatchedResponse returns a handler that responds with the given request IDs in
// the header and in the event.
func mismatchedResponse(headerID, eventID string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(engine.HeaderRequestID, headerID)
		fmt.Fprintf(w, "id: %s/0/1\ndata: {}\n\ndata: [DONE]\n\n", eventID)
	}
}

func TestMismatchedResponsesAreRejected(t *testing.T) {
	for _, tc := range []struct {
		name            string
		header, eventID string
		skipCheck       bool
	}{
		{"in the header", "other", "r", false},
		{"in an event", "r", "other", false},
		{"invariant is violated without the check", "r", "other", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := pipenet.New()
				l, err := network.Listen(address)
				assert.NilError(t, err)
				server := &http.Server{Handler: mismatchedResponse(tc.header, tc.eventID)}
				go func() { _ = server.Serve(l) }()
				defer server.Close()
				client := engine.NewClient(engine.Options{BaseURL: "http://" + address, Dial: network.Dial})
				defer client.Close()
				if tc.skipCheck {
					client.SkipRequestIDCheck()
					defer func() {
						v, ok := recover().(invariant.Violation)
						assert.Assert(t, ok)
						assert.Equal(t, v.Name, invariant.AnswerMatches)
					}()
				}
				_, err = inferAndRead(client, newRequest("r"))
				assert.ErrorIs(t, err, engine.ErrMismatch)
			})
		})
	}
}
