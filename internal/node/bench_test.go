package node_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/engine"
)

// loopback maps the addresses of a deployment to TCP ports on 127.0.0.1.
type loopback struct {
	mu    sync.Mutex
	ports map[string]string
}

// namedListener is a listener whose Addr is its address in the deployment.
type namedListener struct {
	net.Listener
	name string
}

func (l namedListener) Addr() net.Addr { return namedAddr(l.name) }

type namedAddr string

func (namedAddr) Network() string  { return "tcp" }
func (a namedAddr) String() string { return string(a) }

func (l *loopback) Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ports[address] = listener.Addr().String()
	return namedListener{listener, address}, nil
}

func (l *loopback) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	l.mu.Lock()
	port := l.ports[address]
	l.mu.Unlock()
	var d net.Dialer
	return d.DialContext(ctx, network, port)
}

// overheadPaths are three paths of the same request: directly to the engine, through
// the entry node that is the controller, and through another entry node.
type overheadPaths struct {
	d                 *deployment
	controller, entry string
	body              string // body of each request
}

func newOverheadPaths(b *testing.B) *overheadPaths {
	d := newDeploymentOn(b, &loopback{ports: make(map[string]string)})
	d.client.Transport.(*http.Transport).MaxIdleConnsPerHost = 256
	d.logLevel = "error"
	d.tokenTime = 0
	d.slots = 256
	d.publish(strings.ReplaceAll(releaseNote, "slots: 4", "slots: 256"))
	d.addEngine("e1")
	for _, name := range []string{"n1", "n2"} {
		d.start(name)
	}
	p := &overheadPaths{d: d, body: requestFor(shortResponseTokens)}
	for range 100 {
		if name, count := d.controllerNode(); count == 1 {
			p.controller, p.entry = name, map[string]string{"n1": "n2", "n2": "n1"}[name]
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	for _, node := range []string{p.controller, p.entry} {
		assert.NilError(b, p.throughNode(node))
	}
	return p
}

// shortResponseTokens is the number of tokens of a short response, each sent on its
// own.
const shortResponseTokens = 4

// requestFor returns a request to a warm model for a response of that many tokens.
func requestFor(tokens int) string {
	return fmt.Sprintf(`{"model":"lathe","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"Collar 7 chatters."}]}`, tokens)
}

func (p *overheadPaths) direct() error {
	req, err := http.NewRequest(http.MethodPost, "http://e1:90"+engine.PathInfer, strings.NewReader(p.body))
	if err != nil {
		return err
	}
	req.Header.Set(engine.HeaderTarget, "lathe")
	req.Header.Set(engine.HeaderRequestID, "r")
	req.Header.Set(engine.HeaderResponseForm, engine.ResponseChunks)
	req.Header.Set(engine.HeaderPriority, "standard")
	return p.roundTrip(req)
}

func (p *overheadPaths) throughNode(node string) error {
	req, err := http.NewRequest(http.MethodPost, "http://"+node+":80/v1/chat/completions", strings.NewReader(p.body))
	if err != nil {
		return err
	}
	return p.roundTrip(req)
}

func (p *overheadPaths) roundTrip(req *http.Request) error {
	resp, err := p.d.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK || !strings.HasSuffix(string(body), "data: [DONE]\n\n") {
		return fmt.Errorf("status %d, %v: %s", resp.StatusCode, err, body)
	}
	return nil
}

// namedPath is a path and its name in the results.
type namedPath struct {
	name string
	call func() error
}

func (p *overheadPaths) all() []namedPath {
	return []namedPath{
		{"direct", p.direct},
		{"entry", func() error { return p.throughNode(p.controller) }},
		{"entry+controller", func() error { return p.throughNode(p.entry) }},
	}
}

// BenchmarkOverhead sends one request at a time over each path in turn. It reports the
// latency of a direct call and what the other paths add to it.
func BenchmarkOverhead(b *testing.B) {
	p := newOverheadPaths(b)
	paths := p.all()
	times := make([]*hdrhistogram.Histogram, len(paths))
	allocs := make([]float64, len(paths))
	for i := range times {
		times[i] = hdrhistogram.New(1, int64(time.Minute), 3)
		allocs[i] = testing.AllocsPerRun(200, func() {
			if err := paths[i].call(); err != nil {
				b.Error(err)
			}
		})
	}
	b.ResetTimer()
	for range b.N {
		for i, path := range paths {
			started := time.Now()
			if err := path.call(); err != nil {
				b.Fatal(path.name, err)
			}
			if err := times[i].RecordValue(time.Since(started).Nanoseconds()); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.StopTimer()
	micro := func(i int, q float64) float64 { return float64(times[i].ValueAtQuantile(q)) / 1000 }
	b.ReportMetric(micro(0, 50), "direct-p50-us")
	b.ReportMetric(micro(0, 99), "direct-p99-us")
	for i, path := range paths[1:] {
		b.ReportMetric(micro(i+1, 50)-micro(0, 50), path.name+"-added-p50-us")
		b.ReportMetric(micro(i+1, 99)-micro(0, 99), path.name+"-added-p99-us")
		b.ReportMetric(allocs[i+1]-allocs[0], path.name+"-added-allocs")
	}
	p.d.close()
}

// BenchmarkThroughput sends requests over each path from 16 concurrent callers and
// reports the CPU time of the whole process per request. What a path takes beyond the
// direct one is the CPU time of the nodes.
func BenchmarkThroughput(b *testing.B) {
	p := newOverheadPaths(b)
	direct := 0.0
	for _, path := range p.all() {
		b.Run(path.name, func(b *testing.B) {
			b.SetParallelism(max(1, 16/runtime.GOMAXPROCS(0)))
			before := processorTime()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if err := path.call(); err != nil {
						b.Error(path.name, err)
						return
					}
				}
			})
			perRequest := float64((processorTime() - before).Nanoseconds()) / float64(b.N) / 1000
			b.ReportMetric(perRequest, "cpu-us/op")
			if path.name == "direct" {
				direct = perRequest
				return
			}
			b.ReportMetric(1e6/(perRequest-direct), "node-req/s/core")
		})
	}
	p.d.close()
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
