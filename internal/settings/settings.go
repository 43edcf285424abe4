// Package settings parses the flags and environment variables of the daemons. It
// checks all settings and reports all invalid ones together, each with its flag
// and environment variable.
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
	ExitOK              = 0 // graceful shutdown
	ExitFailure         = 1 // failed while running, or requests were aborted on shutdown
	ExitInvalidSettings = 2 // invalid settings; nothing was started
	ExitNameInUse       = 3 // another daemon with the same node name is running
)

// InvalidSetting is one invalid setting.
type InvalidSetting struct {
	Flag    string // such as --tick; empty if the problem concerns several flags
	Env     string // environment variable of the setting
	Value   string // value as given
	Problem string // what is wrong, such as "is missing"
}

// Error implements error.
func (f InvalidSetting) Error() string {
	if f.Flag == "" {
		return f.Problem
	}
	return fmt.Sprintf("%s (%s): %q %s", f.Flag, f.Env, f.Value, f.Problem)
}

// InvalidSettings are all invalid settings of one start.
type InvalidSettings []InvalidSetting

// Error implements error with one line per invalid setting.
func (s InvalidSettings) Error() string {
	lines := make([]string, len(s))
	for i, f := range s {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Setting describes one setting for the documentation.
type Setting struct {
	Flag    string
	Env     string
	Default string
	Lowest  string // lowest value; empty if unbounded
	Highest string // highest value; empty if unbounded
	Choices string // allowed values, separated by |
	Help    string // help text, including the unit
}

// checker is implemented by settings with checks that concern several fields.
type checker interface{ invalidSettings() []InvalidSetting }

// boundedValue is implemented by the value types of this package. problem returns
// why the value is invalid or out of range, or an empty text; text returns the
// value as given.
type boundedValue interface {
	problem(lowest, highest string) string
	text() string
}

// Parse parses flags and environment variables into dest, a pointer to a struct of
// settings, and checks them. If help or version was requested, it writes that to
// out and returns done. The error is of type InvalidSettings if settings are invalid.
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
		return false, append(InvalidSettings{{Problem: err.Error()}}, Check(dest)...)
	}
	if invalid := Check(dest); len(invalid) > 0 {
		return false, invalid
	}
	return false, nil
}

// Check returns the invalid settings in dest, a pointer to a struct of settings.
func Check(dest any) InvalidSettings {
	var invalidSettings InvalidSettings
	value := reflect.ValueOf(dest).Elem()
	for i := range value.NumField() {
		setting, ok := parseSetting(value.Type().Field(i))
		if !ok {
			continue
		}
		field := value.Field(i).Interface()
		if problem, text := checkField(field, setting, value.Type().Field(i)); problem != "" {
			invalidSettings = append(invalidSettings, InvalidSetting{Flag: setting.Flag, Env: setting.Env, Value: text, Problem: problem})
		}
	}
	if c, ok := dest.(checker); ok {
		invalidSettings = append(invalidSettings, c.invalidSettings()...)
	}
	return invalidSettings
}

// checkField returns what is wrong with a field, if anything, and its value as text.
func checkField(field any, setting Setting, def reflect.StructField) (problem, text string) {
	if b, ok := field.(boundedValue); ok {
		return b.problem(setting.Lowest, setting.Highest), b.text()
	}
	s, ok := field.(string)
	if !ok {
		return "", ""
	}
	if s == "" && def.Tag.Get("need") == "true" {
		return "is missing", s
	}
	if setting.Choices != "" && !contains(strings.Split(setting.Choices, "|"), s) {
		return "is not one of " + strings.ReplaceAll(setting.Choices, "|", ", "), s
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

// SettingsOf returns the settings of dest, a pointer to a struct, in the order of its
// fields.
func SettingsOf(dest any) []Setting {
	t := reflect.TypeOf(dest).Elem()
	var settings []Setting
	for i := range t.NumField() {
		if setting, ok := parseSetting(t.Field(i)); ok {
			settings = append(settings, setting)
		}
	}
	return settings
}

// parseSetting parses the tags of a field and reports whether the field is a setting.
func parseSetting(field reflect.StructField) (Setting, bool) {
	tag := field.Tag.Get("arg")
	if tag == "" {
		return Setting{}, false
	}
	setting := Setting{
		Default: field.Tag.Get("default"),
		Lowest:  field.Tag.Get("min"),
		Highest: field.Tag.Get("max"),
		Choices: field.Tag.Get("choices"),
		Help:    field.Tag.Get("help"),
	}
	for _, part := range strings.Split(tag, ",") {
		if strings.HasPrefix(part, "--") {
			setting.Flag = part
		}
		if env, ok := strings.CutPrefix(part, "env:"); ok {
			setting.Env = env
		}
	}
	return setting, setting.Flag != ""
}
