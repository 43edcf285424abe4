// Package controller decides what a cell's backend servers load and unload. It
// rebuilds its tables from what the engines report, so that a new controller
// needs nothing but the lease record. Core is free of I/O: it takes authority,
// release, VM list, reports and order results, and returns orders to send and
// reports to request.
//
// docs/design/authority.md gives the rules and why they hold.
package controller

import (
	"time"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/lease"
	"github.com/redwingnotch/redwingnotch/loadbudget"
)

// Config sets up a Core. Zero durations take the defaults.
type Config struct {
	Incarnation    fleet.Incarnation // of this node
	Budget         loadbudget.Settings
	ReportInterval time.Duration // between reports of one engine
	AnswerTimeout  time.Duration // an unanswered order or report request is sent again
	OrderLifetime  time.Duration // from making an order to its expiry
	RosterInterval time.Duration // between two changes of the roster
	RetryDelay     time.Duration // before a failed load is tried again at the same engine
}

// Defaults of Config.
const (
	DefaultReportInterval = 500 * time.Millisecond
	DefaultAnswerTimeout  = 2 * time.Second
	DefaultOrderLifetime  = 30 * time.Second
	DefaultRosterInterval = 5 * time.Second
	DefaultRetryDelay     = 10 * time.Second
)

func (cfg Config) withDefaults() Config {
	setDefault(&cfg.ReportInterval, DefaultReportInterval)
	setDefault(&cfg.AnswerTimeout, DefaultAnswerTimeout)
	setDefault(&cfg.OrderLifetime, DefaultOrderLifetime)
	setDefault(&cfg.RosterInterval, DefaultRosterInterval)
	setDefault(&cfg.RetryDelay, DefaultRetryDelay)
	return cfg
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// SendOrder asks for one order to be sent. The answer goes to
// HandleOrderResult.
type SendOrder struct {
	Backend fleet.BackendID
	Address string
	Order   engine.Order
	// VerifyBoot asks for the order to travel on a connection on which the
	// engine has just reported Order.Boot, since the engine does not check it.
	// If the boot is another, the result is engine.ErrWrongBoot.
	VerifyBoot bool
}

// ReportRequest asks for one report. The answer goes to HandleReport with the
// time of the Tick that returned the request; a failure needs no answer.
type ReportRequest struct {
	Backend fleet.BackendID
	Address string
}

// OrderResult is the end of one sending of an order.
type OrderResult struct {
	OrderID string
	Backend fleet.BackendID
	SentAt  time.Time      // time of the Tick that returned the order
	Report  *engine.Report // nil on error
	Err     error          // wraps one of engine's sentinel errors; others count as engine.ErrUnknown
}

// BlockReason says why a target that is asked for is not being loaded.
type BlockReason string

// The reasons.
const (
	BlockedNoModel      BlockReason = "model is not in force"
	BlockedReplicaLimit BlockReason = "replica limit reached"
	BlockedUnconfirmed  BlockReason = "backend servers that may hold a replica have not answered"
	BlockedNoPlace      BlockReason = "no backend server has room"
	BlockedEviction     BlockReason = "waits for memory to be freed"
	BlockedBudget       BlockReason = "weight store at its limit"
	BlockedIntent       BlockReason = "waits for its intent to be written"
	BlockedStore        BlockReason = "object API is silent and a backend server does not check fencing numbers"
)

// Blocked is one target that waits and is not being loaded.
type Blocked struct {
	Target fleet.Target
	Reason BlockReason
}

// Effects is what a Tick asks for.
type Effects struct {
	Orders  []SendOrder
	Reports []ReportRequest
	// Wanted goes to lease.Core.SetWanted; nil if this node is not in office.
	Wanted *lease.Wanted
	// Deposed, if not zero, is a higher epoch seen at an engine. It goes to
	// lease.Core.HandleDeposed.
	Deposed fleet.Epoch
	Blocked []Blocked
}

// Retention says how long loaded targets are kept and what is loaded ahead of
// its requests.
type Retention interface {
	KeepUntil(t fleet.Target, lastUsed time.Time) time.Time
	LoadAhead(now time.Time) []fleet.Target
}
