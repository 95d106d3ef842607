package gateway_test

import (
	"net/http"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/platform/emulator"
)

// While a box's machine is suspended its monotonic clock stands still, so that requests look
// younger and idle connections fresher than they are.
var _ = Describe("a box that was suspended", func() {
	const suspended = 1100 * time.Millisecond
	var b *testbed
	BeforeEach(func() { b = newTestbed() })

	// suspendAtCheck simulates a suspension that the box detects at its n-th check from now
	// on: the first is when a request arrives, the others are before its sends.
	suspendAtCheck := func(n int, d time.Duration) {
		checks := 0
		b.checkSuspension = func() {
			checks++
			if checks == n {
				b.gateway.HandleSuspension(d)
			}
		}
	}
	call := func(id string) emulator.Outcome { return b.call(http.MethodPost, emulator.CallPath, id, "body") }
	deadline := func(s *emulator.Server) time.Duration {
		left, err := strconv.Atoi(s.Runs()[0].Deadline)
		Expect(err).NotTo(HaveOccurred())
		return time.Duration(left) * time.Millisecond
	}

	It("sends endpoints deadlines from which the suspension is deducted", func() {
		s := b.add("i-1", emulator.PlainService)
		suspendAtCheck(2, suspended)
		Expect(call("under-way").Status).To(Equal(http.StatusOK))
		Expect(deadline(s)).To(BeNumerically("<=", callerTimeout-suspended))
	})

	It("leaves the deadlines of later requests unchanged", func() {
		s := b.add("i-1", emulator.PlainService)
		suspendAtCheck(1, suspended)
		Expect(call("after").Status).To(Equal(http.StatusOK))
		Expect(deadline(s)).To(BeNumerically(">", callerTimeout-suspended))
	})

	It("does not send a request whose deadline passed during the suspension", func() {
		b.add("i-1", emulator.PlainService)
		suspendAtCheck(2, 2*callerTimeout)
		Expect(call("late").Status).To(Equal(http.StatusServiceUnavailable))
		Expect(b.deployment.Runs()).To(BeEmpty())
	})

	It("does not reuse connections that were idle during the suspension", func() {
		s := b.add("i-1", emulator.PlainService)
		Expect(call("before").Status).To(Equal(http.StatusOK))
		suspendAtCheck(1, suspended)
		Expect(call("after").Status).To(Equal(http.StatusOK))
		Expect(s.AcceptedConnections()).To(Equal(2))
	})
})
