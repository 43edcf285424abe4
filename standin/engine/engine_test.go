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

// run calls the test in virtual time with an engine and a client of it.
func run(t *testing.T, c standin.Config, test func(t *testing.T, e *standin.Engine, client *engine.Client)) {
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

// load orders model m and waits until it is ready. It returns how long it took.
func load(t *testing.T, c *engine.Client) time.Duration {
	t.Helper()
	order(t, c, engine.Order{ID: "load", Kind: engine.OrderLoad, Model: "m", Version: "1", Memory: 60})
	began := time.Now()
	for {
		report, err := c.Report(t.Context())
		assert.NilError(t, err)
		if report.Replicas[0].State == fleet.ReplicaReady {
			return time.Since(began).Truncate(time.Second)
		}
		time.Sleep(500 * time.Millisecond)
	}
}

func order(t *testing.T, c *engine.Client, o engine.Order) {
	t.Helper()
	_, err := c.Order(t.Context(), o)
	assert.NilError(t, err)
}

func stream(t *testing.T, c *engine.Client, id string, rank fleet.Rank) engine.Stream {
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

func TestLoadTimeFollowsNearness(t *testing.T) {
	for near, want := range map[fleet.Nearness]time.Duration{
		fleet.NearRemote: 100 * time.Second,
		fleet.NearDisk:   25 * time.Second,
		fleet.NearMemory: 2 * time.Second,
	} {
		cached := map[standin.Checkpoint]fleet.Nearness{{Model: "m", Version: "1"}: near}
		run(t, standin.Config{Cached: cached}, func(t *testing.T, _ *standin.Engine, c *engine.Client) {
			assert.Equal(t, load(t, c), want, near)
		})
	}
}

// firstToken reads a stream to its end in the background and sends the time of
// its first token.
func firstToken(s engine.Stream) <-chan time.Time {
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

func TestUrgentRequestsGetTheNextSlot(t *testing.T) {
	run(t, standin.Config{}, func(t *testing.T, _ *standin.Engine, c *engine.Client) {
		load(t, c)
		began := time.Now()
		running := firstToken(stream(t, c, "running", fleet.RankBulk))
		bulk := firstToken(stream(t, c, "bulk", fleet.RankBulk))
		urgent := firstToken(stream(t, c, "urgent", fleet.RankUrgent))
		assert.Equal(t, (<-running).Sub(began), tokenTime)
		assert.Equal(t, (<-urgent).Sub(began), 3*tokenTime)
		assert.Equal(t, (<-bulk).Sub(began), 5*tokenTime)
		time.Sleep(tokenTime) // the last answer ends
	})
}

func TestUnloadLetsRunningRequestsFinish(t *testing.T) {
	run(t, standin.Config{}, func(t *testing.T, e *standin.Engine, c *engine.Client) {
		load(t, c)
		s := stream(t, c, "r", fleet.RankBulk)
		defer s.Close()
		order(t, c, engine.Order{ID: "unload", Kind: engine.OrderUnload, Model: "m", Version: "1"})
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

func TestAdapters(t *testing.T) {
	run(t, standin.Config{}, func(t *testing.T, e *standin.Engine, c *engine.Client) {
		adapter := engine.Order{ID: "a1", Kind: engine.OrderLoadAdapter, Model: "m", Version: "1", Adapter: "collar", Memory: 30}
		_, err := c.Order(t.Context(), adapter)
		assert.ErrorIs(t, err, engine.ErrNotLoaded)
		load(t, c)
		request := engine.InferRequest{RequestID: "r", Target: fleet.Target{Model: "m", Adapter: "collar"}, Body: []byte(`{}`)}
		_, err = c.Infer(t.Context(), request)
		assert.ErrorIs(t, err, engine.ErrNotLoaded)
		order(t, c, adapter)
		time.Sleep(10 * time.Millisecond)
		report, err := c.Report(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, report.Replicas[0].Adapters, []fleet.AdapterID{"collar"})
		assert.Equal(t, e.Committed(), int64(90))
		order(t, c, engine.Order{ID: "a2", Kind: engine.OrderUnloadAdapter, Model: "m", Version: "1", Adapter: "collar"})
		assert.Equal(t, e.Committed(), int64(60))
	})
}

func TestReportsAndCacheEventsLag(t *testing.T) {
	config := standin.Config{ReportLag: 10 * time.Second, CachedPrefixes: 1, CacheEventLag: time.Minute, CacheEventGap: 2}
	run(t, config, func(t *testing.T, e *standin.Engine, c *engine.Client) {
		before, err := c.Report(t.Context())
		assert.NilError(t, err)
		order(t, c, engine.Order{ID: "load", Kind: engine.OrderLoad, Model: "m", Version: "1", Memory: 60})
		time.Sleep(9 * time.Second)
		lagging, err := c.Report(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, lagging.MeasuredAt.Equal(before.MeasuredAt))
		time.Sleep(loadTime)
		for _, id := range []string{"one", "two"} { // stored 1, stored 2, evicted 3
			s := stream(t, c, id, fleet.RankBulk)
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

func TestReclaimedEngineDoesNotComeBackFromACrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := standin.New(standin.Config{ID: "e", RestartDelay: time.Second})
		e.Crash()
		e.Reclaim()
		time.Sleep(time.Minute)
		assert.Equal(t, string(e.Report().Boot), "")
	})
}
