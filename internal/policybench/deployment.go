package policybench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/redwingnotch/redwingnotch/admission"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/keepwarm"
)

// gib is one gibibyte.
const gib = int64(1) << 30

// Deployment is one user's sizes and settings.
type Deployment struct {
	Name           string
	Seed           uint64
	Servers        int // model engines
	Models         int
	Adapters       int
	EntryNodes     int
	LoadsPerSecond float64
	LoadsAtOnce    int           // at full speed
	ClientOneWay   time.Duration // between caller and entry node
	Admission      admission.Settings
	KeepWarm       keepwarm.Settings
}

// Sizes that both deployments share.
const (
	zones           = 3
	nodeOneWay      = 500 * time.Microsecond // between zones
	serverMemory    = 80 * gib
	slotsPerReplica = 8
	adapterLoad     = 7500 * time.Microsecond
	diskShare       = 0.3  // of the load time from the weight store
	memoryShare     = 0.08 // of the load time from the weight store
	diskModels      = 8    // checkpoints on one server's disk
	memoryModels    = 2    // checkpoints in one server's host memory
	streamRate      = 30.0 // tokens a second of one stream
	restartTime     = 30 * time.Second
	reportLag       = 250 * time.Millisecond
	unloadTime      = 200 * time.Millisecond
)

// Tocka returns the sizes of Točka Servis in sk-central with the given
// settings.
func Tocka(a admission.Settings, k keepwarm.Settings) Deployment {
	return Deployment{
		Name: "tocka", Seed: 11, Servers: 18, Models: 110, Adapters: 90, EntryNodes: 9,
		LoadsPerSecond: 5, LoadsAtOnce: 4, ClientOneWay: time.Millisecond,
		Admission: a, KeepWarm: k,
	}
}

// Naipes returns the sizes of Naipes Quetzal in gt-central with the given
// settings.
func Naipes(a admission.Settings, k keepwarm.Settings) Deployment {
	return Deployment{
		Name: "naipes", Seed: 23, Servers: 9, Models: 50, Adapters: 40, EntryNodes: 8,
		LoadsPerSecond: 3, LoadsAtOnce: 4, ClientOneWay: 3 * time.Millisecond,
		Admission: a, KeepWarm: k,
	}
}

// models returns the deployment's models. Sizes range from 8 to 40 GiB, and
// loads at full speed take a second a GiB.
func (d Deployment) models(rng *rand.Rand) []fleet.Model {
	out := make([]fleet.Model, d.Models)
	for i := range out {
		size := 8 + rng.IntN(33)
		out[i] = fleet.Model{
			ID:          fleet.ModelID(fmt.Sprintf("m%03d", i)),
			Version:     "1",
			MaxReplicas: 2,
			MemoryBytes: int64(size) * gib,
			LoadTime:    time.Duration(size) * time.Second,
			Slots:       slotsPerReplica,
		}
	}
	return out
}

// adapters returns the deployment's adapters, spread over its models.
func (d Deployment) adapters(ms []fleet.Model, rng *rand.Rand) []fleet.Adapter {
	out := make([]fleet.Adapter, d.Adapters)
	for i := range out {
		out[i] = fleet.Adapter{
			Model:       ms[rng.IntN(len(ms))].ID,
			ID:          fleet.AdapterID(fmt.Sprintf("a%03d", i)),
			Version:     "1",
			MemoryBytes: gib / 8,
		}
	}
	return out
}
