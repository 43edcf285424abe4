package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/redwingnotch/redwingnotch/platform"
)

func init() { cases["silence"] = runSilence }

// The streams of the case silence, and the planned stop.
const (
	silenceRounds  = 3
	silenceStreams = 3
	silentEvent    = 5                       // event before which the server is silent
	silence        = 2600 * time.Millisecond // below the 24 s after which callers of the route abandon a stream
	streamLimit    = 17 * time.Second
	stopAfter      = 200 * time.Millisecond // from the sending of the streams to SIGTERM
	gracePeriod    = 8 * time.Second
)

// runSilence checks LOST around the planned stop of an entry node, with streams whose server is silent
// for a while.
func runSilence(t *trial) (bool, error) {
	models := []map[string]any{}
	for i := range 6 {
		models = append(models, map[string]any{"name": fmt.Sprintf("m%d", i), "weights_mb": modelMB, "load_time_s": loadTime.Seconds(), "disk_load_s": diskTime.Seconds(), "warm_s": 0.4, "adapters": 0, "adapter_size_mb": 12})
	}
	state := map[string]any{
		"version": 1,
		"routes": []map[string]any{{"name": "shift-summary", "host": "h.example", "path_prefix": "/sum/", "kind": "streaming", "timeout_ms": streamLimit.Milliseconds(),
			"target_latency_ms": 6000, "target_gap_ms": 500, "priority": 2, "service": "repair-llm", "max_attempts": 2, "resumable": true, "sticky_sessions": true}},
		"services": []map[string]any{{"name": "repair-llm", "health_check_path": "/health", "max_connections": 210,
			"engine": map[string]any{"slots": engineSlots, "kv_cache_tokens": 212161, "weights_mb": memoryMB, "adapter_slots": 8, "loads_per_s": 5.2, "models": models}}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
	}
	if _, err := t.put(platform.KindConfig, platform.ConfigName, state); err != nil {
		return false, err
	}
	pause := func(r *http.Request, number int) time.Duration {
		if number == silentEvent && r.Header.Get(platform.HeaderLastEventID) == "" {
			return silence // the run was preempted and is read anew
		}
		return eventGap
	}
	for id, held := range map[string][]string{"i-1": {"m0", "m1", "m2"}, "i-2": {"m3", "m4", "m5"}} {
		if _, err := t.startEngine(id, held, pause); err != nil {
			return false, err
		}
	}
	if err := t.startNodes(siteTocka, "sk-central-a", "sk-central-b", "sk-central-c"); err != nil {
		return false, err
	}
	time.Sleep(calmBefore)
	held := true
	for round := range silenceRounds {
		ok, err := t.silenceRound(round)
		if err != nil {
			return false, err
		}
		held = held && ok
	}
	return held, nil
}

// silenceRound sends streams to a node and, with the disruption, stops it while they run. It reports
// whether the rule held.
func (t *trial) silenceRound(round int) (bool, error) {
	n := t.nodes[round%len(t.nodes)]
	var mu sync.Mutex
	var answers []answer
	var failed error
	var callers sync.WaitGroup
	for i := range silenceStreams {
		callers.Go(func() {
			a, err := send(n, call{method: http.MethodPost, path: "/sum/x", host: "h.example", id: fmt.Sprintf("sum-%d-%d", round, i), limit: streamLimit, headers: map[string]string{
				platform.HeaderModel: fmt.Sprintf("m%d", round), platform.HeaderTokenCounts: "491,70", platform.HeaderPromptPrefix: fmt.Sprintf("a%d:155,b%d%d:336", round, round, i)}})
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
			if err != nil {
				failed = err
			}
		})
	}
	var stopped time.Time
	if t.trouble {
		time.Sleep(stopAfter)
		stopped = time.Now()
		if err := n.process.Process.Signal(syscall.SIGTERM); err != nil {
			return false, err
		}
		t.record("SIGTERM to %s", n.name)
	}
	callers.Wait()
	if failed != nil {
		return false, failed
	}
	held := true
	for _, a := range answers {
		events := strings.Count(a.body, "\n\n")
		t.record("caller: stream %s: status %d, %d of %d events, ended %.3f s after it was sent (%v)", a.id, a.status, events, streamEvents, a.ended.Sub(a.sent).Seconds(), a.err)
		if a.status == 0 && !a.gaveUp() && t.trouble && a.ended.Before(stopped.Add(gracePeriod+time.Second)) {
			t.record("caller: the channel of %s ended without a complete answer %.3f s after SIGTERM", a.id, a.ended.Sub(stopped).Seconds())
			held = false
		}
	}
	if t.trouble {
		select {
		case err := <-n.done:
			t.record("%s ended %.3f s after SIGTERM: %v", n.name, time.Since(stopped).Seconds(), err)
		case <-time.After(time.Until(stopped.Add(gracePeriod))):
			t.record("%s is killed at the end of its grace", n.name)
			n.end()
		}
		if err := n.start(); err != nil {
			return false, err
		}
		if err := n.awaitReady(); err != nil {
			return false, err
		}
	}
	time.Sleep(calmBefore)
	return held, nil
}
