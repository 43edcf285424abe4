// Package udp carries the datagrams of package membership over a packet
// connection. It adds no logic: lost datagrams are the core's matter.
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

// Listen opens a UDP socket at the address, host:port with an IP number.
func Listen(addr string) (*Transport, error) {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, fmt.Errorf("gossip address: %w", err)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, fmt.Errorf("listen for gossip: %w", err)
	}
	return New(conn), nil
}

// New returns a transport over the connection, which it closes in Run.
func New(conn net.PacketConn) *Transport { return &Transport{conn: conn} }

// Addr returns the local address, host:port.
func (t *Transport) Addr() string { return t.conn.LocalAddr().String() }

// Send sends the datagrams. It tries all of them and returns the faults joined.
func (t *Transport) Send(packets []membership.Outgoing) error {
	var errs []error
	for _, p := range packets {
		to, err := netip.ParseAddrPort(p.Addr)
		if err != nil {
			errs = append(errs, fmt.Errorf("gossip address %q of a member: %w", p.Addr, err))
			continue
		}
		if _, err := t.conn.WriteTo(p.Data, net.UDPAddrFromAddrPort(to)); err != nil {
			errs = append(errs, fmt.Errorf("send gossip: %w", err))
		}
	}
	return errors.Join(errs...)
}

// Run passes each datagram received to handle until the context ends, then
// closes the connection. The data is only valid during the call.
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
