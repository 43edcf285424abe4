package rwnctl_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/admin"
	"github.com/redwingnotch/redwingnotch/internal/rwnctl"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/standin/objectapi"
)

// now is the time of each run.
var now = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// tool runs rwnctl with the given object API and standard input.
type tool struct {
	t     *testing.T
	store platform.Store
	in    string
}

// result holds the exit code and output of one run.
type result struct {
	code     int
	out, err string
}

func (c tool) run(args ...string) result {
	var out, errOut bytes.Buffer
	env := rwnctl.Env{
		In: strings.NewReader(c.in), Out: &out, Err: &errOut, Now: func() time.Time { return now },
		OpenStore: func(string) platform.Store { return c.store },
	}
	code := rwnctl.Run(context.Background(), args, env)
	return result{code, out.String(), errOut.String()}
}

// changeFlags are the flags that commands which change the release require.
var changeFlags = []string{"--platform-url", "http://platform", "--operator", "ana"}

// withFlags returns changeFlags followed by args.
func withFlags(args ...string) []string { return append(append([]string{}, changeFlags...), args...) }

func TestCheckReportsPositionOfEachFinding(t *testing.T) {
	got := tool{t: t}.run("check", "testdata/three-faults.yaml")
	assert.Equal(t, got.code, rwnctl.ExitRefused)
	assert.Equal(t, got.out, "")
	assert.Equal(t, got.err, `testdata/three-faults.yaml:6:13: models[0].memory: "14 gigabytes" is not a size, want such as 14GiB or 200MiB
testdata/three-faults.yaml:8:12: models[0].slots: 0 is out of range, want 1 to 4096
testdata/three-faults.yaml:9:5: models[0].slot_time: unknown field
rwnctl: 3 findings, nothing applied
`)
	got = tool{t: t}.run("--output", "json", "check", "testdata/three-faults.yaml")
	var f struct{ Findings []struct{ Line, Column int } }
	assert.NilError(t, json.Unmarshal([]byte(got.err), &f))
	assert.Equal(t, len(f.Findings), 3)
	assert.Equal(t, f.Findings[2].Line, 9)
}

func TestApplyWithdrawAndAudit(t *testing.T) {
	c := tool{t: t, store: objectapi.New()}
	got := c.run(withFlags("check", "testdata/good.yaml")...)
	assert.Equal(t, got.out, "testdata/good.yaml: no findings against version 0 in force\n")
	got = c.run(withFlags("apply", "testdata/good.yaml")...)
	assert.Equal(t, got.code, rwnctl.ExitOK, got.err)
	assert.Assert(t, strings.HasPrefix(got.out, "accepted as version 1"), got.out)
	got = c.run(withFlags("apply", "testdata/good.yaml")...)
	assert.Equal(t, got.code, rwnctl.ExitOK)
	assert.Equal(t, got.out, "nothing to change: all of it is in force already\n")
	got = c.run(withFlags("withdraw", "lathe-diagnosis+collar")...)
	assert.Equal(t, got.code, rwnctl.ExitOK, got.err)
	got = c.run(withFlags("withdraw", "nothing")...)
	assert.Equal(t, got.code, rwnctl.ExitRefused)
	assert.Assert(t, strings.Contains(got.err, `unknown model "nothing"`), got.err)

	got = c.run(withFlags("audit")...)
	assert.Equal(t, got.code, rwnctl.ExitOK)
	for _, want := range []string{
		"2026-03-01T12:00:00Z  ana  apply     1        accepted  collar diagnosis",
		"model lathe-diagnosis: none -> v3 {sk-central: 2}",
		"adapter lathe-diagnosis+collar withdraw: in service -> withdrawn",
		"ana  withdraw  0        refused",
	} {
		assert.Assert(t, strings.Contains(got.out, want), "%s\nlacks %s", got.out, want)
	}
}

func TestApplyReportsConflictingChange(t *testing.T) {
	c := tool{t: t, store: objectapi.New()}
	assert.Equal(t, c.run(withFlags("apply", "testdata/good.yaml")...).code, rwnctl.ExitOK)
	c.in = "based_on: 1\nadapters: [{model: lathe-diagnosis, id: collar, version: v2, memory: 200MiB}]\n"
	assert.Equal(t, c.run("--platform-url", "x", "--operator", "bo", "apply", "-").code, rwnctl.ExitOK)
	c.in = strings.Replace(c.in, "v2", "v3", 1)
	got := c.run(withFlags("apply", "-")...)
	assert.Equal(t, got.code, rwnctl.ExitRefused)
	want := "2:49: adapter lathe-diagnosis+collar, version: this note says v3, version 2 by bo says v2"
	assert.Assert(t, strings.Contains(got.err, want), got.err)
}

func TestOutageExitsWithUnavailable(t *testing.T) {
	store := objectapi.New()
	store.Faults.SetOutage(true)
	c := tool{t: t, store: store}
	got := c.run(withFlags("apply", "testdata/good.yaml")...)
	assert.Equal(t, got.code, rwnctl.ExitUnavailable)
	assert.Assert(t, strings.Contains(got.err, "the note was not accepted"), got.err)
	assert.Equal(t, c.run(withFlags("audit")...).code, rwnctl.ExitUnavailable)
}

