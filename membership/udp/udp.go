// Package udp sends and receives the datagrams of package membership over a
// packet connection. It does not retransmit: membership.Core tolerates lost
// datagrams.
package udp

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"

	"github.com/redwingnotch/redwingnotch/membership"
)

// Transport sends and receives datagrams. Its methods are safe for concurrent
// use.
type Transport struct {
	conn net.PacketConn
}

// Listen opens a UDP socket at the address host:port, where host is an IP
// address.
func Listen(addr string) (*Transport, error) {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, fmt.Errorf("parse gossip address: %w", err)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, fmt.Errorf("listen for gossip: %w", err)
	}
	return New(conn), nil
}

// New returns a transport over the connection. Run closes the connection.
func New(conn net.PacketConn) *Transport { return &Transport{conn: conn} }

// Addr returns the local address as host:port.
func (t *Transport) Addr() string { return t.conn.LocalAddr().String() }

// Send sends the datagrams. It tries all of them and returns their errors joined.
func (t *Transport) Send(packets []membership.Datagram) error {
	var errs []error
	for _, p := range packets {
		to, err := netip.ParseAddrPort(p.Addr)
		if err != nil {
			errs = append(errs, fmt.Errorf("parse gossip address %q of a member: %w", p.Addr, err))
			continue
		}
		if _, err := t.conn.WriteTo(p.Data, net.UDPAddrFromAddrPort(to)); err != nil {
			errs = append(errs, fmt.Errorf("send gossip: %w", err))
		}
	}
	return errors.Join(errs...)
}

// Run calls handle with each received datagram until the context is done, then
// closes the connection and returns nil. The data is valid only during the call.
// Read errors other than of a closed connection are ignored.
func (t *Transport) Run(ctx context.Context, handle func(data []byte)) error {
	stop := context.AfterFunc(ctx, func() { t.conn.Close() })
	defer stop()
	buffer := make([]byte, membership.MaxPacketBytes+1)
	for {
		n, _, err := t.conn.ReadFrom(buffer)
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("receive gossip: %w", err)
		case err == nil:
			handle(buffer[:n])
		}
	}
}
