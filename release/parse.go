package release

import (
	"errors"
	"fmt"
	"slices"

	yaml "github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// noteParser reads a note from its YAML syntax tree and collects findings.
type noteParser struct {
	note     *Note
	findings Findings
}

// fieldReader reads the value of one field of a mapping.
type fieldReader struct {
	required bool
	read     func(value ast.Node, path string)
}

// ParseNote parses a release note and returns it with all errors found in it, or
// nil Findings. Note.Check validates the note against the state in force.
func ParseNote(data []byte) (*Note, Findings) {
	p := &noteParser{note: &Note{positions: map[fieldKey]NotePosition{}}}
	if len(data) > MaxNoteBytes {
		p.findings.add(NotePosition{1, 1}, "", "the note has %d bytes, but at most %d are allowed", len(data), MaxNoteBytes)
		return nil, p.findings
	}
	root, ok := p.parseFile(data)
	if !ok {
		return nil, p.findings.sorted()
	}
	p.readNote(root)
	p.checkConsistency()
	return p.note, p.findings.sorted()
}

// parseFile parses the YAML source and returns the root of its only document.
func (p *noteParser) parseFile(data []byte) (ast.Node, bool) {
	file, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		p.addSyntaxError(err)
		return nil, false
	}
	docs := slices.DeleteFunc(slices.Clone(file.Docs), func(d *ast.DocumentNode) bool { return d.Body == nil })
	if len(docs) == 0 {
		p.findings.add(NotePosition{1, 1}, "", "the note is empty")
		return nil, false
	}
	if len(docs) > 1 {
		p.findings.add(positionOf(docs[1].Body), "", "want one document, not %d", len(docs))
	}
	return docs[0].Body, true
}

// addSyntaxError adds the finding for a YAML syntax error.
func (p *noteParser) addSyntaxError(err error) {
	at := NotePosition{1, 1}
	text := err.Error()
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) {
		text = syntax.Message
		if syntax.Token != nil && syntax.Token.Position != nil {
			at = NotePosition{syntax.Token.Position.Line, syntax.Token.Position.Column}
		}
	}
	p.findings.add(at, "", "invalid YAML: %s", text)
}

// readNote reads the top-level fields of the note.
func (p *noteParser) readNote(root ast.Node) {
	p.mapping(root, "", map[string]fieldReader{
		"title":    {read: func(v ast.Node, path string) { p.note.Title = p.text(v, path, maxTitleBytes) }},
		"based_on": {read: p.readBasedOn},
		"models":   {read: func(v ast.Node, path string) { p.list(v, path, p.readModel) }},
		"adapters": {read: func(v ast.Node, path string) { p.list(v, path, p.readAdapter) }},
		"ranks":    {read: p.readRanks},
		"withdraw": {read: p.readWithdraw},
	})
}

// readBasedOn reads the version that the operator based the note on.
func (p *noteParser) readBasedOn(n ast.Node, path string) {
	p.note.BasedOn = uint64(p.integer(n, path, 1, 1<<62))
	p.note.positions[fieldKey{name: fieldBasedOn}] = positionOf(n)
}

// mapping reads the fields of a mapping. It reports unknown, duplicate and missing
// fields.
func (p *noteParser) mapping(n ast.Node, path string, readers map[string]fieldReader) {
	seen := map[string]bool{}
	for _, pair := range p.pairs(n, path) {
		name, ok := p.key(pair, path, seen)
		if !ok {
			continue
		}
		m, known := readers[name]
		if !known {
			p.findings.add(positionOf(pair.Key), joinPath(path, name), "unknown field")
			continue
		}
		m.read(pair.Value, joinPath(path, name))
	}
	for _, name := range sortedNames(readers) {
		if readers[name].required && !seen[name] && isMapping(n) {
			p.findings.add(p.startPosition(n), joinPath(path, name), "missing")
		}
	}
}

