// Command capacity generates docs/CAPACITY.md from a page template and the output
// of the benchmarks, so that every figure on the page comes from a run.
//
//	go test -run '^$' -bench Scale -benchtime 1x ./... > docs/capacity/bench.txt
//	go run ./internal/capacity
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/redwingnotch/redwingnotch/internal/benchresults"
)

// options are the command's flags.
type options struct {
	Bench    string `arg:"--bench" default:"docs/capacity/bench.txt" help:"output of go test -bench"`
	Template string `arg:"--template" default:"docs/capacity/CAPACITY.md.tmpl" help:"template of the page"`
	Out      string `arg:"--out" default:"docs/CAPACITY.md" help:"page to write"`
}

func main() {
	var o options
	arg.MustParse(&o)
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

// run generates the page and writes it to its file.
func run(o options) error {
	page, err := buildPage(o.Bench, o.Template)
	if err != nil {
		return err
	}
	if err := os.WriteFile(o.Out, page, 0o644); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	return nil
}

// buildPage returns the page generated from a benchmark output and a template.
func buildPage(benchPath, templatePath string) ([]byte, error) {
	bench, err := os.Open(benchPath)
	if err != nil {
		return nil, fmt.Errorf("open benchmark output: %w", err)
	}
	defer bench.Close()
	text, err := os.ReadFile(templatePath)
	if err != nil {
		return nil, fmt.Errorf("read page template: %w", err)
	}
	r, err := benchresults.Read(bench, benchPath)
	if err != nil {
		return nil, err
	}
	return renderPage(string(text), &pageFunctions{r})
}
