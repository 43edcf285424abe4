package docs_test

import (
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	headingLink = regexp.MustCompile(`\]\(([^)#:]*)#([^)]+)\)`)
	heading     = regexp.MustCompile(`(?m)^#+ +(.+)$`)
	notInAnchor = regexp.MustCompile(`[^a-z0-9 _-]`)
)

// anchors returns the anchors of a page's headings.
func anchors(text string) map[string]bool {
	found := make(map[string]bool)
	for _, match := range heading.FindAllStringSubmatch(text, -1) {
		title := notInAnchor.ReplaceAllString(strings.ToLower(match[1]), "")
		found[strings.ReplaceAll(title, " ", "-")] = true
	}
	return found
}

func TestLinksToHeadingsLead(t *testing.T) {
	texts := pages(t)
	for path, text := range texts {
		for _, match := range headingLink.FindAllStringSubmatch(text, -1) {
			target := path
			if match[1] != "" {
				target = filepath.Join(filepath.Dir(path), match[1])
			}
			assert.Check(t, anchors(texts[target])[match[2]], "%s links to %s#%s", path, match[1], match[2])
		}
	}
}
