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
	"github.com/redwingnotch/redwingnotch/internal/httpsend"
	"github.com/redwingnotch/redwingnotch/internal/telemetry"
	"github.com/redwingnotch/redwingnotch/peer"
	"github.com/redwingnotch/redwingnotch/standin/pipenet"
)

// fakeGrants grants the backend servers b1, b2, … in order.
type fakeGrants struct {
	mu           sync.Mutex
	unresponsive bool
	refusal      *peer.Refusal
	granted      int
	acquires     []*peer.AcquireRequest
	finishes     []*peer.FinishRequest
	replicas     []fleet.Replica
}

func (f *fakeGrants) Acquire(_ context.Context, req *peer.AcquireRequest) (*peer.AcquireResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unresponsive {
		return nil, errors.New("controller does not respond")
	}
	f.acquires = append(f.acquires, req)
	if f.refusal != nil {
		return &peer.AcquireResponse{Result: &peer.AcquireResponse_Refusal{Refusal: f.refusal}}, nil
	}
	f.granted++
	name := fmt.Sprint("b", f.granted)
	return &peer.AcquireResponse{Result: &peer.AcquireResponse_Grant{Grant: &peer.Grant{
		GrantId: "g" + name, Backend: name, Address: name, Version: "v1",
	}}}, nil
}

func (f *fakeGrants) Finish(req *peer.FinishRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.finishes = append(f.finishes, req)
}

func (f *fakeGrants) FinishSync(_ context.Context, req *peer.FinishRequest) { f.Finish(req) }

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

// fakeEngine generates the tokens t0, t1, … and may fail.
type fakeEngine struct {
	tokens            int
	failAfter         int           // tokens after which failure is returned
	failure           error         // nil: none; returned by Infer if failAfter is 0
	stallsPooledConns bool          // only requests on a fresh connection start
	chunkDelay        time.Duration // before each chunk
	chunkBytes        int           // if set, the length of each chunk's data
	mu                sync.Mutex
	cancelled         []string
}

func (e *fakeEngine) Infer(ctx context.Context, req engine.InferRequest) (engine.Stream, error) {
	if e.stallsPooledConns && !req.FreshConn {
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
	case <-time.After(s.engine.chunkDelay):
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
	data := []byte(fmt.Sprint("t", s.next-1))
	if s.engine.chunkBytes > 0 {
		data = make([]byte, s.engine.chunkBytes)
	}
	return engine.Chunk{RequestID: s.id, Index: s.next - 1, Tokens: 1, Data: data}, nil
}

func (s *fakeStream) Close() error { return nil }

type fakeCatalog struct{ version uint64 }

func (*fakeCatalog) Lookup(t fleet.Target) (fleet.Model, entry.TargetState) {
	switch t.Model {
	case "lathe":
		return fleet.Model{ID: "lathe"}, entry.TargetInForce
	case "urgent-only":
		return fleet.Model{ID: "urgent-only", AllowedRanks: []fleet.Rank{fleet.RankUrgent}}, entry.TargetInForce
	case "old":
		return fleet.Model{ID: "old"}, entry.TargetWithdrawn
	}
	return fleet.Model{}, entry.TargetUnknown
}
func (*fakeCatalog) Names() []string   { return []string{"lathe", "urgent-only"} }
func (c *fakeCatalog) Version() uint64 { return c.version }

type fakeQuarantine struct {
	refused   time.Duration
	suspected bool
	crashed   []fleet.BackendID
}

func (q *fakeQuarantine) IsSuspected(time.Time, fleet.ModelID, fleet.ContentHash) bool {
	return q.suspected
}

func (q *fakeQuarantine) ReportCrash(_ time.Time, b fleet.BackendID, _ fleet.BootID, _ fleet.ModelID, _ fleet.ContentHash) {
	q.crashed = append(q.crashed, b)
}

func (q *fakeQuarantine) RefusedFor(time.Time, fleet.ModelID, fleet.ContentHash) time.Duration {
	return q.refused
}

// fakeServices implements Services and Keys. It records calls and returns result.
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

// harness is a Handler with fake dependencies behind an HTTP server.
type harness struct {
	catalog    *fakeCatalog
	grants     *fakeGrants
	engines    map[string]*fakeEngine
	quarantine *fakeQuarantine
	services   *fakeServices
	handler    *entry.Handler
	client     *http.Client
	server     *http.Server
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{
		grants:     &fakeGrants{},
		catalog:    &fakeCatalog{version: 3},
		engines:    make(map[string]*fakeEngine),
		quarantine: &fakeQuarantine{},
		services:   &fakeServices{result: idempotency.Result{Response: idempotency.Response{Status: 201, Body: []byte("ordered")}}},
	}
	metrics, err := telemetry.NewMetrics()
	assert.NilError(t, err)
	h.handler = entry.New(entry.Config{
		Node: "n1", Incarnation: 1, Cell: "c", Zone: "z1",
		Grants: h.grants, Catalog: h.catalog, Quarantine: h.quarantine,
		Engine: func(address string) engine.Engine { return h.engine(address) },
		Keys:   h.services, Services: h.services,
		Addresses: func() []entry.Address {
			return []entry.Address{{Node: "n1", Address: "a1", Zone: "z1"}, {Node: "n2", Address: "a2", Zone: "z2"}, {Node: "n3", Address: "a3", Zone: "z2"}}
		},
		Metrics: metrics, Log: log.NewNopLogger(),
		MaxBody: 1024, BodyTimeout: time.Second, WriteTimeout: time.Second,
		Deadlines: [fleet.RankCount]time.Duration{10 * time.Second, time.Minute, time.Hour},
		EntryTTL:  5 * time.Second, KeyRetention: time.Hour, ControllerTimeout: 2 * time.Second,
	})
	network := pipenet.New()
	listener, err := network.Listen("entry:80")
	assert.NilError(t, err)
	h.server = &http.Server{Handler: h.handler, ReadHeaderTimeout: time.Second}
	go h.server.Serve(listener)
	h.client = &http.Client{Transport: &http.Transport{DialContext: network.Dial}}
	return h
}

func (h *harness) engine(address string) *fakeEngine {
	if e := h.engines[address]; e != nil {
		return e
	}
	return &fakeEngine{tokens: 3}
}

func (h *harness) close() {
	h.client.CloseIdleConnections()
	h.server.Close()
	h.handler.Wait()
}

// response is the response to one request as its caller receives it.
type response struct {
	status  int
	header  http.Header
	framing httpsend.Framing
	body    string
	err     error // of sending the request or reading the body
}

func (h *harness) send(method, path, body string, headers ...string) response {
	req, err := http.NewRequest(method, "http://entry:80"+path, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, framing: httpsend.FramingOf(resp), body: string(data), err: err}
}

func (h *harness) chat(body string, headers ...string) response {
	return h.send(http.MethodPost, "/v1/chat/completions", body, headers...)
}
