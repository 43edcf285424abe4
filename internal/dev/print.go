package dev

import (
	"fmt"
	"io"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/internal/entry"
)

// PrintAddresses writes where everything listens, and calls to try.
func (d *Deployment) PrintAddresses(out io.Writer) {
	fmt.Fprintf(out, "object API and VM list  http://%s\n", d.apiAddress)
	for _, n := range d.Nodes() {
		fmt.Fprintf(out, "%-22s  http://%s\n", n.ID(), n.CallerAddress())
	}
	for _, record := range d.records() {
		fmt.Fprintf(out, "%-22s  http://%s\n", record.Backend.ID, record.Backend.Address)
	}
	address := d.Nodes()[0].CallerAddress()
	fmt.Fprintln(out, "\nTry:")
	fmt.Fprintf(out, "  curl http://%s/v1/entry\n", address)
	fmt.Fprintf(out, "  curl -N http://%s/v1/chat/completions -H '%s: %s' -d '%s'\n", address, entry.HeaderRank, fleet.RankUrgent,
		`{"model":"`+string(ModelLathe)+`","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"collar wobbles"}]}`)
	fmt.Fprintf(out, "  curl http://%s/v1/services/%s/orders -H '%s: order-1' -d 'one spindle'\n", address, Ordering, entry.HeaderKey)
	tool := fmt.Sprintf("go run ./cmd/rwnctl --platform-url http://%s --nodes %s", d.apiAddress, d.Nodes()[0].Admin)
	fmt.Fprintf(out, "  %s status\n", tool)
	fmt.Fprintf(out, "  %s audit\n\n", tool)
}
