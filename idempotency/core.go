package idempotency

import (
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/invariant"
)

// Action says what a node does next with a call.
type Action uint8

// The actions.
const (
	ActionRun     Action = iota // send the call, then call Finish
	ActionClaim                 // write a claim, then call HandleClaim
	ActionWait                  // the key is in progress at this node
	ActionForward               // the owner answers
	ActionAnswer                // the result is final for this send
)

// String returns the action's name.
func (a Action) String() string {
	return [...]string{"run", "claim", "wait", "forward", "answer"}[a]
}

// Decision is what a node does next with a call.
type Decision struct {
	Action Action
	Owner  Owner  // for ActionForward
	Result Result // for ActionAnswer
	Claim  Record // for ActionClaim
	Retake bool   // for ActionClaim: a claim of this run may be in the store and may be written over
}

// keyState is the state of a key at this node.
type keyState uint8

const (
	keyClaiming  keyState = iota // the claim is being written
	keyAbandoned                 // a claim of this run may be in the store; the call did not run
	keyHeld                      // issued key; the call did not run
	keyRunning                   // the call was handed to the runner
	keyReleasing                 // the call did not run; the release of the claim is being written
	keyDone                      // ended, with the result
)

// entry is one remembered key.
type entry struct {
	fingerprint Fingerprint
	state       keyState
	runs        int // runs that may have had an effect
	result      Result
	since       time.Time
	issued      bool
}

// Core decides for one run of a node. It is not safe for concurrent use.
type Core struct {
	settings Settings
	self     Owner
	signer   signer
	serial   uint64
	keys     map[Key]*entry
}

// NewCore returns a core without keys. The secret signs the keys that this run
// issues; it must be random and differ between runs.
func NewCore(s Settings, self Owner, secret []byte) *Core {
	return &Core{settings: s, self: self, signer: signer{secret}, keys: make(map[Key]*entry)}
}

// Issue returns a new key owned by this run of the node.
func (c *Core) Issue(now time.Time) IssuedKey {
	c.serial++
	return c.signer.issue(c.self, now, c.serial)
}

// Len returns the number of remembered keys.
func (c *Core) Len() int { return len(c.keys) }

// Offer decides on a call that arrived. Forwarded says that another node sent
// it here as to the owner; such a call is never forwarded or claimed again.
func (c *Core) Offer(now time.Time, call *Call, forwarded bool) Decision {
	if call.Key.Issued() {
		return c.offerIssued(now, call)
	}
	if e := c.keys[call.Key]; e != nil {
		return c.offerKnown(now, e, call)
	}
	if forwarded {
		return answer(unknown(CodeOwnerGone, "the node that claimed the key no longer knows it", 0))
	}
	if full := c.full(now); full {
		return answer(c.tooMany(call))
	}
	c.keys[call.Key] = &entry{fingerprint: call.Fingerprint(), state: keyClaiming, since: now}
	return Decision{Action: ActionClaim, Claim: c.record(now, call.Key, call.Fingerprint(), RecordClaimed)}
}

// offerIssued decides on a key that names its owner.
func (c *Core) offerIssued(now time.Time, call *Call) Decision {
	key, err := ParseIssued(call.Key)
	if err != nil {
		return answer(notRun(CodeKeyMalformed, err.Error(), 0))
	}
	if key.Owner != c.self {
		return Decision{Action: ActionForward, Owner: key.Owner}
	}
	if !c.signer.valid(call.Key) {
		return answer(notRun(CodeKeyMalformed, "the signature of the key is wrong", 0))
	}
	if e := c.keys[call.Key]; e != nil {
		return c.offerKnown(now, e, call)
	}
	if now.Sub(key.IssuedAt) >= c.settings.Retention {
		return answer(unknown(CodeKeyExpired, "the key was issued longer ago than keys are remembered", 0))
	}
	if c.full(now) {
		return answer(notRun(CodeTooManyKeys, "this node remembers as many keys as it may", time.Minute))
	}
	e := &entry{fingerprint: call.Fingerprint(), since: now, issued: true}
	c.keys[call.Key] = e
	return c.run(call.Key, e)
}

// offerKnown decides on a key that this node remembers.
func (c *Core) offerKnown(now time.Time, e *entry, call *Call) Decision {
	if e.fingerprint != call.Fingerprint() {
		return answer(mismatch())
	}
	switch e.state {
	case keyHeld:
		return c.run(call.Key, e)
	case keyAbandoned:
		e.state = keyClaiming
		return Decision{Action: ActionClaim, Claim: c.record(now, call.Key, e.fingerprint, RecordClaimed), Retake: true}
	case keyDone:
		result := e.result
		result.Replayed = true
		return answer(result)
	}
	return Decision{Action: ActionWait}
}

func mismatch() Result {
	return notRun(CodeKeyMismatch, "another call was made under this key", 0)
}

// run hands the key to the runner.
func (c *Core) run(key Key, e *entry) Decision {
	invariant.Check(e.runs == 0, invariant.AtMostOnce, "key %s runs again after %d runs", key, e.runs)
	e.state = keyRunning
	e.runs++
	return Decision{Action: ActionRun}
}

// ClaimOutcome says how writing a claim ended.
type ClaimOutcome uint8

