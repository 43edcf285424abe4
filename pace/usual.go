package pace

import (
	"math"
	"time"
)

// Parameters of what counts as slow. Latencies are compared by their logarithms, in which the
// requests' different sizes spread them evenly.
const (
	usualWeight    = 1.0 / 256   // weight of one answer in a service's usual latency
	minUsual       = 32          // answers without which a service's latency is not known
	offsetWeight   = 1.0 / 64    // weight of one answer in a server's own offset
	minSlowLog     = 0.693       // an answer that takes less than twice the usual time is not slow
	goodShare      = 0.5         // an answer is good up to this part of the logarithm from which on one is slow; between them it says nothing
	maxSampleLog   = 2.0         // contribution of one answer, so that no single one shows that a server is slow
	minSpread      = 0.3         // least assumed standard deviation of the logarithms
	slowEvidence   = 10.0        // evidence, in standard deviations, at which a server has turned slow
	reportedFactor = 1.5         // a server that reports a higher factor for its work says that it is slow
	reportedTrust  = 0.1         // part of slowEvidence that is enough then: a node may see one answer of the server in 25 s
	maxCaution     = 8.0         // limit of the factor below
	cautionTime    = time.Minute // time in which the factor halves
	maxLatency     = 10 * time.Minute
)

// Usual is the usual latency of a service's servers that have no limit.
type Usual struct {
	n        int
	mean     float64 // of the logarithms of latencies in milliseconds
	variance float64
}

// Add adds the latency of an answer of a server without a limit.
func (u *Usual) Add(latency time.Duration) {
	u.n = min(u.n+1, 1<<30)
	x := logOf(latency)
	w := max(usualWeight, 1/float64(u.n))
	d := x - u.mean
	u.mean += w * d
	u.variance = (1 - w) * (u.variance + w*d*d)
}

// logOf returns the logarithm of the latency in milliseconds.
func logOf(latency time.Duration) float64 {
	return math.Log(max(0.1, float64(min(latency, maxLatency))/float64(time.Millisecond)))
}

// spread returns the standard deviation of the logarithms.
func (u *Usual) spread() float64 { return max(minSpread, math.Sqrt(u.variance)) }

// Latency returns the usual latency, zero if it is not known.
func (u *Usual) Latency() time.Duration {
	if u.n < minUsual {
		return 0
	}
	return time.Duration(math.Exp(u.mean) * float64(time.Millisecond))
}

// Server compares the answers of one start of a server with its service's and its own earlier ones.
// Its zero value knows none.
type Server struct {
	offset   float64   // mean logarithm of its latency relative to the usual one
	evidence float64   // cumulative sum of what exceeds a slow answer's bound
	caution  float64   // factor of the evidence that is needed; grows with each time it was found, as a server may be slow for some callers only
	foundAt  time.Time // when it was last found slow
}

// Outcome returns how an answer compares with the usual ones. Without usual ones it is good.
func (s *Server) Outcome(u *Usual, latency time.Duration) Outcome {
	o := Outcome{Cause: GoodAnswer, Latency: latency, Ratio: 1}
	if u.n < minUsual {
		return o
	}
	excess := logOf(latency) - u.mean - max(0, s.offset)
	o.Ratio = math.Exp(excess)
	switch {
	case excess > slowLog(u):
		o.Cause = SlowAnswer
	case excess > goodShare*slowLog(u):
		o.Cause = None
	}
	return o
}

// slowLog returns the logarithm of the factor from which on an answer is slow.
func slowLog(u *Usual) float64 { return max(minSlowLog, u.spread()) }

// Learn adds an answer to the server's own usual latency, so that a server that is always slower
// than others is compared with itself in the end.
func (s *Server) Learn(u *Usual, latency time.Duration) {
	if u.n >= minUsual {
		s.offset += offsetWeight * (logOf(latency) - u.mean - s.offset)
	}
}

// TurnedSlow adds an answer of a server without a limit, with the factor for its work that the
// server reports (1 is usual), and reports whether the server has turned slow. A report alone does
// not show that.
func (s *Server) TurnedSlow(now time.Time, u *Usual, latency time.Duration, reported float64) bool {
	if u.n < minUsual {
		return false
	}
	over := min(maxSampleLog, logOf(latency)-u.mean-max(0, s.offset)) - slowLog(u)
	s.evidence = max(0, s.evidence+over)
	need := slowEvidence * u.spread() * s.cautionAt(now)
	if ReportsSlow(reported) {
		need *= reportedTrust
	}
	if s.evidence < need {
		return false
	}
	s.caution, s.foundAt, s.evidence = min(maxCaution, 2*s.cautionAt(now)), now, 0
	return true
}

// ReportsSlow reports whether a server that reports the factor for its work says that it is slow.
func ReportsSlow(factor float64) bool { return factor > reportedFactor }

// cautionAt returns the factor of the evidence that is needed.
func (s *Server) cautionAt(now time.Time) float64 {
	if s.caution == 0 {
		return 1
	}
	return max(1, s.caution*math.Exp2(-float64(now.Sub(s.foundAt))/float64(cautionTime)))
}
