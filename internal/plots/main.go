// Command plots writes the pictures in docs/plots from the measured tables in
// docs/plots/data. The same data give the same files, byte by byte.
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

// picture is one file to write.
type picture struct {
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

// run reads the data and writes all pictures.
func run(o options) error {
	pictures, err := build(o.Policy, o.Membership)
	if err != nil {
		return err
	}
	for _, p := range pictures {
		if err := os.WriteFile(filepath.Join(o.Out, p.name), p.svg, 0o644); err != nil {
			return fmt.Errorf("write picture: %w", err)
		}
	}
	return nil
}

// build returns all pictures of the data.
func build(policyPath, membershipPath string) ([]picture, error) {
	rows, err := readRows(policyPath)
	if err != nil {
		return nil, err
	}
	var out []picture
	for _, deployment := range deployments(rows) {
		cold, coldErr := coldStarts(rows, deployment)
		floods, floodErr := floodService(rows, deployment)
		if err := errors.Join(coldErr, floodErr); err != nil {
			return nil, fmt.Errorf("%s: %w", deployment, err)
		}
		out = append(out, picture{"cold-start-" + deployment + ".svg", cold}, picture{"floods-" + deployment + ".svg", floods})
	}
	bytes, err := bytesByMembers(membershipPath)
	if err != nil {
		return nil, err
	}
	return append(out, picture{"membership-bytes.svg", bytes}), nil
}
