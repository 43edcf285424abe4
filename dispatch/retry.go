package dispatch

import (
	"errors"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
)

// notRunErrors are the errors which prove that the backend server did not start
// the request.
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
// error that also wraps ErrUnknown, ErrStalled or ErrCrashed proves nothing.
func NotRun(err error) bool {
	if errors.Is(err, engine.ErrUnknown) || errors.Is(err, engine.ErrStalled) || errors.Is(err, engine.ErrCrashed) {
		return false
	}
	for _, target := range notRunErrors {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

// MayRetry reports whether a failed attempt may be retried from the start. It
// never may once part of the response has reached the caller (started). Before
// that, an attempt that provably did not run may be retried, and one that may
// have run only if the request is idempotent and the transport failed.
func MayRetry(err error, idempotent, started bool) bool {
	switch {
	case err == nil || started:
		return false
	case NotRun(err):
		return true
	default:
		return idempotent && isTransportError(err)
	}
}

// isTransportError reports whether the connection or the backend server failed,
// so that another backend server may succeed. All other errors are caused by the
// request itself.
func isTransportError(err error) bool {
	return errors.Is(err, engine.ErrUnknown) || errors.Is(err, engine.ErrStalled) || errors.Is(err, engine.ErrCrashed)
}

// OutcomeOf returns the outcome of a request whose last attempt ended with err
// and is not retried. The parameter started says whether part of the response
// has reached the caller.
func OutcomeOf(err error, idempotent, started bool) fleet.Outcome {
	switch {
	case err == nil:
		return fleet.OutcomeAnswered
	case NotRun(err) && !started:
		return fleet.OutcomeNotRun
	case idempotent || !isTransportError(err):
		return fleet.OutcomeFailed
	default:
		return fleet.OutcomeUnknown
	}
}

// BrokenStream describes a stream that broke off after its first token.
type BrokenStream struct {
	Err         error         // error that ended the stream
	Received    int           // tokens that have reached the caller
	Version     fleet.Version // model version that generated the tokens
	Resumptions int           // resumptions of the response so far
}

// MaxResumptions limits how often one response may be resumed.
const MaxResumptions = 3

// MayResume reports whether a broken stream may continue on a replica of the
// given version. It must be the version that began the response, as another one
// would not continue the same text.
func MayResume(b BrokenStream, version fleet.Version) bool {
	if b.Received <= 0 || b.Resumptions >= MaxResumptions || b.Version != version {
		return false
	}
	return NotRun(b.Err) || isTransportError(b.Err)
}
