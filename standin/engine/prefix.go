package engine

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
)

// keptCacheEvents bounds the cache events that can still be read.
const keptCacheEvents = 1024

// prefixCache remembers the prompts served last, of all models together. It is
// guarded by the engine's lock.
type prefixCache struct {
	limit    int
	lag      time.Duration
	gap      uint64
	order    []prefixKey // least recently used first
	sequence uint64
	events   []timedEvent
}

type prefixKey struct {
	model  fleet.ModelID
	prefix string
}

type timedEvent struct {
	at    time.Time
	event engine.CacheEvent
}

func newPrefixCache(c Config) *prefixCache {
	return &prefixCache{limit: c.CachedPrefixes, lag: c.CacheEventLag, gap: uint64(c.CacheEventGap)}
}

// use reports whether the prompt was cached, and caches it.
func (c *prefixCache) use(model fleet.ModelID, text string) bool {
	key := prefixKey{model, strconv.FormatUint(xxhash.Sum64String(text), 16)}
	for i, k := range c.order {
		if k == key {
			c.order = append(append(c.order[:i:i], c.order[i+1:]...), key)
			return true
		}
	}
	c.order = append(c.order, key)
	c.record(key, false)
	if len(c.order) > c.limit {
		c.record(c.order[0], true)
		c.order = c.order[1:]
	}
	return false
}

func (c *prefixCache) record(key prefixKey, evicted bool) {
	c.sequence++
	if c.gap > 0 && c.sequence%c.gap == 0 {
		return
	}
	event := engine.CacheEvent{Sequence: c.sequence, Model: key.model, Prefix: key.prefix, Evicted: evicted}
	c.events = append(c.events, timedEvent{time.Now(), event})
	if len(c.events) > keptCacheEvents {
		c.events = c.events[1:]
	}
}

// since returns the events after the sequence number that are old enough.
func (c *prefixCache) since(after uint64) engine.CacheEventsBody {
	body := engine.CacheEventsBody{Last: after}
	for _, e := range c.events {
		if e.event.Sequence > after && time.Since(e.at) >= c.lag {
			body.Events = append(body.Events, e.event)
			body.Last = e.event.Sequence
		}
	}
	return body
}
