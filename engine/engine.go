// Package engine is the client of a model engine. It sends inference requests,
// sends orders to load and unload models, and reads reports. Engines batch
// continuously, cache prompt prefixes, schedule by priority and report their
// load with a delay.
package engine

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// OrderKind is the operation that an order requests of an engine.
type OrderKind string

// Kinds of orders.
const (
	OrderLoad          OrderKind = "load"
	OrderUnload        OrderKind = "unload"
	OrderLoadAdapter   OrderKind = "load_adapter"
	OrderUnloadAdapter OrderKind = "unload_adapter"
	OrderRaiseEpoch    OrderKind = "raise_epoch" // raises the engine's fencing token and changes nothing else
	OrderDrain         OrderKind = "drain"       // planned stop: finish running requests, refuse new ones
	OrderSetRole       OrderKind = "set_role"    // sets the engine's role to Order.Role; the controller does not send it
)

// Order is one instruction to an engine.
type Order struct {
	ID        string            `json:"id"` // unique; an engine executes each ID at most once
	Kind      OrderKind         `json:"kind"`
	Cell      fleet.CellID      `json:"cell"`
	Epoch     fleet.Epoch       `json:"epoch"`
	Boot      fleet.BootID      `json:"boot"` // the boot that the order is for; engines that check it refuse other boots
	Model     fleet.ModelID     `json:"model,omitempty"`
	Adapter   fleet.AdapterID   `json:"adapter,omitempty"`
	Version   fleet.Version     `json:"version,omitempty"`
	Memory    int64             `json:"memory_bytes,omitempty"`
	Role      string            `json:"role,omitempty"`
	ExpiresAt time.Time         `json:"expires_at"` // not sent afterwards; engines that check it refuse the order
	LoadRank  fleet.Rank        `json:"load_rank"`  // priority of the load at the weight store
	Labels    map[string]string `json:"-"`          // not used, and not sent to the engine
}

// Sentinel errors of calls to an engine. The comments say whether the call can
// have taken effect.
var (
	ErrFenced      = errors.New("order refused: fencing token is stale")               // did not take effect
	ErrWrongBoot   = errors.New("order refused: order is for another boot")            // did not take effect
	ErrExpired     = errors.New("order refused: order has expired")                    // did not take effect
	ErrNoMemory    = errors.New("order refused: not enough memory")                    // did not take effect
	ErrDraining    = errors.New("backend server is draining")                          // did not take effect
	ErrNotLoaded   = errors.New("model or adapter is not loaded")                      // did not take effect
	ErrNotSent     = errors.New("request did not leave this node")                     // no byte was written
	ErrUnknown     = errors.New("outcome of the call is unknown")                      // may have taken effect
	ErrCrashed     = errors.New("backend server crashed during the request")           // the connection broke; the outcome is unknown
	ErrStalled     = errors.New("no progress on the connection within the time limit") // may have taken effect
	ErrUnreachable = errors.New("backend server is unreachable")                       // no connection could be opened; did not take effect
	ErrRejected    = errors.New("request refused by the backend server")               // did not take effect
	ErrMismatch    = errors.New("response belongs to another request")                 // the outcome of the request itself is unknown
)

// LoadedReplica is the reported state of one loaded or loading model.
type LoadedReplica struct {
	Model    fleet.ModelID      `json:"model"`
	Version  fleet.Version      `json:"version"`
	State    fleet.ReplicaState `json:"state"`
	Memory   int64              `json:"memory_bytes"`
	Progress float64            `json:"progress"` // 0 to 1 while loading
	Adapters []fleet.AdapterID  `json:"adapters"`
	Running  int                `json:"running"` // number of requests in the batch
	Waiting  int                `json:"waiting"` // number of requests queued in the engine
}

// CachedWeights is one checkpoint that a backend server caches in memory or on
// disk.
type CachedWeights struct {
	Model          fleet.ModelID  `json:"model"`
	Version        fleet.Version  `json:"version"`
	WeightLocality fleet.Locality `json:"near"`
}

// Report is the state of an engine at MeasuredAt, which is earlier than the time
// of the response.
type Report struct {
	Backend         fleet.BackendID `json:"backend"`
	Boot            fleet.BootID    `json:"boot"`
	Epoch           fleet.Epoch     `json:"epoch"` // highest fencing token seen; zero if the engine does not check fencing tokens
	Memory          int64           `json:"memory_bytes"`
	Draining        bool            `json:"draining"`
	Replicas        []LoadedReplica `json:"replicas"`
	Cached          []CachedWeights `json:"cached"`
	AppliedOrders   []string        `json:"applied_orders"` // IDs of recent orders that took effect
	TokensPerSecond float64         `json:"tokens_per_second"`
	MeasuredAt      time.Time       `json:"measured_at"`
}

// InferRequest is one inference request to an engine.
type InferRequest struct {
	RequestID      string       // echoed by the engine, to detect responses to other requests
	Target         fleet.Target // model and optional adapter
	Rank           fleet.Rank   // sent as the engine's priority
	Body           []byte       // the caller's chat-completions body
	Stream         bool         // sends tokens as they are generated; otherwise the whole response in one event
	ReceivedTokens int          // resume after this many tokens; zero starts from the beginning
	Deadline       time.Time    // zero sends no deadline
	FreshConn      bool         // use a new connection instead of a pooled one
}

// Chunk is one data event of a response stream, or its end.
type Chunk struct {
	RequestID string
	Index     int    // token index of the first token in Data
	Tokens    int    // number of tokens in Data
	Data      []byte // data of the event, without framing
	Done      bool   // the response is complete; Data is empty
}

// Stream reads a response as it is generated. Next returns io.EOF after the
// chunk with Done set. Any other error means that the response is incomplete.
type Stream interface {
	Next() (Chunk, error)
	io.Closer
}

// Engine is one backend server that runs models.
type Engine interface {
	// Infer starts a request. An error that wraps ErrNotSent, ErrNotLoaded,
	// ErrDraining or ErrUnreachable means that the request did not run.
	Infer(ctx context.Context, req InferRequest) (Stream, error)
	// Cancel stops a request. Cancelling an unknown request is not an error.
	Cancel(ctx context.Context, requestID string) error
	// Order sends an order and returns the engine's report once it is accepted.
	Order(ctx context.Context, order Order) (Report, error)
	// Report reads the engine's state.
	Report(ctx context.Context) (Report, error)
}
