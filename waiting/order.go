package waiting

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/fairshare"
)

// A queue holds its requests in ranks, and those of a rank in flows: the requests of one team for
// one model. Ranks are served in order. Within a rank, the flow whose next request has the lowest
// virtual start is next, see package fairshare; unless several teams wait, the one whose next
// request has the earliest deadline is.

// rank holds the waiting requests of one rank.
type rank struct {
	team, route int // priorities
	flows       []*flow
	clocks      map[string]*fairshare.Clock // by service
	cursors     []cursor                    // buffer of walk
}

// flow holds the waiting requests of one team for one model, in order.
type flow struct {
	name  string // of the team
	rank  *rank
	lane  *lane
	clock *fairshare.Clock
	team  *fairshare.Team
	items []item
	cost  float64 // sum of the items' costs
	kept  int     // number of requests before the cursor that stay in the queue
}

// item is a waiting request.
type item struct {
	cost    float64 // tokens that it counts in its team's share
	request *Request
}

// queueKey groups requests that compete for the same servers.
type queueKey struct{ service, model string }

// keyOf returns the request's queueKey.
func keyOf(r *Request) queueKey { return queueKey{r.Requirement.Service, r.Requirement.Model} }

// lane holds the flows of all ranks and teams for one model.
type lane struct {
	key   queueKey
	flows []*flow
	ahead int // requests that Dispatch has decided on in this pass and that still wait
}

// cost returns the tokens that the request counts in its team's share.
func (r *Request) cost() float64 { return max(1, r.Cost) }

// compareUrgency orders the requests of a flow by deadline, then by key.
func compareUrgency(a, b *Request) int {
	if c := a.Deadline.Compare(b.Deadline); c != 0 {
		return c
	}
	return cmp.Compare(a.Key, b.Key)
}

// compare returns a negative number if the rank is served before that of the request, and zero if
// it is the request's.
func (k *rank) compare(r *Request) int {
	if c := cmp.Compare(k.team, r.TeamPriority); c != 0 {
		return c
	}
	return cmp.Compare(k.route, r.Priority)
}

// rankOf returns the request's rank, which is created if there is none.
func (q *Queue) rankOf(r *Request) *rank {
	at, found := slices.BinarySearchFunc(q.ranks, r, (*rank).compare)
	if !found {
		q.ranks = slices.Insert(q.ranks, at, &rank{team: r.TeamPriority, route: r.Priority, clocks: map[string]*fairshare.Clock{}})
	}
	return q.ranks[at]
}

// clock returns the clock of the teams that compete in the rank for servers of the service.
func (k *rank) clock(service string) *fairshare.Clock {
	c := k.clocks[service]
	if c == nil {
		c = fairshare.NewClock()
		k.clocks[service] = c
	}
	return c
}

// flowOf returns the lane's flow of the rank and team, or nil.
func (l *lane) flowOf(k *rank, team string) *flow {
	for _, f := range l.flows {
		if f.rank == k && f.name == team {
			return f
		}
	}
	return nil
}

// insert queues a request.
func (q *Queue) insert(now time.Time, r *Request) {
	k, key := q.rankOf(r), keyOf(r)
	l := q.lanes[key]
	if l == nil {
		l = &lane{key: key}
		q.lanes[key] = l
	}
	f := l.flowOf(k, r.Team)
	if f == nil {
		clock := k.clock(key.service)
		f = &flow{name: r.Team, rank: k, lane: l, clock: clock, team: clock.Team(now, r.Team)}
		l.flows = append(l.flows, f)
		k.flows = append(k.flows, f)
	}
	at, _ := f.find(r)
	f.items = slices.Insert(f.items, at, item{r.cost(), r})
	f.cost += r.cost()
	q.count++
	f.clock.Join(now, f.team)
}

// find returns the request's position in the flow.
func (f *flow) find(r *Request) (int, bool) {
	return slices.BinarySearchFunc(f.items, r, func(i item, r *Request) int { return compareUrgency(i.request, r) })
}

// left records that a request of the flow leaves the queue.
func (q *Queue) left(f *flow, i item) {
	f.clock.Leave(f.team)
	f.cost -= i.cost
	q.count--
}

// dropEmpty removes the rank's flows without requests.
func (q *Queue) dropEmpty(k *rank) {
	k.flows = slices.DeleteFunc(k.flows, func(f *flow) bool {
		if len(f.items) > 0 {
			return false
		}
		l := f.lane
		l.flows = slices.DeleteFunc(l.flows, func(other *flow) bool { return other == f })
		if len(l.flows) == 0 {
			delete(q.lanes, l.key)
		}
		return true
	})
}

