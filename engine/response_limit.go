package engine

import (
	"crypto/tls"
	"time"

	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/pkg/errors"
)

// maxHTTPHeadBytes is the size of the largest head of an HTTP response.
const maxHTTPHeadBytes = 64 << 10

// errResponseTooLarge reports a response of which more would have to be buffered than is allowed.
var errResponseTooLarge = errors.New("the response is too large to be buffered")

// WithMaxResponse limits the size in bytes of the bodies that an HTTP client reads, and what it buffers
// of their heads, which the HTTP library doesn't.
func WithMaxResponse(bodyBytes int) config.ClientOption {
	return config.ClientOption{F: func(o *config.ClientOptions) {
		o.MaxResponseBodySize = bodyBytes
		o.Dialer = newDialerWithLimit(bodyBytes)
	}}
}

// WithMaxBuffer limits what an HTTP client that reads bodies as streams buffers of them in bytes, and
// of their heads. The library buffers a body without a length or chunks as a whole.
func WithMaxBuffer(bytes int) config.ClientOption {
	return config.ClientOption{F: func(o *config.ClientOptions) { o.Dialer = newDialerWithLimit(bytes) }}
}

// limitedDialer opens connections that buffer a limited number of bytes.
type limitedDialer struct {
	network.Dialer
	max int
}

// newDialerWithLimit returns a dialer of limited connections whose responses are checked.
func newDialerWithLimit(bodyBytes int) network.Dialer {
	return checkedDialer{
		Dialer: limitedDialer{
			Dialer: standard.NewDialer(),
			max:    bodyBytes + maxHTTPHeadBytes,
		},
	}
}

// DialConnection implements network.Dialer.
func (d limitedDialer) DialConnection(n, address string, timeout time.Duration, tlsConfig *tls.Config) (network.Conn, error) {
	c, err := d.Dialer.DialConnection(n, address, timeout, tlsConfig)
	if err != nil {
		return nil, err
	}
	return &limitedConn{
		Conn: c,
		max:  d.max,
	}, nil
}

// limitedConn limits the bytes that are read and not released yet.
type limitedConn struct {
	network.Conn
	max        int
	unreleased int
}

// Peek implements network.Reader. The library reads heads and trailers by a further byte at a time, and
// as many as come with it.
func (c *limitedConn) Peek(n int) ([]byte, error) {
	buffered := c.Len()
	isHead := n == buffered+1
	if n > buffered && (c.unreleased+n > c.max || (isHead && n > maxHTTPHeadBytes)) {
		return nil, errResponseTooLarge
	}
	return c.Conn.Peek(n)
}

// Skip implements network.Reader.
func (c *limitedConn) Skip(n int) error {
	c.unreleased += n
	return c.Conn.Skip(n)
}

// Release implements network.Reader.
func (c *limitedConn) Release() error {
	c.unreleased = 0
	return c.Conn.Release()
}

// ToHertzError implements network.ErrorNormalization.
func (c *limitedConn) ToHertzError(err error) error {
	if n, ok := c.Conn.(network.ErrorNormalization); ok {
		return n.ToHertzError(err)
	}
	return err
}
