package httpsend

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/standin/pipenet"
)

const address = "peer:80"

// post sends a POST request.
func post(ctx context.Context, client *http.Client) error {
	return send(ctx, client, http.MethodPost, "")
}

// send sends a request with a body, and with an idempotency key if key is set.
func send(ctx context.Context, client *http.Client, method, key string) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/", bytes.NewReader([]byte("order")))
	if err != nil {
		return err
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := Do(client, req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	return err
}

func TestDoReportsWhetherRequestWasSent(t *testing.T) {
	closeAfterFirstByte := func(t *testing.T, conn net.Conn) {
		_, err := conn.Read(make([]byte, 1))
		assert.NilError(t, err)
		conn.Close()
	}
	neverRespond := func(t *testing.T, conn net.Conn) {
		_, err := io.Copy(io.Discard, conn) // until the client times out
		assert.NilError(t, err)
	}
	for _, tc := range []struct {
		name  string
		serve func(t *testing.T, conn net.Conn) // nil: no listener
		want  error
	}{
		{"connection refused", nil, ErrUnreachable},
		{"closed after the first byte", closeAfterFirstByte, ErrMaybeSent},
		{"no response", neverRespond, ErrMaybeSent},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := pipenet.New()
				if tc.serve != nil {
					l, err := network.Listen(address)
					assert.NilError(t, err)
					defer l.Close()
					go func() {
						conn, err := l.Accept()
						if err == nil {
							tc.serve(t, conn)
						}
					}()
				}
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				client := NewClient(Options{Dial: network.Dial})
				assert.ErrorIs(t, post(ctx, client), tc.want)
			})
		})
	}
}

func TestDoReportsCancelledDialAsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hang := func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		ctx, cancel := context.WithTimeout(t.Context(), DefaultDialTimeout/2)
		defer cancel()
		assert.ErrorIs(t, post(ctx, NewClient(Options{Dial: hang})), ErrNotSent)
		time.Sleep(DefaultDialTimeout) // the dial continues without the request
	})
}

// TestDoRejectsSwitchedProtocols: the body of such a response would be the
// connection itself, whose reads outlive the request's context.
func TestDoRejectsSwitchedProtocols(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := pipenet.New()
		l, err := network.Listen(address)
		assert.NilError(t, err)
		closed := false
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			assert.NilError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n")
			assert.NilError(t, err)
			_, err = conn.Read(make([]byte, 1))
			closed = err != nil
		})}
		go func() { _ = server.Serve(l) }()
		defer server.Close()
		assert.ErrorIs(t, post(t.Context(), NewClient(Options{Dial: network.Dial})), ErrMaybeSent)
		synctest.Wait()
		assert.Assert(t, closed)
	})
}

// TestDoNeverSendsTwice uses requests that the standard client retries when a
// reused connection breaks.
func TestDoNeverSendsTwice(t *testing.T) {
	for _, tc := range []struct {
		name, method, key string
	}{
		{"post", http.MethodPost, ""},
		{"post with a key", http.MethodPost, "k"},
		{"get", http.MethodGet, ""},
	} {
		t.Run(tc.name, func(t *testing.T) { testSecondRequestBroken(t, tc.method, tc.key) })
	}
}

// testSecondRequestBroken sends two requests. The server closes the connection
// while it runs the second.
func testSecondRequestBroken(t *testing.T, method, key string) {
	synctest.Test(t, func(t *testing.T) {
		network := pipenet.New()
		l, err := network.Listen(address)
		assert.NilError(t, err)
		runs := 0
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if runs++; runs == 2 {
				panic(http.ErrAbortHandler)
			}
		})}
		go func() { _ = server.Serve(l) }()
		defer server.Close()
		client := NewClient(Options{Dial: network.Dial})
		assert.NilError(t, send(t.Context(), client, method, key))
		synctest.Wait()
		err = send(t.Context(), client, method, key)
		assert.ErrorIs(t, err, ErrMaybeSent)
		assert.ErrorIs(t, err, ErrReused)
		assert.Equal(t, runs, 2)
	})
}

// newestConnListener records the newest connection that a listener accepted.
type newestConnListener struct {
	net.Listener
	mu     sync.Mutex
	newest net.Conn
}

// Accept implements net.Listener.
func (l *newestConnListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.newest = conn
	}
	return conn, err
}

// closeNewest closes the newest connection on the server's side.
func (l *newestConnListener) closeNewest() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.newest.Close()
}

// TestDoReplacesStaleConnection: the server closes an idle connection just when the
// client picks it for a request. Nothing was sent, so the request goes over another
// connection; if none can be made, the server is reported as unreachable.
func TestDoReplacesStaleConnection(t *testing.T) {
	for _, tc := range []struct {
		name    string
		listens bool
		want    error
	}{
		{"the server listens", true, nil},
		{"no listener", false, ErrUnreachable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testStaleConn(t, tc.listens, tc.want) })
		})
	}
}

func testStaleConn(t *testing.T, listens bool, want error) {
	network := pipenet.New()
	l, err := network.Listen(address)
	assert.NilError(t, err)
	listener := &newestConnListener{Listener: l}
	var bodies []string
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		assert.NilError(t, err)
		bodies = append(bodies, string(body))
	})}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	client := NewClient(Options{Dial: network.Dial})
	defer client.CloseIdleConnections()
	assert.NilError(t, post(t.Context(), client))
	closeConn := sync.OnceFunc(func() {
		if !listens {
			l.Close()
		}
		listener.closeNewest()
		synctest.Wait() // until the client has seen the close
	})
	ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { closeConn() }})
	synctest.Wait()
	err = post(ctx, client)
	if want != nil {
		assert.ErrorIs(t, err, want)
		return
	}
	assert.NilError(t, err)
	assert.DeepEqual(t, bodies, []string{"order", "order"})
}

func TestBlockedConnectionRejectsWrites(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	c := newConn(near)
	call := &call{connUses: []connUse{{conn: c, writesBefore: c.writes()}}}
	sent, _ := call.mayHaveSent()
	assert.Assert(t, !sent)
	_, err := c.Write([]byte("late"))
	assert.ErrorIs(t, err, errWritesBlocked)
}

func TestDialTCPSetsUserTimeout(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	conn, err := DialTCP(t.Context(), "tcp", l.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	var set int
	var optErr error
	assert.NilError(t, raw.Control(func(fd uintptr) {
		set, optErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	assert.NilError(t, optErr)
	assert.Equal(t, time.Duration(set)*time.Millisecond, userTimeout)
}

// BenchmarkDo compares Do with the same client without tracking.
func BenchmarkDo(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	for _, bc := range []struct {
		name string
		do   func(*http.Client, *http.Request) (*http.Response, error)
	}{
		{"tracked", Do},
		{"plain", (*http.Client).Do},
	} {
		b.Run(bc.name, func(b *testing.B) {
			client := NewClient(Options{})
			defer client.CloseIdleConnections()
			b.ReportAllocs()
			for b.Loop() {
				req, err := http.NewRequestWithContext(b.Context(), http.MethodGet, server.URL, nil)
				assert.NilError(b, err)
				resp, err := bc.do(client, req)
				assert.NilError(b, err)
				resp.Body.Close()
			}
		})
	}
}
