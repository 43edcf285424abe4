package httpsend

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// TCP settings by which the kernel detects an unreachable peer.
const (
	keepAliveIdle     = 5 * time.Second // time without traffic before the first probe
	keepAliveInterval = 2 * time.Second // time between probes
	keepAliveCount    = 3               // unanswered probes before the connection is closed
	userTimeout       = 5 * time.Second // longest time that sent data may stay unacknowledged
)

// DialTCP opens a TCP connection with keepalive and a user timeout, so that the
// kernel detects its loss. It is the default of Options.Dial.
func DialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: setUserTimeout,
	}
	return dialer.DialContext(ctx, network, address)
}

// setUserTimeout sets the user timeout of a socket that is being opened.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return SetUserTimeout(raw, userTimeout)
}

// SetUserTimeout sets TCP_USER_TIMEOUT: the kernel discards what it has sent and closes
// the connection once data has been unacknowledged for this time, also while this
// process is suspended. Times below a millisecond count as one.
func SetUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(max(1, timeout.Milliseconds())))
	})
	if err != nil {
		return err
	}
	return setErr
}
