package leadership_test

import (
	"math/rand/v2"
	"time"
)

const (
	modelGracePeriod  = 6 * time.Second // most time from a stop signal to the exit
	modelRestartDelay = time.Second     // least time from a process's end to its restart
	// A leader that was frozen for a time in this range while a renewal was on its
	// way finds its leadership expired, and the renewal confirmed.
	modelLongFreezeFrom = 7300 * time.Millisecond
	modelLongFreezeTo   = 9100 * time.Millisecond
)

// modelFault is a kind of fault. Each run has some of them, at its own rates.
type modelFault struct {
	name   string
	inject func(r *modelRun)
}

// modelFaults are the faults that occur at random times.
var modelFaults = []modelFault{
	{"stop", func(r *modelRun) { r.victim().stop() }},
	{"kill", func(r *modelRun) { r.victim().kill() }},
	{"freeze", func(r *modelRun) { r.victim().freeze(r.freezeTime()) }},
	{"isolate", func(r *modelRun) { r.isolate(r.victim()) }},
	{"cut", func(r *modelRun) { r.cutLink(r.victim().index, r.random.IntN(len(r.nodes)), r.faultTime()) }},
	{"unserved", func(r *modelRun) { r.keepFromStore(r.victim(), r.faultTime()) }},
	{"flapping", func(r *modelRun) { r.slowStore(); r.flap(r.victim(), 1+r.random.IntN(8)) }},
	{"few served", (*modelRun).serveFew},
	{"down", func(r *modelRun) { r.during("store is down", r.faultTime(), &r.store.down) }},
	{"refusing briefly", func(r *modelRun) { r.during("store rejects calls", r.upTo(time.Second), &r.store.refusing) }},
	{"refusing", func(r *modelRun) { r.during("store rejects calls", r.faultTime(), &r.store.refusing) }},
	{"slow", (*modelRun).slowStore},
}

// scheduleReturns lets the store come back from older copies, some of them within a second, alone or with a
// fault at the same moment. It draws from a source of its own, so that a seed has the same faults with
// returns and without.
func (r *modelRun) scheduleReturns(seed uint64) {
	own := rand.New(rand.NewPCG(seed, 1))
	r.store.era = 1 + own.Uint64N(3)
	var next func()
	next = func() {
		out := time.Duration(own.Int64N(int64(2 * time.Second)))
		r.during("store is down before its return", out, &r.store.down)
		switch own.IntN(5) {
		case 0:
			r.victim().kill()
		case 1:
			for _, n := range r.nodes {
				n.kill()
			}
		case 2:
			r.victim().freeze(out + r.freezeTime())
		case 3:
			r.keepFromStore(r.victim(), out+r.faultTime())
		}
		r.after(out, func() { r.store.goBack(modelCopyFrom + time.Duration(own.Int64N(int64(modelCopyTo-modelCopyFrom)))) })
		pause := time.Duration(own.Int64N(int64(20 * time.Second)))
		if own.IntN(4) == 0 {
			pause = time.Duration(own.Int64N(int64(time.Second)))
		}
		r.after(out+pause, next)
	}
	r.after(time.Second+time.Duration(own.Int64N(int64(15*time.Second))), next)
}

// scheduleFaults chooses the kinds of faults of the run and their rates.
func (r *modelRun) scheduleFaults() {
	for _, f := range modelFaults {
		if !r.chance(0.5) {
			continue
		}
		interval := r.between(2*time.Second, 30*time.Second)
		var next func()
		next = func() {
			f.inject(r)
			r.after(r.upTo(2*interval), next)
		}
		r.after(time.Second+r.upTo(2*interval), next)
	}
	for _, p := range []*float64{&r.store.losing, &r.store.late, &r.store.stale, &r.lossRate, &r.delayRate, &r.writeFaultRate} {
		if r.chance(0.4) {
			*p = 0.02 + 0.25*r.random.Float64()
		}
	}
	for _, p := range []*float64{&r.gainFaultRate, &r.resumeFaultRate} {
		if r.chance(0.5) {
			*p = 0.1 + 0.6*r.random.Float64()
		}
	}
}

// victim returns the node of a fault, more often than not a leader.
func (r *modelRun) victim() *modelNode {
	for _, i := range r.random.Perm(len(r.nodes)) {
		n := r.nodes[i]
		if n.process != nil && n.process.cell.core.Leading(r.now) && r.chance(0.6) {
			return n
		}
	}
	return r.nodes[r.random.IntN(len(r.nodes))]
}

// faultTime returns the random duration of a fault.
func (r *modelRun) faultTime() time.Duration {
	if r.chance(0.5) {
		return r.between(100*time.Millisecond, 4*time.Second)
	}
	return r.between(time.Second, 18*time.Second)
}

// freezeTime returns the random duration of a freeze. Those that end about when
// the leadership expires are frequent.
func (r *modelRun) freezeTime() time.Duration {
	if r.chance(0.4) {
		return r.between(5*time.Second, 13*time.Second)
	}
	return r.faultTime()
}

