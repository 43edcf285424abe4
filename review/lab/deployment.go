package lab

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// Deployment is a small deployment: three entry nodes and the stand-ins around them.
type Deployment struct {
	Record   *Record
	Store    *Store
	Nodes    []*Node
	Engines  []*Replica // one in each zone
	Orders   []*Replica // one in each zone
	Disturb  bool       // the case brings about its disruption
	dir      string
	replicas []*Replica
}

// Deploy starts a deployment. Each engine holds the models; the desired state lists listed.
func Deploy(program, record string, held, listed []string) (*Deployment, error) {
	r, err := NewRecord(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &Deployment{Record: r, Store: NewStore(), Disturb: os.Getenv("TROUBLE") != "0", dir: dir}
	r.Logf("disruption: %t", d.Disturb)
	if err := d.Store.WriteDesired(r, 1, listed...); err != nil {
		return d, err
	}
	for i, zone := range Zones {
		e, err := d.AddReplica(fmt.Sprintf("i-e%d", i+1), Engine, zone, "v1", 24, Stream("v1", 12, 80*time.Millisecond), &EngineCapacity, held...)
		if err != nil {
			return d, err
		}
		d.Engines = append(d.Engines, e)
		o, err := d.AddReplica(fmt.Sprintf("i-o%d", i+1), Orders, zone, "v1", 6, Plain(15*time.Millisecond), nil)
		if err != nil {
			return d, err
		}
		d.Orders = append(d.Orders, o)
	}
	d.Nodes, err = StartNodes(r, program, dir, d.Store.Address())
	return d, err
}

// AddReplica starts one more replica, which holds the models.
func (d *Deployment) AddReplica(id, service, zone, software string, slots int, work http.HandlerFunc, capacity *Capacity, models ...string) (*Replica, error) {
	r, err := StartReplica(d.Record, d.Store, id, service, zone, software, slots, work, capacity, models...)
	if err != nil {
		return nil, err
	}
	d.replicas = append(d.replicas, r)
	return r, nil
}

// Ran returns the replica that began to run a request, nil if none has.
func (d *Deployment) Ran(id string) *Replica {
	for _, r := range d.replicas {
		if _, ran := r.Ran(id); ran {
			return r
		}
	}
	return nil
}

// Close ends all processes and stand-ins.
func (d *Deployment) Close() {
	StopNodes(d.Nodes)
	var group sync.WaitGroup
	for _, r := range d.replicas {
		group.Go(r.Close)
	}
	group.Wait()
	d.Store.Close()
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("logs of the nodes:", d.dir)
	} else {
		_ = os.RemoveAll(d.dir) // what is left is in the temporary folder
	}
	_ = d.Record.Close()
}
