package membership

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ItemKind is the kind of an item.
type ItemKind uint8

// The kinds of items.
const (
	ItemRelease    ItemKind = iota + 1 // key is "head", version is the release version
	ItemController                     // key is the cell, version is the epoch, value identifies the active controller
	ItemQuarantine                     // key is the encoded content hash of a suspected or quarantined request
	ItemLease                          // key is the cell, version is the version of the lease object, value holds the successors
)

// Item is a small value that is replicated to all members. Of two items with the
// same kind and key the one with the higher version wins. Expired items are
// removed.
type Item struct {
	Kind    ItemKind
	Key     string
	Version uint64
	Value   []byte
	Expires time.Time // zero if the item does not expire
}

// Errors returned by Core.Broadcast.
var (
	ErrItemTooLarge = errors.New("item too large")
	ErrItemStale    = errors.New("item is expired or its version is not above the known one")
	ErrItemLimit    = errors.New("too many items")
)

// itemKey identifies an item by kind and key.
type itemKey struct {
	kind ItemKind
	key  string
}

// compareItemKeys orders item keys by kind, then by key.
func compareItemKeys(a, b itemKey) int {
	if a.kind != b.kind {
		return int(a.kind) - int(b.kind)
	}
	if a.key < b.key {
		return -1
	}
	if a.key > b.key {
		return 1
	}
	return 0
}

// digest returns a hash of the item's kind, key and version.
func (i Item) digest() uint64 {
	return hashNumbers(xxhash.Sum64String(i.Key), uint64(i.Kind), i.Version)
}

// check returns an error if the key or the value exceeds its size limit.
func (i Item) check() error {
	if len(i.Key) == 0 || len(i.Key) > MaxItemKeyBytes {
		return fmt.Errorf("%w: key has %d bytes, must have 1 to %d", ErrItemTooLarge, len(i.Key), MaxItemKeyBytes)
	}
	if len(i.Value) > MaxItemValueBytes {
		return fmt.Errorf("%w: value has %d bytes, must have at most %d", ErrItemTooLarge, len(i.Value), MaxItemValueBytes)
	}
	return nil
}

// expired reports whether the item has expired at now.
func (i Item) expired(now time.Time) bool {
	return !i.Expires.IsZero() && !i.Expires.After(now)
}

// Broadcast stores the item and gossips it to all members. It returns
// ErrItemStale if the item has expired or the node already holds the same or a
// higher version, ErrItemTooLarge if the key or value exceeds its size limit,
// and ErrItemLimit if the node already holds MaxItems items.
func (c *Core) Broadcast(now time.Time, item Item) error {
	if err := item.check(); err != nil {
		return err
	}
	if err := c.storeItem(now, item); err != nil {
		return fmt.Errorf("item %d/%s version %d: %w", item.Kind, item.Key, item.Version, err)
	}
	return nil
}

// Item returns the highest known version of the item and whether the node holds
// one that has not expired.
func (c *Core) Item(now time.Time, kind ItemKind, key string) (Item, bool) {
	item, ok := c.items[itemKey{kind, key}]
	if !ok || item.expired(now) {
		return Item{}, false
	}
	return item, true
}

// Items returns all unexpired items of the kind, sorted by key.
func (c *Core) Items(now time.Time, kind ItemKind) []Item {
	var found []Item
	for key, item := range c.items {
		if key.kind == kind && !item.expired(now) {
			found = append(found, item)
		}
	}
	slices.SortFunc(found, func(a, b Item) int {
		return compareItemKeys(itemKey{a.Kind, a.Key}, itemKey{b.Kind, b.Key})
	})
	return found
}

// storeItem stores an item of a higher version than the known one and queues it
// for gossip.
func (c *Core) storeItem(now time.Time, item Item) error {
	key := itemKey{item.Kind, item.Key}
	known, ok := c.items[key]
	if ok && known.Version >= item.Version {
		return ErrItemStale
	}
	if item.expired(now) {
		return ErrItemStale
	}
	if !ok && len(c.items) >= MaxItems {
		return ErrItemLimit
	}
	item.Value = slices.Clone(item.Value)
	c.items[key] = item
	c.queue.addItem(key)
	return nil
}

// receiveItem stores an item of a received packet and adds an event if it is
// new. Invalid, stale and surplus items are ignored.
func (c *Core) receiveItem(now time.Time, item Item, out *Effects) {
	if item.check() != nil || c.storeItem(now, item) != nil {
		return
	}
	c.receivedChanges++
	out.Events = append(out.Events, Event{Kind: EventItem, Item: item})
}

// dropExpiredItems removes expired items.
func (c *Core) dropExpiredItems(now time.Time) {
	for key, item := range c.items {
		if item.expired(now) {
			delete(c.items, key)
			c.queue.removeItem(key)
		}
	}
}
