package idempotency

import (
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/invariant"
)

// Action is the next step of a node for a call.
type Action uint8

// Actions of a Decision.
const (
	ActionRun     Action = iota // send the call, then call Finish
	ActionClaim                 // write a claim, then call HandleClaim
	ActionWait                  // wait for the send of the key that is in progress at this node
	ActionForward               // forward the call to its owner
	ActionReturn                // return the result to the caller
)

// String returns the action's name.
func (a Action) String() string {
	return [...]string{"run", "claim", "wait", "forward", "answer"}[a]
}

// Decision is the next step of a node for a call, with its parameters.
type Decision struct {
	Action            Action
	Owner             Owner  // for ActionForward
	Result            Result // for ActionReturn
	Claim             Record // for ActionClaim
	OverwriteOwnClaim bool   // for ActionClaim: overwrite an existing claim of this incarnation
}

// keyState is the state of a key at this node.
type keyState uint8

const (
	keyClaiming       keyState = iota // the claim is being written
	keyClaimUncertain                 // the call did not run; the store may hold a claim of this incarnation
	keyNotRun                         // the call of an issued key did not run; a resend may run it
	keyRunning                        // the runner is executing the call
	keyReleasing                      // the call did not run; the release of the claim is being written
	keyDone                           // the call ended; the entry holds its result
)

// entry is the state of one key in memory.
type entry struct {
	fingerprint Fingerprint
	state       keyState
	runs        int    // number of runs that may have had an effect
	result      Result // set for keyDone
	firstSeen   time.Time
	issued      bool // the key was issued by this incarnation, not chosen by the caller
}

// Core makes the decisions of one node incarnation and does no I/O. It is not
// safe for concurrent use.
type Core struct {
	settings Settings
	self     Owner
	signer   signer
	serial   uint64
	keys     map[Key]*entry
}

// NewCore returns a core without keys. The secret signs the keys that this
// incarnation issues. It must be random and unique to the incarnation.
func NewCore(s Settings, self Owner, secret []byte) *Core {
	return &Core{settings: s, self: self, signer: signer{secret}, keys: make(map[Key]*entry)}
}

// Issue returns a new key owned by this node incarnation.
func (c *Core) Issue(now time.Time) IssuedKey {
	c.serial++
	return c.signer.issue(c.self, now, c.serial)
}

// Len returns the number of keys in memory.
func (c *Core) Len() int { return len(c.keys) }

// HandleCall decides on a call that arrived. Forwarded means that another node sent
// the call here because it considers this node the owner. A forwarded call
// whose key is not in memory is not claimed, as it may have run already.
func (c *Core) HandleCall(now time.Time, call *Call, forwarded bool) Decision {
	if call.Key.Issued() {
		return c.handleIssuedKey(now, call)
	}
	if e := c.keys[call.Key]; e != nil {
		return c.handleKnownKey(now, e, call)
	}
	if forwarded {
		return returnResult(unknown(CodeOwnerGone, "the node that claimed the key no longer stores it", 0))
	}
	if full := c.full(now); full {
		return returnResult(c.tooManyKeys(call))
	}
	c.keys[call.Key] = &entry{fingerprint: call.Fingerprint(), state: keyClaiming, firstSeen: now}
	return Decision{Action: ActionClaim, Claim: c.record(now, call.Key, call.Fingerprint(), RecordClaimed)}
}

// handleIssuedKey decides on a call with an issued key, which names its owner.
func (c *Core) handleIssuedKey(now time.Time, call *Call) Decision {
	key, err := ParseIssued(call.Key)
	if err != nil {
		return returnResult(notRun(CodeKeyMalformed, err.Error(), 0))
	}
	if key.Owner != c.self {
		return Decision{Action: ActionForward, Owner: key.Owner}
	}
	if !c.signer.valid(call.Key) {
		return returnResult(notRun(CodeKeyMalformed, "the signature of the issued key is wrong", 0))
	}
	if e := c.keys[call.Key]; e != nil {
		return c.handleKnownKey(now, e, call)
	}
	if now.Sub(key.IssuedAt) >= c.settings.Retention {
		return returnResult(unknown(CodeKeyExpired, "the key is older than the retention time of keys", 0))
	}
	if c.full(now) {
		return returnResult(notRun(CodeTooManyKeys, "this node stores the maximum number of keys", time.Minute))
	}
	e := &entry{fingerprint: call.Fingerprint(), firstSeen: now, issued: true}
	c.keys[call.Key] = e
	return c.startRun(call.Key, e)
}

// handleKnownKey decides on a call whose key is in memory.
func (c *Core) handleKnownKey(now time.Time, e *entry, call *Call) Decision {
	if e.fingerprint != call.Fingerprint() {
		return returnResult(keyMismatch())
	}
	switch e.state {
	case keyNotRun:
		return c.startRun(call.Key, e)
	case keyClaimUncertain:
		e.state = keyClaiming
		return Decision{Action: ActionClaim, Claim: c.record(now, call.Key, e.fingerprint, RecordClaimed), OverwriteOwnClaim: true}
	case keyDone:
		result := e.result
		result.Replayed = true
		return returnResult(result)
	}
	return Decision{Action: ActionWait}
}

func keyMismatch() Result {
	return notRun(CodeKeyMismatch, "this key was used for a different call", 0)
}

// startRun marks the key as running and counts the run.
func (c *Core) startRun(key Key, e *entry) Decision {
	invariant.Check(e.runs == 0, invariant.AtMostOnce, "key %s runs again after %d runs", key, e.runs)
	e.state = keyRunning
	e.runs++
	return Decision{Action: ActionRun}
}

// ClaimOutcome is the outcome of writing a claim.
type ClaimOutcome uint8

