// Package dev runs a whole deployment in one process on loopback: stand-ins for
// the platform, the weight store, the model engines and a plain service, and
// several real entry nodes. It also runs a scripted scenario against the
// deployment and checks the project's guarantees with the counters of the
// stand-ins and the responses that callers got.
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

// Names within the deployment, and the address that its listeners bind.
const (
	Region          fleet.Region    = "local"
	Cell            fleet.CellID    = "cell-1"
	OrderingService fleet.ServiceID = "ordering"
	loopbackAddr                    = "127.0.0.1:0"
)

// Time limits, intervals and rates of the nodes. The times are short so that the
// scenario takes seconds.
const (
	entryTTL               = 2 * time.Second // how long callers may reuse a list of entry nodes
	minKeep                = 4 * time.Second // shortest time that an unused replica stays loaded
	vmListInterval         = 500 * time.Millisecond
	vmListLag              = time.Second      // delay until a change shows on the VM list
	readyTimeout           = 20 * time.Second // time limit of WaitReady
	readyPollInterval      = 50 * time.Millisecond
	platformCallsPerSecond = 100 // budget of all nodes together
)

// Sizes and rates of the deployment.
const (
	zoneCount          = 3
	engineCount        = 4
	serviceCount       = 2
	engineMemory       = 8 << 30                // bytes
	engineTokenTime    = 10 * time.Millisecond  // per generated token
	enginePrefillTime  = 200 * time.Microsecond // per prompt token that is not cached
	engineReportLag    = 100 * time.Millisecond // maximum age of a status report
	engineRestartDelay = time.Second            // from a crash to the next boot
	loadsPerSecond     = 5                      // limit of model loads started per second, at the weight store and in the controller's budget
	serviceRunTime     = 20 * time.Millisecond  // per call
	defaultNodeCount   = 4
)

// Options configures a Deployment.
type Options struct {
	Nodes int        // number of entry nodes; zero selects 4
	Log   log.Logger // log of the nodes; nil discards it
}

// Deployment is a running deployment. Use Start to create one.
type Deployment struct {
	API        *objectapi.API
	Weights    *weightstore.Store
	FleetStats *engine.FleetStats
	Engines    []*engine.Engine
	Services   []*service.Service

	options    Options
	apiAddress string
	vms        map[fleet.BackendID]platform.VMRecord
	startedAt  time.Time

	mu    sync.Mutex
	nodes []*Node
}

// Start starts the stand-ins, publishes the release and starts the entry nodes.
// It doesn't wait until they are ready: see WaitReady.
func Start(o Options, release Release) (*Deployment, error) {
	if o.Nodes == 0 {
		o.Nodes = defaultNodeCount
	}
	if o.Log == nil {
		o.Log = log.NewNopLogger()
	}
	d := &Deployment{
		API:        objectapi.New(),
		Weights:    weightstore.New(weightstore.Options{LoadsPerSecond: loadsPerSecond}),
		FleetStats: engine.NewFleetStats(),
		options:    o,
		vms:        map[fleet.BackendID]platform.VMRecord{},
		startedAt:  time.Now(),
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
	if d.apiAddress, err = d.API.Start(loopbackAddr); err != nil {
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

// startEngine starts the engine with index i and adds it to the VM list. Every
// second engine doesn't check fencing tokens.
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
		FleetStats:   d.FleetStats,
		TokenTime:    engineTokenTime,
		PrefillTime:  enginePrefillTime,
		ReportLag:    engineReportLag,
		RestartDelay: engineRestartDelay,
	})
	address, err := e.Start(loopbackAddr)
	if err != nil {
		return err
	}
	d.Engines = append(d.Engines, e)
	d.addToVMList(i, fleet.BackendServer{ID: id, Address: address, Fencing: i%2 == 0})
	return nil
}

// startService starts the plain service's backend server with index i and adds
// it to the VM list.
func (d *Deployment) startService(i int) error {
	s := service.New()
	s.SetRunTime(serviceRunTime)
	address, err := s.Start(loopbackAddr)
	if err != nil {
		return err
	}
	d.Services = append(d.Services, s)
	id := fleet.BackendID(fmt.Sprintf("%s-%d", OrderingService, i+1))
	d.addToVMList(i, fleet.BackendServer{ID: id, Address: address, Service: OrderingService})
	return nil
}

// addToVMList adds a backend server to the platform's VM list, in a VM of its
// own in the i-th availability zone.
func (d *Deployment) addToVMList(i int, b fleet.BackendServer) {
	b.VM = fleet.VMID("vm-" + string(b.ID))
	b.Cell = Cell
	record := platform.VMRecord{
		VM:      fleet.VM{ID: b.VM, Zone: zone(i), State: fleet.VMLive, Memory: engineMemory},
		Backend: b,
	}
	d.vms[b.ID] = record
	d.API.SetVM(record)
}

// vmRecords returns the rows of the VM list, ordered by backend server ID.
func (d *Deployment) vmRecords() []platform.VMRecord {
	vmRecords := slices.Collect(maps.Values(d.vms))
	slices.SortFunc(vmRecords, func(a, b platform.VMRecord) int { return cmp.Compare(a.Backend.ID, b.Backend.ID) })
	return vmRecords
}

// SetVMState sets the state of a backend server's VM on the platform's VM list.
func (d *Deployment) SetVMState(id fleet.BackendID, state fleet.VMState) {
	record := d.vms[id]
	record.VM.State = state
	d.vms[id] = record
	d.API.SetVM(record)
}

func zone(i int) fleet.AvailabilityZone {
	return fleet.AvailabilityZone(fmt.Sprintf("zone-%d", i%zoneCount+1))
}

// ErrNotReady means that a node is not ready or that the cell has no active
// controller.
var ErrNotReady = errors.New("deployment is not ready")

// WaitReady waits until all nodes are ready and one of them is the cell's active
// controller. It returns an error that wraps ErrNotReady if ctx ends or readyTimeout
// has passed before.
func (d *Deployment) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		reason := d.notReadyReason()
		if reason == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %s", ErrNotReady, reason)
		case <-time.After(readyPollInterval):
		}
	}
}

// notReadyReason returns why the deployment is not ready; empty if it is.
func (d *Deployment) notReadyReason() string {
	for _, n := range d.Nodes() {
		select {
		case <-n.done:
			return fmt.Sprintf("node %s stopped: %v", n.ID(), n.err)
		default:
		}
		if reason := n.NotReadyReason(); reason != "" {
			return fmt.Sprintf("node %s: %s", n.ID(), reason)
		}
	}
	if d.Controller() == nil {
		return "the cell has no active controller"
	}
	return ""
}

// Close kills the nodes and closes the stand-ins. Call StopNodes before it for a
// graceful stop.
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
