package node

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/idempotency"
	"github.com/redwingnotch/redwingnotch/internal/httpsend"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/service"
)

// backends holds the platform's VM list and the clients of backend servers.
type backends struct {
	node           *Node
	dial           httpsend.DialFunc
	mu             sync.Mutex
	vmRecords      []platform.VMRecord
	asOf           time.Time // time at which the platform created the list in vmRecords
	lastRead       time.Time // time of the last read of the VM list, by this node's clock
	knownServices  map[fleet.ServiceID]bool
	rotation       int // counter that spreads calls over a plain service's replicas
	engineClients  map[string]*engine.Client
	serviceClients map[string]*service.Client
}

func newBackends(n *Node) *backends {
	return &backends{
		node:           n,
		dial:           n.cfg.Dial,
		knownServices:  make(map[fleet.ServiceID]bool),
		engineClients:  make(map[string]*engine.Client),
		serviceClients: make(map[string]*service.Client),
	}
}

// vmListTimeout is the timeout of one read of the VM list.
const vmListTimeout = 2 * time.Second

// maxMembersAtFullRate is the largest number of members at which every node reads
// the VM list at each interval. With more members, nodes that are not the active
// controller read it less often, so that the total rate of platform calls does not
// grow further.
const maxMembersAtFullRate = 100

// refreshDue reports whether this node should read the VM list now.
func (b *backends) refreshDue(now time.Time) bool {
	if _, active := b.node.Active(); active {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	members := b.node.members.count()
	return now.Sub(b.lastRead) >= b.node.cfg.VMListInterval*time.Duration(members)/maxMembersAtFullRate
}

// refresh reads the VM list if that is due. If the read fails or returns an older
// list, the previous list stays in use.
func (b *backends) refresh(ctx context.Context, now time.Time) error {
	if !b.refreshDue(now) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, vmListTimeout)
	defer cancel()
	vmRecords, asOf, err := b.node.cfg.VMs.VMs(ctx)
	if err != nil {
		level.Warn(b.node.cfg.Log).Log("event", "vm_list_failed", "err", err)
		return nil
	}
	b.node.leaseLoop.recordStoreContact(time.Now(), now)
	b.mu.Lock()
	b.lastRead = now
	if asOf.Before(b.asOf) {
		b.mu.Unlock()
		return nil
	}
	b.vmRecords, b.asOf = vmRecords, asOf
	for _, r := range vmRecords {
		if r.Backend.Service != "" {
			b.knownServices[r.Backend.Service] = true
		}
	}
	b.closeUnlistedClients()
	b.mu.Unlock()
	b.node.cell.setBackends(vmRecords, asOf)
	return nil
}

// closeUnlistedClients closes and removes the clients of addresses that are no
// longer listed. The caller holds b.mu.
func (b *backends) closeUnlistedClients() {
	listed := make(map[string]bool, len(b.vmRecords))
	for _, r := range b.vmRecords {
		listed[r.Backend.Address] = true
	}
	for address, c := range b.engineClients {
		if !listed[address] {
			c.Close()
			delete(b.engineClients, address)
		}
	}
	for address, c := range b.serviceClients {
		if !listed[address] {
			c.Close()
			delete(b.serviceClients, address)
		}
	}
}

// markDraining returns a copy of the replicas in which those on backend servers
// that the VM list doesn't show as live and not draining are marked as draining.
func (b *backends) markDraining(rows []fleet.Replica) []fleet.Replica {
	b.mu.Lock()
	defer b.mu.Unlock()
	usable := make(map[fleet.BackendID]bool, len(b.vmRecords))
	for _, r := range b.vmRecords {
		usable[r.Backend.ID] = r.VM.State == fleet.VMLive && !r.Backend.Draining
	}
	marked := slices.Clone(rows)
	for i := range marked {
		marked[i].Draining = marked[i].Draining || !usable[marked[i].Backend]
	}
	return marked
}

// vmRemoved reports whether the VM list shows the VM of a node as removed. The ID of
// the VM is the node's name.
func (b *backends) vmRemoved(id fleet.NodeID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.ContainsFunc(b.vmRecords, func(r platform.VMRecord) bool {
		return r.VM.ID == fleet.VMID(id) && r.VM.State == fleet.VMRemoved
	})
}

// engine returns the client of the model engine at an address, creating it if
// necessary.
func (b *backends) engine(address string) *engine.Client {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.engineClients[address]
	if c == nil {
		c = engine.NewClient(engine.Options{BaseURL: "http://" + address, Dial: b.dial})
		b.engineClients[address] = c
	}
	return c
}

// service returns the client of the plain service replica at an address, creating
// it if necessary.
func (b *backends) service(address string) *service.Client {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.serviceClients[address]
	if c == nil {
		c = service.NewClient(service.Options{BaseURL: "http://" + address, Dial: b.dial})
		b.serviceClients[address] = c
	}
	return c
}

