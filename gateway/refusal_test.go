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

var _ = Describe("a box without a configuration", func() {
	// Guards against a Retry-After so short that callers return during the same outage of
	// the store and give up.
	It("refuses requests with a Retry-After of about two seconds, with jitter", func() {
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
