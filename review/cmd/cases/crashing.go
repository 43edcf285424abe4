package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/redwingnotch/redwingnotch/review/lab"
)

// Parameters of crashingRequest.
const (
	moreEngines    = 15 // beside the three of the deployment
	crashAfter     = 60 * time.Millisecond
	repeatPause    = 100 * time.Millisecond // longest pause of the caller between two tries
	crashingTime   = 40 * time.Second
	freeCrashes    = 3
	maxLateRetries = 3
)

// crashingRequest has one caller send a request that crashes each replica which begins to run it,
// again and again.
func crashingRequest(program, record string) ([]string, error) {
	d, err := lab.Deploy(program, record, []string{"m2"}, []string{"m2"})
	if d != nil {
		defer d.Close()
	}
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var crashes, arrivals []time.Time
	for i := range moreEngines {
		e, err := d.AddReplica(fmt.Sprintf("i-e%d", 4+i), lab.Engine, lab.Zones[i%len(lab.Zones)], "v1", 24, nil, &lab.EngineCapacity, "m2")
		if err != nil {
			return nil, err
		}
		d.Engines = append(d.Engines, e)
	}
	for _, e := range d.Engines {
		sound := lab.Stream("v1", 12, 80*time.Millisecond)
		e.Work = func(w http.ResponseWriter, r *http.Request) {
			if !d.Disturb || !strings.HasSuffix(r.URL.Path, "/crashing") {
				sound(w, r)
				return
			}
			mu.Lock()
			arrivals = append(arrivals, time.Now())
			mu.Unlock()
			time.Sleep(crashAfter)
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			e.Crash("runs " + r.URL.Path)
			panic(http.ErrAbortHandler)
		}
	}
	time.Sleep(calm)
	stop := make(chan struct{})
	answers := make(chan []lab.Answer, 1)
	go func() { answers <- traffic(d, "m2", stop) }()
	time.Sleep(time.Second)
	for end := time.Now().Add(crashingTime); time.Now().Before(end); time.Sleep(rand.N(repeatPause)) {
		c := lab.NewClient(d.Record, d.Nodes[rand.IntN(len(d.Nodes))])
		c.Body = "the same each time"
		c.Send(lab.ChatPath+"crashing", "m2", chatLimit)
	}
	close(stop)
	drops := dropped(d, <-answers)
	mu.Lock()
	defer mu.Unlock()
	late := 0
	slices.SortFunc(crashes, time.Time.Compare)
	if len(crashes) >= freeCrashes {
		for _, at := range arrivals {
			if at.After(crashes[freeCrashes-1].Add(contact)) {
				late++
			}
		}
	}
	d.Record.Logf("%d arrivals, %d crashes, %d arrivals too late; %d sound streams on kept channels broke off", len(arrivals), len(crashes), late, len(drops))
	var broken []string
	if late > maxLateRetries {
		broken = append(broken, fmt.Sprintf("BUDGET: the request reached replicas %d times later than %v after it had crashed the third; %d crashes, %d sound streams broke off",
			late, contact, len(crashes), len(drops)))
	}
	return finish(d, broken)
}