// key returns the field name of a pair. It reports a name that is in seen already
// and adds the name to seen.
func (p *noteParser) key(pair *ast.MappingValueNode, path string, seen map[string]bool) (string, bool) {
	key, ok := pair.Key.(*ast.StringNode)
	if !ok {
		p.findings.add(positionOf(pair.Key), path, "want a field name, not %s", nodeKind(pair.Key))
		return "", false
	}
	if seen[key.Value] {
		p.findings.add(positionOf(pair.Key), joinPath(path, key.Value), "duplicate field")
		return "", false
	}
	seen[key.Value] = true
	return key.Value, true
}

// pairs returns the key-value pairs of a mapping. It reports a node that is no
// mapping.
func (p *noteParser) pairs(n ast.Node, path string) []*ast.MappingValueNode {
	switch m := n.(type) {
	case *ast.MappingNode:
		return m.Values
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{m}
	}
	p.findings.add(positionOf(n), path, "want a mapping, not %s", nodeKind(n))
	return nil
}

// startPosition returns the position of a mapping's first key.
func (p *noteParser) startPosition(n ast.Node) NotePosition {
	if m, ok := n.(*ast.MappingNode); ok && len(m.Values) > 0 {
		return positionOf(m.Values[0].Key)
	}
	if m, ok := n.(*ast.MappingValueNode); ok {
		return positionOf(m.Key)
	}
	return positionOf(n)
}

func isMapping(n ast.Node) bool {
	switch n.(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		return true
	}
	return false
}

// list reads each entry of a list. It reports a node that is no list.
func (p *noteParser) list(n ast.Node, path string, read func(entry ast.Node, path string)) {
	l, ok := n.(*ast.SequenceNode)
	if !ok {
		p.findings.add(positionOf(n), path, "want a list, not %s", nodeKind(n))
		return
	}
	for i, entry := range l.Values {
		read(entry, fmt.Sprintf("%s[%d]", path, i))
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func sortedNames(readers map[string]fieldReader) []string {
	names := make([]string, 0, len(readers))
	for name := range readers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// recordRow records the positions of a row and its fields. It reports a row whose
// subject was recorded before.
func (p *noteParser) recordRow(subject string, n ast.Node, path string) {
	row := fieldKey{subject, fieldRow}
	if first, ok := p.note.positions[row]; ok {
		p.findings.add(p.startPosition(n), path, "%s is defined twice, first at line %d", subject, first.Line)
		return
	}
	p.note.positions[row] = p.startPosition(n)
	if !isMapping(n) {
		return
	}
	for _, pair := range p.pairs(n, path) {
		if key, ok := pair.Key.(*ast.StringNode); ok {
			p.note.positions[fieldKey{subject, fieldName(key.Value)}] = positionOf(pair.Key)
		}
	}
}

// readRanks reads the settings of the ranks that the note overrides.
func (p *noteParser) readRanks(n ast.Node, path string) {
	readers := map[string]fieldReader{}
	for r := range fleet.Rank(fleet.RankCount) {
		readers[r.String()] = fieldReader{read: func(v ast.Node, path string) { p.readRank(r, v, path) }}
	}
	p.mapping(n, path, readers)
}

// readRank reads the settings of one rank.
func (p *noteParser) readRank(r fleet.Rank, n ast.Node, path string) {
	row := RankSettings{Rank: r}
	p.mapping(n, path, map[string]fieldReader{
		"target": {required: true, read: func(v ast.Node, path string) { row.Target = p.duration(v, path, maxTarget) }},
		"floor":  {required: true, read: func(v ast.Node, path string) { row.Floor = p.number(v, path, 0, 1) }},
		"worth":  {required: true, read: func(v ast.Node, path string) { row.Worth = p.number(v, path, 0, maxWorth) }},
	})
	p.recordRow(rankSubject(r), n, path)
	p.note.Ranks = append(p.note.Ranks, row)
}
