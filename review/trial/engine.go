package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/redwingnotch/redwingnotch/platform"
)

// The model servers: each has memory for three models.
const (
	modelMB     = 72700.0
	memoryMB    = 220000.0
	loadTime    = 6 * time.Second
	diskTime    = 1200 * time.Millisecond
	unloadTime  = 100 * time.Millisecond
	engineSlots = 24
	eventGap    = 100 * time.Millisecond
)

// engine is a model server.
type engine struct {
	id, address, zone string
	trial             *trial
	born              int64
	stream            func(r *http.Request, number int) time.Duration // returns the pause before an event
	begins            func(r *http.Request)                           // called when a run begins; may be nil

	mu      sync.Mutex
	held    []string
	onDisk  []string
	ended   bool // the server has crashed: it writes no entry any more
	busy    bool
	orders  int
	beats   int
	running int
}

// startEngine starts a model server that holds the models and registers it.
func (t *trial) startEngine(id string, held []string, pause func(r *http.Request, number int) time.Duration) (*engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, address: l.Addr().String(), zone: "sk-central-a", trial: t, born: time.Now().UnixMilli(), stream: pause, held: held, onDisk: held}
	go func() { _ = http.Serve(l, e) }()
	return e, e.register()
}

// models returns the held models as reports and entries list them. The caller holds e.mu.
func (e *engine) models() []map[string]any {
	list := []map[string]any{}
	for _, m := range e.held {
		list = append(list, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return list
}

// register writes the server's entry.
func (e *engine) register() error {
	e.mu.Lock()
	if e.ended {
		e.mu.Unlock()
		return nil
	}
	e.beats++
	entry := map[string]any{"service": "repair-llm", "address": e.address, "zone": e.zone, "version": "v1", "slots": engineSlots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": e.beats, "born": e.born, "stage": "prefill_decode", "models": e.models(), "at_hand": map[string]any{"in_memory": []string{}, "on_disk": e.onDisk}}
	e.mu.Unlock()
	_, err := e.trial.put(platform.KindServers, e.id, entry)
	return err
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get(platform.HeaderExpectInstance); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/-/report":
		e.mu.Lock()
		defer e.mu.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{"stage": "prefill_decode", "models": e.models(), "busy": e.busy, "sequence": e.orders, "waiting_requests": 0,
			"running_requests": e.running, "kv_cache_used": 0, "kv_cache_total": 212161, "handles": 0, "born": e.born, "at_hand": map[string]any{"in_memory": []string{}, "on_disk": e.onDisk}})
	case "/-/order":
		e.serveOrder(w, r)
	default:
		e.serveStream(w, r)
	}
}

// serveOrder accepts an order to load or unload a model.
func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation, Model, Adapter string
		Expected                  *int
		Holder                    *string
		Token                     *uint64 `json:"fencing_token"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == nil || o.Token == nil || o.Adapter != "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	load := o.Operation == "loading"
	switch {
	case e.busy || o.Expected != nil && *o.Expected != e.orders:
		w.WriteHeader(http.StatusConflict)
		return
	case load == slices.Contains(e.held, o.Model):
		return // it holds already
	}
	e.orders++
	e.busy = true
	e.trial.record("server %s: %s %s ordered", e.id, o.Operation, o.Model)
	took := unloadTime
	switch {
	case load && slices.Contains(e.onDisk, o.Model):
		took = diskTime
	case load:
		took = loadTime
	}
	time.AfterFunc(took, func() {
		e.mu.Lock()
		e.busy = false
		if load {
			e.held = append(slices.Clone(e.held), o.Model)
			e.onDisk = append(slices.Clone(e.onDisk), o.Model)
		} else {
			e.held = slices.DeleteFunc(slices.Clone(e.held), func(m string) bool { return m == o.Model })
		}
		e.mu.Unlock()
		if err := e.register(); err != nil {
			e.trial.record("server %s: entry not written: %v", e.id, err)
		}
	})
	w.WriteHeader(http.StatusAccepted)
}

// end records that the server has crashed.
func (e *engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended = true
}

// disk returns the models whose weights the server's disk has.
func (e *engine) disk() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.onDisk)
}

// streamEvents is the number of events of each stream.
const streamEvents = 12

// serveStream runs a request: it sends the events that follow the last one that the caller has.
func (e *engine) serveStream(w http.ResponseWriter, r *http.Request) {
	id, model := r.Header.Get(platform.HeaderRequestID), r.Header.Get(platform.HeaderModel)
	w.Header().Set(platform.HeaderRequestID, id)
	e.mu.Lock()
	held := slices.Contains(e.held, model)
	e.mu.Unlock()
	if !held {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	last, _ := strconv.Atoi(r.Header.Get(platform.HeaderLastEventID)) // zero if there is none
	e.trial.record("server %s: runs %s after event %d", e.id, id, last)
	if e.begins != nil {
		e.begins(r)
	}
	w.Header().Set(platform.HeaderStamp, "stamp-"+e.id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Redwingnotch-Weight-Versions", "1")
	flush := http.NewResponseController(w)
	for number := last + 1; number <= streamEvents; number++ {
		select {
		case <-r.Context().Done():
			e.trial.record("server %s: the channel of %s is closed before event %d", e.id, id, number)
			return
		case <-time.After(e.stream(r, number)):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", number, strings.Repeat("y", 40)); err != nil || flush.Flush() != nil {
			return
		}
	}
	e.trial.record("server %s: %s is complete", e.id, id)
}
