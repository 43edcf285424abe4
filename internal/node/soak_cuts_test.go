package node_test

import (
	"math/rand/v2"
	"time"

	"github.com/redwingnotch/redwingnotch/standin/fault"
	"github.com/redwingnotch/redwingnotch/standin/rawhttp"
)

// Cut responses of one episode.
const (
	cutPause    = 20 * time.Second // longest pause between two cut responses
	maxCutAfter = 400              // most bytes of a body that is cut
)

// cutResponses cuts a response of some engine or service now and then, by close and by
// silence. It has random numbers of its own, so that the faults of a seed stay as they
// are.
func (s *soak) cutResponses() {
	rng := rand.New(rand.NewPCG(s.seed, uint64(s.episode)+cutStream))
	for end := time.Now().Add(soakFaultDuration); time.Now().Before(end); {
		injectors := s.injectors()
		cut := fault.Cut{After: rng.IntN(maxCutAfter), End: []rawhttp.End{rawhttp.Close, rawhttp.Open}[rng.IntN(2)]}
		injectors[rng.IntN(len(injectors))].CutResponses(1, cut)
		s.recordFault("a response is cut after %d bytes, %v", cut.After, cut.End)
		time.Sleep(time.Duration(rng.Int64N(int64(cutPause))))
	}
}

// cutStream sets the random numbers of cutResponses apart from those of the faults.
const cutStream = 1 << 32

// unframed reports whether the stand-in of that name sends responses without length and
// chunks: each second one does.
func unframed(name string) bool { return name[len(name)-1]%2 == 1 }

// injectors returns the fault injectors of all engines and services.
func (s *soak) injectors() []*fault.Injector {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []*fault.Injector
	for _, e := range s.engines {
		all = append(all, e.Faults)
	}
	for _, v := range s.services {
		all = append(all, v.Faults)
	}
	return all
}
