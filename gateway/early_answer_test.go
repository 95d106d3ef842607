package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/engine"
	"dillsaddle.example/dillsaddle/gateway"
	"dillsaddle.example/dillsaddle/platform/emulator"
)

// The numbers of bytes that are read from a connection before a write to it fails. The system reports a
// reset only once, to the writer or to the reader.
const (
	readAnytime = -1      // whatever is there
	readNothing = 0       // before the head
	readHead    = 1       // the head and what comes with it
	readMuch    = 400_000 // more than is buffered of an answer
)

// orderedConn is a connection with a small send buffer. Once a number of bytes has been read, it is read
// on only after a write has failed.
type orderedConn struct {
	*net.TCPConn
	readFirst   int
	readBytes   int
	hasWritten  atomic.Bool
	writeFailed chan struct{}
	failOnce    sync.Once
}

// dialOrdered returns a function that opens such connections.
func dialOrdered(readFirst int) engine.DialFunc {
	return func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		c, err := engine.Dial(ctx, to)
		if err != nil {
			return nil, err
		}
		t := c.(*net.TCPConn)
		const sendBufferBytes = 16 << 10
		if err := t.SetWriteBuffer(sendBufferBytes); err != nil {
			return nil, err
		}
		return &orderedConn{
			TCPConn:     t,
			readFirst:   readFirst,
			writeFailed: make(chan struct{}),
		}, nil
	}
}

// Write implements net.Conn.
func (c *orderedConn) Write(p []byte) (int, error) {
	c.hasWritten.Store(true)
	n, err := c.TCPConn.Write(p)
	if err != nil {
		c.markFailed()
	}
	return n, err
}

// Close implements net.Conn.
func (c *orderedConn) Close() error {
	c.markFailed()
	return c.TCPConn.Close()
}

func (c *orderedConn) markFailed() { c.failOnce.Do(func() { close(c.writeFailed) }) }

// Read implements net.Conn.
func (c *orderedConn) Read(into []byte) (int, error) {
	if c.readFirst >= 0 && c.readBytes >= c.readFirst && c.hasWritten.Load() { // a status check only reads
		<-c.writeFailed
	}
	n, err := c.TCPConn.Read(into)
	c.readBytes += n
	return n, err
}

// Parts of early answers. The unframed ones end with the connection.
const (
	unframedHead   = emulator.SuccessHead + "\r\n"
	unframedStream = streamHead + "\r\n"
	firstEvent     = "id: 1\ndata: $ID piece 1\n\n"
	lengthHead     = emulator.SuccessHead + "Content-Length: 13\r\n\r\n" // with the IDs of these tests
	chunkedAnswer  = emulator.SuccessHead + "Transfer-Encoding: chunked\r\n\r\nd\r\nanswer to $ID\r\n0\r\n\r\n"
)

