package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/redwingnotch/redwingnotch/platform"
)

// The load of the case: more than the servers' slots can serve, the same all the time, so that
// requests wait at the nodes. It is within the teams' allowances.
const (
	keysServers  = 2
	keysSlots    = 6
	keysWork     = 60 * time.Millisecond
	keysLimit    = 4 * time.Second
	keysTeams    = 4
	keysInterval = 50 * time.Millisecond // between two requests of a team at a node
)

// The changes of the desired state, those of the deployment's config_storm and revoke: one each
// 0.33 s for 4 s, of which two take a key away, 1.5 s and more after another.
const (
	stormGap     = 330 * time.Millisecond
	stormChanges = 12
	secondRevoke = 5
	storms       = 7
	stormPause   = 7500 * time.Millisecond
	calmBefore   = 8 * time.Second
	lossSlack    = 200 * time.Millisecond
	applyTimeout = 3 * time.Second
	lateShare    = 0.7 // part of its time after which a request that is cut does not count
	cutFactor    = 3   // how much more often than at other times requests must be cut
)

func init() { cases["keys"] = runKeys }

// keysCase is the state of the case: which keys the desired state has.
type keysCase struct {
	*trial
	mu      sync.Mutex
	version int
	keys    [keysTeams][]string // of each team; callers use the first
	issued  int
	changes []change
	answers []answer
}

// change is a desired state that was sent and acknowledged.
type change struct{ sent, acked time.Time }

// runKeys checks LOST around desired states that come in quick succession and take keys away, while
// requests with these keys wait for a server.
func runKeys(t *trial) (bool, error) {
	c := &keysCase{trial: t}
	for i := range c.keys {
		for range storms + 1 {
			c.keys[i] = append(c.keys[i], c.newKey())
		}
	}
	if err := c.sendDesired(); err != nil {
		return false, err
	}
	for i := range keysServers {
		if err := c.startServer(fmt.Sprintf("i-%d", i+1)); err != nil {
			return false, err
		}
	}
	if err := t.startNodes(siteCoralbay, "qld-a", "qld-b", "qld-c"); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for _, n := range t.nodes {
		for team := range keysTeams {
			callers.Go(func() { c.call(n, team, stop) })
		}
	}
	time.Sleep(calmBefore)
	c.mu.Lock()
	c.changes = nil // the first desired state came before the traffic
	c.mu.Unlock()
	for storm := range storms {
		if t.trouble {
			if err := c.storm(storm); err != nil {
				return false, err
			}
		} else {
			time.Sleep(stormChanges * stormGap)
		}
		time.Sleep(stormPause)
	}
	close(stop)
	callers.Wait()
	return c.judge(), nil
}

// newKey returns a key that no team has had.
func (c *keysCase) newKey() string {
	c.issued++
	return fmt.Sprintf("key%04d", c.issued)
}

