package engine_test

import (
	"net/http"
	"net/netip"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/engine"
	"dillsaddle.example/dillsaddle/platform/emulator"
)

// Guards against taking the status of an invalid head, or that of an interim one, for the endpoint's.
var _ = Describe("a status check", func() {
	parts := emulator.CallParts()
	DescribeTable("of an endpoint whose response",
		func(all []emulator.RawAnswer, status int) {
			server, err := emulator.NewServer("checked", emulator.AnyAddress())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(server.Crash)
			for _, answer := range all {
				server.SetRawAnswer(answer.Text, "")
				state, got := engine.CheckStatus(engine.Dial, netip.MustParseAddrPort(server.Address()), "/health")
				Expect(got).To(Equal(status), answer.What)
				Expect(state).To(Equal(engine.PortOpen), answer.What)
			}
		},
		Entry("has an invalid head", slices.Concat(parts.InvalidStatuses(), parts.InvalidFields()), 0),
		Entry("has an unusual head", slices.Concat(parts.ValidStatuses(), parts.ValidFields()), http.StatusOK),
	)
})
