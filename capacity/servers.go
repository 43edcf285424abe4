package capacity

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// Parameters of the factors of servers.
const (
	evidenceHalfLife = 2 * time.Second // half-life of an observation's weight; a server that gets no requests counts as usual again after a few of them
	usualWeight      = 3.0             // weight of the assumption that a server takes the usual time
	maxWeight        = 12.0            // limit of the weight of all observations, so that the assumption gains as soon as they stop
	maxFactor        = 5.0             // limit of a factor and, inverted, of one below 1
	differsFrom      = 1.4             // factors nearer to 1 than this count as 1: responses differ that much by themselves
	differsFully     = 1.8             // factors that differ at least this much count as they are; between the two they are lowered
	lastingPeriod    = 4 * time.Second // time constant over which evidence has to last: many responses are slow at once where a long prompt holds up a batch
	failureHold      = 5 * time.Second // time after a failure in which responses do not count as faster than usual
)

// evidence is what the responses of one server show: logarithms of their times relative to the
// usual ones at the same load, weighted by age.
type evidence struct {
	at       time.Time // time of the last decay
	sum      float64   // weighted sum of the logarithms
	weight   float64   // sum of the weights
	failedAt time.Time // last failure; zero if none
}

// decay reduces the weights according to the time since the last decay.
func (v *evidence) decay(now time.Time) {
	if age := now.Sub(v.at); age > 0 && !v.at.IsZero() {
		f := math.Exp2(-float64(age) / float64(evidenceHalfLife))
		v.sum *= f
		v.weight *= f
	}
	v.at = now
}

// server returns the server's evidence, decayed to now.
func (e *Estimator) server(now time.Time, id Server) *evidence {
	v := e.servers[id]
	if v == nil {
		v = &evidence{}
		e.servers[id] = v
	}
	v.decay(now)
	return v
}

// observeServer records the logarithm of a response's time relative to the usual one.
func (e *Estimator) observeServer(now time.Time, id Server, ratio float64) {
	v := e.server(now, id)
	limit := math.Log(maxFactor)
	ratio = min(limit, max(-limit, ratio))
	if !v.failedAt.IsZero() && now.Sub(v.failedAt) < failureHold {
		ratio = max(0, ratio)
	}
	v.sum += ratio
	v.weight++
}

// Failed records that a request failed at the server. What it answers fast is not counted as
// fast for some time, and what was counted is dropped.
func (e *Estimator) Failed(now time.Time, id Server) {
	v := e.server(now, id)
	v.failedAt = now
	v.sum = max(0, v.sum)
}

// Factor returns how long the server's responses take relative to the usual ones of its service
// at the same load, 1 if that is unknown or does not differ clearly.
func (e *Estimator) Factor(id Server) float64 {
	if f, known := e.factors[id]; known {
		return f
	}
	return 1
}

// Differing returns the servers whose factor is not 1, with their factors.
func (e *Estimator) Differing() map[Server]float64 { return e.factors }

// refreshFactors derives the factors from the evidence of all nodes, and drops what has decayed. age
// is the time since the factors were last derived.
func (e *Estimator) refreshFactors(now time.Time, age time.Duration) {
	all := map[Server]evidence{}
	for id, v := range e.servers {
		if v.decay(now); v.weight < negligible && now.Sub(v.failedAt) >= failureHold {
			delete(e.servers, id)
			continue
		}
		all[id] = *v
	}
	e.addPeerEvidence(now, all)
	for id := range e.lasting {
		if _, observed := all[id]; !observed {
			delete(e.lasting, id)
		}
	}
	clear(e.factors)
	for id, v := range all {
		log := v.mean()
		e.lasting[id] += (log - e.lasting[id]) * (1 - math.Exp(-float64(age)/float64(lastingPeriod)))
		if f := factorOf(log, e.lasting[id]); f > 1 || f < 1 && (v.failedAt.IsZero() || now.Sub(v.failedAt) >= failureHold) {
			e.factors[id] = f
		}
	}
}

// negligible is a weight at which evidence is dropped.
const negligible = 0.05

// mean returns the mean logarithm of the evidence and the assumption that the server is usual.
func (v *evidence) mean() float64 {
	if v.weight <= 0 {
		return 0
	}
	weight := min(maxWeight, v.weight)
	return v.sum / v.weight * weight / (weight + usualWeight)
}

// factorOf returns the factor of a server by the present evidence and by its mean over
// lastingPeriod: the one nearer to 1, and 1 if they contradict each other.
func factorOf(log, lasting float64) float64 {
	if log*lasting <= 0 {
		return 1
	}
	if math.Abs(lasting) < math.Abs(log) {
		log = lasting
	}
	from, fully := math.Log(differsFrom), math.Log(differsFully)
	return math.Exp(log * min(1, max(0, (math.Abs(log)-from)/(fully-from))))
}

// differing returns the evidence of this node about the servers for which it differs most, up
// to most of them.
func (e *Estimator) differing(now time.Time, most int) []ServerReport {
	var reports []ServerReport
	for id, v := range e.servers {
		v.decay(now)
		if math.Abs(v.sum) >= minReportedSum {
			reports = append(reports, ServerReport{ID: id.ID, Start: id.Start, Sum: v.sum, Weight: v.weight})
		}
	}
	slices.SortFunc(reports, func(a, b ServerReport) int {
		return cmp.Or(cmp.Compare(math.Abs(b.Sum), math.Abs(a.Sum)), strings.Compare(a.ID, b.ID))
	})
	return reports[:min(most, len(reports))]
}

// minReportedSum is the least sum of logarithms that is told to other nodes: that of one response of 1.35 times the usual time.
const minReportedSum = 0.3
