package dev

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/release"
)

// Release is a version of the models and adapters that the deployment serves.
type Release struct {
	Version  uint64
	Models   []fleet.Model
	Adapters []fleet.Adapter
}

// Models of the deployment, named by what the scenario does with them.
const (
	ModelLathe    fleet.ModelID = "lathe-diagnosis" // steady urgent traffic, later also the bulk flood
	ModelSpindle  fleet.ModelID = "spindle-parts"   // idle until a burst of requests
	ModelDeck     fleet.ModelID = "deck-order"      // steady standard traffic
	ModelRulebook fleet.ModelID = "rulebook-digest" // steady bulk traffic
	ModelNight    fleet.ModelID = "night-shift"     // idle until the controller crashes
	ModelCollar   fleet.ModelID = "collar-turning"  // added by the second release
	ModelOld      fleet.ModelID = "deck-order-old"  // withdrawn by the second release
)

// Parameters of the models.
const (
	modelMemory   = 2 << 30 // bytes
	modelLoadTime = 800 * time.Millisecond
	modelSlots    = 8  // requests at once per replica
	burstSlots    = 64 // the same for the model that gets the burst
	adapterCount  = 40
	adapterMemory = 8 << 20 // bytes
)

func newModel(id fleet.ModelID, replicas, slots int) fleet.Model {
	return fleet.Model{
		ID:          id,
		Version:     "v1",
		MaxReplicas: replicas,
		MemoryBytes: modelMemory,
		LoadTime:    modelLoadTime,
		Slots:       slots,
	}
}

// FirstRelease returns the release that is in force from the start.
func FirstRelease() Release {
	return Release{Version: 1, Models: []fleet.Model{
		newModel(ModelLathe, 2, modelSlots),
		newModel(ModelSpindle, 2, burstSlots),
		newModel(ModelDeck, 2, modelSlots),
		newModel(ModelRulebook, 1, modelSlots),
		newModel(ModelNight, 1, modelSlots),
		newModel(ModelOld, 1, modelSlots),
	}}
}

// SecondRelease returns the first release with one model and the adapters added
// and one model withdrawn.
func SecondRelease() Release {
	r := FirstRelease()
	r.Version = 2
	for i := range r.Models {
		if r.Models[i].ID == ModelOld {
			r.Models[i].Withdrawn = true
		}
	}
	r.Models = append(r.Models, newModel(ModelCollar, 1, modelSlots))
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

// allModels returns the models of both releases; each engine can load all of
// them.
func allModels() []fleet.Model { return SecondRelease().Models }

// noteText returns the release as a release note in YAML.
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

// operatorName is the operator recorded with each release of the deployment.
const operatorName = "redwingnotch-dev"

// inForcePollInterval is the interval at which Apply reads the nodes' release
// versions.
const inForcePollInterval = 20 * time.Millisecond

// Apply publishes a release and waits until it is in force at all nodes. It
// returns the findings if the release note is invalid.
func (d *Deployment) Apply(ctx context.Context, r Release) error {
	note, findings := release.ParseNote([]byte(r.noteText()))
	if len(findings) > 0 {
		return findings
	}
	publisher := release.Publisher{Store: d.API, Operator: operatorName}
	accepted, err := publisher.Publish(ctx, note)
	if err != nil {
		return fmt.Errorf("publish release %d: %w", r.Version, err)
	}
	for _, n := range d.Nodes() {
		for n.ReleaseVersion() < accepted.Version {
			if err := ctx.Err(); err != nil {
				return fmt.Errorf("wait until release %d is in force at node %s: %w", r.Version, n.ID(), err)
			}
			time.Sleep(inForcePollInterval)
		}
	}
	return nil
}
