package dispatch

import (
	"errors"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
)

// notRunErrors say that the other side never began the request.
var notRunErrors = []error{
	engine.ErrNotSent,
	engine.ErrUnreachable,
	engine.ErrNotLoaded,
	engine.ErrDraining,
	engine.ErrFenced,
	engine.ErrWrongBoot,
	engine.ErrExpired,
	engine.ErrNoMemory,
}

// NotRun reports whether the error proves that the request had no effect. An
// error that also wraps one of another kind proves nothing.
func NotRun(err error) bool {
	if errors.Is(err, engine.ErrUnknown) || errors.Is(err, engine.ErrSilent) || errors.Is(err, engine.ErrCrashed) {
		return false
	}
	for _, target := range notRunErrors {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

// MayRetry reports whether a failed try may be repeated from the start. A try
// that proves not to have run may always be repeated, another one only if it is
// idempotent and no part of its answer has reached the caller (started).
func MayRetry(err error, idempotent, started bool) bool {
	switch {
	case err == nil || started:
		return false
	case NotRun(err):
		return true
	default:
		return idempotent && isTransport(err)
	}
}

// isTransport reports whether the error is of the connection or the backend
// server, so that another one may do better. Other errors are the request's.
func isTransport(err error) bool {
	return errors.Is(err, engine.ErrUnknown) || errors.Is(err, engine.ErrSilent) || errors.Is(err, engine.ErrCrashed)
}

// OutcomeOf returns the end that a failed request comes to when it is not tried
// again.
func OutcomeOf(err error, idempotent, started bool) fleet.Outcome {
	switch {
	case err == nil:
		return fleet.OutcomeAnswered
	case NotRun(err) && !started:
		return fleet.OutcomeNotRun
	case idempotent || !isTransport(err):
		return fleet.OutcomeFailed
	default:
		return fleet.OutcomeUnknown
	}
}

// Broken describes a stream that broke after it had started.
type Broken struct {
	Err      error
	Received int           // tokens that reached the caller
	Version  fleet.Version // that gave them
	Tries    int           // resumptions so far
}

// MaxResumptions is how often one answer may be resumed.
const MaxResumptions = 3

// MayResume reports whether a broken stream may go on at a replica of the
// given version. Another version would not give one answer.
func MayResume(b Broken, version fleet.Version) bool {
	if b.Received <= 0 || b.Tries >= MaxResumptions || b.Version != version {
		return false
	}
	return NotRun(b.Err) || isTransport(b.Err)
}
