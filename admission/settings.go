package admission

import (
	"errors"
	"fmt"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/quarantine"
)

// RankSettings are the operators' terms for one rank.
type RankSettings struct {
	FirstTokenTarget time.Duration // from arrival to first token; what the share within target is measured against
	MaxWait          time.Duration // deadline after arrival for callers who give none
	Worth            float64       // of one request answered within target, in the deployment's unit of account
	Floor            float64       // share of a backend server's slot time kept for the rank in an overload, 0 to 1
	Ceiling          float64       // share of a backend server's slots that this rank and those below may fill, 0 to 1
}

// Settings are the terms of one cell's queue.
type Settings struct {
	Ranks       [fleet.RankCount]RankSettings
	PollTimeout time.Duration // a waiting request that is not offered again for this long is dropped
	FloorWindow time.Duration // time constant over which slot time is accounted
	MaxWaiting  int           // requests that wait at most, over all targets
	GrantPrefix string        // makes grant ids unique over controllers, such as node and epoch
	FIFO        bool          // naive baseline: arrival order, no ranks and no early refusal

	// Quarantine screens requests by content. It may be nil. The queue calls it
	// under the caller's mutex.
	Quarantine *quarantine.Table
}

// Defaults of a queue.
const (
	DefaultPollTimeout = 15 * time.Second
	DefaultFloorWindow = time.Minute
	DefaultMaxWaiting  = 20000
)

// DefaultSettings returns settings that suit interactive urgent work, standard
// work within two minutes and bulk work within a quarter of an hour.
func DefaultSettings() Settings {
	return Settings{
		Ranks: [fleet.RankCount]RankSettings{
			fleet.RankUrgent:   {FirstTokenTarget: 2 * time.Second, MaxWait: 45 * time.Second, Worth: 100, Floor: 0.5, Ceiling: 1},
			fleet.RankStandard: {FirstTokenTarget: 15 * time.Second, MaxWait: 2 * time.Minute, Worth: 10, Floor: 0.2, Ceiling: 0.9},
			fleet.RankBulk:     {FirstTokenTarget: 5 * time.Minute, MaxWait: 15 * time.Minute, Worth: 1, Floor: 0.1, Ceiling: 0.75},
		},
		PollTimeout: DefaultPollTimeout,
		FloorWindow: DefaultFloorWindow,
		MaxWaiting:  DefaultMaxWaiting,
	}
}

// Validate returns all findings in the settings, joined.
func (s Settings) Validate() error {
	var findings []error
	floors := 0.0
	for r, rs := range s.Ranks {
		name := fleet.Rank(r)
		if rs.FirstTokenTarget <= 0 || rs.MaxWait <= 0 {
			findings = append(findings, fmt.Errorf("rank %s: first token target and maximum wait must be positive", name))
		}
		if rs.Floor < 0 || rs.Floor > 1 {
			findings = append(findings, fmt.Errorf("rank %s: floor %g is not between 0 and 1", name, rs.Floor))
		}
		if rs.Ceiling <= 0 || rs.Ceiling > 1 {
			findings = append(findings, fmt.Errorf("rank %s: ceiling %g is not above 0 and up to 1", name, rs.Ceiling))
		}
		floors += rs.Floor
	}
	if floors > 1 {
		findings = append(findings, fmt.Errorf("floors add up to %g, more than 1", floors))
	}
	if s.PollTimeout <= 0 || s.FloorWindow <= 0 || s.MaxWaiting <= 0 {
		findings = append(findings, errors.New("poll timeout, floor window and maximum of waiting requests must be positive"))
	}
	return errors.Join(findings...)
}
