package lab

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/redwingnotch/redwingnotch/platform"
)

// Heartbeat is the interval at which replicas write their entries.
const Heartbeat = 1200 * time.Millisecond

// Model is a model of the desired state.
type Model struct {
	Name        string  `json:"name"`
	WeightsMB   float64 `json:"weights_mb"`
	LoadTimeS   float64 `json:"load_time_s"`
	DiskLoadS   float64 `json:"disk_load_s"`
	WarmS       float64 `json:"warm_s"`
	Adapters    int     `json:"adapters"`
	AdapterSize float64 `json:"adapter_size_mb"`
}

// Capacity is what each replica of an engine service has.
type Capacity struct {
	WeightsMB    float64
	AdapterSlots int
	Models       map[string]Model // all that the weight store has
}

// Replica is a backend server: a model engine if it has a Capacity, else a plain service.
type Replica struct {
	ID, Service, Zone string
	Slots             int
	Work              http.HandlerFunc // writes the body of an answer
	Software          string           // version of the replica's software

	record   *Record
	store    *Store
	capacity *Capacity
	address  string

	mu        sync.Mutex
	server    *http.Server // of the process that runs; replaced at a restart
	born      int64
	state     string // of the entry; empty if there is none
	beats     int
	holds     map[string][]string // adapters by model
	onDisk    []string            // models whose weights the disk has, which a restart keeps
	busy      bool
	sequence  int
	running   int
	ran       map[string]time.Time // by request: when it began to run
	broken    []string             // orders beyond the replica's capacity
	refusing  bool                 // the process is down
	closed    chan struct{}
	closeOnce sync.Once
}

// StartReplica starts a replica that holds the models, and registers it.
func StartReplica(record *Record, store *Store, id, service, zone, software string, slots int, work http.HandlerFunc, capacity *Capacity, models ...string) (*Replica, error) {
	r := &Replica{ID: id, Service: service, Zone: zone, Software: software, Slots: slots, Work: work, record: record, store: store, capacity: capacity,
		born: time.Now().UnixMilli(), state: "ready", holds: map[string][]string{}, ran: map[string]time.Time{}, closed: make(chan struct{})}
	for _, m := range models {
		r.holds[m] = []string{}
		r.onDisk = append(r.onDisk, m)
	}
	if err := r.serve("127.0.0.1:0"); err != nil {
		return nil, err
	}
	if err := r.register(); err != nil {
		r.Close()
		return nil, err
	}
	go r.beat()
	return r, nil
}

// serve starts to serve at the address.
func (r *Replica) serve(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: r}
	r.mu.Lock()
	r.address, r.server = l.Addr().String(), server
	r.mu.Unlock()
	go func() { _ = server.Serve(l) }() // until it is closed
	return nil
}

// end ends the process that runs: its connections close and its address refuses new ones. The
// caller holds r.mu.
func (r *Replica) end() {
	r.refusing = true
	_ = r.server.Close() // nothing is left to do if it fails
}

// beat writes the entry at each heartbeat.
func (r *Replica) beat() {
	ticker := time.NewTicker(Heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-r.closed:
			return
		case <-ticker.C:
			if err := r.register(); err != nil {
				r.record.Logf("replica %s: entry not written: %v", r.ID, err)
			}
		}
	}
}

// register writes the entry, unless the replica has none.
func (r *Replica) register() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == "" || r.refusing {
		return nil
	}
	r.beats++
	return r.store.Write(platform.KindServers, r.ID, map[string]any{
		"service": r.Service, "address": r.address, "zone": r.Zone, "version": r.Software, "slots": r.Slots, "state": r.state,
		"cold_remaining_ms": 0, "sequence": r.beats, "born": r.born, "stage": "prefill_decode", "models": r.modelList(),
		"at_hand": r.atHand(),
	})
}

// atHand returns what reports and entries say of copies of weights. The caller holds r.mu.
func (r *Replica) atHand() map[string]any {
	return map[string]any{"in_memory": r.heldNames(), "on_disk": append([]string{}, r.onDisk...)}
}

// modelList returns the held models as reports and entries have them. The caller holds r.mu.
func (r *Replica) modelList() []map[string]any {
	list := []map[string]any{}
	for _, name := range r.heldNames() {
		list = append(list, map[string]any{"name": name, "version": 1, "adapters": r.holds[name]})
	}
	return list
}

