package admission

import (
	"errors"
	"fmt"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/quarantine"
)

// RankSettings are the operator's settings of one rank.
type RankSettings struct {
	FirstTokenTarget time.Duration // target time from arrival to the first token
	MaxWait          time.Duration // time from arrival to the deadline of a request without one
	Worth            float64       // worth of one request answered within the target, in the deployment's unit of account
	Floor            float64       // share of a backend server's slot time reserved for the rank under overload, 0 to 1
	Ceiling          float64       // largest share of a backend server's slots that this rank and lower ones may use, 0 to 1
}

// Settings configure the queue of one cell.
type Settings struct {
	Ranks       [fleet.RankCount]RankSettings
	PollTimeout time.Duration // time after the last offer at which a waiting request is dropped
	FloorWindow time.Duration // time constant of the exponential decay of accounted slot time
	MaxWaiting  int           // limit of waiting requests, over all targets
	GrantPrefix string        // prefix of grant IDs that is unique per controller, such as node and epoch
	FIFO        bool          // baseline for comparison: serves by first offer, without ranks or refusal by estimate

	// Quarantine decides by content whether a request may run. It may be nil. The
	// caller must guard it with the same mutex as the queue.
	Quarantine *quarantine.Table
}

// Defaults of Settings.
const (
	DefaultPollTimeout = 15 * time.Second
	DefaultFloorWindow = time.Minute
	DefaultMaxWaiting  = 20000
)

// DefaultSettings returns settings for interactive urgent requests, standard
// requests that wait up to two minutes, and bulk requests that wait up to 15
// minutes.
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

// Validate returns all errors in the settings, joined.
func (s Settings) Validate() error {
	var errs []error
	floorSum := 0.0
	for r, rs := range s.Ranks {
		name := fleet.Rank(r)
		if rs.FirstTokenTarget <= 0 || rs.MaxWait <= 0 {
			errs = append(errs, fmt.Errorf("rank %s: first token target and maximum wait must be positive", name))
		}
		if rs.Floor < 0 || rs.Floor > 1 {
			errs = append(errs, fmt.Errorf("rank %s: floor %g is not between 0 and 1", name, rs.Floor))
		}
		if rs.Ceiling <= 0 || rs.Ceiling > 1 {
			errs = append(errs, fmt.Errorf("rank %s: ceiling %g must be above 0 and at most 1", name, rs.Ceiling))
		}
		floorSum += rs.Floor
	}
	if floorSum > 1 {
		errs = append(errs, fmt.Errorf("floors add up to %g, more than 1", floorSum))
	}
	if s.PollTimeout <= 0 || s.FloorWindow <= 0 || s.MaxWaiting <= 0 {
		errs = append(errs, errors.New("poll timeout, floor window and maximum of waiting requests must be positive"))
	}
	return errors.Join(errs...)
}
