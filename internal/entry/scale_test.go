package entry

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/fleet"
)

func TestChooseAddressesLimitsCountAndIncludesOtherZones(t *testing.T) {
	for _, tc := range []struct{ members, near, far int }{
		{members: 8, near: 1, far: 7},
		{members: 80, near: 8, far: 8},
		{members: 780, near: 12, far: 4},
	} {
		chosen := chooseAddresses(manyAddresses(tc.members), "z0", "caller")
		assert.Equal(t, len(chosen), tc.near+tc.far)
		for i, a := range chosen {
			assert.Equal(t, a.Zone == "z0", i < tc.near, "%d members, index %d", tc.members, i)
		}
	}
}

func TestChooseAddressesSpreadsCallers(t *testing.T) {
	const callers = 2000
	nodes := manyAddresses(80)
	first := map[fleet.NodeID]int{}
	for i := range callers {
		first[chooseAddresses(nodes, "z0", fmt.Sprint("caller-", i))[0].Node]++
	}
	assert.Equal(t, len(first), 8, "each node of the zone is the first address of some caller")
	for node, n := range first {
		assert.Assert(t, n > callers/16 && n < callers/4, "%s is the first address of %d of %d callers", node, n, callers)
	}
	again := chooseAddresses(nodes, "z0", "caller-1")
	assert.DeepEqual(t, chooseAddresses(nodes, "z0", "caller-1"), again)
}

// BenchmarkScaleAddresses reports the time and size of one response of
// GET /v1/entry by the number of entry nodes.
func BenchmarkScaleAddresses(b *testing.B) {
	for _, members := range []int{8, 80, 780} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			nodes := manyAddresses(members)
			h := New(Config{Zone: "z0", EntryTTL: 5 * time.Second, Addresses: func() []Address { return nodes }})
			req := httptest.NewRequest(http.MethodGet, "/v1/entry", nil)
			size := 0
			for b.Loop() {
				w := httptest.NewRecorder()
				h.serveEntry(w, req)
				size = w.Body.Len()
			}
			b.ReportMetric(float64(size), "answer-B")
		})
	}
}

// manyAddresses returns the addresses of n nodes in ten availability zones.
func manyAddresses(n int) []Address {
	nodes := make([]Address, n)
	for i := range nodes {
		nodes[i] = Address{
			Node:    fleet.NodeID(fmt.Sprintf("entry-%04d", i)),
			Address: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250),
			Zone:    fleet.AvailabilityZone(fmt.Sprint("z", i%10)),
		}
	}
	return nodes
}
