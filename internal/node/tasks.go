package node

import "sync"

// tasks runs short tasks that a stop waits for. Unlike a sync.WaitGroup it may
// be given tasks while it is waited for: it no longer runs them.
type tasks struct {
	mu      sync.Mutex
	closed  bool // by Wait
	running sync.WaitGroup
}

// Go runs f in a goroutine of its own, unless Wait was called.
func (t *tasks) Go(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	t.running.Go(f)
}

// Wait returns when all tasks have ended. Tasks given from now on are not run.
func (t *tasks) Wait() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.running.Wait()
}
