package weightstore

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"
)

// ErrFailed is returned for loads that a switched fault makes fail.
var ErrFailed = errors.New("weight store failed")

// pool shares a fixed speed among jobs: up to capacity jobs run at full speed,
// and n jobs beyond it each at capacity/n of it.
type pool struct {
	mu       sync.Mutex
	capacity int
	slowdown float64
	jobs     map[*job]struct{}
	changed  chan struct{} // closed and replaced when the speed changes
	last     time.Time     // until when the jobs' remaining work is reckoned
	most     int
}

// job is work left, in nanoseconds at full speed. A float64 keeps the parts of a
// nanosecond that a slow job does between two changes.
type job struct{ remaining float64 }

// negligible is work that counts as done, in nanoseconds.
const negligible = 0.5

func newPool(capacity int) *pool {
	return &pool{
		capacity: capacity,
		slowdown: 1,
		jobs:     map[*job]struct{}{},
		changed:  make(chan struct{}),
	}
}

func (p *pool) maxInFlight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.most
}

func (p *pool) setSlowdown(factor float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance()
	p.slowdown = factor
	p.wake()
}

// run returns once the work is done or the context has ended.
func (p *pool) run(ctx context.Context, work time.Duration) error {
	j := &job{remaining: float64(work)}
	p.join(j)
	defer p.leave(j)
	for {
		left, changed := p.timeLeft(j)
		if left <= 0 {
			return nil
		}
		timer := time.NewTimer(left)
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

func (p *pool) join(j *job) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance()
	p.jobs[j] = struct{}{}
	p.most = max(p.most, len(p.jobs))
	p.wake()
}

func (p *pool) leave(j *job) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance()
	delete(p.jobs, j)
	p.wake()
}

// timeLeft returns the time until the job is done at the present speed, and a
// channel that closes when the speed changes.
func (p *pool) timeLeft(j *job) (time.Duration, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance()
	if j.remaining < negligible {
		return 0, p.changed
	}
	return time.Duration(math.Ceil(j.remaining / p.speed())), p.changed
}

// speed is the share of full speed that each job gets.
func (p *pool) speed() float64 {
	share := 1.0
	if len(p.jobs) > p.capacity {
		share = float64(p.capacity) / float64(len(p.jobs))
	}
	return share / p.slowdown
}

// advance reckons the jobs' remaining work up to now.
func (p *pool) advance() {
	now := time.Now()
	done := float64(now.Sub(p.last)) * p.speed()
	p.last = now
	for j := range p.jobs {
		j.remaining -= done
	}
}

func (p *pool) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}
