// Package weightstore is a stand-in for the weight store, which limits the rate
// and speed of loads. The stand-in engines call it within their process. It
// transfers no data: a load only takes time.
package weightstore

import (
	"context"
	"maps"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/standin/fault"
)

// Options holds the rate and speed limits of a Store.
type Options struct {
	LoadsPerSecond    float64 // rate at which model loads start; zero selects DefaultLoadsPerSecond
	FullSpeedLoads    int     // concurrent model loads at full speed; zero selects DefaultFullSpeedLoads
	FullSpeedAdapters int     // concurrent adapter loads at full speed; zero selects DefaultFullSpeedAdapters
}

// Defaults of Options.
const (
	DefaultLoadsPerSecond    = 5
	DefaultFullSpeedLoads    = 4
	DefaultFullSpeedAdapters = 32
)

// Counts holds the load counters of a Store since New.
type Counts struct {
	Loads       map[fleet.ModelID]int // model loads started, by model, failed ones included
	Adapters    int                   // adapter loads started, failed ones included
	MaxLoads    int                   // highest number of concurrent model loads
	MaxAdapters int                   // highest number of concurrent adapter loads
}

// Store is a simulated weight store. Use New. Safe for concurrent use.
type Store struct {
	Faults   *fault.Injector // injects delays, outages and failures into loads
	limiter  *rate.Limiter
	models   *pool
	adapters *pool

	mu     sync.Mutex
	counts Counts
}

// New returns a store with the given limits.
func New(o Options) *Store {
	if o.LoadsPerSecond == 0 {
		o.LoadsPerSecond = DefaultLoadsPerSecond
	}
	if o.FullSpeedLoads == 0 {
		o.FullSpeedLoads = DefaultFullSpeedLoads
	}
	if o.FullSpeedAdapters == 0 {
		o.FullSpeedAdapters = DefaultFullSpeedAdapters
	}
	return &Store{
		Faults:   &fault.Injector{},
		limiter:  rate.NewLimiter(rate.Limit(o.LoadsPerSecond), 1),
		models:   newPool(o.FullSpeedLoads),
		adapters: newPool(o.FullSpeedAdapters),
		counts:   Counts{Loads: map[fleet.ModelID]int{}},
	}
}

// SetSlowdown divides the speed of all loads, current ones included, by the
// factor. It replaces an earlier factor.
func (s *Store) SetSlowdown(factor float64) {
	s.models.setSlowdown(factor)
	s.adapters.setSlowdown(factor)
}

// LoadModel simulates a load of the model, whose duration at full speed is
// fullSpeedTime: it waits for the rate limit and then for the load to end. It returns
// ErrFailed for an injected fault, or the error of an ended ctx.
func (s *Store) LoadModel(ctx context.Context, model fleet.ModelID, fullSpeedTime time.Duration) error {
	s.mu.Lock()
	s.counts.Loads[model]++
	s.mu.Unlock()
	if err := s.injectFaults(ctx); err != nil {
		return err
	}
	if err := s.limiter.Wait(ctx); err != nil {
		return err
	}
	return s.models.run(ctx, fullSpeedTime)
}

// LoadAdapter simulates a load of an adapter, whose duration at full speed is
// fullSpeedTime. Adapter loads have no rate limit. Errors are those of LoadModel.
func (s *Store) LoadAdapter(ctx context.Context, fullSpeedTime time.Duration) error {
	s.mu.Lock()
	s.counts.Adapters++
	s.mu.Unlock()
	if err := s.injectFaults(ctx); err != nil {
		return err
	}
	return s.adapters.run(ctx, fullSpeedTime)
}

func (s *Store) injectFaults(ctx context.Context) error {
	decision := s.Faults.Decide(false)
	if decision.Outage || decision.Fail {
		return ErrFailed
	}
	return fault.Sleep(ctx, decision.Delay)
}

// Counts returns a copy of the counters.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.Loads = maps.Clone(c.Loads)
	c.MaxLoads = s.models.maxInFlight()
	c.MaxAdapters = s.adapters.maxInFlight()
	return c
}
