package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/redwingnotch/redwingnotch/review/lab"
)

// Times of leavingAfterOutage.
const (
	outage       = 3 * time.Second
	contact      = 3 * time.Second        // contact_ms
	drainTimeout = 2 * time.Second        // drain_timeout_ms
	afterContact = 50 * time.Millisecond  // from the end of contact_ms until the replica leaves
	aLittle      = 400 * time.Millisecond // for which the replica serves beyond drain_timeout_ms
	orderWork    = 100 * time.Millisecond
	orderLimit   = time.Second
	orderClients = 4 // of each node
)

// leavingAfterOutage lets a replica leave without a report once the store has been well for
// contact_ms after an outage.
func leavingAfterOutage(program, record string) ([]string, error) {
	d, err := lab.Deploy(program, record, []string{"m1", "m2", "m3"}, []string{"m1", "m2", "m3"})
	if d != nil {
		defer d.Close()
	}
	if err != nil {
		return nil, err
	}
	for _, o := range d.Orders {
		o.Work = lab.Plain(orderWork)
	}
	stop := make(chan struct{})
	answers := make(chan []lab.Answer, 1)
	go func() { answers <- orders(d, stop) }()
	time.Sleep(calm)
	if d.Disturb {
		d.Record.Logf("the store falls silent")
		d.Store.SetSilent(true)
	}
	time.Sleep(outage)
	d.Store.SetSilent(false)
	d.Record.Logf("the store answers")
	time.Sleep(contact + afterContact)
	leaving := d.Orders[0]
	if err := leaving.RemoveEntry(); err != nil {
		return nil, err
	}
	acked := time.Now()
	time.Sleep(drainTimeout + aLittle)
	leaving.Exit()
	time.Sleep(applyTime)
	close(stop)
	var broken []string
	late, lost := 0, 0
	for _, a := range <-answers {
		at, ran := leaving.Ran(a.ID)
		if !ran || !at.After(acked.Add(drainTimeout)) || !a.Sent.After(acked.Add(drainTimeout)) {
			continue
		}
		late++
		if a.Status != http.StatusOK || !a.Complete {
			lost++
		}
		if late == 1 {
			broken = append(broken, fmt.Sprintf("DRAIN: %s from %s reached %s %d ms after the removal of its entry was acknowledged",
				a.ID, a.Node, leaving.ID, at.Sub(acked).Milliseconds()))
		}
	}
	d.Record.Logf("%d requests came later than drain_timeout_ms; %d of them were run and had no success", late, lost)
	if late > 0 {
		broken = append(broken, fmt.Sprintf("%d such requests; %d of them broke off when the replica exited", late, lost))
	}
	return finish(d, broken)
}

// orders sends unsafe requests from several clients of each node until stop is closed, and
// returns all answers.
func orders(d *lab.Deployment, stop chan struct{}) []lab.Answer {
	var mu sync.Mutex
	var answers []lab.Answer
	var group sync.WaitGroup
	for _, n := range d.Nodes {
		for range orderClients {
			group.Go(func() {
				c := lab.NewClient(d.Record, n)
				for {
					select {
					case <-stop:
						return
					default:
					}
					a := c.Send(lab.OrderPath+"a", "", orderLimit)
					mu.Lock()
					answers = append(answers, a)
					mu.Unlock()
				}
			})
		}
	}
	group.Wait()
	return answers
}
