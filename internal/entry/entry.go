// Package entry is the callers' interface of a node: which addresses to use,
// chat completions, calls to plain services and idempotency keys. Every
// request ends as a whole answer, a typed error, or a connection that is
// visibly broken.
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

// Grants asks the controller of the cell for permission to dispatch.
type Grants interface {
	// Acquire returns within about the request's WaitMs. An error means that
	// the controller was not heard.
	Acquire(ctx context.Context, req *peer.AcquireRequest) (*peer.AcquireResponse, error)
	// Finish reports the end of a grant, or cancels a waiting request if the
	// grant id is empty. It does not wait for the controller.
	Finish(req *peer.FinishRequest)
	// FinishNow is Finish before another attempt: the controller hears of this
	// end, such as a crash, before it is asked for the next grant. If it is not
	// heard soon, the report goes on in the background.
	FinishNow(ctx context.Context, req *peer.FinishRequest)
	// Snapshot returns the replicas of the cell as last heard.
	Snapshot() []fleet.Replica
}

// Standing says whether a target is in force.
type Standing uint8

// The standings.
const (
	StandingUnknown Standing = iota
	StandingInForce
	StandingWithdrawn
)

// Catalog is the release in force at this node.
type Catalog interface {
	Lookup(t fleet.Target) (fleet.Model, Standing)
	Names() []string // targets in force, sorted
	Version() uint64
}

// Quarantine knows the contents that were in flight when backend servers
// crashed.
type Quarantine interface {
	// Refused returns how long the content stays refused for the model; zero
	// if it is not.
	Refused(now time.Time, model fleet.ModelID, hash fleet.ContentHash) time.Duration
	// Suspected reports whether the content was in flight at a crash and has
	// not ended well since. It runs by a controller's grant only.
	Suspected(now time.Time, model fleet.ModelID, hash fleet.ContentHash) bool
	// Crashed records that a boot was lost with the content in flight. It may be
	// told more than once of one boot.
	Crashed(now time.Time, backend fleet.BackendID, boot fleet.BootID, model fleet.ModelID, hash fleet.ContentHash)
}

// Address is one entry node that callers may use.
type Address struct {
	Node    fleet.NodeID           `json:"node"`
	Address string                 `json:"address"`
	Zone    fleet.AvailabilityZone `json:"availability_zone"`
}

// Keys runs calls to plain services that carry idempotency keys, and issues
// keys.
type Keys interface {
	Issue() idempotency.IssuedKey
	Call(ctx context.Context, call idempotency.Call) idempotency.Result
}

// Services sends calls that may be repeated to plain services.
type Services interface {
	// Known reports whether the service has ever been listed.
	Known(service fleet.ServiceID) bool
	// Send sends the call to one backend server, and to another one if the
	// first was not reached.
	Send(ctx context.Context, call idempotency.Call) idempotency.Result
}

// Config holds the parts and limits of a Handler. All fields must be set.
type Config struct {
	Node        fleet.NodeID
	Incarnation fleet.Incarnation
	Cell        fleet.CellID
	Zone        fleet.AvailabilityZone
	Grants      Grants
	Catalog     Catalog
	Quarantine  Quarantine
	Engine      func(address string) engine.Engine
	Keys        Keys
	Services    Services
	Addresses   func() []Address // live entry nodes that do not leave
	Metrics     *telemetry.Metrics
	Log         log.Logger

	MaxBody      int64 // bytes
	BodyTimeout  time.Duration
	WriteTimeout time.Duration
	Deadlines    [fleet.RankCount]time.Duration
	EntryTTL     time.Duration
	KeyRetention time.Duration
	SilentAfter  time.Duration // silence of the controller before direct dispatch
}

// Handler serves callers. It is safe for concurrent use.
type Handler struct {
	cfg      Config
	mux      *http.ServeMux
	stopping atomic.Bool
	sequence atomic.Uint64
	running  tasks.Group // requests, and what they leave behind
	requests atomic.Int64
	direct   directLoad
	spent    *budget
	recent   *recentRequests
}

// New returns a handler.
func New(cfg Config) *Handler {
	h := &Handler{cfg: cfg, mux: http.NewServeMux(), spent: newBudget(), recent: newRecent()}
	h.direct.running = make(map[fleet.BackendID]int)
	h.mux.HandleFunc("GET /v1/entry", h.serveEntry)
	h.mux.HandleFunc("GET /v1/models", h.serveModels)
	h.mux.HandleFunc("POST /v1/chat/completions", h.serveChat)
	h.mux.HandleFunc("POST /v1/keys", h.serveKeys)
	h.mux.HandleFunc("/v1/services/{service}/{path...}", h.serveService)
	h.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		refuse(http.StatusNotFound, CodeNotFound, "no %s at %s", r.Method, r.URL.Path).write(w)
	})
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.running.Add()
	h.requests.Add(1)
	defer func() {
		h.requests.Add(-1)
		h.running.Done()
	}()
	if h.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	h.mux.ServeHTTP(w, r)
}

// Stopping makes answers close their connections, so that callers go elsewhere.
func (h *Handler) Stopping() { h.stopping.Store(true) }

// Running returns the number of requests in progress.
func (h *Handler) Running() int64 { return h.requests.Load() }

// Wait returns when no request is in progress.
func (h *Handler) Wait() { h.running.Wait() }
