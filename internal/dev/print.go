package dev

import (
	"fmt"
	"io"
	"strings"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/internal/entry"
)

// PrintAddresses writes the listen addresses of the nodes and stand-ins, and
// example calls.
func (d *Deployment) PrintAddresses(out io.Writer) {
	fmt.Fprintf(out, "object API and VM list  http://%s\n", d.apiAddress)
	for _, n := range d.Nodes() {
		fmt.Fprintf(out, "%-22s  http://%s\n", n.ID(), n.CallerAddress())
	}
	for _, record := range d.vmRecords() {
		fmt.Fprintf(out, "%-22s  http://%s\n", record.Backend.ID, record.Backend.Address)
	}
	address := d.Nodes()[0].CallerAddress()
	fmt.Fprintln(out, "\nTry:")
	fmt.Fprintf(out, "  curl http://%s/v1/entry\n", address)
	fmt.Fprintf(out, "  curl -iN http://%s/v1/chat/completions -H '%s: %s' -d '%s'\n", address, entry.HeaderRank, fleet.RankUrgent,
		`{"model":"`+string(ModelLathe)+`","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"collar wobbles"}]}`)
	fmt.Fprintf(out, "  curl http://%s/v1/services/%s/orders -H '%s: order-1' -d 'one spindle'\n", address, OrderingService, entry.HeaderIdempotencyKey)
	d.printOperatorCommands(out)
}

// printOperatorCommands writes example commands of rwnctl.
func (d *Deployment) printOperatorCommands(out io.Writer) {
	var nodes []string
	for _, n := range d.Nodes() {
		nodes = append(nodes, n.AdminAddress)
	}
	const rwnctl = "go run ./cmd/rwnctl"
	fmt.Fprintf(out, "  export REDWINGNOTCH_PLATFORM_URL=http://%s REDWINGNOTCH_ADMIN_NODES=%s REDWINGNOTCH_OPERATOR=${USER:-me}\n",
		d.apiAddress, strings.Join(nodes, ","))
	fmt.Fprintf(out, "  %s status\n", rwnctl)
	fmt.Fprintf(out, "  %s explain REQUEST-ID    # header %s of the chat response above\n", rwnctl, entry.HeaderRequestID)
	fmt.Fprintf(out, "  %s withdraw %s\n", rwnctl, ModelOld)
	fmt.Fprintf(out, "  %s audit\n\n", rwnctl)
}
