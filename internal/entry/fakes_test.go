package entry_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/idempotency"
	"github.com/redwingnotch/redwingnotch/internal/entry"
	"github.com/redwingnotch/redwingnotch/internal/telemetry"
	"github.com/redwingnotch/redwingnotch/peer"
	"github.com/redwingnotch/redwingnotch/standin/pipenet"
)

// fakeGrants grants the backends b1, b2, … in turn.
type fakeGrants struct {
	mu       sync.Mutex
	silent   bool
	refusal  *peer.Refusal
	next     int
	asked    []*peer.AcquireRequest
	finishes []*peer.FinishRequest
	replicas []fleet.Replica
}

func (f *fakeGrants) Acquire(_ context.Context, req *peer.AcquireRequest) (*peer.AcquireResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.silent {
		return nil, errors.New("silent")
	}
	f.asked = append(f.asked, req)
	if f.refusal != nil {
		return &peer.AcquireResponse{Result: &peer.AcquireResponse_Refusal{Refusal: f.refusal}}, nil
	}
	f.next++
	name := fmt.Sprint("b", f.next)
	return &peer.AcquireResponse{Result: &peer.AcquireResponse_Grant{Grant: &peer.Grant{
		GrantId: "g" + name, Backend: name, Address: name, Version: "v1",
	}}}, nil
}

func (f *fakeGrants) Finish(req *peer.FinishRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.finishes = append(f.finishes, req)
}

func (f *fakeGrants) FinishNow(_ context.Context, req *peer.FinishRequest) { f.Finish(req) }

func (f *fakeGrants) Snapshot() []fleet.Replica { return f.replicas }

func (f *fakeGrants) outcomes() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []string
	for _, r := range f.finishes {
		all = append(all, r.GetOutcome())
	}
	return strings.Join(all, " ")
}

// fakeEngine answers with the tokens t0, t1, … and may fail.
type fakeEngine struct {
	tokens    int
	failAfter int   // tokens after which failure is returned; -1 never
	failure   error // at the start if failAfter is 0
	silent    bool  // pooled connections never answer
	pace      time.Duration
	mu        sync.Mutex
	cancelled []string
}

func (e *fakeEngine) Infer(ctx context.Context, req engine.InferRequest) (engine.Stream, error) {
	if e.silent && !req.FreshConn {
		<-ctx.Done()
		return nil, fmt.Errorf("%w: %w", engine.ErrUnknown, ctx.Err())
	}
	if e.failure != nil && e.failAfter == 0 {
		return nil, e.failure
	}
	return &fakeStream{ctx: ctx, engine: e, id: req.RequestID, next: req.ReceivedTokens}, nil
}

func (e *fakeEngine) Cancel(_ context.Context, id string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelled = append(e.cancelled, id)
	return nil
}

func (e *fakeEngine) Order(context.Context, engine.Order) (engine.Report, error) {
	return engine.Report{}, engine.ErrUnknown
}
func (e *fakeEngine) Report(context.Context) (engine.Report, error) {
	return engine.Report{}, engine.ErrUnknown
}

type fakeStream struct {
	ctx    context.Context
	engine *fakeEngine
	id     string
	next   int
}

func (s *fakeStream) Next() (engine.Chunk, error) {
	select {
	case <-time.After(s.engine.pace):
	case <-s.ctx.Done():
		return engine.Chunk{}, fmt.Errorf("%w: %w", engine.ErrUnknown, s.ctx.Err())
	}
	switch {
	case s.engine.failure != nil && s.next == s.engine.failAfter:
		return engine.Chunk{}, s.engine.failure
	case s.next == s.engine.tokens:
		s.next++
		return engine.Chunk{RequestID: s.id, Index: s.next - 1, Done: true}, nil
	case s.next > s.engine.tokens:
		return engine.Chunk{}, io.EOF
	}
	s.next++
	return engine.Chunk{RequestID: s.id, Index: s.next - 1, Tokens: 1, Data: []byte(fmt.Sprint("t", s.next-1))}, nil
}

func (s *fakeStream) Close() error { return nil }

type fakeCatalog struct{ version uint64 }

func (*fakeCatalog) Lookup(t fleet.Target) (fleet.Model, entry.Standing) {
	switch t.Model {
	case "lathe":
		return fleet.Model{ID: "lathe"}, entry.StandingInForce
	case "urgent-only":
		return fleet.Model{ID: "urgent-only", AllowedRanks: []fleet.Rank{fleet.RankUrgent}}, entry.StandingInForce
	case "old":
		return fleet.Model{ID: "old"}, entry.StandingWithdrawn
	}
	return fleet.Model{}, entry.StandingUnknown
}
func (*fakeCatalog) Names() []string   { return []string{"lathe", "urgent-only"} }
func (c *fakeCatalog) Version() uint64 { return c.version }