// Outcomes of writing a claim.
const (
	ClaimWritten    ClaimOutcome = iota // the claim was written; this node owns the key
	ClaimExists                         // not written; the store holds another claim
	ClaimNotWritten                     // the write did not take effect
	ClaimUnknown                        // the write may have taken effect
)

// ClaimResult is the outcome of writing a claim, with its details.
type ClaimResult struct {
	Outcome   ClaimOutcome
	Existing  Record // for ClaimExists: the claim in the store
	Contested bool   // for ClaimNotWritten: the store held another claim, whose content is not known
}

// HandleClaim decides on a call after an attempt to write its claim.
func (c *Core) HandleClaim(now time.Time, call *Call, res ClaimResult) Decision {
	e := c.keys[call.Key]
	invariant.Check(e != nil && e.state == keyClaiming, invariant.AtMostOnce, "claim result for key %s, which is not being claimed", call.Key)
	switch res.Outcome {
	case ClaimWritten:
		return c.startRun(call.Key, e)
	case ClaimExists:
		return c.handleExistingClaim(call, e, res.Existing)
	case ClaimNotWritten:
		delete(c.keys, call.Key)
		return returnResult(claimUnavailable(call, res.Contested))
	}
	e.state = keyClaimUncertain
	return returnResult(unknown(CodeClaimUnknown, "the store may hold a claim of the key; send the call again with the same key", time.Second))
}

// handleExistingClaim decides on a call whose key is already claimed in the
// store.
func (c *Core) handleExistingClaim(call *Call, e *entry, existing Record) Decision {
	delete(c.keys, call.Key)
	if existing.Fingerprint != e.fingerprint {
		return returnResult(keyMismatch())
	}
	if existing.State == RecordDone && existing.Result != nil {
		result := *existing.Result
		result.Replayed = true
		return returnResult(result)
	}
	if existing.Owner == c.self {
		return returnResult(unknown(CodeOwnerGone, "this node claimed the key and no longer stores the outcome of the call", 0))
	}
	return Decision{Action: ActionForward, Owner: existing.Owner}
}

// claimUnavailable returns the result of a call whose claim was not written. The
// result is "not run" only if the caller asserts that this is the first send and
// the store holds no claim of the key. Otherwise an earlier send may have run.
func claimUnavailable(call *Call, contested bool) Result {
	if call.FirstSend && !contested {
		return notRun(CodeClaimUnavailable, "no claim of the key could be written; the call was not sent", 2*time.Second)
	}
	return unknown(CodeClaimUnavailable,
		"no claim of the key could be written; the call was not sent now, but an earlier send of the key may have run", 2*time.Second)
}

func (c *Core) tooManyKeys(call *Call) Result {
	r := claimUnavailable(call, false)
	r.Code, r.Detail = CodeTooManyKeys, "this node stores the maximum number of keys"
	return r
}

// Finish stores the result of a run. It returns the record to write, and whether
// one must be written: for keys chosen by the caller, not for issued ones.
func (c *Core) Finish(now time.Time, key Key, result Result) (Record, bool) {
	e := c.keys[key]
	invariant.Check(e != nil && e.state == keyRunning, invariant.AtMostOnce, "result for key %s, which is not running", key)
	if result.Outcome == fleet.OutcomeNotRun {
		e.runs--
		e.state = keyReleasing
		if e.issued {
			e.state = keyNotRun
		}
		return c.record(now, key, e.fingerprint, RecordReleased), !e.issued
	}
	e.state = keyDone
	e.result = c.storable(result)
	record := c.record(now, key, e.fingerprint, RecordDone)
	storable := e.result
	record.Result = &storable
	return record, !e.issued
}

// HandleRelease updates the key after an attempt to write the release of its
// claim. If the release was written, any node may claim the key. Otherwise this
// incarnation must write its claim again before it runs the call, so that a
// delayed write of the release fails with a version conflict.
func (c *Core) HandleRelease(key Key, written bool) {
	e := c.keys[key]
	if e == nil || e.state != keyReleasing {
		return
	}
	e.state = keyClaimUncertain
	if written {
		delete(c.keys, key)
	}
}

// storable returns the result to store: r, or a failure if the response body of
// r exceeds Settings.MaxResponseBytes.
func (c *Core) storable(r Result) Result {
	if len(r.Response.Body) <= c.settings.MaxResponseBytes {
		return r
	}
	return Result{Outcome: fleet.OutcomeFailed, Code: CodeResponseTooLarge, Detail: "the call ran; its response is too large to store"}
}

func (c *Core) record(now time.Time, key Key, f Fingerprint, state RecordState) Record {
	return Record{Key: key, Owner: c.self, Fingerprint: f, State: state, ExpiresAt: now.Add(c.settings.Retention)}
}

// full reports whether no further key can be stored. If the limit is reached, it
// first removes expired keys.
func (c *Core) full(now time.Time) bool {
	if len(c.keys) < c.settings.MaxKeys {
		return false
	}
	c.Sweep(now)
	return len(c.keys) >= c.settings.MaxKeys
}

// Sweep removes the keys that are not in progress and that this node first saw
// at least Settings.Retention ago. It returns their number. A removed issued key
// can't run again: it was issued before it was first seen, so it has expired.
func (c *Core) Sweep(now time.Time) int {
	removed := 0
	for key, e := range c.keys {
		inactive := e.state == keyDone || e.state == keyNotRun || e.state == keyClaimUncertain
		if inactive && now.Sub(e.firstSeen) >= c.settings.Retention {
			delete(c.keys, key)
			removed++
		}
	}
	return removed
}

func returnResult(r Result) Decision { return Decision{Action: ActionReturn, Result: r} }