func (r *Replica) heldNames() []string {
	names := []string{}
	for name := range r.holds {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// RemoveEntry removes the entry from the store, as for a replica that leaves without a report.
func (r *Replica) RemoveEntry() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = ""
	r.record.Logf("replica %s leaves: its entry is removed", r.ID)
	return r.store.Delete(platform.KindServers, r.ID)
}

// ServeHTTP implements http.Handler.
func (r *Replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.mu.Lock()
	refusing := r.refusing
	r.mu.Unlock()
	if refusing {
		panic(http.ErrAbortHandler)
	}
	id := req.Header.Get("Redwingnotch-Request-Id")
	if id != "" {
		w.Header().Set("Redwingnotch-Request-Id", id)
	}
	if want := req.Header.Get("Redwingnotch-Expect-Instance"); want != "" && want != r.ID {
		r.notRun(w, http.StatusMisdirectedRequest)
		return
	}
	switch req.URL.Path {
	case "/-/report":
		r.serveReport(w)
	case "/-/order":
		r.serveOrder(w, body)
	default:
		r.serveRequest(w, req, id)
	}
}

// notRun answers that the request was not run.
func (r *Replica) notRun(w http.ResponseWriter, status int) {
	w.Header().Set("Redwingnotch-Not-Run", "1")
	w.WriteHeader(status)
}

func (r *Replica) serveRequest(w http.ResponseWriter, req *http.Request, id string) {
	r.mu.Lock()
	switch {
	case id == "":
		r.mu.Unlock()
		r.notRun(w, http.StatusBadRequest)
		return
	case !r.has(req.Header.Get("Redwingnotch-Model")):
		r.mu.Unlock()
		r.notRun(w, http.StatusMisdirectedRequest)
		return
	case r.running >= r.Slots:
		r.mu.Unlock()
		r.notRun(w, http.StatusServiceUnavailable)
		return
	}
	r.running++
	r.ran[id] = time.Now()
	load := fmt.Sprintf("%d,0,%d", r.running, r.Slots)
	r.mu.Unlock()
	r.record.Logf("replica %s runs %s", r.ID, id)
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	w.Header().Set("Redwingnotch-Server-Stamp", "stamp-"+r.ID+"-"+id)
	w.Header().Set("Redwingnotch-Server-Load", load)
	r.Work(w, req)
}

// has reports whether the replica holds what a request's model header names. The caller holds
// r.mu.
func (r *Replica) has(target string) bool {
	if r.capacity == nil {
		return true
	}
	model, adapter := cutTarget(target)
	adapters, held := r.holds[model]
	return held && (adapter == "" || slices.Contains(adapters, adapter))
}

func cutTarget(target string) (model, adapter string) {
	for i := range target {
		if target[i] == '/' {
			return target[:i], target[i+1:]
		}
	}
	return target, ""
}

func (r *Replica) serveReport(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{ // fails if the caller has left
		"stage": "prefill_decode", "models": r.modelList(), "busy": r.busy, "sequence": r.sequence, "waiting_requests": 0,
		"running_requests": r.running, "kv_cache_used": 0, "kv_cache_total": 200000, "handles": 0, "born": r.born,
		"at_hand": r.atHand(),
	})
}

// order is the body of an order.
type order struct {
	Operation string  `json:"operation"`
	Model     string  `json:"model"`
	Adapter   string  `json:"adapter"`
	Expected  *int    `json:"expected"`
	Holder    *string `json:"holder"`
	Token     *uint64 `json:"fencing_token"`
}

func (r *Replica) serveOrder(w http.ResponseWriter, body []byte) {
	var o order
	if err := json.Unmarshal(body, &o); err != nil || r.capacity == nil || o.Holder == nil || o.Token == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	status := r.carryOut(o)
	r.record.Logf("replica %s gets order %s %s/%s of %s, token %d: %d; holds %v, sequence %d", r.ID, o.Operation, o.Model, o.Adapter, *o.Holder, *o.Token, status, r.heldNames(), r.sequence)
	w.WriteHeader(status)
}

