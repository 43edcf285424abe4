package policybench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/redwingnotch/redwingnotch/admission"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/keepwarm"
)

// gib is one gibibyte in bytes.
const gib = int64(1) << 30

// Deployment is the size and the settings of one user's deployment.
type Deployment struct {
	Name             string
	Seed             uint64
	Servers          int // backend servers, each with one model engine
	Models           int
	Adapters         int
	EntryNodes       int
	LoadsPerSecond   float64
	MaxLoadsInFlight int           // concurrent loads that the weight store serves at full speed
	ClientOneWay     time.Duration // one-way latency between caller and entry node
	Admission        admission.Settings
	KeepWarm         keepwarm.Settings
}

// Parameters that both deployments share.
const (
	zoneCount             = 3
	nodeOneWay            = 500 * time.Microsecond // one-way latency between nodes and to servers
	serverMemory          = 80 * gib
	slotsPerReplica       = 8
	adapterLoadTime       = 7500 * time.Microsecond
	diskLoadFraction      = 0.3                    // load time from disk, as a fraction of that from the weight store
	memoryLoadFraction    = 0.08                   // load time from host memory, as a fraction of that from the weight store
	diskCacheModels       = 8                      // models whose weights fit on one server's disk
	memoryCacheModels     = 2                      // models whose weights fit into one server's host memory
	streamTokensPerSecond = 30.0                   // decode rate of one stream
	restartTime           = 30 * time.Second       // from a crash to the next boot
	reportDelay           = 250 * time.Millisecond // from the measurement of a report to its arrival at the loader
	unloadTime            = 200 * time.Millisecond // shortest time from an unload order to the removal of the replica
)

// Tocka returns the deployment of Točka Servis in sk-central with the given
// settings.
func Tocka(a admission.Settings, k keepwarm.Settings) Deployment {
	return Deployment{
		Name: "tocka", Seed: 11, Servers: 18, Models: 110, Adapters: 90, EntryNodes: 9,
		LoadsPerSecond: 5, MaxLoadsInFlight: 4, ClientOneWay: time.Millisecond,
		Admission: a, KeepWarm: k,
	}
}

// Naipes returns the deployment of Naipes Quetzal in gt-central with the given
// settings.
func Naipes(a admission.Settings, k keepwarm.Settings) Deployment {
	return Deployment{
		Name: "naipes", Seed: 23, Servers: 9, Models: 50, Adapters: 40, EntryNodes: 8,
		LoadsPerSecond: 3, MaxLoadsInFlight: 4, ClientOneWay: 3 * time.Millisecond,
		Admission: a, KeepWarm: k,
	}
}

// models returns the deployment's models, with random sizes from 8 to 40 GiB. A
// load at full speed takes one second per GiB.
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

// adapters returns the deployment's adapters, each for a random model.
func (d Deployment) adapters(models []fleet.Model, rng *rand.Rand) []fleet.Adapter {
	out := make([]fleet.Adapter, d.Adapters)
	for i := range out {
		out[i] = fleet.Adapter{
			Model:       models[rng.IntN(len(models))].ID,
			ID:          fleet.AdapterID(fmt.Sprintf("a%03d", i)),
			Version:     "1",
			MemoryBytes: gib / 8,
		}
	}
	return out
}