type fakeQuarantine struct {
	refused   time.Duration
	suspected bool
	crashed   []fleet.BackendID
}

func (v *fakeQuarantine) Suspected(time.Time, fleet.ModelID, fleet.ContentHash) bool {
	return v.suspected
}

func (v *fakeQuarantine) Crashed(_ time.Time, b fleet.BackendID, _ fleet.BootID, _ fleet.ModelID, _ fleet.ContentHash) {
	v.crashed = append(v.crashed, b)
}

func (v *fakeQuarantine) Refused(time.Time, fleet.ModelID, fleet.ContentHash) time.Duration {
	return v.refused
}

// fakeServices records calls and answers with its result.
type fakeServices struct {
	calls  []idempotency.Call
	result idempotency.Result
}

func (s *fakeServices) Known(id fleet.ServiceID) bool { return id == "ordering" }
func (s *fakeServices) Send(_ context.Context, call idempotency.Call) idempotency.Result {
	s.calls = append(s.calls, call)
	return s.result
}
func (s *fakeServices) Call(_ context.Context, call idempotency.Call) idempotency.Result {
	s.calls = append(s.calls, call)
	return s.result
}
func (s *fakeServices) Issue() idempotency.IssuedKey {
	return idempotency.IssuedKey{Text: "rwn1.n1.1.1.1.s", Owner: idempotency.Owner{Node: "n1"}}
}

// rig is a handler with fakes behind an HTTP server in virtual time.
type rig struct {
	catalog  *fakeCatalog
	grants   *fakeGrants
	engines  map[string]*fakeEngine
	verdict  *fakeQuarantine
	services *fakeServices
	handler  *entry.Handler
	client   *http.Client
	server   *http.Server
}

func newRig(t *testing.T) *rig {
	t.Helper()
	r := &rig{
		grants:   &fakeGrants{},
		catalog:  &fakeCatalog{version: 3},
		engines:  make(map[string]*fakeEngine),
		verdict:  &fakeQuarantine{},
		services: &fakeServices{result: idempotency.Result{Answer: idempotency.Answer{Status: 201, Body: []byte("ordered")}}},
	}
	metrics, err := telemetry.NewMetrics()
	assert.NilError(t, err)
	r.handler = entry.New(entry.Config{
		Node: "n1", Incarnation: 1, Cell: "c", Zone: "z1",
		Grants: r.grants, Catalog: r.catalog, Quarantine: r.verdict,
		Engine: func(address string) engine.Engine { return r.engine(address) },
		Keys:   r.services, Services: r.services,
		Addresses: func() []entry.Address {
			return []entry.Address{{Node: "n1", Address: "a1", Zone: "z1"}, {Node: "n2", Address: "a2", Zone: "z2"}, {Node: "n3", Address: "a3", Zone: "z2"}}
		},
		Metrics: metrics, Log: log.NewNopLogger(),
		MaxBody: 1024, BodyTimeout: time.Second, WriteTimeout: time.Second,
		Deadlines: [fleet.RankCount]time.Duration{10 * time.Second, time.Minute, time.Hour},
		EntryTTL:  5 * time.Second, KeyRetention: time.Hour, SilentAfter: 2 * time.Second,
	})
	network := pipenet.New()
	listener, err := network.Listen("entry:80")
	assert.NilError(t, err)
	r.server = &http.Server{Handler: r.handler, ReadHeaderTimeout: time.Second}
	go r.server.Serve(listener)
	r.client = &http.Client{Transport: &http.Transport{DialContext: network.Dial}}
	return r
}

func (r *rig) engine(address string) *fakeEngine {
	if e := r.engines[address]; e != nil {
		return e
	}
	return &fakeEngine{tokens: 3}
}

func (r *rig) close() {
	r.client.CloseIdleConnections()
	r.server.Close()
	r.handler.Wait()
}

// reply is what a caller sees of one request.
type reply struct {
	status int
	header http.Header
	body   string
	err    error // while reading the body
}

func (r *rig) send(method, path, body string, headers ...string) reply {
	req, err := http.NewRequest(method, "http://entry:80"+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

func (r *rig) chat(body string, headers ...string) reply {
	return r.send(http.MethodPost, "/v1/chat/completions", body, headers...)
}
