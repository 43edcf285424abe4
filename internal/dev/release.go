package dev

import (
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// Release is one version of the models in force.
type Release struct {
	Version uint64
	Models  []fleet.Model
}

// The models of the deployment.
const (
	ModelLathe    fleet.ModelID = "lathe-diagnosis" // repair drafts
	ModelSpindle  fleet.ModelID = "spindle-parts"   // idle until a burst
	ModelDeck     fleet.ModelID = "deck-order"      // sequence checks
	ModelRulebook fleet.ModelID = "rulebook-digest" // long summaries
	ModelCollar   fleet.ModelID = "collar-turning"  // added by the second release
	ModelOld      fleet.ModelID = "deck-order-old"  // withdrawn by the second release
)

// Sizes of the models.
const (
	modelMemory   = 2 << 30
	modelLoadTime = 800 * time.Millisecond
	modelSlots    = 8
	burstSlots    = 64
)

func model(id fleet.ModelID, replicas, slots int) fleet.Model {
	return fleet.Model{
		ID:          id,
		Version:     "v1",
		MaxReplicas: replicas,
		MemoryBytes: modelMemory,
		LoadTime:    modelLoadTime,
		Slots:       slots,
	}
}

// FirstRelease is in force from the start.
func FirstRelease() Release {
	return Release{Version: 1, Models: []fleet.Model{
		model(ModelLathe, 2, modelSlots),
		model(ModelSpindle, 2, burstSlots),
		model(ModelDeck, 2, modelSlots),
		model(ModelRulebook, 1, modelSlots),
		model(ModelOld, 1, modelSlots),
	}}
}

// SecondRelease adds one model and withdraws another.
func SecondRelease() Release {
	r := FirstRelease()
	r.Version = 2
	for i := range r.Models {
		if r.Models[i].ID == ModelOld {
			r.Models[i].Withdrawn = true
		}
	}
	r.Models = append(r.Models, model(ModelCollar, 1, modelSlots))
	return r
}

// allModels are the models of all releases, as the engines know them.
func allModels() []fleet.Model { return SecondRelease().Models }

// Apply puts a release in force at all nodes, and at those started later.
func (d *Deployment) Apply(r Release) {
	d.mu.Lock()
	d.release = r
	d.mu.Unlock()
	for _, n := range d.Nodes() {
		n.SetInForce(r.Version, r.Models, nil)
	}
}
