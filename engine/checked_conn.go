package engine

import (
	"bufio"
	"bytes"
	"crypto/tls"
	"io"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/pkg/errors"
)

// checkedDialer opens connections whose responses are checked, for the HTTP library checks little: it
// accepts most heads, and takes any error for the end of a body without a length or chunks.
type checkedDialer struct{ network.Dialer }

// DialConnection implements network.Dialer.
func (d checkedDialer) DialConnection(n, address string, timeout time.Duration, tlsConfig *tls.Config) (network.Conn, error) {
	c, err := d.Dialer.DialConnection(n, address, timeout, tlsConfig)
	if err != nil {
		return nil, err
	}
	return &checkedConn{Conn: c}, nil
}

// checkedConn is a client's connection that checks the head of the response to each request, and whether
// a body that ends with the connection was cut.
type checkedConn struct {
	network.Conn
	isHeadDue  bool  // a request was written and no byte of its response was read
	isUnframed bool  // the body that is read now ends with the connection
	writeErr   error // of the request
	cutErr     error // by which a body without a length or chunks was cut
}

// Flush implements network.Writer.
func (c *checkedConn) Flush() error {
	c.isHeadDue = true
	c.isUnframed = false
	err := c.Conn.Flush()
	if err != nil {
		c.writeErr = err
	}
	return err
}

// Peek implements network.Reader.
func (c *checkedConn) Peek(n int) ([]byte, error) {
	if c.cutErr != nil {
		return nil, c.cutErr
	}
	if c.isHeadDue {
		if err := c.checkHead(); err != nil {
			return nil, err
		}
		c.isHeadDue = false
	}
	text, err := c.Conn.Peek(n)
	if err == nil {
		return text, nil
	}
	isEnd := errors.Is(err, io.EOF)
	switch {
	case !c.isUnframed && isEnd:
		return text, io.ErrUnexpectedEOF // also within a trailer, which the library takes for its end
	case !c.isUnframed:
		return text, err
	case isEnd && c.writeErr == nil:
		return text, err
	case isEnd:
		err = c.writeErr // the system reports a reset only once
	}
	// The library takes an error of the first Peek for the end of the body, but not one of the Peek that
	// follows it.
	c.cutErr = errors.Wrap(err, "the response was cut")
	return nil, nil
}

// ToHertzError implements network.ErrorNormalization.
func (c *checkedConn) ToHertzError(err error) error {
	if n, ok := c.Conn.(network.ErrorNormalization); ok {
		return n.ToHertzError(err)
	}
	return err
}

// checkHead reads the heads of a response without taking them off the connection, except for interim ones.
func (c *checkedConn) checkHead() error {
	for {
		text, err := c.peekHead()
		if err != nil {
			return err
		}
		head, err := parseHead(text)
		if err != nil {
			return err
		}
		if !IsInterim(head) {
			c.isUnframed = head.ContentLength < 0 && len(head.TransferEncoding) == 0
			return nil
		}
		if err := c.Conn.Skip(len(text)); err != nil {
			return err
		}
	}
}

// peekHead returns the text of the next head.
func (c *checkedConn) peekHead() ([]byte, error) {
	for buffered := 0; ; {
		if _, err := c.Conn.Peek(buffered + 1); err != nil {
			if buffered > 0 && errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		buffered = c.Len()
		text, err := c.Conn.Peek(buffered)
		if err != nil {
			return nil, err
		}
		if end := headEnd(text); end >= 0 {
			return text[:end], nil
		}
	}
}

// headEnd returns the length of the head with which a text begins, or -1 if it goes on.
func headEnd(text []byte) int {
	length := 0
	for line := range bytes.Lines(text) {
		length += len(line)
		if length > len(line) && (string(line) == "\n" || string(line) == "\r\n") {
			return length
		}
	}
	return -1
}

// parseHead returns the head of a text, or an error if it isn't valid.
func parseHead(text []byte) (*http.Response, error) {
	head, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), nil)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(head); err != nil {
		return nil, err
	}
	return head, headError(findTextFault(text, head), head)
}
