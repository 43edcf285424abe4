package leadership_test

import (
	"errors"
	"time"

	"github.com/redwingnotch/redwingnotch/leadership"
)

const (
	modelCallTimeout = 700 * time.Millisecond // timeout of a store call
	modelLateFrom    = time.Second            // least time after which a delayed write is applied
	modelLateTo      = 6 * time.Second        // most time after which a delayed write is applied
	modelStaleTo     = 4 * time.Second        // most time by which a stale read is behind
	modelSlowFactor  = 50                     // least number of times by which the calls of a slow store take longer
)

var errModelStore = errors.New("store call failed")

// modelVersion is a state of the record.
type modelVersion struct {
	at      time.Time
	record  leadership.Record
	version uint64 // revision below modelEraShift, the era above
}

// modelEraShift is the position of the era in a version, as in package platform.
const modelEraShift = 44

// Ages of the copies from which the store comes back.
const (
	modelCopyFrom = time.Second
	modelCopyTo   = 8 * time.Second
)

// modelAnswer is the answer of the store to a call.
type modelAnswer struct {
	modelVersion
	era    uint64
	result leadership.WriteResult // of a write
}

// modelStore is the platform's store with the leadership record of one cell.
type modelStore struct {
	run      *modelRun
	delay    time.Duration // usual time between a request and its effect, and between that and the response
	down     int           // number of faults in force that make the store unavailable
	refusing int           // number of faults in force that make the store reject calls without effect
	unserved map[int]int   // by node: number of faults in force that keep it from the store
	losing   float64       // probability that a response is lost
	late     float64       // probability that a write is delayed by more than the timeout
	stale    float64       // probability that a read is stale
	versions []modelVersion
	era      uint64 // zero without eras
}

// goBack lets the store come back from a copy of some age, in a new era. Revisions are given again.
func (s *modelStore) goBack(age time.Duration) {
	kept := s.asOf(s.run.now.Add(-age))
	for len(s.versions) > 0 && s.current().at.After(kept.at) {
		s.versions = s.versions[:len(s.versions)-1]
	}
	s.era++
	if len(s.versions) > 0 {
		s.versions[len(s.versions)-1].version = s.versionOf(kept.version)
	}
	s.run.logf("store: era %d, back to token %d, renewal %d, revision %d", s.era, kept.record.Token, kept.record.Renewal, revisionOf(kept.version))
}

// versionOf returns the version of a revision in the present era.
func (s *modelStore) versionOf(version uint64) uint64 {
	return s.era<<modelEraShift | revisionOf(version)
}

// revisionOf returns the store's revision in a version.
func revisionOf(version uint64) uint64 { return version & (1<<modelEraShift - 1) }

// current returns the newest state of the record.
func (s *modelStore) current() modelVersion {
	if len(s.versions) == 0 {
		return modelVersion{}
	}
	return s.versions[len(s.versions)-1]
}

// asOf returns the state of the record at an earlier time.
func (s *modelStore) asOf(at time.Time) modelVersion {
	for i := len(s.versions) - 1; i >= 0; i-- {
		if !s.versions[i].at.After(at) {
			return s.versions[i]
		}
	}
	return modelVersion{}
}

// serves reports whether the node's calls reach the store.
func (s *modelStore) serves(node int) bool { return s.down == 0 && s.unserved[node] == 0 }

// oneWay returns a random time that a request or a response takes.
func (s *modelStore) oneWay() time.Duration {
	return s.run.between(s.delay/2, 3*s.delay)
}

// apply applies a write to the record. The store compares revisions: it does not know in which era they
// were read.
func (s *modelStore) apply(node *modelNode, a leadership.Action) modelAnswer {
	if revisionOf(a.Version) != revisionOf(s.current().version) {
		s.run.logf("store: write of %s conflicts: token %d, renewal %d", node.name, a.Record.Token, a.Record.Renewal)
		return modelAnswer{era: s.era, result: leadership.Conflict}
	}
	v := modelVersion{s.run.now, a.Record, s.versionOf(a.Version + 1)}
	s.versions = append(s.versions, v)
	s.run.logf("store: write of %s applied: token %d, renewal %d", node.name, a.Record.Token, a.Record.Renewal)
	return modelAnswer{v, s.era, leadership.Written}
}

// write sends a write of the process. done is called at the process with its
// outcome, at the latest after modelCallTimeout.
func (s *modelStore) write(p *modelProcess, a leadership.Action, done func(modelAnswer)) {
	r := s.run
	unknown := modelAnswer{result: leadership.Unknown}
	switch {
	case s.refusing > 0:
		p.after(s.oneWay(), func() { done(modelAnswer{era: s.era, result: leadership.Failed}) })
		return
	case !s.serves(p.node.index):
		// A request on its way when the connection broke may still be delivered.
		if r.chance(s.late) {
			r.after(r.between(modelLateFrom, modelLateTo), func() { s.apply(p.node, a) })
		}
		p.after(modelCallTimeout, func() { done(unknown) })
		return
	case r.chance(s.late):
		r.after(r.between(modelLateFrom, modelLateTo), func() { s.apply(p.node, a) })
		p.after(modelCallTimeout, func() { done(unknown) })
		return
	}
	p.after(modelCallTimeout, func() { done(unknown) })
	r.after(s.oneWay(), func() {
		answer := s.apply(p.node, a)
		if s.serves(p.node.index) && !r.chance(s.losing) {
			p.after(s.oneWay(), func() { done(answer) })
		}
	})
}

// read sends a read of the process. done is called like that of write.
func (s *modelStore) read(p *modelProcess, done func(modelAnswer, error)) {
	r := s.run
	if s.refusing > 0 {
		p.after(s.oneWay(), func() { done(modelAnswer{}, errModelStore) })
		return
	}
	p.after(modelCallTimeout, func() { done(modelAnswer{}, errModelStore) })
	if !s.serves(p.node.index) {
		return
	}
	r.after(s.oneWay(), func() {
		v := s.current()
		if r.chance(s.stale) {
			v = s.asOf(r.now.Add(-r.upTo(modelStaleTo)))
		}
		answer := modelAnswer{modelVersion: v, era: s.era}
		if v.version != 0 {
			answer.version = s.versionOf(v.version)
		}
		if s.serves(p.node.index) && !r.chance(s.losing) {
			p.after(s.oneWay(), func() { done(answer, nil) })
		}
	})
}