// sendDesired sends the next version of the desired state.
func (c *keysCase) sendDesired() error {
	c.mu.Lock()
	c.version++
	var tenants []map[string]any
	for i, keys := range c.keys {
		tenants = append(tenants, map[string]any{"name": fmt.Sprintf("team%d", i), "api_keys": keys, "unit": "token_count",
			"plain_tokens": 100, "rate_per_s": 20000, "burst": 60000, "priority": 0})
	}
	state := map[string]any{
		"version": c.version,
		"routes": []map[string]any{
			{"name": "lodge", "host": "h.example", "path_prefix": "/lodge/", "kind": "unsafe", "timeout_ms": keysLimit.Milliseconds(), "target_latency_ms": 300, "service": "report-api", "max_attempts": 1},
			{"name": fmt.Sprintf("idle%d", c.version), "host": "idle.example", "path_prefix": fmt.Sprintf("/i%d/", c.version), "kind": "safe", "timeout_ms": 1000, "target_latency_ms": 300, "service": "report-api", "max_attempts": 2},
		},
		"services": []map[string]any{{"name": "report-api", "health_check_path": "/health", "max_connections": 600}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
		"tenants":  tenants,
	}
	c.mu.Unlock()
	sent, err := c.put(platform.KindConfig, platform.ConfigName, state)
	if err != nil {
		return err
	}
	acked := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changes = append(c.changes, change{sent, acked})
	return nil
}

// storm sends desired states in quick succession, two of which take away the key that the callers of
// a team use.
func (c *keysCase) storm(number int) error {
	for i := range stormChanges {
		began, what := time.Now(), "an idle route"
		if i == 0 || i == secondRevoke {
			team := (2*number + i/secondRevoke) % keysTeams
			c.mu.Lock()
			what = fmt.Sprintf("an idle route, key %s of team%d taken away", c.keys[team][0], team)
			c.keys[team] = c.keys[team][1:]
			c.mu.Unlock()
		}
		if err := c.sendDesired(); err != nil {
			return err
		}
		c.record("desired state %d acknowledged: %s", c.version, what)
		time.Sleep(stormGap - time.Since(began))
	}
	return nil
}

// call sends requests of the team to the node until stop is closed. They use a key that the desired
// state has when they are sent.
func (c *keysCase) call(n *node, team int, stop <-chan struct{}) {
	var requests sync.WaitGroup
	defer requests.Wait()
	ticker := time.NewTicker(keysInterval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		requests.Go(func() {
			c.mu.Lock()
			key := c.keys[team][0]
			c.mu.Unlock()
			a, err := send(n, call{method: http.MethodPost, path: "/lodge/x", host: "h.example", id: fmt.Sprintf("%s-t%d-%d", n.name, team, i), limit: keysLimit,
				headers: map[string]string{platform.HeaderAuthorization: platform.AuthScheme + " " + key}})
			if err != nil {
				c.record("no connection to %s: %v", n.name, err)
				return
			}
			c.mu.Lock()
			c.answers = append(c.answers, a)
			c.mu.Unlock()
		})
	}
}

// startServer starts a backend server and registers it.
func (c *keysCase) startServer(id string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	slots := make(chan struct{}, keysSlots)
	handler := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
		if r.Header.Get(platform.HeaderExpectInstance) != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		select {
		case slots <- struct{}{}:
		case <-r.Context().Done():
			return
		}
		time.Sleep(keysWork)
		<-slots
		w.Header().Set(platform.HeaderStamp, "stamp-"+id)
		w.Header().Set(platform.HeaderServerLoad, fmt.Sprintf("%d,0,%d", len(slots), keysSlots))
		_, _ = w.Write([]byte(strings.Repeat("x", 800)))
	}
	go func() { _ = http.Serve(l, http.HandlerFunc(handler)) }()
	_, err = c.put(platform.KindServers, id, map[string]any{"service": "report-api", "address": l.Addr().String(), "zone": "qld-a", "version": "v1",
		"slots": keysSlots, "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli()})
	return err
}

// duringChange reports whether the time is within the planned work of a change.
func (c *keysCase) duringChange(at time.Time) bool {
	for _, x := range c.changes {
		if !at.Before(x.sent) && at.Before(x.acked.Add(applyTimeout+time.Second)) {
			return true
		}
	}
	return false
}

// judge counts the requests that were read and whose channels ended without an answer.
func (c *keysCase) judge() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	statuses := map[string]int{}
	var lost, all [2]int // at other times, and around changes
	for _, a := range c.answers {
		during := 0
		if c.duringChange(a.ended) {
			during = 1
		}
		all[during]++
		after := a.ended.Sub(a.sent)
		switch {
		case a.status != 0:
			statuses[fmt.Sprint(a.status)]++
		case a.gaveUp():
			statuses["no answer in time"]++
		default:
			statuses["closed without an answer"]++
			c.record("request %s to %s: channel closed without an answer %.3f s after its last byte (%v), around a change: %v", a.id, a.node.name, after.Seconds(), a.err, during == 1)
			if after > lossSlack && after.Seconds() < lateShare*keysLimit.Seconds() {
				lost[during]++
			}
		}
	}
	rate := func(i int) float64 { return float64(lost[i]) / max(1, float64(all[i])) }
	for _, n := range c.nodes {
		lines := append(n.logLines("panic serving"), n.logLines("front.(*exchange).returnAllowance")...)
		if len(lines) > 0 {
			c.record("%s logged: %s", n.name, strings.Join(lines[:min(len(lines), 3)], " | "))
		}
	}
	c.record("answers: %v", statuses)
	c.record("lost around changes: %d of %d; at other times: %d of %d", lost[1], all[1], lost[0], all[0])
	return lost[1] == 0 || rate(1) <= cutFactor*rate(0)
}
