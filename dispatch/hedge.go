package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// Bounds of hedging.
const (
	hedgeQuantile   = 99.0
	hedgeFactor     = 1.5                    // of the quantile
	minHedgeDelay   = 200 * time.Millisecond // below this a hedge costs more than it gives
	maxHedgeDelay   = 30 * time.Second
	minHedgeSamples = 20
	hedgeWindow     = 1000 // samples after which an older window is forgotten
	maxHedgeModels  = 512
)

// Hedger learns the first-token times of each model and tells when a try that
// has not started is worth one hedge on a new connection.
type Hedger struct {
	models map[fleet.ModelID]*firstTokens
}

// firstTokens holds the first-token times of one model in two windows.
type firstTokens struct {
	current, previous *hdrhistogram.Histogram // milliseconds
	usedAt            time.Time
}

// NewHedger returns a hedger that has learnt nothing.
func NewHedger() *Hedger {
	return &Hedger{models: make(map[fleet.ModelID]*firstTokens)}
}

// newWindow returns an empty window of about 10% resolution.
func newWindow() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxHedgeDelay.Milliseconds(), 1)
}

// Observe learns the time from dispatch to the first token of one answer by a
// ready replica.
func (h *Hedger) Observe(now time.Time, model fleet.ModelID, firstToken time.Duration) {
	f := h.models[model]
	if f == nil {
		h.makeRoom()
		f = &firstTokens{current: newWindow(), previous: newWindow()}
		h.models[model] = f
	}
	f.usedAt = now
	if f.current.TotalCount() >= hedgeWindow {
		f.previous, f.current = f.current, f.previous
		f.current.Reset()
	}
	sample := min(max(1, firstToken.Milliseconds()), maxHedgeDelay.Milliseconds())
	_ = f.current.RecordValue(sample) // the sample is within the histogram's range
}

// makeRoom forgets the model unused for longest when the table is full.
func (h *Hedger) makeRoom() {
	if len(h.models) < maxHedgeModels {
		return
	}
	ids := slices.Sorted(maps.Keys(h.models))
	oldest := slices.MinFunc(ids, func(a, b fleet.ModelID) int {
		return cmp.Compare(h.models[a].usedAt.UnixNano(), h.models[b].usedAt.UnixNano())
	})
	delete(h.models, oldest)
}

// Delay returns how long to wait for the first token before a hedge. It is the
// longest delay while too little is known.
func (h *Hedger) Delay(model fleet.ModelID) time.Duration {
	f := h.models[model]
	if f == nil || f.current.TotalCount()+f.previous.TotalCount() < minHedgeSamples {
		return maxHedgeDelay
	}
	highest := max(f.current.ValueAtQuantile(hedgeQuantile), f.previous.ValueAtQuantile(hedgeQuantile))
	delay := time.Duration(hedgeFactor * float64(time.Duration(highest)*time.Millisecond))
	return min(max(minHedgeDelay, delay), maxHedgeDelay)
}

// MayHedge reports whether a try may be hedged: it is idempotent, no part of
// its answer has come, and it was not hedged before. The hedge goes on a
// connection that no earlier request has used, and takes from the Budget.
func MayHedge(idempotent, started bool, hedges int) bool {
	return idempotent && !started && hedges == 0
}
