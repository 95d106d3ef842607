package gateway_test

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/gateway"
	"dillsaddle.example/dillsaddle/platform"
	"dillsaddle.example/dillsaddle/platform/emulator"
)

var _ = Describe("a box that knows no configuration", func() {
	// After all boxes of a fleet were killed while the store was silent, callers were told
	// to come back after 0.3 s, were refused again, and gave up: 3 in 100 of that day's
	// requests.
	It("tells callers to come back in some seconds, and not all at once", func() {
		g := gateway.New("zone-a", platform.Protocol{}, fleet.NewState().View, gateway.Rules{MemoryBytes: 64 << 20})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := &http.Server{Handler: g}
		go func() { _ = server.Serve(l) }()
		DeferCleanup(server.Close)
		caller := emulator.NewCaller(l.Addr().String(), emulator.Key)
		times := make(map[float64]bool)
		for i := range 20 {
			o := caller.Do(context.Background(), emulator.Call{
				ID:       strconv.Itoa(i),
				Method:   http.MethodGet,
				Path:     emulator.RepeatPath + "x",
				Deadline: time.Second,
			})
			Expect(o.Status).To(Equal(http.StatusServiceUnavailable))
			after, err := strconv.ParseFloat(o.RetryAfter, 64)
			Expect(err).NotTo(HaveOccurred())
			Expect(after).To(And(BeNumerically(">=", 1.5), BeNumerically("<=", 2.5)))
			times[after] = true
		}
		Expect(len(times)).To(BeNumerically(">", 5))
	})
})