// The outcomes of writing a claim.
const (
	ClaimMade    ClaimOutcome = iota // this node owns the key
	ClaimTaken                       // the store holds another claim
	ClaimNotMade                     // the write did not take effect
	ClaimUnknown                     // the write may have taken effect
)

// ClaimResult is the end of writing a claim.
type ClaimResult struct {
	Outcome   ClaimOutcome
	Taken     Record // for ClaimTaken
	Contested bool   // for ClaimNotMade: the store holds another claim, which could not be read
}

// HandleClaim decides after the claim of a call was written or not.
func (c *Core) HandleClaim(now time.Time, call *Call, res ClaimResult) Decision {
	e := c.keys[call.Key]
	invariant.Check(e != nil && e.state == keyClaiming, invariant.AtMostOnce, "claim result of key %s that is not being claimed", call.Key)
	switch res.Outcome {
	case ClaimMade:
		return c.run(call.Key, e)
	case ClaimTaken:
		return c.handleTaken(call, e, res.Taken)
	case ClaimNotMade:
		delete(c.keys, call.Key)
		return answer(claimRefused(call, res.Contested))
	}
	e.state = keyAbandoned
	return answer(unknown(CodeClaimUnknown, "the store may hold a claim of the key; send again with the same key", time.Second))
}

// handleTaken decides on a key that the store knows already.
func (c *Core) handleTaken(call *Call, e *entry, taken Record) Decision {
	delete(c.keys, call.Key)
	if taken.Fingerprint != e.fingerprint {
		return answer(mismatch())
	}
	if taken.State == RecordDone && taken.Result != nil {
		result := *taken.Result
		result.Replayed = true
		return answer(result)
	}
	if taken.Owner == c.self {
		return answer(unknown(CodeOwnerGone, "this node claimed the key and no longer knows how the call ended", 0))
	}
	return Decision{Action: ActionForward, Owner: taken.Owner}
}

// claimRefused is the result while the store takes no claims. An earlier send of
// the key may have run if the store knows the key, or unless the caller states
// that there was none.
func claimRefused(call *Call, contested bool) Result {
	if call.First && !contested {
		return notRun(CodeClaimUnavailable, "the store takes no claim of the key; nothing was sent", 2*time.Second)
	}
	return unknown(CodeClaimUnavailable,
		"the store takes no claim of the key; this send did not run, an earlier one of the same key may have", 2*time.Second)
}

func (c *Core) tooMany(call *Call) Result {
	r := claimRefused(call, false)
	r.Code, r.Detail = CodeTooManyKeys, "this node remembers as many keys as it may"
	return r
}

// Finish records the end of a run. It returns the record to write for a key
// that the caller chose, and whether there is one.
func (c *Core) Finish(now time.Time, key Key, result Result) (Record, bool) {
	e := c.keys[key]
	invariant.Check(e != nil && e.state == keyRunning, invariant.AtMostOnce, "end of key %s that does not run", key)
	if result.Outcome == fleet.OutcomeNotRun {
		e.runs--
		e.state = keyReleasing
		if e.issued {
			e.state = keyHeld
		}
		return c.record(now, key, e.fingerprint, RecordReleased), !e.issued
	}
	e.state = keyDone
	e.result = c.kept(result)
	record := c.record(now, key, e.fingerprint, RecordDone)
	kept := e.result
	record.Result = &kept
	return record, !e.issued
}

// HandleRelease takes the end of writing the release of a claim. Once the
// release is in the store, any node may claim the key. Else this run must write
// its claim anew before it runs the call, so that a late release finds another
// version and fails.
func (c *Core) HandleRelease(key Key, written bool) {
	e := c.keys[key]
	if e == nil || e.state != keyReleasing {
		return
	}
	e.state = keyAbandoned
	if written {
		delete(c.keys, key)
	}
}

// kept bounds the answer that is remembered.
func (c *Core) kept(r Result) Result {
	if len(r.Answer.Body) <= c.settings.MaxAnswerBytes {
		return r
	}
	return Result{Outcome: fleet.OutcomeFailed, Code: CodeAnswerTooLarge, Detail: "the call ran; its answer was too large to keep"}
}

func (c *Core) record(now time.Time, key Key, f Fingerprint, state RecordState) Record {
	return Record{Key: key, Owner: c.self, Fingerprint: f, State: state, ExpiresAt: now.Add(c.settings.Retention)}
}

// full reports whether no further key can be remembered. It drops expired keys
// first.
func (c *Core) full(now time.Time) bool {
	if len(c.keys) < c.settings.MaxKeys {
		return false
	}
	c.Sweep(now)
	return len(c.keys) >= c.settings.MaxKeys
}

// Sweep forgets keys that ended longer ago than the retention. A key that this
// node issued can't come back: its time of issue is older still. It returns the
// number of keys forgotten.
func (c *Core) Sweep(now time.Time) int {
	n := 0
	for key, e := range c.keys {
		settled := e.state == keyDone || e.state == keyHeld || e.state == keyAbandoned
		if settled && now.Sub(e.since) >= c.settings.Retention {
			delete(c.keys, key)
			n++
		}
	}
	return n
}

func answer(r Result) Decision { return Decision{Action: ActionAnswer, Result: r} }
