// Package dev runs a whole deployment in one process on loopback: stand-ins for
// the platform, the weight store, engines and a plain service, and several real
// entry nodes. It also runs a scripted day and checks the promises by what the
// stand-ins counted.
package dev

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/standin/engine"
	"github.com/redwingnotch/redwingnotch/standin/objectapi"
	"github.com/redwingnotch/redwingnotch/standin/service"
	"github.com/redwingnotch/redwingnotch/standin/weightstore"
)

// Names of the deployment.
const (
	Region   fleet.Region    = "local"
	Cell     fleet.CellID    = "cell-1"
	Ordering fleet.ServiceID = "ordering"
	loopback                 = "127.0.0.1:0"
)

// Terms of the nodes, short so that a day fits into seconds.
const (
	entryTTL       = 2 * time.Second
	minKeep        = 4 * time.Second
	vmListInterval = 500 * time.Millisecond
	vmListLag      = time.Second
	readyTimeout   = 20 * time.Second
	readyPoll      = 50 * time.Millisecond
	platformCalls  = 100 // calls a second of all programs together
)

// Sizes of the deployment.
const (
	zones            = 3
	engineCount      = 4
	serviceCount     = 2
	engineMemory     = 8 << 30
	engineTokenTime  = 10 * time.Millisecond
	enginePrefill    = 200 * time.Microsecond
	engineReportLag  = 100 * time.Millisecond
	engineRestart    = time.Second
	loadsPerSecond   = 5
	serviceRunTime   = 20 * time.Millisecond
	defaultNodeCount = 4
)

// Options configures a Deployment.
type Options struct {
	Nodes int        // entry nodes; zero selects four
	Log   log.Logger // nil drops the nodes' events
}

// Deployment is a running deployment. Use Start.
type Deployment struct {
	API      *objectapi.API
	Weights  *weightstore.Store
	Ledger   *engine.Ledger
	Engines  []*engine.Engine
	Services []*service.Service

	options    Options
	apiAddress string
	backends   map[fleet.BackendID]platform.VMRecord
	began      time.Time

	mu    sync.Mutex
	nodes []*Node
}

// Start starts the stand-ins and the entry nodes, with the release in force.
func Start(o Options, release Release) (*Deployment, error) {
	if o.Nodes == 0 {
		o.Nodes = defaultNodeCount
	}
	if o.Log == nil {
		o.Log = log.NewNopLogger()
	}
	d := &Deployment{
		API:      objectapi.New(),
		Weights:  weightstore.New(weightstore.Options{LoadsPerSecond: loadsPerSecond}),
		Ledger:   engine.NewLedger(),
		options:  o,
		backends: map[fleet.BackendID]platform.VMRecord{},
		began:    time.Now(),
	}
	if err := d.startStandIns(); err != nil {
		d.Close()
		return nil, err
	}
	if err := d.Apply(context.Background(), release); err != nil {
		d.Close()
		return nil, err
	}
	for i := range o.Nodes {
		if err := d.StartNode(fmt.Sprintf("entry-%d", i+1)); err != nil {
			d.Close()
			return nil, err
		}
	}
	return d, nil
}

func (d *Deployment) startStandIns() error {
	var err error
	if d.apiAddress, err = d.API.Start(loopback); err != nil {
		return err
	}
	for i := range engineCount {
		if err := d.startEngine(i); err != nil {
			return err
		}
	}
	for i := range serviceCount {
		if err := d.startService(i); err != nil {
			return err
		}
	}
	d.API.SetVMLag(vmListLag)
	return nil
}

// startEngine starts an engine. Each second one does not fence.
func (d *Deployment) startEngine(i int) error {
	id := fleet.BackendID(fmt.Sprintf("engine-%d", i+1))
	models := map[fleet.ModelID]engine.Model{}
	for _, m := range allModels() {
		models[m.ID] = engine.Model{LoadTime: m.LoadTime, Slots: m.Slots}
	}
	e := engine.New(engine.Config{
		ID:           id,
		Memory:       engineMemory,
		Fencing:      i%2 == 0,
		Models:       models,
		Weights:      d.Weights,
		Ledger:       d.Ledger,
		TokenTime:    engineTokenTime,
		PrefillTime:  enginePrefill,
		ReportLag:    engineReportLag,
		RestartDelay: engineRestart,
	})
	address, err := e.Start(loopback)
	if err != nil {
		return err
	}
	d.Engines = append(d.Engines, e)
	d.list(i, fleet.BackendServer{ID: id, Address: address, Fencing: i%2 == 0})
	return nil
}

func (d *Deployment) startService(i int) error {
	s := service.New()
	s.SetRunTime(serviceRunTime)
	address, err := s.Start(loopback)
	if err != nil {
		return err
	}
	d.Services = append(d.Services, s)
	id := fleet.BackendID(fmt.Sprintf("%s-%d", Ordering, i+1))
	d.list(i, fleet.BackendServer{ID: id, Address: address, Service: Ordering})
	return nil
}

// list puts a backend server on the platform's VM list.
func (d *Deployment) list(i int, b fleet.BackendServer) {
	b.VM = fleet.VMID("vm-" + string(b.ID))
	b.Cell = Cell
	record := platform.VMRecord{
		VM:      fleet.VM{ID: b.VM, Zone: zone(i), State: fleet.VMLive, Memory: engineMemory},
		Backend: b,
	}
	d.backends[b.ID] = record
	d.API.SetVM(record)
}

// records returns the VM list's rows in order of backend server.
func (d *Deployment) records() []platform.VMRecord {
	records := slices.Collect(maps.Values(d.backends))
	slices.SortFunc(records, func(a, b platform.VMRecord) int { return cmp.Compare(a.Backend.ID, b.Backend.ID) })
	return records
}

// SetVMState changes what the platform's VM list says of a backend server's VM.
func (d *Deployment) SetVMState(id fleet.BackendID, state fleet.VMState) {
	record := d.backends[id]
	record.VM.State = state
	d.backends[id] = record
	d.API.SetVM(record)
}

func zone(i int) fleet.AvailabilityZone {
	return fleet.AvailabilityZone(fmt.Sprintf("zone-%d", i%zones+1))
}

// ErrNotReady is returned by WaitReady.
var ErrNotReady = errors.New("deployment is not ready in time")

// WaitReady waits until all nodes serve and one controls the cell.
func (d *Deployment) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		reason := d.notReady()
		if reason == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %s", ErrNotReady, reason)
		case <-time.After(readyPoll):
		}
	}
}

func (d *Deployment) notReady() string {
	for _, n := range d.Nodes() {
		select {
		case <-n.done:
			return fmt.Sprintf("%s ended: %v", n.ID(), n.err)
		default:
		}
		if reason := n.NotReady(); reason != "" {
			return fmt.Sprintf("%s: %s", n.ID(), reason)
		}
	}
	if d.Controller() == nil {
		return "no node controls the cell"
	}
	return ""
}

// Close ends everything at once. Stop the nodes before for a graceful end.
func (d *Deployment) Close() {
	for _, n := range d.Nodes() {
		n.Kill()
		n.cancel()
		<-n.done
	}
	for _, e := range d.Engines {
		e.Reclaim()
	}
	for _, s := range d.Services {
		s.Close()
	}
	d.API.Close()
}
