package engine

import (
	"context"
	"io"
	"net/netip"
	"time"
)

const (
	// checkTimeout bounds a status check, with the connection attempt.
	checkTimeout = 500 * time.Millisecond
	// maxCheckHeadBytes is the size of the largest head of an answer to a status check.
	maxCheckHeadBytes = 4 << 10
)

// CheckStatus sends an endpoint a GET for a path on a new connection. It returns the state of the
// endpoint's port, which is PortOpen if any byte of an answer came, and the answer's HTTP status, or 0
// if none can be read.
func CheckStatus(dial DialFunc, address netip.AddrPort, path string) (PortState, int) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	connectCtx, cancelConnect := context.WithTimeout(ctx, probeTimeout)
	defer cancelConnect()
	c, err := dial(connectCtx, address)
	if err != nil {
		return stateOfDialError(err), 0
	}
	defer c.Close()
	if state := stateOfIdleConn(c); state != PortOpen {
		return state, 0
	}
	deadline, _ := ctx.Deadline()
	_ = c.SetDeadline(deadline)
	request := "GET " + path + " HTTP/1.1\r\nHost: " + address.String() + "\r\nConnection: close\r\n\r\n"
	if _, err := c.Write([]byte(request)); err != nil {
		return PortBreaksRequests, 0
	}
	reader := NewHeadReader(io.LimitReader(c, maxCheckHeadBytes), maxCheckHeadBytes)
	if _, err := reader.Peek(1); err != nil {
		if TimedOut(err) {
			return PortUnanswered, 0
		}
		return PortBreaksRequests, 0
	}
	answer, err := reader.ReadHead(nil)
	if err != nil {
		return PortOpen, 0
	}
	return PortOpen, answer.StatusCode
}
