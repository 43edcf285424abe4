package front_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/platform"
)

// takeUpPrefix begins the IDs of requests that take a stream up.
const takeUpPrefix = "again-"

// breaking is a handler that breaks each new stream off after event 3 and goes on only with one
// that its caller takes up.
func breaking(rw http.ResponseWriter, r *http.Request) {
	switch {
	case r.Header.Get(platform.HeaderLastEventID) == "":
		writeEvents(rw, 1, 3, true)
	case strings.HasPrefix(r.Header.Get(platform.HeaderRequestID), takeUpPrefix):
		writeEvents(rw, 4, 6, false)
	default:
		panic(http.ErrAbortHandler)
	}
}

// versionedServer starts a backend server of the service llm with the version of its software.
func (c *cluster) versionedServer(id, software string) *backendServer {
	b := c.backendServer(id, "llm", breaking)
	b.software = software
	c.register(b, "llm", "ready")
	return b
}

// connected waits until the nodes know each other.
func (c *cluster) connected(nodes int) {
	c.eventually(func() bool { return strings.Count(c.text(), "event=peer ") >= nodes*(nodes-1) })
}

// takeUp takes up the stream of a request at the node, after event 3.
func (c *cluster) takeUp(n *node, id, resumes string) response {
	return c.call(n, http.MethodPost, "/proof/x", takeUpPrefix+id, platform.HeaderModel, "m", platform.HeaderLastEventID, "3", "Resumes", resumes)
}

// TestStreamTakenUpElsewhereKeepsItsSoftwareVersion guards against streams that go on at another
// node with events of another software version (ORDER), also if their first node is gone.
func TestStreamTakenUpElsewhereKeepsItsSoftwareVersion(t *testing.T) {
	c := newCluster(t)
	c.versionedServer("s1", "v1")
	c.versionedServer("s2", "v2")
	c.versionedServer("s3", "v2")
	port := freePort(t, "127.0.0.2")
	first, second, third := c.node("127.0.0.2", port), c.node("127.0.0.3", port), c.node("127.0.0.4", port)
	c.connected(3)
	const streams = 12
	began := map[string]string{}
	for i := range streams {
		id := fmt.Sprintf("r%d", i)
		got := c.call(first, http.MethodPost, "/proof/x", id, platform.HeaderModel, "m")
		assert.Equal(t, got.body, eventText(1, 3))
		began[id] = got.header.Get(platform.HeaderStamp)
	}
	first.stop()
	assert.NilError(t, <-first.done)
	versions := map[string]string{"stamp-s1": "v1", "stamp-s2": "v2", "stamp-s3": "v2"}
	wentOn := 0
	for id, stamp := range began {
		for i, n := range []*node{second, third, second} {
			got := c.takeUp(n, fmt.Sprintf("%s-%d", id, i), id)
			if got.status == http.StatusOK {
				wentOn++
				assert.Equal(t, got.body, eventText(4, 6))
				assert.Equal(t, versions[got.header.Get(platform.HeaderStamp)], versions[stamp], id)
			}
		}
	}
	assert.Equal(t, wentOn, 3*streams)
}

// TestUnknownStreamIsRefusedWhereVersionsDiffer guards against a node that guesses the version of
// a stream of which nobody has a record.
func TestUnknownStreamIsRefusedWhereVersionsDiffer(t *testing.T) {
	c := newCluster(t)
	servers := []*backendServer{c.versionedServer("s1", "v1"), c.versionedServer("s2", "v2")}
	port := freePort(t, "127.0.0.2")
	n, _ := c.node("127.0.0.2", port), c.node("127.0.0.3", port)
	c.connected(2)
	for i, header := range [][]string{{"Resumes", "never-seen"}, nil} {
		got := c.call(n, http.MethodPost, "/proof/x", fmt.Sprintf("r%d", i), append(header, platform.HeaderModel, "m", platform.HeaderLastEventID, "3")...)
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Equal(t, got.header.Get("Retry-After"), "")
	}
	assert.Equal(t, servers[0].count()+servers[1].count(), 0)
}

// TestStreamOfServersWithoutVersionIsNotTakenUp guards against the assumption that servers which
// name no version run the same one.
func TestStreamOfServersWithoutVersionIsNotTakenUp(t *testing.T) {
	c := newCluster(t)
	c.versionedServer("s1", "")
	c.versionedServer("s2", "")
	n := c.node("127.0.0.1", 0)
	assert.Equal(t, c.call(n, http.MethodPost, "/proof/x", "r1", platform.HeaderModel, "m").body, eventText(1, 3))
	assert.Equal(t, c.takeUp(n, "r2", "r1").status, http.StatusServiceUnavailable)
}

// TestResumesIsCheckedAndNotPassedOn guards against a header for the node that reaches a server,
// and against one that no request of a node can have had.
func TestResumesIsCheckedAndNotPassedOn(t *testing.T) {
	c := newCluster(t)
	b := c.versionedServer("s1", "v1")
	n := c.node("127.0.0.1", 0)
	assert.Equal(t, c.call(n, http.MethodPost, "/proof/x", "r1", platform.HeaderModel, "m", "Resumes", "r0").status, http.StatusOK)
	assert.Equal(t, b.requests[0].Header.Get("Resumes"), "")
	for _, bad := range []string{strings.Repeat("x", 257), "a b", "caf\u00e9"} {
		assert.Equal(t, c.takeUp(n, "r2", bad).status, http.StatusBadRequest, bad)
	}
}

// TestRequestLineTellsEventsAndServerStart guards against logs that do not show where a stream that
// was taken up went on, and at which start and version of a server.
func TestRequestLineTellsEventsAndServerStart(t *testing.T) {
	c := newCluster(t)
	c.versionedServer("s1", "v1")
	n := c.node("127.0.0.1", 0)
	assert.Equal(t, c.call(n, http.MethodPost, "/proof/x", "r1", platform.HeaderModel, "m").body, eventText(1, 3))
	assert.Equal(t, c.takeUp(n, "r2", "r1").body, eventText(4, 6))
	for _, want := range []string{"after_event= first_event=1 last_event=3", "after_event=3 first_event=4 last_event=6", "server=s1 start=1700000000000 software=v1 sends="} {
		c.eventually(func() bool { return strings.Contains(c.text(), want) })
	}
	assert.Assert(t, strings.Contains(c.text(), "event=server server=s1 service=llm draining=false software=v1 "))
}
