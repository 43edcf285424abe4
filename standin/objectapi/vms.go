package objectapi

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/platform"
)

// vmList holds the VM list and the changes that are not visible in it yet.
type vmList struct {
	lag     time.Duration // time until a change becomes visible
	visible map[fleet.VMID]platform.VMRecord
	pending []vmChange // oldest first
}

type vmChange struct {
	changedAt time.Time
	record    platform.VMRecord
	remove    bool
}

// SetVMLag sets the time until a change of the VM list becomes visible.
func (a *API) SetVMLag(lag time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.vms.lag = lag
}

// SetVM adds or replaces a VM. The change becomes visible after the lag.
func (a *API) SetVM(r platform.VMRecord) { a.changeVM(vmChange{record: r}) }

// RemoveVM removes a VM. The change becomes visible after the lag.
func (a *API) RemoveVM(id fleet.VMID) {
	a.changeVM(vmChange{record: platform.VMRecord{VM: fleet.VM{ID: id}}, remove: true})
}

func (a *API) changeVM(c vmChange) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c.changedAt = time.Now()
	a.vms.pending = append(a.vms.pending, c)
}

// VMs implements platform.VMList. VMs are sorted by id.
func (a *API) VMs(ctx context.Context) ([]platform.VMRecord, time.Time, error) {
	if _, err := a.injectFaults(ctx, false, &a.counts.VMReads); err != nil {
		return nil, time.Time{}, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	asOf := time.Now().Add(-a.vms.lag)
	a.vms.applyPending(asOf)
	records := make([]platform.VMRecord, 0, len(a.vms.visible))
	for _, r := range a.vms.visible {
		records = append(records, r)
	}
	slices.SortFunc(records, func(x, y platform.VMRecord) int {
		return strings.Compare(string(x.VM.ID), string(y.VM.ID))
	})
	return records, asOf, nil
}

// applyPending makes the changes made until asOf visible.
func (l *vmList) applyPending(asOf time.Time) {
	if l.visible == nil {
		l.visible = map[fleet.VMID]platform.VMRecord{}
	}
	for len(l.pending) > 0 && !l.pending[0].changedAt.After(asOf) {
		c := l.pending[0]
		l.pending = l.pending[1:]
		if c.remove {
			delete(l.visible, c.record.VM.ID)
		} else {
			l.visible[c.record.VM.ID] = c.record
		}
	}
}
