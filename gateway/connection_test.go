package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/platform/emulator"
)

var _ = Describe("a caller's connection", func() {
	var b *testbed
	var s *emulator.Server
	var c *emulator.RawCaller
	BeforeEach(func() {
		b = newTestbed()
		s = b.add("i-1", emulator.PlainService)
		var err error
		c, err = emulator.DialRaw(b.address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
	})
	answer := func() emulator.Outcome {
		o, err := c.ReadAnswer()
		Expect(err).NotTo(HaveOccurred())
		return o
	}

	It("with pipelined requests gets each request's own answer, in order", func() {
		Expect(c.Send(emulator.RequestText("p1", "one") + emulator.RequestText("p2", "two") + emulator.RequestText("p3", "three"))).To(Succeed())
		for i, want := range []string{"one", "two", "three"} {
			o := answer()
			Expect(o.Status).To(Equal(http.StatusOK))
			Expect(o.ID).To(Equal(fmt.Sprintf("p%d", i+1)))
			Expect(s.Runs()[i].Body).To(Equal(want))
		}
		Expect(s.Runs()).To(HaveLen(3))
	})

	// The box can't distinguish a half-closed connection from a closed one at first, and the
	// runs of a caller that left must stop quickly.
	It("that is half-closed after the request is treated as closed", func() {
		s.WorkTime = 5 * time.Second
		Expect(c.Send(emulator.RequestText("h1", "body"))).To(Succeed())
		Eventually(s.Runs).Should(HaveLen(1))
		Expect(c.HalfClose()).To(Succeed())
		rest, err := c.ReadToEnd()
		Expect(err).NotTo(HaveOccurred())
		Expect(rest).To(BeEmpty())
		Eventually(b.gateway.Active).Should(BeZero())
	})

	It("with 'Connection: close' is closed after its answer and not before", func() {
		Expect(c.Send(emulator.RequestText("k1", "body", "Connection: close"))).To(Succeed())
		Expect(answer().Status).To(Equal(http.StatusOK))
		rest, err := c.ReadToEnd()
		Expect(err).NotTo(HaveOccurred())
		Expect(rest).To(BeEmpty())
	})

	It("that ends before the declared length of the body does not get the request run", func() {
		text := emulator.RequestText("s1", "whole body")
		Expect(c.Send(text[:len(text)-4])).To(Succeed())
		Expect(c.HalfClose()).To(Succeed())
		_, err := c.ReadToEnd()
		Expect(err).NotTo(HaveOccurred())
		Consistently(s.Runs).WithTimeout(200 * time.Millisecond).Should(BeEmpty())
	})

	It("is answered 408 if the body does not arrive before the deadline", func() {
		text := emulator.WithDeadline(emulator.RequestText("b1", "whole body"), 300*time.Millisecond)
		Expect(c.Send(text[:len(text)-4])).To(Succeed())
		Expect(answer().Status).To(Equal(http.StatusRequestTimeout))
		Expect(s.Runs()).To(BeEmpty())
	})

	It("is refused while its body has not arrived", func() {
		text := strings.Replace(emulator.RequestText("b2", "whole body"), emulator.CallPath, "/nowhere/", 1)
		started := time.Now()
		Expect(c.Send(text[:len(text)-4])).To(Succeed())
		Expect(answer().Status).To(Equal(http.StatusNotFound))
		Expect(time.Since(started)).To(BeNumerically("<", time.Second))
	})

	DescribeTable("does not get a request run that is smuggled in another one's body",
		func(extra string) {
			Expect(c.Send(emulator.RequestText("outer", "0\r\n\r\n"+emulator.RequestText("inner", "x"), extra))).To(Succeed())
			_, err := c.ReadToEnd()
			Expect(err).NotTo(HaveOccurred())
			for _, run := range s.Runs() {
				Expect(run.ID).To(Equal("outer"))
			}
		},
		Entry("with two Content-Length headers", "Content-Length: 3"),
		Entry("with Content-Length and Transfer-Encoding", "Transfer-Encoding: chunked"),
	)
})
