package release

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/goccy/go-yaml/ast"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// positionOf returns the position of the node, or the start of the note if the
// parser did not record one.
func positionOf(n ast.Node) NotePosition {
	if n == nil || n.GetToken() == nil || n.GetToken().Position == nil {
		return NotePosition{Line: 1, Column: 1}
	}
	at := n.GetToken().Position
	return NotePosition{Line: at.Line, Column: at.Column}
}

// nodeKind returns the kind of a node as findings name it.
func nodeKind(n ast.Node) string {
	switch n.(type) {
	case nil:
		return "nothing"
	case *ast.NullNode:
		return "nothing"
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.StringNode, *ast.LiteralNode:
		return "text"
	case *ast.IntegerNode:
		return "a whole number"
	case *ast.FloatNode:
		return "a number"
	case *ast.InfinityNode, *ast.NanNode:
		return "infinity or not-a-number"
	case *ast.BoolNode:
		return "true or false"
	case *ast.AnchorNode, *ast.AliasNode:
		return "an anchor or alias, which notes do not support"
	}
	return "something else"
}

// text reads a string of 1 to limit bytes. It returns an empty string on a finding.
func (p *noteParser) text(n ast.Node, path string, limit int) string {
	s, ok := n.(*ast.StringNode)
	if !ok {
		p.findings.add(positionOf(n), path, "want text, not %s", nodeKind(n))
		return ""
	}
	if s.Value == "" || len(s.Value) > limit || !utf8.ValidString(s.Value) {
		p.findings.add(positionOf(n), path, "want 1 to %d bytes of text", limit)
		return ""
	}
	return s.Value
}

// name reads a name: a string without spaces, control characters, "/" and "+". It
// returns an empty string on a finding.
func (p *noteParser) name(n ast.Node, path string, limit int) string {
	s := p.text(n, path, limit)
	bad := func(r rune) bool {
		return unicode.IsSpace(r) || unicode.IsControl(r) || r == '/' || r == '+'
	}
	if strings.ContainsFunc(s, bad) {
		p.findings.add(positionOf(n), path, "%q is not a name: spaces, control characters, / and + are not allowed", s)
		return ""
	}
	return s
}

// integer reads a whole number from lowest to highest. It returns lowest on a
// finding.
func (p *noteParser) integer(n ast.Node, path string, lowest, highest int64) int64 {
	i, ok := n.(*ast.IntegerNode)
	if !ok {
		p.findings.add(positionOf(n), path, "want a whole number, not %s", nodeKind(n))
		return lowest
	}
	value, ok := int64Of(i)
	if !ok || value < lowest || value > highest {
		p.findings.add(positionOf(n), path, "%s is out of range, want %d to %d", i.Token.Value, lowest, highest)
		return lowest
	}
	return value
}

func int64Of(n *ast.IntegerNode) (int64, bool) {
	switch v := n.Value.(type) {
	case int64:
		return v, true
	case uint64:
		return int64(v), v <= math.MaxInt64
	}
	return 0, false
}

// number reads a number from lowest to highest. It returns lowest on a finding.
func (p *noteParser) number(n ast.Node, path string, lowest, highest float64) float64 {
	var value float64
	switch v := n.(type) {
	case *ast.FloatNode:
		value = v.Value
	case *ast.IntegerNode:
		whole, _ := int64Of(v)
		value = float64(whole)
	default:
		p.findings.add(positionOf(n), path, "want a number, not %s", nodeKind(n))
		return lowest
	}
	if !(value >= lowest && value <= highest) {
		p.findings.add(positionOf(n), path, "%v is out of range, want %v to %v", value, lowest, highest)
		return lowest
	}
	return value
}

// duration reads a duration from 1ms to highest, such as 25s or 1m30s, and
// truncates it to milliseconds. It returns zero on a finding.
func (p *noteParser) duration(n ast.Node, path string, highest time.Duration) time.Duration {
	s := p.text(n, path, maxVersionBytes)
	if s == "" {
		return 0
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		p.findings.add(positionOf(n), path, "%q is not a duration, want such as 25s or 1m30s", s)
		return 0
	}
	if d < time.Millisecond || d > highest {
		p.findings.add(positionOf(n), path, "%s is out of range, want 1ms to %s", s, highest)
		return 0
	}
	return d.Truncate(time.Millisecond)
}

// sizeUnits are the units of a size, largest first. As the suffix B ends all
// others, it must come last.
var sizeUnits = []struct {
	suffix string
	bytes  float64
}{{"TiB", 1 << 40}, {"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// size reads a size in bytes from 1B to maxMemoryBytes, such as 14GiB or 200MiB. It
// returns zero on a finding.
func (p *noteParser) size(n ast.Node, path string) int64 {
	s := p.text(n, path, maxVersionBytes)
	if s == "" {
		return 0
	}
	bytes, err := parseSize(s)
	if err != nil {
		p.findings.add(positionOf(n), path, "%v", err)
		return 0
	}
	if bytes < 1 || bytes > maxMemoryBytes {
		p.findings.add(positionOf(n), path, "%s is out of range, want 1B to %dTiB", s, maxMemoryBytes>>40)
		return 0
	}
	return int64(bytes)
}

func parseSize(s string) (float64, error) {
	for _, u := range sizeUnits {
		digits, found := strings.CutSuffix(s, u.suffix)
		if !found {
			continue
		}
		value, err := strconv.ParseFloat(strings.TrimSpace(digits), 64)
		if err != nil || math.IsNaN(value) {
			break
		}
		return value * u.bytes, nil
	}
	return 0, fmt.Errorf("%q is not a size, want such as 14GiB or 200MiB", s)
}

// rank reads the name of a rank. It returns false on a finding.
func (p *noteParser) rank(n ast.Node, path string) (fleet.Rank, bool) {
	s := p.text(n, path, maxNameBytes)
	if s == "" {
		return 0, false
	}
	r, err := fleet.ParseRank(s)
	if err != nil {
		p.findings.add(positionOf(n), path, "%v", err)
		return 0, false
	}
	return r, true
}
