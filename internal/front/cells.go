package front

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/leadership"
	"github.com/redwingnotch/redwingnotch/loader"
	"github.com/redwingnotch/redwingnotch/platform"
)

// leadershipPrefix begins the name of the store object that records which node
// leads a cell. The cell's zone follows.
const leadershipPrefix = "loads-"

// peerDiscoveryDelay is the time after the start in which nodes discover each
// other before one of them acquires leadership of a cell.
const peerDiscoveryDelay = 500 * time.Millisecond

// cell holds this node's state of the backend servers of one availability zone.
// Guarded by Node.mu.
type cell struct {
	zone       string
	leadership *leadership.Core
	loaders    map[string]*loader.Core // by service
	leading    bool                    // this node led the cell when last checked

	resignedToken uint64 // token of the newest published resignation; zero if there was none
	// writesFailingSince is when the first of the consecutive failed writes of the
	// leadership record was sent; zero if the newest write succeeded.
	writesFailingSince time.Time
}

func newCell(now time.Time, zone string, s platform.Settings) *cell {
	return &cell{
		zone:       zone,
		leadership: leadership.New(now, s.IP, !s.FirstStart, leadership.DefaultSettings(s.Bounds.OrderLease)),
		loaders:    map[string]*loader.Core{},
	}
}

// successorPosition returns how many live nodes come before this one in the order of
// succession to the cell's leadership: nodes on larger VMs first, then those in
// the cell's zone. With an empty zone, the nodes' zones have no effect.
func (p *peers) successorPosition(now time.Time, zone string) int {
	known := p.positions[zone]
	if age := now.Sub(known.at); known.at.IsZero() || age < 0 || age >= positionMaxAge {
		known = successorPosition{at: now, position: p.countSuccessors(now, zone)}
		p.positions[zone] = known
	}
	return known.position
}

// positionMaxAge is for how long a position is used. Each is asked for with each tick, and
// depends on all nodes.
const positionMaxAge = 100 * time.Millisecond

// successorPosition is a position in the order of succession as of a time.
type successorPosition struct {
	at       time.Time
	position int
}

// countSuccessors returns the position that successorPosition returns, from all peers.
func (p *peers) countSuccessors(now time.Time, zone string) int {
	own := successionKey{vmClass(p.settings), p.settings.Zone != zone, xxhash.Sum64String(p.settings.IP + "/" + zone)}
	n := 0
	for ip, other := range p.byIP {
		key := successionKey{other.VMClass, other.Zone != zone, xxhash.Sum64String(ip + "/" + zone)}
		if other.alive(now) && !other.Stopping && key.before(own) {
			n++
		}
	}
	return n
}

// successionKey orders nodes by succession.
type successionKey struct {
	vmClass   int    // class of the node's VM, see the function vmClass
	otherZone bool   // the node is not in the cell's zone
	hash      uint64 // breaks ties, differently in each cell
}

func (k successionKey) before(other successionKey) bool {
	if k.vmClass != other.vmClass {
		return k.vmClass > other.vmClass
	}
	if k.otherZone != other.otherZone {
		return other.otherZone
	}
	return k.hash < other.hash
}

// reconcileLeadership starts the next read or write of the cell's leadership
// record, if one is due. It steps down if another node has reached the store
// since this node's writes began to fail. The caller holds n.mu.
func (n *Node) reconcileLeadership(ctx context.Context, now time.Time, c *cell) {
	if era, known := n.eras.Current(); known {
		c.leadership.SawEra(now, era)
	}
	if now.Sub(n.peers.startedAt) < peerDiscoveryDelay {
		return
	}
	if !c.writesFailingSince.IsZero() && n.peers.storeContactAfter(now, c.writesFailingSince) {
		c.leadership.StepDown(now)
	}
	action := c.leadership.Tick(now, leadership.Peers{
		LeaderAlive:       n.peers.leaderAlive(now, c.zone),
		SuccessorPosition: n.peers.successorPosition(now, c.zone),
		Eligible:          !n.stopping.Load(),
	})
	n.updateLeading(now, c)
	switch action.Kind {
	case leadership.Read:
		go n.readLeadership(ctx, c)
	case leadership.Write:
		go n.writeLeadership(ctx, c, action)
	}
}

// updateLeading handles the gain or loss of the cell's leadership. The caller
// holds n.mu.
func (n *Node) updateLeading(now time.Time, c *cell) {
	leading := c.leadership.Leading(now)
	if leading == c.leading {
		return
	}
	c.leading = leading
	level.Info(n.log).Log("event", "tenure", "cell", c.zone, "holding", leading, "token", c.leadership.Token(), "valid_ms", c.leadership.ValidFor(now).Milliseconds())
	if leading {
		// The demand is retained. The servers' state is read again, because another
		// node may have sent orders since.
		for _, core := range c.loaders {
			core.Reset(now)
		}
	}
	n.publish(now, sendAllNow)
}

// recordStoreContact records a response of the store to a call that was sent at the
// given time and that the store may have held for up to the wait.
func (n *Node) recordStoreContact(sent time.Time, wait time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.storeResponded(bootclock.Now(), sent, wait)
}

// storeResponded records a response of the store that is handled now. It may have
// arrived long before, while this node was suspended, so it shows contact only until
// the latest time at which the call could have ended. The caller holds n.mu.
func (n *Node) storeResponded(now, sent time.Time, wait time.Duration) {
	contact := sent.Add(wait + storeTimeout)
	if now.Before(contact) {
		contact = now
	}
	if contact.After(n.lastStoreContact) {
		n.lastStoreContact = contact
	}
}

