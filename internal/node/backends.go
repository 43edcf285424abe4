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
	node     *Node
	dial     httpsend.DialFunc
	mu       sync.Mutex
	records  []platform.VMRecord
	asOf     time.Time
	readAt   time.Time // by this node's clock
	known    map[fleet.ServiceID]bool
	next     int // rotates the replicas of plain services
	engines  map[string]*engine.Client
	services map[string]*service.Client
}

func newBackends(n *Node) *backends {
	return &backends{
		node:     n,
		dial:     n.cfg.Dial,
		known:    make(map[fleet.ServiceID]bool),
		engines:  make(map[string]*engine.Client),
		services: make(map[string]*service.Client),
	}
}

// vmListTimeout bounds one read of the VM list.
const vmListTimeout = 2 * time.Second

// membersPerRead is the number of members up to which each node reads the VM
// list at every interval. With more, nodes not in office read it less often, so
// that the platform's calls grow no further.
const membersPerRead = 100

// due reports whether this node should read the list now.
func (b *backends) due(now time.Time) bool {
	if _, in := b.node.InOffice(); in {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	members := b.node.members.count()
	return now.Sub(b.readAt) >= b.node.cfg.VMListInterval*time.Duration(members)/membersPerRead
}

// refresh reads the VM list if it is due. The last list stays in use while it
// can't be read.
func (b *backends) refresh(ctx context.Context, now time.Time) error {
	if !b.due(now) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, vmListTimeout)
	defer cancel()
	records, asOf, err := b.node.cfg.VMs.VMs(ctx)
	if err != nil {
		level.Warn(b.node.cfg.Log).Log("event", "vm_list_failed", "err", err)
		return nil
	}
	b.node.office.storeContact(time.Now())
	b.mu.Lock()
	b.readAt = now
	if asOf.Before(b.asOf) {
		b.mu.Unlock()
		return nil
	}
	b.records, b.asOf = records, asOf
	for _, r := range records {
		if r.Backend.Service != "" {
			b.known[r.Backend.Service] = true
		}
	}
	b.dropUnlisted()
	b.mu.Unlock()
	b.node.cell.setBackends(records, asOf)
	return nil
}

// dropUnlisted forgets the clients of addresses that are no longer listed.
func (b *backends) dropUnlisted() {
	listed := make(map[string]bool, len(b.records))
	for _, r := range b.records {
		listed[r.Backend.Address] = true
	}
	for address, c := range b.engines {
		if !listed[address] {
			c.Close()
			delete(b.engines, address)
		}
	}
	for address, c := range b.services {
		if !listed[address] {
			c.Close()
			delete(b.services, address)
		}
	}
}

// markLeaving returns the replicas with those on backend servers that the VM
// list does not show as staying marked as draining.
func (b *backends) markLeaving(rows []fleet.Replica) []fleet.Replica {
	b.mu.Lock()
	defer b.mu.Unlock()
	stays := make(map[fleet.BackendID]bool, len(b.records))
	for _, r := range b.records {
		stays[r.Backend.ID] = r.VM.State == fleet.VMLive && !r.Backend.Draining
	}
	marked := slices.Clone(rows)
	for i := range marked {
		marked[i].Draining = marked[i].Draining || !stays[marked[i].Backend]
	}
	return marked
}

// vmGone reports whether the list says that the VM of the node is gone.
func (b *backends) vmGone(id fleet.NodeID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.ContainsFunc(b.records, func(r platform.VMRecord) bool {
		return r.VM.ID == fleet.VMID(id) && r.VM.State == fleet.VMGone
	})
}

// engine returns the client of a model engine.
func (b *backends) engine(address string) *engine.Client {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.engines[address]
	if c == nil {
		c = engine.NewClient(engine.Options{BaseURL: "http://" + address, Dial: b.dial})
		b.engines[address] = c
	}
	return c
}

func (b *backends) service(address string) *service.Client {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.services[address]
	if c == nil {
		c = service.NewClient(service.Options{BaseURL: "http://" + address, Dial: b.dial})
		b.services[address] = c
	}
	return c
}

