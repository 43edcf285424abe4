package processes

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/standin/fault"
	"github.com/redwingnotch/redwingnotch/standin/objectapi"
)

// gateMode is how a gate treats calls.
type gateMode string

const (
	gateOpen    gateMode = "open"
	gateRefuses gateMode = "refuses" // 503
	gateLimits  gateMode = "limits"  // 429
	gateResets  gateMode = "resets"
	gateSilent  gateMode = "silent" // no answer while the gate is silent, then a closed connection
)

var closedGates = []gateMode{gateRefuses, gateLimits, gateResets, gateSilent}

// storeGate serves the store to one caller at an address of its own, so that the store can be down
// for this caller only.
type storeGate struct {
	address string
	api     http.Handler
	server  *http.Server

	mu      sync.Mutex
	mode    gateMode
	changed chan struct{} // closed when the mode changes
}

func startGate(api *objectapi.API, address string) (*storeGate, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	g := &storeGate{address: address, api: api, mode: gateOpen, changed: make(chan struct{})}
	g.server = &http.Server{Handler: g}
	go func() { _ = g.server.Serve(l) }() // until it is closed
	return g, nil
}

func (g *storeGate) close() { _ = g.server.Close() } // nothing is left to do if it fails

// set changes the mode. Calls that wait in the store are then cut off.
func (g *storeGate) set(mode gateMode) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mode = mode
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *storeGate) state() (gateMode, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mode, g.changed
}

// ServeHTTP implements http.Handler.
func (g *storeGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	mode, changed := g.state()
	if mode != gateOpen {
		g.refuse(w, r, mode, changed)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	answer := httptest.NewRecorder()
	g.api.ServeHTTP(answer, r.WithContext(ctx))
	if mode, changed := g.state(); mode != gateOpen {
		g.refuse(w, r, mode, changed)
		return
	}
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes()) // fails if the caller has left
}

func (g *storeGate) refuse(w http.ResponseWriter, r *http.Request, mode gateMode, changed <-chan struct{}) {
	switch mode {
	case gateRefuses:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case gateLimits:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case gateSilent:
		select {
		case <-changed:
		case <-r.Context().Done():
		}
	}
	panic(http.ErrAbortHandler)
}

// gateSeveral returns a subset of the gates and a way in which they are closed.
func gateSeveral(rng *rand.Rand, gates []*storeGate) ([]*storeGate, gateMode) {
	mode := closedGates[rng.IntN(len(closedGates))]
	var some []*storeGate
	for _, g := range gates {
		if rng.IntN(3) == 0 {
			some = append(some, g)
		}
	}
	if len(some) == 0 {
		some = gates[:1]
	}
	return some, mode
}

// writeConfig writes the desired state as the operator does.
func writeConfig(api *objectapi.API, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	old, err := api.Get(context.Background(), platform.KindConfig, platform.ConfigName)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	_, err = api.Put(context.Background(), platform.KindConfig, platform.ConfigName, data, old.Version, "operator")
	return err
}

// expiry removes the entries of servers that have been silent for three heartbeats, as the
// platform does.
type expiry struct {
	api *objectapi.API

	mu     sync.Mutex
	paused bool
}

func (e *expiry) pause(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.paused = on
}

// run removes entries until the context ends.
func (e *expiry) run(ctx context.Context, removed func(id string)) {
	type seen struct {
		version uint64
		at      time.Time
	}
	last := map[string]seen{}
	for {
		if fault.Sleep(ctx, expiryInterval) != nil {
			return
		}
		e.mu.Lock()
		paused := e.paused
		e.mu.Unlock()
		objects, _, err := e.api.List(ctx, platform.KindServers, "")
		if err != nil {
			continue
		}
		for _, o := range objects {
			switch s, known := last[o.Name]; {
			case !known || s.version != o.Version:
				last[o.Name] = seen{o.Version, time.Now()}
			case !paused && time.Since(s.at) > silentHeartbeats*heartbeat:
				if e.api.Delete(ctx, platform.KindServers, o.Name, o.Version) == nil {
					removed(o.Name)
				}
			}
		}
	}
}

const (
	heartbeat        = 1200 * time.Millisecond
	silentHeartbeats = 3
	expiryInterval   = 200 * time.Millisecond
)
