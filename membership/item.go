package membership

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ItemKind says what an item is about.
type ItemKind uint8

// The kinds of items.
const (
	ItemRelease    ItemKind = iota + 1 // key "head", version is the release version
	ItemController                     // key is the cell, version the epoch, value the node
	ItemQuarantine                     // key is a content hash
	ItemLease                          // key is the cell, version that of the lease object, value its successors
)

// Item is a small value that all members get to know. Of two items with one
// kind and key the higher version wins. An item whose time is past is dropped.
type Item struct {
	Kind    ItemKind
	Key     string
	Version uint64
	Value   []byte
	Expires time.Time // zero if it does not expire
}

// Errors of Broadcast.
var (
	ErrItemTooLarge = errors.New("item too large")
	ErrItemStale    = errors.New("a version as high is known")
	ErrItemLimit    = errors.New("too many items")
)

// itemKey identifies an item.
type itemKey struct {
	kind ItemKind
	key  string
}

// compareItemKeys orders item keys by kind, then key.
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

// digest returns a hash that is equal for equal versions of an item.
func (i Item) digest() uint64 {
	return mix(xxhash.Sum64String(i.Key), uint64(i.Kind), i.Version)
}

// check returns why the item can't be kept by any node, or nil.
func (i Item) check() error {
	if len(i.Key) == 0 || len(i.Key) > MaxItemKeyBytes {
		return fmt.Errorf("%w: key of %d bytes, want 1 to %d", ErrItemTooLarge, len(i.Key), MaxItemKeyBytes)
	}
	if len(i.Value) > MaxItemValueBytes {
		return fmt.Errorf("%w: value of %d bytes, at most %d", ErrItemTooLarge, len(i.Value), MaxItemValueBytes)
	}
	return nil
}

// expired reports whether the item's time is past.
func (i Item) expired(now time.Time) bool {
	return !i.Expires.IsZero() && !i.Expires.After(now)
}

// Broadcast makes the item known to all members. It fails with ErrItemStale if
// the node knows a version as high, ErrItemTooLarge or ErrItemLimit.
func (c *Core) Broadcast(now time.Time, item Item) error {
	if err := item.check(); err != nil {
		return err
	}
	if err := c.storeItem(now, item); err != nil {
		return fmt.Errorf("item %d/%s version %d: %w", item.Kind, item.Key, item.Version, err)
	}
	return nil
}

// Item returns the item as last heard of.
func (c *Core) Item(now time.Time, kind ItemKind, key string) (Item, bool) {
	item, ok := c.items[itemKey{kind, key}]
	if !ok || item.expired(now) {
		return Item{}, false
	}
	return item, true
}

// Items returns all items of the kind, ordered by key.
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

// storeItem keeps a newer item and queues it for the other members.
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

// receiveItem keeps an item of a packet and returns the event if it is new.
func (c *Core) receiveItem(now time.Time, item Item, out *Effects) {
	if item.check() != nil || c.storeItem(now, item) != nil {
		return
	}
	c.changes++
	out.Events = append(out.Events, Event{Kind: EventItem, Item: item})
}

// dropExpiredItems removes the items whose time is past.
func (c *Core) dropExpiredItems(now time.Time) {
	for key, item := range c.items {
		if item.expired(now) {
			delete(c.items, key)
			c.queue.removeItem(key)
		}
	}
}
