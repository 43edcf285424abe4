package front

import (
	"context"
	"errors"
	"maps"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/loader"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/tenure"
)

// tenurePrefix begins the name of the object that says which node orders the
// backend servers of a cell.
const tenurePrefix = "loads-"

// startSettle is the time after the start in which nodes find each other before
// one of them takes a tenure.
const startSettle = 500 * time.Millisecond

// cell is the backend servers of one availability zone, as far as this node
// orders them. Guarded by Node.mu.
type cell struct {
	zone    string
	tenure  *tenure.Core
	loaders map[string]*loader.Core // by service
	held    bool                    // the tenure, when last noted

	token    uint64               // of the newest order
	ordering int                  // orders whose answer is awaited
	ordered  map[string]time.Time // by server: when the newest order had ended
	// failedFrom is when the first of the newest writes of the record that failed
	// was sent; zero if the newest succeeded.
	failedFrom time.Time
}

func newCell(now time.Time, zone string, s platform.Settings) *cell {
	return &cell{
		zone:    zone,
		tenure:  tenure.New(now, s.IP, !s.FirstStart, tenure.DefaultSettings(s.Bounds.OrderLease)),
		loaders: map[string]*loader.Core{},
		ordered: map[string]time.Time{},
	}
}

// rank returns how many live nodes come before this one as the cell's next
// holder: those on large VMs first, then those of the cell's zone.
func (p *peers) rank(now time.Time, zone string) int {
	own := successorKey{sizeClass(p.settings), p.settings.Zone != zone, xxhash.Sum64String(p.settings.IP + "/" + zone)}
	n := 0
	for ip, other := range p.byIP {
		key := successorKey{other.Class, other.Zone != zone, xxhash.Sum64String(ip + "/" + zone)}
		if other.alive(now) && !other.Leaving && key.before(own) {
			n++
		}
	}
	return n
}

type successorKey struct {
	class int  // of the VM's size
	away  bool // in another zone
	hash  uint64
}

func (k successorKey) before(other successorKey) bool {
	if k.class != other.class {
		return k.class > other.class
	}
	if k.away != other.away {
		return other.away
	}
	return k.hash < other.hash
}

// tendTenure carries out the next action of a cell's tenure. n.mu is held.
func (n *Node) tendTenure(ctx context.Context, now time.Time, c *cell) {
	if now.Sub(n.peers.began) < startSettle {
		return
	}
	if !c.failedFrom.IsZero() && n.peers.storeAfter(now, c.failedFrom) {
		c.tenure.StepDown(now)
	}
	action := c.tenure.Tick(now, tenure.Peers{
		HolderAlive: n.peers.holderAlive(now, c.zone),
		Rank:        n.peers.rank(now, c.zone),
		MayHold:     !n.leaving.Load(),
	})
	n.noteTenure(now, c)
	switch action.Kind {
	case tenure.Read:
		go n.readTenure(ctx, c)
	case tenure.Write:
		go n.writeTenure(ctx, c, action)
	}
}

// noteTenure acts on changes of a tenure. n.mu is held.
func (n *Node) noteTenure(now time.Time, c *cell) {
	held := c.tenure.Holding(now)
	if held == c.held {
		return
	}
	c.held = held
	level.Info(n.log).Log("event", "tenure", "cell", c.zone, "holding", held, "token", c.tenure.Token())
	if held {
		// Demand is kept, but what servers hold is learnt anew.
		for _, core := range c.loaders {
			core.Restart(now)
		}
	}
	n.tell(now, allAtOnce)
}

// sawStore notes an answer of the store.
func (n *Node) sawStore() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.storeAt = bootclock.Now()
}

func (n *Node) readTenure(ctx context.Context, c *cell) {
	object, err := n.store.Get(ctx, platform.KindLease, tenurePrefix+c.zone)
	var record tenure.Record
	switch {
	case errors.Is(err, platform.ErrNotFound):
		err = nil
	case err == nil:
		record, err = tenure.Decode(object.Value)
	}
	if err != nil {
		level.Warn(n.log).Log("event", "tenure_unread", "cell", c.zone, "err", err)
	}
	now := bootclock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	c.tenure.ReadDone(now, record, object.Version, err)
	if err != nil {
		return
	}
	n.storeAt = now
	if record.Holder != "" {
		// The holder may be unknown to a node whose seeds are all gone.
		n.peers.know(now, record.Holder)
	}
}

func (n *Node) writeTenure(ctx context.Context, c *cell, a tenure.Action) {
	value, err := a.Record.Encode()
	if err != nil {
		level.Error(n.log).Log("event", "tenure_unwritten", "cell", c.zone, "err", err)
		return
	}
	sent := bootclock.Now()
	writer := n.settings.IP + "/" + strconv.FormatUint(a.Record.Renewal, 10)
	version, err := n.store.Put(ctx, platform.KindLease, tenurePrefix+c.zone, value, a.Version, writer)
	result := tenure.Written
	switch {
	case err == nil:
	case errors.Is(err, platform.ErrConflict):
		result = tenure.Conflict
	case errors.Is(err, platform.ErrUnknown):
		result = tenure.Uncertain
	default:
		result = tenure.Failed
	}
	if err != nil {
		level.Warn(n.log).Log("event", "tenure_unwritten", "cell", c.zone, "token", a.Record.Token, "err", err)
	}
	now := bootclock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case result == tenure.Written || result == tenure.Conflict:
		n.storeAt, c.failedFrom = now, time.Time{}
	case c.failedFrom.IsZero():
		c.failedFrom = sent
	}
	c.tenure.WriteDone(now, a.Record, version, result)
}

// holderState returns what this node says of a cell's tenure, or nil. n.mu is held.
func (n *Node) holderState(now time.Time, c *cell) *holderState {
	if c.tenure.Holding(now) {
		s := &holderState{Token: c.tenure.Token(), Holding: true, Bids: map[string]map[string]float64{}, Planned: map[string]int64{}}
		for service, core := range c.loaders {
			for model, at := range core.Planned() {
				s.Planned[model] = at.Sub(now).Milliseconds()
			}
			if bids := core.Bids(now); len(bids) > 0 {
				s.Bids[service] = bids
			}
		}
		return s
	}
	if c.token == 0 || c.ordering > 0 || !c.tenure.MayTell(now) {
		return nil
	}
	s := &holderState{Token: c.token, SinceMS: map[string]int64{}}
	ordered := maps.Clone(c.tenure.Inherited())
	if ordered == nil {
		ordered = map[string]time.Time{}
	}
	for server, at := range c.ordered {
		if at.After(ordered[server]) {
			ordered[server] = at
		}
	}
	for server, at := range ordered {
		if since := now.Sub(at); since < tellOrdersFor {
			s.SinceMS[server] = since.Milliseconds()
		}
	}
	return s
}

// tellOrdersFor is for how long a node that held a tenure tells when it ordered a
// server: longer than any bound on two holders.
const tellOrdersFor = 10 * time.Second
