// Command rounds prints a Markdown page from a directory of journal entries. For each
// site it has a table of score runs with the worth of each day and the violated rules.
//
//	go run ./rounds ../journal > ../docs/measurements.md
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// entry is a journal entry of one run, reduced to the fields used here.
type entry struct {
	ID    string   `json:"id"`
	At    []string `json:"at"` // start and end time
	Cmd   string   `json:"cmd"`
	Why   string   `json:"why"`
	Site  string   `json:"site"`
	Score *float64 `json:"score"`
	Days  []day    `json:"days"`
}

// day is the result of one simulated day of a score run.
type day struct {
	Name           string         `json:"name"`
	Worth          float64        `json:"G"`
	Served         float64        `json:"served"`
	Refused        float64        `json:"refused"`
	Failed         float64        `json:"failed"`
	Rules          map[string]any `json:"rules"` // violated rules, by name
	FullScoreWorth float64        `json:"top"`   // worth at which the day's score is 1
}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: rounds JOURNAL")
		os.Exit(2)
	}
	entries, err := readEntries(os.Args[1])
	if err == nil {
		err = writeReport(os.Stdout, entries)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "rounds:", err)
		os.Exit(1)
	}
}

// readEntries returns the entries of a directory in the order of their file names,
// which start with the time.
func readEntries(directory string) ([]entry, error) {
	paths, err := filepath.Glob(filepath.Join(directory, "*.json"))
	if err != nil {
		return nil, err
	}
	slices.Sort(paths)
	var entries []entry
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		var e entry
		if err := json.Unmarshal(data, &e); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		entries = append(entries, e)
	}
	return entries, nil
}

const header = `# Measured rounds

Made from the journal by ` + "`go run ./rounds ../journal` in `tools/`" + `. Worth is benefit earned less
prices, by day; a day that broke a rule is marked. Worth of a naive proxy (a
trial on the first day of this milestone): tocka-prod 0.59, 0.36, 0.37, 0.40,
0.30, 0.21; colacion-gt 0.38, 0.23, 0.35, 0.29, -0.22, 0.03.
`

// writeReport writes the page: a table for each site and the counts by command.
func writeReport(out io.Writer, entries []entry) error {
	if _, err := fmt.Fprint(out, header); err != nil {
		return err
	}
	for _, site := range siteNames(entries) {
		if err := writeSite(out, site, entries); err != nil {
			return err
		}
	}
	return writeCommandCounts(out, entries)
}

// siteNames returns the sites with score runs, sorted.
func siteNames(entries []entry) []string {
	var names []string
	for _, e := range entries {
		if e.Cmd == "score" && e.Site != "" && !slices.Contains(names, e.Site) {
			names = append(names, e.Site)
		}
	}
	slices.Sort(names)
	return names
}

// writeSite writes the table of a site's score runs. The columns are the days of the
// first run, except those whose name starts with "fresh".
func writeSite(out io.Writer, site string, entries []entry) error {
	var days []string
	var table strings.Builder
	for _, e := range entries {
		if e.Cmd != "score" || e.Site != site || e.Score == nil {
			continue
		}
		if days == nil {
			for _, d := range e.Days {
				if !strings.HasPrefix(d.Name, "fresh") {
					days = append(days, d.Name)
				}
			}
		}
		fmt.Fprintf(&table, "| %s | %s | %.3f |", e.ID, e.Why, *e.Score)
		for _, name := range days {
			fmt.Fprintf(&table, " %s |", formatDay(e, name))
		}
		table.WriteString("\n")
	}
	_, err := fmt.Fprintf(out, "\n## %s\n\n| play | why | score | %s |\n|---|---|---|%s\n%s",
		site, strings.Join(days, " | "), strings.Repeat("---|", len(days)), table.String())
	return err
}

// formatDay returns the table cell of a day: its worth and the violated rules.
func formatDay(e entry, name string) string {
	for _, d := range e.Days {
		if d.Name != name {
			continue
		}
		text := fmt.Sprintf("%.2f", d.Worth)
		if len(d.Rules) > 0 {
			var violatedRules []string
			for rule := range d.Rules {
				violatedRules = append(violatedRules, rule)
			}
			slices.Sort(violatedRules)
			text += " **" + strings.Join(violatedRules, " ") + "**"
		}
		return text
	}
	return ""
}

// writeCommandCounts writes the number of entries by command.
func writeCommandCounts(out io.Writer, entries []entry) error {
	counts := map[string]int{}
	for _, e := range entries {
		counts[e.Cmd]++
	}
	var commands []string
	for command := range counts {
		commands = append(commands, command)
	}
	slices.Sort(commands)
	if _, err := fmt.Fprint(out, "\n## Plays in the journal\n\n| kind | number |\n|---|---|\n"); err != nil {
		return err
	}
	for _, command := range commands {
		if _, err := fmt.Fprintf(out, "| %s | %d |\n", command, counts[command]); err != nil {
			return err
		}
	}
	return nil
}
