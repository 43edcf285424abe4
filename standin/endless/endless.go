// Package endless is a stand-in for an HTTP server in trouble: its responses do not
// end until the client closes the connection. A client without any limit is spared
// after GiveUpBytes.
package endless

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Server answers each request with Start, followed by Unit without end.
type Server struct {
	Name  string
	Start string
	Unit  string
	Pause time.Duration // pause after each write

	open   atomic.Int64
	gaveUp atomic.Bool
}

// GiveUpBytes is how much of a response a client may read. It is more than any
// client's limit.
const GiveUpBytes = 192 << 20

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	s.open.Add(1)
	defer s.open.Add(-1)
	sent := 0
	for block := s.Start; err == nil; block = s.Unit {
		var n int
		n, err = io.WriteString(conn, block)
		if sent += n; sent > GiveUpBytes {
			s.gaveUp.Store(true)
			return
		}
		time.Sleep(s.Pause)
	}
}

// GaveUp reports whether a client read more than GiveUpBytes of a response.
func (s *Server) GaveUp() bool { return s.gaveUp.Load() }

// Open returns the number of responses whose connection is open.
func (s *Server) Open() int { return int(s.open.Load()) }

// StatusOK is the status line of a successful response.
const StatusOK = "HTTP/1.1 200 OK\r\n"

// Sizes and pace of the servers that Servers returns.
const (
	fastBytes = 64 << 10              // size of a write of a fast server's body
	slowBytes = 50                    // maximum size of a write of a slow server
	slowPause = 10 * time.Millisecond // pause of a slow server
)

// Servers returns servers with endless heads and bodies, fast and slow ones.
func Servers() []*Server {
	xs := strings.Repeat("x", fastBytes)
	var all []*Server
	for _, s := range []struct{ name, start, unit string }{
		{"header lines", StatusOK, "X-More: 1\r\n"},
		{"one header line", StatusOK + "X-More: ", xs},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"},
		{"huge length", StatusOK + "Content-Length: 4611686018427387904\r\n\r\n", xs},
		{"chunks", StatusOK + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", fastBytes, xs)},
		{"until close", StatusOK + "\r\n", xs},
		{"error", "HTTP/1.1 500 Internal Server Error\r\n\r\n", xs},
		{"valid text", StatusOK + "\r\n{", strings.Repeat(" ", fastBytes)},
	} {
		all = append(all,
			&Server{Name: s.name, Start: s.start, Unit: s.unit},
			&Server{Name: s.name + ", slow", Start: s.start, Unit: s.unit[:min(len(s.unit), slowBytes)], Pause: slowPause})
	}
	return append(all, &Server{
		Name:  "switched protocols, slow",
		Start: "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n",
		Unit:  "x",
		Pause: slowPause,
	})
}
