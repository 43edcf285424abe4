// Command plots draws the SVG files in docs/plots from the benchmark results in
// docs/plots/data. The output is deterministic: equal data give equal bytes.
//
//	POLICY_JSON=$PWD/docs/plots/data/policy.jsonl go test -run '^$' -bench Policy -benchtime 1x ./internal/policybench
//	go test -run '^$' -bench ScaleMembership -benchtime 1x ./membership > docs/plots/data/membership.txt
//	go run ./internal/plots
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/alexflint/go-arg"
)

// options are the command's flags.
type options struct {
	Policy     string `arg:"--policy" default:"docs/plots/data/policy.jsonl" help:"JSON lines of the policy benchmark"`
	Membership string `arg:"--membership" default:"docs/plots/data/membership.txt" help:"output of the membership benchmark"`
	Out        string `arg:"--out" default:"docs/plots" help:"directory of the pictures"`
}

// plotFile is an SVG file to write.
type plotFile struct {
	name string
	svg  []byte
}

func main() {
	var o options
	arg.MustParse(&o)
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "plots:", err)
		os.Exit(1)
	}
}

// run reads the data and writes all plots.
func run(o options) error {
	plots, err := buildPlots(o.Policy, o.Membership)
	if err != nil {
		return err
	}
	for _, p := range plots {
		if err := os.WriteFile(filepath.Join(o.Out, p.name), p.svg, 0o644); err != nil {
			return fmt.Errorf("write plot: %w", err)
		}
	}
	return nil
}

// buildPlots draws all plots from the data files.
func buildPlots(policyPath, membershipPath string) ([]plotFile, error) {
	rows, err := readRows(policyPath)
	if err != nil {
		return nil, err
	}
	var out []plotFile
	for _, deployment := range deployments(rows) {
		cold, coldErr := plotColdStarts(rows, deployment)
		floods, floodErr := plotFloods(rows, deployment)
		if err := errors.Join(coldErr, floodErr); err != nil {
			return nil, fmt.Errorf("%s: %w", deployment, err)
		}
		out = append(out, plotFile{"cold-start-" + deployment + ".svg", cold}, plotFile{"floods-" + deployment + ".svg", floods})
	}
	bytes, err := plotBytesByMembers(membershipPath)
	if err != nil {
		return nil, err
	}
	return append(out, plotFile{"membership-bytes.svg", bytes}), nil
}
