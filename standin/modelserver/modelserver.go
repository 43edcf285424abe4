// Package modelserver is a stand-in for a backend server of the users' platform that runs as a
// process of its own: a model engine or a plain service. It registers itself in the platform's
// store, leaves on signals, and puts into each event of a stream who made it.
package modelserver

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// Model is a model of the weight store.
type Model struct {
	SizeMB       float64
	LoadTime     time.Duration
	DiskLoadTime time.Duration // if its weights are on the server's disk
}

// Config configures a server. All fields are encoded as JSON.
type Config struct {
	ID, Service, Zone string
	Software          string // version of the server's software
	Address           string // host:port to listen on
	StoreAddress      string // host:port of the platform's store
	Slots             int    // requests that run at once; further ones are refused

	Models   map[string]Model // all that the server can load; empty for a plain service
	MemoryMB float64          // for weights
	Held     []string         // models that it holds at its start
	OnDisk   []string         // models whose weights its disk has

	FirstEvent time.Duration // from a request to the first event of its stream
	Gap        time.Duration // between two events
	Work       time.Duration // of a plain request
	Breaks     float64       // share of streams that break, as a faulty server's do
	Seed       uint64        // of the draws which streams break, and how
	Unframed   bool          // streams have neither a length nor chunks and end with their connections

	EntryDelay time.Duration // from the start, at which it serves, to its first entry
	Heartbeat  time.Duration // interval at which the server writes its entry
	Drain      time.Duration // for which it serves on after it reported that it leaves
	Linger     time.Duration // for which it serves on after that
}

// Signals that Run handles. Any other signal has its usual effect.
const (
	SignalLeave    = syscall.SIGTERM // report draining, serve on, exit
	SignalWithdraw = syscall.SIGUSR1 // remove the entry without a report, serve on, exit
)

// Server is a running server.
type Server struct {
	config Config
	store  *storeClient
	born   int64      // start time, Unix milliseconds
	draws  *rand.Rand // of breaks; guarded by mu

	writing sync.Mutex // held during a write to the store

	mu       sync.Mutex
	state    string // of the entry; empty if there must be none
	beats    int    // entries written
	held     map[string]bool
	onDisk   map[string]bool
	busy     bool // an order is in progress
	orders   int  // accepted since the start
	running  int
	runCount int
}

// Run serves until a signal has ended the server. The channel must receive SignalLeave and
// SignalWithdraw.
func Run(config Config, signals <-chan os.Signal) error {
	s := &Server{config: config, store: newStoreClient(config.StoreAddress), born: time.Now().UnixMilli(), state: "ready",
		draws: rand.New(rand.NewPCG(config.Seed, 0)),
		held:  set(config.Held), onDisk: set(append(config.OnDisk, config.Held...))}
	l, err := listen(config.Address)
	if err != nil {
		return err
	}
	failed := make(chan error, 1)
	go func() { failed <- http.Serve(l, s) }()
	beat := time.NewTimer(config.EntryDelay)
	defer beat.Stop()
	for {
		select {
		case err := <-failed:
			return fmt.Errorf("serve: %w", err)
		case <-beat.C:
			beat.Reset(config.Heartbeat)
			s.register()
		case signal := <-signals:
			s.leave(signal == SignalWithdraw)
			return nil
		}
	}
}

// listen listens on the address, which a process that has just ended may still have.
func listen(address string) (net.Listener, error) {
	for try := 0; ; try++ {
		l, err := net.Listen("tcp", address)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || try == listenTries {
			return l, err
		}
		time.Sleep(listenPause)
	}
}

// Tries of listen.
const (
	listenTries = 50
	listenPause = 20 * time.Millisecond
)

// leave reports that the server leaves, or removes its entry, and returns when it may exit without one. The
// time to serve on begins once the store has accepted the report.
func (s *Server) leave(withdraw bool) {
	s.mu.Lock()
	s.state = "draining"
	if withdraw {
		s.state = ""
	}
	s.mu.Unlock()
	for try := 0; try < leaveTries; try++ {
		if err := s.writeEntry(); err == nil {
			break
		}
		time.Sleep(s.config.Heartbeat / 4)
	}
	time.Sleep(s.config.Drain + s.config.Linger)
	s.mu.Lock()
	s.state = ""
	s.mu.Unlock()
	_ = s.writeEntry() // the platform removes what is left
}

// leaveTries bounds the writes of a server that leaves while the store is down.
const leaveTries = 40

// register writes the entry and prints why that failed.
func (s *Server) register() {
	if err := s.writeEntry(); err != nil {
		fmt.Fprintf(os.Stderr, "%s server %s: entry not written: %v\n", time.Now().Format(time.StampMilli), s.config.ID, err)
	}
}

// writeEntry writes the server's entry, or removes it if there must be none.
func (s *Server) writeEntry() error {
	s.writing.Lock()
	defer s.writing.Unlock()
	s.mu.Lock()
	if s.state == "" {
		s.mu.Unlock()
		return s.store.remove(s.config.ID)
	}
	s.beats++
	c := s.config
	entry, err := json.Marshal(map[string]any{
		"service": c.Service, "address": c.Address, "zone": c.Zone, "version": c.Software, "slots": c.Slots, "state": s.state,
		"cold_remaining_ms": 0, "sequence": s.beats, "born": s.born, "stage": "prefill_decode", "models": s.modelList(),
		"at_hand": s.atHand(),
	})
	s.mu.Unlock()
	if err != nil {
		return fmt.Errorf("encode entry: %w", err)
	}
	return s.store.put(c.ID, entry)
}

func set(names []string) map[string]bool {
	m := map[string]bool{}
	for _, name := range names {
		m[name] = true
	}
	return m
}
