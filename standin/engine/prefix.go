package engine

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
)

// maxCacheEvents is the number of cache events retained for reading.
const maxCacheEvents = 1024

// prefixCache is an LRU cache of the hashes of whole prompts, shared by all models.
// It is guarded by the engine's lock.
type prefixCache struct {
	limit     int           // maximum length of entries
	eventLag  time.Duration // time until an event can be read
	dropEvery uint64        // events with a multiple as sequence number are dropped; zero drops none
	entries   []prefixKey   // least recently used first
	sequence  uint64        // sequence number of the last event
	events    []timedEvent
}

type prefixKey struct {
	model  fleet.ModelID
	prefix string // hexadecimal hash of the prompt
}

type timedEvent struct {
	at    time.Time
	event engine.CacheEvent
}

func newPrefixCache(c Config) *prefixCache {
	return &prefixCache{limit: c.CachedPrefixes, eventLag: c.CacheEventLag, dropEvery: uint64(c.CacheEventDropEvery)}
}

// touch reports whether the prompt was cached and makes it the most recently used
// entry.
func (c *prefixCache) touch(model fleet.ModelID, text string) bool {
	key := prefixKey{model, strconv.FormatUint(xxhash.Sum64String(text), 16)}
	for i, k := range c.entries {
		if k == key {
			c.entries = append(append(c.entries[:i:i], c.entries[i+1:]...), key)
			return true
		}
	}
	c.entries = append(c.entries, key)
	c.recordEvent(key, false)
	if len(c.entries) > c.limit {
		c.recordEvent(c.entries[0], true)
		c.entries = c.entries[1:]
	}
	return false
}

// recordEvent appends the event that the key was added or evicted.
func (c *prefixCache) recordEvent(key prefixKey, evicted bool) {
	c.sequence++
	if c.dropEvery > 0 && c.sequence%c.dropEvery == 0 {
		return
	}
	event := engine.CacheEvent{Sequence: c.sequence, Model: key.model, Prefix: key.prefix, Evicted: evicted}
	c.events = append(c.events, timedEvent{time.Now(), event})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// eventsSince returns the events after the sequence number that are at least
// eventLag old.
func (c *prefixCache) eventsSince(after uint64) engine.CacheEventsBody {
	body := engine.CacheEventsBody{Last: after}
	for _, e := range c.events {
		if e.event.Sequence > after && time.Since(e.at) >= c.eventLag {
			body.Events = append(body.Events, e.event)
			body.Last = e.event.Sequence
		}
	}
	return body
}
