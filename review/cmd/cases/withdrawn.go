package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/redwingnotch/redwingnotch/review/lab"
)

// Times of a case, from the moment at which all nodes are ready.
const (
	calm       = 3 * time.Second // traffic before the desired state changes
	applyTime  = 3 * time.Second // from then until the clients' next step
	chatLimit  = 5 * time.Second
	sumLimit   = 17 * time.Second
	perNode    = 6 // clients of one node
	maxDropped = 3 // requests on kept channels that may end without an answer
)

// traffic sends streams for a model from several clients of each node until stop is closed, and
// returns all answers.
func traffic(d *lab.Deployment, model string, stop chan struct{}) []lab.Answer {
	var mu sync.Mutex
	var answers []lab.Answer
	var group sync.WaitGroup
	for _, n := range d.Nodes {
		for range perNode {
			group.Go(func() {
				c := lab.NewClient(d.Record, n)
				for {
					select {
					case <-stop:
						return
					default:
					}
					a := c.Send(lab.ChatPath+"a", model, chatLimit)
					mu.Lock()
					answers = append(answers, a)
					mu.Unlock()
					if a.Err != nil {
						time.Sleep(200 * time.Millisecond)
					}
				}
			})
		}
	}
	group.Wait()
	return answers
}

// dropped returns the requests on kept channels that a replica ran and that ended without a
// complete answer.
func dropped(d *lab.Deployment, answers []lab.Answer) []string {
	var found []string
	for _, a := range answers {
		if r := d.Ran(a.ID); r != nil && a.Kept && !a.Complete {
			found = append(found, fmt.Sprintf("%s run by %s, no complete answer from %s", a.ID, r.ID, a.Node))
		}
	}
	return found
}

// withdrawnAdapter withdraws a model that all engines hold. A client that has not heard of it
// asks for one of its adapters.
func withdrawnAdapter(program, record string) ([]string, error) {
	d, err := lab.Deploy(program, record, []string{"m1", "m2", "m3"}, []string{"m1", "m2", "m3", "m4"})
	if d != nil {
		defer d.Close()
	}
	if err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	answers := make(chan []lab.Answer, 1)
	go func() { answers <- traffic(d, "m2", stop) }()
	time.Sleep(calm)
	before := lab.NewClient(d.Record, d.Nodes[0]).Send(lab.SummaryPath+"a", "m1/a1", sumLimit)
	listed := []string{"m2", "m3", "m4"}
	if !d.Disturb {
		listed = append(listed, "m1")
	}
	if err := d.Store.WriteDesired(d.Record, 2, listed...); err != nil {
		return nil, err
	}
	time.Sleep(applyTime)
	lab.NewClient(d.Record, d.Nodes[0]).Send(lab.SummaryPath+"a", "m1/a2", sumLimit)
	time.Sleep(applyTime)
	close(stop)
	var broken []string
	drops := dropped(d, <-answers)
	if len(drops) > maxDropped {
		broken = append(broken, fmt.Sprintf("LOST: %d requests on kept channels were passed on and ended without an answer, such as %s", len(drops), drops[0]))
	}
	for _, n := range d.Nodes {
		if n.Exits() > 0 {
			broken = append(broken, fmt.Sprintf("%s ended by itself %d times", n.Name, n.Exits()))
			d.Record.Logf("last lines of %s:\n%s", n.Name, n.Panic())
		}
	}
	if before.Status != 200 || !before.Complete {
		return nil, fmt.Errorf("the adapter was not served before the change: status %d, %v", before.Status, before.Err)
	}
	return finish(d, broken)
}

// finish records what broke the rule.
func finish(d *lab.Deployment, broken []string) ([]string, error) {
	for _, b := range broken {
		d.Record.Logf("BROKEN %s", b)
	}
	return broken, nil
}

// replacedModel withdraws a model that all engines hold and adds another one.
func replacedModel(program, record string) ([]string, error) {
	d, err := lab.Deploy(program, record, []string{"m1", "m2", "m3"}, []string{"m1", "m2", "m3"})
	if d != nil {
		defer d.Close()
	}
	if err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	answers := make(chan []lab.Answer, 1)
	go func() { answers <- traffic(d, "m2", stop) }()
	time.Sleep(calm)
	listed := []string{"m2", "m3", "m4"}
	if !d.Disturb {
		listed = append(listed, "m1")
	}
	if err := d.Store.WriteDesired(d.Record, 2, listed...); err != nil {
		return nil, err
	}
	time.Sleep(applyTime)
	added := lab.NewClient(d.Record, d.Nodes[0]).Send(lab.SummaryPath+"a", "m4", sumLimit)
	time.Sleep(applyTime)
	close(stop)
	drops := dropped(d, <-answers)
	var broken []string
	for _, e := range d.Engines {
		for _, b := range e.Broken() {
			broken = append(broken, "LIMIT: "+b)
		}
	}
	d.Record.Logf("the added model: status %d, complete %t; %d streams of others broke off", added.Status, added.Complete, len(drops))
	return finish(d, broken)
}
