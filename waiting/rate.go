package waiting

import (
	"maps"
	"math"
	"time"
)

// Parameters of the estimate of how fast waiting requests are sent.
const (
	rateWindow       = 2 * time.Second        // time constant of the send rate
	maxSaturationGap = 300 * time.Millisecond // requests for a model no longer saturate its servers if none found them full for longer than this
	holdMemory       = 64                     // number of latest requests over which the mean time at a server is taken
	minHolds         = 3                      // number of requests from which on that mean is used
	minRateShare     = 0.1                    // least part of the rate that a rank is taken to get; the rates of higher ranks vary
	maxExpectedWait  = time.Hour              // limit of the estimate where nearly nothing is sent
	maxRates         = 256                    // number of models with rates from which on outdated ones are removed
)

// margins are factors on the estimate of a wait, for a new request and for one that was accepted
// before. The rate varies, and an accepted request is to be served.
type margins struct{ accept, keep float64 }

// The rate of one of several nodes, or of one of several teams, varies more: with the first
// margins, 149 of 2,380 rejections in a simulated burst at 9 nodes came more than a second after
// the request, with the second 14 of 2,503.
var (
	marginsAlone  = margins{1.2, 0.8} // of a node and team that has its servers to itself
	marginsShared = margins{1.5, 0.6}
)

// rate is the rate at which requests for one model are sent, or leave the queue otherwise than
// rejected: an exponentially decaying count. When the servers become full, it starts with what
// they have completed so far.
type rate struct {
	decaying
	ranks     map[sender]*decaying // by rank
	teams     map[sender]*decaying // by rank and team
	fullSince time.Time            // when requests first found no free slot
	fullAt    time.Time            // when one last did
	shared    bool                 // the servers have requests of other nodes, or other teams or ranks are sent before some requests
	seeded    bool                 // count started with what the servers completed before fullSince
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

// seed sets the rate to how many requests this node is expected to send to the servers that have
// what is required, from its requests there and the time that they take, if that is known. Slots
// of other nodes become free as well, but not only for this node: it is expected to get about one
// more than it holds.
func (q *Queue) seed(now time.Time, l *rate, r *Request, s State) {
	l.fullSince, l.seeded = now, false
	use := s.Table.OccupancyOf(now, r.Requirement)
	own, others := float64(use.Own), float64(max(0, use.Total-use.Own))
	l.shared = others > 0
	h := q.holds[r.Requirement.Service]
	if h == nil || h.count < minHolds || h.seconds <= 0 {
		return
	}
	if perSecond := (own + min(others, 1+math.Sqrt(own))) / h.seconds; perSecond > 0 {
		l.seeded, l.count = true, perSecond*rateWindow.Seconds()
	}
}

// place is a request's place among the waiting requests for its model.
type place struct {
	ahead int // more urgent requests
	own   int // those of them that are of its team and rank
	teams int // teams that wait in its rank, its own included
}

// expectedWait estimates how long a request waits for a slot, from the number of requests ahead
// and the rate at which they are sent. The rate equals the capacity of the servers once they have
// been full for rateWindow. Until then, it starts with their capacity as known before; without
// that, expectedWait returns zero. Requests that come later and are sent first, of a higher rank
// or of teams below their shares, are taken into account as the rate at which such ones are sent.
func (q *Queue) expectedWait(now time.Time, r *Request, s State, p place) time.Duration {
	l := q.rateOf(now, keyOf(r))
	if l.fullAt.IsZero() || now.Sub(l.fullAt) > maxSaturationGap {
		q.seed(now, l, r, s)
	}
	l.fullAt = now
	if !l.seeded && now.Sub(l.fullSince) < rateWindow || l.count <= 0 || p.ahead == 0 {
		return 0
	}
	all := l.count
	higher, others := l.goneBefore(now, r)
	l.shared = l.shared || higher+others > minRateShare*all
	left := max(all-higher, minRateShare*all)
	left = max(left-others, left/float64(max(1, p.teams)))
	windows := max(float64(p.ahead)/all, float64(p.own)/left)
	return time.Duration(min(windows*rateWindow.Seconds(), maxExpectedWait.Seconds()) * float64(time.Second))
}

// margin returns the factor on the estimate for the request.
func (q *Queue) margin(now time.Time, r *Request) float64 {
	m := marginsAlone
	if q.rateOf(now, keyOf(r)).shared {
		m = marginsShared
	}
	if r.accepted {
		return m.keep
	}
	return m.accept
}

// sender identifies the requests of a team in a rank.
type sender struct {
	teamPriority, priority int
	team                   string
}

// senderOf returns the request's sender. An empty team stands for all of the rank.
func senderOf(r *Request, team string) sender { return sender{r.TeamPriority, r.Priority, team} }

// decaying is an exponentially decaying count.
type decaying struct {
	at    time.Time
	count float64
}

// value returns the count as of now.
func (d *decaying) value(now time.Time) float64 {
	if age := now.Sub(d.at); age > 0 {
		d.count *= math.Exp(-float64(age) / float64(rateWindow))
		d.at = now
	}
	return d.count
}

// gone counts a request that is sent, or whose caller no longer waits: those behind it move up.
func (q *Queue) gone(now time.Time, r *Request) {
	l := q.rateOf(now, keyOf(r))
	l.count++
	l.add(now, &l.ranks, senderOf(r, ""))
	l.add(now, &l.teams, senderOf(r, r.Team))
}

// add counts a request in one of the rate's counts.
func (l *rate) add(now time.Time, counts *map[sender]*decaying, key sender) {
	if *counts == nil {
		*counts = map[sender]*decaying{}
	}
	d := (*counts)[key]
	if d == nil {
		d = &decaying{at: now}
		(*counts)[key] = d
	}
	d.count = d.value(now) + 1
}

// goneBefore returns how many requests of higher ranks, and of other teams in the request's rank,
// are gone.
func (l *rate) goneBefore(now time.Time, r *Request) (higher, others float64) {
	for key, d := range l.ranks {
		switch {
		case key.teamPriority < r.TeamPriority, key.teamPriority == r.TeamPriority && key.priority < r.Priority:
			higher += d.value(now)
		case key.teamPriority == r.TeamPriority && key.priority == r.Priority:
			others = d.value(now)
		}
	}
	if own := l.teams[senderOf(r, r.Team)]; own != nil {
		others -= own.value(now)
	}
	return higher, max(0, others)
}

// rateOf returns the rate of requests for a model as of now.
func (q *Queue) rateOf(now time.Time, key queueKey) *rate {
	l := q.rates[key]
	if l == nil {
		if len(q.rates) >= maxRates {
			q.dropOutdatedRates(now)
		}
		l = &rate{decaying: decaying{at: now}}
		q.rates[key] = l
	}
	l.value(now)
	return l
}

// dropOutdatedRates removes the rates of models that no request was for lately.
func (q *Queue) dropOutdatedRates(now time.Time) {
	for key, l := range q.rates {
		if now.Sub(l.at) > 2*rateWindow {
			delete(q.rates, key)
			continue
		}
		maps.DeleteFunc(l.teams, func(_ sender, d *decaying) bool { return now.Sub(d.at) > 5*rateWindow })
	}
}
