package wire

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"
)

// Network opens and accepts connections.
type Network interface {
	// Listen opens a port of this process.
	Listen(at netip.AddrPort) (net.Listener, error)
	// Dial connects to another process.
	Dial(ctx context.Context, to netip.AddrPort) (net.Conn, error)
}

// TCPNetwork is the network of the operating system.
type TCPNetwork struct{}

// Listen opens a TCP port.
func (TCPNetwork) Listen(at netip.AddrPort) (net.Listener, error) {
	return net.Listen("tcp", at.String())
}

// Dial connects by TCP.
func (TCPNetwork) Dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", to.String())
}

// abandonedTime is how long a connection stays that came after who asked for it had
// given up: nobody uses it, and the client would keep it for good. Greetings are given
// up after less than a second.
const abandonedTime = 2 * time.Second

// clientOf gives a client whose connections run over a network.
func clientOf(n Network) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
				to, err := netip.ParseAddrPort(address)
				if err != nil {
					return nil, err
				}
				return n.Dial(ctx, to)
			},
			IdleConnTimeout: abandonedTime,
		},
	}
}
