package idempotency

import (
	"context"
	"sync"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/internal/tasks"
	"github.com/redwingnotch/redwingnotch/invariant"
)

// Runner sends a call to its service, once.
type Runner interface {
	// Run sends the call on a connection that carried no other request. It
	// returns OutcomeNotRun only if no byte left this node or the service
	// refused the call before running it.
	Run(ctx context.Context, call Call) Result
}

// Peers reaches the owners of keys.
type Peers interface {
	// Alive reports whether this run of the node is a live member.
	Alive(owner Owner) bool
	// Forward sends the call to its owner. An error means that no answer came.
	Forward(ctx context.Context, owner Owner, call Call) (Result, error)
}

// Service carries out a Core's decisions. It is safe for concurrent use.
type Service struct {
	mu      sync.Mutex
	core    *Core
	waiting map[Key]*progress
	claims  *Claims
	runner  Runner
	peers   Peers
	writes  tasks.Group
	log     func(event string, key Key, err error)
}

// progress is closed once the send in charge of a key has a result.
type progress struct {
	done   chan struct{}
	result Result
}

// NewService returns a service. The log function receives failed writes of
// outcomes; it may be nil.
func NewService(core *Core, claims *Claims, runner Runner, peers Peers, log func(event string, key Key, err error)) *Service {
	if log == nil {
		log = func(string, Key, error) {}
	}
	return &Service{core: core, waiting: make(map[Key]*progress), claims: claims, runner: runner, peers: peers, log: log}
}

// Issue returns a new key of this run of the node.
func (s *Service) Issue() IssuedKey {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Issue(time.Now())
}

// Call runs the call at most once, wherever its key was used before, and
// returns how it ended. The call runs on if ctx ends; its deadline bounds it.
func (s *Service) Call(ctx context.Context, call Call) Result { return s.call(ctx, call, false) }

// CallForwarded takes a call that another node forwarded to this one.
func (s *Service) CallForwarded(ctx context.Context, call Call) Result {
	return s.call(ctx, call, true)
}

func (s *Service) call(ctx context.Context, call Call, forwarded bool) Result {
	s.mu.Lock()
	decision := s.core.Offer(time.Now(), &call, forwarded)
	switch decision.Action {
	case ActionAnswer:
		s.mu.Unlock()
		return decision.Result
	case ActionForward:
		s.mu.Unlock()
		return s.forward(ctx, decision.Owner, call, forwarded)
	case ActionWait:
		p := s.waiting[call.Key]
		s.mu.Unlock()
		return wait(ctx, p, true)
	}
	p := &progress{done: make(chan struct{})}
	s.waiting[call.Key] = p
	s.mu.Unlock()
	s.writes.Go(func() { s.carryOut(context.WithoutCancel(ctx), call, decision, p) })
	return wait(ctx, p, false)
}

// wait returns the result of the send in charge of the key.
func wait(ctx context.Context, p *progress, replayed bool) Result {
	select {
	case <-p.done:
		r := p.result
		r.Replayed = r.Replayed || replayed
		return r
	case <-ctx.Done():
		return unknown(CodeCancelled, "the call is in progress; send again with the same key for its outcome", time.Second)
	}
}

// carryOut claims and runs a call and records its end.
func (s *Service) carryOut(ctx context.Context, call Call, decision Decision, p *progress) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	version := uint64(0)
	if decision.Action == ActionClaim {
		decision, version = s.claim(ctx, &call, decision)
	}
	switch decision.Action {
	case ActionForward:
		s.resolve(call.Key, p, s.forward(ctx, decision.Owner, call, false))
	case ActionAnswer:
		s.resolve(call.Key, p, decision.Result)
	case ActionRun:
		s.run(ctx, call, version, p)
	}
}

func (s *Service) claim(ctx context.Context, call *Call, decision Decision) (Decision, uint64) {
	res, version, err := s.claims.Claim(ctx, decision.Claim, decision.Retake)
	if err != nil {
		s.log("claim_failed", call.Key, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.HandleClaim(time.Now(), call, res), version
}

func (s *Service) run(ctx context.Context, call Call, version uint64, p *progress) {
	result := s.runner.Run(ctx, call)
	invariant.Check(result.Outcome != fleet.OutcomeNotRun || result.Answer.Status == 0, invariant.NotRunIsTrue,
		"key %s is called not run and has an answer", call.Key)
	s.mu.Lock()
	record, write := s.core.Finish(time.Now(), call.Key, result)
	s.mu.Unlock()
	if !write {
		s.resolve(call.Key, p, result)
		return
	}
	if record.State == RecordReleased {
		// The release is settled before the caller may send again elsewhere.
		s.release(call.Key, record, version)
		s.resolve(call.Key, p, result)
		return
	}
	s.resolve(call.Key, p, result)
	s.writeDone(call.Key, record, version)
}

// Writing of outcomes.
const (
	releaseTimeout = 2 * time.Second
	doneTimeout    = 30 * time.Second // afterwards, only this run of the node knows the result
	donePause      = 500 * time.Millisecond
)

func (s *Service) release(key Key, record Record, version uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_, err := s.claims.Update(ctx, record, version)
	if err != nil {
		s.log("release_failed", key, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.HandleRelease(key, err == nil)
}

// writeDone records the result. Resends are answered from memory meanwhile, or
// learn from the claim that they must ask this node.
func (s *Service) writeDone(key Key, record Record, version uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), doneTimeout)
	defer cancel()
	for {
		_, err := s.claims.Update(ctx, record, version)
		if err == nil || !retryable(err) || ctx.Err() != nil {
			if err != nil {
				s.log("outcome_not_recorded", key, err)
			}
			return
		}
		timer := time.NewTimer(donePause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

func (s *Service) resolve(key Key, p *progress, r Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.result = r
	if s.waiting[key] == p {
		delete(s.waiting, key)
	}
	close(p.done)
}

// forward asks the owner of a key.
func (s *Service) forward(ctx context.Context, owner Owner, call Call, forwarded bool) Result {
	if forwarded || !s.peers.Alive(owner) {
		return unknown(CodeOwnerGone, "the node that may have run the call is gone; it is not run again", 0)
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	result, err := s.peers.Forward(ctx, owner, call)
	if err != nil {
		s.log("forward_failed", call.Key, err)
		return unknown(CodeOwnerUnreachable, "the node that may have run the call does not answer; send again with the same key", time.Second)
	}
	return result
}

// Sweep forgets expired keys in memory.
func (s *Service) Sweep(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Sweep(now)
}

// Wait returns when all runs and writes have ended.
func (s *Service) Wait() { s.writes.Wait() }
