package processes

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/redwingnotch/redwingnotch/standin/fault"
	"github.com/redwingnotch/redwingnotch/standin/modelserver"
)

// disturbance disturbs the run until it has ended or the context ends. What it began it ends also
// then.
type disturbance struct {
	name   string
	weight int
	run    func(ctx context.Context, r *streamRun, rng *rand.Rand)
}

var disturbances = []disturbance{
	{"kill a node", 3, killNodes(1)},
	{"kill three nodes", 2, killNodes(3)},
	{"kill all nodes", 1, killNodes(1 << 10)},
	{"freeze nodes", 3, freezeNodes},
	{"stop nodes", 2, stopNodes},
	{"hang up nodes", 1, hangUpNodes},
	{"crash a server", 4, crashServer},
	{"freeze a server", 2, freezeServer},
	{"withdraw a server", 2, withdrawServer},
	{"release", 4, releaseSoftware},
	{"store outage", 2, storeOutage},
	{"store is slow", 1, storeSlow},
	{"store loses history and answers", 1, storeForgets},
	{"route moves", 2, moveRoute},
	{"release in a store outage", 2, releaseInOutage},
	{"kill all nodes in a release", 1, killAllInRelease},
	{"freeze nodes in a release", 2, freezeInRelease},
}

// disturb brings about disturbances whose names hold a text, some of which overlap, until the context ends.
func (r *streamRun) disturb(ctx context.Context, rng *rand.Rand, only string) {
	chosen := slices.DeleteFunc(slices.Clone(disturbances), func(d disturbance) bool { return !strings.Contains(d.name, only) })
	total := 0
	for _, d := range chosen {
		total += d.weight
	}
	if total == 0 {
		return
	}
	for {
		if fault.Sleep(ctx, between(rng, 100*time.Millisecond, 2500*time.Millisecond)) != nil {
			r.disturbing.Wait()
			return
		}
		at := rng.IntN(total)
		i := slices.IndexFunc(chosen, func(d disturbance) bool { at -= d.weight; return at < 0 })
		d, own := chosen[i], rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		r.logf("disturbance: %s", d.name)
		r.disturbing.Go(func() { d.run(ctx, r, own) })
	}
}

// between returns a random time in the range.
func between(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)+1))
}

// someNodes returns at most n nodes in random order.
func (r *streamRun) someNodes(rng *rand.Rand, n int) []*frontNode {
	var some []*frontNode
	for _, i := range rng.Perm(len(r.nodes))[:min(n, len(r.nodes))] {
		some = append(some, r.nodes[i])
	}
	return some
}

// restartDelays are the times after which a node that has ended is started again.
func nodeRestartDelay(rng *rand.Rand) time.Duration {
	return between(rng, 200*time.Millisecond, 2*time.Second)
}

func killNodes(n int) func(context.Context, *streamRun, *rand.Rand) {
	return func(_ context.Context, r *streamRun, rng *rand.Rand) {
		for _, node := range r.someNodes(rng, n) {
			node.signal(syscall.SIGKILL, nodeRestartDelay(rng))
		}
	}
}

// stopNodes stops one node after the other, so that they overlap at times.
func stopNodes(ctx context.Context, r *streamRun, rng *rand.Rand) {
	for _, node := range r.someNodes(rng, 1+rng.IntN(4)) {
		node.signal(syscall.SIGTERM, nodeRestartDelay(rng))
		if fault.Sleep(ctx, between(rng, 0, 3*time.Second)) != nil {
			return
		}
	}
}

func hangUpNodes(_ context.Context, r *streamRun, rng *rand.Rand) {
	for _, node := range r.someNodes(rng, 1+rng.IntN(3)) {
		node.signal(syscall.SIGHUP, nodeRestartDelay(rng))
	}
}

func freezeNodes(ctx context.Context, r *streamRun, rng *rand.Rand) {
	some := r.someNodes(rng, 1+rng.IntN(max(1, len(r.nodes)/2)))
	for _, node := range some {
		node.signal(syscall.SIGSTOP, nodeRestartDelay(rng))
	}
	for _, node := range some {
		_ = fault.Sleep(ctx, between(rng, 200*time.Millisecond, 8*time.Second/time.Duration(len(some)))) // an ended run thaws them as well
		node.signal(syscall.SIGCONT, nodeRestartDelay(rng))
	}
}

func isEngine(c modelserver.Config) bool { return c.Service != plainService }

func anyServer(modelserver.Config) bool { return true }