// Guards against taking an answer for whole that was reset while the request's body was written.
var _ = Describe("an answer to an upload that is still being written", func() {
	upload := strings.Repeat("x", 1000<<10)
	// post sends uploads until one gets an answer that looks whole, and returns the last outcome.
	post := func(b *testbed, path string, tries int) emulator.Outcome {
		var o emulator.Outcome
		for n := range tries {
			o = b.caller.Do(context.Background(), emulator.Call{
				ID:       fmt.Sprintf("u%02d", n),
				Method:   http.MethodPost,
				Path:     path,
				Body:     upload,
				Deadline: callerTimeout,
			})
			if o.IsComplete && o.Status == http.StatusOK {
				break
			}
		}
		return o
	}

	DescribeTable("never looks whole if it is cut",
		func(readFirst int, service, path, text string, serverReads int64, end emulator.ConnEnd, status int) {
			tries := 1
			if readFirst == readAnytime {
				tries = 10
			}
			b := newTestbedWith(true, gateway.WithDial(dialOrdered(readFirst)))
			b.add("i-1", service).SetEarlyAnswer(text, serverReads, end)
			o := post(b, path, tries)
			Expect(o.IsComplete && o.Status == http.StatusOK).To(BeFalse(), "status %d, body %.60q, %d events", o.Status, o.Body, o.Events)
			Expect(o.Status).To(Equal(status))
			Expect(o.Elapsed).To(BeNumerically("<", callerTimeout))
		},
		Entry("by a reset", readAnytime, emulator.PlainService, emulator.CallPath, unframedHead+"answer", int64(0), emulator.EndReset, http.StatusBadGateway),
		Entry("by a reset that the writer sees before its head is read", readNothing, emulator.PlainService, emulator.CallPath, unframedHead+"answer", int64(0), emulator.EndReset, http.StatusBadGateway),
		Entry("by a reset that the writer sees while it is read", readHead, emulator.PlainService, emulator.CallPath, unframedHead+"answer", int64(0), emulator.EndReset, http.StatusBadGateway),
		Entry("by a reset after a part of the upload was read", readNothing, emulator.PlainService, emulator.CallPath, unframedHead+"answer", int64(100<<10), emulator.EndReset, http.StatusBadGateway),
		Entry("by a close", readAnytime, emulator.PlainService, emulator.CallPath, unframedHead+"answer", int64(0), emulator.EndClose, http.StatusBadGateway),
		Entry("by a close that the writer sees before its head is read", readNothing, emulator.PlainService, emulator.CallPath, unframedHead+"answer", int64(0), emulator.EndClose, http.StatusBadGateway),
		Entry("by a reset within its rest, which is streamed", readMuch, emulator.PlainService, emulator.CallPath, unframedHead+strings.Repeat("x", 500_000), int64(0), emulator.EndReset, http.StatusOK),
		Entry("by a reset after an event", readAnytime, emulator.ModelService, emulator.StreamPath, unframedStream+firstEvent, int64(0), emulator.EndReset, http.StatusOK),
		Entry("by a reset after an event that the writer sees before its head is read", readNothing, emulator.ModelService, emulator.StreamPath, unframedStream+firstEvent, int64(0), emulator.EndReset, http.StatusOK),
		Entry("by a reset after an event that the writer sees while it is read", readHead, emulator.ModelService, emulator.StreamPath, unframedStream+firstEvent, int64(0), emulator.EndReset, http.StatusOK),
		Entry("by a reset of an event stream on another route", readNothing, emulator.PlainService, emulator.CallPath, unframedStream+firstEvent, int64(0), emulator.EndReset, http.StatusOK),
	)

	It("is tried at another endpoint if it is cut and the request may be repeated", func() {
		b := newTestbedWith(true, gateway.WithDial(dialOrdered(readNothing)))
		for _, id := range []string{"i-1", "i-2"} {
			b.add(id, emulator.PlainService).SetEarlyAnswer(unframedHead+"answer", 0, emulator.EndReset)
		}
		Expect(post(b, emulator.RepeatPath, 1).Status).To(Equal(http.StatusBadGateway))
		arrivals := 0
		for _, s := range b.deployment.Servers(emulator.PlainService) {
			arrivals += len(s.Arrivals(time.Time{}))
		}
		Expect(arrivals).To(Equal(2))
	})

	DescribeTable("is passed on if it is whole",
		func(service, path, text string, serverReads int64, end emulator.ConnEnd) {
			b := newTestbedWith(true, gateway.WithDial(dialOrdered(readAnytime)))
			s := b.add("i-1", service)
			s.SetEarlyAnswer(text, serverReads, end)
			for n := range 5 {
				o := b.caller.Do(context.Background(), emulator.Call{
					ID:       fmt.Sprintf("w%02d", n),
					Method:   http.MethodPost,
					Path:     path,
					Body:     upload,
					Deadline: 5 * time.Second,
				})
				Expect(o).To(And(HaveField("Status", http.StatusOK), HaveField("Fault", BeEmpty()), HaveField("IsComplete", true)))
			}
		},
		Entry("without a length, after the upload was read", emulator.PlainService, emulator.CallPath, unframedHead+"answer to $ID", int64(-1), emulator.EndClose),
		Entry("without a length, before the upload is read, which goes on", emulator.PlainService, emulator.CallPath, unframedHead+"answer to $ID", int64(0), emulator.EndHalfClose),
		Entry("a stream without a length, after the upload was read", emulator.ModelService, emulator.StreamPath, unframedStream+firstEvent, int64(-1), emulator.EndClose),
		Entry("a stream without a length, before the upload is read, which goes on", emulator.ModelService, emulator.StreamPath, unframedStream+firstEvent, int64(0), emulator.EndHalfClose),
		Entry("with a length, and a reset after it", emulator.PlainService, emulator.CallPath, lengthHead+"answer to $ID", int64(0), emulator.EndReset),
		Entry("with a length, before the upload is read", emulator.PlainService, emulator.CallPath, lengthHead+"answer to $ID", int64(0), emulator.EndKeepOpen),
		Entry("in chunks, and a reset after it", emulator.PlainService, emulator.CallPath, chunkedAnswer, int64(0), emulator.EndReset),
		Entry("in chunks, before the upload is read", emulator.PlainService, emulator.CallPath, chunkedAnswer, int64(0), emulator.EndKeepOpen),
	)

	// A small request is written whole, so that only the connection's state shows that it was reset.
	It("never looks whole if the endpoint closes its connection, unread, before a reset", func() {
		for n := range 10 {
			b := newTestbed()
			b.add("i-1", emulator.PlainService).SetEarlyAnswer(unframedHead+"answer", 0, emulator.EndClose)
			o := b.caller.Do(context.Background(), emulator.Call{
				ID:       fmt.Sprintf("s%d", n),
				Method:   http.MethodPost,
				Path:     emulator.CallPath,
				Body:     upload[:100<<10],
				Deadline: callerTimeout,
			})
			Expect(o.Status).To(Equal(http.StatusBadGateway))
		}
	})
})
