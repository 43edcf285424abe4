package settings

import (
	"github.com/redwingnotch/redwingnotch/admission"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/keepwarm"
)

// AdmissionSettings returns the parameters of the ranks and the queue limit.
func (d *Daemon) AdmissionSettings() admission.Settings {
	s := admission.DefaultSettings()
	s.MaxWaiting = int(d.MaxWaiting.Value)
	for rank, target := range []Duration{d.UrgentTarget, d.StandardTarget, d.BulkTarget} {
		s.Ranks[rank].FirstTokenTarget = target.Duration
	}
	for rank, deadline := range []Duration{d.UrgentDeadline, d.StandardDeadline, d.BulkDeadline} {
		s.Ranks[rank].MaxWait = deadline.Duration
	}
	for rank, worth := range []Float{d.UrgentWorth, d.StandardWorth, d.BulkWorth} {
		s.Ranks[rank].Worth = worth.Value
	}
	for rank, floor := range []Float{d.UrgentFloor, d.StandardFloor, d.BulkFloor} {
		s.Ranks[rank].Floor = floor.Value
	}
	s.Ranks[fleet.RankStandard].Ceiling = d.StandardCeiling.Value
	s.Ranks[fleet.RankBulk].Ceiling = d.BulkCeiling.Value
	return s
}

// KeepWarmSettings returns the price of idle accelerators, the worth of avoided cold
// starts, and the limits for keeping unused replicas.
func (d *Daemon) KeepWarmSettings() keepwarm.Settings {
	s := keepwarm.DefaultSettings()
	s.IdleHourPrice = d.IdleHourPrice.Value
	s.MinKeep = d.MinKeep.Duration
	s.MaxKeep = d.MaxKeep.Duration
	for rank, worth := range []Float{d.UrgentColdWorth, d.StandardColdWorth, d.BulkColdWorth} {
		s.ColdWorth[rank] = worth.Value
	}
	return s
}
