// Package engine is a stand-in for a model engine. It simulates continuous
// batching with a fixed time per token, limited memory, a prefix cache, loads from
// the weight store, lagging reports, fencing, and crashes on marked requests.
package engine

import (
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/standin/weightstore"
)

// Model describes how the engine runs a model. Its memory is part of the load order.
type Model struct {
	LoadTime time.Duration // time of a load from the weight store at full speed
	Slots    int           // maximum of concurrently running requests; zero selects DefaultSlots
}

// Checkpoint identifies the weights of one model version.
type Checkpoint struct {
	Model   fleet.ModelID
	Version fleet.Version
}

// Config describes one engine. A zero duration means no delay unless a default is
// named.
type Config struct {
	ID                  fleet.BackendID
	Memory              int64                         // memory for replicas and adapters in bytes
	Fencing             bool                          // refuses orders that have expired, have an old epoch or name another boot
	Models              map[fleet.ModelID]Model       // models that can be loaded
	Cached              map[Checkpoint]fleet.Locality // where weights are cached at the start
	Weights             *weightstore.Store            // store to load from; nil makes one with default options
	FleetStats          *FleetStats                   // counters shared by the engines of a test; nil makes one
	PrefillTime         time.Duration                 // prefill time per prompt token; none if the prompt is cached
	TokenTime           time.Duration                 // time per generated token
	KeepAlive           time.Duration                 // interval of keepalive comments in a stream; zero selects DefaultKeepAlive
	ReportLag           time.Duration                 // maximum age of a report
	CrashMarker         string                        // a request whose body contains it crashes the engine; empty disables this
	RestartDelay        time.Duration                 // time from a crash to the next boot
	CachedPrefixes      int                           // size of the prefix cache in prompts; zero selects DefaultCachedPrefixes
	CacheEventLag       time.Duration                 // time until a cache event can be read
	CacheEventDropEvery int                           // drops each cache event whose sequence number is a multiple of this; zero drops none
}

// Defaults of Config, Model and inference requests.
const (
	DefaultKeepAlive      = time.Second
	DefaultSlots          = 8
	DefaultCachedPrefixes = 64
	DefaultMaxTokens      = 16 // tokens generated if the request sets no max_tokens
)

// Load times of weights cached on disk and in memory, as fractions of
// Model.LoadTime.
const (
	diskLoadFactor   = 0.25
	memoryLoadFactor = 0.02
)

// Range of the load time of an adapter at full speed. A hash of the adapter's id
// selects the value.
const (
	minAdapterLoadTime = 5 * time.Millisecond
	maxAdapterLoadTime = 10 * time.Millisecond
)
