package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"

	"github.com/redwingnotch/redwingnotch/platform"
)

func init() { cases["unframed"] = runUnframed }

// serveCommand is the subcommand that runs a backend server of the case unframed.
const serveCommand = "serve-unframed"

// The servers and their answers.
const (
	unframedServers = 7 // the crash of one is a share of 0.14, within srv_crash's 0.15
	unframedRounds  = 4
	unframedLimit   = time.Second
	partBytes       = 400                    // of each of the two parts of a body
	partPause       = 300 * time.Millisecond // between them
	crashFor        = 4500 * time.Millisecond
	silenceFor      = 3600 * time.Millisecond // after which the entry of a silent server is removed
	registerPause   = time.Second
)

// wholeBody returns the body of the server's answer to the request.
func wholeBody(server, request string) string {
	part := func(mark string) string {
		text := strings.Repeat(mark+" "+server+" "+request+" ", partBytes)
		return text[:partBytes]
	}
	return part("first") + part("second")
}

// serveUnframed runs a backend server whose answers have no length and end with their channels. It
// writes to its output where it listens, and when it has sent the first part of an answer and all of
// it.
func serveUnframed(id string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	fmt.Println("address", l.Addr())
	err = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(platform.HeaderExpectInstance) != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		request := r.Header.Get(platform.HeaderRequestID)
		fmt.Println("run", request)
		w.Header().Set(platform.HeaderRequestID, request)
		w.Header().Set(platform.HeaderStamp, "stamp-"+id)
		w.Header().Set("Connection", "close")
		w.Header().Set("Transfer-Encoding", "identity") // neither a length nor chunks
		body := wholeBody(id, request)
		_, _ = w.Write([]byte(body[:partBytes]))
		_ = http.NewResponseController(w).Flush()
		fmt.Println("first", request)
		time.Sleep(partPause)
		_, _ = w.Write([]byte(body[partBytes:]))
		fmt.Println("whole", request)
	}))
	fmt.Fprintln(os.Stderr, err)
	os.Exit(exitFailed)
}

// unframedServer is a backend server, a process of its own.
type unframedServer struct {
	id      string
	process *exec.Cmd
}

// event is a line of a server's output.
type event struct {
	server     *unframedServer
	what, text string
}

// startUnframed starts a server, registers it and sends its later events to events.
func (t *trial) startUnframed(id string, events chan<- event) error {
	s := &unframedServer{id: id, process: exec.Command(os.Args[0], serveCommand, id)}
	out, err := s.process.StdoutPipe()
	if err != nil {
		return err
	}
	if err := s.process.Start(); err != nil {
		return err
	}
	t.servers = append(t.servers, s.process)
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return fmt.Errorf("server %s does not start", id)
	}
	address := strings.TrimPrefix(lines.Text(), "address ")
	go func() {
		for lines.Scan() {
			what, text, _ := strings.Cut(lines.Text(), " ")
			t.record("server %s: %s %s", id, what, text)
			events <- event{s, what, text}
		}
	}()
	_, err = t.put(platform.KindServers, id, map[string]any{"service": "orders-api", "address": address, "zone": "sk-central-a", "version": "v1",
		"slots": 6, "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli()})
	return err
}

// runUnframed checks MIXED where a server crashes within an answer that has no length.
func runUnframed(t *trial) (bool, error) {
	state := map[string]any{
		"version": 1,
		"routes": []map[string]any{
			{"name": "parts-order", "host": "h.example", "path_prefix": "/order/", "kind": "unsafe", "timeout_ms": unframedLimit.Milliseconds(), "target_latency_ms": 100, "service": "orders-api", "max_attempts": 1},
			{"name": "stock-lookup", "host": "h.example", "path_prefix": "/stock/", "kind": "safe", "timeout_ms": unframedLimit.Milliseconds(), "target_latency_ms": 100, "service": "orders-api", "max_attempts": 2},
		},
		"services": []map[string]any{{"name": "orders-api", "health_check_path": "/health", "max_connections": 110}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
	}
	if _, err := t.put(platform.KindConfig, platform.ConfigName, state); err != nil {
		return false, err
	}
	events := make(chan event, 64)
	for i := range unframedServers {
		if err := t.startUnframed(fmt.Sprintf("i-%d", i+1), events); err != nil {
			return false, err
		}
	}
	if err := t.startNodes(siteTocka, "sk-central-a"); err != nil {
		return false, err
	}
	held := true
	for round := range unframedRounds {
		ok, err := t.unframedRound(round, events)
		if err != nil {
			return false, err
		}
		held = held && ok
	}
	return held, nil
}

// unframedRound sends one request and, with the disruption, kills the server that has sent the first
// part of the answer. It reports whether the rule held.
func (t *trial) unframedRound(round int, events chan event) (bool, error) {
	c := call{method: http.MethodGet, path: "/stock/x", host: "h.example", id: fmt.Sprintf("stock-%d", round), limit: unframedLimit}
	if round%2 == 1 {
		c.method, c.path, c.id = http.MethodPost, "/order/x", fmt.Sprintf("order-%d", round)
	}
	done, failed := make(chan answer, 1), make(chan error, 1)
	go func() {
		a, err := send(t.nodes[0], c)
		if err != nil {
			failed <- err
			return
		}
		done <- a
	}()
	crashed := false
	for {
		select {
		case err := <-failed:
			return false, err
		case e := <-events:
			if e.what == "first" && t.trouble && !crashed {
				crashed = true
				if err := e.server.process.Process.Signal(syscall.SIGKILL); err != nil {
					return false, err
				}
				t.record("server %s is killed", e.server.id)
				go t.replace(e.server, fmt.Sprintf("i-%d-%d", unframedServers+1, round), events)
			}
		case a := <-done:
			ok := t.judgeUnframed(a)
			time.Sleep(crashFor + 2*registerPause)
			return ok, nil
		}
	}
}

// replace removes the entry of a server that has crashed once it has been silent for long enough, and
// starts another server.
func (t *trial) replace(s *unframedServer, id string, events chan<- event) {
	time.Sleep(silenceFor)
	if entry, err := t.store.Get(context.Background(), platform.KindServers, s.id); err == nil {
		if err := t.store.Delete(context.Background(), platform.KindServers, s.id, entry.Version); err != nil {
			t.record("entry of %s not removed: %v", s.id, err)
		}
	}
	time.Sleep(crashFor - silenceFor)
	if err := t.startUnframed(id, events); err != nil {
		t.record("%v", err)
	}
}

// judgeUnframed reports whether the answer is one that the rule allows: a success has the whole body
// of the server whose stamp it bears.
func (t *trial) judgeUnframed(a answer) bool {
	if a.status < http.StatusOK || a.status >= http.StatusMultipleChoices {
		t.record("caller: request %s: status %d, %v", a.id, a.status, a.err)
		return true
	}
	want := wholeBody(strings.TrimPrefix(a.stamp, "stamp-"), a.id)
	t.record("caller: request %s: status %d, stamp %s, complete answer of %d bytes; the server's whole body has %d bytes; equal: %v",
		a.id, a.status, a.stamp, len(a.body), len(want), a.body == want)
	return a.body == want
}
