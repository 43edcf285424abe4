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
	address   = "engine:90"
	loadTime  = 10 * time.Second
	tokenTime = 40 * time.Millisecond
	marker    = "CRASH"
)

var body = []byte(`{"messages":[{"role":"user","content":"collar wobbles"}],"max_tokens":5}`)

type rig struct {
	engine *standin.Engine
	client *engine.Client
}

// run calls the test in virtual time with an engine that has loaded model m.
func run(t *testing.T, fencing bool, test func(t *testing.T, r rig)) {
	synctest.Test(t, func(t *testing.T) {
		network := pipenet.New()
		e := standin.New(standin.Config{
			ID:           "b1",
			Memory:       100,
			Fencing:      fencing,
			Models:       map[fleet.ModelID]standin.Model{"m": {LoadTime: loadTime, Slots: 2}},
			TokenTime:    tokenTime,
			CrashMarker:  marker,
			RestartDelay: time.Second,
		})
		e.SetListen(func() (net.Listener, error) { return network.Listen(address) })
		assert.NilError(t, e.Restart())
		client := engine.NewClient(engine.Options{BaseURL: "http://" + address, Dial: network.Dial})
		defer synctest.Wait()
		defer client.Close()
		defer e.Reclaim()
		order(t, client, engine.Order{ID: "o-load", Kind: engine.OrderLoad, Epoch: 3, Model: "m", Version: "1", Memory: 60})
		time.Sleep(loadTime)
		synctest.Wait()
		test(t, rig{engine: e, client: client})
	})
}

func order(t *testing.T, c *engine.Client, o engine.Order) engine.Report {
	t.Helper()
	report, err := c.Order(t.Context(), o)
	assert.NilError(t, err)
	return report
}

func request(id string) engine.InferRequest {
	return engine.InferRequest{RequestID: id, Target: fleet.Target{Model: "m"}, Body: body, Stream: true}
}

// collect reads a stream to its end.
func collect(s engine.Stream) ([]engine.Chunk, error) {
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

func infer(c *engine.Client, req engine.InferRequest) ([]engine.Chunk, error) {
	s, err := c.Infer(context.Background(), req)
	if err != nil {
		return nil, err
	}
	return collect(s)
}

func TestInferStreamsResumesAndAnswersWhole(t *testing.T) {
	run(t, true, func(t *testing.T, r rig) {
		want, err := standin.Answer(fleet.Target{Model: "m"}, body)
		assert.NilError(t, err)
		words := strings.Fields(want)
		began := time.Now()
		chunks, err := infer(r.client, request("r1"))
		assert.NilError(t, err)
		assert.Equal(t, time.Since(began), 5*tokenTime)
		assert.Equal(t, len(chunks), 6)
		for i, word := range words {
			assert.Assert(t, strings.Contains(string(chunks[i].Data), word))
		}
		assert.Assert(t, chunks[5].Done)
		resumed := request("r1")
		resumed.ReceivedTokens = 3
		chunks, err = infer(r.client, resumed)
		assert.NilError(t, err)
		assert.Equal(t, chunks[0].Index, 3)
		assert.Assert(t, strings.Contains(string(chunks[0].Data), words[3]))
		whole := request("r2")
		whole.Stream = false
		chunks, err = infer(r.client, whole)
		assert.NilError(t, err)
		assert.Equal(t, len(chunks), 2)
		assert.Assert(t, strings.Contains(string(chunks[0].Data), want))
		assert.Equal(t, r.engine.Counts().Finished, 3)
	})
}

func TestInferFailuresAreTold(t *testing.T) {
	marked := request("r")
	marked.Body = []byte(`{"messages":[{"role":"user","content":"` + marker + `"}]}`)
	unknown := request("r")
	unknown.Target.Model = "other"
	fresh := request("r")
	fresh.FreshConn = true
	silence := func(r rig) { r.engine.Faults.SilenceOpen() }
	for _, tc := range []struct {
		name  string
		fault func(r rig)
		req   engine.InferRequest
		want  error
	}{
		{"model not loaded", nil, unknown, engine.ErrNotLoaded},
		{"nobody listens", func(r rig) { r.engine.Reclaim() }, request("r"), engine.ErrUnreachable},
		{"crashes on the request", nil, marked, engine.ErrCrashed},
		{"silent pooled connection", silence, request("r"), engine.ErrSilent},
		{"silent pooled connection, fresh one used", silence, fresh, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			run(t, true, func(t *testing.T, r rig) {
				_, err := r.client.Report(t.Context()) // leaves a pooled connection
				assert.NilError(t, err)
				synctest.Wait()
				if tc.fault != nil {
					tc.fault(r)
				}
				began := time.Now()
				_, err = infer(r.client, tc.req)
				assert.ErrorIs(t, err, tc.want)
				assert.Assert(t, time.Since(began) <= engine.DefaultProgressTimeout)
			})
		})
	}
}

