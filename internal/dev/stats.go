package dev

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// Range and precision of the histograms.
const (
	histogramMax    = int64(time.Minute / time.Microsecond) // microseconds; longer times count as this
	histogramDigits = 3                                     // significant decimal digits
)

// FirstTokenTargets holds the target time to the first token of each rank.
var FirstTokenTargets = [fleet.RankCount]time.Duration{2 * time.Second, 10 * time.Second, 30 * time.Second}

// RankStats counts the requests of one rank by result.
type RankStats struct {
	Sent         int
	WithinTarget int // answered, first token within the rank's target
	Late         int // answered, first token after the rank's target
	Refused      int
	Expired      int
	Failed       int
	Wrong        int
	NoResponse   int
	Retried      int            // answered, but not at the first try
	Failures     map[string]int // failed requests and those without a response, by Reply.Code
}

// Stats collects the results and latencies of all callers' requests. Use
// NewStats to create one. Safe for concurrent use.
type Stats struct {
	mu         sync.Mutex
	ranks      [fleet.RankCount]RankStats
	firstToken [fleet.RankCount]*hdrhistogram.Histogram
	coldStart  *hdrhistogram.Histogram
}

// NewStats returns Stats without requests.
func NewStats() *Stats {
	m := &Stats{coldStart: newHistogram()}
	for rank := range m.firstToken {
		m.firstToken[rank] = newHistogram()
		m.ranks[rank].Failures = map[string]int{}
	}
	return m
}

// newHistogram returns an empty histogram of times in microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

// Add counts a reply. The parameter coldStart means that the model had no replica
// when the request was sent.
func (s *Stats) Add(r Reply, coldStart bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row := &s.ranks[r.Rank]
	row.Sent++
	switch r.Result {
	case Refused:
		row.Refused++
	case Expired:
		row.Expired++
	case Failed:
		row.Failed++
		row.Failures[r.Code]++
	case Wrong:
		row.Wrong++
	case NoResponse:
		row.NoResponse++
		row.Failures[r.Code]++
	case Answered:
		s.addAnswered(row, r, coldStart)
	}
}

func (s *Stats) addAnswered(row *RankStats, r Reply, coldStart bool) {
	if r.Tries > 1 {
		row.Retried++
	}
	if r.FirstToken <= FirstTokenTargets[r.Rank] {
		row.WithinTarget++
	} else {
		row.Late++
	}
	value := min(r.FirstToken.Microseconds(), histogramMax)
	recordValue(s.firstToken[r.Rank], value)
	if coldStart {
		recordValue(s.coldStart, value)
	}
}

func recordValue(h *hdrhistogram.Histogram, value int64) {
	if err := h.RecordValue(value); err != nil {
		panic(err) // the value is within the histogram's range
	}
}

// Rank returns a copy of the counts of a rank; it shares the map Failures.
func (s *Stats) Rank(rank fleet.Rank) RankStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ranks[rank]
}

// print writes a table of cold start latency, idle accelerator time and duplicate
// orders, a table of results and latencies by rank, and the failures by code.
func (s *Stats) print(out io.Writer, d *Deployment, duplicates int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "cold start, time to first token\tp50 %s\tp99 %s\t%d samples\n",
		quantile(s.coldStart, 50), quantile(s.coldStart, 99), s.coldStart.TotalCount())
	idle, loaded := d.idleTime()
	fmt.Fprintf(w, "idle accelerator time\t%.1f s idle\tof %.1f s loaded\tseconds of this run, one accelerator per engine\n",
		idle.Seconds(), loaded.Seconds())
	fmt.Fprintf(w, "duplicate orders\t%d\n", duplicates)
	w.Flush()
	fmt.Fprintln(out)
	fmt.Fprintln(w, "rank\tsent\twithin target\tlate\trefused, not run\texpired\tfailed\twrong\tlost\tretried\tfirst token p50\tp99\ttarget")
	for rank, row := range s.ranks {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\n", fleet.Rank(rank), row.Sent, row.WithinTarget, row.Late,
			row.Refused, row.Expired, row.Failed, row.Wrong, row.NoResponse, row.Retried,
			quantile(s.firstToken[rank], 50), quantile(s.firstToken[rank], 99), FirstTokenTargets[rank])
	}
	w.Flush()
	for rank, row := range s.ranks {
		for code, n := range row.Failures {
			fmt.Fprintf(out, "%s: %d times: %s\n", fleet.Rank(rank), n, code)
		}
	}
}

// quantile returns the time at the percentile q, from 0 to 100.
func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	value := time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
	return value.Round(time.Millisecond)
}

// idleTime returns the time that engines had a replica ready but no request
// running, and the time that they had a replica ready, each summed over all
// engines.
func (d *Deployment) idleTime() (idle, loaded time.Duration) {
	for _, e := range d.Engines {
		counts := e.Counts()
		loaded += counts.ReadyTime
		idle += counts.ReadyTime - counts.BusyTime
	}
	return idle, loaded
}
