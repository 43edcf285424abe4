// Package replicas keeps what an entry node knows of the backend servers: the
// entries in the platform's store, the views that the node in charge of loads
// tells, requests in flight and failures seen. It chooses where a request goes.
// Its code is free of I/O and has no clock.
package replicas

import "time"

// Holding is a model at a backend server, with its adapters.
type Holding struct {
	Model    string
	Adapters []string
}

// Entry is what a backend server tells of itself in the platform's store.
type Entry struct {
	ID       string
	Revision uint64 // of the store at the entry's change; a higher one is newer
	Start    int64  // Unix milliseconds of its start; zero if not told
	Service  string
	Address  string // host:port
	Zone     string
	Slots    int
	Draining bool
	Holds    []Holding
	InMemory []string // models whose weights lie in its host memory
	OnDisk   []string
}

// Report is a backend server's state as it was some hundred milliseconds ago.
type Report struct {
	Start    int64  // as in Entry
	Orders   uint64 // accepted since its start
	Busy     bool   // it carries out an order
	Holds    []Holding
	Arriving []string // adapters on their way, as MODEL/NAME@VERSION
	InMemory []string
	OnDisk   []string
	Running  int // requests
	Waiting  int // requests
	KVUsed   int // tokens of memory that cannot yield
	KVTotal  int // tokens
}

// Order tells a backend server to load or unload a model or adapter.
type Order struct {
	Replica string
	Unload  bool
	Model   string
	Adapter string // empty for the model itself
	After   uint64 // carried out only if the replica has accepted this many orders
	Holder  string // node that gives it
	Token   uint64 // fencing token of its lease
}

// OrderResult is a backend server's answer to an order.
type OrderResult uint8

// The results of orders.
const (
	OrderUnknown  OrderResult = iota // no answer: it may be carried out, now or later
	OrderAccepted                    // it is being carried out
	OrderHolds                       // it held already, or was carried out at once
	OrderConflict                    // another order is in progress, or After differs
	OrderRefused                     // never carried out
)

// String returns the result's name.
func (r OrderResult) String() string {
	return [...]string{"unknown", "accepted", "holds", "conflict", "refused"}[r]
}

// View is what the node in charge of loads knows of a backend server. It is
// newer than the server's entry.
type View struct {
	ID        string    `json:"i"`
	Start     int64     `json:"b"`
	Holds     []Holding `json:"h,omitempty"`
	Loading   string    `json:"l,omitempty"` // model on its way
	LoadEnds  time.Time `json:"-"`           // when it is expected to be ready
	LoadInMS  int64     `json:"e,omitempty"` // the same, from the time of sending
	FromStore bool      `json:"s,omitempty"` // it comes from the weight store
	Planned   bool      `json:"p,omitempty"` // the load has not begun
	Unloading string    `json:"u,omitempty"` // model that no new request may use
	Running   int       `json:"r,omitempty"` // requests, as last reported
}

// Has reports whether the view shows the model, and the adapter unless empty, as
// ready for new requests.
func (v *View) Has(model, adapter string) bool {
	return v.Unloading != model && Holds(v.Holds, model, adapter)
}

// Holds reports whether the model, and the adapter unless empty, is among hs.
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