func TestSilentStreamIsFoundAndNextTryWorks(t *testing.T) {
	run(t, true, func(t *testing.T, r rig) {
		req := request("r1")
		req.Body = []byte(`{"messages":[],"max_tokens":1000}`)
		s, err := r.client.Infer(t.Context(), req)
		assert.NilError(t, err)
		_, err = s.Next()
		assert.NilError(t, err)
		r.engine.Faults.SilenceOpen()
		began := time.Now()
		_, err = collect(s)
		assert.ErrorIs(t, err, engine.ErrSilent)
		assert.Equal(t, time.Since(began), engine.DefaultProgressTimeout)
		_, err = infer(r.client, request("r2"))
		assert.NilError(t, err)
	})
}

func TestSlowButLivingStreamIsNotCut(t *testing.T) {
	run(t, true, func(t *testing.T, r rig) {
		whole := request("r1")
		whole.Stream = false
		whole.Body = []byte(`{"messages":[],"max_tokens":1000}`)
		began := time.Now()
		_, err := infer(r.client, whole)
		assert.NilError(t, err)
		assert.Equal(t, time.Since(began), 1000*tokenTime)
		s, err := r.client.Infer(t.Context(), request("r2"))
		assert.NilError(t, err)
		time.Sleep(time.Minute) // a slow reader is no silence of the engine
		_, err = collect(s)
		assert.NilError(t, err)
	})
}

func TestCancelAndDrain(t *testing.T) {
	run(t, true, func(t *testing.T, r rig) {
		long := request("r1")
		long.Body = []byte(`{"messages":[],"max_tokens":1000}`)
		s, err := r.client.Infer(t.Context(), long)
		assert.NilError(t, err)
		kept, err := r.client.Infer(t.Context(), request("r2"))
		assert.NilError(t, err)
		order(t, r.client, engine.Order{ID: "o-drain", Kind: engine.OrderDrain, Epoch: 3})
		time.Sleep(time.Second)
		_, err = infer(r.client, request("r3"))
		assert.ErrorIs(t, err, engine.ErrDraining)
		assert.Equal(t, r.engine.LateArrivals(0), 1)
		assert.Equal(t, r.engine.LateArrivals(2*time.Second), 0)
		assert.NilError(t, r.client.Cancel(t.Context(), "r1"))
		_, err = collect(s)
		assert.Assert(t, err != nil, "a cancelled answer looks whole")
		_, err = collect(kept)
		assert.NilError(t, err)
		synctest.Wait()
		counts := r.engine.Counts()
		assert.Equal(t, counts.Cancelled, 1)
		assert.Equal(t, counts.Cut, 0)
	})
}

