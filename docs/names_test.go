package docs_test

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/invariant"
)

// Pages whose names are compared with the code.
const (
	namesPage   = "operations/metrics-and-logs.md"
	callersPage = "CALLERS.md"
)

// code returns the text of all Go files of the product, tests left out.
func code(t *testing.T) string {
	t.Helper()
	var all strings.Builder
	for path, text := range read(t, ".go") {
		if !strings.HasSuffix(path, "_test.go") {
			all.WriteString(text)
		}
	}
	return all.String()
}

// page returns the text of one page.
func page(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	assert.NilError(t, err)
	return string(text)
}

// namesIn returns what the first group of the expression matches.
func namesIn(text, expression string) map[string]bool {
	names := make(map[string]bool)
	for _, match := range regexp.MustCompile(expression).FindAllStringSubmatch(text, -1) {
		names[match[1]] = true
	}
	return names
}

func TestPageNamesWhatTheCodeReports(t *testing.T) {
	text := page(t, namesPage)
	written := code(t)
	for _, kind := range []struct {
		what, expression, known, before, after string
	}{
		{"log event", `"event",\s*"(\w+)"`, "order", "`", "`"},
		{"log event of keyed calls", `\.log\("(\w+)"`, "claim_failed", "`", "`"},
		{"metric", `meter\.\w+\("(\w+)"`, "redwingnotch_requests", "`", "`"},
		{"invariant", `\w+\s+Name\s+=\s+"(\w+)"`, string(invariant.ReplicaLimit), "`", "`"},
		{"audit outcome", `Outcome\w+\s+Outcome\s+=\s+"(accepted|refused|not accepted|unknown)"`, "not accepted", "`", "`"},
		{"reason of a blocked load", `BlockReason = "([^"]+)"`, "replica limit reached", "| ", " |"},
	} {
		names := namesIn(written, kind.expression)
		assert.Assert(t, names[kind.known], "no %s %q in the code: mend this test", kind.what, kind.known)
		for name := range names {
			assert.Assert(t, strings.Contains(text, kind.before+name+kind.after), "%s %q is not on %s", kind.what, name, namesPage)
		}
	}
}

func TestPageNamesNoEventThatTheCodeLacks(t *testing.T) {
	_, section, found := strings.Cut(page(t, namesPage), "\n## Log events")
	assert.Assert(t, found)
	section, _, found = strings.Cut(section, "\n## Reasons")
	assert.Assert(t, found)
	written := code(t)
	for line := range strings.Lines(section) {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		cell, _, _ := strings.Cut(line[1:], "|")
		for name := range namesIn(cell, "`(\\w+)`") {
			assert.Assert(t, strings.Contains(written, `"`+name+`"`), "event %q of %s is not in the code", name, namesPage)
		}
	}
}

func TestCallersPageNamesEveryCode(t *testing.T) {
	text := page(t, callersPage)
	codes := namesIn(code(t), `\bCode\w+\s+(?:Refusal)?Code\s+=\s+"(\w+)"`)
	for _, known := range []string{"bad_request", "overloaded", "owner_gone"} {
		assert.Assert(t, codes[known], "no code %q in the code: mend this test", known)
	}
	for name := range codes {
		assert.Assert(t, strings.Contains(text, "`"+name+"`"), "code %q is not on %s", name, callersPage)
	}
}
