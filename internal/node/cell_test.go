package node

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/admission"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/lease"
	"github.com/redwingnotch/redwingnotch/quarantine"
)

// newTestCell returns the cell of a node that is not running.
func newTestCell() *cell {
	n := &Node{catalog: newCatalog(), cfg: Config{ID: "n1", Admission: admission.DefaultSettings(), Quarantine: quarantine.DefaultSettings(), Log: log.NewNopLogger()}}
	n.cell = newCell(n)
	return n.cell
}

// grant offers a request to the cell's queue, which has one ready replica, and returns
// the ID of its grant.
func grant(t *testing.T, c *cell, now time.Time, id string) string {
	t.Helper()
	replica := fleet.Replica{ReplicaKey: fleet.ReplicaKey{Backend: "b", Boot: "b-1", Model: "m", Version: "1"}, State: fleet.ReplicaReady, Slots: 1}
	c.queue.SetReplicas(now, []fleet.Replica{replica}, nil)
	d := c.queue.Offer(now, admission.Request{ID: id, Entry: "n1", Incarnation: 1, Target: fleet.Target{Model: "m"}, Caller: "c"})
	assert.Equal(t, d.Kind, admission.Grant)
	return d.Grant.ID
}

// TestSuspendedTermGoesOnWithNewGrantIDs: a term that was suspended, for example by a
// write of the lease with an unknown outcome, goes on with the same epoch. The end of
// a request granted before must not free the slot of another request granted since,
// nor clear its content of the suspicion to crash backend servers.
func TestSuspendedTermGoesOnWithNewGrantIDs(t *testing.T) {
	c := newTestCell()
	now := time.Unix(1000, 0)
	active := lease.Authority{Active: true, Epoch: 5}
	c.setAuthority(now, active)
	before := grant(t, c, now, "before")
	c.setAuthority(now, lease.Authority{Epoch: active.Epoch})
	c.setAuthority(now, active)
	assert.Assert(t, grant(t, c, now, "since") != before)
}

// TestSuspendedFirstTermHoldsSuspects: after a suspension of the first term, copies that
// were granted before may still run, so a suspect must not start beside them.
func TestSuspendedFirstTermHoldsSuspects(t *testing.T) {
	c := newTestCell()
	now := time.Unix(1000, 0)
	suspect := quarantine.Key{Model: "m", Hash: "content"}
	c.quarantine.RecordCrash(now, quarantine.CrashReport{Boot: "b-0", InFlight: []quarantine.Key{suspect}})
	first := lease.Authority{Active: true, Epoch: 1}
	c.setAuthority(now, first)
	assert.Assert(t, c.quarantine.MayStart(now, suspect, "b-1"))
	c.setAuthority(now, lease.Authority{Epoch: first.Epoch})
	c.setAuthority(now, first)
	assert.Assert(t, !c.quarantine.MayStart(now, suspect, "b-1"))
	assert.Assert(t, c.quarantine.MayStart(now.Add(suspectHold), suspect, "b-1"))
}
