package membership_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/membership"
)

// Two nodes discover each other through seeds. The caller delivers their
// datagrams: here through a map of cores, in a daemon through membership/udp.
func Example() {
	now := time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)
	secret := []byte("shared by all nodes")
	cores := make(map[string]*membership.Core)
	addresses := []string{"192.0.2.21:8081", "192.0.2.22:8081"}
	for i, address := range addresses {
		self := membership.Member{
			ID:          fleet.NodeID(fmt.Sprintf("entry-%d", i+1)),
			Incarnation: membership.NewIncarnation(now),
			Zone:        "zone-1",
			GossipAddr:  address,
		}
		core, err := membership.New(now, self, membership.DefaultSettings(), secret, rand.New(rand.NewPCG(1, uint64(i))))
		if err != nil {
			fmt.Println(err)
			return
		}
		core.SetSeeds(addresses)
		cores[address] = core
	}
	var deliver func(effects membership.Effects)
	deliver = func(effects membership.Effects) {
		for _, packet := range effects.Packets {
			deliver(cores[packet.Addr].Receive(now, packet.Data))
		}
	}
	for range 50 {
		now = now.Add(membership.TickInterval)
		for _, address := range addresses {
			deliver(cores[address].Tick(now))
		}
	}
	first := cores[addresses[0]]
	for _, member := range first.Members() {
		fmt.Println(member.ID, member.State)
	}
	fmt.Println("may act:", first.Awake(now))
	// Output:
	// entry-1 alive
	// entry-2 alive
	// may act: true
}
