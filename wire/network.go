package wire

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"dillsaddle.example/dillsaddle/engine"
)

// Network dials and accepts connections between processes.
type Network interface {
	// Listen opens a listening port.
	Listen(at netip.AddrPort) (net.Listener, error)
	// Dial connects to another process.
	Dial(ctx context.Context, to netip.AddrPort) (net.Conn, error)
}

// TCPNetwork is the operating system's TCP network.
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

// unusedConnTimeout is how long the HTTP client keeps a connection whose dial completed
// after its caller had given up. Without it, the client would keep such a connection forever.
const unusedConnTimeout = 2 * time.Second

// newHTTPClient returns an HTTP client that dials over the given network.
func newHTTPClient(n Network) *http.Client {
	return &http.Client{
		Transport: engine.CheckedTransport{
			Transport: &http.Transport{
				DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
					to, err := netip.ParseAddrPort(address)
					if err != nil {
						return nil, err
					}
					return n.Dial(ctx, to)
				},
				IdleConnTimeout:        unusedConnTimeout,
				MaxResponseHeaderBytes: maxHeaderBytes,
			},
			Upgrades: true,
		},
	}
}
