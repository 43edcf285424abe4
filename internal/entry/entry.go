// Package entry is the HTTP interface of a node for callers: entry addresses,
// chat completions, calls to plain services and idempotency keys. Every request
// ends with a complete response, a typed error or a visibly broken connection.
package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/idempotency"
	"github.com/redwingnotch/redwingnotch/internal/tasks"
	"github.com/redwingnotch/redwingnotch/internal/telemetry"
	"github.com/redwingnotch/redwingnotch/peer"
)

// Grants requests permission to dispatch from the controller of the cell.
type Grants interface {
	// Acquire asks for a grant. It returns within about the request's WaitMs. An
	// error means that the controller did not respond.
	Acquire(ctx context.Context, req *peer.AcquireRequest) (*peer.AcquireResponse, error)
	// Finish reports the end of a grant, or cancels a waiting request if the
	// grant id is empty. It does not wait for the controller.
	Finish(req *peer.FinishRequest)
	// FinishSync is Finish for an attempt that another one follows: it waits until
	// the controller has received the report, for example of a crash, so that the
	// next grant takes it into account. If the controller does not respond in
	// time, the report is repeated in the background.
	FinishSync(ctx context.Context, req *peer.FinishRequest)
	// Snapshot returns the replicas of the cell that the controller reported last.
	Snapshot() []fleet.Replica
}

// TargetState is the state of a target in the release in force.
type TargetState uint8

// The states of a target.
const (
	TargetUnknown TargetState = iota // not named by the release
	TargetInForce
	TargetWithdrawn
)

// Catalog provides the release in force at this node.
type Catalog interface {
	// Lookup returns the model that serves the target, and the target's state.
	Lookup(t fleet.Target) (fleet.Model, TargetState)
	Names() []string // targets in force, sorted
	Version() uint64 // version of the release; zero while none is known
}

// Quarantine tracks the request contents that were in flight when backend
// servers crashed.
type Quarantine interface {
	// RefusedFor returns how long requests with the content are still refused for
	// the model; zero if they are not.
	RefusedFor(now time.Time, model fleet.ModelID, hash fleet.ContentHash) time.Duration
	// IsSuspected reports whether the content was in flight at a crash and has not
	// completed successfully since. Such content is dispatched only with a grant
	// from the controller.
	IsSuspected(now time.Time, model fleet.ModelID, hash fleet.ContentHash) bool
	// ReportCrash records that a backend server crashed, in the given boot, with the
	// content in flight. It may be called more than once for one boot.
	ReportCrash(now time.Time, backend fleet.BackendID, boot fleet.BootID, model fleet.ModelID, hash fleet.ContentHash)
}

// Address is the address of one entry node that callers may use.
type Address struct {
	Node    fleet.NodeID           `json:"node"`
	Address string                 `json:"address"`
	Zone    fleet.AvailabilityZone `json:"availability_zone"`
}

// Keys issues idempotency keys and runs calls to plain services that carry one.
type Keys interface {
	// Issue returns a new key.
	Issue() idempotency.IssuedKey
	// Call runs the call, or returns the recorded result of its key.
	Call(ctx context.Context, call idempotency.Call) idempotency.Result
}

// Services sends calls that may be repeated to plain services.
type Services interface {
	// Known reports whether this node has seen the service in the VM list since its
	// start.
	Known(service fleet.ServiceID) bool
	// Send sends the call to a backend server of the service and, after a failure,
	// to others. The call may run more than once.
	Send(ctx context.Context, call idempotency.Call) idempotency.Result
}

// Config holds the dependencies and limits of a Handler. All fields must be set.
type Config struct {
	Node        fleet.NodeID
	Incarnation fleet.Incarnation
	Cell        fleet.CellID
	Zone        fleet.AvailabilityZone
	Grants      Grants
	Catalog     Catalog
	Quarantine  Quarantine
	Engine      func(address string) engine.Engine // client for the model engine at the address
	Keys        Keys
	Services    Services
	Addresses   func() []Address // live entry nodes that are not shutting down
	Metrics     *telemetry.Metrics
	Log         log.Logger

	MaxBody           int64                          // limit of a request body, in bytes
	BodyTimeout       time.Duration                  // time limit for reading a request body
	WriteTimeout      time.Duration                  // time limit for each write to a caller
	Deadlines         [fleet.RankCount]time.Duration // by rank, time limit of requests without a deadline
	EntryTTL          time.Duration                  // validity of a GET /v1/entry response
	KeyRetention      time.Duration                  // time from a key's issue to its expiry
	ControllerTimeout time.Duration                  // time without a controller response before direct dispatch
}

// Handler serves the HTTP requests of callers. It is safe for concurrent use.
type Handler struct {
	cfg            Config
	mux            *http.ServeMux
	stopping       atomic.Bool     // set once the node is shutting down
	sequence       atomic.Uint64   // number of the last request id issued
	activeTasks    tasks.Group     // requests in progress, and their background work
	activeRequests atomic.Int64    // requests in progress
	direct         directRequests  // requests dispatched without a grant
	retries        *retryBudget    // limits retries and hedge requests
	recent         *recentRequests // explanations for operators
}

// New returns a Handler with the given configuration.
func New(cfg Config) *Handler {
	h := &Handler{cfg: cfg, mux: http.NewServeMux(), retries: newRetryBudget(), recent: newRecentRequests()}
	h.direct.inFlight = make(map[fleet.BackendID]int)
	h.mux.HandleFunc("GET /v1/entry", h.serveEntry)
	h.mux.HandleFunc("GET /v1/models", h.serveModels)
	h.mux.HandleFunc("POST /v1/chat/completions", h.serveChat)
	h.mux.HandleFunc("POST /v1/keys", h.serveKeys)
	h.mux.HandleFunc("/v1/services/{service}/{path...}", h.serveService)
	h.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		newError(http.StatusNotFound, CodeNotFound, "no handler for %s %s", r.Method, r.URL.Path).write(w)
	})
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.activeTasks.Add()
	h.activeRequests.Add(1)
	defer func() {
		h.activeRequests.Add(-1)
		h.activeTasks.Done()
	}()
	if h.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	h.mux.ServeHTTP(w, r)
}

// BeginShutdown makes each further response close its connection, so that callers
// move to other entry nodes.
func (h *Handler) BeginShutdown() { h.stopping.Store(true) }

// ActiveRequests returns the number of requests in progress.
func (h *Handler) ActiveRequests() int64 { return h.activeRequests.Load() }

// Wait blocks until no request and no background work of one is in progress.
func (h *Handler) Wait() { h.activeTasks.Wait() }
