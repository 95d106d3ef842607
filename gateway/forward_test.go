package gateway_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/engine"
	"dillsaddle.example/dillsaddle/gateway"
	"dillsaddle.example/dillsaddle/platform/emulator"
)

// otherBox is a box that refuses all requests forwarded to it as not run, for itself.
type otherBox struct{ address netip.AddrPort }

func startOtherBox() otherBox { return startRefusingBox(http.StatusServiceUnavailable, "1") }

// startRefusingBox starts a box that refuses with a status by a version of the configuration, or doesn't
// say by which if empty.
func startRefusingBox(status int, version string) otherBox {
	l, err := net.Listen("tcp", emulator.AnyAddress())
	Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Dillsaddle-Forward-Outcome", "not-run")
		if version != "" {
			w.Header().Set("Dillsaddle-Decided-By-Version", version)
		}
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(status)
	})}
	go func() { _ = server.Serve(l) }()
	DeferCleanup(server.Close)
	return otherBox{address: l.Addr().(*net.TCPAddr).AddrPort()}
}

// ForwardingBox implements gateway.Forwarding.
func (o otherBox) ForwardingBox(string, func(string) bool) (core.Peer, bool) {
	return core.Peer{
		Box:     "other",
		Address: o.address,
	}, true
}

// SetCutOff implements gateway.Forwarding.
func (otherBox) SetCutOff([]string) {}

// Guards against a refusal that promises that a request has not run, by a box that can't know.
var _ = Describe("a refusal of the box to which a request was forwarded", func() {
	// call sends a request through a gateway that opens only the given number of connections.
	call := func(connections int32) (*testbed, emulator.Outcome) {
		var dials atomic.Int32
		b := newTestbedWith(true, gateway.WithForwarding(startOtherBox()), gateway.WithDial(func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
			if dials.Add(1) > connections {
				return nil, syscall.ECONNREFUSED
			}
			return engine.Dial(ctx, to)
		}))
		for _, id := range []string{"i-1", "i-2", "i-3"} {
			b.add(id, emulator.PlainService).SetFault(emulator.Reset, 1)
		}
		return b, b.call(http.MethodGet, emulator.RepeatPath, "r", "")
	}

	It("is passed on if the request was sent nowhere before", func() {
		b, o := call(0)
		Expect(o).To(And(HaveField("Status", http.StatusServiceUnavailable), HaveField("RetryAfter", "1")))
		Expect(b.deployment.Runs()).NotTo(HaveKey("r"))
	})

	It("isn't passed on if the request may have run before", func() {
		b, o := call(1)
		Expect(b.deployment.Runs()).To(HaveKey("r"))
		Expect(o).To(And(HaveField("Status", http.StatusBadGateway), HaveField("Elapsed", BeNumerically("<", callerTimeout))))
	})
})

// Guards against taking a part of another box's answer for the whole, or something else for it. Boxes send
// all answers with a length or in chunks.
var _ = Describe("an answer of the box to which a request was forwarded", func() {
	const answered = "Dillsaddle-Forward-Outcome: answered\r\n"
	parts := emulator.CallParts()
	parts.Fields += answered
	// forward sends a request with an upload to a box with a raw answer, after it has read a part of it.
	forward := func(path, text string, readFirst int64, end emulator.ConnEnd) emulator.Outcome {
		box, err := emulator.NewServer("box", emulator.AnyAddress())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(box.Crash)
		box.SetEarlyAnswer(text, readFirst, end)
		b := newTestbedWith(true, gateway.WithForwarding(otherBox{address: netip.MustParseAddrPort(box.Address())}), gateway.WithDial(func(context.Context, netip.AddrPort) (net.Conn, error) {
			return nil, syscall.ECONNREFUSED
		}))
		b.add("i-1", emulator.PlainService)
		b.add("e-1", emulator.ModelService)
		return b.call(http.MethodPost, path, "f01", strings.Repeat("x", 1000<<10))
	}

	DescribeTable("never looks whole if it ends with its connection",
		func(path, text string, readFirst int64, end emulator.ConnEnd) {
			o := forward(path, text, readFirst, end)
			Expect(o.IsComplete && o.Status == http.StatusOK).To(BeFalse(), "status %d, body %.60q, %d events", o.Status, o.Body, o.Events)
		},
		Entry("in order", emulator.CallPath, emulator.SuccessHead+answered+"\r\nanswer", int64(-1), emulator.EndClose),
		Entry("by a reset during the upload", emulator.CallPath, emulator.SuccessHead+answered+"\r\nanswer", int64(0), emulator.EndReset),
		Entry("in order, within its rest, which is streamed", emulator.CallPath, emulator.SuccessHead+answered+"\r\n"+strings.Repeat("x", 500_000), int64(-1), emulator.EndClose),
		Entry("in order, after an event", emulator.StreamPath, streamHead+answered+"\r\n"+firstEvent, int64(-1), emulator.EndClose),
		Entry("by a reset during the upload, after an event", emulator.StreamPath, streamHead+answered+"\r\n"+firstEvent, int64(0), emulator.EndReset),
	)

	It("isn't passed on if its head is invalid", func() {
		for _, answer := range slices.Concat(parts.InvalidStatuses(), parts.FieldsAfterBlanks()) {
			Expect(forward(emulator.CallPath, answer.Text, -1, emulator.EndClose).Status).To(Equal(http.StatusBadGateway), answer.What)
		}
	})

	It("is passed on if it is whole", func() {
		o := forward(emulator.CallPath, lengthHead[:len(lengthHead)-2]+answered+"\r\nanswer to $ID", -1, emulator.EndClose)
		Expect(o).To(And(HaveField("Status", http.StatusOK), HaveField("Fault", BeEmpty())))
	})
})

