package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/gateway"
	"dillsaddle.example/dillsaddle/platform/emulator"
)

var _ = Describe("a call that isn't repeatable", func() {
	var b *testbed
	var s *emulator.Server
	BeforeEach(func() {
		b = newTestbed()
		s = b.add("i-1", emulator.PlainService)
	})
	post := func(id string) emulator.Outcome {
		return b.call(http.MethodPost, emulator.CallPath+"x?y=1", id, "body")
	}

	It("gets the signed answer; its body is passed on and its key is not", func() {
		o := post("a1")
		Expect(o.Status).To(Equal(http.StatusOK))
		Expect(o.Fault).To(BeEmpty())
		run := s.Runs()[0]
		Expect(run.Body).To(Equal("body"))
		Expect(run.Key).To(BeEmpty())
		Expect(run.Customer).To(Equal(emulator.Customer))
		Expect(run.Priority).To(Equal("1"))
	})

	DescribeTable("is answered with 502 and not retried after",
		func(fault emulator.Fault) {
			s.SetFault(fault, 1)
			o := post("c1")
			Expect(o.Status).To(Equal(http.StatusBadGateway))
			Expect(s.Runs()).To(HaveLen(1))
		},
		Entry("a truncated answer", emulator.Cut),
		Entry("a connection reset", emulator.Reset),
		Entry("a malformed answer", emulator.Garble),
		Entry("a success without a signature", emulator.Unsigned),
		Entry("a body with a content encoding", emulator.Encoded),
		Entry("a refusal without the not-run mark", emulator.RanButRefused),
	)

	It("is answered with 502 after a success whose signature ends at the box", func() {
		s.SetRawAnswer(lengthHead[:len(lengthHead)-2]+"Connection: "+emulator.SignatureHeader+"\r\n\r\nanswer to $ID", "")
		Expect(post("n01")).To(And(HaveField("Status", http.StatusBadGateway), HaveField("Signature", BeEmpty())))
	})

	It("is answered with 503 and Retry-After when the only endpoint refuses it", func() {
		s.SetFault(emulator.Shed, -1)
		o := post("d1")
		Expect(o.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(o.RetryAfter).NotTo(BeEmpty())
		Expect(s.Runs()).To(BeEmpty())
	})

	It("is sent to another endpoint when one refuses it or is unreachable", func() {
		s.SetFault(emulator.Misdirected, -1)
		b.add("i-2", emulator.PlainService)
		for i := range 6 {
			Expect(post(fmt.Sprintf("e%d", i)).Status).To(Equal(http.StatusOK))
		}
		s.Crash()
		for i := range 6 {
			Expect(post(fmt.Sprintf("f%d", i)).Status).To(Equal(http.StatusOK))
		}
	})

	// Callers don't repeat a request of unknown outcome.
	It("is answered with 503 when its deadline passes before a connection was open", func() {
		paths := emulator.NewPaths()
		b = newTestbedWith(true, gateway.WithDial(paths.Dial))
		s = b.add("i-1", emulator.PlainService)
		paths.SetFault(emulator.PathSilent)
		o := b.caller.Do(context.Background(), emulator.Call{
			ID:       "u1",
			Method:   http.MethodPost,
			Path:     emulator.CallPath,
			Deadline: time.Second,
		})
		Expect(o).To(And(HaveField("Status", http.StatusServiceUnavailable), HaveField("RetryAfter", Not(BeEmpty()))))
		Expect(s.Runs()).To(BeEmpty())
	})

	It("is answered with 504 at its deadline when the endpoint is silent", func() {
		s.SetFault(emulator.NoAnswer, 1)
		o := post("g1")
		Expect(o.Status).To(Equal(http.StatusGatewayTimeout))
	})

	It("gets its own answer when an extra one precedes it, and the connection is not reused", func() {
		Expect(post("h1").Status).To(Equal(http.StatusOK))
		s.SetFault(emulator.ExtraAnswer, 1)
		o := post("h2")
		Expect(o.Status).To(Equal(http.StatusOK))
		Expect(o.Fault).To(BeEmpty())
		o = post("h3")
		Expect(o.Fault).To(BeEmpty())
	})

	It("is answered when bytes follow its answer, and these reach no caller", func() {
		s.SetFault(emulator.Trailing, 1)
		Expect(post("i1").Fault).To(BeEmpty())
		for i := range 4 {
			o := post(fmt.Sprintf("j%d", i))
			Expect(o.Status).To(Equal(http.StatusOK))
			Expect(o.Fault).To(BeEmpty())
		}
	})

	It("is answered when the answer has no length", func() {
		s.SetFault(emulator.Unframed, 1)
		o := post("k1")
		Expect(o.Status).To(Equal(http.StatusOK))
		Expect(o.Fault).To(BeEmpty())
	})

	It("is answered when the answer comes before a long body was read, and the connection is not reused", func() {
		s.SetFault(emulator.EarlyAnswer, 1)
		long := strings.Repeat("x", 900<<10)
		o := b.call(http.MethodPost, emulator.CallPath, "l1", long)
		Expect(o.Status).To(Equal(http.StatusOK))
		Expect(o.Fault).To(BeEmpty())
		Expect(post("l2").Fault).To(BeEmpty())
	})

	It("reuses the connection of the one before", func() {
		for i := range 5 {
			Expect(post(fmt.Sprintf("m%d", i)).Status).To(Equal(http.StatusOK))
		}
		Expect(s.OpenConnections()).To(Equal(1))
	})
})

var _ = Describe("chunked bodies", func() {
	// Guards against reserving the largest permitted size for each: a few at once would
	// exhaust the memory for bodies.
	It("reserve memory as they are read, so that many at once are served", func() {
		b := newTestbed()
		s := b.add("i-1", emulator.PlainService)
		s.WorkTime = 200 * time.Millisecond
		const many = 40
		statuses := make(chan int, many)
		for n := range many {
			go func() {
				o := b.caller.Do(context.Background(), emulator.Call{
					ID:        fmt.Sprintf("chunked-%d", n),
					Method:    http.MethodPost,
					Path:      emulator.CallPath,
					Body:      "in chunks",
					Deadline:  1500 * time.Millisecond,
					IsChunked: true,
				})
				statuses <- o.Status
			}()
		}
		for range many {
			Expect(<-statuses).To(Equal(http.StatusOK))
		}
		Expect(s.Runs()[0].Body).To(Equal("in chunks"))
	})
})

// unresponsiveAddress returns an address whose accept queue is full, so that connecting to it
// hangs.
func unresponsiveAddress() string {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = syscall.Close(fd) })
	Expect(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})).To(Succeed())
	Expect(syscall.Listen(fd, 0)).To(Succeed())
	name, err := syscall.Getsockname(fd)
	Expect(err).NotTo(HaveOccurred())
	address := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for range 8 {
		c, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			return address
		}
		DeferCleanup(func() { _ = c.Close() })
	}
	Fail("the accept queue does not fill up")
	return ""
}

