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

// crashVersionShift puts the number of crashes above the time in the version of
// a quarantine item, so that an item with more crashes wins.
const crashVersionShift = 48

// itemSeparator stands between model and boots in the value of an item.
const itemSeparator = "\x00"

// Refused implements entry.Quarantine.
func (c *cell) Refused(now time.Time, model fleet.ModelID, hash fleet.ContentHash) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := quarantine.Key{Model: model, Hash: hash}
	if c.quarantine.Verdict(now, key) != quarantine.Refuse {
		return 0
	}
	return c.quarantine.RetryAfter(now, key)
}

// Suspected implements entry.Quarantine.
func (c *cell) Suspected(now time.Time, model fleet.ModelID, hash fleet.ContentHash) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quarantine.Verdict(now, quarantine.Key{Model: model, Hash: hash}) != quarantine.Free
}

// Crashed implements entry.Quarantine. All members are told.
func (c *cell) Crashed(now time.Time, backend fleet.BackendID, boot fleet.BootID, model fleet.ModelID, hash fleet.ContentHash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	report := quarantine.CrashReport{Backend: backend, Boot: boot, InFlight: []quarantine.Key{{Model: model, Hash: hash}}}
	if len(c.quarantine.Crash(now, report)) > 0 {
		c.tellQuarantine(now)
	}
}

// tellQuarantine tells all members what changed in the quarantine table.
func (c *cell) tellQuarantine(now time.Time) {
	for _, item := range c.quarantine.Export(now) {
		message := quarantineItem(item, c.node.cfg.Quarantine)
		if c.told[message.Key] >= message.Version {
			continue
		}
		c.told[message.Key] = message.Version
		err := c.node.members.broadcast(now, message)
		if err != nil && !errors.Is(err, membership.ErrItemStale) {
			level.Warn(c.node.cfg.Log).Log("event", "quarantine_not_told", "model", item.Key.Model, "err", err)
		}
		level.Warn(c.node.cfg.Log).Log("event", "quarantine", "model", item.Key.Model, "crashes", len(item.Crashes))
	}
}

// importQuarantine takes in what another node told. Two nodes that were cut off
// from each other may each have seen one crash: the item that wins names only
// one of them, so whoever knows of both tells so.
func (c *cell) importQuarantine(message membership.Item) {
	item, ok := quarantineOf(message)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.told[message.Key] = max(c.told[message.Key], message.Version)
	now := time.Now()
	if c.quarantine.Import(now, []quarantine.Item{item}) {
		c.tellQuarantine(now)
	}
}

func quarantineItem(item quarantine.Item, s quarantine.Settings) membership.Item {
	value := []string{string(item.Key.Model)}
	for _, boot := range item.Crashes {
		value = append(value, string(boot))
	}
	keep := s.SuspectFor
	if len(item.Crashes) >= quarantine.MaxCrashes {
		keep = s.ConvictedFor
	}
	return membership.Item{
		Kind:    membership.ItemQuarantine,
		Key:     base64.RawStdEncoding.EncodeToString([]byte(item.Key.Hash)),
		Version: uint64(len(item.Crashes))<<crashVersionShift | uint64(item.CrashedAt.UnixMilli()),
		Value:   []byte(strings.Join(value, itemSeparator)),
		Expires: item.CrashedAt.Add(keep),
	}
}

func quarantineOf(message membership.Item) (quarantine.Item, bool) {
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