// crashServer kills a server and starts it again, at times at once, under its ID or a new one,
// with its version of the software or another.
func crashServer(ctx context.Context, r *streamRun, rng *rand.Rand) {
	p := r.servers.reserve(rng, anyServer)
	if p == nil {
		return
	}
	r.logf("server %s is killed", p.config.ID)
	p.signal(syscall.SIGKILL)
	r.servers.forget(p, false)
	if rng.IntN(3) > 0 {
		_ = fault.Sleep(ctx, between(rng, 300*time.Millisecond, 6*time.Second)) // an ended run starts it as well
	}
	r.startAgain(rng, p.config, rng.IntN(2) == 0, otherSoftware(rng, p.config.Software))
}

// otherSoftware returns the version of a server that is back after a crash.
func otherSoftware(rng *rand.Rand, software string) string {
	if rng.IntN(3) > 0 {
		return software
	}
	return softwares[rng.IntN(len(softwares))]
}

// softwares are the versions of the servers' software.
var softwares = []string{"v1", "v2"}

// startAgain starts a server that has ended, at its address or, under a new ID, at times at
// another.
func (r *streamRun) startAgain(rng *rand.Rand, old modelserver.Config, sameID bool, software string) {
	c := r.servers.newConfig(rng, old.Service, old.Zone, software, diskOf(old))
	if sameID {
		c.ID = old.ID
	}
	if sameID || rng.IntN(2) == 0 {
		c.Address = old.Address
	}
	if isEngine(c) && (r.restartEmpty || rng.IntN(3) == 0) {
		c.Held, c.OnDisk = nil, diskOf(old)
	}
	if _, err := r.servers.start(c); err != nil {
		r.logf("server %s not started: %v", c.ID, err)
	}
}

// diskOf returns the models whose weights are on the disk of a server that has ended, as far as
// its configuration has them.
func diskOf(old modelserver.Config) []string { return append(slices.Clone(old.OnDisk), old.Held...) }

func freezeServer(ctx context.Context, r *streamRun, rng *rand.Rand) {
	p := r.servers.reserve(rng, anyServer)
	if p == nil {
		return
	}
	r.logf("server %s is frozen", p.config.ID)
	p.signal(syscall.SIGSTOP)
	_ = fault.Sleep(ctx, between(rng, 200*time.Millisecond, 6*time.Second)) // an ended run thaws it as well
	r.logf("server %s is thawed", p.config.ID)
	p.signal(syscall.SIGCONT)
	r.servers.release(p)
}

// withdrawServer lets a server leave without a report; a new one comes.
func withdrawServer(ctx context.Context, r *streamRun, rng *rand.Rand) {
	p := r.servers.reserve(rng, anyServer)
	if p == nil {
		return
	}
	r.logf("server %s is withdrawn", p.config.ID)
	p.signal(modelserver.SignalWithdraw)
	_ = fault.Sleep(ctx, between(rng, 0, 2*time.Second)) // an ended run starts the new one as well
	c := r.servers.newConfig(rng, p.config.Service, p.config.Zone, p.config.Software, diskOf(p.config))
	if _, err := r.servers.start(c); err != nil {
		r.logf("server %s not started: %v", c.ID, err)
	}
	r.servers.forget(p, true)
}

// releaseSoftware replaces the servers of an engine by servers of another version, one by one and
// at times not all of them: a new one first, or in place under the old one's ID, with or without
// a report.
func releaseSoftware(ctx context.Context, r *streamRun, rng *rand.Rand) {
	if !r.releasing.TryLock() {
		return
	}
	defer r.releasing.Unlock()
	service := []string{mainEngine, mainEngine, mainEngine, secondEngine}[rng.IntN(4)]
	software, way, most := softwares[rng.IntN(len(softwares))], rng.IntN(3), 1+rng.IntN(8)
	pause := between(rng, 100*time.Millisecond, 2*time.Second)
	r.logf("release of %s for %s, way %d, at most %d servers, pause %v; now %v", software, service, way, most, pause, r.servers.count(service))
	for range most {
		p := r.servers.reserve(rng, func(c modelserver.Config) bool { return c.Service == service && c.Software != software })
		if p == nil {
			break
		}
		switch way {
		case 0:
			r.replaceServer(ctx, rng, p, software)
		case 1:
			r.logf("server %s leaves", p.config.ID)
			p.signal(modelserver.SignalLeave)
			r.servers.forget(p, false)
			r.startAgain(rng, p.config, true, software)
		case 2:
			r.logf("server %s is killed", p.config.ID)
			p.signal(syscall.SIGKILL)
			r.servers.forget(p, false)
			r.startAgain(rng, p.config, true, software)
		}
		if fault.Sleep(ctx, pause) != nil {
			break
		}
	}
	r.logf("release of %s for %s ends; now %v", software, service, r.servers.count(service))
}

