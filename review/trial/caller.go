package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/redwingnotch/redwingnotch/platform"
)

// answer is how one request of a caller ended.
type answer struct {
	id     string
	node   *node
	sent   time.Time // when its last byte was sent
	ended  time.Time
	status int    // zero without a complete answer
	body   string // of the answer
	stamp  string
	err    error // why there is no complete answer
}

// gaveUp reports whether the caller has stopped waiting.
func (a answer) gaveUp() bool { return os.IsTimeout(a.err) }

// call is a request of a caller.
type call struct {
	method, path, host, id string
	headers                map[string]string
	limit                  time.Duration // the caller's time limit
}

// callerSlack is the time beyond its limit for which a caller waits for the rest of an answer.
const callerSlack = 500 * time.Millisecond

// send sends the request to the node on a connection of its own and reads the answer. It returns an
// error only if the connection could not be made.
func send(n *node, c call) (answer, error) {
	conn, err := net.DialTimeout("tcp", n.callers, time.Second)
	if err != nil {
		return answer{}, err
	}
	defer conn.Close()
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", c.method, c.path, c.host,
		platform.HeaderRequestID, c.id, platform.HeaderDeadline, c.limit.Milliseconds())
	for name, value := range c.headers {
		text += name + ": " + value + "\r\n"
	}
	if c.method == http.MethodPost {
		text += "Content-Length: 0\r\n"
	}
	if _, err := io.WriteString(conn, text+"\r\n"); err != nil {
		return answer{}, err
	}
	a := answer{id: c.id, node: n, sent: time.Now()}
	_ = conn.SetReadDeadline(a.sent.Add(c.limit + callerSlack)) // fails only on a closed connection
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: c.method})
	if err != nil {
		a.ended, a.err = time.Now(), err
		return a, nil
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	a.ended, a.body, a.stamp, a.err = time.Now(), string(body), resp.Header.Get(platform.HeaderStamp), err
	if err == nil {
		a.status = resp.StatusCode
	}
	return a, nil
}
