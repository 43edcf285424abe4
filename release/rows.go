package release

import (
	"slices"

	"github.com/goccy/go-yaml/ast"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// readModel reads one entry of models.
func (p *noteParser) readModel(n ast.Node, path string) {
	var m Model
	p.mapping(n, path, map[string]fieldReader{
		"id":        {required: true, read: func(v ast.Node, path string) { m.ID = fleet.ModelID(p.name(v, path, maxNameBytes)) }},
		"version":   {required: true, read: func(v ast.Node, path string) { m.Version = fleet.Version(p.name(v, path, maxVersionBytes)) }},
		"replicas":  {required: true, read: func(v ast.Node, path string) { m.Replicas = p.readReplicas(v, path) }},
		"memory":    {required: true, read: func(v ast.Node, path string) { m.MemoryBytes = p.size(v, path) }},
		"load_time": {required: true, read: func(v ast.Node, path string) { m.LoadTime = p.duration(v, path, maxLoadTime) }},
		"slots":     {required: true, read: func(v ast.Node, path string) { m.Slots = int(p.integer(v, path, 1, maxSlots)) }},
		"ranks":     {read: func(v ast.Node, path string) { m.Ranks = p.readModelRanks(v, path) }},
	})
	if m.ID == "" {
		return
	}
	p.recordRow(modelSubject(m.ID), n, path)
	p.note.Models = append(p.note.Models, m)
}

// readReplicas reads the replica limits of a model, ordered by cell.
func (p *noteParser) readReplicas(n ast.Node, path string) []CellReplicas {
	var rows []CellReplicas
	seen := map[string]bool{}
	for _, pair := range p.pairs(n, path) {
		name, ok := p.key(pair, path, seen)
		if !ok {
			continue
		}
		cell := fleet.CellID(p.name(pair.Key, path, maxNameBytes))
		count := int(p.integer(pair.Value, joinPath(path, name), 0, maxReplicas))
		rows = append(rows, CellReplicas{Cell: cell, Count: count})
	}
	slices.SortFunc(rows, func(a, b CellReplicas) int {
		if a.Cell < b.Cell {
			return -1
		}
		return 1
	})
	return rows
}

// readModelRanks reads the ranks that a model serves, most urgent first.
func (p *noteParser) readModelRanks(n ast.Node, path string) []fleet.Rank {
	var ranks []fleet.Rank
	p.list(n, path, func(v ast.Node, path string) {
		r, ok := p.rank(v, path)
		if ok && slices.Contains(ranks, r) {
			p.findings.add(positionOf(v), path, "%s is listed twice", r)
			return
		}
		if ok {
			ranks = append(ranks, r)
		}
	})
	slices.Sort(ranks)
	return ranks
}

// readAdapter reads one entry of adapters.
func (p *noteParser) readAdapter(n ast.Node, path string) {
	var a Adapter
	p.mapping(n, path, map[string]fieldReader{
		"model":   {required: true, read: func(v ast.Node, path string) { a.Model = fleet.ModelID(p.name(v, path, maxNameBytes)) }},
		"id":      {required: true, read: func(v ast.Node, path string) { a.ID = fleet.AdapterID(p.name(v, path, maxNameBytes)) }},
		"version": {required: true, read: func(v ast.Node, path string) { a.Version = fleet.Version(p.name(v, path, maxVersionBytes)) }},
		"memory":  {required: true, read: func(v ast.Node, path string) { a.MemoryBytes = p.size(v, path) }},
	})
	if a.ID == "" || a.Model == "" {
		return
	}
	p.recordRow(adapterSubject(a.AdapterKey), n, path)
	p.note.Adapters = append(p.note.Adapters, a)
}

// readWithdraw reads the models and adapters that the note withdraws.
func (p *noteParser) readWithdraw(n ast.Node, path string) {
	p.mapping(n, path, map[string]fieldReader{
		"models":   {read: func(v ast.Node, path string) { p.list(v, path, p.readWithdrawnModel) }},
		"adapters": {read: func(v ast.Node, path string) { p.list(v, path, p.readWithdrawnAdapter) }},
	})
}

func (p *noteParser) readWithdrawnModel(n ast.Node, path string) {
	id := fleet.ModelID(p.name(n, path, maxNameBytes))
	if id == "" {
		return
	}
	p.recordWithdrawn(modelSubject(id), n, path)
	p.note.WithdrawnModels = append(p.note.WithdrawnModels, id)
}

func (p *noteParser) readWithdrawnAdapter(n ast.Node, path string) {
	s := p.text(n, path, 2*maxNameBytes+1)
	if s == "" {
		return
	}
	t, err := fleet.ParseTarget(s)
	if err != nil || t.Adapter == "" {
		p.findings.add(positionOf(n), path, "%q does not name an adapter, want model+adapter", s)
		return
	}
	key := AdapterKey{Model: t.Model, ID: t.Adapter}
	p.recordWithdrawn(adapterSubject(key), n, path)
	p.note.WithdrawnAdapters = append(p.note.WithdrawnAdapters, key)
}

// recordWithdrawn records the position at which a model or adapter is withdrawn.
// It reports one that is withdrawn twice.
func (p *noteParser) recordWithdrawn(subject string, n ast.Node, path string) {
	withdraw := fieldKey{subject, fieldWithdraw}
	if first, ok := p.note.positions[withdraw]; ok {
		p.findings.add(positionOf(n), path, "%s is withdrawn twice, first at line %d", subject, first.Line)
		return
	}
	p.note.positions[withdraw] = positionOf(n)
}

// checkConsistency reports rows that are both defined and withdrawn, floors that
// add up to more than 1, and a note without content.
func (p *noteParser) checkConsistency() {
	for _, id := range p.note.WithdrawnModels {
		p.checkNotDefined(modelSubject(id))
	}
	for _, key := range p.note.WithdrawnAdapters {
		p.checkNotDefined(adapterSubject(key))
	}
	floors := 0.0
	for _, r := range p.note.Ranks {
		floors += r.Floor
		if floors > 1 {
			p.findings.add(p.note.position(rankSubject(r.Rank), fieldFloor), "ranks", "the floors add up to more than 1")
		}
	}
	if p.note.Empty() && len(p.findings) == 0 {
		p.findings.add(NotePosition{1, 1}, "", "the note contains no models, adapters, ranks or withdrawals")
	}
}

// checkNotDefined reports a withdrawn model or adapter that the note also defines.
func (p *noteParser) checkNotDefined(subject string) {
	defined, ok := p.note.positions[fieldKey{subject, fieldRow}]
	if ok {
		p.findings.add(p.note.positions[fieldKey{subject, fieldWithdraw}], "withdraw", "%s is also defined at line %d", subject, defined.Line)
	}
}