// replaceServer starts a server of the version and lets the old one leave.
func (r *streamRun) replaceServer(ctx context.Context, rng *rand.Rand, old *serverProcess, software string) {
	c := r.servers.newConfig(rng, old.config.Service, old.config.Zone, software, diskOf(old.config))
	if _, err := r.servers.start(c); err != nil {
		r.logf("server %s not started: %v", c.ID, err)
	}
	_ = fault.Sleep(ctx, between(rng, 0, time.Second)) // an ended run ends the old one as well
	r.logf("server %s leaves", old.config.ID)
	old.signal(modelserver.SignalLeave)
	r.disturbing.Go(func() { r.servers.forget(old, true) })
}

// storeOutage takes the store away from some nodes or from all, at times also from the servers.
func storeOutage(ctx context.Context, r *streamRun, rng *rand.Rand) {
	gates, mode := gateSeveral(rng, r.gates)
	expire := rng.IntN(2) == 0
	if rng.IntN(2) == 0 {
		gates = r.gates
	}
	r.logf("store %s for %d of %d callers, entries expire %t", mode, len(gates), len(r.gates), expire)
	if !expire {
		r.expiry.pause(true)
		defer r.expiry.pause(false)
	}
	for _, g := range gates {
		g.set(mode)
	}
	_ = fault.Sleep(ctx, between(rng, 500*time.Millisecond, 8*time.Second)) // an ended run ends the outage as well
	for _, g := range gates {
		g.set(gateOpen)
	}
	r.logf("store is back for %d callers", len(gates))
}

func storeSlow(ctx context.Context, r *streamRun, rng *rand.Rand) {
	r.api.Faults.SetDelay(between(rng, 50*time.Millisecond, 1200*time.Millisecond))
	_ = fault.Sleep(ctx, between(rng, time.Second, 5*time.Second)) // an ended run ends it as well
	r.api.Faults.SetDelay(0)
}

func storeForgets(_ context.Context, r *streamRun, rng *rand.Rand) {
	r.api.Compact()
	r.api.Faults.DropResponses(1 + rng.IntN(10))
}

// releaseInOutage begins an outage of the store and a release.
func releaseInOutage(ctx context.Context, r *streamRun, rng *rand.Rand) {
	outage := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
	r.disturbing.Go(func() { storeOutage(ctx, r, outage) })
	releaseSoftware(ctx, r, rng)
}

// killAllInRelease kills all nodes while a release is under way.
func killAllInRelease(ctx context.Context, r *streamRun, rng *rand.Rand) {
	kill := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
	r.disturbing.Go(func() {
		if fault.Sleep(ctx, between(kill, 0, 3*time.Second)) == nil {
			killNodes(len(r.nodes))(ctx, r, kill)
		}
	})
	releaseSoftware(ctx, r, rng)
}

// freezeInRelease freezes half of the nodes, with requests in their sockets, for so long that
// servers come back and load a model meanwhile.
func freezeInRelease(ctx context.Context, r *streamRun, rng *rand.Rand) {
	some := r.someNodes(rng, (len(r.nodes)+1)/2)
	freeze := between(rng, 2*time.Second, 8*time.Second)
	for _, node := range some {
		node.signal(syscall.SIGSTOP, nodeRestartDelay(rng))
	}
	r.disturbing.Go(func() {
		_ = fault.Sleep(ctx, freeze) // an ended run thaws them as well
		for _, node := range some {
			node.signal(syscall.SIGCONT, time.Second)
		}
	})
	releaseSoftware(ctx, r, rng)
}

// moveRoute changes the services of a route, and at times kills nodes right after that.
func moveRoute(ctx context.Context, r *streamRun, rng *rand.Rand) {
	weights := []map[string]float64{{mainEngine: 1}, {secondEngine: 1}, {mainEngine: 0.5, secondEngine: 0.5}}[rng.IntN(3)]
	r.writeDesired(weights)
	if rng.IntN(3) == 0 && fault.Sleep(ctx, between(rng, 0, 500*time.Millisecond)) == nil {
		killNodes(1)(ctx, r, rng)
	}
}
