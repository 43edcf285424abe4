package keepwarm

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Parameters of a model's history: its idle times, average worth and daily pattern.
const (
	maxIdle           = 8 * 24 * time.Hour // longer idle times are counted as this
	minSamples        = 6                  // long idle times needed before the histogram determines the keep time
	maxSamples        = 400                // number of idle times in the histogram at which all counts are halved
	keepHysteresis    = 0.95               // a longer keep time is chosen only if it costs less than this share of the present cost
	worthSampleWeight = 0.2                // weight of a new sample in the average worth
	daySlot           = 10 * time.Minute   // resolution of the daily pattern
	slotsPerDay       = int(24 * time.Hour / daySlot)
	newDayWeight      = 0.25 // weight of a new day in the daily pattern
	minPreloadDays    = 3    // days observed before the daily pattern is used
)

// history is what was learned about one model.
type history struct {
	idle         *hdrhistogram.Histogram // seconds between arrivals
	longIdles    int                     // number of idle times of at least MinKeep
	firstArrival time.Time
	lastArrival  time.Time
	worth        float64 // average worth of avoiding a cold start after a long idle time
	keepTime     time.Duration
	preloadUntil time.Time            // end of the slot for which the model was last preloaded
	day          [slotsPerDay]float32 // for each slot, the weighted share of days on which a request in it found the model idle, as of lastDay
	lastDay      [slotsPerDay]int32   // for each slot, the day number of its latest such request
}

// newHistory returns an empty history.
func newHistory(s Settings) *history {
	return &history{idle: hdrhistogram.New(1, int64(maxIdle.Seconds()), 1), keepTime: s.MinKeep}
}

// observe records one arrival. Idle times below MinKeep do not change the keep time.
func (h *history) observe(now time.Time, worth float64, s Settings) {
	if h.firstArrival.IsZero() {
		h.firstArrival = now
		h.lastArrival = now
		h.worth = worth
		h.keepTime = s.breakEvenKeep(worth)
		h.recordSlot(now)
		return
	}
	idle := now.Sub(h.lastArrival)
	if idle < 0 {
		return
	}
	h.lastArrival = now
	h.record(idle)
	if idle < s.MinKeep {
		return
	}
	h.longIdles++
	h.worth += worthSampleWeight * (worth - h.worth)
	h.recordSlot(now)
	h.chooseKeepTime(s)
}

// record adds an idle time and halves the counts of the histogram when it is full.
func (h *history) record(idle time.Duration) {
	seconds := int64(min(max(time.Second, idle), maxIdle).Seconds())
	_ = h.idle.RecordValue(seconds) // within the histogram's range
	if h.idle.TotalCount() < maxSamples {
		return
	}
	halved := hdrhistogram.New(1, int64(maxIdle.Seconds()), 1)
	for _, bar := range h.idle.Distribution() {
		_ = halved.RecordValues(bar.From, (bar.Count+1)/2) // within the same range
	}
	h.idle = halved
}

// chooseKeepTime sets the keep time to the one with the least cost over the recorded
// idle times. A longer one must save enough to prevent oscillation.
func (h *history) chooseKeepTime(s Settings) {
	if h.longIdles < minSamples {
		h.keepTime = s.breakEvenKeep(h.worth)
		return
	}
	bars := h.idle.Distribution()
	best := s.MinKeep
	bestCost := h.cost(bars, best, s)
	for _, bar := range bars {
		keepTime := time.Duration(bar.To+1) * time.Second
		if bar.Count == 0 || keepTime <= s.MinKeep || keepTime > s.MaxKeep {
			continue
		}
		if c := h.cost(bars, keepTime, s); c < bestCost {
			best, bestCost = keepTime, c
		}
	}
	current := h.cost(bars, h.keepTime, s)
	if bestCost < keepHysteresis*current || (best < h.keepTime && bestCost <= current) {
		h.keepTime = best
	}
}

// cost returns what a keep time would have cost over the recorded idle times.
func (h *history) cost(bars []hdrhistogram.Bar, keep time.Duration, s Settings) float64 {
	pricePerSecond := s.IdleHourPrice / time.Hour.Seconds()
	limit := keep.Seconds()
	total := 0.0
	for _, bar := range bars {
		if bar.Count == 0 {
			continue
		}
		idle := float64(bar.From+bar.To) / 2
		each := pricePerSecond * min(idle, limit)
		if idle > limit {
			each += h.worth
		}
		total += float64(bar.Count) * each
	}
	return total
}

// dayNumber returns the number of days since the Unix epoch.
func dayNumber(t time.Time) int32 { return int32(t.Unix() / int64((24 * time.Hour).Seconds())) }

// slotAt returns the index of the slot of the day that t lies in.
func slotAt(t time.Time) int {
	return int(t.Unix()%int64((24*time.Hour).Seconds())) / int(daySlot.Seconds())
}

// recordSlot records a request that found the model idle, once per slot and day.
func (h *history) recordSlot(now time.Time) {
	slot, day := slotAt(now), dayNumber(now)
	if h.lastDay[slot] == day {
		return
	}
	h.day[slot] = (1-newDayWeight)*h.slotShareOn(slot, day) + newDayWeight
	h.lastDay[slot] = day
}

// slotShareOn returns the slot's share as of a day, reduced for each day without an
// arrival since lastDay.
func (h *history) slotShareOn(slot int, day int32) float32 {
	v := h.day[slot]
	if v == 0 {
		return 0
	}
	for missed := h.lastDay[slot] + 1; missed < day && v > 0.01; missed++ {
		v *= 1 - newDayWeight
	}
	return v
}

// expectedUntil returns the end of the slot in which a request is expected and for
// which the model should be loaded now, or zero if a preload does not pay off.
func (h *history) expectedUntil(now time.Time, s Settings) time.Time {
	if h.firstArrival.IsZero() || now.Sub(h.firstArrival) < minPreloadDays*24*time.Hour {
		return time.Time{}
	}
	soon := now.Add(s.PreloadLead)
	slot := slotAt(soon)
	begin := soon.Truncate(daySlot)
	if !h.lastArrival.Before(begin) {
		return time.Time{} // the expected request has arrived
	}
	price := s.IdleHourPrice * daySlot.Hours()
	if float64(h.slotShareOn(slot, dayNumber(soon)))*h.worth <= price {
		return time.Time{}
	}
	return begin.Add(daySlot)
}
