package engine_test

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
	standin "github.com/redwingnotch/redwingnotch/standin/engine"
	"github.com/redwingnotch/redwingnotch/standin/pipenet"
)

const (
	address   = "engine:90"
	loadTime  = 100 * time.Second
	tokenTime = time.Second
)

// runWithEngine runs the test in virtual time with an engine and its client.
func runWithEngine(t *testing.T, c standin.Config, test func(t *testing.T, e *standin.Engine, client *engine.Client)) {
	synctest.Test(t, func(t *testing.T) {
		network := pipenet.New()
		c.Memory = 100
		c.Models = map[fleet.ModelID]standin.Model{"m": {LoadTime: loadTime, Slots: 1}}
		c.TokenTime = tokenTime
		e := standin.New(c)
		e.SetListen(func() (net.Listener, error) { return network.Listen(address) })
		assert.NilError(t, e.Restart())
		client := engine.NewClient(engine.Options{BaseURL: "http://" + address, Dial: network.Dial})
		defer synctest.Wait()
		defer client.Close()
		defer e.Reclaim()
		test(t, e, client)
	})
}

// loadModel loads model m and returns the time until it is ready, in full seconds.
func loadModel(t *testing.T, c *engine.Client) time.Duration {
	t.Helper()
	sendOrder(t, c, engine.Order{ID: "load", Kind: engine.OrderLoad, Model: "m", Version: "1", Memory: 60})
	start := time.Now()
	for {
		report, err := c.Report(t.Context())
		assert.NilError(t, err)
		if report.Replicas[0].State == fleet.ReplicaReady {
			return time.Since(start).Truncate(time.Second)
		}
		time.Sleep(500 * time.Millisecond)
	}
}

func sendOrder(t *testing.T, c *engine.Client, o engine.Order) {
	t.Helper()
	_, err := c.Order(t.Context(), o)
	assert.NilError(t, err)
}

func startStream(t *testing.T, c *engine.Client, id string, rank fleet.Rank) engine.Stream {
	t.Helper()
	s, err := c.Infer(t.Context(), engine.InferRequest{
		RequestID: id,
		Target:    fleet.Target{Model: "m"},
		Rank:      rank,
		Body:      []byte(`{"messages":[{"role":"user","content":"` + id + `"}],"max_tokens":2}`),
		Stream:    true,
	})
	assert.NilError(t, err)
	return s
}

func TestLoadTimeDependsOnLocality(t *testing.T) {
	for locality, want := range map[fleet.Locality]time.Duration{
		fleet.LocalityRemote: 100 * time.Second,
		fleet.LocalityDisk:   25 * time.Second,
		fleet.LocalityMemory: 2 * time.Second,
	} {
		cached := map[standin.Checkpoint]fleet.Locality{{Model: "m", Version: "1"}: locality}
		runWithEngine(t, standin.Config{Cached: cached}, func(t *testing.T, _ *standin.Engine, c *engine.Client) {
			assert.Equal(t, loadModel(t, c), want, locality)
		})
	}
}

// firstTokenTime reads the stream to its end in the background and sends the time
// of its first token to the channel.
func firstTokenTime(s engine.Stream) <-chan time.Time {
	first := make(chan time.Time, 1)
	go func() {
		defer s.Close()
		for i := 0; ; i++ {
			if _, err := s.Next(); err != nil {
				return
			}
			if i == 0 {
				first <- time.Now()
			}
		}
	}()
	return first
}

func TestUrgentRequestGetsNextFreeSlot(t *testing.T) {
	runWithEngine(t, standin.Config{}, func(t *testing.T, _ *standin.Engine, c *engine.Client) {
		loadModel(t, c)
		start := time.Now()
		running := firstTokenTime(startStream(t, c, "running", fleet.RankBulk))
		bulk := firstTokenTime(startStream(t, c, "bulk", fleet.RankBulk))
		urgent := firstTokenTime(startStream(t, c, "urgent", fleet.RankUrgent))
		assert.Equal(t, (<-running).Sub(start), tokenTime)
		assert.Equal(t, (<-urgent).Sub(start), 3*tokenTime)
		assert.Equal(t, (<-bulk).Sub(start), 5*tokenTime)
		time.Sleep(tokenTime) // the last stream ends
	})
}