var _ = Describe("an endpoint that accepts no connections", func() {
	It("does not delay requests that another endpoint can take", func() {
		b := newTestbed()
		b.add("s-1", emulator.PlainService)
		gone, err := emulator.NewServer("s-2", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(gone.Crash)
		b.deployment.PutEntryAt(gone, unresponsiveAddress(), emulator.PlainService, "ready")
		b.refresh()
		startedAt := time.Now()
		for i := range 8 {
			o := b.caller.Do(context.Background(), emulator.Call{
				ID:       fmt.Sprintf("x%d", i),
				Method:   http.MethodPost,
				Path:     emulator.CallPath,
				Body:     "body",
				Deadline: time.Second,
			})
			Expect(o.Status).To(Equal(http.StatusOK))
		}
		// Without the short connect timeout, each try there would use the whole deadline.
		Expect(time.Since(startedAt)).To(BeNumerically("<", 2*time.Second))
	})
})

var _ = Describe("a repeatable call", func() {
	It("is sent to a second endpoint after a failure, and not to a third", func() {
		b := newTestbed()
		for _, id := range []string{"i-1", "i-2", "i-3"} {
			b.add(id, emulator.PlainService).SetFault(emulator.InternalError, -1)
		}
		o := b.call(http.MethodGet, emulator.RepeatPath, "a1", "")
		Expect(o.Status).To(Equal(http.StatusInternalServerError))
		Expect(o.Signature).NotTo(BeEmpty())
		Expect(b.deployment.Runs()["a1"]).To(HaveLen(2))
	})

	// Guards against failed calls in a fleet that is so large that most boxes have no part
	// of the retry budget's slack.
	It("is sent again with a send of another box when this box's retry budget is spent", func() {
		var b *testbed
		b = newTestbedWith(false, gateway.WithRetryBorrowing(func(_ context.Context, service string) {
			b.gateway.ReceiveTransfer(time.Now(), service, 1)
		}))
		b.add("i-1", emulator.PlainService).SetFault(emulator.InternalError, 1)
		b.add("i-2", emulator.PlainService).SetFault(emulator.InternalError, 1)
		o := b.call(http.MethodGet, emulator.RepeatPath, "a1", "")
		Expect(b.deployment.Runs()["a1"]).To(HaveLen(2))
		Expect(o.Status).To(Equal(http.StatusInternalServerError))
		Expect(b.call(http.MethodGet, emulator.RepeatPath, "a2", "").Status).To(Equal(http.StatusOK))
	})
})

var _ = Describe("a request that can't be forwarded", func() {
	DescribeTable("is refused at once, and nothing reaches an endpoint",
		func(path, key string, body string, status int) {
			b := newTestbed()
			s := b.add("i-1", emulator.PlainService)
			b.caller = emulator.NewCaller(b.address, key)
			Expect(b.call(http.MethodPost, path, "a1", body).Status).To(Equal(status))
			Expect(s.Runs()).To(BeEmpty())
		},
		Entry("no route", "/nowhere", emulator.Key, "", http.StatusNotFound),
		Entry("no key", emulator.CallPath, "", "", http.StatusUnauthorized),
		Entry("an unknown key", emulator.CallPath, "key", "", http.StatusUnauthorized),
		Entry("a body over the limit", emulator.CallPath, emulator.Key, strings.Repeat("x", 2<<20), http.StatusRequestEntityTooLarge),
		Entry("a service without endpoints", emulator.StreamPath, emulator.Key, "", http.StatusServiceUnavailable),
	)
})
