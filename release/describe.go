package release

// Change is one field of a row before and after a difference. Before is empty if
// the row was added.
type Change struct {
	Subject string // such as "model lathe"
	Field   string // empty if the whole row was added
	Before  string
	After   string
}

// Describe lists the changes that the difference makes to the state that it
// applies to.
func (d *Difference) Describe(before *State) []Change {
	var all []Change
	add := func(subject string, changes []fieldChange) {
		for _, c := range changes {
			all = append(all, Change{Subject: subject, Field: string(c.name), Before: c.old, After: c.new})
		}
	}
	for _, m := range d.Models {
		if old, ok := before.models[m.ID]; ok {
			add(modelSubject(m.ID), modelChanges(old, m))
			continue
		}
		all = append(all, Change{Subject: modelSubject(m.ID), After: string(m.Version) + " " + formatReplicas(m.Replicas)})
	}
	for _, a := range d.Adapters {
		if old, ok := before.adapters[a.AdapterKey]; ok {
			add(adapterSubject(a.AdapterKey), adapterChanges(old, a))
			continue
		}
		all = append(all, Change{Subject: adapterSubject(a.AdapterKey), After: string(a.Version)})
	}
	for _, r := range d.Ranks {
		add(rankSubject(r.Rank), rankChanges(before.ranks[r.Rank], r))
	}
	return all
}