func TestOrders(t *testing.T) {
	run(t, true, func(t *testing.T, r rig) {
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
			{func(o *engine.Order) { o.Kind = "dance" }, engine.ErrRejected},
		} {
			o := load
			tc.change(&o)
			_, err := r.client.Order(ctx, o)
			assert.ErrorIs(t, err, tc.want)
		}
		r.engine.Faults.LoseAnswers(1)
		unload := engine.Order{ID: "o3", Kind: engine.OrderUnload, Epoch: 3, Model: "m", Version: "1"}
		_, err := r.client.Order(ctx, unload)
		assert.Assert(t, errors.Is(err, engine.ErrCrashed) || errors.Is(err, engine.ErrUnknown), "%v", err)
		report := order(t, r.client, unload)
		assert.Equal(t, len(report.Replicas), 0)
		assert.Equal(t, report.Epoch, fleet.Epoch(3))
		order(t, r.client, load)
		assert.Equal(t, r.engine.Committed(), int64(60))
		assert.Equal(t, r.engine.Counts().PeakMemory, int64(60))
	})
}

func TestOldOrderAtAnEngineThatDoesNotFence(t *testing.T) {
	run(t, false, func(t *testing.T, r rig) {
		report := order(t, r.client, engine.Order{ID: "o2", Kind: engine.OrderUnload, Epoch: 1, Boot: "other", Model: "m", Version: "1"})
		assert.Equal(t, report.Epoch, fleet.Epoch(0))
		assert.Equal(t, len(report.Replicas), 0)
	})
}

func TestOrderAtBoot(t *testing.T) {
	run(t, false, func(t *testing.T, r rig) {
		report, err := r.client.Report(t.Context())
		assert.NilError(t, err)
		unload := engine.Order{ID: "o2", Kind: engine.OrderUnload, Boot: report.Boot, Model: "m", Version: "1"}
		r.engine.Crash()
		time.Sleep(2 * time.Second)
		_, err = r.client.OrderAtBoot(t.Context(), unload)
		assert.ErrorIs(t, err, engine.ErrWrongBoot)
		report, err = r.client.Report(t.Context())
		assert.NilError(t, err)
		load := engine.Order{ID: "o3", Kind: engine.OrderLoad, Boot: report.Boot, Model: "m", Version: "1", Memory: 60}
		report, err = r.client.OrderAtBoot(t.Context(), load)
		assert.NilError(t, err)
		assert.Equal(t, len(report.Replicas), 1)
	})
}

// An engine whose connection ends after its report may have restarted: the
// order must not reach whatever listens now.
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

func TestCrashComesBackAsAnotherBoot(t *testing.T) {
	run(t, true, func(t *testing.T, r rig) {
		before, err := r.client.Report(t.Context())
		assert.NilError(t, err)
		r.engine.Crash()
		time.Sleep(2 * time.Second)
		after, err := r.client.Report(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, before.Boot != after.Boot)
		assert.Equal(t, len(after.Replicas), 0)
		assert.DeepEqual(t, after.Cached, []engine.CachedWeights{{Model: "m", Version: "1", Near: fleet.NearDisk}})
	})
}

// crossed answers each request as if it were another one.
func crossed(headerID, eventID string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(engine.HeaderRequestID, headerID)
		fmt.Fprintf(w, "id: %s/0/1\ndata: {}\n\ndata: [DONE]\n\n", eventID)
	}
}

func TestCrossedAnswersAreRefused(t *testing.T) {
	for _, tc := range []struct {
		name            string
		header, eventID string
		skipCheck       bool
	}{
		{"in the header", "other", "r", false},
		{"in an event", "r", "other", false},
		{"assertion fires without the check", "r", "other", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := pipenet.New()
				l, err := network.Listen(address)
				assert.NilError(t, err)
				server := &http.Server{Handler: crossed(tc.header, tc.eventID)}
				go func() { _ = server.Serve(l) }()
				defer server.Close()
				client := engine.NewClient(engine.Options{BaseURL: "http://" + address, Dial: network.Dial})
				defer client.Close()
				if tc.skipCheck {
					client.SkipEchoCheck()
					defer func() {
						v, ok := recover().(invariant.Violation)
						assert.Assert(t, ok)
						assert.Equal(t, v.Name, invariant.AnswerMatches)
					}()
				}
				_, err = infer(client, request("r"))
				assert.ErrorIs(t, err, engine.ErrMismatch)
			})
		})
	}
}
