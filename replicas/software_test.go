package replicas_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/replicas"
)

// TestSoftwareOfServersThatLeftIsRemembered guards against a service that seems to have had one
// version only because the servers of the other have left.
func TestSoftwareOfServersThatLeftIsRemembered(t *testing.T) {
	tab := replicas.NewTable()
	set := func(at time.Duration, e replicas.Entry) {
		e.Service, e.Slots = "llm", 1
		assert.Assert(t, tab.SetEntry(now.Add(at), e))
	}
	versions := func(at, span time.Duration) []string { return tab.Softwares(now.Add(at), "llm", span) }
	set(0, replicas.Entry{ID: "s1", Revision: 1, Start: 1, Software: "v1"})
	set(0, replicas.Entry{ID: "s2", Revision: 2, Start: 1, Software: "v2"})
	set(0, replicas.Entry{ID: "s3", Revision: 3, Start: 1, Software: "v3"})
	assert.DeepEqual(t, versions(0, 0), []string{"v1", "v2", "v3"})
	tab.Remove(now.Add(time.Second), "s1", 4)
	set(2*time.Second, replicas.Entry{ID: "s2", Revision: 5, Start: 2, Software: "v3"}) // the ID returns with another version
	assert.DeepEqual(t, versions(3*time.Second, 2*time.Second), []string{"v1", "v2", "v3"})
	assert.DeepEqual(t, versions(4*time.Second, 2*time.Second), []string{"v2", "v3"})
	assert.DeepEqual(t, versions(5*time.Second, 2*time.Second), []string{"v3"})
}

// TestStreamIsNotHeldForServersThatFailedIt guards against a stream that waits until its deadline
// although each server of its version has broken it off.
func TestStreamIsNotHeldForServersThatFailedIt(t *testing.T) {
	tab := replicas.NewTable()
	for i, software := range []string{"v1", "v2"} {
		tab.SetEntry(now, replicas.Entry{ID: software, Revision: uint64(i + 1), Start: 1, Service: "llm", Slots: 1, Software: software, Holds: []replicas.Holding{{Model: "m"}}})
	}
	v1 := "v1"
	req := replicas.Requirement{Service: "llm", Model: "m", Software: &v1}
	_, result := tab.Choose(now, req)
	assert.Equal(t, result, replicas.Chosen)
	req.Excluded = []replicas.Exclusion{{ID: "v1", Start: 1, Until: now.Add(time.Second)}}
	_, result = tab.Choose(now, req)
	assert.Equal(t, result, replicas.NoModel, "the server is tried again")
	req.Excluded = []replicas.Exclusion{{ID: "v1", Start: 1}}
	_, result = tab.Choose(now, req)
	assert.Equal(t, result, replicas.NoUsableServer)
}

// TestServerThatHasRestartedGoesOnWithNothing guards against streams that are sent, one after the
// other, to a server whose entry is known to describe an earlier start, and against an only version
// that its unknown one contradicts.
func TestServerThatHasRestartedGoesOnWithNothing(t *testing.T) {
	tab, v1 := replicas.NewTable(), "v1"
	e := replicas.Entry{ID: "s1", Revision: 1, Start: 1, Service: "llm", Slots: 1, Software: v1}
	assert.Assert(t, tab.SetEntry(now, e))
	choose := func(software *string) replicas.Result {
		_, result := tab.Choose(now, replicas.Requirement{Service: "llm", Software: software})
		return result
	}
	assert.Equal(t, choose(&v1), replicas.Chosen)
	tab.MarkRestarted(e)
	assert.Equal(t, choose(&v1), replicas.NoUsableServer)
	assert.Equal(t, choose(nil), replicas.Chosen)
	assert.DeepEqual(t, tab.Softwares(now, "llm", 0), []string{"", v1})
	e.Revision, e.Start = 2, 2
	assert.Assert(t, tab.SetEntry(now, e))
	assert.Equal(t, choose(&v1), replicas.Chosen)
	assert.DeepEqual(t, tab.Softwares(now, "llm", 0), []string{v1})
}
