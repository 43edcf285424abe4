// Command settingspage generates docs/operations/settings.md, the table of all
// settings of the daemon, from the daemon's own declarations.
//
//	go run ./internal/settingspage
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/alexflint/go-arg"

	"github.com/redwingnotch/redwingnotch/internal/settings"
)

// options are the command's flags.
type options struct {
	Out string `arg:"--out" default:"docs/operations/settings.md" help:"page to write"`
}

func main() {
	var o options
	arg.MustParse(&o)
	if err := os.WriteFile(o.Out, []byte(page(settings.DaemonSettings())), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, "settingspage:", err)
		os.Exit(1)
	}
}

// head is the page up to the rows of the table.
const head = `# Settings of redwingnotch

Written by ` + "`go run ./internal/settingspage`" + ` from the daemon's own declarations.
Each setting is a flag and an environment variable; the flag wins. All settings
are checked at the start; all faults are reported together and the daemon exits
with 2.

| flag | environment variable | default | allowed | meaning |
|---|---|---|---|---|
`

// page returns the page in Markdown.
func page(rows []settings.Setting) string {
	var out strings.Builder
	out.WriteString(head)
	for _, row := range rows {
		fmt.Fprintf(&out, "| `%s` | `%s` | %s | %s | %s |\n", row.Flag, row.Env, row.Default, allowedValues(row), row.Help)
	}
	return out.String()
}

// allowedValues describes the values that a setting accepts; empty if any.
func allowedValues(row settings.Setting) string {
	switch {
	case row.Choices != "":
		return strings.ReplaceAll(row.Choices, "|", ", ")
	case row.Lowest != "" || row.Highest != "":
		return row.Lowest + " to " + row.Highest
	}
	return ""
}
