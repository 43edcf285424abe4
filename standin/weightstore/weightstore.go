// Package weightstore is a stand-in for the rate-limited store of weights. The
// stand-in engines load through it in the same process; nothing of the system
// calls it.
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

// Options sizes a Store.
type Options struct {
	LoadsPerSecond    float64 // model loads started a second; zero selects DefaultLoadsPerSecond
	FullSpeedLoads    int     // model loads at once at full speed; zero selects DefaultFullSpeedLoads
	FullSpeedAdapters int     // adapter loads at once at full speed; zero selects DefaultFullSpeedAdapters
}

// Defaults of Options.
const (
	DefaultLoadsPerSecond    = 5
	DefaultFullSpeedLoads    = 4
	DefaultFullSpeedAdapters = 32
)

// Counts is what a Store has seen since New.
type Counts struct {
	Loads       map[fleet.ModelID]int // model loads begun
	Adapters    int                   // adapter loads begun
	MaxLoads    int                   // most model loads in flight at once
	MaxAdapters int                   // most adapter loads in flight at once
}

// Store is the stand-in. Use New. Safe for concurrent use.
type Store struct {
	Faults   *fault.Board // delay, outage and failures of loads
	limiter  *rate.Limiter
	models   *pool
	adapters *pool

	mu     sync.Mutex
	counts Counts
}

// New returns a store.
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
		Faults:   &fault.Board{},
		limiter:  rate.NewLimiter(rate.Limit(o.LoadsPerSecond), 1),
		models:   newPool(o.FullSpeedLoads),
		adapters: newPool(o.FullSpeedAdapters),
		counts:   Counts{Loads: map[fleet.ModelID]int{}},
	}
}

// SetSlowdown divides the speed of all loads by the factor, from now on.
func (s *Store) SetSlowdown(factor float64) {
	s.models.setSlowdown(factor)
	s.adapters.setSlowdown(factor)
}

// LoadModel takes as long as a load whose time at full speed is given.
func (s *Store) LoadModel(ctx context.Context, model fleet.ModelID, atFullSpeed time.Duration) error {
	s.mu.Lock()
	s.counts.Loads[model]++
	s.mu.Unlock()
	if err := s.judge(ctx); err != nil {
		return err
	}
	if err := s.limiter.Wait(ctx); err != nil {
		return err
	}
	return s.models.run(ctx, atFullSpeed)
}

// LoadAdapter takes as long as an adapter load whose time at full speed is given.
func (s *Store) LoadAdapter(ctx context.Context, atFullSpeed time.Duration) error {
	s.mu.Lock()
	s.counts.Adapters++
	s.mu.Unlock()
	if err := s.judge(ctx); err != nil {
		return err
	}
	return s.adapters.run(ctx, atFullSpeed)
}

func (s *Store) judge(ctx context.Context) error {
	v := s.Faults.Judge(false)
	if v.Outage || v.Fail {
		return ErrFailed
	}
	return fault.Sleep(ctx, v.Delay)
}

// Counts returns a copy of what the store has seen.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.Loads = maps.Clone(c.Loads)
	c.MaxLoads = s.models.maxInFlight()
	c.MaxAdapters = s.adapters.maxInFlight()
	return c
}
