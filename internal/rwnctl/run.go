// Package rwnctl implements the commands of the operators' tool cmd/rwnctl.
package rwnctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/redwingnotch/redwingnotch/admin"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/release"
)

// Exit codes.
const (
	ExitOK          = 0
	ExitRefused     = 1 // the release note has findings, was refused or (settle) was not accepted, or the request is not known; nothing changed
	ExitUsage       = 2 // the command line or a file name is invalid; nothing changed
	ExitUnknown     = 3 // a change may have taken effect, or may take effect later
	ExitUnavailable = 4 // the platform or nodes are unavailable; nothing changed
)

// Env holds the streams, clock and object API access of a run, which tests
// replace.
type Env struct {
	In        io.Reader
	Out       io.Writer
	Err       io.Writer
	Now       func() time.Time
	OpenStore func(url string) platform.Store // returns the object API at --platform-url
}

// DefaultEnv returns an Env with the standard streams and clock of the process.
func DefaultEnv() Env {
	return Env{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Now: time.Now, OpenStore: openStore}
}

func openStore(url string) platform.Store {
	return platform.NewClient(platform.Options{BaseURL: url})
}

// run is one execution of the tool.
type run struct {
	Env
	args *Args
}

// Run executes the command line, without the program's name, and returns the exit
// code.
func Run(ctx context.Context, args []string, env Env) int {
	parsed, done, err := parseArgs(args, env.Out)
	if err != nil {
		fmt.Fprintf(env.Err, "rwnctl: %v\n", err)
		return ExitUsage
	}
	if done {
		return ExitOK
	}
	ctx, cancel := context.WithTimeout(ctx, parsed.Timeout)
	defer cancel()
	r := &run{Env: env, args: parsed}
	if err := r.runCommand(ctx); err != nil {
		r.writeError(err)
		return exitCode(err)
	}
	return ExitOK
}

// runCommand executes the command that the command line names.
func (r *run) runCommand(ctx context.Context) error {
	a := r.args
	switch {
	case a.Check != nil:
		return r.check(ctx, a.Check.File)
	case a.Apply != nil:
		return r.apply(ctx, a.Apply.File)
	case a.Withdraw != nil:
		return r.withdraw(ctx, a.Withdraw.Target)
	case a.Settle != nil:
		return r.settle(ctx, a.Settle.ID)
	case a.Status != nil:
		return r.status(ctx)
	case a.Audit != nil:
		return r.audit(ctx, a.Audit.Since)
	}
	if a.Explain.Log != "" {
		return r.explainLog(a.Explain.Log, a.Explain.RequestID)
	}
	return r.explain(ctx, a.Explain.RequestID)
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	switch {
	case errors.Is(err, errUsage), errors.Is(err, release.ErrBadID):
		return ExitUsage
	case errors.Is(err, release.ErrUnknown):
		return ExitUnknown
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrBudget), errors.Is(err, admin.ErrUnreachable),
		errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return ExitUnavailable
	}
	return ExitRefused
}

// errUsage is wrapped by errors about an invalid argument.
var errUsage = errors.New("invalid argument")

// errorResult is an error as written with --output json.
type errorResult struct {
	Error      string              `json:"error"`
	ExitCode   int                 `json:"exit_code"`
	Findings   release.Findings    `json:"findings,omitempty"`
	Collisions []release.Collision `json:"collisions,omitempty"`
	ID         string              `json:"id,omitempty"` // argument for settle if the outcome is unknown
}

// writeError writes an error to the error stream in the chosen output format.
func (r *run) writeError(err error) {
	if r.args.Output != outputJSON {
		r.writeErrorText(err)
		return
	}
	f := errorResult{Error: err.Error(), ExitCode: exitCode(err)}
	errors.As(err, &f.Findings)
	var conflict *release.ConflictError
	if errors.As(err, &conflict) {
		f.Collisions = conflict.Collisions
	}
	var unknown *release.UnknownError
	if errors.As(err, &unknown) {
		f.ID = unknown.ID
	}
	_ = r.writeJSON(r.Err, f)
}

// writeErrorText writes an error as text. Findings are written one per line, each
// after the name of the release note.
func (r *run) writeErrorText(err error) {
	var findings release.Findings
	if !errors.As(err, &findings) {
		fmt.Fprintf(r.Err, "rwnctl: %v\n", err)
		return
	}
	for _, f := range findings {
		fmt.Fprintf(r.Err, "%s:%s\n", r.noteName(), f)
	}
	fmt.Fprintf(r.Err, "rwnctl: %d findings, nothing applied\n", len(findings))
}

// noteName returns the name of the release note that findings refer to: its file,
// or the target of withdraw.
func (r *run) noteName() string {
	switch {
	case r.args.Check != nil:
		return r.args.Check.File
	case r.args.Apply != nil:
		return r.args.Apply.File
	}
	return r.args.Withdraw.Target
}

// writeResult writes a result as JSON, or calls table to write it as text in
// tab-separated columns.
func (r *run) writeResult(result any, table func(w io.Writer)) error {
	if r.args.Output == outputJSON {
		return r.writeJSON(r.Out, result)
	}
	w := tabwriter.NewWriter(r.Out, 0, 0, 2, ' ', 0)
	table(w)
	return w.Flush()
}

// writeJSON writes a value as indented JSON.
func (r *run) writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// ago formats how long ago a time was, in whole seconds; "never" for the zero
// time.
func (r *run) ago(t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return r.Now().Sub(t).Truncate(time.Second).String() + " ago"
}
