package admission

import (
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// Request asks for a slot for one inference request.
type Request struct {
	ID             string            // unique in the deployment, the same in repeated offers
	Entry          fleet.NodeID      // entry node that received the request
	Incarnation    fleet.Incarnation // incarnation of the entry node
	Target         fleet.Target      // model and adapter
	Rank           fleet.Rank
	Arrival        time.Time         // time at which the entry node received it; zero or a future time is set to now
	Deadline       time.Time         // latest useful time of the first token; zero selects Arrival plus the rank's MaxWait
	Hash           fleet.ContentHash // identifies the content for the quarantine
	PromptTokens   int               // tokens of the prompt; not used by the queue
	MaxTokens      int               // limit of tokens in the response; zero if unknown
	ReceivedTokens int               // tokens already received from a broken stream that is resumed; otherwise zero
	Caller         string            // caller that the slot time is accounted to
	Attempt        int               // number of the attempt; an offer of a later attempt ends the grant of an earlier one
	Excluded       []fleet.BackendID // used only if no other backend server can run the request
}

// DecisionKind is the kind of a Decision.
type DecisionKind uint8

// Kinds of decisions. Grant and Refuse end the wait. Preempt is reserved for
// ending a grant early; Queue does not return it.
const (
	Wait DecisionKind = iota
	Grant
	Refuse
	Preempt
)

// String returns the name of the kind in lower case.
func (k DecisionKind) String() string {
	return [...]string{"wait", "grant", "refuse", "preempt"}[k]
}

// RefusalCode is the reason for a refusal. A refused request has not run.
type RefusalCode string

// Refusal codes.
const (
	CodeDeadline      RefusalCode = "deadline_unreachable" // the first token is expected after the deadline
	CodeExpired       RefusalCode = "deadline_expired"     // the deadline passed, or is too close even for a free slot
	CodeOverloaded    RefusalCode = "overloaded"           // the queue is full
	CodePoison        RefusalCode = "poison_request"       // the request has crashed backend servers and is quarantined
	CodeWithdrawn     RefusalCode = "model_withdrawn"      // the model is withdrawn
	CodeUnknownTarget RefusalCode = "unknown_target"       // the model or adapter is not in force
	CodeRank          RefusalCode = "rank_not_allowed"     // the model does not serve the rank
	CodeCancelled     RefusalCode = "cancelled"            // the entry node cancelled the request, failed, or stopped polling
)

// Refusal says why a request was not run and when it may be sent again.
type Refusal struct {
	Code       RefusalCode
	Detail     string        // explanation for the caller
	RetryAfter time.Duration // wait before sending the request again; zero: do not send it again
}

// GrantDetails identify a grant and the replica on which the request runs.
type GrantDetails struct {
	ID       string // grant ID
	Replica  fleet.ReplicaKey
	Address  string // address of the backend server
	Isolated bool   // the request is suspected of crashing a backend server
}

// Decision is the result for one request.
type Decision struct {
	Kind        DecisionKind
	RequestID   string
	Attempt     int
	Entry       fleet.NodeID
	Incarnation fleet.Incarnation
	Grant       GrantDetails  // set for Grant
	Refusal     Refusal       // set for Refuse
	Estimate    time.Duration // set for Wait: expected time to the first token; zero if unknown
	Reason      string        // set for Wait: what the request waits for
}

// FinishOutcome is how a granted request ended.
type FinishOutcome string

// Outcomes of a granted request, as sent in FinishRequest.
const (
	FinishOK        FinishOutcome = "ok"        // completed
	FinishCancelled FinishOutcome = "cancelled" // the entry node no longer needs the response
	FinishNotRun    FinishOutcome = "not_run"   // the backend server did not start the request
	FinishFailed    FinishOutcome = "failed"    // failed in another way
	FinishCrashed   FinishOutcome = "crashed"   // the backend server crashed during the request
	FinishStalled   FinishOutcome = "silent"    // the backend server became unresponsive during the request
)

// Finish reports the end of a granted request.
type Finish struct {
	GrantID    string
	RequestID  string
	Outcome    FinishOutcome
	Tokens     int           // tokens of the response
	FirstToken time.Duration // time from dispatch to the first token
	Duration   time.Duration // time from dispatch to the end
}

// ReplicaLoad is the load of one replica as last reported by its backend server.
type ReplicaLoad struct {
	Key             fleet.ReplicaKey
	Running         int       // requests that the model engine runs
	Waiting         int       // requests queued in the model engine
	TokensPerSecond float64   // tokens generated per second, all requests together
	MeasuredAt      time.Time // time of the measurement; reports arrive with a delay
}

// ColdEstimate is the controller's estimate of the load time of a model without
// a replica.
type ColdEstimate struct {
	Model   fleet.ModelID
	ReadyIn time.Duration // time from the start of the load until the replica is ready, including the wait for the weight store
}
