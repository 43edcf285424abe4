// Package fleet defines the identifiers and row types shared by the packages
// that make decisions: VMs, backend servers, replicas, models, adapters, ranks
// and demand. It has only small pure functions and does no I/O.
package fleet

import (
	"fmt"
	"strings"
	"time"
)

// NodeID identifies an entry node: a VM that runs the daemon. It is never an
// address.
type NodeID string

// VMID identifies a VM in the platform's VM list.
type VMID string

// BackendID identifies a backend server: one model engine or plain service
// process.
type BackendID string

// BootID identifies one run of a backend server process. It changes at each
// restart.
type BootID string

// ModelID identifies a base model, without its version.
type ModelID string

// AdapterID identifies an adapter of a model. The empty value means the base
// model without an adapter.
type AdapterID string

// ServiceID identifies a plain service, such as ordering.
type ServiceID string

// Version identifies one immutable version of a model or adapter.
type Version string

// Region identifies a region of the deployment.
type Region string

// AvailabilityZone identifies an availability zone within a region.
type AvailabilityZone string

// CellID identifies a cell: a set of backend servers with one active
// controller.
type CellID string

// Epoch is the fencing token of a cell's controller. A higher value is newer;
// zero is never granted.
type Epoch uint64

// Incarnation identifies one run of a node. A higher value is newer.
type Incarnation uint64

// ContentHash is a hash of a request's content: equal content has equal hashes.
// Its bytes are opaque; the empty value means that the hash is unknown.
type ContentHash string

// Rank is the priority class of a request. Lower values are more urgent.
type Rank uint8

// Ranks of requests, most urgent first, and their number.
const (
	RankUrgent Rank = iota
	RankStandard
	RankBulk
	RankCount = 3 // number of ranks
)

var rankNames = [RankCount]string{"urgent", "standard", "bulk"}

// String returns the rank's name as used in headers and settings.
func (r Rank) String() string {
	return enumName("rank", rankNames[:], uint8(r))
}

// ParseRank parses a rank's name. It accepts exactly the names that String
// returns.
func ParseRank(s string) (Rank, error) {
	var r Rank
	err := r.UnmarshalText([]byte(s))
	return r, err
}

// Target is what a request asks for: a model with an optional adapter.
type Target struct {
	Model   ModelID
	Adapter AdapterID
}

// TargetSeparator separates the model from the adapter in a target's name.
const TargetSeparator = "+"

// String returns the target's name: "model" or "model+adapter".
func (t Target) String() string {
	if t.Adapter == "" {
		return string(t.Model)
	}
	return string(t.Model) + TargetSeparator + string(t.Adapter)
}

// ParseTarget parses a target's name: "model" or "model+adapter".
func ParseTarget(s string) (Target, error) {
	model, adapter, found := strings.Cut(s, TargetSeparator)
	if model == "" || (found && adapter == "") || strings.Contains(adapter, TargetSeparator) {
		return Target{}, fmt.Errorf("malformed target %q, want model or model%sadapter", s, TargetSeparator)
	}
	return Target{Model: ModelID(model), Adapter: AdapterID(adapter)}, nil
}

// VMState is the state of a VM in the platform's VM list. The list lags behind
// the VM's real state.
type VMState uint8

// States of a VM.
const (
	VMLive    VMState = iota // the VM runs
	VMLeaving                // the platform is about to remove the VM
	VMRemoved                // the VM has been removed
)

// String returns the state's name as used by the platform.
func (s VMState) String() string { return enumName("VM state", vmStateNames, uint8(s)) }

// VM is one row of the platform's VM list.
type VM struct {
	ID     VMID
	Zone   AvailabilityZone
	State  VMState
	Memory int64 // memory usable for models and adapters, in bytes
}

// BackendServer is one row of the table of backend servers.
type BackendServer struct {
	ID       BackendID
	VM       VMID
	Cell     CellID
	Address  string    // host:port
	Service  ServiceID // plain service that it runs; empty for a model engine
	Fencing  bool      // the engine refuses orders with an epoch lower than one it has seen
	Draining bool      // shutting down, by its own report, by the VM list or by a planned stop
}

