package idempotency

import (
	"context"
	"sync"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/internal/tasks"
	"github.com/redwingnotch/redwingnotch/invariant"
)

// Runner sends calls to their services.
type Runner interface {
	// Run sends the call at most once, on a connection that no earlier request
	// has used. It returns OutcomeNotRun only if no byte left this node or the
	// service refused the call before running it.
	Run(ctx context.Context, call Call) Result
}

// Peers forwards calls to the owners of their keys.
type Peers interface {
	// Alive reports whether the node incarnation is a live member.
	Alive(owner Owner) bool
	// Forward sends the call to its owner and returns the owner's result. After
	// an error, the outcome of the call is unknown.
	Forward(ctx context.Context, owner Owner, call Call) (Result, error)
}

// Executor executes a Core's decisions. It is safe for concurrent use.
type Executor struct {
	mu         sync.Mutex
	core       *Core
	pending    map[Key]*pendingResult
	claims     *ClaimStore
	runner     Runner
	peers      Peers
	background tasks.Group
	log        func(event string, key Key, err error)
}

// pendingResult is the future result of a key whose call is in progress.
type pendingResult struct {
	done   chan struct{} // closed once result is set
	result Result
}

// NewExecutor returns an Executor. The log function receives failed writes of
// claims and outcomes, and failed forwards. It may be nil.
func NewExecutor(core *Core, claims *ClaimStore, runner Runner, peers Peers, log func(event string, key Key, err error)) *Executor {
	if log == nil {
		log = func(string, Key, error) {}
	}
	return &Executor{core: core, pending: make(map[Key]*pendingResult), claims: claims, runner: runner, peers: peers, log: log}
}

// Issue returns a new key owned by this node incarnation.
func (e *Executor) Issue() IssuedKey {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.Issue(time.Now())
}

// Call runs the call at most once, even if its key is also used at other nodes,
// and returns its result. If ctx ends, Call returns CodeCancelled, but the call
// goes on until its deadline.
func (e *Executor) Call(ctx context.Context, call Call) Result { return e.call(ctx, call, false) }

// CallForwarded is Call for a call that another node forwarded to this one.
func (e *Executor) CallForwarded(ctx context.Context, call Call) Result {
	return e.call(ctx, call, true)
}

func (e *Executor) call(ctx context.Context, call Call, forwarded bool) Result {
	e.mu.Lock()
	decision := e.core.HandleCall(time.Now(), &call, forwarded)
	switch decision.Action {
	case ActionReturn:
		e.mu.Unlock()
		return decision.Result
	case ActionForward:
		e.mu.Unlock()
		return e.forward(ctx, decision.Owner, call, forwarded)
	case ActionWait:
		p := e.pending[call.Key]
		e.mu.Unlock()
		return awaitResult(ctx, p, true)
	}
	p := &pendingResult{done: make(chan struct{})}
	e.pending[call.Key] = p
	e.mu.Unlock()
	e.background.Go(func() { e.execute(context.WithoutCancel(ctx), call, decision, p) })
	return awaitResult(ctx, p, false)
}

// awaitResult waits for the result of a call in progress. Replayed is set for
// callers that did not start the call.
func awaitResult(ctx context.Context, p *pendingResult, replayed bool) Result {
	select {
	case <-p.done:
		r := p.result
		r.Replayed = r.Replayed || replayed
		return r
	case <-ctx.Done():
		return unknown(CodeCancelled, "the call is in progress; send it again with the same key to get its outcome", time.Second)
	}
}

// execute claims the key if necessary, runs the call and stores its result.
func (e *Executor) execute(ctx context.Context, call Call, decision Decision, p *pendingResult) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	version := uint64(0)
	if decision.Action == ActionClaim {
		decision, version = e.claim(ctx, &call, decision)
	}
	switch decision.Action {
	case ActionForward:
		e.complete(call.Key, p, e.forward(ctx, decision.Owner, call, false))
	case ActionReturn:
		e.complete(call.Key, p, decision.Result)
	case ActionRun:
		e.run(ctx, call, version, p)
	}
}

func (e *Executor) claim(ctx context.Context, call *Call, decision Decision) (Decision, uint64) {
	res, version, err := e.claims.Claim(ctx, decision.Claim, decision.OverwriteOwnClaim)
	if err != nil {
		e.log("claim_failed", call.Key, err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.HandleClaim(time.Now(), call, res), version
}

func (e *Executor) run(ctx context.Context, call Call, version uint64, p *pendingResult) {
	result := e.runner.Run(ctx, call)
	invariant.Check(result.Outcome != fleet.OutcomeNotRun || result.Response.Status == 0, invariant.NotRunIsTrue,
		"key %s: outcome is not run, but the result has a response", call.Key)
	e.mu.Lock()
	record, write := e.core.Finish(time.Now(), call.Key, result)
	e.mu.Unlock()
	if !write {
		e.complete(call.Key, p, result)
		return
	}
	if record.State == RecordReleased {
		// The release is written before the caller gets the result and may send
		// the call to another node.
		e.writeRelease(call.Key, record, version)
		e.complete(call.Key, p, result)
		return
	}
	e.complete(call.Key, p, result)
	e.writeResult(call.Key, record, version)
}

// Time limits of writing outcomes to the store.
const (
	releaseWriteTimeout   = 2 * time.Second
	resultWriteTimeout    = 30 * time.Second // after it, only this incarnation has the result
	resultWriteRetryDelay = 500 * time.Millisecond
)

func (e *Executor) writeRelease(key Key, record Record, version uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseWriteTimeout)
	defer cancel()
	_, err := e.claims.Update(ctx, record, version)
	if err != nil {
		e.log("release_failed", key, err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.core.HandleRelease(key, err == nil)
}

// writeResult writes the result to the store and retries for
// resultWriteTimeout. Until it is written, this node returns it from memory, and
// other nodes forward resends here because of the claim.
func (e *Executor) writeResult(key Key, record Record, version uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), resultWriteTimeout)
	defer cancel()
	for {
		_, err := e.claims.Update(ctx, record, version)
		if err == nil || !retryable(err) || ctx.Err() != nil {
			if err != nil {
				e.log("outcome_not_recorded", key, err)
			}
			return
		}
		timer := time.NewTimer(resultWriteRetryDelay)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

func (e *Executor) complete(key Key, p *pendingResult, r Result) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p.result = r
	if e.pending[key] == p {
		delete(e.pending, key)
	}
	close(p.done)
}

// forward forwards the call to the owner of its key. A call that was already
// forwarded is not forwarded again.
func (e *Executor) forward(ctx context.Context, owner Owner, call Call, forwarded bool) Result {
	if forwarded || !e.peers.Alive(owner) {
		return unknown(CodeOwnerGone, "the node that may have run the call has left or restarted; the call is not run again", 0)
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	result, err := e.peers.Forward(ctx, owner, call)
	if err != nil {
		e.log("forward_failed", call.Key, err)
		return unknown(CodeOwnerUnreachable, "the node that may have run the call does not respond; send the call again with the same key", time.Second)
	}
	return result
}

// Sweep removes expired keys from memory and returns their number.
func (e *Executor) Sweep(now time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.Sweep(now)
}

// Wait waits until all calls and writes in the background have ended.
func (e *Executor) Wait() { e.background.Wait() }
