package docscheck_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/invariant"
)

const (
	root        = "../.."
	page        = root + "/docs/operations/metrics-and-logs.md"
	callersPage = root + "/docs/CALLERS.md"
)

// sources returns the text of all Go files of the product, tests left out.
func sources(t *testing.T) string {
	t.Helper()
	var all strings.Builder
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		all.Write(text)
		return err
	})
	assert.NilError(t, err)
	return all.String()
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
	text, err := os.ReadFile(page)
	assert.NilError(t, err)
	code := sources(t)
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
		names := namesIn(code, kind.expression)
		assert.Assert(t, names[kind.known], "no %s %q in the code: mend this test", kind.what, kind.known)
		for name := range names {
			assert.Assert(t, strings.Contains(string(text), kind.before+name+kind.after), "%s %q is not on %s", kind.what, name, page)
		}
	}
}

func TestPageNamesNoEventThatTheCodeLacks(t *testing.T) {
	text, err := os.ReadFile(page)
	assert.NilError(t, err)
	_, section, found := strings.Cut(string(text), "\n## Log events")
	assert.Assert(t, found)
	section, _, found = strings.Cut(section, "\n## Reasons")
	assert.Assert(t, found)
	code := sources(t)
	for line := range strings.Lines(section) {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		cell, _, _ := strings.Cut(line[1:], "|")
		for name := range namesIn(cell, "`(\\w+)`") {
			assert.Assert(t, strings.Contains(code, `"`+name+`"`), "event %q of %s is not in the code", name, page)
		}
	}
}

func TestCallersPageNamesEveryCode(t *testing.T) {
	text, err := os.ReadFile(callersPage)
	assert.NilError(t, err)
	codes := namesIn(sources(t), `\bCode\w+\s+(?:Refusal)?Code\s+=\s+"(\w+)"`)
	for _, known := range []string{"bad_request", "overloaded", "owner_gone"} {
		assert.Assert(t, codes[known], "no code %q in the code: mend this test", known)
	}
	for code := range codes {
		assert.Assert(t, strings.Contains(string(text), "`"+code+"`"), "code %q is not on %s", code, callersPage)
	}
}
