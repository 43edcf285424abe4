package node

import (
	"encoding/base64"
	"errors"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/membership"
	"github.com/redwingnotch/redwingnotch/quarantine"
)

// crashVersionShift is the bit position of the number of crashes in the version of a
// quarantine item. The lower bits hold the time of the last crash, so an item with
// more crashes wins over a later one with fewer.
const crashVersionShift = 48

// itemSeparator separates the model and the boots in the value of a quarantine item.
const itemSeparator = "\x00"

// RefusedFor implements entry.Quarantine.
func (c *cell) RefusedFor(now time.Time, model fleet.ModelID, hash fleet.ContentHash) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := quarantine.Key{Model: model, Hash: hash}
	if c.quarantine.Decision(now, key) != quarantine.Refuse {
		return 0
	}
	return c.quarantine.RetryAfter(now, key)
}

// IsSuspected implements entry.Quarantine.
func (c *cell) IsSuspected(now time.Time, model fleet.ModelID, hash fleet.ContentHash) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quarantine.Decision(now, quarantine.Key{Model: model, Hash: hash}) != quarantine.Allow
}

// ReportCrash implements entry.Quarantine. It publishes the crash to all members.
func (c *cell) ReportCrash(now time.Time, backend fleet.BackendID, boot fleet.BootID, model fleet.ModelID, hash fleet.ContentHash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	report := quarantine.CrashReport{Backend: backend, Boot: boot, InFlight: []quarantine.Key{{Model: model, Hash: hash}}}
	if len(c.quarantine.RecordCrash(now, report)) > 0 {
		c.publishQuarantine(now)
	}
}

// publishQuarantine publishes to all members the quarantine items that are newer
// than those last published or received.
func (c *cell) publishQuarantine(now time.Time) {
	for _, item := range c.quarantine.Export(now) {
		message := itemFromQuarantine(item, c.node.cfg.Quarantine)
		if c.publishedItems[message.Key] >= message.Version {
			continue
		}
		c.publishedItems[message.Key] = message.Version
		err := c.node.members.broadcast(now, message)
		if err != nil && !errors.Is(err, membership.ErrItemStale) {
			level.Warn(c.node.cfg.Log).Log("event", "quarantine_not_told", "model", item.Key.Model, "err", err)
		}
		level.Warn(c.node.cfg.Log).Log("event", "quarantine", "model", item.Key.Model, "crashes", len(item.Crashes))
	}
}

// handleQuarantineItem merges a quarantine item of another node. During a network
// partition two nodes may each record one crash of the same content. Only one of
// their items wins, and it names one of the two boots; so a node that knows both
// boots publishes an item with both.
func (c *cell) handleQuarantineItem(message membership.Item) {
	item, ok := quarantineFromItem(message)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.publishedItems[message.Key] = max(c.publishedItems[message.Key], message.Version)
	now := time.Now()
	if c.quarantine.Import(now, []quarantine.Item{item}) {
		c.publishQuarantine(now)
	}
}

// itemFromQuarantine encodes a quarantine item for membership.
func itemFromQuarantine(item quarantine.Item, s quarantine.Settings) membership.Item {
	value := []string{string(item.Key.Model)}
	for _, boot := range item.Crashes {
		value = append(value, string(boot))
	}
	validFor := s.SuspectRetention
	if len(item.Crashes) >= quarantine.MaxCrashes {
		validFor = s.RefuseFor
	}
	return membership.Item{
		Kind:    membership.ItemQuarantine,
		Key:     base64.RawStdEncoding.EncodeToString([]byte(item.Key.Hash)),
		Version: uint64(len(item.Crashes))<<crashVersionShift | uint64(item.CrashedAt.UnixMilli()),
		Value:   []byte(strings.Join(value, itemSeparator)),
		Expires: item.CrashedAt.Add(validFor),
	}
}

// quarantineFromItem decodes an item made by itemFromQuarantine. It returns false if
// the item is malformed.
func quarantineFromItem(message membership.Item) (quarantine.Item, bool) {
	hash, err := base64.RawStdEncoding.DecodeString(message.Key)
	parts := strings.Split(string(message.Value), itemSeparator)
	if err != nil || len(parts) < 2 {
		return quarantine.Item{}, false
	}
	item := quarantine.Item{
		Key:       quarantine.Key{Model: fleet.ModelID(parts[0]), Hash: fleet.ContentHash(hash)},
		CrashedAt: time.UnixMilli(int64(message.Version & (1<<crashVersionShift - 1))),
	}
	for _, boot := range parts[1:] {
		item.Crashes = append(item.Crashes, fleet.BootID(boot))
	}
	return item, true
}
