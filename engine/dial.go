package engine

import (
	"context"
	"net"
	"net/netip"
)

// DialFunc opens a connection to an endpoint.
type DialFunc func(ctx context.Context, to netip.AddrPort) (net.Conn, error)

// Dial opens a TCP connection to an endpoint.
func Dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", to.String())
}
