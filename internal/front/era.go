package front

import (
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/time/rate"

	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/internal/telemetry"
	"github.com/redwingnotch/redwingnotch/platform"
)

// Rate of log lines about answers of no known era.
const (
	oddErasInterval = 5 * time.Second
	oddErasBurst    = 3
)

// storeEras is what a node does when the store has come back from an older copy.
type storeEras struct {
	*platform.Eras
	roseAt atomic.Pointer[time.Time] // when the latest rise was seen; nil if none was
}

// newStoreEras returns the eras of a store that has not answered yet. rose is called for each rise.
func newStoreEras(logger log.Logger, metrics *telemetry.Metrics, rose func(platform.EraRise)) *storeEras {
	e, lines := &storeEras{}, rate.NewLimiter(rate.Every(oddErasInterval), oddErasBurst)
	e.Eras = platform.NewEras(func(r platform.EraRise) {
		now := bootclock.Now()
		e.roseAt.Store(&now)
		metrics.StoreEraRose()
		rose(r)
	}, func(header string) {
		metrics.StoreEraUnknown()
		if lines.Allow() {
			level.Warn(logger).Log("event", "store_era_unknown", "header", header)
		}
	})
	return e
}

// entriesMayReturn reports whether an entry that is missing in the store may be one that it has lost, and
// that its server writes again.
func (e *storeEras) entriesMayReturn(now time.Time, b platform.Bounds) bool {
	roseAt := e.roseAt.Load()
	return roseAt != nil && now.Sub(*roseAt) < newStoreOutage(b).recovery
}

// eraRose handles that the store has come back from an older copy. The leaders' records are handled by
// package leadership, what is read again by the era of the versions.
func (n *Node) eraRose(r platform.EraRise) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refusals.lost = true // its keepers write it again
	level.Warn(n.log).Log("event", "store_era", "before", r.Before, "after", r.After, "newest_revision_before", r.Newest, "servers", len(n.table.Entries()),
		"refusals", n.refusals.read)
	n.sync.RequestRead()
}
