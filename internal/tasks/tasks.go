// Package tasks counts what runs in the background. Unlike sync.WaitGroup, a
// Group lets tasks start while others wait for all to end.
package tasks

import "sync"

// Group is a set of running tasks. The zero Group is empty. Safe for concurrent
// use.
type Group struct {
	mu      sync.Mutex
	running int
	closed  bool
	idle    chan struct{} // closed when running falls to zero; nil while nobody waits
}

// Go runs f in a goroutine of its own as a task, unless Close was called.
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

// Add counts a task that ends with Done.
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

// Wait returns once no task has run at some moment since its call.
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

// Close returns when all tasks have ended. Tasks given from now on are not run.
func (g *Group) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.Wait()
}

// Running returns the number of tasks that run.
func (g *Group) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running
}
