// Package idempotency runs a call with an idempotency key at most once, even if
// the call and its resends arrive at different nodes. Core makes the decisions
// and does no I/O. Executor carries them out, using a ClaimStore on the platform's store,
// a Runner and Peers.
//
// There are two kinds of keys. An issued key names the node incarnation that
// issued it, and only that incarnation may run the call, so it needs no store
// write. A key chosen by the caller is claimed in the store by a conditional
// create before the call is sent.
package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// Header is one HTTP header field of a call or response.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Call is one HTTP call to a plain service.
type Call struct {
	Key       Key // empty if the call may run more than once
	RequestID string
	Caller    string
	Service   fleet.ServiceID
	Method    string
	Path      string // begins with a slash and includes the query
	Headers   []Header
	Body      []byte
	Deadline  time.Time
	FirstSend bool // set if the caller asserts that the key was never sent before
}

// Fingerprint is a SHA-256 hash of a call's content. It detects that a key is
// reused for a different call.
type Fingerprint [sha256.Size]byte

// Fingerprint returns the hash of service, method, path and body.
func (c *Call) Fingerprint() Fingerprint {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(c.Service), []byte(c.Method), []byte(c.Path), c.Body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write(part)
	}
	return Fingerprint(hash.Sum(nil))
}

// Response is the HTTP response of the service.
type Response struct {
	Status  int      `json:"status"`
	Headers []Header `json:"headers,omitempty"`
	Body    []byte   `json:"body,omitempty"`
	// Unframed says that only the end of its connection ended the response, so that the
	// body may be incomplete.
	Unframed bool `json:"unframed,omitempty"`
}

// Code is the reason why a result carries no response.
type Code string

// Codes of results.
const (
	CodeKeyMismatch        Code = "key_mismatch"        // the key was used before for a different call
	CodeKeyMalformed       Code = "key_malformed"       // the key looks issued, but cannot be parsed or has a wrong signature
	CodeKeyExpired         Code = "key_expired"         // the issued key is older than Settings.Retention
	CodeTooManyKeys        Code = "too_many_keys"       // this node already stores Settings.MaxKeys keys
	CodeClaimUnavailable   Code = "claim_unavailable"   // the claim was not written to the store
	CodeClaimUnknown       Code = "claim_unknown"       // the claim may have been written to the store
	CodeOwnerGone          Code = "owner_gone"          // the incarnation that may have run the call has ended or no longer stores the key
	CodeOwnerUnreachable   Code = "owner_unreachable"   // the node that may have run the call does not respond
	CodeServiceFailed      Code = "service_failed"      // the call may have run, but its response was lost
	CodeServiceUnreachable Code = "service_unreachable" // no connection to the service
	CodeResponseTooLarge   Code = "answer_too_large"    // the call ran; its response is too large to store
	CodeDeadlineExceeded   Code = "deadline_exceeded"   // the deadline passed before the response was complete
	CodeCancelled          Code = "cancelled"           // the caller's context ended; the call goes on until its deadline
)

// Result is the final result of a call. Response is set for OutcomeAnswered.
type Result struct {
	Outcome    fleet.Outcome `json:"outcome"`
	Code       Code          `json:"code,omitempty"`
	Detail     string        `json:"detail,omitempty"`
	RetryAfter time.Duration `json:"retry_after,omitempty"`
	Response   Response      `json:"answer"`
	Replayed   bool          `json:"-"` // set if the result comes from an earlier send of the key
}

// Record is a claim as stored in the platform's store.
type Record struct {
	Key         Key         `json:"key"`
	Owner       Owner       `json:"owner"`
	Fingerprint Fingerprint `json:"fingerprint"`
	State       RecordState `json:"state"`
	ExpiresAt   time.Time   `json:"expires_at"`
	Result      *Result     `json:"result,omitempty"` // set for RecordDone
}

// RecordState is the state of a claim in the store.
type RecordState string

// States of a stored claim.
const (
	RecordClaimed  RecordState = "claimed"  // the owner may have run the call
	RecordReleased RecordState = "released" // the owner did not run the call and will not, unless it claims the key again
	RecordDone     RecordState = "done"     // the call ended; the record holds its result
)

// Settings are the limits of a Core.
type Settings struct {
	Retention        time.Duration // how long keys and results are stored
	MaxKeys          int           // maximum number of keys in memory
	MaxResponseBytes int           // maximum body size of a stored response
}

// Defaults of Settings.
const (
	DefaultRetention        = 72 * time.Hour
	DefaultMaxKeys          = 20000
	DefaultMaxResponseBytes = 64 << 10
)

// DefaultSettings returns the default limits.
func DefaultSettings() Settings {
	return Settings{Retention: DefaultRetention, MaxKeys: DefaultMaxKeys, MaxResponseBytes: DefaultMaxResponseBytes}
}

func notRun(code Code, detail string, after time.Duration) Result {
	return Result{Outcome: fleet.OutcomeNotRun, Code: code, Detail: detail, RetryAfter: after}
}

func unknown(code Code, detail string, after time.Duration) Result {
	return Result{Outcome: fleet.OutcomeUnknown, Code: code, Detail: detail, RetryAfter: after}
}
