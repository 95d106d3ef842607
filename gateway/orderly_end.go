package gateway

import (
	"context"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// The system reports the reset of a connection once, to a write or to a read. If a request's body is
// written while its answer is read, the write may get the error, and the reads that follow return an
// ordinary end.

// requestWrite is the writing of a request, of which a large body is written while the answer is read.
type requestWrite struct {
	done chan struct{}
	err  error // set before done is closed
}

func (w *requestWrite) finish(err error) {
	w.err = err
	close(w.done)
}

// hasSucceeded reports whether the whole request has been written.
func (w *requestWrite) hasSucceeded() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// deliveryCheckInterval is the time between two checks of whether an endpoint has received all that was
// written to it.
const deliveryCheckInterval = 2 * time.Millisecond

// hasOrderlyEnd reports whether an answer's connection, which has been read to its end, was not reset. It
// waits until the endpoint has received the whole request, since one that closes its connection before that
// resets it.
func (p *proxiedRequest) hasOrderlyEnd(a *answer) bool {
	ctx, cancel := context.WithDeadline(p.ctx, p.currentDeadline())
	defer cancel()
	select {
	case <-a.requestWrite.done:
	case <-ctx.Done():
		return false
	}
	if a.requestWrite.err != nil {
		return false
	}
	for {
		switch a.endpointConn.delivery() {
		case deliveryPending:
		case deliveryFailed:
			return false
		case deliveryDone, deliveryUnknown:
			return true
		}
		select {
		case <-time.After(deliveryCheckInterval):
		case <-ctx.Done():
			return false
		}
	}
}

// delivery says what became of the bytes that were written to a connection whose peer ended it.
type delivery int

const (
	deliveryUnknown delivery = iota // the connection doesn't tell
	deliveryPending
	deliveryDone   // the peer has received all
	deliveryFailed // the connection was reset, or closed by this box
)

// delivery returns the state of the connection's written bytes.
func (conn *endpointConn) delivery() delivery {
	c, ok := conn.Conn.(syscall.Conn)
	if !ok {
		return deliveryUnknown
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return deliveryFailed
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	switch {
	case err != nil:
		return deliveryFailed
	case infoErr != nil:
		return deliveryUnknown
	case info.State == unix.BPF_TCP_CLOSE:
		return deliveryFailed
	case info.State != unix.BPF_TCP_CLOSE_WAIT:
		return deliveryUnknown // the peer hasn't closed its side
	case info.Unacked > 0 || info.Notsent_bytes > 0:
		return deliveryPending
	}
	return deliveryDone
}
