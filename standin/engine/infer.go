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
	id           string
	target       fleet.Target
	rank         fleet.Rank
	prompt       prompt
	received     int  // tokens that the caller already has
	singleEvent  bool // send the whole response in one event
	replica      *replica
	waiter       *waiter         // its place in the replica's batch
	ctx          context.Context // ends with the caller, the process or a cancel call
	cancel       context.CancelCauseFunc
	promptCached bool // skip the prefill
}

// errCancelled is the cancellation cause of a request ended by a cancel call.
var errCancelled = errors.New("cancelled")

// admit adds the request to the batch of the newest ready replica of its model. It
// returns ErrDraining or ErrNotLoaded if it refuses the request.
func (p *process) admit(r *request) error {
	e := p.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	p.abortIfEnded()
	if !e.leavingSince.IsZero() {
		e.arrivalsAfterLeaving = append(e.arrivalsAfterLeaving, time.Since(e.leavingSince))
	}
	if p.draining {
		e.counts.RefusedDraining++
		return engine.ErrDraining
	}
	r.replica = p.newestReady(r.target.Model)
	if r.replica == nil {
		return fmt.Errorf("%w: %s", engine.ErrNotLoaded, r.target)
	}
	if id := r.target.Adapter; id != "" {
		if a := r.replica.adapters[id]; a == nil || !a.ready {
			return fmt.Errorf("%w: %s", engine.ErrNotLoaded, r.target)
		}
	}
	e.updateUsage()
	e.counts.Accepted++
	e.config.FleetStats.requestAccepted(r.id)
	p.requests[r] = struct{}{}
	r.replica.running++
	r.waiter = r.replica.batch.enqueue(r.rank)
	r.promptCached = p.prefixes.touch(r.target.Model, r.prompt.text)
	if r.promptCached {
		e.counts.PrefixHits++
	}
	return nil
}

// finish removes the request and counts its outcome.
func (p *process) finish(r *request, complete bool) {
	e := p.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	e.updateUsage()
	delete(p.requests, r)
	r.replica.running--
	r.replica.batch.release(r.waiter)
	if r.replica.state == fleet.ReplicaUnloading && r.replica.running == 0 {
		p.removeReplica(r.replica)
	}
	switch {
	case p.ctx.Err() != nil: // counted in Counts.Aborted by killProcess
	case complete:
		e.counts.Finished++
	case context.Cause(r.ctx) == errCancelled:
		e.counts.Cancelled++
	default:
		e.counts.Disconnected++
	}
}

// cancelRequest cancels all requests with the id.
func (p *process) cancelRequest(id string) {
	p.engine.mu.Lock()
	defer p.engine.mu.Unlock()
	for r := range p.requests {
		if r.id == id {
			r.cancel(errCancelled)
		}
	}
}

// generate writes the response to the stream. It returns an error if the response
// is incomplete.
func (p *process) generate(r *request, s *eventStream) error {
	if err := s.waitUntil(r.waiter.granted); err != nil {
		return err
	}
	config := p.engine.config
	if !r.promptCached {
		// The tokens that the caller already has are prefilled with the prompt.
		if err := s.waitFor(time.Duration(r.prompt.tokens+r.received) * config.PrefillTime); err != nil {
			return err
		}
	}
	if r.singleEvent {
		return p.generateSingleEvent(r, s)
	}
	for i := r.received; i < r.prompt.maxTokens; i++ {
		if err := s.waitFor(config.TokenTime); err != nil {
			return err
		}
		id := engine.EventID{RequestID: r.id, Index: i, Tokens: 1}
		s.data(id, chunkJSON(r.id, r.target, r.prompt.token(r.target, i)))
	}
	return s.writeDone()
}

// generateSingleEvent waits until all tokens are generated and writes the response
// in one event.
func (p *process) generateSingleEvent(r *request, s *eventStream) error {
	tokens := r.prompt.maxTokens - r.received
	if err := s.waitFor(time.Duration(tokens) * p.engine.config.TokenTime); err != nil {
		return err
	}
	id := engine.EventID{RequestID: r.id, Index: r.received, Tokens: tokens}
	s.data(id, completionJSON(r.id, r.target, r.prompt))
	return s.writeDone()
}

// eventStream writes server-sent events to a response.
type eventStream struct {
	ctx      context.Context
	w        http.ResponseWriter
	flusher  http.Flusher
	interval time.Duration // interval of keepalive comments
}

func (s *eventStream) writeText(text string) {
	_, _ = s.w.Write([]byte(text)) // a disconnected caller ends the context
	s.flusher.Flush()
}

// data writes one event with the id and data.
func (s *eventStream) data(id engine.EventID, data []byte) {
	s.writeText("id: " + id.String() + "\ndata: " + string(data) + "\n\n")
}

// writeDone writes the last event of a complete response.
func (s *eventStream) writeDone() error {
	if err := s.ctx.Err(); err != nil {
		return err
	}
	s.writeText("data: [DONE]\n\n")
	return nil
}

// waitFor waits for d and writes keepalive comments meanwhile.
func (s *eventStream) waitFor(d time.Duration) error {
	if d <= 0 {
		return s.ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	return waitWithKeepAlives(s, timer.C)
}

// waitUntil waits until the channel is closed and writes keepalive comments
// meanwhile.
func (s *eventStream) waitUntil(done <-chan struct{}) error {
	select {
	case <-done:
		return s.ctx.Err()
	default:
	}
	return waitWithKeepAlives(s, done)
}

// waitWithKeepAlives writes keepalive comments until done or the context ends.
func waitWithKeepAlives[T any](s *eventStream, done <-chan T) error {
	ticker := time.NewTicker(s.interval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return nil
		case <-ticker.C:
			s.writeText(": keepalive\n\n")
		case <-s.ctx.Done():
			return s.ctx.Err()
		}
	}
}