// Guards against answers by an older configuration to requests that the called box knows better about.
var _ = Describe("two boxes with different configurations", func() {
	const current = 5
	startTestbed := func(options ...gateway.Option) *testbed {
		b := newTestbedWith(true, options...)
		b.add("i-1", emulator.PlainService)
		b.deployment.Publish(emulator.NewDocument(current))
		b.refresh()
		return b
	}

	DescribeTable("whose refusals are not passed on if the refusing one's is older",
		func(status int, version string, want int) {
			b := startTestbed(gateway.WithForwarding(startRefusingBox(status, version)), gateway.WithDial(func(context.Context, netip.AddrPort) (net.Conn, error) {
				return nil, syscall.ECONNREFUSED
			}))
			o := b.call(http.MethodPost, emulator.CallPath, "r", "")
			Expect(o.Status).To(Equal(want))
			Expect(b.deployment.Runs()).NotTo(HaveKey("r"))
		},
		Entry("older, no such key", http.StatusUnauthorized, "4", http.StatusServiceUnavailable),
		Entry("older, no such route", http.StatusNotFound, "4", http.StatusServiceUnavailable),
		Entry("older, a body too large", http.StatusRequestEntityTooLarge, "4", http.StatusServiceUnavailable),
		Entry("unknown, no such key", http.StatusUnauthorized, "", http.StatusServiceUnavailable),
		Entry("the same, no such key", http.StatusUnauthorized, "5", http.StatusUnauthorized),
		Entry("newer, no such key", http.StatusUnauthorized, "6", http.StatusUnauthorized),
	)

	// forward sends a request to a box as another one does that has a newer configuration.
	forward := func(b *testbed, path, key string) *http.Response {
		server := httptest.NewServer(http.HandlerFunc(b.gateway.ServeForwarded))
		DeferCleanup(server.Close)
		r, err := http.NewRequest(http.MethodPost, server.URL+path, nil)
		Expect(err).NotTo(HaveOccurred())
		r.Host = emulator.Host
		r.Header.Set("X-Request-Id", "f")
		r.Header.Set(emulator.KeyHeader, key)
		r.Header.Set("Dillsaddle-Forwarded-By", "other")
		r.Header.Set("Dillsaddle-Forwarded-Version", strconv.Itoa(current+1))
		answer, err := http.DefaultClient.Do(r)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(answer.Body.Close)
		return answer
	}

	DescribeTable("of which the older one leaves a forwarded request to others",
		func(path, key string) {
			b := startTestbed()
			answer := forward(b, path, key)
			Expect(answer.StatusCode).To(Equal(http.StatusServiceUnavailable))
			Expect(answer.Header.Get("Dillsaddle-Forward-Outcome")).To(Equal("unserved"))
			Expect(b.deployment.Runs()).To(BeEmpty())
		},
		Entry("with a key that it doesn't know", emulator.CallPath, "new-key"),
		Entry("with a route that it doesn't know", "/new-route", emulator.Key),
		Entry("with a key and a route that it knows", emulator.CallPath, emulator.Key),
	)

	It("of which the older one serves a forwarded request once it has the newer one", func() {
		b := startTestbed()
		time.AfterFunc(100*time.Millisecond, func() {
			defer GinkgoRecover()
			b.deployment.Publish(emulator.NewDocument(current + 1))
			b.refresh()
		})
		Expect(forward(b, emulator.CallPath, emulator.Key)).To(HaveField("StatusCode", http.StatusOK))
	})
})