// outageAfterPut carries out the first write, then returns ErrUnknown for it and
// starts an outage.
type outageAfterPut struct{ *objectapi.API }

func (s outageAfterPut) Put(ctx context.Context, kind platform.Kind, name string, value []byte, expect uint64, writer string) (uint64, error) {
	_, _ = s.API.Put(ctx, kind, name, value, expect, writer)
	s.Faults.SetOutage(true)
	return 0, platform.ErrUnknown
}

func TestSettleResolvesUnknownOutcome(t *testing.T) {
	api := objectapi.New()
	got := tool{t: t, store: outageAfterPut{api}}.run(withFlags("--output", "json", "apply", "testdata/good.yaml")...)
	assert.Equal(t, got.code, rwnctl.ExitUnknown)
	var f struct{ ID string }
	body := got.err[strings.Index(got.err, "{"):]
	assert.NilError(t, json.Unmarshal([]byte(body), &f), got.err)
	api.Faults.SetOutage(false)
	got = tool{t: t, store: api}.run(withFlags("settle", f.ID)...)
	assert.Equal(t, got.code, rwnctl.ExitOK)
	assert.Assert(t, strings.HasPrefix(got.out, "accepted as version 1"))
	assert.Equal(t, tool{t: t, store: api}.run(withFlags("settle", "x")...).code, rwnctl.ExitUsage)
}

// serveAdmin serves the admin API of one node and returns its address.
func serveAdmin(t *testing.T) string {
	status := admin.Status{
		Node:    "entry-1",
		Release: admin.Release{Version: 4, Since: now.Add(-time.Minute), SyncState: "current"},
		Members: []admin.Member{
			{Node: "entry-1", Zone: "a", State: "alive", ReleaseVersion: 4},
			{Node: "entry-2", Zone: "b", State: "alive", ReleaseVersion: 3, LastContact: now.Add(-2 * time.Second)},
			{Node: "entry-3", Zone: "b", State: "dead", ReleaseVersion: 2, LastContact: now.Add(-time.Hour)},
		},
		Cells: []admin.Cell{{Cell: "sk-central", Controller: "entry-2", Epoch: 7}},
	}
	explained := admin.Explanation{RequestID: "r1", Node: "entry-1", Outcome: "not_run", Code: "overload", Reason: "deadline can't be met"}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case admin.PathStatus:
			_ = json.NewEncoder(w).Encode(status)
		case admin.PathExplain + "r1":
			_ = json.NewEncoder(w).Encode(explained)
		default:
			w.WriteHeader(http.StatusNotFound)
			_ = json.NewEncoder(w).Encode(admin.ErrorResponse{Code: "unknown_request", Detail: "no such request"})
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestStatusShowsVersionOfEachNode(t *testing.T) {
	c := tool{t: t, store: objectapi.New()}
	address := serveAdmin(t)
	got := c.run("--nodes", address, "status")
	assert.Equal(t, got.code, rwnctl.ExitOK, got.err)
	for _, want := range []string{
		"accepted: not known, platform: not asked",
		"version 4 is in force at 1 of 2 live nodes",
		"entry-1  a     alive  4        0s ago      2026-03-01T11:59:00Z  current",
		"entry-2  b     alive  3        2s ago      -                     -",
		"sk-central  entry-2     7",
	} {
		assert.Assert(t, strings.Contains(got.out, want), "%s\nlacks %s", got.out, want)
	}
	got = c.run("--nodes", "127.0.0.1:1", "status")
	assert.Equal(t, got.code, rwnctl.ExitUnavailable)
	got = c.run("--nodes", "127.0.0.1:1", "--platform-url", "x", "status")
	assert.Equal(t, got.code, rwnctl.ExitOK, "the platform alone is enough")
	assert.Assert(t, strings.Contains(got.out, "status not read: node unreachable"), got.out)
	assert.Assert(t, strings.Contains(got.out, "it is not known where the version is in force"), got.out)
}

func TestExplain(t *testing.T) {
	address := serveAdmin(t)
	got := tool{t: t}.run("--nodes", "127.0.0.1:1,"+address, "explain", "r1")
	assert.Equal(t, got.code, rwnctl.ExitOK, got.err)
	assert.Assert(t, strings.Contains(got.out, "deadline can't be met"))
	got = tool{t: t}.run("--nodes", address, "explain", "r2")
	assert.Equal(t, got.code, rwnctl.ExitRefused)
	got = tool{t: t}.run("--nodes", "127.0.0.1:1", "explain", "r2")
	assert.Equal(t, got.code, rwnctl.ExitUnavailable)
}

func TestUsageErrorsAreReportedTogether(t *testing.T) {
	got := tool{t: t}.run("--output", "xml", "--timeout", "-1s", "apply", "f")
	assert.Equal(t, got.code, rwnctl.ExitUsage)
	for _, want := range []string{"--output", "--timeout", "--platform-url", "--operator"} {
		assert.Assert(t, strings.Contains(got.err, want), got.err)
	}
	assert.Equal(t, tool{t: t}.run().code, rwnctl.ExitUsage)
	assert.Equal(t, tool{t: t}.run("check", "no-such-file").code, rwnctl.ExitUsage)
	got = tool{t: t}.run("--help")
	assert.Equal(t, got.code, rwnctl.ExitOK)
	assert.Assert(t, strings.Contains(got.out, "Exit codes"), got.out)
}