// Known implements entry.Services.
func (b *backends) Known(id fleet.ServiceID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.known[id]
}

// candidates lists the addresses of a plain service's replicas that take work:
// this availability zone first, rotated within each group.
func (b *backends) candidates(id fleet.ServiceID) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var near, far []string
	for _, r := range b.records {
		if r.Backend.Service != id || r.VM.State != fleet.VMLive || r.Backend.Draining {
			continue
		}
		if r.VM.Zone == b.node.cfg.Zone {
			near = append(near, r.Backend.Address)
			continue
		}
		far = append(far, r.Backend.Address)
	}
	b.next++
	return append(rotated(near, b.next), rotated(far, b.next)...)
}

func rotated(addresses []string, by int) []string {
	slices.SortFunc(addresses, cmp.Compare)
	if len(addresses) == 0 {
		return nil
	}
	by %= len(addresses)
	return append(slices.Clone(addresses[by:]), addresses[:by]...)
}

// Send implements entry.Services: calls that may be repeated.
func (b *backends) Send(ctx context.Context, call idempotency.Call) idempotency.Result {
	return b.send(ctx, call, true)
}

// Run implements idempotency.Runner: the call goes to another replica only if
// it is certain that the one before did not run it.
func (b *backends) Run(ctx context.Context, call idempotency.Call) idempotency.Result {
	return b.send(ctx, call, false)
}

// repeats is how often a call that may be repeated is sent after a failure.
const repeats = 1

func (b *backends) send(ctx context.Context, call idempotency.Call, idempotent bool) idempotency.Result {
	result := idempotency.Result{
		Outcome:    fleet.OutcomeNotRun,
		Code:       idempotency.CodeUnreachable,
		Detail:     "no replica of the service is listed as live",
		RetryAfter: time.Second,
	}
	repeated := 0
	for _, address := range b.candidates(call.Service) {
		response, err := b.service(address).Call(ctx, requestOf(call, idempotent))
		if err == nil {
			return answered(response)
		}
		result = failure(ctx, err, idempotent)
		level.Info(b.node.cfg.Log).Log("event", "call_failed", "service", call.Service, "address", address,
			"request_id", call.RequestID, "code", result.Code, "err", err)
		if ctx.Err() != nil {
			break
		}
		if result.Outcome != fleet.OutcomeNotRun {
			if !idempotent || repeated >= repeats {
				break
			}
			repeated++
		}
	}
	return result
}

func requestOf(call idempotency.Call, idempotent bool) service.Request {
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

// answered keeps one value of each header, which is all that callers get.
func answered(r service.Response) idempotency.Result {
	answer := idempotency.Answer{Status: r.Status, Body: r.Body}
	for name := range r.Header {
		answer.Headers = append(answer.Headers, idempotency.Header{Name: name, Value: r.Header.Get(name)})
	}
	slices.SortFunc(answer.Headers, func(a, b idempotency.Header) int { return cmp.Compare(a.Name, b.Name) })
	return idempotency.Result{Outcome: fleet.OutcomeAnswered, Answer: answer}
}

// failure tells how a call without an answer ended.
func failure(ctx context.Context, err error, idempotent bool) idempotency.Result {
	result := idempotency.Result{Code: idempotency.CodeServiceFailed, Detail: err.Error(), RetryAfter: time.Second}
	unrun := errors.Is(err, service.ErrNotSent) || errors.Is(err, service.ErrUnreachable) || errors.Is(err, service.ErrRefused)
	switch {
	case unrun:
		result.Outcome, result.Code = fleet.OutcomeNotRun, idempotency.CodeUnreachable
	case errors.Is(err, service.ErrTooLarge):
		result.Outcome, result.Code = fleet.OutcomeFailed, idempotency.CodeAnswerTooLarge
	case idempotent:
		result.Outcome = fleet.OutcomeFailed
	default:
		result.Outcome = fleet.OutcomeUnknown
	}
	if ctx.Err() != nil && !unrun {
		result.Code = idempotency.CodeDeadlineExceeded
	}
	return result
}
