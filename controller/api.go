// Package controller decides which models and adapters a cell's backend servers
// load and unload. It rebuilds its tables from the engines' reports, so that a
// new controller needs nothing but the lease record. Core does no I/O: its
// inputs are the authority, the release, the VM list, reports and order
// results; its outputs are orders to send and reports to request. It is not safe
// for concurrent use.
//
// docs/design/authority.md gives the rules and the reasons for them.
package controller

import (
	"time"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/lease"
	"github.com/redwingnotch/redwingnotch/loadbudget"
)

// Config configures a Core. A duration of zero selects its default.
type Config struct {
	Incarnation       fleet.Incarnation // incarnation of this node
	Budget            loadbudget.Settings
	ReportInterval    time.Duration // interval between report requests to one engine
	ResponseTimeout   time.Duration // time after which an order without a response is sent again
	OrderLifetime     time.Duration // time from sending an order to its expiry
	ServerSetInterval time.Duration // minimum time between two changes of the server set
	RetryDelay        time.Duration // time before a failed load is tried again at the same engine
}

// Defaults of Config.
const (
	DefaultReportInterval    = 500 * time.Millisecond
	DefaultResponseTimeout   = 2 * time.Second
	DefaultOrderLifetime     = 30 * time.Second
	DefaultServerSetInterval = 5 * time.Second
	DefaultRetryDelay        = 10 * time.Second
)

func (cfg Config) withDefaults() Config {
	setDefault(&cfg.ReportInterval, DefaultReportInterval)
	setDefault(&cfg.ResponseTimeout, DefaultResponseTimeout)
	setDefault(&cfg.OrderLifetime, DefaultOrderLifetime)
	setDefault(&cfg.ServerSetInterval, DefaultServerSetInterval)
	setDefault(&cfg.RetryDelay, DefaultRetryDelay)
	return cfg
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// SendOrder is a request to send one order. The outcome goes to
// HandleOrderResult.
type SendOrder struct {
	Backend fleet.BackendID
	Address string
	Order   engine.Order
	// VerifyBoot requires a connection on which the engine has just reported
	// Order.Boot, because the engine does not check the boot of an order. If it
	// reports another boot, the result is engine.ErrWrongBoot.
	VerifyBoot bool
}

// ReportRequest is a request for one report. The response goes to HandleReport
// with the time of the Tick that returned the request; a failure need not be
// reported.
type ReportRequest struct {
	Backend fleet.BackendID
	Address string
}

// OrderResult is the outcome of one attempt to send an order.
type OrderResult struct {
	OrderID string
	Backend fleet.BackendID
	SentAt  time.Time      // time of the Tick that returned the order
	Report  *engine.Report // nil on error
	Err     error          // wraps one of engine's sentinel errors; others count as engine.ErrUnknown
}

// BlockReason says why a target in demand is not being loaded.
type BlockReason string

// Values of BlockReason.
const (
	BlockedNoModel      BlockReason = "model is not in force"
	BlockedReplicaLimit BlockReason = "replica limit reached"
	BlockedUnconfirmed  BlockReason = "backend servers that may hold a replica have not answered"
	BlockedNoRoom       BlockReason = "no backend server has room"
	BlockedEviction     BlockReason = "waits for memory to be freed"
	BlockedLoadBudget   BlockReason = "weight store at its limit"
	BlockedIntent       BlockReason = "waits for its intent to be written"
	BlockedObjectAPI    BlockReason = "object API is silent and a backend server does not check fencing numbers"
)

// Blocked is a target in demand that is not being loaded.
type Blocked struct {
	Target fleet.Target
	Reason BlockReason
}

// Effects is the output of one Tick. Orders are to be sent, Reports are to be
// requested, and Blocked lists the targets in demand that are not being loaded.
type Effects struct {
	Orders  []SendOrder
	Reports []ReportRequest
	// DesiredRecord goes to lease.Core.SetDesired; nil if this node is not active.
	DesiredRecord *lease.DesiredRecord
	// HigherEpoch is a higher epoch that an engine reported, or zero. It goes to
	// lease.Core.HandleHigherEpoch.
	HigherEpoch fleet.Epoch
	Blocked     []Blocked
}

// Retention decides how long targets stay loaded and which targets are loaded
// before they are requested.
type Retention interface {
	// KeepUntil returns the time until which a target that was last used at
	// lastUsed stays loaded.
	KeepUntil(t fleet.Target, lastUsed time.Time) time.Time
	Preloads(now time.Time) []fleet.Target
}
