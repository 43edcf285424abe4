// Package settings reads the flags and environment variables of the daemons.
// All settings are checked at once, and their faults are reported together,
// each with its flag and environment variable.
package settings

import (
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"

	"github.com/alexflint/go-arg"
)

// Exit codes of the daemons.
const (
	ExitOK          = 0 // graceful shutdown
	ExitFailure     = 1 // failed while running, or a stop had to cut requests
	ExitBadSettings = 2 // settings are faulty; nothing was started
	ExitNameInUse   = 3 // another daemon with the same node name is alive
)

// Fault is one faulty setting.
type Fault struct {
	Flag    string // such as --tick; empty if no single flag is at fault
	Env     string // environment variable of the same setting
	Value   string // as given
	Problem string
}

// Error implements error.
func (f Fault) Error() string {
	if f.Flag == "" {
		return f.Problem
	}
	return fmt.Sprintf("%s (%s): %q %s", f.Flag, f.Env, f.Value, f.Problem)
}

// Faults are all faulty settings of one start.
type Faults []Fault

// Error implements error, one line a fault.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Row describes one setting, for tables in help and docs.
type Row struct {
	Flag    string
	Env     string
	Default string
	Lowest  string // empty if unbounded
	Highest string
	Choices string // allowed words, separated by |
	Help    string // with the unit
}

// checker is implemented by settings that can make further checks across
// several fields.
type checker interface{ faults() []Fault }

// bounded is implemented by the typed values of this package.
type bounded interface {
	problem(lowest, highest string) string
	text() string
}

// Parse reads flags and environment variables into dest, a pointer to a struct
// of settings, and checks them. It writes help or version to out and returns
// done if one of these was asked for. The error is of type Faults.
func Parse(dest any, program string, args []string, out io.Writer) (done bool, err error) {
	parser, err := arg.NewParser(arg.Config{Program: program, Out: out, Exit: func(int) {}}, dest)
	if err != nil {
		return false, fmt.Errorf("settings of %s: %w", program, err)
	}
	switch err := parser.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		parser.WriteHelp(out)
		return true, nil
	case errors.Is(err, arg.ErrVersion):
		if v, ok := dest.(interface{ Version() string }); ok {
			fmt.Fprintln(out, v.Version())
		}
		return true, nil
	case err != nil:
		return false, append(Faults{{Problem: err.Error()}}, Check(dest)...)
	}
	if faults := Check(dest); len(faults) > 0 {
		return false, faults
	}
	return false, nil
}

// Check returns the faults of all settings in dest, a pointer to a struct.
func Check(dest any) Faults {
	var faults Faults
	value := reflect.ValueOf(dest).Elem()
	for i := range value.NumField() {
		row, ok := rowOf(value.Type().Field(i))
		if !ok {
			continue
		}
		field := value.Field(i).Interface()
		if problem, text := problemOf(field, row, value.Type().Field(i)); problem != "" {
			faults = append(faults, Fault{Flag: row.Flag, Env: row.Env, Value: text, Problem: problem})
		}
	}
	if c, ok := dest.(checker); ok {
		faults = append(faults, c.faults()...)
	}
	return faults
}

func problemOf(field any, row Row, def reflect.StructField) (problem, text string) {
	if b, ok := field.(bounded); ok {
		return b.problem(row.Lowest, row.Highest), b.text()
	}
	s, ok := field.(string)
	if !ok {
		return "", ""
	}
	if s == "" && def.Tag.Get("need") == "true" {
		return "is missing", s
	}
	if row.Choices != "" && !contains(strings.Split(row.Choices, "|"), s) {
		return "is none of " + strings.ReplaceAll(row.Choices, "|", ", "), s
	}
	return "", s
}

func contains(words []string, word string) bool {
	for _, w := range words {
		if w == word {
			return true
		}
	}
	return false
}

// TableOf lists the settings of a struct in the order of its fields.
func TableOf(dest any) []Row {
	t := reflect.TypeOf(dest).Elem()
	var rows []Row
	for i := range t.NumField() {
		if row, ok := rowOf(t.Field(i)); ok {
			rows = append(rows, row)
		}
	}
	return rows
}

// rowOf reads the tags of a field, and reports whether it is a setting.
func rowOf(field reflect.StructField) (Row, bool) {
	tag := field.Tag.Get("arg")
	if tag == "" {
		return Row{}, false
	}
	row := Row{
		Default: field.Tag.Get("default"),
		Lowest:  field.Tag.Get("min"),
		Highest: field.Tag.Get("max"),
		Choices: field.Tag.Get("choices"),
		Help:    field.Tag.Get("help"),
	}
	for _, part := range strings.Split(tag, ",") {
		if strings.HasPrefix(part, "--") {
			row.Flag = part
		}
		if env, ok := strings.CutPrefix(part, "env:"); ok {
			row.Env = env
		}
	}
	return row, row.Flag != ""
}
