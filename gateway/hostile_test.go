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

	"dillsaddle.example/dillsaddle/platform/emulator"
)

var _ = Describe("a call that may run once", func() {
	var b *bench
	var s *emulator.Server
	BeforeEach(func() {
		b = newBench()
		s = b.add("i-1", emulator.PlainService)
	})
	post := func(id string) emulator.Outcome {
		return b.call(http.MethodPost, emulator.CallPath+"x?y=1", id, "body")
	}

	It("comes back whole, signed, with the body passed on and the key kept back", func() {
		o := post("a1")
		Expect(o.Status).To(Equal(http.StatusOK))
		Expect(o.Fault).To(BeEmpty())
		run := s.Runs()[0]
		Expect(run.Body).To(Equal("body"))
		Expect(run.Key).To(BeEmpty())
		Expect(run.Customer).To(Equal(emulator.Customer))
		Expect(run.Priority).To(Equal("1"))
	})

	DescribeTable("gets a final answer that promises nothing after",
		func(fault emulator.Fault) {
			s.SetFault(fault, 1)
			o := post("c1")
			Expect(o.Status).To(Equal(http.StatusBadGateway))
			Expect(s.Runs()).To(HaveLen(1))
		},
		Entry("an answer that breaks off", emulator.Cut),
		Entry("a reset", emulator.Reset),
		Entry("bytes that are no answer", emulator.Garble),
		Entry("a success without a signature", emulator.Unsigned),
		Entry("a body with an encoding", emulator.Encoded),
		Entry("a refusal that doesn't say not run", emulator.RanButRefused),
	)

	It("is told not run with a time to come back when the only endpoint refuses it", func() {
		s.SetFault(emulator.Shed, -1)
		o := post("d1")
		Expect(o.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(o.RetryAfter).NotTo(BeEmpty())
		Expect(s.Runs()).To(BeEmpty())
	})

	It("goes to another endpoint when one refuses it or can't be reached", func() {
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

	It("is ended at its deadline when the endpoint is silent, as unknown", func() {
		s.SetFault(emulator.NoAnswer, 1)
		o := post("g1")
		Expect(o.Status).To(Equal(http.StatusGatewayTimeout))
	})

	It("gets its own answer past an answer too many, and the connection isn't used again", func() {
		Expect(post("h1").Status).To(Equal(http.StatusOK))
		s.SetFault(emulator.ExtraAnswer, 1)
		o := post("h2")
		Expect(o.Status).To(Equal(http.StatusOK))
		Expect(o.Fault).To(BeEmpty())
		o = post("h3")
		Expect(o.Fault).To(BeEmpty())
	})

	It("is delivered when more bytes follow its answer, and they reach nobody", func() {
		s.SetFault(emulator.Trailing, 1)
		Expect(post("i1").Fault).To(BeEmpty())
		for i := range 4 {
			o := post(fmt.Sprintf("j%d", i))
			Expect(o.Status).To(Equal(http.StatusOK))
			Expect(o.Fault).To(BeEmpty())
		}
	})

	It("is delivered when its answer has no length", func() {
		s.SetFault(emulator.Unframed, 1)
		o := post("k1")
		Expect(o.Status).To(Equal(http.StatusOK))
		Expect(o.Fault).To(BeEmpty())
	})

	It("is delivered when the answer comes before a long body was read, and the connection isn't used again", func() {
		s.SetFault(emulator.EarlyAnswer, 1)
		long := strings.Repeat("x", 900<<10)
		o := b.call(http.MethodPost, emulator.CallPath, "l1", long)
		Expect(o.Status).To(Equal(http.StatusOK))
		Expect(o.Fault).To(BeEmpty())
		Expect(post("l2").Fault).To(BeEmpty())
	})

	It("keeps one connection for one after the other", func() {
		for i := range 5 {
			Expect(post(fmt.Sprintf("m%d", i)).Status).To(Equal(http.StatusOK))
		}
		Expect(s.OpenConnections()).To(Equal(1))
	})
})

var _ = Describe("bodies in chunks", func() {
	// Each took the largest permitted size from the box's memory for bodies, so
	// that a handful at once were refused.
	It("take memory as they come, and many at once are served", func() {
		b := newBench()
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

// deaf gives an address where connections hang: its queue of new ones is full.
func deaf() string {
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
	Fail("the queue of new connections doesn't fill")
	return ""
}

var _ = Describe("an endpoint that takes no connection", func() {
	It("holds no request up that another one can take", func() {
		b := newBench()
		b.add("s-1", emulator.PlainService)
		gone, err := emulator.NewServer("s-2", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(gone.Crash)
		b.deployment.ListAt(gone, deaf(), emulator.PlainService, "ready")
		b.refresh()
		begun := time.Now()
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
		// Each try there took a second and used the whole deadline.
		Expect(time.Since(begun)).To(BeNumerically("<", 2*time.Second))
	})
})

var _ = Describe("a repeatable call", func() {
	It("is tried at a second endpoint after a failure, and not at a third", func() {
		b := newBench()
		for _, id := range []string{"i-1", "i-2", "i-3"} {
			b.add(id, emulator.PlainService).SetFault(emulator.InternalError, -1)
		}
		o := b.call(http.MethodGet, emulator.RepeatPath, "a1", "")
		Expect(o.Status).To(Equal(http.StatusInternalServerError))
		Expect(o.Signature).NotTo(BeEmpty())
		Expect(b.deployment.Runs()["a1"]).To(HaveLen(2))
	})
})

var _ = Describe("a request that can't be sent", func() {
	DescribeTable("is answered at once, and nothing reaches an endpoint",
		func(path, key string, body string, status int) {
			b := newBench()
			s := b.add("i-1", emulator.PlainService)
			b.caller = emulator.NewCaller(b.front, key)
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
