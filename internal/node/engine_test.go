package node_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/platform"
)

// Terms of the test engine.
const (
	engineMemory = 8 << 30
	loadTime     = 2 * time.Second
	tokenTime    = 50 * time.Millisecond
	answerTokens = 20
	restartTime  = time.Second
)

// poison marks requests that crash the engine.
const poison = "poison"

// testEngine is one backend server as far as these tests need it: it loads,
// answers at a steady pace and counts what it was asked.
type testEngine struct {
	id   fleet.BackendID
	boot fleet.BootID
	d    *deployment

	mu      sync.Mutex
	server  *http.Server
	crashes int
	epoch   fleet.Epoch
	loaded  map[fleet.ModelID]engine.LoadedReplica
	applied []string
	loads   int
	running int
	pace    time.Duration  // between tokens
	tokens  int            // of an answer
	runs    map[string]int // calls of the plain service by key
}

// addEngine starts a backend server and lists its VM.
func (d *deployment) addEngine(name string) *testEngine {
	d.t.Helper()
	e := d.serveEngine(name)
	d.list(name, fleet.BackendServer{ID: fleet.BackendID(name), Fencing: true})
	return e
}

// addService starts a plain service and lists its VM.
func (d *deployment) addService(name, service string) *testEngine {
	d.t.Helper()
	e := d.serveEngine(name)
	d.list(name, fleet.BackendServer{ID: fleet.BackendID(name), Service: fleet.ServiceID(service)})
	return e
}

func (d *deployment) serveEngine(name string) *testEngine {
	e := &testEngine{
		d:  d,
		id: fleet.BackendID(name), boot: fleet.BootID(name + "-boot"),
		pace: tokenTime, tokens: answerTokens, loaded: make(map[fleet.ModelID]engine.LoadedReplica), runs: make(map[string]int),
	}
	e.serve()
	d.engines = append(d.engines, e)
	return e
}

// serve starts a boot of the engine.
func (e *testEngine) serve() {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+engine.PathReport, e.serveReport)
	mux.HandleFunc("POST "+engine.PathOrders, e.serveOrder)
	mux.HandleFunc("POST "+engine.PathInfer, e.serveInfer)
	mux.HandleFunc("POST "+engine.PathCancel, func(w http.ResponseWriter, _ *http.Request) {})
	mux.HandleFunc("POST /orders", e.serveCall)
	listener, err := e.d.network.Listen(string(e.id) + ":90")
	assert.NilError(e.d.t, err)
	server := &http.Server{Handler: mux}
	e.mu.Lock()
	e.server = server
	e.mu.Unlock()
	go server.Serve(listener)
}

func (e *testEngine) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.server.Close()
}

// crash ends the boot with all its connections, unless it has ended. The next
// one starts later.
func (e *testEngine) crash(boot fleet.BootID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot != boot {
		return
	}
	e.crashes++
	e.boot = fleet.BootID(fmt.Sprint(e.id, "-boot", e.crashes))
	e.epoch, e.applied = 0, nil
	clear(e.loaded)
	e.server.Close()
	time.AfterFunc(restartTime, e.serve)
}

func (d *deployment) list(name string, backend fleet.BackendServer) {
	backend.VM, backend.Cell, backend.Address = fleet.VMID(name), "c", name+":90"
	d.api.SetVM(platform.VMRecord{
		VM:      fleet.VM{ID: fleet.VMID(name), Zone: "z1", Memory: engineMemory},
		Backend: backend,
	})
}

func (e *testEngine) report() engine.Report {
	r := engine.Report{Backend: e.id, Boot: e.boot, Epoch: e.epoch, Memory: engineMemory, AppliedOrder: e.applied, MeasuredAt: time.Now()}
	for _, loaded := range e.loaded {
		loaded.Running = e.running
		r.Replicas = append(r.Replicas, loaded)
	}
	return r
}

func (e *testEngine) serveReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	json.NewEncoder(w).Encode(e.report())
}

func (e *testEngine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	json.NewDecoder(r.Body).Decode(&o)
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Epoch < e.epoch {
		refuse(w, engine.CodeFenced)
		return
	}
	e.epoch = o.Epoch
	if !slices.Contains(e.applied, o.ID) {
		e.applied = append(e.applied, o.ID)
		e.apply(o)
	}
	json.NewEncoder(w).Encode(e.report())
}

func (e *testEngine) apply(o engine.Order) {
	switch o.Kind {
	case engine.OrderLoad:
		e.loads++
		e.loaded[o.Model] = engine.LoadedReplica{Model: o.Model, Version: o.Version, State: fleet.ReplicaLoading, Memory: o.Memory}
		time.AfterFunc(loadTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			replica, loading := e.loaded[o.Model]
			if !loading {
				return
			}
			replica.State, replica.Progress = fleet.ReplicaReady, 1
			e.loaded[o.Model] = replica
		})
	case engine.OrderUnload:
		delete(e.loaded, o.Model)
	}
}

func refuse(w http.ResponseWriter, code engine.ErrorCode) {
	w.WriteHeader(http.StatusConflict)
	json.NewEncoder(w).Encode(engine.ErrorBody{Error: engine.ErrorDetail{Code: code}})
}

func (e *testEngine) serveInfer(w http.ResponseWriter, r *http.Request) {
	target, _ := fleet.ParseTarget(r.Header.Get(engine.HeaderTarget))
	id := r.Header.Get(engine.HeaderRequestID)
	e.mu.Lock()
	ready := e.loaded[target.Model].State == fleet.ReplicaReady
	e.running++
	boot := e.boot
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.running--
	}()
	if !ready {
		refuse(w, engine.CodeNotLoaded)
		return
	}
	body, _ := io.ReadAll(r.Body)
	w.Header().Set(engine.HeaderRequestID, id)
	control := http.NewResponseController(w)
	control.Flush()
	if strings.Contains(string(body), poison) {
		time.Sleep(tokenTime)
		e.crash(boot)
		return
	}
	received, _ := strconv.Atoi(r.Header.Get(engine.HeaderReceived))
	for i := received; i < e.tokens; i++ {
		if e.pace > 0 {
			time.Sleep(e.pace)
		}
		if r.Context().Err() != nil {
			return
		}
		fmt.Fprintf(w, "id: %s\ndata: t%d\n\n", engine.EventID{RequestID: id, Index: i, Tokens: 1}, i)
		control.Flush()
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// serveCall is the plain service: it counts runs by idempotency key.
func (e *testEngine) serveCall(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	e.runs[r.Header.Get("Idempotency-Key")]++
	e.mu.Unlock()
	time.Sleep(time.Second)
	w.WriteHeader(http.StatusCreated)
	fmt.Fprint(w, "ordered")
}

// wholeAnswer is the stream of a whole answer.
func wholeAnswer() string {
	s := ""
	for i := range answerTokens {
		s += fmt.Sprintf("data: t%d\n\n", i)
	}
	return s + "data: [DONE]\n\n"
}
