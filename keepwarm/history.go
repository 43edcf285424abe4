package keepwarm

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxIdle         = 8 * 24 * time.Hour // longer idle times count as this
	minSamples      = 6                  // long idle times before the histogram decides
	maxSamples      = 400                // idle times in the histogram before older ones fade
	keepHysteresis  = 0.95               // a new time to keep must cost less than this share of the old one's
	worthWeight     = 0.2                // of a new sample in the average worth
	slotOfDay       = 10 * time.Minute   // resolution of the pattern over the day
	slotsPerDay     = int(24 * time.Hour / slotOfDay)
	slotWeight      = 0.25 // of a new day in the pattern
	daysBeforeAhead = 3    // days observed before the pattern is used
)

// history is what is known of one model.
type history struct {
	idle       *hdrhistogram.Histogram // seconds between arrivals
	long       int                     // idle times above the least time to keep
	first      time.Time
	last       time.Time // latest arrival
	worth      float64   // average worth of sparing a cold start after a long idle time
	keep       time.Duration
	aheadUntil time.Time
	day        [slotsPerDay]float32 // share of days with an arrival in the slot that found the model idle
	seen       [slotsPerDay]int32   // day number of the slot's latest arrival
}

func newHistory(s Settings) *history {
	return &history{idle: hdrhistogram.New(1, int64(maxIdle.Seconds()), 1), keep: s.MinKeep}
}

// observe learns one arrival.
func (h *history) observe(now time.Time, worth float64, s Settings) {
	if h.first.IsZero() {
		h.first = now
		h.last = now
		h.worth = worth
		h.keep = s.priorKeep(worth)
		h.markSlot(now)
		return
	}
	idle := now.Sub(h.last)
	if idle < 0 {
		return
	}
	h.last = now
	h.record(idle)
	if idle < s.MinKeep {
		return
	}
	h.long++
	h.worth += worthWeight * (worth - h.worth)
	h.markSlot(now)
	h.choose(s)
}

// record adds an idle time and fades older ones.
func (h *history) record(idle time.Duration) {
	seconds := int64(min(max(time.Second, idle), maxIdle).Seconds())
	_ = h.idle.RecordValue(seconds) // within the histogram's range
	if h.idle.TotalCount() < maxSamples {
		return
	}
	faded := hdrhistogram.New(1, int64(maxIdle.Seconds()), 1)
	for _, bar := range h.idle.Distribution() {
		_ = faded.RecordValues(bar.From, (bar.Count+1)/2) // within the same range
	}
	h.idle = faded
}

// choose sets the time to keep to the one with the least cost over the idle
// times seen, unless the present one is shorter and costs nearly as little.
func (h *history) choose(s Settings) {
	if h.long < minSamples {
		h.keep = s.priorKeep(h.worth)
		return
	}
	bars := h.idle.Distribution()
	best := s.MinKeep
	bestCost := h.cost(bars, best, s)
	for _, bar := range bars {
		keep := time.Duration(bar.To+1) * time.Second
		if bar.Count == 0 || keep <= s.MinKeep || keep > s.MaxKeep {
			continue
		}
		if c := h.cost(bars, keep, s); c < bestCost {
			best, bestCost = keep, c
		}
	}
	present := h.cost(bars, h.keep, s)
	if bestCost < keepHysteresis*present || (best < h.keep && bestCost <= present) {
		h.keep = best
	}
}

// cost returns what keeping for the given time would have cost over the idle
// times seen.
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

// dayNumber counts days from the Unix epoch.
func dayNumber(t time.Time) int32 { return int32(t.Unix() / int64((24 * time.Hour).Seconds())) }

// slotAt returns the slot of the day of a time.
func slotAt(t time.Time) int {
	return int(t.Unix()%int64((24*time.Hour).Seconds())) / int(slotOfDay.Seconds())
}

// markSlot learns an arrival that found the model idle. The share of days is
// faded for the days since the slot's last arrival.
func (h *history) markSlot(now time.Time) {
	slot, day := slotAt(now), dayNumber(now)
	if h.seen[slot] == day {
		return
	}
	h.day[slot] = (1-slotWeight)*h.share(slot, day) + slotWeight
	h.seen[slot] = day
}

// share returns the share of days with an arrival in the slot, as of a day.
func (h *history) share(slot int, day int32) float32 {
	v := h.day[slot]
	if v == 0 {
		return 0
	}
	for missed := h.seen[slot] + 1; missed < day && v > 0.01; missed++ {
		v *= 1 - slotWeight
	}
	return v
}

// expected returns until when the model should be loaded in expectation of a
// request, or zero if none is expected about now.
func (h *history) expected(now time.Time, s Settings) time.Time {
	if h.first.IsZero() || now.Sub(h.first) < daysBeforeAhead*24*time.Hour {
		return time.Time{}
	}
	soon := now.Add(s.LoadLead)
	slot := slotAt(soon)
	begin := soon.Truncate(slotOfDay)
	if !h.last.Before(begin) {
		return time.Time{} // the expected request has come
	}
	price := s.IdleHourPrice * slotOfDay.Hours()
	if float64(h.share(slot, dayNumber(soon)))*h.worth <= price {
		return time.Time{}
	}
	return begin.Add(slotOfDay)
}
