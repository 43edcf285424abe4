package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/redwingnotch/redwingnotch/platform"
)

func init() { cases["poison"] = runPoison }

// The fleet of the case, the requests that crash servers, and how long it runs.
const (
	poisonServers  = 6
	poisonRequests = 3
	poisonFor      = 75 * time.Second
	poisonPause    = 500 * time.Millisecond // from the answer to a request until it comes again
	crashAfter     = 60 * time.Millisecond  // from the beginning of its run to the crash
	backAfter      = 3 * time.Second        // from the crash to the start of the server that takes the place
	contactTimeout = 3 * time.Second
	freeEnds       = 3 // crashes, and retries later than contactTimeout after them, that the rule allows
	soundCallers   = 24
)

// poisonCase is the state of the case.
type poisonCase struct {
	*trial
	mu       sync.Mutex
	zone     map[string]string
	arrivals map[string][]time.Time // of each request that crashes servers, by its path
	crashes  map[string][]time.Time
	started  int
	crashed  int
	broken   int // sound streams that broke off
	whole    int // sound streams that ended
}

// crashingEngine is a model server that a request may crash.
type crashingEngine struct {
	*engine
	listener net.Listener
	once     sync.Once
	connsMu  sync.Mutex
	conns    map[net.Conn]struct{}
}

