package processes

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/redwingnotch/redwingnotch/standin/modelserver"
)

// serverVariable holds the configuration of a model server. The test program is the server if it
// is set.
const serverVariable = "REDWINGNOTCH_TEST_MODEL_SERVER"

// runModelServer runs the test program as a model server and returns its exit code.
func runModelServer(text string) int {
	var config modelserver.Config
	if err := json.Unmarshal([]byte(text), &config); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, modelserver.SignalLeave, modelserver.SignalWithdraw)
	if err := modelserver.Run(config, signals); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// serverProcess is a model server's process.
type serverProcess struct {
	config modelserver.Config
	cmd    *exec.Cmd
	exited chan struct{}
}

func (p *serverProcess) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) } // fails if it has ended

// serverFleet runs the model servers.
type serverFleet struct {
	dir   string
	host  string
	store string
	slots int
	logf  func(format string, args ...any)

	unframed float64 // share of servers that send streams without framing
	breaks   float64 // share of each server's streams that break

	mu       sync.Mutex
	framings *rand.Rand // draws which servers they are
	all      []*serverProcess
	reserved map[*serverProcess]bool // a disturbance uses it
	next     int                     // number of the next server
	freed    []freedAddress
	closed   bool
}

// freedAddress is an address whose server has ended.
type freedAddress struct {
	address string
	at      time.Time
}

// addressReuse is the time after which the address of a server that has ended may be that of
// another.
const addressReuse = 2 * time.Second

// newConfig returns the configuration of a new server.
func (f *serverFleet) newConfig(rng *rand.Rand, service, zone, software string, held []string) modelserver.Config {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next++
	address := fmt.Sprintf("%s:%d", f.host, firstServerPort+f.next)
	if len(f.freed) > 0 && time.Since(f.freed[0].at) > addressReuse && rng.IntN(2) == 0 {
		address = f.freed[0].address
		f.freed = f.freed[1:]
	}
	c := modelserver.Config{ID: fmt.Sprintf("i-%04d", f.next), Service: service, Zone: zone, Software: software, Address: address, StoreAddress: f.store,
		Slots: f.slots, Heartbeat: heartbeat, Drain: 2 * time.Second, Linger: time.Duration(rng.IntN(1500)) * time.Millisecond,
		FirstEvent: time.Duration(40+rng.IntN(160)) * time.Millisecond, Gap: time.Duration(80+rng.IntN(200)) * time.Millisecond, Work: 15 * time.Millisecond}
	if rng.IntN(2) == 0 {
		c.EntryDelay = time.Duration(rng.Int64N(int64(heartbeat)))
	}
	c.Unframed = f.framings.Float64() < f.unframed
	c.Breaks, c.Seed = f.breaks, uint64(f.next)
	if service != plainService {
		c.Models, c.MemoryMB, c.Held = modelStore, serverMemoryMB, held
	}
	return c
}

// firstServerPort is below the ports of the first server, outside the ephemeral port range.
const firstServerPort = 20_000

// start starts a server's process.
func (f *serverFleet) start(config modelserver.Config) (*serverProcess, error) {
	text, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	out, err := os.OpenFile(filepath.Join(f.dir, "servers.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), serverVariable+"="+string(text))
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return nil, os.ErrClosed
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &serverProcess{config: config, cmd: cmd, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait() // the result does not matter
		close(p.exited)
	}()
	f.all = append(f.all, p)
	f.logf("server %s starts: %s of %s at %s, holds %v, unframed %t, process %d", config.ID, config.Software, config.Service, config.Address, config.Held, config.Unframed, cmd.Process.Pid)
	return p, nil
}

// reserve returns a server that no disturbance uses and for which the condition holds, nil if
// there is none.
func (f *serverFleet) reserve(rng *rand.Rand, condition func(modelserver.Config) bool) *serverProcess {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range rng.Perm(len(f.all)) {
		if p := f.all[i]; !f.reserved[p] && condition(p.config) {
			f.reserved[p] = true
			return p
		}
	}
	return nil
}

// release ends the use of a server that goes on.
func (f *serverFleet) release(p *serverProcess) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.reserved, p)
}

// forget waits for the end of a server that a disturbance has ended.
func (f *serverFleet) forget(p *serverProcess, freeAddress bool) {
	<-p.exited
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.reserved, p)
	f.all = slices.DeleteFunc(f.all, func(o *serverProcess) bool { return o == p })
	if freeAddress {
		f.freed = append(f.freed, freedAddress{p.config.Address, time.Now()})
	}
	f.logf("server %s has ended", p.config.ID)
}

// close ends all servers.
func (f *serverFleet) close() {
	f.mu.Lock()
	f.closed = true
	all := slices.Clone(f.all)
	f.mu.Unlock()
	for _, p := range all {
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
}

// count returns how many servers of a service run each version of the software.
func (f *serverFleet) count(service string) map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := map[string]int{}
	for _, p := range f.all {
		if p.config.Service == service {
			counts[p.config.Software]++
		}
	}
	return counts
}
