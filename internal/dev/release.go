package dev

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/release"
)

// Release is one version of the models and adapters in force.
type Release struct {
	Version  uint64
	Models   []fleet.Model
	Adapters []fleet.Adapter
}

// The models of the deployment.
const (
	ModelLathe    fleet.ModelID = "lathe-diagnosis" // repair drafts
	ModelSpindle  fleet.ModelID = "spindle-parts"   // idle until a burst
	ModelDeck     fleet.ModelID = "deck-order"      // sequence checks
	ModelRulebook fleet.ModelID = "rulebook-digest" // long summaries
	ModelNight    fleet.ModelID = "night-shift"     // idle until the controller crashes
	ModelCollar   fleet.ModelID = "collar-turning"  // added by the second release
	ModelOld      fleet.ModelID = "deck-order-old"  // withdrawn by the second release
)

// Sizes of the models.
const (
	modelMemory   = 2 << 30
	modelLoadTime = 800 * time.Millisecond
	modelSlots    = 8
	burstSlots    = 64
	adapterCount  = 40
	adapterMemory = 8 << 20
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
		model(ModelNight, 1, modelSlots),
		model(ModelOld, 1, modelSlots),
	}}
}

// SecondRelease adds one model and adapters, and withdraws another model.
func SecondRelease() Release {
	r := FirstRelease()
	r.Version = 2
	for i := range r.Models {
		if r.Models[i].ID == ModelOld {
			r.Models[i].Withdrawn = true
		}
	}
	r.Models = append(r.Models, model(ModelCollar, 1, modelSlots))
	for i := range adapterCount {
		r.Adapters = append(r.Adapters, fleet.Adapter{
			Model:       ModelLathe,
			ID:          fleet.AdapterID(fmt.Sprintf("workshop-%d", i+1)),
			Version:     "v1",
			MemoryBytes: adapterMemory,
		})
	}
	return r
}

// allModels are the models of all releases, as the engines know them.
func allModels() []fleet.Model { return SecondRelease().Models }

// noteText writes the release as a release note.
func (r Release) noteText() string {
	var text strings.Builder
	fmt.Fprintf(&text, "title: release %d\n", r.Version)
	var withdrawn []string
	for _, m := range r.Models {
		if m.Withdrawn {
			withdrawn = append(withdrawn, string(m.ID))
		}
	}
	text.WriteString("models:\n")
	for _, m := range r.Models {
		if m.Withdrawn {
			continue
		}
		fmt.Fprintf(&text, "  - {id: %s, version: %s, replicas: {%s: %d}, memory: %dMiB, load_time: %s, slots: %d}\n",
			m.ID, m.Version, Cell, m.MaxReplicas, m.MemoryBytes>>20, m.LoadTime, m.Slots)
	}
	if len(r.Adapters) > 0 {
		text.WriteString("adapters:\n")
	}
	for _, a := range r.Adapters {
		fmt.Fprintf(&text, "  - {model: %s, id: %s, version: %s, memory: %dMiB}\n", a.Model, a.ID, a.Version, a.MemoryBytes>>20)
	}
	if len(withdrawn) > 0 {
		fmt.Fprintf(&text, "withdraw: {models: [%s]}\n", strings.Join(withdrawn, ", "))
	}
	return text.String()
}

// operator is who publishes the releases of the deployment.
const operator = "redwingnotch-dev"

// inForcePoll is the interval at which nodes are asked what is in force.
const inForcePoll = 20 * time.Millisecond

// Apply publishes a release and waits until it is in force at all nodes.
func (d *Deployment) Apply(ctx context.Context, r Release) error {
	note, findings := release.ParseNote([]byte(r.noteText()))
	if len(findings) > 0 {
		return findings
	}
	publisher := release.Publisher{Store: d.API, Operator: operator}
	accepted, err := publisher.Publish(ctx, note)
	if err != nil {
		return fmt.Errorf("release %d: %w", r.Version, err)
	}
	for _, n := range d.Nodes() {
		for n.ReleaseVersion() < accepted.Version {
			if err := ctx.Err(); err != nil {
				return fmt.Errorf("release %d at node %s: %w", r.Version, n.ID(), err)
			}
			time.Sleep(inForcePoll)
		}
	}
	return nil
}
