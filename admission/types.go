package admission

import (
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// Request is one request that asks for a slot.
type Request struct {
	ID             string // unique over the deployment; the same in all offers
	Entry          fleet.NodeID
	Incarnation    fleet.Incarnation // of the entry node
	Target         fleet.Target
	Rank           fleet.Rank
	Arrival        time.Time // at the entry node
	Deadline       time.Time // latest useful time of the first token; zero takes the rank's MaxWait
	Hash           fleet.ContentHash
	PromptTokens   int
	MaxTokens      int // zero if unknown
	ReceivedTokens int // of a broken stream that is resumed
	Caller         string
	Attempt        int               // rises with each new try; a higher one gives up the grant of a lower one
	Excluded       []fleet.BackendID // avoided if another replica exists
}

// DecisionKind says what was decided on a request.
type DecisionKind uint8

// The kinds of decisions. Grant and Refuse end the wait; Preempt ends a grant.
const (
	Wait DecisionKind = iota
	Grant
	Refuse
	Preempt
)

// String returns the kind's name.
func (k DecisionKind) String() string {
	return [...]string{"wait", "grant", "refuse", "preempt"}[k]
}

// RefusalCode says why a request was refused. All refusals mean not run.
type RefusalCode string

// The codes of refusals.
const (
	CodeDeadline      RefusalCode = "deadline_unreachable" // cannot be answered by its deadline
	CodeExpired       RefusalCode = "deadline_expired"     // its deadline passed while it waited
	CodeOverloaded    RefusalCode = "overloaded"           // the queue is full
	CodePoison        RefusalCode = "poison_request"       // convicted of crashing backend servers
	CodeWithdrawn     RefusalCode = "model_withdrawn"
	CodeUnknownTarget RefusalCode = "unknown_target"
	CodeRank          RefusalCode = "rank_not_allowed"
	CodeCancelled     RefusalCode = "cancelled" // the entry node cancelled it, was lost or stopped asking
)

// Refusal tells why a request was not run and when to come back.
type Refusal struct {
	Code       RefusalCode
	Detail     string
	RetryAfter time.Duration // zero: do not come back
}

// GrantTerms name the replica on which a granted request runs.
type GrantTerms struct {
	ID       string
	Replica  fleet.ReplicaKey
	Address  string
	Isolated bool // suspected of crashing a backend server
}

// Decision is what was decided on one request.
type Decision struct {
	Kind        DecisionKind
	RequestID   string
	Attempt     int
	Entry       fleet.NodeID
	Incarnation fleet.Incarnation
	Grant       GrantTerms    // for Grant and Preempt
	Refusal     Refusal       // for Refuse
	Estimate    time.Duration // for Wait: expected time to a grant, zero if unknown
	Reason      string        // for Wait
}

// FinishOutcome says how a granted request ended.
type FinishOutcome string

// The outcomes of a granted request, as sent in FinishRequest.
const (
	FinishOK        FinishOutcome = "ok"
	FinishCancelled FinishOutcome = "cancelled"
	FinishNotRun    FinishOutcome = "not_run"
	FinishFailed    FinishOutcome = "failed"
	FinishCrashed   FinishOutcome = "crashed"
	FinishSilent    FinishOutcome = "silent"
)

// Finish reports the end of a granted request.
type Finish struct {
	GrantID    string
	RequestID  string
	Outcome    FinishOutcome
	Tokens     int
	FirstToken time.Duration // from dispatch
	Duration   time.Duration // from dispatch to the end
}

// ReplicaLoad is what a backend server's lagging report says of one replica.
type ReplicaLoad struct {
	Key          fleet.ReplicaKey
	Running      int
	Waiting      int // queued in the engine
	TokensPerSec float64
	MeasuredAt   time.Time
}

// ColdEstimate is the controller's estimate for a model with no replica.
type ColdEstimate struct {
	Model   fleet.ModelID
	ReadyIn time.Duration // from the start of the load, weight store queue included
}