// carryOut begins an order and returns the status of the answer. The caller holds r.mu.
func (r *Replica) carryOut(o order) int {
	m, known := r.capacity.Models[o.Model]
	adapters, held := r.holds[o.Model]
	switch {
	case !known:
		return http.StatusBadRequest
	case r.busy || o.Expected != nil && *o.Expected != r.sequence:
		return http.StatusConflict
	case o.Adapter != "" && !held:
		return http.StatusConflict
	case o.Operation == "loading" && o.Adapter != "":
		if slices.Contains(adapters, o.Adapter) {
			return http.StatusOK
		}
		r.sequence++
		if r.adapterCount()+1 > r.capacity.AdapterSlots || r.usedMB()+m.AdapterSize > r.capacity.WeightsMB {
			r.overload(fmt.Sprintf("ordered to load adapter %s/%s beside %d others and %.0f of %.0f MB", o.Model, o.Adapter, r.adapterCount(), r.usedMB(), r.capacity.WeightsMB))
			return http.StatusAccepted
		}
		r.holds[o.Model] = append(adapters, o.Adapter)
	case o.Operation == "loading":
		if held {
			return http.StatusOK
		}
		r.sequence++
		if r.usedMB()+m.WeightsMB > r.capacity.WeightsMB {
			r.overload(fmt.Sprintf("ordered to load %s of %.0f MB beside %v: %.0f of %.0f MB", o.Model, m.WeightsMB, r.heldNames(), r.usedMB()+m.WeightsMB, r.capacity.WeightsMB))
			return http.StatusAccepted
		}
		r.busy = true
		seconds := m.LoadTimeS
		if slices.Contains(r.onDisk, o.Model) {
			seconds = m.DiskLoadS
		}
		r.after(time.Duration(seconds*float64(time.Second)), func() {
			r.holds[o.Model] = []string{}
			if !slices.Contains(r.onDisk, o.Model) {
				r.onDisk = append(r.onDisk, o.Model)
			}
		})
	case o.Operation == "unloading" && o.Adapter != "":
		r.sequence++
		r.holds[o.Model] = slices.DeleteFunc(slices.Clone(adapters), func(a string) bool { return a == o.Adapter })
		return http.StatusOK
	case o.Operation == "unloading":
		if !held {
			return http.StatusOK
		}
		r.sequence++
		r.busy = true
		r.after(100*time.Millisecond, func() { delete(r.holds, o.Model) })
	default:
		return http.StatusBadRequest
	}
	return http.StatusAccepted
}

// after ends an order after the time, unless the replica crashes before. The caller holds r.mu.
func (r *Replica) after(d time.Duration, end func()) {
	born := r.born
	time.AfterFunc(d, func() {
		r.mu.Lock()
		if r.born == born && !r.refusing {
			end()
			r.busy = false
		}
		r.mu.Unlock()
		_ = r.register() // written again at the next heartbeat
	})
}

func (r *Replica) usedMB() float64 {
	used := 0.0
	for name, adapters := range r.holds {
		m := r.capacity.Models[name]
		used += m.WeightsMB + float64(len(adapters))*m.AdapterSize
	}
	return used
}

func (r *Replica) adapterCount() int {
	n := 0
	for _, adapters := range r.holds {
		n += len(adapters)
	}
	return n
}

// overload crashes the replica under an order that it has no room for. The caller holds r.mu.
func (r *Replica) overload(why string) {
	r.broken = append(r.broken, r.ID+": "+why)
	r.crash(why)
}

// Crash ends the replica's process; it is back, empty, after some seconds.
func (r *Replica) Crash(why string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.refusing {
		r.crash(why)
	}
}

// downTime is the time for which a crashed replica is down.
const downTime = 3 * time.Second

// crash does what Crash does. The caller holds r.mu.
func (r *Replica) crash(why string) {
	r.record.Logf("replica %s crashes: %s; %d requests run", r.ID, why, r.running)
	r.end()
	time.AfterFunc(downTime, func() {
		select {
		case <-r.closed:
			return
		default:
		}
		r.mu.Lock()
		r.refusing, r.busy, r.sequence, r.holds, r.born = false, false, 0, map[string][]string{}, time.Now().UnixMilli()
		r.mu.Unlock()
		if err := r.serve(r.address); err != nil {
			r.record.Logf("replica %s is not back: %v", r.ID, err)
			return
		}
		r.record.Logf("replica %s is back", r.ID)
		_ = r.register() // written again at the next heartbeat
	})
}

// Broken returns the orders that the replica had no room for.
func (r *Replica) Broken() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.broken)
}

// Ran returns when a request began to run, and whether it did.
func (r *Replica) Ran(id string) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ran := r.ran[id]
	return at, ran
}

// Exit ends the replica's process for good.
func (r *Replica) Exit() {
	r.mu.Lock()
	r.record.Logf("replica %s exits; %d requests run", r.ID, r.running)
	r.mu.Unlock()
	r.Close()
}

// Close stops the replica.
func (r *Replica) Close() {
	r.closeOnce.Do(func() {
		close(r.closed)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.end()
	})
}

// Stream returns Work that answers with a stream of events, one in each gap, which name the
// version of the software that made them.
func Stream(software string, events int, gap time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		first := 0
		if last, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
			first = last
		}
		for i := first + 1; i <= events; i++ {
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, software)
			if err := http.NewResponseController(w).Flush(); err != nil {
				return
			}
			select {
			case <-req.Context().Done():
				return
			case <-time.After(gap):
			}
		}
	}
}

// Plain returns Work that takes the time and answers with a body.
func Plain(work time.Duration) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, req *http.Request) {
		time.Sleep(work)
		text := "done " + req.Header.Get("Redwingnotch-Request-Id")
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(w, text) // fails if the caller has left
	}
}
