// Package keepwarm decides how long a loaded model that nobody asks for stays
// loaded, and when it is loaded ahead of an expected request.
//
// Each model's idle times are kept in a histogram. The time to keep it is the
// one that costs least over these idle times: the price of idle accelerator
// time against the worth of the cold starts that it avoids. A second histogram
// over the time of day tells when a load ahead pays. Policy does no I/O, has no
// clock and is not safe for concurrent use.
package keepwarm

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// Settings weigh idle accelerators against cold starts. Price and worth are in
// the deployment's unit of account.
type Settings struct {
	IdleHourPrice float64                  // of one loaded replica that runs nothing for an hour
	ColdWorth     [fleet.RankCount]float64 // of sparing one request a cold start, by rank
	MinKeep       time.Duration            // a replica is kept at least this long after its last use
	MaxKeep       time.Duration            // and at most this long
	LoadLead      time.Duration            // a load ahead begins this long before it pays
	MaxModels     int                      // models remembered at most
}

// Defaults of Settings.
const (
	DefaultMinKeep   = time.Minute
	DefaultMaxKeep   = 2 * time.Hour
	DefaultLoadLead  = 2 * time.Minute
	DefaultMaxModels = 1024
)

// DefaultSettings returns settings for which an urgent cold start is worth a
// quarter of an idle accelerator hour.
func DefaultSettings() Settings {
	return Settings{
		IdleHourPrice: 4,
		ColdWorth:     [fleet.RankCount]float64{fleet.RankUrgent: 1, fleet.RankStandard: 0.2, fleet.RankBulk: 0.01},
		MinKeep:       DefaultMinKeep,
		MaxKeep:       DefaultMaxKeep,
		LoadLead:      DefaultLoadLead,
		MaxModels:     DefaultMaxModels,
	}
}

// Validate returns all findings in the settings, joined.
func (s Settings) Validate() error {
	var findings []error
	if s.IdleHourPrice <= 0 {
		findings = append(findings, errors.New("the price of an idle accelerator hour must be positive"))
	}
	for _, w := range s.ColdWorth {
		if w < 0 {
			findings = append(findings, errors.New("the worth of sparing a cold start must not be negative"))
		}
	}
	if s.MinKeep <= 0 || s.MaxKeep < s.MinKeep {
		findings = append(findings, errors.New("the least time to keep must be positive and no more than the greatest"))
	}
	if s.LoadLead < 0 || s.MaxModels <= 0 {
		findings = append(findings, errors.New("the load lead must not be negative and the number of models must be positive"))
	}
	return errors.Join(findings...)
}

// Policy holds what was learnt of each model.
type Policy struct {
	settings Settings
	models   map[fleet.ModelID]*history
}

// New returns a policy that has learnt nothing. The settings must be valid.
func New(s Settings) *Policy {
	return &Policy{settings: s, models: make(map[fleet.ModelID]*history)}
}

// Observe learns that a request for the target arrived.
func (p *Policy) Observe(now time.Time, t fleet.Target, rank fleet.Rank) {
	h := p.models[t.Model]
	if h == nil {
		p.makeRoom()
		h = newHistory(p.settings)
		p.models[t.Model] = h
	}
	h.observe(now, p.settings.ColdWorth[min(rank, fleet.RankCount-1)], p.settings)
}

// makeRoom forgets the model that was asked for longest ago.
func (p *Policy) makeRoom() {
	if len(p.models) < p.settings.MaxModels {
		return
	}
	oldest := slices.MinFunc(slices.Sorted(maps.Keys(p.models)), func(a, b fleet.ModelID) int {
		return cmp.Compare(p.models[a].last.UnixNano(), p.models[b].last.UnixNano())
	})
	delete(p.models, oldest)
}

// SetModels forgets the models that are not in force.
func (p *Policy) SetModels(inForce []fleet.ModelID) {
	keep := make(map[fleet.ModelID]bool, len(inForce))
	for _, id := range inForce {
		keep[id] = true
	}
	maps.DeleteFunc(p.models, func(id fleet.ModelID, _ *history) bool { return !keep[id] })
}

// KeepUntil returns until when a replica last used at the given time should
// stay loaded if nobody asks for it. Adapters stay as long as their model.
func (p *Policy) KeepUntil(t fleet.Target, lastUsed time.Time) time.Time {
	h := p.models[t.Model]
	if h == nil {
		return lastUsed.Add(p.settings.priorKeep(p.settings.ColdWorth[fleet.RankStandard]))
	}
	until := lastUsed.Add(h.keep)
	if h.aheadUntil.After(until) {
		return h.aheadUntil
	}
	return until
}

// LoadAhead returns the models that should be loaded now, as a request is
// expected, ordered by name. Those already loaded are named too.
func (p *Policy) LoadAhead(now time.Time) []fleet.Target {
	var out []fleet.Target
	for _, id := range slices.Sorted(maps.Keys(p.models)) {
		h := p.models[id]
		until := h.expected(now, p.settings)
		if until.IsZero() {
			continue
		}
		h.aheadUntil = until
		out = append(out, fleet.Target{Model: id})
	}
	return out
}

// priorKeep is the time to keep a model of which too little is known: until
// the idle time has cost what a cold start would, which costs at most twice
// what is best in hindsight.
func (s Settings) priorKeep(coldWorth float64) time.Duration {
	breakEven := time.Duration(coldWorth / s.IdleHourPrice * float64(time.Hour))
	return min(max(s.MinKeep, breakEven), s.MaxKeep)
}

// Fixed keeps every model for the same time and loads nothing ahead. It is the
// baseline.
type Fixed time.Duration

// FixedTenMinutes is the usual fixed time to keep.
const FixedTenMinutes = Fixed(10 * time.Minute)

// KeepUntil returns the fixed time after the last use.
func (f Fixed) KeepUntil(_ fleet.Target, lastUsed time.Time) time.Time {
	return lastUsed.Add(time.Duration(f))
}

// LoadAhead returns nothing.
func (f Fixed) LoadAhead(time.Time) []fleet.Target { return nil }

// Observe learns nothing.
func (f Fixed) Observe(time.Time, fleet.Target, fleet.Rank) {}
