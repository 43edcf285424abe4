// Package idempotency runs calls that carry an idempotency key at most once,
// whichever nodes they and their resends arrive at. Core decides and does no
// I/O; Service carries its decisions out against Claims in the platform's store,
// a Runner and Peers.
//
// A key that a node issued may be run only by that run of the node, so it costs
// no store write. A key that the caller chose is claimed in the store by a
// conditional create before the call is sent.
package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// Header is one header field of a call or answer.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Call is one call to a plain service.
type Call struct {
	Key       Key // empty for calls that may be repeated
	RequestID string
	Caller    string
	Service   fleet.ServiceID
	Method    string
	Path      string // with query, begins with a slash
	Headers   []Header
	Body      []byte
	Deadline  time.Time
	First     bool // the caller states that the key was never sent before
}

// Fingerprint tells calls with equal keys and different content apart.
type Fingerprint [sha256.Size]byte

// Fingerprint returns the fingerprint of service, method, path and body.
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

// Answer is the service's answer.
type Answer struct {
	Status  int      `json:"status"`
	Headers []Header `json:"headers,omitempty"`
	Body    []byte   `json:"body,omitempty"`
}

// Code names the cause of a result that carries no answer.
type Code string

// The codes of results.
const (
	CodeKeyMismatch      Code = "key_mismatch"      // other content under the same key
	CodeKeyMalformed     Code = "key_malformed"     // no key that this deployment issued
	CodeKeyExpired       Code = "key_expired"       // issued longer ago than keys are remembered
	CodeTooManyKeys      Code = "too_many_keys"     // this node remembers as many keys as it may
	CodeClaimUnavailable Code = "claim_unavailable" // the store did not take the claim
	CodeClaimUnknown     Code = "claim_unknown"     // the store may have taken the claim
	CodeOwnerGone        Code = "owner_gone"        // the node that may have run the call is gone
	CodeOwnerUnreachable Code = "owner_unreachable" // the node that may have run the call does not answer
	CodeServiceFailed    Code = "service_failed"    // the answer was lost
	CodeUnreachable      Code = "service_unreachable"
	CodeAnswerTooLarge   Code = "answer_too_large" // ran; the answer is not kept
	CodeDeadlineExceeded Code = "deadline_exceeded"
	CodeCancelled        Code = "cancelled"
)

// Result is the end of a call. Answer is set for OutcomeAnswered.
type Result struct {
	Outcome    fleet.Outcome `json:"outcome"`
	Code       Code          `json:"code,omitempty"`
	Detail     string        `json:"detail,omitempty"`
	RetryAfter time.Duration `json:"retry_after,omitempty"`
	Answer     Answer        `json:"answer"`
	Replayed   bool          `json:"-"` // the answer of an earlier send of the key
}

// Record is a claim as the store keeps it.
type Record struct {
	Key         Key         `json:"key"`
	Owner       Owner       `json:"owner"`
	Fingerprint Fingerprint `json:"fingerprint"`
	State       RecordState `json:"state"`
	ExpiresAt   time.Time   `json:"expires_at"`
	Result      *Result     `json:"result,omitempty"` // for RecordDone
}

// RecordState is the state of a claim in the store.
type RecordState string

// The states of a claim.
const (
	RecordClaimed  RecordState = "claimed"  // the owner may have run the call
	RecordReleased RecordState = "released" // the owner did not run it and will not
	RecordDone     RecordState = "done"     // ended, with the result
)

// Settings bound a Core.
type Settings struct {
	Retention      time.Duration // for which keys and results are remembered
	MaxKeys        int           // remembered in memory at once
	MaxAnswerBytes int           // of a recorded answer
}

// Defaults of Settings.
const (
	DefaultRetention      = 72 * time.Hour
	DefaultMaxKeys        = 20000
	DefaultMaxAnswerBytes = 64 << 10
)

// DefaultSettings returns the default bounds.
func DefaultSettings() Settings {
	return Settings{Retention: DefaultRetention, MaxKeys: DefaultMaxKeys, MaxAnswerBytes: DefaultMaxAnswerBytes}
}

func notRun(code Code, detail string, after time.Duration) Result {
	return Result{Outcome: fleet.OutcomeNotRun, Code: code, Detail: detail, RetryAfter: after}
}

func unknown(code Code, detail string, after time.Duration) Result {
	return Result{Outcome: fleet.OutcomeUnknown, Code: code, Detail: detail, RetryAfter: after}
}
