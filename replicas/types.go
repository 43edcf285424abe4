// Package replicas holds an entry node's table of backend servers and selects the
// server for each request. The table combines the servers' entries in the
// platform's store, the server statuses published by the cells' leaders, requests
// in flight and observed failures. The package does no I/O and takes the time as
// a parameter.
package replicas

import "time"

// Holding is a model that is loaded on a backend server, with its loaded adapters.
type Holding struct {
	Model    string
	Adapters []string
}

// Entry is the record that a backend server publishes of itself in the platform's
// store.
type Entry struct {
	ID       string
	Revision uint64 // store revision of the entry's last change; a higher one is newer
	Era      uint64 `json:",omitempty"` // era of the store in which it was read; zero for a store without eras
	Start    int64  // server start in Unix milliseconds; zero if not reported
	Service  string
	Software string    // version of the server's software; empty if it names none
	Address  string    // host:port
	Zone     string    // availability zone
	Slots    int       // requests that the server runs at a time
	Draining bool      // accepts no new requests
	Holds    []Holding // loaded models with their adapters
	InMemory []string  // models whose weights are cached in host memory
	OnDisk   []string  // models whose weights are cached on disk

	ColdRemaining time.Duration `json:",omitempty"` // how much longer the server is slow after its start, as it says; zero if it is not
}

// Report is a backend server's response to a status query. Its state may be some
// hundred milliseconds old.
type Report struct {
	Start    int64     // server start in Unix milliseconds
	Orders   uint64    // number of orders accepted since the start
	Busy     bool      // an order is in progress
	Holds    []Holding // loaded models with their adapters
	Arriving []string  // adapters being loaded, as MODEL/NAME@VERSION
	InMemory []string  // models whose weights are cached in host memory
	OnDisk   []string  // models whose weights are cached on disk
	Running  int       // number of running requests
	Waiting  int       // number of requests queued at the server
	KVUsed   int       // KV cache in use that can't be evicted, in tokens
	KVTotal  int       // size of the KV cache, in tokens
}

// Notice is what a backend server says of itself with any response.
type Notice struct {
	Leaving    bool          // it stops, and accepts no further requests
	RetryAfter time.Duration // it has turned the request away and wants none for so long; zero if it has not
}

// Order instructs a backend server to load or unload a model or adapter.
type Order struct {
	ServerID string // ID of the backend server
	Unload   bool   // unload rather than load
	Model    string
	Adapter  string // empty for the model itself
	After    uint64 // the server accepts the order only if it has accepted this many before
	Leader   string // node that sends the order
	Token    uint64 // fencing token of the node's leadership
}

// OrderResult is a backend server's response to an order.
type OrderResult uint8

// Results of orders.
const (
	OrderUnknown  OrderResult = iota // no response: the order may be carried out, now or later
	OrderAccepted                    // the order is in progress
	OrderHolds                       // the server is already in the ordered state
	OrderConflict                    // another order is in progress, or After differs
	OrderRefused                     // the order will never be carried out
)

// String returns the result's name.
func (r OrderResult) String() string {
	return [...]string{"unknown", "accepted", "holds", "conflict", "refused"}[r]
}

// ServerStatus is the state of a backend server as its cell's leader publishes it.
// It is newer than the server's entry.
type ServerStatus struct {
	ID        string    `json:"i"`
	Start     int64     `json:"b"` // server start in Unix milliseconds
	Holds     []Holding `json:"h,omitempty"`
	Loading   string    `json:"l,omitempty"` // model whose load is in progress or planned
	LoadEnds  time.Time `json:"-"`           // expected end of the load
	LoadInMS  int64     `json:"e,omitempty"` // expected end of the load, in milliseconds after sending
	FromStore bool      `json:"s,omitempty"` // the load reads from the weight store
	Planned   bool      `json:"p,omitempty"` // the load has not been ordered yet
	Unloading string    `json:"u,omitempty"` // model being unloaded; no new request may use it
	Running   int       `json:"r,omitempty"` // number of running requests, as last reported
}

// Has reports whether the model, and the adapter unless empty, is ready for new
// requests.
func (s *ServerStatus) Has(model, adapter string) bool {
	return s.Unloading != model && Holds(s.Holds, model, adapter)
}

// Holds reports whether hs contains the model and, unless empty, the adapter.
func Holds(hs []Holding, model, adapter string) bool {
	for _, h := range hs {
		if h.Model != model {
			continue
		}
		if adapter == "" {
			return true
		}
		for _, a := range h.Adapters {
			if a == adapter {
				return true
			}
		}
	}
	return false
}
