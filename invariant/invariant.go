// Package invariant checks the system's invariants at run time. In tests a
// violation panics; in the daemon a setting selects the Mode.
package invariant

import (
	"fmt"
	"sync/atomic"
)

// Name identifies an invariant. The names appear in metrics, logs and docs.
type Name string

// Names of the invariants that the program checks.
const (
	ReplicaLimit     Name = "replica_limit"      // a model has at most the number of replicas that the operators set
	MemoryCommitted  Name = "memory_committed"   // the memory committed on a VM does not exceed its memory
	AtMostOnce       Name = "at_most_once"       // a non-idempotent request runs at most once
	NoLostWaiter     Name = "no_lost_waiter"     // each waiting request gets exactly one outcome
	AnswerMatches    Name = "answer_matches"     // each caller gets the response to its own request
	NotRunIsTrue     Name = "not_run_is_true"    // a request refused as not run did not run
	NoWorkToDraining Name = "no_work_to_leaving" // a draining backend server receives no new work
	GracefulStop     Name = "graceful_stop"      // a planned stop interrupts no running request
	VersionMonotonic Name = "version_monotonic"  // the release version never decreases
	LoadBudget       Name = "load_budget"        // loads stay within the weight store's limits
	EpochMonotonic   Name = "epoch_monotonic"    // the fencing token of a cell's controller never decreases
	SingleDispatcher Name = "single_dispatcher"  // at most one load of a model is in flight, however many requests wait for it
)

// Mode selects what happens on a violation.
type Mode int32

// Modes of handling a violation.
const (
	ModePanic  Mode = iota // panic with the Violation
	ModeReport             // call the function set by SetReporter, if any
	ModeOff                // ignore violations
)

// Violation describes a violated invariant. It is the panic value in ModePanic.
type Violation struct {
	Name   Name
	Detail string // values that violate the invariant
}

// Error returns the invariant's name and the detail. It implements error.
func (v Violation) Error() string {
	return fmt.Sprintf("invariant %s violated: %s", v.Name, v.Detail)
}

var (
	mode     atomic.Int32
	reporter atomic.Pointer[func(Violation)]
)

// SetMode selects what happens on a violation. The default is ModePanic.
func SetMode(m Mode) { mode.Store(int32(m)) }

// SetReporter sets the function that receives violations in ModeReport.
func SetReporter(f func(Violation)) { reporter.Store(&f) }

// Check handles a violation of the named invariant, as the mode says, if
// condition is false. The detail is formatted only in that case.
func Check(condition bool, name Name, format string, args ...any) {
	if condition || Mode(mode.Load()) == ModeOff {
		return
	}
	v := Violation{Name: name, Detail: fmt.Sprintf(format, args...)}
	if Mode(mode.Load()) == ModePanic {
		panic(v)
	}
	if f := reporter.Load(); f != nil {
		(*f)(v)
	}
}