// runPoison checks BUDGET with several requests for one rare model, each of which crashes each server
// that begins to run it.
func runPoison(t *trial) (bool, error) {
	c := &poisonCase{trial: t, zone: map[string]string{}, arrivals: map[string][]time.Time{}, crashes: map[string][]time.Time{}}
	models := []map[string]any{}
	for i := range 3 * poisonServers {
		models = append(models, map[string]any{"name": fmt.Sprintf("m%d", i), "weights_mb": modelMB, "load_time_s": loadTime.Seconds(), "disk_load_s": diskTime.Seconds(), "warm_s": 0.4, "adapters": 0, "adapter_size_mb": 12})
	}
	state := map[string]any{
		"version": 1,
		"routes": []map[string]any{{"name": "shift-summary", "host": "h.example", "path_prefix": "/sum/", "kind": "streaming", "timeout_ms": streamLimit.Milliseconds(),
			"target_latency_ms": 6000, "target_gap_ms": 500, "priority": 2, "service": "repair-llm", "max_attempts": 1, "sticky_sessions": true}},
		"services": []map[string]any{{"name": "repair-llm", "health_check_path": "/health", "max_connections": 210,
			"engine": map[string]any{"slots": engineSlots, "kv_cache_tokens": 212161, "weights_mb": memoryMB, "adapter_slots": 8, "loads_per_s": 5.2, "models": models}}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
	}
	if _, err := t.put(platform.KindConfig, platform.ConfigName, state); err != nil {
		return false, err
	}
	zones := []string{"sk-central-a", "sk-central-b", "sk-central-c"}
	for i := range poisonServers {
		held := []string{fmt.Sprintf("m%d", 3*i), fmt.Sprintf("m%d", 3*i+1), fmt.Sprintf("m%d", 3*i+2)}
		if err := c.start(zones[i%len(zones)], held, held); err != nil {
			return false, err
		}
	}
	if err := t.startNodes(siteTocka, zones...); err != nil {
		return false, err
	}
	time.Sleep(calmBefore)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range poisonRequests {
		callers.Go(func() { c.repeat(i, stop) })
	}
	for i := range soundCallers {
		callers.Go(func() { c.sound(i, stop) })
	}
	time.Sleep(poisonFor)
	close(stop)
	callers.Wait()
	return c.judge(), nil
}

// start starts a server that holds some models and has weights on its disk.
func (c *poisonCase) start(zone string, held, onDisk []string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.started++
	e := &engine{id: fmt.Sprintf("i-%d", c.started), address: l.Addr().String(), zone: zone, trial: c.trial, born: time.Now().UnixMilli(), held: held, onDisk: onDisk}
	c.mu.Unlock()
	s := &crashingEngine{engine: e, listener: l, conns: map[net.Conn]struct{}{}}
	e.stream = func(*http.Request, int) time.Duration { return eventGap }
	e.begins = func(r *http.Request) { c.begins(s, r) }
	server := &http.Server{Handler: e, ConnState: func(conn net.Conn, state http.ConnState) {
		s.connsMu.Lock()
		defer s.connsMu.Unlock()
		if state == http.StateNew {
			s.conns[conn] = struct{}{}
		} else if state == http.StateClosed {
			delete(s.conns, conn)
		}
	}}
	go func() { _ = server.Serve(l) }()
	return e.register()
}

// begins is called when a server begins to run a request.
func (c *poisonCase) begins(s *crashingEngine, r *http.Request) {
	path := r.URL.Path
	if path == soundPath {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals[path] = append(c.arrivals[path], time.Now())
	c.record("server %s begins to run %s (%s)", s.id, path, r.Header.Get(platform.HeaderRequestID))
	if !c.trouble {
		return
	}
	time.AfterFunc(crashAfter, func() { c.crash(s, path) })
}

// crash ends a server because of a request that it runs: its connections are reset and it accepts none.
// Another one takes its place, with its disk, and its entry is removed once it has been silent.
func (c *poisonCase) crash(s *crashingEngine, path string) {
	c.mu.Lock()
	c.crashes[path] = append(c.crashes[path], time.Now())
	c.mu.Unlock()
	s.once.Do(func() {
		c.mu.Lock()
		c.crashed++
		c.mu.Unlock()
		c.record("server %s crashes", s.id)
		s.end()
		_ = s.listener.Close()
		s.connsMu.Lock()
		for conn := range s.conns {
			_ = conn.(*net.TCPConn).SetLinger(0) // fails on a closed connection
			_ = conn.Close()
		}
		s.connsMu.Unlock()
		time.AfterFunc(silenceFor, func() {
			if err := c.remove(s.id); err != nil {
				c.record("entry of %s not removed: %v", s.id, err)
			}
		})
		time.AfterFunc(backAfter, func() {
			if err := c.start(s.zone, nil, s.disk()); err != nil {
				c.record("no server in the place of %s: %v", s.id, err)
			}
		})
	})
}

// soundPath is the path of requests that crash nothing.
const soundPath = "/sum/sound"

// repeat sends a request that crashes servers, at the nodes in turn, until stop is closed.
func (c *poisonCase) repeat(number int, stop <-chan struct{}) {
	for i := 0; ; i++ {
		a, err := send(c.nodes[(number+i)%len(c.nodes)], call{method: http.MethodPost, path: fmt.Sprintf("/sum/bad%d", number), host: "h.example",
			id: fmt.Sprintf("bad%d-%d", number, i), limit: streamLimit, headers: map[string]string{
				platform.HeaderModel: "m0", platform.HeaderTokenCounts: "491,70", platform.HeaderPromptPrefix: fmt.Sprintf("ab%d:336", number)}})
		if err == nil {
			c.record("caller: %s: status %d after %.3f s (%v)", a.id, a.status, a.ended.Sub(a.sent).Seconds(), a.err)
		}
		select {
		case <-stop:
			return
		case <-time.After(poisonPause):
		}
	}
}

// sound streams from other models until stop is closed.
func (c *poisonCase) sound(number int, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		a, err := send(c.nodes[number%len(c.nodes)], call{method: http.MethodPost, path: soundPath, host: "h.example", id: fmt.Sprintf("sound%d-%d", number, i), limit: streamLimit,
			headers: map[string]string{platform.HeaderModel: fmt.Sprintf("m%d", 1+(number*7+i)%(3*poisonServers-1)), platform.HeaderTokenCounts: "491,70", platform.HeaderPromptPrefix: fmt.Sprintf("c%d%d:336", number, i)}})
		if err != nil {
			continue
		}
		c.mu.Lock()
		if a.err != nil && a.body != "" {
			c.broken++
		} else if a.status == http.StatusOK {
			c.whole++
		}
		c.mu.Unlock()
		if a.status == http.StatusServiceUnavailable {
			time.Sleep(poisonPause)
		}
	}
}

// judge counts, for each request that crashes servers, the times that it reached one later than
// contactTimeout after it had crashed the third.
func (c *poisonCase) judge() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := true
	for i := range poisonRequests {
		path := fmt.Sprintf("/sum/bad%d", i)
		late := 0
		for _, at := range c.arrivals[path] {
			if crashes := c.crashes[path]; len(crashes) >= freeEnds && at.After(crashes[freeEnds-1].Add(contactTimeout)) {
				late++
			}
		}
		c.record("%s: reached servers %d times, crashed %d, %d retries later than %v after the third crash", path, len(c.arrivals[path]), len(c.crashes[path]), late, contactTimeout)
		held = held && late <= freeEnds
	}
	c.record("%d servers crashed; %d sound streams broke off, %d ended", c.crashed, c.broken, c.whole)
	return held
}

// remove removes a server's entry.
func (t *trial) remove(id string) error {
	entry, err := t.store.Get(context.Background(), platform.KindServers, id)
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return t.store.Delete(context.Background(), platform.KindServers, id, entry.Version)
}
