package processes

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/standin/fault"
	"github.com/redwingnotch/redwingnotch/standin/modelserver"
)

// plainCallers send safe and unsafe requests on connections that they keep until a request fails.
type plainCallers struct {
	mu       sync.Mutex
	outcomes map[string]int // requests, by path and status
	wrong    []string       // responses that are not those of the servers
}

// Parameters of plain callers.
const (
	plainCallerCount = 4
	plainPause       = 100 * time.Millisecond
	plainLimit       = 1500 * time.Millisecond
)

// run sends requests until the context ends.
func (p *plainCallers) run(ctx context.Context, hosts []*resolver, rng *rand.Rand, nextID func() string) {
	var callers sync.WaitGroup
	for range plainCallerCount {
		host, own := hosts[rng.IntN(len(hosts))], rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		callers.Go(func() {
			client := &http.Client{Timeout: plainLimit, Transport: &http.Transport{}}
			address := ""
			for fault.Sleep(ctx, plainPause) == nil {
				if known := host.addresses(ctx, own); address == "" && len(known) > 0 {
					address = known[own.IntN(len(known))]
				}
				if address == "" || p.send(client, address, []string{"/safe/", "/unsafe/"}[own.IntN(2)], nextID()) {
					continue
				}
				client.CloseIdleConnections()
				address = ""
			}
			client.CloseIdleConnections()
		})
	}
	callers.Wait()
}

// send sends a request and reports whether it got the whole response of a server.
func (p *plainCallers) send(client *http.Client, address, path, id string) bool {
	body := "order " + id
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path+"call", strings.NewReader(body))
	if err != nil {
		panic(err) // the address is that of a node
	}
	req.Host = streamHost
	req.Header.Set(platform.HeaderRequestID, id)
	req.Header.Set(platform.HeaderDeadline, fmt.Sprint(plainLimit.Milliseconds()))
	resp, err := client.Do(req)
	if err != nil {
		p.add(path+" no response", "")
		return false
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	outcome := fmt.Sprint(path, " ", resp.StatusCode)
	switch {
	case err != nil:
		p.add(outcome+" broken off", "")
	case resp.StatusCode != http.StatusOK:
		p.add(outcome, "")
	case string(text) != modelserver.PlainResponse(id, []byte(body)) || resp.Header.Get(platform.HeaderStamp) == "":
		p.add(outcome, fmt.Sprintf("%s %s at %s: stamp %q, body %q", path, id, address, resp.Header.Get(platform.HeaderStamp), text))
	default:
		p.add(outcome, "")
		return true
	}
	return false
}

func (p *plainCallers) add(outcome, wrong string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcomes[outcome]++
	if wrong != "" {
		p.wrong = append(p.wrong, wrong)
	}
}
