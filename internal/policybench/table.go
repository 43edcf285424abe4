package policybench

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// Row is a line of the table and of the JSON lines output. Result and RankResult
// explain the counts; those of RankResult are summed over all ranks unless noted.
type Row struct {
	Deployment            string                   `json:"deployment"`
	Scenario              string                   `json:"scenario"`
	Policy                string                   `json:"policy"`
	ColdStarts            int                      `json:"cold_starts"`
	ColdP50               float64                  `json:"cold_p50_seconds"`
	ColdP95               float64                  `json:"cold_p95_seconds"`
	ColdP99               float64                  `json:"cold_p99_seconds"`
	ColdP99ToBound        float64                  `json:"cold_p99_to_bound"` // ratio of ColdP99 to the p99 of the bounds
	IdleHours             float64                  `json:"idle_hours"`
	IdleToBound           float64                  `json:"idle_to_bound"` // ratio of idle hours to the optimal policy's
	WithinTarget          [fleet.RankCount]float64 `json:"within_target"` // share of offered calls, by rank
	Answered              [fleet.RankCount]float64 `json:"answered"`      // share of offered calls, by rank
	SlotShare             [fleet.RankCount]float64 `json:"slot_share"`    // share of the slot time of all ranks
	RefusedBeforeDeadline int                      `json:"refused_before_deadline"`
	RefusedLate           int                      `json:"refused_at_deadline"`
	AnsweredLate          int                      `json:"answered_after_deadline"`
	LoadsPerBurst         float64                  `json:"loads_per_cold_burst"`
	ServersLost           int                      `json:"servers_lost"`
	Duplicates            int                      `json:"duplicates"`
	Lost                  int                      `json:"lost"`
	FalseNotRun           int                      `json:"false_not_run"`
	Failed                int                      `json:"failed"`
	Offered               [fleet.RankCount]int     `json:"offered"` // by rank
}

// Row summarizes a result.
func (r *Result) Row() Row {
	row := Row{
		Deployment:    r.Deployment,
		Scenario:      r.Scenario,
		Policy:        r.Policy,
		ColdStarts:    len(r.ColdFirstTokens),
		ColdP50:       seconds(quantile(r.ColdFirstTokens, 0.5)),
		ColdP95:       seconds(quantile(r.ColdFirstTokens, 0.95)),
		ColdP99:       seconds(quantile(r.ColdFirstTokens, 0.99)),
		IdleHours:     r.IdleHours,
		IdleToBound:   ratio(r.IdleHours, r.OptimalIdleHours),
		LoadsPerBurst: ratio(float64(r.LoadsInColdBursts), float64(r.ColdBursts)),
		ServersLost:   r.ServersLost,
		Duplicates:    r.Duplicates,
		Lost:          r.Lost,
		FalseNotRun:   r.FalseNotRun,
	}
	row.ColdP99ToBound = ratio(row.ColdP99, seconds(quantile(r.ColdBound, 0.99)))
	slotSeconds := 0.0
	for _, rank := range r.Ranks {
		slotSeconds += rank.SlotSeconds
	}
	for i, rank := range r.Ranks {
		row.Offered[i] = rank.Offered
		row.WithinTarget[i] = ratio(float64(rank.WithinTarget), float64(rank.Offered))
		row.Answered[i] = ratio(float64(rank.Answered), float64(rank.Offered))
		row.SlotShare[i] = ratio(rank.SlotSeconds, slotSeconds)
		row.RefusedBeforeDeadline += rank.RefusedEarly
		row.RefusedLate += rank.RefusedLate
		row.AnsweredLate += rank.LateAnswers
		row.Failed += rank.Failed
	}
	return row
}

// seconds returns a duration in seconds.
func seconds(d time.Duration) float64 { return d.Seconds() }

// WriteTable writes rows as an aligned table.
func WriteTable(out io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "deployment\tscenario\tpolicy\tcold n\tp50 s\tp95 s\tp99 s\tp99/bound\tidle h\tidle/bound\t"+
		"within target u/s/b %\tanswered u/s/b %\tslot share u/s/b %\trefused early\tat deadline\tanswered late\tloads/burst\tservers lost\tduplicates\tlost\tfalse not run\tfailed")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.2f\t%.1f\t%.2f\t%s\t%s\t%s\t%d\t%d\t%d\t%.2f\t%d\t%d\t%d\t%d\t%d\n",
			r.Deployment, r.Scenario, r.Policy, r.ColdStarts, r.ColdP50, r.ColdP95, r.ColdP99, r.ColdP99ToBound,
			r.IdleHours, r.IdleToBound, percents(r.WithinTarget), percents(r.Answered), percents(r.SlotShare),
			r.RefusedBeforeDeadline, r.RefusedLate, r.AnsweredLate, r.LoadsPerBurst, r.ServersLost, r.Duplicates, r.Lost, r.FalseNotRun, r.Failed)
	}
	return t.Flush()
}

// percents formats the shares of the three ranks as percentages.
func percents(shares [fleet.RankCount]float64) string {
	return fmt.Sprintf("%.1f/%.1f/%.1f", 100*shares[0], 100*shares[1], 100*shares[2])
}

// WriteJSON writes rows as JSON lines.
func WriteJSON(out io.Writer, rows []Row) error {
	enc := json.NewEncoder(out)
	for _, r := range rows {
		if err := enc.Encode(r); err != nil {
			return fmt.Errorf("write row: %w", err)
		}
	}
	return nil
}
