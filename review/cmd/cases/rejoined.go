package main

import (
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/redwingnotch/redwingnotch/review/lab"
)

// Parameters of rejoined.
const (
	streamEvents  = 12
	streamGap     = 150 * time.Millisecond
	streamClients = 16 // of the node that is killed
	oldReplicas   = 2
	newReplicas   = 4
	maxJoined     = 2 // streams that may hold events of two versions
	takeUps       = 3
)

// rejoined kills an entry node amid streams while replicas of two software versions serve. The
// clients take their streams up at the other nodes.
func rejoined(program, record string) ([]string, error) {
	d, err := lab.Deploy(program, record, []string{"m1"}, []string{"m1", "m2", "m3"})
	if d != nil {
		defer d.Close()
	}
	if err != nil {
		return nil, err
	}
	for i := range oldReplicas + newReplicas {
		version := "v1"
		if i >= oldReplicas {
			version = "v2"
		}
		if _, err := d.AddReplica(fmt.Sprintf("i-s%d", i+1), lab.Engine, lab.Zones[i%len(lab.Zones)], version, 24,
			lab.Stream(version, streamEvents, streamGap), &lab.EngineCapacity, "m2"); err != nil {
			return nil, err
		}
	}
	time.Sleep(calm) // until all nodes know the replicas
	stop := make(chan struct{})
	var group sync.WaitGroup
	var mu sync.Mutex
	var streams []streamed
	for i := range streamClients {
		group.Go(func() {
			time.Sleep(time.Duration(i) * streamGap / 2)
			for {
				s := stream(d, 1+i%2)
				mu.Lock()
				streams = append(streams, s)
				mu.Unlock()
				select {
				case <-stop:
					return
				default:
				}
			}
		})
	}
	time.Sleep(calm)
	if d.Disturb {
		d.Nodes[0].Kill()
	}
	close(stop)
	group.Wait()
	taken, whole := 0, 0
	var joined []string
	for _, s := range streams {
		if s.takenUp {
			taken++
		}
		if s.whole {
			whole++
		}
		if versions := slices.Compact(slices.Clone(s.data)); len(versions) > 1 {
			joined = append(joined, fmt.Sprintf("%s holds events %v", s.id, s.data))
		}
	}
	d.Record.Logf("%d streams, %d whole, %d taken up, %d of two versions: %v", len(streams), whole, taken, len(joined), joined)
	if len(streams) == 0 || d.Disturb && taken == 0 {
		return nil, fmt.Errorf("%d streams, %d taken up", len(streams), taken)
	}
	var broken []string
	if len(joined) > maxJoined {
		broken = append(broken, fmt.Sprintf("ORDER: %d of %d streams that were taken up hold events of two software versions, such as %s", len(joined), taken, joined[0]))
	}
	return finish(d, broken)
}

// streamed is a stream as its client has it, over all attempts.
type streamed struct {
	id      string // of the attempt that brought the first event
	data    []string
	takenUp bool
	whole   bool
}

// stream asks the first node for a stream. If it breaks off, the client takes it up at another.
func stream(d *lab.Deployment, other int) streamed {
	a := lab.NewClient(d.Record, d.Nodes[0]).Send(lab.SummaryPath+"a", "m2", sumLimit)
	s := streamed{id: a.ID, data: a.Data, whole: a.Complete}
	for range takeUps {
		if a.Complete && a.Status == 200 || a.LastEventID == "" || a.LastEventID == strconv.Itoa(streamEvents) {
			break
		}
		last := a
		s.takenUp = true
		a = lab.NewClient(d.Record, d.Nodes[other]).TakeUp(lab.SummaryPath+"a", "m2", sumLimit, last, s.id)
		s.data = append(s.data, a.Data...)
		s.whole = a.Complete && a.Status == 200
		if a.LastEventID == "" {
			a.LastEventID = last.LastEventID
		}
	}
	return s
}
