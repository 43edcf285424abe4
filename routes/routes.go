// Package routes holds the desired state set by the operators, as the entry nodes use
// it: which service serves which host and path, within which limits, and which
// models the backend servers of a service may hold. It does no I/O.
package routes

import (
	"strings"
	"time"
)

// Kind says whether requests of a route may run more than once.
type Kind string

// The kinds of routes.
const (
	Safe      Kind = "safe"      // may run any number of times
	Unsafe    Kind = "unsafe"    // may run once at most
	Streaming Kind = "streaming" // the response is a stream of events; may run once at most unless resumable
)

// Valid reports whether k is one of the defined kinds.
func (k Kind) Valid() bool { return k == Safe || k == Unsafe || k == Streaming }

// Split is a service of a route with its share of the route's requests.
type Split struct {
	Service string
	Weight  float64 // relative to the route's other splits
}

// Route configures how requests for a host and path prefix are served.
type Route struct {
	Name        string
	Host        string
	PathPrefix  string // begins and ends with a slash
	Kind        Kind
	Timeout     time.Duration // longest time until the response is complete
	Target      time.Duration // latency objective; for a stream, until its first event
	MaxGap      time.Duration // longest gap between events of a stream that meets its objective; zero if not set
	Priority    int           // 0 is the most urgent
	Splits      []Split       // at least one
	MaxAttempts int           // limit of attempts of one request that backend servers may have run
	Resumable   bool          // an interrupted stream may continue on another backend server
	Public      bool          // requests need no API key
}

// Idempotent reports whether a request on the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Service returns the service chosen by weight for a random number u in [0, 1).
func (r *Route) Service(u float64) string {
	total := 0.0
	for _, s := range r.Splits {
		total += s.Weight
	}
	at := u * total
	for _, s := range r.Splits {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Splits[len(r.Splits)-1].Service
}

// Model is a model that the backend servers of an engine may hold.
type Model struct {
	Name          string
	WeightsMB     float64       // memory for the weights
	LoadTime      time.Duration // duration of a load from the weight store
	DiskLoadTime  time.Duration // duration of a load from the backend server's disk
	WarmLoadTime  time.Duration // duration of a load from the backend server's memory
	Adapters      int           // number of adapters, named a1, a2, ...
	AdapterSizeMB float64       // memory for one adapter
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots          int     // requests that a backend server runs in one batch
	KVCacheTokens  int     // tokens that the KV cache of a backend server holds
	WeightsMB      float64 // memory of a backend server for weights and adapters
	AdapterSlots   int     // adapters that a backend server can hold
	LoadsPerSecond float64 // model loads per second that the weight store allows over all backend servers
	Models         []Model
}

// Model returns the model with the given name, or nil.
func (e *Engine) Model(name string) *Model {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name           string
	HealthPath     string  // path of the health check
	MaxConnections int     // connections that one backend server accepts from all callers
	Engine         *Engine // nil for plain services
}

// Limits bound the requests and connections of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration // time to receive the header of a request
	IdleTimeout    time.Duration // time after which an idle connection is closed
}

// Table is one version of the desired state. It does not change once it is in force.
type Table struct {
	Version  uint64
	Routes   []Route
	Services map[string]*Service
	Limits   Limits

	Teams       []Team // teams that the state lists and that could be decoded
	RequireKeys bool   // requests need the API key of a team, except on public routes

	byHost map[string][]*Route
}

// Index prepares the table for Match.
func (t *Table) Index() {
	t.byHost = make(map[string][]*Route)
	for i := range t.Routes {
		r := &t.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
}

// Match returns the route of the host with the longest prefix of the path, or nil. The
// path is compared as received, without decoding.
func (t *Table) Match(host, path string) *Route {
	var best *Route
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}

// HasService reports whether one of the route's splits names the service.
func (r *Route) HasService(service string) bool {
	for _, s := range r.Splits {
		if s.Service == service {
			return true
		}
	}
	return false
}
