package rwnctl

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
)

// Values of --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// Args holds the command, its arguments and the settings of one run.
type Args struct {
	Check    *CheckArgs    `arg:"subcommand:check" help:"report all findings of a release note, apply nothing"`
	Apply    *ApplyArgs    `arg:"subcommand:apply" help:"put a release note in force"`
	Withdraw *WithdrawArgs `arg:"subcommand:withdraw" help:"withdraw one model or adapter"`
	Settle   *SettleArgs   `arg:"subcommand:settle" help:"tell whether a note of unknown outcome was accepted"`
	Status   *StatusArgs   `arg:"subcommand:status" help:"show what is in force, where, and since when"`
	Audit    *AuditArgs    `arg:"subcommand:audit" help:"show the trail of changes"`
	Explain  *ExplainArgs  `arg:"subcommand:explain" help:"tell what became of a request, and why"`

	PlatformURL string        `arg:"--platform-url,env:REDWINGNOTCH_PLATFORM_URL" help:"URL of the platform's object API"`
	Nodes       string        `arg:"--nodes,env:REDWINGNOTCH_ADMIN_NODES" default:"127.0.0.1:8082" help:"admin addresses (IP:port) of nodes, separated by commas"`
	Operator    string        `arg:"--operator,env:REDWINGNOTCH_OPERATOR" help:"who makes a change, for the audit trail"`
	Output      string        `arg:"--output,env:REDWINGNOTCH_OUTPUT" default:"table" help:"table or json"`
	Timeout     time.Duration `arg:"--timeout,env:REDWINGNOTCH_TIMEOUT" default:"30s" help:"time for the whole command"`
}

// CheckArgs holds the arguments of the command check.
type CheckArgs struct {
	File string `arg:"positional,required" help:"release note; - reads standard input"`
}

// ApplyArgs holds the arguments of the command apply.
type ApplyArgs struct {
	File string `arg:"positional,required" help:"release note; - reads standard input"`
}

// WithdrawArgs holds the arguments of the command withdraw.
type WithdrawArgs struct {
	Target string `arg:"positional,required" help:"model or model+adapter"`
}

// SettleArgs holds the arguments of the command settle.
type SettleArgs struct {
	ID string `arg:"positional,required" help:"id that apply or withdraw printed"`
}

// StatusArgs holds the arguments of the command status.
type StatusArgs struct{}

// AuditArgs holds the arguments of the command audit.
type AuditArgs struct {
	Since time.Duration `arg:"--since" default:"24h" help:"how far to look back"`
}

// ExplainArgs holds the arguments of the command explain.
type ExplainArgs struct {
	RequestID string `arg:"positional,required" help:"id of the request, as its answer names it"`
	Log       string `arg:"--log" help:"log of entry nodes on the users' platform to read instead of asking nodes; - reads standard input"`
}

// Description returns the text that --help starts with.
func (*Args) Description() string {
	return "Operators' tool of redwingnotch."
}

// Epilogue returns the text that --help ends with.
func (*Args) Epilogue() string {
	return "Exit codes: 0 done, 1 findings or refused (nothing changed), 2 invalid usage, " +
		"3 outcome unknown (run settle to resolve it), 4 platform or nodes unavailable (nothing changed)."
}

// Version returns the text that --version prints.
func (*Args) Version() string { return "rwnctl" }

// parseArgs parses the command line and environment variables. The result done
// means that the command line asked for help or the version, which parseArgs has
// written to out.
func parseArgs(args []string, out io.Writer) (a *Args, done bool, err error) {
	a = &Args{}
	parser, err := arg.NewParser(arg.Config{Program: "rwnctl", Out: out, Exit: func(int) {}}, a)
	if err != nil {
		return nil, false, err
	}
	err = parser.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		return a, true, parser.WriteHelpForSubcommand(out, parser.SubcommandNames()...)
	case errors.Is(err, arg.ErrVersion):
		_, err = fmt.Fprintln(out, a.Version())
		return a, true, err
	case err != nil:
		return nil, false, err
	}
	return a, false, a.validate(parser.Subcommand() == nil)
}

// validate returns all errors in the settings, joined. The parameter noCommand
// means that the command line names no command.
func (a *Args) validate(noCommand bool) error {
	var errs []error
	if noCommand {
		errs = append(errs, errors.New("no command given; see --help"))
	}
	if a.Output != outputTable && a.Output != outputJSON {
		errs = append(errs, fmt.Errorf("--output: %q is not %s or %s", a.Output, outputTable, outputJSON))
	}
	if a.Timeout <= 0 {
		errs = append(errs, fmt.Errorf("--timeout: %v is not greater than zero", a.Timeout))
	}
	if a.PlatformURL == "" && (a.Apply != nil || a.Withdraw != nil || a.Settle != nil || a.Audit != nil) {
		errs = append(errs, errors.New("--platform-url: required by this command"))
	}
	if a.Operator == "" && (a.Apply != nil || a.Withdraw != nil) {
		errs = append(errs, errors.New("--operator: required by this command"))
	}
	return errors.Join(errs...)
}

// nodeAddresses returns the addresses in --nodes, without blanks and empty ones.
func (a *Args) nodeAddresses() []string {
	var addresses []string
	for _, s := range strings.Split(a.Nodes, ",") {
		if s = strings.TrimSpace(s); s != "" {
			addresses = append(addresses, s)
		}
	}
	return addresses
}
