// Package invariant asserts the promises of the system inside the program. In
// tests a violation panics; in the daemon the mode is a setting.
package invariant

import (
	"fmt"
	"sync/atomic"
)

// Name identifies a promise. The names appear in metrics, logs and docs.
type Name string

// The promises that the program asserts.
const (
	ReplicaLimit     Name = "replica_limit"      // no more replicas than the operators decided
	MemoryCommitted  Name = "memory_committed"   // no VM's memory committed beyond what it has
	AtMostOnce       Name = "at_most_once"       // a non-idempotent request runs at most once
	NoLostWaiter     Name = "no_lost_waiter"     // each waiting request comes to exactly one end
	AnswerMatches    Name = "answer_matches"     // each caller gets the answer to its own request
	NotRunIsTrue     Name = "not_run_is_true"    // a refusal that says not run is true
	NoWorkToLeaving  Name = "no_work_to_leaving" // a leaving backend server receives no new work
	GracefulStop     Name = "graceful_stop"      // a planned stop cuts no request in progress
	VersionMonotonic Name = "version_monotonic"  // a release version never falls
	LoadBudget       Name = "load_budget"        // the weight store's limits hold
	EpochMonotonic   Name = "epoch_monotonic"    // a controller's fencing number never falls
	SingleDispatcher Name = "single_dispatcher"  // one load per model however many ask
)

// Mode says what a violation does.
type Mode int32

// The modes.
const (
	ModePanic Mode = iota
	ModeReport
	ModeOff
)

// Violation describes a broken promise. It is the panic value in ModePanic.
type Violation struct {
	Name   Name
	Detail string
}

// Error implements error.
func (v Violation) Error() string {
	return fmt.Sprintf("invariant %s violated: %s", v.Name, v.Detail)
}

var (
	mode     atomic.Int32
	reporter atomic.Pointer[func(Violation)]
)

// SetMode selects what violations do. The zero mode panics.
func SetMode(m Mode) { mode.Store(int32(m)) }

// SetReporter sets the function that receives violations in ModeReport.
func SetReporter(f func(Violation)) { reporter.Store(&f) }

// Check asserts that holds is true. The detail is formatted only on violation.
func Check(holds bool, name Name, format string, args ...any) {
	if holds || Mode(mode.Load()) == ModeOff {
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
