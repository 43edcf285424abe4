// Package fleet holds the identifiers and table rows that the decision
// packages share: VMs, backend servers, replicas, models, adapters, ranks and
// demand. It has no behaviour beyond small pure helpers and does no I/O.
package fleet

import (
	"fmt"
	"strings"
	"time"
)

// NodeID names an entry VM on which the daemon runs. It is never an address.
type NodeID string

// VMID names a VM of the platform's VM list.
type VMID string

// BackendID names a backend server: one model engine or plain service process.
type BackendID string

// BootID names one run of a backend server process. It changes at each restart.
type BootID string

// ModelID names a base model, without its version.
type ModelID string

// AdapterID names an adapter of a model. The empty value means the base model.
type AdapterID string

// ServiceID names a plain service, such as ordering.
type ServiceID string

// Version names one immutable version of a model or adapter.
type Version string

// Region names a region of the deployment.
type Region string

// AvailabilityZone names an availability zone within a region.
type AvailabilityZone string

// CellID names a set of backend servers under one controller. Today each
// region is one cell.
type CellID string

// Epoch is the fencing number of a cell's controller. Higher is newer; zero is
// never granted.
type Epoch uint64

// Incarnation numbers the runs of a node. Higher is newer.
type Incarnation uint64

// ContentHash identifies the content of a request: equal content has equal
// hashes. It is opaque bytes; the empty value means unknown.
type ContentHash string

// Rank is the urgency class of a request. Lower values are more urgent.
type Rank uint8

// The three ranks, most urgent first.
const (
	RankUrgent Rank = iota
	RankStandard
	RankBulk
	RankCount = 3
)

var rankNames = [RankCount]string{"urgent", "standard", "bulk"}

// String returns the rank's name as used in headers and settings.
func (r Rank) String() string {
	return nameOf("rank", rankNames[:], uint8(r))
}

// ParseRank reads a rank's name. It accepts exactly the names String returns.
func ParseRank(s string) (Rank, error) {
	var r Rank
	err := r.UnmarshalText([]byte(s))
	return r, err
}

// Target names what a request asks for: a model with an optional adapter.
type Target struct {
	Model   ModelID
	Adapter AdapterID
}

// TargetSeparator stands between model and adapter in a target's name.
const TargetSeparator = "+"

// String returns "model" or "model+adapter".
func (t Target) String() string {
	if t.Adapter == "" {
		return string(t.Model)
	}
	return string(t.Model) + TargetSeparator + string(t.Adapter)
}

// ParseTarget reads "model" or "model+adapter".
func ParseTarget(s string) (Target, error) {
	model, adapter, found := strings.Cut(s, TargetSeparator)
	if model == "" || (found && adapter == "") || strings.Contains(adapter, TargetSeparator) {
		return Target{}, fmt.Errorf("malformed target %q, want model or model%sadapter", s, TargetSeparator)
	}
	return Target{Model: ModelID(model), Adapter: AdapterID(adapter)}, nil
}

// VMState is what the platform's VM list says of a VM. The list lags.
type VMState uint8

// The states of a VM.
const (
	VMLive VMState = iota
	VMLeaving
	VMGone
)

// String returns the state's name as used by the platform.
func (s VMState) String() string { return nameOf("VM state", vmStateNames, uint8(s)) }

// VM is one row of the platform's list of VMs.
type VM struct {
	ID     VMID
	Zone   AvailabilityZone
	State  VMState
	Memory int64 // bytes usable for models and adapters
}

// BackendServer is one row of the table of backend servers.
type BackendServer struct {
	ID       BackendID
	VM       VMID
	Cell     CellID
	Address  string    // host:port
	Service  ServiceID // empty for a model engine
	Fencing  bool      // whether the engine refuses orders with an old epoch
	Draining bool      // set when the engine itself, the list or a planned stop says that it leaves
}

// Model is one row of the table of models in force.
type Model struct {
	ID           ModelID
	Version      Version
	MaxReplicas  int           // replicas that the operators decided, per cell
	MemoryBytes  int64         // memory of one loaded replica
	LoadTime     time.Duration // load from the weight store at full speed
	Slots        int           // requests that one replica runs side by side
	Withdrawn    bool          // refuses new work and drains
	AllowedRanks []Rank        // empty allows all
}

// Adapter is one row of the table of adapters in force.
type Adapter struct {
	Model       ModelID
	ID          AdapterID
	Version     Version
	MemoryBytes int64
	Withdrawn   bool
}

// ReplicaState is the life cycle of a replica at its backend server.
type ReplicaState uint8

// The states of a replica.
const (
	ReplicaReserved  ReplicaState = iota // order not known to have arrived; memory is committed
	ReplicaLoading                       // engine reports a load in progress
	ReplicaReady                         // engine reports that it serves
	ReplicaUnloading                     // unload ordered; memory is committed until the engine reports it gone
)

// String returns the state's name.
func (s ReplicaState) String() string {
	return nameOf("replica state", replicaStateNames, uint8(s))
}

// ReplicaKey identifies a replica: one version of a model on one boot of one
// backend server.
type ReplicaKey struct {
	Backend BackendID
	Boot    BootID
	Model   ModelID
	Version Version
}

// Replica is one row of the table of replicas.
type Replica struct {
	ReplicaKey
	Address     string // of the backend server
	State       ReplicaState
	MemoryBytes int64
	Slots       int
	Adapters    []AdapterID // resident adapters
	ReadyAt     time.Time   // expected while loading, actual once ready
	LastUsed    time.Time
	Draining    bool // takes no new work
}

// Nearness says where a model's weights are, seen from one VM.
type Nearness uint8

// Places of weights, nearest first.
const (
	NearMemory Nearness = iota
	NearDisk
	NearRemote
)

// Demand summarises the requests that wait for one target at a cell.
type Demand struct {
	Target           Target
	Waiting          [RankCount]int
	Refused          [RankCount]int       // refused lately for lack of time or capacity and told to come back
	EarliestDeadline [RankCount]time.Time // zero when none waits
	OldestArrival    time.Time
	LastArrival      time.Time // zero if never asked for
}

// Total returns the number of requests that wait, of all ranks.
func (d Demand) Total() int {
	total := 0
	for _, n := range d.Waiting {
		total += n
	}
	return total
}

// Pressure returns the number of requests, of all ranks, that capacity is
// missing for: those that wait and those refused lately.
func (d Demand) Pressure() int {
	total := d.Total()
	for _, n := range d.Refused {
		total += n
	}
	return total
}

// Outcome is the one end that each request comes to.
type Outcome uint8

// The outcomes. Only OutcomeNotRun promises that no effect took place.
const (
	OutcomeAnswered Outcome = iota
	OutcomeNotRun
	OutcomeFailed  // ran and failed, or an idempotent call failed for good
	OutcomeUnknown // may have run; will not be run again
)

// String returns the outcome's name as it appears in refusals: "ran" for
// answered and failed, else "not_run" or "unknown".
func (o Outcome) String() string {
	return [...]string{"ran", "not_run", "ran", "unknown"}[o]
}
