// Package tasks tracks background tasks. Unlike with sync.WaitGroup, tasks may
// start while others wait for all to end.
package tasks

import "sync"

// Group is a set of running tasks. The zero value is an empty group. It is safe
// for concurrent use.
type Group struct {
	mu      sync.Mutex
	running int
	closed  bool
	idle    chan struct{} // closed when running falls to zero; nil if nothing waits for that
}

// Go runs f as a task in a new goroutine. After Close it does nothing.
func (g *Group) Go(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	g.running++
	go func() {
		defer g.Done()
		f()
	}()
}

// Add counts a task that the caller runs. Done must be called at its end.
func (g *Group) Add() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running++
}

// Done ends a task that Add counted.
func (g *Group) Done() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if g.running == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// Wait blocks until, at some moment after the call, no task is running.
func (g *Group) Wait() {
	g.mu.Lock()
	if g.running == 0 {
		g.mu.Unlock()
		return
	}
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	idle := g.idle
	g.mu.Unlock()
	<-idle
}

// Close makes Go start no further tasks, and waits like Wait.
func (g *Group) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.Wait()
}

// Running returns the number of running tasks.
func (g *Group) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running
}
