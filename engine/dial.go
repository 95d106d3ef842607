package engine

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// keepAliveInterval is the idle time before the first keep-alive probe and the time between
	// two probes, of which the kernel counts whole seconds.
	keepAliveInterval = time.Second
	// keepAliveProbes is the number of unanswered probes after which a connection is given up.
	// Links that lose packets lose several in a row.
	keepAliveProbes = 4
	// ackTimeout is how long the peer's kernel may leave sent bytes unacknowledged, as after a
	// network failure. On Linux it also decides when keep-alive probes give up, whatever their
	// number, and thus has to leave time for all.
	ackTimeout = (keepAliveProbes + 1) * keepAliveInterval
	// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall lacks.
	tcpUserTimeout = 18
)

// DialFunc opens a connection to an endpoint.
type DialFunc func(ctx context.Context, to netip.AddrPort) (net.Conn, error)

// Dial opens a TCP connection to an endpoint that fails within ackTimeout after the path is lost.
func Dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	d := newDialer()
	return d.DialContext(ctx, "tcp", to.String())
}

// DialFrom returns a Dial whose connections have the given local address.
func DialFrom(source netip.Addr) DialFunc {
	return func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		d := newDialer()
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))
		return d.DialContext(ctx, "tcp", to.String())
	}
}

func newDialer() net.Dialer {
	return net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveInterval,
			Interval: keepAliveInterval,
			Count:    keepAliveProbes,
		},
		Control: setAckTimeout,
	}
}

// setAckTimeout sets TCP_USER_TIMEOUT.
func setAckTimeout(_, _ string, c syscall.RawConn) error {
	var failure error
	err := c.Control(func(fd uintptr) {
		failure = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(ackTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return errors.Wrap(failure, "set TCP_USER_TIMEOUT")
}