// placeOf returns the place of a new request among the waiting ones.
func (q *Queue) placeOf(now time.Time, r *Request) place {
	l := q.lanes[keyOf(r)]
	if l == nil {
		return place{}
	}
	k := q.rankOf(r)
	clock := k.clock(r.Requirement.Service)
	own := l.flowOf(k, r.Team)
	p, start, fair := place{teams: clock.Waiting()}, 0.0, clock.OtherWaits(r.Team)
	if fair {
		start = clock.Start(clock.Team(now, r.Team))
	}
	if own == nil {
		p.teams++
	} else {
		p.own, _ = own.find(r)
		p.ahead = p.own
		for _, i := range own.items[:p.own] {
			start += i.cost
		}
	}
	for _, f := range l.flows {
		switch {
		case f == own:
		case f.rank != k:
			if f.rank.compare(r) < 0 {
				p.ahead += len(f.items)
			}
		case fair:
			p.ahead += f.before(start, r)
		default:
			position, _ := f.find(r)
			p.ahead += position
		}
	}
	return p
}

// before returns how many of the flow's requests are to be sent before one of another team in the
// same rank with the virtual start.
func (f *flow) before(start float64, r *Request) int {
	at := f.clock.Start(f.team)
	last := f.items[len(f.items)-1]
	switch lastStart := at + f.cost - last.cost; {
	case lastStart < start, lastStart == start && compareUrgency(last.request, r) < 0:
		return len(f.items)
	case lastStart == start:
		return len(f.items) - 1
	}
	for n, i := range f.items {
		if at > start || at == start && compareUrgency(i.request, r) > 0 {
			return n
		}
		at += i.cost
	}
	return len(f.items)
}

// cursor is a position in a flow during a walk.
type cursor struct {
	start    float64 // virtual start of the next request; zero if only its deadline counts
	progress float64 // tokens of the flow's requests before it that still wait
	flow     *flow
	next     int
}

// request returns the cursor's next request.
func (c *cursor) request() *Request { return c.flow.items[c.next].request }

// precedes reports whether c's next request is to be sent before d's.
func (c *cursor) precedes(d *cursor) bool {
	if c.start != d.start {
		return c.start < d.start
	}
	return compareUrgency(c.request(), d.request()) < 0
}

// update sets the virtual start of the next request.
func (c *cursor) update() {
	c.start = 0
	if c.flow.clock.Waiting() > 1 {
		c.start = c.flow.clock.Start(c.flow.team) + c.progress
	}
}

// walk calls visit with each request of the rank, in order. visit reports whether the request
// stays in the queue; walk does not remove the others.
func (k *rank) walk(visit func(f *flow, i item) bool) {
	h := k.cursors[:0]
	for _, f := range k.flows {
		f.kept = 0
		c := cursor{flow: f}
		c.update()
		h = append(h, c)
	}
	for i := len(h)/2 - 1; i >= 0; i-- {
		sink(h, i)
	}
	for len(h) > 0 {
		c := &h[0]
		// A request of the team that was sent from another flow delays this one.
		before := c.start
		if c.update(); c.start > before {
			sink(h, 0)
			continue
		}
		i := c.flow.items[c.next]
		if visit(c.flow, i) {
			c.progress += i.cost
			c.flow.kept++
		}
		if c.next++; c.next == len(c.flow.items) {
			h[0] = h[len(h)-1]
			h = h[:len(h)-1]
		} else {
			c.update()
		}
		sink(h, 0)
	}
	k.cursors = h[:0]
	clear(k.cursors[:cap(k.cursors)])
}

// sink restores the order of a heap after its cursor at i has moved to a later request.
func sink(h []cursor, i int) {
	for {
		first := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h); child++ {
			if h[child].precedes(&h[first]) {
				first = child
			}
		}
		if first == i {
			return
		}
		h[i], h[first] = h[first], h[i]
		i = first
	}
}

// each calls visit with each waiting request, in order.
func (q *Queue) each(visit func(r *Request)) {
	for _, k := range q.ranks {
		k.walk(func(_ *flow, i item) bool { visit(i.request); return true })
	}
}

// CacheWaiters returns the number of requests that wait for room in a KV cache, by service; nil if
// there are none.
func (q *Queue) CacheWaiters() map[string]int {
	var waiting map[string]int
	for _, l := range q.lanes {
		for _, f := range l.flows {
			for _, i := range f.items {
				if i.request.wait.Cause != NoCache {
					continue
				}
				if waiting == nil {
					waiting = map[string]int{}
				}
				waiting[l.key.service]++
			}
		}
	}
	return waiting
}

// Cancel removes a request whose caller no longer waits, and returns why it waited.
func (q *Queue) Cancel(now time.Time, key uint64) Wait {
	for _, k := range q.ranks {
		for _, f := range k.flows {
			at := slices.IndexFunc(f.items, func(i item) bool { return i.request.Key == key })
			if at < 0 {
				continue
			}
			i := f.items[at]
			f.items = slices.Delete(f.items, at, at+1)
			q.left(f, i)
			q.dropEmpty(k)
			q.gone(now, i.request)
			return i.request.wait
		}
	}
	return Wait{}
}
