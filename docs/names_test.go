package docs_test

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/invariant"
)

// Pages whose documented names are compared with the code.
const (
	namesPage   = "operations/metrics-and-logs.md"
	callersPage = "CALLERS.md"
	frontPage   = "OPERATIONS.md" // entry nodes on the users' platform
)

// isFrontFile reports whether a file belongs to the front, the entry nodes on the
// users' platform. Its events are documented on frontPage.
func isFrontFile(path string) bool {
	return strings.Contains(path, "internal/front/") || strings.HasSuffix(path, "cmd/redwingnotch/front.go") ||
		strings.HasSuffix(path, "telemetry/bounded.go")
}

// readCode returns the contents of all Go files except tests: those of the front if
// front is set, the others otherwise.
func readCode(t *testing.T, front bool) string {
	t.Helper()
	var all strings.Builder
	for path, text := range readFiles(t, ".go") {
		if !strings.HasSuffix(path, "_test.go") && isFrontFile(path) == front {
			all.WriteString(text)
		}
	}
	return all.String()
}

// readPage returns the contents of a page.
func readPage(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	assert.NilError(t, err)
	return string(text)
}

// matchNames returns all matches of the first group of the expression.
func matchNames(text, expression string) map[string]bool {
	names := make(map[string]bool)
	for _, match := range regexp.MustCompile(expression).FindAllStringSubmatch(text, -1) {
		names[match[1]] = true
	}
	return names
}

func TestNamesPageListsEveryNameInCode(t *testing.T) {
	text := readPage(t, namesPage)
	source := readCode(t, false)
	// The first group of expression matches the names in the code, and must match known;
	// before and after surround a name on the page.
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
		names := matchNames(source, kind.expression)
		assert.Assert(t, names[kind.known], "no %s %q in the code: update this test", kind.what, kind.known)
		for name := range names {
			assert.Assert(t, strings.Contains(text, kind.before+name+kind.after), "%s %q is not on %s", kind.what, name, namesPage)
		}
	}
}

func TestNamesPageListsOnlyExistingEvents(t *testing.T) {
	_, section, found := strings.Cut(readPage(t, namesPage), "\n## Log events")
	assert.Assert(t, found)
	section, _, found = strings.Cut(section, "\n## Reasons")
	assert.Assert(t, found)
	source := readCode(t, false)
	for line := range strings.Lines(section) {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		column, _, _ := strings.Cut(line[1:], "|")
		for name := range matchNames(column, "`(\\w+)`") {
			assert.Assert(t, strings.Contains(source, `"`+name+`"`), "event %q of %s is not in the code", name, namesPage)
		}
	}
}

func TestCallersPageListsEveryErrorCode(t *testing.T) {
	text := readPage(t, callersPage)
	codes := matchNames(readCode(t, false), `\bCode\w+\s+(?:Refusal)?Code\s+=\s+"(\w+)"`)
	for _, known := range []string{"bad_request", "overloaded", "owner_gone"} {
		assert.Assert(t, codes[known], "no code %q in the code: update this test", known)
	}
	for name := range codes {
		assert.Assert(t, strings.Contains(text, "`"+name+"`"), "code %q is not on %s", name, callersPage)
	}
}

// TestFrontPageListsExactlyTheEventsInCode checks that every event of the front is
// on its page, and that every event on the page is in the code.
func TestFrontPageListsExactlyTheEventsInCode(t *testing.T) {
	text := readPage(t, frontPage)
	names := matchNames(readCode(t, true), `"event",\s*"(\w+)"|event=(\w+)`)
	for name := range matchNames(readCode(t, true), `event=(\w+)`) {
		names[name] = true
	}
	delete(names, "")
	assert.Assert(t, names["request"], "no event \"request\" in the code: update this test")
	for name := range names {
		assert.Assert(t, strings.Contains(text, "`"+name+"`"), "log event %q is not on %s", name, frontPage)
	}
	_, section, found := strings.Cut(text, "\n## Events")
	assert.Assert(t, found)
	section, _, found = strings.Cut(section, "\n## Metrics")
	assert.Assert(t, found)
	for line := range strings.Lines(section) {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		column, _, _ := strings.Cut(line[1:], "|")
		for name := range matchNames(column, "`(\\w+)`") {
			assert.Assert(t, names[name], "%s has an event %q that is not in the code", frontPage, name)
		}
	}
}
