package weightstore

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"
)

// ErrFailed is returned for loads that fail because of an injected fault.
var ErrFailed = errors.New("weight store: load failed")

// pool shares a limited total speed among its jobs: up to capacity jobs run at
// full speed; if there are n > capacity jobs, each runs at capacity/n of it.
type pool struct {
	mu        sync.Mutex
	capacity  int     // number of jobs that can run at full speed
	slowdown  float64 // divisor of the speed of all jobs
	jobs      map[*job]struct{}
	changed   chan struct{} // closed and replaced when the speed changes
	updatedAt time.Time     // time of the last updateRemaining
	peak      int           // highest number of concurrent jobs
}

// job holds the remaining work in nanoseconds at full speed. It is a float64
// because a slow job may do a fraction of a nanosecond of work between two speed
// changes.
type job struct{ remaining float64 }

// doneThreshold is the remaining work in nanoseconds below which a job is done.
const doneThreshold = 0.5

func newPool(capacity int) *pool {
	return &pool{
		capacity: capacity,
		slowdown: 1,
		jobs:     map[*job]struct{}{},
		changed:  make(chan struct{}),
	}
}

// maxInFlight returns the highest number of concurrent jobs since newPool.
func (p *pool) maxInFlight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peak
}

func (p *pool) setSlowdown(factor float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateRemaining()
	p.slowdown = factor
	p.notifyChanged()
}

// run adds a job and returns when its work is done or the context has ended.
func (p *pool) run(ctx context.Context, work time.Duration) error {
	j := &job{remaining: float64(work)}
	p.add(j)
	defer p.remove(j)
	for {
		wait, changed := p.timeRemaining(j)
		if wait <= 0 {
			return nil
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-changed:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		timer.Stop()
	}
}

func (p *pool) add(j *job) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateRemaining()
	p.jobs[j] = struct{}{}
	p.peak = max(p.peak, len(p.jobs))
	p.notifyChanged()
}

func (p *pool) remove(j *job) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateRemaining()
	delete(p.jobs, j)
	p.notifyChanged()
}

// timeRemaining returns the time until the job is done at the current speed, and
// a channel that is closed when the speed changes.
func (p *pool) timeRemaining(j *job) (time.Duration, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateRemaining()
	if j.remaining < doneThreshold {
		return 0, p.changed
	}
	return time.Duration(math.Ceil(j.remaining / p.speed())), p.changed
}

// speed returns the current speed of each job as a fraction of full speed.
func (p *pool) speed() float64 {
	share := 1.0
	if len(p.jobs) > p.capacity {
		share = float64(p.capacity) / float64(len(p.jobs))
	}
	return share / p.slowdown
}

// updateRemaining subtracts the work done since updatedAt from each job.
func (p *pool) updateRemaining() {
	now := time.Now()
	done := float64(now.Sub(p.updatedAt)) * p.speed()
	p.updatedAt = now
	for j := range p.jobs {
		j.remaining -= done
	}
}

// notifyChanged wakes all waiting jobs, because the speed has changed.
func (p *pool) notifyChanged() {
	close(p.changed)
	p.changed = make(chan struct{})
}
