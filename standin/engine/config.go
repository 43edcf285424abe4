// Package engine is a stand-in for a model engine: continuous batching by a
// simple token clock, memory, a limited prefix cache, loads through the weight
// store, lagging reports, fencing, and crashes on a marked request.
package engine

import (
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/standin/weightstore"
)

// Model is what the engine knows of a model apart from the order to load it.
type Model struct {
	LoadTime time.Duration // remote load at full speed
	Slots    int           // requests run side by side; zero selects DefaultSlots
}

// Checkpoint names the weights of one model version.
type Checkpoint struct {
	Model   fleet.ModelID
	Version fleet.Version
}

// Config describes one engine. Zero durations take no time.
type Config struct {
	ID             fleet.BackendID
	Memory         int64 // bytes
	Fencing        bool  // refuses orders with an old epoch, another boot or past their expiry
	Models         map[fleet.ModelID]Model
	Cached         map[Checkpoint]fleet.Nearness // checkpoints that are near at the start
	Weights        *weightstore.Store
	Ledger         *Ledger       // shared by a fleet's engines; nil makes one
	PrefillTime    time.Duration // per prompt token that is not cached
	TokenTime      time.Duration // per generated token
	KeepAlive      time.Duration // interval of comments on a stream; zero selects DefaultKeepAlive
	ReportLag      time.Duration // age that a report may have
	CrashMarker    string        // a request whose body contains it crashes the engine; empty: none
	RestartDelay   time.Duration // from a crash to the next boot
	CachedPrefixes int           // prefixes kept; zero selects DefaultCachedPrefixes
	CacheEventLag  time.Duration
	CacheEventGap  int // each n-th cache event is missing; zero: none
}

// Defaults of Config.
const (
	DefaultKeepAlive      = time.Second
	DefaultSlots          = 8
	DefaultCachedPrefixes = 64
	DefaultAnswerTokens   = 16 // of requests without max_tokens
)

// Speeds of local loads, as shares of the time of a remote load.
const (
	diskLoadShare   = 0.25
	memoryLoadShare = 0.02
)

// Adapter loads take this long at full speed, by a hash of the adapter's id.
const (
	minAdapterLoad = 5 * time.Millisecond
	maxAdapterLoad = 10 * time.Millisecond
)