// readLeadership reads the cell's leadership record.
func (n *Node) readLeadership(ctx context.Context, c *cell) {
	sent := bootclock.Now()
	object, err := n.store.Get(ctx, platform.KindLease, leadershipPrefix+c.zone)
	var record leadership.Record
	switch {
	case errors.Is(err, platform.ErrNotFound):
		err = nil
	case err == nil:
		record, err = leadership.Decode(object.Value)
	}
	if err != nil {
		level.Warn(n.log).Log("event", "tenure_unread", "cell", c.zone, "err", err)
	}
	now := bootclock.Now()
	era, known := n.eras.Current()
	if err == nil && object.Version != 0 && platform.EraOf(object.Version) < era {
		err = platform.ErrEarlierEra
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if known {
		c.leadership.SawEra(now, era)
	}
	c.leadership.ReadDone(now, record, object.Version, err)
	if err != nil {
		return
	}
	n.storeResponded(now, sent, 0)
	if record.Holder != "" {
		// A node none of whose seeds is alive may learn of the leader only here.
		n.peers.add(now, record.Holder)
	}
}

// writeLeadership writes the cell's leadership record.
func (n *Node) writeLeadership(ctx context.Context, c *cell, a leadership.Action) {
	sent := bootclock.Now()
	version, err := n.putLeadership(ctx, c, a)
	result := writeResult(err)
	now := bootclock.Now()
	era, known := n.eras.Current()
	n.mu.Lock()
	defer n.mu.Unlock()
	if known {
		c.leadership.SawEra(now, era)
	}
	n.logWrite(now, sent, c, a.Record, version, err)
	switch {
	case result == leadership.Written || result == leadership.Conflict:
		n.storeResponded(now, sent, 0)
		c.writesFailingSince = time.Time{}
	case c.writesFailingSince.IsZero() && !errors.Is(err, platform.ErrEarlierEra):
		c.writesFailingSince = sent
	}
	c.leadership.WriteDone(now, a.Record, version, result)
}

// putLeadership sends the write of a leadership record and returns the object's new
// version.
func (n *Node) putLeadership(ctx context.Context, c *cell, a leadership.Action) (uint64, error) {
	value, err := a.Record.Encode()
	if err != nil {
		return 0, err
	}
	writer := n.settings.IP + "/" + strconv.FormatUint(a.Record.Renewal, 10)
	return n.store.Put(ctx, platform.KindLease, leadershipPrefix+c.zone, value, a.Version, writer)
}

// writeResult returns the outcome of a write that ended with the error.
func writeResult(err error) leadership.WriteResult {
	switch {
	case err == nil:
		return leadership.Written
	case errors.Is(err, platform.ErrConflict) && errors.Is(err, platform.ErrEarlierEra):
		return leadership.Failed // it says nothing about the record in the present era
	case errors.Is(err, platform.ErrConflict):
		return leadership.Conflict
	case errors.Is(err, platform.ErrUnknown):
		return leadership.Unknown
	}
	return leadership.Failed
}

// logWrite logs the end of a write of the leadership record. The caller holds n.mu.
func (n *Node) logWrite(now, sent time.Time, c *cell, r leadership.Record, version uint64, err error) {
	tookMS := now.Sub(sent).Milliseconds()
	if err != nil {
		level.Warn(n.log).Log("event", "tenure_unwritten", "cell", c.zone, "token", r.Token, "renewal", r.Renewal, "took_ms", tookMS, "err", err)
		return
	}
	level.Info(n.log).Log("event", "tenure_written", "cell", c.zone, "token", r.Token, "renewal", r.Renewal, "revision", version,
		"took_ms", tookMS, "holding", c.leadership.Leading(now))
}

// leaderState returns what this node publishes about a cell's leadership, or nil.
// A leader publishes its plans; a former leader publishes its resignation. The caller
// holds n.mu.
func (n *Node) leaderState(now time.Time, c *cell) *leaderState {
	if c.leadership.Leading(now) {
		s := &leaderState{Token: c.leadership.Token(), Leading: true, LoadCosts: map[string]map[string]float64{}, ExpectedReady: map[string]int64{}}
		for service, core := range c.loaders {
			for model, at := range core.ExpectedReady() {
				s.ExpectedReady[model] = at.Sub(now).Milliseconds()
			}
			if costs := core.LoadCosts(now); len(costs) > 0 {
				s.LoadCosts[service] = costs
			}
		}
		return s
	}
	resignation, resigned := c.leadership.Resignation(now)
	if !resigned {
		return nil
	}
	if c.resignedToken != resignation.Token {
		c.resignedToken = resignation.Token
		level.Info(n.log).Log("event", "tenure_resigned", "cell", c.zone, "token", resignation.Token, "valid_ms", c.leadership.ValidFor(now).Milliseconds())
	}
	s := &leaderState{Token: resignation.Token, OrderAgeMS: map[string]int64{}}
	for server, age := range resignation.OrderAges {
		if age < orderAgesPublishedFor {
			s.OrderAgeMS[server] = age.Milliseconds()
		}
	}
	return s
}

// orderAgesPublishedFor is for how long after an order a former leader publishes
// its age. It must exceed Bounds.OrderLease, within which a successor needs the age
// to decide when it may order the server.
const orderAgesPublishedFor = 10 * time.Second
