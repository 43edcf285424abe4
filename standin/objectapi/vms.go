package objectapi

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/platform"
)

// vmList holds the VM list and the changes that it does not show yet.
type vmList struct {
	lag     time.Duration
	shown   map[fleet.VMID]platform.VMRecord
	pending []vmChange // in order of time
}

type vmChange struct {
	at     time.Time
	record platform.VMRecord
	remove bool
}

// SetVMLag sets how long changes of the VM list stay unseen.
func (a *API) SetVMLag(lag time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.vms.lag = lag
}

// SetVM adds or changes a VM. The list shows it after the lag.
func (a *API) SetVM(r platform.VMRecord) { a.changeVM(vmChange{record: r}) }

// RemoveVM removes a VM. The list shows it after the lag.
func (a *API) RemoveVM(id fleet.VMID) {
	a.changeVM(vmChange{record: platform.VMRecord{VM: fleet.VM{ID: id}}, remove: true})
}

func (a *API) changeVM(c vmChange) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c.at = time.Now()
	a.vms.pending = append(a.vms.pending, c)
}

// VMs implements platform.VMList. VMs come in order of id.
func (a *API) VMs(ctx context.Context) ([]platform.VMRecord, time.Time, error) {
	if _, err := a.judge(ctx, false, &a.counts.VMReads); err != nil {
		return nil, time.Time{}, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	asOf := time.Now().Add(-a.vms.lag)
	a.vms.advance(asOf)
	records := make([]platform.VMRecord, 0, len(a.vms.shown))
	for _, r := range a.vms.shown {
		records = append(records, r)
	}
	slices.SortFunc(records, func(x, y platform.VMRecord) int {
		return strings.Compare(string(x.VM.ID), string(y.VM.ID))
	})
	return records, asOf, nil
}

// advance shows the changes made up to the time.
func (l *vmList) advance(asOf time.Time) {
	if l.shown == nil {
		l.shown = map[fleet.VMID]platform.VMRecord{}
	}
	for len(l.pending) > 0 && !l.pending[0].at.After(asOf) {
		c := l.pending[0]
		l.pending = l.pending[1:]
		if c.remove {
			delete(l.shown, c.record.VM.ID)
		} else {
			l.shown[c.record.VM.ID] = c.record
		}
	}
}
