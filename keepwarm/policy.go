// Package keepwarm decides how long an idle model stays loaded, and when a model is
// preloaded for an expected request.
//
// The idle times of each model are counted in a histogram. The model's keep time is
// the one that would have cost least over these idle times: the price of idle
// accelerator time plus the worth of the cold starts that it does not avoid. A
// second histogram over the time of day shows when a preload pays off. Policy
// does no I/O, has no clock and is not safe for concurrent use.
package keepwarm

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// Settings weigh the price of idle accelerators against cold starts. Price and worth
// are in the deployment's unit of account.
type Settings struct {
	IdleHourPrice float64                  // price of keeping one replica loaded and idle for an hour
	ColdWorth     [fleet.RankCount]float64 // worth of sparing one request a cold start, by rank
	MinKeep       time.Duration            // shortest time for which a replica is kept after its last use
	MaxKeep       time.Duration            // longest time for which a replica is kept after its last use
	PreloadLead   time.Duration            // a preload starts this long before the expected requests
	MaxModels     int                      // models with a history; beyond that the least recently requested one is dropped
}

// Defaults of Settings.
const (
	DefaultMinKeep     = time.Minute
	DefaultMaxKeep     = 2 * time.Hour
	DefaultPreloadLead = 2 * time.Minute
	DefaultMaxModels   = 1024
)

// DefaultSettings returns settings for which an urgent cold start is worth a
// quarter of an idle accelerator hour.
func DefaultSettings() Settings {
	return Settings{
		IdleHourPrice: 4,
		ColdWorth:     [fleet.RankCount]float64{fleet.RankUrgent: 1, fleet.RankStandard: 0.2, fleet.RankBulk: 0.01},
		MinKeep:       DefaultMinKeep,
		MaxKeep:       DefaultMaxKeep,
		PreloadLead:   DefaultPreloadLead,
		MaxModels:     DefaultMaxModels,
	}
}

// Validate returns all errors in the settings, joined.
func (s Settings) Validate() error {
	var findings []error
	if s.IdleHourPrice <= 0 {
		findings = append(findings, errors.New("price of an idle accelerator hour must be positive"))
	}
	for _, w := range s.ColdWorth {
		if w < 0 {
			findings = append(findings, errors.New("worth of sparing a cold start must not be negative"))
		}
	}
	if s.MinKeep <= 0 || s.MaxKeep < s.MinKeep {
		findings = append(findings, errors.New("shortest keep time must be positive and at most the longest keep time"))
	}
	if s.PreloadLead < 0 || s.MaxModels <= 0 {
		findings = append(findings, errors.New("preload lead must not be negative and the limit of models must be positive"))
	}
	return errors.Join(findings...)
}

// Policy learns from arrivals how long to keep each model loaded.
type Policy struct {
	settings Settings
	models   map[fleet.ModelID]*history
}

// New returns a policy without any observed arrivals. The settings must be valid.
func New(s Settings) *Policy {
	return &Policy{settings: s, models: make(map[fleet.ModelID]*history)}
}

// Observe records the arrival of a request for the target.
func (p *Policy) Observe(now time.Time, t fleet.Target, rank fleet.Rank) {
	h := p.models[t.Model]
	if h == nil {
		p.evictOldest()
		h = newHistory(p.settings)
		p.models[t.Model] = h
	}
	h.observe(now, p.settings.ColdWorth[min(rank, fleet.RankCount-1)], p.settings)
}

// evictOldest drops the least recently requested model if the limit of models is reached.
func (p *Policy) evictOldest() {
	if len(p.models) < p.settings.MaxModels {
		return
	}
	oldest := slices.MinFunc(slices.Sorted(maps.Keys(p.models)), func(a, b fleet.ModelID) int {
		return cmp.Compare(p.models[a].lastArrival.UnixNano(), p.models[b].lastArrival.UnixNano())
	})
	delete(p.models, oldest)
}

// SetModels drops the history of all models but those in force.
func (p *Policy) SetModels(inForce []fleet.ModelID) {
	retained := make(map[fleet.ModelID]bool, len(inForce))
	for _, id := range inForce {
		retained[id] = true
	}
	maps.DeleteFunc(p.models, func(id fleet.ModelID, _ *history) bool { return !retained[id] })
}

// KeepUntil returns until when a replica that was last used at lastUsed stays loaded
// if no request arrives. Adapters are kept as long as their model.
func (p *Policy) KeepUntil(t fleet.Target, lastUsed time.Time) time.Time {
	h := p.models[t.Model]
	if h == nil {
		return lastUsed.Add(p.settings.breakEvenKeep(p.settings.ColdWorth[fleet.RankStandard]))
	}
	until := lastUsed.Add(h.keepTime)
	if h.preloadUntil.After(until) {
		return h.preloadUntil
	}
	return until
}

// Preloads returns the models to preload because a request is expected soon, ordered by
// name. Models that are loaded already are included.
func (p *Policy) Preloads(now time.Time) []fleet.Target {
	var out []fleet.Target
	for _, id := range slices.Sorted(maps.Keys(p.models)) {
		h := p.models[id]
		until := h.expectedUntil(now, p.settings)
		if until.IsZero() {
			continue
		}
		h.preloadUntil = until
		out = append(out, fleet.Target{Model: id})
	}
	return out
}

// breakEvenKeep returns the keep time of a model with too few observations: until the
// idle time has cost as much as a cold start. This costs at most twice the optimum
// in hindsight.
func (s Settings) breakEvenKeep(coldWorth float64) time.Duration {
	breakEven := time.Duration(coldWorth / s.IdleHourPrice * float64(time.Hour))
	return min(max(s.MinKeep, breakEven), s.MaxKeep)
}

// Fixed keeps every model for the same time and preloads nothing. It is the baseline for
// comparisons with Policy.
type Fixed time.Duration

// FixedTenMinutes keeps every model for ten minutes, a common fixed keep time.
const FixedTenMinutes = Fixed(10 * time.Minute)

// KeepUntil returns lastUsed plus the fixed keep time.
func (f Fixed) KeepUntil(_ fleet.Target, lastUsed time.Time) time.Time {
	return lastUsed.Add(time.Duration(f))
}

// Preloads returns no models.
func (f Fixed) Preloads(time.Time) []fleet.Target { return nil }

// Observe does nothing.
func (f Fixed) Observe(time.Time, fleet.Target, fleet.Rank) {}
