package waiting

import (
	"math"
	"time"
)

// Parameters of the estimate of how fast waiting requests are sent.
const (
	rateWindow       = 2 * time.Second        // time constant of the send rate
	maxSaturationGap = 300 * time.Millisecond // requests for a model no longer saturate its servers if none found them full for longer than this
	holdMemory       = 64                     // number of latest requests over which the mean time at a server is taken
	minHolds         = 3                      // number of requests from which on that mean is used
	maxRates         = 256                    // number of models with rates from which on outdated ones are removed
)

// rate is the rate at which requests for one model are sent: an exponentially decaying count. When
// the servers become full, it starts with what they have completed so far.
type rate struct {
	at        time.Time // time of the last decay
	count     float64
	fullSince time.Time // when requests first found no free slot
	fullAt    time.Time // when one last did
	seeded    bool      // count started with what the servers completed before fullSince
}

// hold is the mean time that requests of a service occupy a slot.
type hold struct{ seconds, count float64 }

// Ended records that a request that a server ran has occupied a slot for the duration.
func (q *Queue) Ended(service string, held time.Duration) {
	h := q.holds[service]
	if h == nil {
		h = &hold{}
		q.holds[service] = h
	}
	h.count = min(h.count+1, holdMemory)
	h.seconds += (held.Seconds() - h.seconds) / h.count
}

// capacity estimates how many requests per second this node can send to the servers that have
// what is required, from its requests there and the time that they take, or returns false if that
// is unknown. Slots of other nodes become free as well, but not only for this node: it is
// expected to get about one more than it holds.
func (q *Queue) capacity(now time.Time, r *Request, s State) (float64, bool) {
	h := q.holds[r.Requirement.Service]
	if h == nil || h.count < minHolds || h.seconds <= 0 {
		return 0, false
	}
	use := s.Table.OccupancyOf(now, r.Requirement)
	own := float64(use.Own)
	others := max(0, float64(use.Total-use.Own))
	perSecond := (own + min(others, 1+math.Sqrt(own))) / h.seconds
	return perSecond, perSecond > 0
}

// expectedWait estimates how long a request waits for a slot, from the number of requests ahead
// and the rate at which they are sent. The rate equals the capacity of the servers once they have
// been full for rateWindow. Until then, it starts with their capacity as known before; without
// that, expectedWait returns zero.
func (q *Queue) expectedWait(now time.Time, r *Request, s State, ahead int) time.Duration {
	l := q.rateOf(now, keyOf(r))
	if l.fullAt.IsZero() || now.Sub(l.fullAt) > maxSaturationGap {
		perSecond, known := q.capacity(now, r, s)
		if l.seeded = known; known {
			l.count = perSecond * rateWindow.Seconds()
		}
		l.fullSince = now
	}
	l.fullAt = now
	if !l.seeded && now.Sub(l.fullSince) < rateWindow || l.count <= 0 {
		return 0
	}
	perSecond := l.count / rateWindow.Seconds()
	return time.Duration(min(float64(ahead)/perSecond, maxExpectedWait.Seconds()) * float64(time.Second))
}

// maxExpectedWait limits the estimate where nearly nothing is sent.
const maxExpectedWait = time.Hour

// rateOf returns the rate of requests for a model as of now.
func (q *Queue) rateOf(now time.Time, key queueKey) *rate {
	l := q.rates[key]
	if l == nil {
		if len(q.rates) >= maxRates {
			q.dropOutdatedRates(now)
		}
		l = &rate{at: now}
		q.rates[key] = l
	}
	if age := now.Sub(l.at); age > 0 {
		l.count *= math.Exp(-float64(age) / float64(rateWindow))
	}
	l.at = now
	return l
}

// dropOutdatedRates removes the rates of models that no request was for lately.
func (q *Queue) dropOutdatedRates(now time.Time) {
	for key, l := range q.rates {
		if now.Sub(l.at) > 2*rateWindow {
			delete(q.rates, key)
		}
	}
}
