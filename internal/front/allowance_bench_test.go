package front

import (
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/redwingnotch/redwingnotch/allowance"
)

// BenchmarkAllowanceDatagram measures the bytes of a query and its grant, and the time to encode and
// decode both.
func BenchmarkAllowanceDatagram(b *testing.B) {
	q := allowance.Message{Team: "team-of-usual-length", Query: &allowance.Query{Key: 1_790_000_000_000_000_000, Needs: []int64{9190}, Ahead: 1200, Stock: 300}}
	g := allowance.Message{Team: "team-of-usual-length", Grant: &allowance.Grant{Key: 1_790_000_000_000_000_000, Epoch: 1_790_000_000_000_000_000, Admitted: 1, Ahead: 1200, Wait: time.Millisecond}}
	bytes := 0
	for b.Loop() {
		bytes = 0
		for _, m := range []allowance.Message{q, g} {
			encoded := encodeAllowance(net.IPv4(10, 120, 130, 140).String(), m)
			data, err := json.Marshal(allowanceDatagram{&encoded})
			if err != nil {
				b.Fatal(err)
			}
			var d allowanceDatagram
			if err := json.Unmarshal(data, &d); err != nil {
				b.Fatal(err)
			}
			d.Allowance.decode()
			bytes += len(data)
		}
	}
	b.ReportMetric(float64(bytes), "bytes")
}
