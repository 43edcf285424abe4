package front

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/replicas"
)

// Times of an outage of the store.
const (
	storeOutageAfter = 1 * time.Second         // time of consecutive failures that counts as an outage; entries that expire in an outage may be written again
	storeRecovery    = 3 * time.Second         // longest time after an outage in which entries that expired in it are written again
	expiredGrace     = 2500 * time.Millisecond // longest time for which a server is retained whose entry expired
	lateReturn       = 1 * time.Second         // time after that in which its entry may still return before other nodes are told that it is gone
)

// storeOutage tells whether entries that are missing in the store may have expired while it was
// away. It is used by one goroutine.
type storeOutage struct {
	recovery     time.Duration // time after an outage in which entries are written again
	failingSince time.Time     // when the first of the consecutive failed calls failed; zero if the last call succeeded
	until        time.Time     // end of the time in which a missing entry may have expired
	lastFailed   time.Time     // when the last failed call was sent
}

// newStoreOutage returns a storeOutage that has seen no call. The store is stable
// Bounds.ContactTimeout after an outage; entries that are removed from then on are gone.
func newStoreOutage(b platform.Bounds) *storeOutage {
	o := &storeOutage{recovery: storeRecovery}
	if b.ContactTimeout > 0 {
		o.recovery = min(o.recovery, b.ContactTimeout)
	}
	return o
}

// failed records that a call failed that was sent at a time. It reports whether it is the first
// of the consecutive ones.
func (o *storeOutage) failed(now, sent time.Time) bool {
	first := o.failingSince.IsZero()
	if first {
		o.failingSince = now
	}
	o.lastFailed = sent
	return first
}

// succeeded records that a call succeeded. It returns for how long calls had failed before.
func (o *storeOutage) succeeded(now time.Time) time.Duration {
	if o.failingSince.IsZero() {
		return 0
	}
	failing := now.Sub(o.failingSince)
	o.failingSince = time.Time{}
	return failing
}

// mayHaveExpired reports whether a missing entry may have expired in an outage. The outage may
// have ended as soon as the last failed call was sent, so the time for recovery counts from then,
// not from the first call that succeeded.
func (o *storeOutage) mayHaveExpired(now time.Time) bool {
	if !o.failingSince.IsZero() && now.Sub(o.failingSince) > storeOutageAfter {
		o.until = o.lastFailed.Add(o.recovery)
	}
	return now.Before(o.until)
}

// expiredServer is a server that this node dropped because its entry had expired.
type expiredServer struct {
	entry replicas.Entry
	at    time.Time // when it was dropped
}

// removeExpired drops the servers whose entries have not returned after an outage. Nodes that
// watch the entries tell the others a little later, since an entry may return late. The caller
// holds n.mu.
func (n *Node) removeExpired(now time.Time) {
	for _, e := range n.table.RemoveExpired(now) {
		level.Info(n.log).Log("event", "server_gone", "server", e.ID, "reason", "entry did not return after the store outage")
		n.expired = append(n.expired, expiredServer{e, now})
	}
	n.expired = slices.DeleteFunc(n.expired, func(x expiredServer) bool {
		if now.Sub(x.at) < lateReturn {
			return false
		}
		if _, returned := n.table.Entry(x.entry.ID); !returned && n.peers.successorPosition(now, "") < frequentWatchers {
			n.announceDeparture(x.entry, true)
		}
		return true
	})
}