// Model is one row of the table of models in force.
type Model struct {
	ID           ModelID
	Version      Version
	MaxReplicas  int           // maximum replicas per cell, set by the operators
	MemoryBytes  int64         // memory of one loaded replica
	LoadTime     time.Duration // time to load from the weight store at full speed
	Slots        int           // requests that one replica runs concurrently
	Withdrawn    bool          // new requests are refused and replicas drain
	AllowedRanks []Rank        // ranks that the model serves; empty allows all
}

// Adapter is one row of the table of adapters in force.
type Adapter struct {
	Model       ModelID
	ID          AdapterID
	Version     Version
	MemoryBytes int64 // memory of one loaded copy
	Withdrawn   bool  // new requests are refused
}

// ReplicaState is the lifecycle state of a replica on its backend server.
type ReplicaState uint8

// States of a replica, in the order of its lifecycle.
const (
	ReplicaReserved  ReplicaState = iota // memory is committed, but the engine has not confirmed the load order
	ReplicaLoading                       // the engine reports a load in progress
	ReplicaReady                         // the engine reports that the replica serves
	ReplicaUnloading                     // unload ordered; memory stays committed until the engine reports it removed
)

// String returns the state's name.
func (s ReplicaState) String() string {
	return enumName("replica state", replicaStateNames, uint8(s))
}

// ReplicaKey identifies a replica: one version of a model in one run of a
// backend server process.
type ReplicaKey struct {
	Backend BackendID
	Boot    BootID
	Model   ModelID
	Version Version
}

// Replica is one row of the table of replicas.
type Replica struct {
	ReplicaKey
	Address     string // host:port of the backend server
	State       ReplicaState
	MemoryBytes int64
	Slots       int         // requests that it runs concurrently
	Adapters    []AdapterID // adapters loaded on it
	ReadyAt     time.Time   // expected time while loading, actual time once ready
	LastUsed    time.Time
	Draining    bool // gets no new requests
}

// Locality is the locality of a model's weights relative to one VM.
type Locality uint8

// Localities of weights, fastest to load first.
const (
	LocalityMemory Locality = iota // cached in the VM's memory
	LocalityDisk                   // cached on the VM's disk
	LocalityRemote                 // only in the weight store
)

// Demand summarises the requests of a cell for one target.
type Demand struct {
	Target           Target
	Waiting          [RankCount]int       // waiting requests, by rank
	Refused          [RankCount]int       // recent refusals that more capacity would have avoided, by rank
	EarliestDeadline [RankCount]time.Time // earliest deadline of the waiting requests, by rank; zero if none waits
	OldestArrival    time.Time            // oldest arrival among the requests counted above
	LastArrival      time.Time            // arrival of the latest known request; zero if none
}

// Total returns the number of waiting requests, of all ranks.
func (d Demand) Total() int {
	total := 0
	for _, n := range d.Waiting {
		total += n
	}
	return total
}

// Unserved returns the number of requests, of all ranks, that lack capacity:
// the waiting and the recently refused ones.
func (d Demand) Unserved() int {
	total := d.Total()
	for _, n := range d.Refused {
		total += n
	}
	return total
}

// Outcome is the final result of a request. Each request has exactly one.
type Outcome uint8

// Outcomes of requests. Only OutcomeNotRun guarantees that the request had no
// effect.
const (
	OutcomeAnswered Outcome = iota // ran and got a response
	OutcomeNotRun                  // never ran
	OutcomeFailed                  // ran and failed, or an idempotent call failed on its last attempt
	OutcomeUnknown                 // may have run; is not retried
)

// String returns the outcome's name as used in refusals: "ran" for
// OutcomeAnswered and OutcomeFailed, "not_run" or "unknown" for the others.
func (o Outcome) String() string {
	return [...]string{"ran", "not_run", "ran", "unknown"}[o]
}
