// Package docs_test checks the Markdown pages against the code and each other:
// references to tests, links, and the documented events, metrics and error codes.
package docs_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	testReference   = regexp.MustCompile("`((?:Test|Fuzz|Benchmark)[A-Za-z]+)`")
	testDeclaration = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)[A-Za-z]+)\(`)
	pageLink        = regexp.MustCompile(`\]\(([^)#:]+\.md)(?:#[^)]*)?\)`)
)

// readPages returns the contents of all Markdown files of the repository, by path.
func readPages(t *testing.T) map[string]string {
	t.Helper()
	return readFiles(t, ".md")
}

// readFiles returns the contents of all files of the repository with the suffix, by
// path.
func readFiles(t *testing.T, suffix string) map[string]string {
	t.Helper()
	texts := make(map[string]string)
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, suffix) {
			return err
		}
		text, err := os.ReadFile(path)
		texts[path] = string(text)
		return err
	})
	assert.NilError(t, err)
	return texts
}

func TestPagesReferenceExistingTests(t *testing.T) {
	declared := make(map[string]bool)
	for _, text := range readFiles(t, "_test.go") {
		for _, match := range testDeclaration.FindAllStringSubmatch(text, -1) {
			declared[match[1]] = true
		}
	}
	for path, text := range readPages(t) {
		for _, match := range testReference.FindAllStringSubmatch(text, -1) {
			assert.Check(t, declared[match[1]], "%s names %s, which doesn't exist", path, match[1])
		}
	}
}

func TestLinksBetweenPagesResolve(t *testing.T) {
	for path, text := range readPages(t) {
		for _, match := range pageLink.FindAllStringSubmatch(text, -1) {
			_, err := os.Stat(filepath.Join(filepath.Dir(path), match[1]))
			assert.Check(t, err == nil, "%s links to %s, which doesn't exist", path, match[1])
		}
	}
}
