package gateway_test

import (
	"net/http"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/platform/emulator"
)

// While a box's machine is suspended its steady clock stands still: a request that was
// taken before looks as young afterwards, and a connection that its endpoint has closed
// meanwhile as fresh. A suspension is told here as the box finds it out, before a send.
var _ = Describe("a box that was suspended", func() {
	const suspended = 1100 * time.Millisecond
	var b *bench
	BeforeEach(func() { b = newBench() })

	// suspendAt lets the machine have been suspended for a time when the box looks for the
	// n-th time from now on: as a request is taken, then before each of its sends.
	suspendAt := func(n int, d time.Duration) {
		looks := 0
		b.look = func() {
			looks++
			if looks == n {
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

	It("tells endpoints how long callers still wait, the suspension counted", func() {
		s := b.add("i-1", emulator.PlainService)
		suspendAt(2, suspended)
		Expect(call("under-way").Status).To(Equal(http.StatusOK))
		Expect(deadline(s)).To(BeNumerically("<=", callerWaits-suspended))
	})

	It("gives who came after it all their time", func() {
		s := b.add("i-1", emulator.PlainService)
		suspendAt(1, suspended)
		Expect(call("after").Status).To(Equal(http.StatusOK))
		Expect(deadline(s)).To(BeNumerically(">", callerWaits-suspended))
	})

	It("doesn't send what nobody waits for any more", func() {
		b.add("i-1", emulator.PlainService)
		suspendAt(2, 2*callerWaits)
		Expect(call("late").Status).To(Equal(http.StatusServiceUnavailable))
		Expect(b.deployment.Runs()).To(BeEmpty())
	})

	It("uses none of the connections that rested before", func() {
		s := b.add("i-1", emulator.PlainService)
		Expect(call("before").Status).To(Equal(http.StatusOK))
		suspendAt(1, suspended)
		Expect(call("after").Status).To(Equal(http.StatusOK))
		Expect(s.AcceptedConnections()).To(Equal(2))
	})
})
