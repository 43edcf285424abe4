package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/redwingnotch/redwingnotch/internal/policybench"
)

// Scenarios of the policy benchmark that are drawn.
const (
	scenarioOrdinary    = "ordinary-day"
	scenarioUrgentFlood = "urgent-flood"
	scenarioBulkFlood   = "bulk-flood"
)

// errNoRow means that the data contain no row for a run that a plot needs.
var errNoRow = errors.New("no such run in the data")

// readRows reads the JSON lines of the policy benchmark. It fails on unknown
// fields.
func readRows(path string) ([]policybench.Row, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("open policy results: %w", err)
	}
	defer f.Close()
	var rows []policybench.Row
	decoder := json.NewDecoder(f)
	decoder.DisallowUnknownFields()
	for {
		var row policybench.Row
		err := decoder.Decode(&row)
		if errors.Is(err, io.EOF) {
			return rows, nil
		}
		if err != nil {
			return nil, fmt.Errorf("read %s: %w", path, err)
		}
		rows = append(rows, row)
	}
}

// deployments returns the distinct deployment names, in the order of the data.
func deployments(rows []policybench.Row) []string {
	var names []string
	for _, row := range rows {
		if !slices.Contains(names, row.Deployment) {
			names = append(names, row.Deployment)
		}
	}
	return names
}

// findRow returns the row of a deployment, scenario and policy, or errNoRow.
func findRow(rows []policybench.Row, deployment, scenario, policy string) (policybench.Row, error) {
	for _, row := range rows {
		if row.Deployment == deployment && row.Scenario == scenario && row.Policy == policy {
			return row, nil
		}
	}
	return policybench.Row{}, fmt.Errorf("%w: %s, %s, %s", errNoRow, deployment, scenario, policy)
}