func TestUnloadLetsRunningRequestsFinish(t *testing.T) {
	runWithEngine(t, standin.Config{}, func(t *testing.T, e *standin.Engine, c *engine.Client) {
		loadModel(t, c)
		s := startStream(t, c, "r", fleet.RankBulk)
		defer s.Close()
		sendOrder(t, c, engine.Order{ID: "unload", Kind: engine.OrderUnload, Model: "m", Version: "1"})
		assert.Equal(t, e.Committed(), int64(60))
		for range 3 {
			_, err := s.Next()
			assert.NilError(t, err)
		}
		synctest.Wait()
		assert.Equal(t, e.Committed(), int64(0))
		assert.Equal(t, e.Counts().Finished, 1)
	})
}

func TestLoadAndUnloadAdapter(t *testing.T) {
	runWithEngine(t, standin.Config{}, func(t *testing.T, e *standin.Engine, c *engine.Client) {
		adapter := engine.Order{ID: "a1", Kind: engine.OrderLoadAdapter, Model: "m", Version: "1", Adapter: "collar", Memory: 30}
		_, err := c.Order(t.Context(), adapter)
		assert.ErrorIs(t, err, engine.ErrNotLoaded)
		loadModel(t, c)
		request := engine.InferRequest{RequestID: "r", Target: fleet.Target{Model: "m", Adapter: "collar"}, Body: []byte(`{}`)}
		_, err = c.Infer(t.Context(), request)
		assert.ErrorIs(t, err, engine.ErrNotLoaded)
		sendOrder(t, c, adapter)
		time.Sleep(10 * time.Millisecond)
		report, err := c.Report(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, report.Replicas[0].Adapters, []fleet.AdapterID{"collar"})
		assert.Equal(t, e.Committed(), int64(90))
		sendOrder(t, c, engine.Order{ID: "a2", Kind: engine.OrderUnloadAdapter, Model: "m", Version: "1", Adapter: "collar"})
		assert.Equal(t, e.Committed(), int64(60))
	})
}

func TestReportsAndCacheEventsLag(t *testing.T) {
	config := standin.Config{ReportLag: 10 * time.Second, CachedPrefixes: 1, CacheEventLag: time.Minute, CacheEventDropEvery: 2}
	runWithEngine(t, config, func(t *testing.T, e *standin.Engine, c *engine.Client) {
		before, err := c.Report(t.Context())
		assert.NilError(t, err)
		sendOrder(t, c, engine.Order{ID: "load", Kind: engine.OrderLoad, Model: "m", Version: "1", Memory: 60})
		time.Sleep(9 * time.Second)
		lagging, err := c.Report(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, lagging.MeasuredAt.Equal(before.MeasuredAt))
		time.Sleep(loadTime)
		for _, id := range []string{"one", "two"} { // events: 1 adds one, 2 (dropped) adds two, 3 evicts one
			s := startStream(t, c, id, fleet.RankBulk)
			for range 3 {
				_, err := s.Next()
				assert.NilError(t, err)
			}
		}
		events, err := c.CacheEvents(t.Context(), 0)
		assert.NilError(t, err)
		assert.Equal(t, len(events.Events), 0)
		time.Sleep(time.Minute)
		events, err = c.CacheEvents(t.Context(), 0)
		assert.NilError(t, err)
		assert.Equal(t, len(events.Events), 2)
		assert.Equal(t, events.Last, uint64(3))
		assert.Assert(t, events.Events[1].Evicted)
	})
}

func TestReclaimedEngineDoesNotRestartAfterCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := standin.New(standin.Config{ID: "e", RestartDelay: time.Second})
		e.Crash()
		e.Reclaim()
		time.Sleep(time.Minute)
		assert.Equal(t, string(e.Report().Boot), "")
	})
}
