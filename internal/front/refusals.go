package front

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/poison"
)

// Limits of the refusals in the store, which outlast the nodes that decided them.
const (
	refusalsName       = "requests"             // name of the one object
	maxRefusalsStored  = 256                    // refusals in the object
	refusalsKeepers    = 2                      // nodes that write it, in the order of succession
	secondKeeperDelay  = time.Second            // time for which a further keeper leaves a change to the first one
	refusalsRetryDelay = 500 * time.Millisecond // delay after a failed call
	refusalsReadLimit  = 3 * time.Second        // time after the start within which the node takes no requests until it has read the object
)

// storedRefusal is the stored form of a poison.Refusal.
type storedRefusal struct {
	Traits []uint64 `json:"traits"`
	Ends   []uint64 `json:"ends"`
	LastMS int64    `json:"last_ms"` // time of day of the latest end, Unix milliseconds
}

// refusalsState says what a node knows of the refusals in the store. Guarded by Node.mu.
type refusalsState struct {
	read      bool   // the object was read, or there is none
	saved     uint64 // poison.Table.Changes at which the store had all refusals
	busy      bool   // a call is in progress
	retryAt   time.Time
	changes   uint64    // poison.Table.Changes when last looked at
	changedAt time.Time // when it changed
	lost      bool      // the store may have lost the object since it was read or written
}

// reconcileRefusals starts the call that is due to read or write the refusals in the store.
// The caller holds n.mu.
func (n *Node) reconcileRefusals(ctx context.Context, now time.Time) {
	s := &n.refusals
	if changes := n.poison.Changes(); changes != s.changes {
		s.changes, s.changedAt = changes, now
	}
	if !n.refusalsKnown.Load() && (s.read || now.Sub(n.peers.startedAt) >= refusalsReadLimit) {
		n.refusalsKnown.Store(true)
	}
	if s.busy || now.Before(s.retryAt) {
		return
	}
	if s.read {
		if s.saved == s.changes && !s.lost {
			return
		}
		position := n.peers.successorPosition(now, "")
		if position >= refusalsKeepers || position > 0 && now.Sub(s.changedAt) < secondKeeperDelay {
			return
		}
	}
	s.busy, s.lost = true, false
	go n.syncRefusals(ctx)
}

// syncRefusals merges the refusals in the store with this node's, and writes them if they
// differ and this node is a keeper.
func (n *Node) syncRefusals(ctx context.Context) {
	err := n.mergeRefusals(ctx)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refusals.busy = false
	if err != nil && ctx.Err() == nil {
		n.refusals.retryAt, n.refusals.lost = bootclock.Now().Add(refusalsRetryDelay), true
		level.Warn(n.log).Log("event", "refusals_unsaved", "read", n.refusals.read, "err", err)
	}
}

// mergeRefusals reads the object and writes it if this node knows more, or knows of less.
func (n *Node) mergeRefusals(ctx context.Context) error {
	object, err := n.freshStore.Get(ctx, platform.KindRefusal, refusalsName)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	var stored []storedRefusal
	if err == nil {
		if err := json.Unmarshal(object.Value, &stored); err != nil {
			// It is written anew below once there is something to refuse.
			level.Error(n.log).Log("event", "refusals_unreadable", "revision", object.Version, "err", err)
		}
	}
	value, changes, err := n.takeRefusals(stored)
	if err != nil || value == nil {
		return err
	}
	if _, err := n.freshStore.Put(ctx, platform.KindRefusal, refusalsName, value, object.Version, n.settings.IP); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refusals.saved = changes
	level.Info(n.log).Log("event", "refusals_saved", "bytes", len(value))
	return nil
}

// takeRefusals adds the stored refusals to this node's. It returns what is to be stored, nil
// if that is stored already or another node writes it, and the state that it stands for.
func (n *Node) takeRefusals(stored []storedRefusal) (value []byte, changes uint64, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now, wall := bootclock.Now(), time.Now()
	known := map[string]bool{}
	added := false
	for _, r := range stored[:min(len(stored), maxRefusalsStored)] {
		known[fmt.Sprint(r.Traits)] = true
		age := max(0, wall.Sub(time.UnixMilli(r.LastMS)))
		if age >= poison.RefuseFor {
			continue
		}
		added = n.poison.Refuse(now, poison.Refusal{Traits: hashes[poison.Key](r.Traits), Last: now.Add(-age), Ends: hashes[poison.End](r.Ends)}) || added
	}
	if added {
		n.refuseWaitingPoison(now)
	}
	n.refusals.read = true
	changes = n.poison.Changes()
	refusals := []storedRefusal{}
	same := true
	for _, r := range n.poison.Refusals(now, maxRefusalsStored) {
		refusals = append(refusals, storedRefusal{Traits: uint64s(r.Traits), Ends: uint64s(r.Ends), LastMS: wall.Add(-now.Sub(r.Last)).UnixMilli()})
		same = same && known[fmt.Sprint(uint64s(r.Traits))]
	}
	if same && len(refusals) == len(known) {
		n.refusals.saved = changes
		return nil, changes, nil
	}
	if n.peers.successorPosition(now, "") >= refusalsKeepers {
		return nil, changes, nil
	}
	value, err = json.Marshal(refusals)
	return value, changes, err
}
