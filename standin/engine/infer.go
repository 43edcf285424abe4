package engine

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
)

// request is one inference request in progress.
type request struct {
	id       string
	target   fleet.Target
	rank     fleet.Rank
	prompt   prompt
	received int
	whole    bool
	replica  *replica
	waiter   *waiter
	ctx      context.Context
	cancel   context.CancelCauseFunc
	cached   bool
}

// errCancelled is the cause of a request ended by a cancel call.
var errCancelled = errors.New("cancelled")

// admit takes the request into a replica's batch, or refuses it.
func (p *process) admit(r *request) error {
	e := p.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	p.mustLive()
	if !e.leavingSince.IsZero() {
		e.lateArrivals = append(e.lateArrivals, time.Since(e.leavingSince))
	}
	if p.draining {
		e.counts.RefusedDraining++
		return engine.ErrDraining
	}
	r.replica = p.newest(r.target.Model)
	if r.replica == nil {
		return fmt.Errorf("%w: %s", engine.ErrNotLoaded, r.target)
	}
	if id := r.target.Adapter; id != "" {
		if a := r.replica.adapters[id]; a == nil || !a.ready {
			return fmt.Errorf("%w: %s", engine.ErrNotLoaded, r.target)
		}
	}
	e.reckonOccupancy()
	e.counts.Accepted++
	e.config.Ledger.accepted(r.id)
	p.requests[r] = struct{}{}
	r.replica.running++
	r.waiter = r.replica.batch.enter(r.rank)
	r.cached = p.prefixes.use(r.target.Model, r.prompt.text)
	if r.cached {
		e.counts.PrefixHits++
	}
	return nil
}

// release ends the request and counts how.
func (p *process) release(r *request, whole bool) {
	e := p.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reckonOccupancy()
	delete(p.requests, r)
	r.replica.running--
	r.replica.batch.leave(r.waiter)
	if r.replica.state == fleet.ReplicaUnloading && r.replica.running == 0 {
		p.remove(r.replica)
	}
	switch {
	case p.ctx.Err() != nil: // counted as cut when the process ended
	case whole:
		e.counts.Finished++
	case context.Cause(r.ctx) == errCancelled:
		e.counts.Cancelled++
	default:
		e.counts.Disconnected++
	}
}

// cancelRequest ends all requests with the id.
func (p *process) cancelRequest(id string) {
	p.engine.mu.Lock()
	defer p.engine.mu.Unlock()
	for r := range p.requests {
		if r.id == id {
			r.cancel(errCancelled)
		}
	}
}

// generate writes the answer to the stream. It returns an error if the answer
// is not whole.
func (p *process) generate(r *request, s *eventStream) error {
	if err := s.keepAliveUntil(r.waiter.granted); err != nil {
		return err
	}
	config := p.engine.config
	if !r.cached {
		if err := s.keepAliveFor(time.Duration(r.prompt.tokens+r.received) * config.PrefillTime); err != nil {
			return err
		}
	}
	if r.whole {
		return p.generateWhole(r, s)
	}
	for i := r.received; i < r.prompt.maxTokens; i++ {
		if err := s.keepAliveFor(config.TokenTime); err != nil {
			return err
		}
		id := engine.EventID{RequestID: r.id, Index: i, Tokens: 1}
		s.data(id, chunkJSON(r.id, r.target, r.prompt.token(r.target, i)))
	}
	return s.done()
}

func (p *process) generateWhole(r *request, s *eventStream) error {
	tokens := r.prompt.maxTokens - r.received
	if err := s.keepAliveFor(time.Duration(tokens) * p.engine.config.TokenTime); err != nil {
		return err
	}
	id := engine.EventID{RequestID: r.id, Index: r.received, Tokens: tokens}
	s.data(id, wholeJSON(r.id, r.target, r.prompt))
	return s.done()
}

// eventStream writes server-sent events.
type eventStream struct {
	ctx      context.Context
	w        http.ResponseWriter
	flusher  http.Flusher
	interval time.Duration // of comments
}

func (s *eventStream) write(text string) {
	_, _ = s.w.Write([]byte(text)) // a lost caller shows in the context
	s.flusher.Flush()
}

func (s *eventStream) data(id engine.EventID, data []byte) {
	s.write("id: " + id.String() + "\ndata: " + string(data) + "\n\n")
}

func (s *eventStream) done() error {
	if err := s.ctx.Err(); err != nil {
		return err
	}
	s.write("data: [DONE]\n\n")
	return nil
}

// keepAliveFor waits and writes comments meanwhile.
func (s *eventStream) keepAliveFor(d time.Duration) error {
	if d <= 0 {
		return s.ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	return keepAlive(s, timer.C)
}

// keepAliveUntil waits for the channel and writes comments meanwhile.
func (s *eventStream) keepAliveUntil(granted <-chan struct{}) error {
	select {
	case <-granted:
		return s.ctx.Err()
	default:
	}
	return keepAlive(s, granted)
}

func keepAlive[T any](s *eventStream, end <-chan T) error {
	ticker := time.NewTicker(s.interval)
	defer ticker.Stop()
	for {
		select {
		case <-end:
			return nil
		case <-ticker.C:
			s.write(": keepalive\n\n")
		case <-s.ctx.Done():
			return s.ctx.Err()
		}
	}
}
