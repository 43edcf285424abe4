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
	histogramMax    = int64(time.Minute / time.Microsecond) // in microseconds
	histogramDigits = 3
)

// Targets are the times to the first token that callers expect, by rank.
var Targets = [fleet.RankCount]time.Duration{2 * time.Second, 10 * time.Second, 30 * time.Second}

// RankMeasures are the replies of one rank.
type RankMeasures struct {
	Sent     int
	Within   int // answered with the first token within the rank's target
	Late     int // answered later
	Refused  int
	Expired  int
	Failed   int
	Wrong    int
	Lost     int
	Retried  int // answered after more than one try
	Failures map[string]int
}

// Measures collects what callers got. Use NewMeasures. Safe for concurrent use.
type Measures struct {
	mu    sync.Mutex
	ranks [fleet.RankCount]RankMeasures
	first [fleet.RankCount]*hdrhistogram.Histogram
	cold  *hdrhistogram.Histogram
}

// NewMeasures returns empty measures.
func NewMeasures() *Measures {
	m := &Measures{cold: newHistogram()}
	for rank := range m.first {
		m.first[rank] = newHistogram()
		m.ranks[rank].Failures = map[string]int{}
	}
	return m
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

// Add counts a reply. Cold says that the model had no ready replica when the
// request was sent.
func (m *Measures) Add(r Reply, cold bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	row := &m.ranks[r.Rank]
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
	case Lost:
		row.Lost++
		row.Failures[r.Code]++
	case Answered:
		m.addAnswer(row, r, cold)
	}
}

func (m *Measures) addAnswer(row *RankMeasures, r Reply, cold bool) {
	if r.Tries > 1 {
		row.Retried++
	}
	if r.FirstToken <= Targets[r.Rank] {
		row.Within++
	} else {
		row.Late++
	}
	value := min(r.FirstToken.Microseconds(), histogramMax)
	record(m.first[r.Rank], value)
	if cold {
		record(m.cold, value)
	}
}

func record(h *hdrhistogram.Histogram, value int64) {
	if err := h.RecordValue(value); err != nil {
		panic(err) // the value is within the histogram's range
	}
}

// Rank returns the measures of a rank.
func (m *Measures) Rank(rank fleet.Rank) RankMeasures {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ranks[rank]
}

// print writes the tables of the users' measures.
func (m *Measures) print(out io.Writer, d *Deployment, duplicates int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "cold start, first token\tp50 %s\tp99 %s\t%d samples\n",
		quantile(m.cold, 50), quantile(m.cold, 99), m.cold.TotalCount())
	idle, loaded := d.idleTime()
	fmt.Fprintf(w, "idle accelerator time\t%.1f s idle\tof %.1f s loaded\tseconds of this run, one accelerator an engine\n",
		idle.Seconds(), loaded.Seconds())
	fmt.Fprintf(w, "duplicate orders\t%d\n", duplicates)
	w.Flush()
	fmt.Fprintln(out)
	fmt.Fprintln(w, "rank\tsent\twithin target\tlate\trefused, not run\texpired\tfailed\twrong\tlost\tretried\tfirst token p50\tp99\ttarget")
	for rank, row := range m.ranks {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\n", fleet.Rank(rank), row.Sent, row.Within, row.Late,
			row.Refused, row.Expired, row.Failed, row.Wrong, row.Lost, row.Retried,
			quantile(m.first[rank], 50), quantile(m.first[rank], 99), Targets[rank])
	}
	w.Flush()
	for rank, row := range m.ranks {
		for code, n := range row.Failures {
			fmt.Fprintf(out, "%s: %d times: %s\n", fleet.Rank(rank), n, code)
		}
	}
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	value := time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
	return value.Round(time.Millisecond)
}

// idleTime sums over the engines the time with a replica ready and nothing
// running, and the time with a replica ready.
func (d *Deployment) idleTime() (idle, loaded time.Duration) {
	for _, e := range d.Engines {
		counts := e.Counts()
		loaded += counts.LoadedTime
		idle += counts.LoadedTime - counts.BusyTime
	}
	return idle, loaded
}
