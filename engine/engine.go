// Package engine is the client side of a model engine: inference streams,
// orders to load and unload, and reports. Engines batch continuously, cache
// prompt prefixes, honour priorities and report load with a lag.
package engine

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// OrderKind says what an order asks of an engine.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad          OrderKind = "load"
	OrderUnload        OrderKind = "unload"
	OrderLoadAdapter   OrderKind = "load_adapter"
	OrderUnloadAdapter OrderKind = "unload_adapter"
	OrderRaiseEpoch    OrderKind = "raise_epoch" // raises the fencing number and changes nothing else
	OrderDrain         OrderKind = "drain"       // planned stop: finish what runs, take nothing new
	OrderSetRole       OrderKind = "set_role"
)

// Order is one instruction to an engine.
type Order struct {
	ID        string            `json:"id"` // unique; an engine carries out an id at most once
	Kind      OrderKind         `json:"kind"`
	Cell      fleet.CellID      `json:"cell"`
	Epoch     fleet.Epoch       `json:"epoch"`
	Boot      fleet.BootID      `json:"boot"` // void at any other boot, if the engine checks it
	Model     fleet.ModelID     `json:"model,omitempty"`
	Adapter   fleet.AdapterID   `json:"adapter,omitempty"`
	Version   fleet.Version     `json:"version,omitempty"`
	Memory    int64             `json:"memory_bytes,omitempty"`
	Role      string            `json:"role,omitempty"`
	ExpiresAt time.Time         `json:"expires_at"` // void afterwards, at engines that check it and at the sender
	LoadClass fleet.Rank        `json:"load_rank"`  // place in the weight store's queue
	Labels    map[string]string `json:"-"`
}

// Sentinel errors of an engine's answers.
var (
	ErrFenced      = errors.New("order refused: fencing number is old")      // did not take effect
	ErrWrongBoot   = errors.New("order refused: other boot")                 // did not take effect
	ErrExpired     = errors.New("order refused: expired")                    // did not take effect
	ErrNoMemory    = errors.New("order refused: not enough memory")          // did not take effect
	ErrDraining    = errors.New("backend server is draining")                // did not take effect
	ErrNotLoaded   = errors.New("model or adapter is not loaded")            // did not take effect
	ErrNotSent     = errors.New("request did not leave this node")           // no byte was written
	ErrUnknown     = errors.New("outcome unknown")                           // may have taken effect
	ErrCrashed     = errors.New("backend server crashed during the request") // connection reset while running
	ErrSilent      = errors.New("connection made no progress in time")       // may have taken effect
	ErrUnreachable = errors.New("backend server is unreachable")             // no connection could be made
	ErrRejected    = errors.New("request refused by the backend server")     // did not take effect
	ErrMismatch    = errors.New("answer belongs to another request")         // the request's own outcome is unknown
)

// LoadedReplica is what an engine reports of one loaded or loading model.
type LoadedReplica struct {
	Model    fleet.ModelID      `json:"model"`
	Version  fleet.Version      `json:"version"`
	State    fleet.ReplicaState `json:"state"`
	Memory   int64              `json:"memory_bytes"`
	Progress float64            `json:"progress"` // 0 to 1 while loading
	Adapters []fleet.AdapterID  `json:"adapters"`
	Running  int                `json:"running"` // requests in the batch
	Waiting  int                `json:"waiting"` // requests queued in the engine
}

// CachedWeights is one checkpoint that a backend server holds near.
type CachedWeights struct {
	Model   fleet.ModelID  `json:"model"`
	Version fleet.Version  `json:"version"`
	Near    fleet.Nearness `json:"near"`
}

// Report is what an engine says of itself. MeasuredAt lags.
type Report struct {
	Backend      fleet.BackendID `json:"backend"`
	Boot         fleet.BootID    `json:"boot"`
	Epoch        fleet.Epoch     `json:"epoch"` // highest fencing number seen; zero if it keeps none
	Memory       int64           `json:"memory_bytes"`
	Draining     bool            `json:"draining"`
	Replicas     []LoadedReplica `json:"replicas"`
	Cached       []CachedWeights `json:"cached"`
	AppliedOrder []string        `json:"applied_orders"` // ids of recent orders that took effect
	TokensPerSec float64         `json:"tokens_per_second"`
	MeasuredAt   time.Time       `json:"measured_at"`
}

// InferRequest is one inference call as sent to an engine.
type InferRequest struct {
	RequestID      string       // echoed by the engine; checked against crossed answers
	Target         fleet.Target // model and adapter
	Rank           fleet.Rank   // sent as the engine's priority
	Body           []byte       // the caller's chat-completions body
	Stream         bool
	ReceivedTokens int // resume after this many tokens; zero starts anew
	Deadline       time.Time
	FreshConn      bool // use a connection that no earlier request has used
}

// Chunk is one piece of an answer's stream.
type Chunk struct {
	RequestID string
	Index     int    // token index of the first token in Data
	Tokens    int    // tokens in Data
	Data      []byte // one event's data, without framing
	Done      bool   // the answer is whole
}

// Stream is a running answer. Next returns io.EOF after the chunk with Done;
// any other error means that the answer is not whole.
type Stream interface {
	Next() (Chunk, error)
	io.Closer
}

// Engine is one backend server that runs models.
type Engine interface {
	// Infer starts a request. An error that wraps ErrNotSent, ErrNotLoaded,
	// ErrDraining or ErrUnreachable means that it did not run.
	Infer(ctx context.Context, req InferRequest) (Stream, error)
	// Cancel stops a request; cancelling an unknown one is no error.
	Cancel(ctx context.Context, requestID string) error
	// Order sends an instruction and returns the report after it was accepted.
	Order(ctx context.Context, order Order) (Report, error)
	// Report reads the engine's state.
	Report(ctx context.Context) (Report, error)
}