// Known implements entry.Services.
func (b *backends) Known(id fleet.ServiceID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.knownServices[id]
}

// candidates returns the addresses of a plain service's live replicas that are not
// draining: those in this node's availability zone first, each group rotated.
func (b *backends) candidates(id fleet.ServiceID) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var sameZone, otherZones []string
	for _, r := range b.vmRecords {
		if r.Backend.Service != id || r.VM.State != fleet.VMLive || r.Backend.Draining {
			continue
		}
		if r.VM.Zone == b.node.cfg.Zone {
			sameZone = append(sameZone, r.Backend.Address)
			continue
		}
		otherZones = append(otherZones, r.Backend.Address)
	}
	b.rotation++
	return append(rotated(sameZone, b.rotation), rotated(otherZones, b.rotation)...)
}

// rotated returns the sorted addresses, rotated left by the given number of places.
// It sorts addresses in place.
func rotated(addresses []string, by int) []string {
	slices.SortFunc(addresses, cmp.Compare)
	if len(addresses) == 0 {
		return nil
	}
	by %= len(addresses)
	return append(slices.Clone(addresses[by:]), addresses[:by]...)
}

// Send implements entry.Services. The call is idempotent, so it may be sent again
// after a failure.
func (b *backends) Send(ctx context.Context, call idempotency.Call) idempotency.Result {
	return b.send(ctx, call, true)
}

// Run implements idempotency.Runner. The call is sent to another replica only if
// the previous one is known not to have run it.
func (b *backends) Run(ctx context.Context, call idempotency.Call) idempotency.Result {
	return b.send(ctx, call, false)
}

// maxResends is how often an idempotent call is sent again after a failure that may
// have had effects.
const maxResends = 1

func (b *backends) send(ctx context.Context, call idempotency.Call, idempotent bool) idempotency.Result {
	result := idempotency.Result{
		Outcome:    fleet.OutcomeNotRun,
		Code:       idempotency.CodeServiceUnreachable,
		Detail:     "no replica of the service is listed as live",
		RetryAfter: time.Second,
	}
	resends := 0
	for _, address := range b.candidates(call.Service) {
		response, err := b.service(address).Call(ctx, serviceRequest(call, idempotent))
		if err == nil {
			return resultFromResponse(response)
		}
		result = resultFromError(ctx, err, idempotent)
		level.Info(b.node.cfg.Log).Log("event", "call_failed", "service", call.Service, "address", address,
			"request_id", call.RequestID, "code", result.Code, "err", err)
		if ctx.Err() != nil {
			break
		}
		if result.Outcome != fleet.OutcomeNotRun {
			if !idempotent || resends >= maxResends {
				break
			}
			resends++
		}
	}
	return result
}

func serviceRequest(call idempotency.Call, idempotent bool) service.Request {
	header := make(http.Header, len(call.Headers))
	for _, h := range call.Headers {
		header.Set(h.Name, h.Value)
	}
	return service.Request{
		RequestID:  call.RequestID,
		Service:    call.Service,
		Method:     call.Method,
		Path:       call.Path,
		Header:     header,
		Body:       call.Body,
		Key:        string(call.Key),
		Idempotent: idempotent,
		Deadline:   call.Deadline,
	}
}

// resultFromResponse converts a response. Of each header it copies the first value
// only, as callers receive only one.
func resultFromResponse(r service.HTTPResponse) idempotency.Result {
	response := idempotency.Response{Status: r.Status, Body: r.Body, Unframed: r.Unframed}
	for name := range r.Header {
		response.Headers = append(response.Headers, idempotency.Header{Name: name, Value: r.Header.Get(name)})
	}
	slices.SortFunc(response.Headers, func(a, b idempotency.Header) int { return cmp.Compare(a.Name, b.Name) })
	return idempotency.Result{Outcome: fleet.OutcomeAnswered, Response: response}
}

// resultFromError returns the result of a call that got no response.
func resultFromError(ctx context.Context, err error, idempotent bool) idempotency.Result {
	result := idempotency.Result{Code: idempotency.CodeServiceFailed, Detail: err.Error(), RetryAfter: time.Second}
	notRun := errors.Is(err, service.ErrNotSent) || errors.Is(err, service.ErrUnreachable) || errors.Is(err, service.ErrRefused)
	switch {
	case notRun:
		result.Outcome, result.Code = fleet.OutcomeNotRun, idempotency.CodeServiceUnreachable
	case errors.Is(err, service.ErrTooLarge):
		result.Outcome, result.Code = fleet.OutcomeFailed, idempotency.CodeResponseTooLarge
	case idempotent:
		result.Outcome = fleet.OutcomeFailed
	default:
		result.Outcome = fleet.OutcomeUnknown
	}
	if ctx.Err() != nil && !notRun {
		result.Code = idempotency.CodeDeadlineExceeded
	}
	return result
}
