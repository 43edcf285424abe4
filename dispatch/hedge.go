package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// Parameters of the hedge delay.
const (
	hedgeQuantile      = 99.0                   // percentile of first-token times that the delay is based on
	hedgeFactor        = 1.5                    // delay as a multiple of that percentile
	minHedgeDelay      = 200 * time.Millisecond // lower limit: hedging after a shorter delay costs more than it gains
	maxHedgeDelay      = 30 * time.Second       // also the delay while there are too few samples
	minHedgeSamples    = 20                     // samples of a model needed to derive its delay
	hedgeWindowSamples = 1000                   // samples per window; a full window replaces the previous one
	maxHedgeModels     = 512                    // models tracked at most
)

// Hedger tracks the first-token times of each model and derives how long to wait
// for a first token before hedging: sending a second attempt on a new
// connection.
type Hedger struct {
	models map[fleet.ModelID]*firstTokenWindows
}

// firstTokenWindows holds the recent first-token times of one model in two
// windows.
type firstTokenWindows struct {
	current, previous *hdrhistogram.Histogram // values in milliseconds
	lastObserved      time.Time               // time of the latest sample
}

// NewHedger returns a hedger without samples.
func NewHedger() *Hedger {
	return &Hedger{models: make(map[fleet.ModelID]*firstTokenWindows)}
}

// newWindow returns an empty histogram with one significant digit, a resolution
// of about 10%.
func newWindow() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxHedgeDelay.Milliseconds(), 1)
}

// Observe records the time from dispatch to the first token of one response from
// a replica that was ready.
func (h *Hedger) Observe(now time.Time, model fleet.ModelID, firstToken time.Duration) {
	f := h.models[model]
	if f == nil {
		h.evictOldest()
		f = &firstTokenWindows{current: newWindow(), previous: newWindow()}
		h.models[model] = f
	}
	f.lastObserved = now
	if f.current.TotalCount() >= hedgeWindowSamples {
		f.previous, f.current = f.current, f.previous
		f.current.Reset()
	}
	sample := min(max(1, firstToken.Milliseconds()), maxHedgeDelay.Milliseconds())
	_ = f.current.RecordValue(sample) // the sample is within the histogram's range
}

// evictOldest removes the model whose latest sample is the oldest if the table
// is full.
func (h *Hedger) evictOldest() {
	if len(h.models) < maxHedgeModels {
		return
	}
	ids := slices.Sorted(maps.Keys(h.models))
	oldest := slices.MinFunc(ids, func(a, b fleet.ModelID) int {
		return cmp.Compare(h.models[a].lastObserved.UnixNano(), h.models[b].lastObserved.UnixNano())
	})
	delete(h.models, oldest)
}

// Delay returns how long to wait for the first token before hedging. It returns
// the maximum delay while there are too few samples of the model.
func (h *Hedger) Delay(model fleet.ModelID) time.Duration {
	f := h.models[model]
	if f == nil || f.current.TotalCount()+f.previous.TotalCount() < minHedgeSamples {
		return maxHedgeDelay
	}
	highest := max(f.current.ValueAtQuantile(hedgeQuantile), f.previous.ValueAtQuantile(hedgeQuantile))
	delay := time.Duration(hedgeFactor * float64(time.Duration(highest)*time.Millisecond))
	return min(max(minHedgeDelay, delay), maxHedgeDelay)
}

// MayHedge reports whether an attempt may be hedged: the request is idempotent,
// no part of the response has arrived (started), and it has not been hedged
// before. The caller must send the hedge on a connection that no earlier request
// has used, and take a token from the RetryBudget for it.
func MayHedge(idempotent, started bool, hedges int) bool {
	return idempotent && !started && hedges == 0
}