// faultOnWrite may inject a fault while the node's write is on its way.
func (r *modelRun) faultOnWrite(n *modelNode) {
	if !r.chance(r.writeFaultRate) {
		return
	}
	p, fault := n.process, r.random.IntN(4)
	p.after(r.upTo(4*r.store.delay), func() {
		switch fault {
		case 0:
			n.freeze(r.freezeTime())
		case 1:
			n.freeze(r.between(modelLongFreezeFrom, modelLongFreezeTo))
		case 2:
			n.kill()
		case 3:
			r.keepFromStore(n, r.faultTime())
		}
	})
}

// faultOnGain may inject faults soon after the node gained the leadership.
func (r *modelRun) faultOnGain(n *modelNode) {
	former := r.lastLeader
	r.lastLeader = n.index
	for r.chance(r.gainFaultRate) {
		other := r.nodes[r.random.IntN(len(r.nodes))]
		if r.chance(0.7) {
			other = r.nodes[former]
		}
		fault, delay := r.random.IntN(9), r.upTo(900*time.Millisecond)
		if r.chance(0.5) {
			delay = r.upTo(150 * time.Millisecond)
		}
		r.after(delay, func() {
			switch fault {
			case 0:
				n.kill()
			case 1:
				n.stop()
			case 2:
				r.isolate(n)
			case 3:
				r.keepFromStore(n, r.faultTime())
			case 4:
				other.kill()
			case 5:
				r.cutLink(n.index, other.index, r.faultTime())
			case 6:
				r.during("store rejects calls", r.upTo(time.Second), &r.store.refusing)
			case 7: // it restarts without the reports of the former leader
				n.kill()
				r.isolate(r.nodes[former])
			case 8: // it passes on the reports of the former leader
				n.stop()
				r.isolate(r.nodes[former])
			}
		})
	}
}

// stop stops the node's process gracefully and restarts it after its exit.
func (n *modelNode) stop() {
	p, r := n.process, n.run
	if p == nil || p.stopping || n.frozen {
		return
	}
	r.logf("%s: is told to stop", n.name)
	p.stopping = true
	p.cell.core.Resign()
	p.sendToAll = true
	p.publish()
	r.after(r.between(3300*time.Millisecond, modelGracePeriod), func() {
		if n.process == p {
			n.kill()
		}
	})
}

// kill ends the node's process at once and restarts it later, now and then only to
// be killed again.
func (n *modelNode) kill() {
	if n.process == nil {
		return
	}
	r := n.run
	r.logf("%s: process ends", n.name)
	n.exit()
	down := modelRestartDelay
	if r.chance(0.5) {
		down += r.upTo(4 * time.Second)
	}
	r.after(down, n.start)
	if r.chance(0.3) {
		r.after(down+r.upTo(4*time.Second), n.kill)
	}
}

// during puts a fault in force for a time.
func (r *modelRun) during(name string, d time.Duration, count *int) {
	r.logf("%s for %v", name, d)
	*count++
	r.after(d, func() { *count-- })
}

// keepFromStore cuts the node from the store for a time.
func (r *modelRun) keepFromStore(n *modelNode, d time.Duration) {
	r.logf("%s: is cut from the store for %v", n.name, d)
	r.store.unserved[n.index]++
	r.after(d, func() { r.store.unserved[n.index]-- })
}

// flap cuts the node from the store several times, briefly.
func (r *modelRun) flap(n *modelNode, times int) {
	if times == 0 {
		return
	}
	down := r.between(200*time.Millisecond, 1500*time.Millisecond)
	r.keepFromStore(n, down)
	r.after(down+r.upTo(time.Second), func() { r.flap(n, times-1) })
}

// serveFew cuts some of the nodes from the store.
func (r *modelRun) serveFew() {
	d := r.faultTime()
	for _, n := range r.nodes {
		if r.chance(0.5) {
			r.keepFromStore(n, d)
		}
	}
}

// slowStore makes the store slow for a time.
func (r *modelRun) slowStore() {
	if r.store.delay > time.Millisecond {
		return
	}
	d := r.faultTime()
	r.logf("store is slow for %v", d)
	r.store.delay *= time.Duration(modelSlowFactor * (1 + r.random.IntN(4)))
	r.after(d, func() { r.store.delay = time.Millisecond })
}

// isolate cuts the node from all others and, more often than not, from the store.
func (r *modelRun) isolate(n *modelNode) {
	d := r.faultTime()
	for _, other := range r.nodes {
		r.cutLink(n.index, other.index, d)
	}
	if r.chance(0.7) {
		r.keepFromStore(n, d)
	}
}

// pair returns the key of a link.
func pair(a, b int) [2]int { return [2]int{min(a, b), max(a, b)} }

// cutLink cuts the link between two nodes for a time.
func (r *modelRun) cutLink(a, b int, d time.Duration) {
	if a == b {
		return
	}
	r.logf("link between %s and %s is cut for %v", r.nodes[a].name, r.nodes[b].name, d)
	r.cut[pair(a, b)]++
	r.after(d, func() { r.cut[pair(a, b)]-- })
}

// transmit carries a message to another node. It may be lost or delayed.
func (r *modelRun) transmit(from, to int, m modelMessage) {
	if r.cut[pair(from, to)] > 0 || r.chance(r.lossRate) {
		return
	}
	delay := r.upTo(2 * time.Millisecond)
	if r.chance(r.delayRate) {
		delay = r.upTo(800 * time.Millisecond)
	}
	r.after(delay, func() {
		if p := r.nodes[to].process; p != nil {
			p.do(func() { p.receive(m) })
		}
	})
}
