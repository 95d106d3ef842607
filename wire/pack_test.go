package wire_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/wire"
)

var _ = Describe("packed messages", func() {
	It("come back as they were, smaller on the way", func() {
		m := wire.LeaseDemand{Endpoint: strings.Repeat("engine-0001/", 500)}
		packed, err := wire.Pack(wire.LeaseRequest{Demands: []wire.LeaseDemand{m}})
		Expect(err).NotTo(HaveOccurred())
		Expect(len(packed)).To(BeNumerically("<", 200))
		back, err := wire.Unpack[wire.LeaseRequest](packed)
		Expect(err).NotTo(HaveOccurred())
		Expect(back.Demands).To(HaveLen(1))
		Expect(back.Demands[0].Endpoint).To(Equal(m.Endpoint))
	})

	It("are refused when they are cut short, or grow beyond all bounds", func() {
		packed, err := wire.Pack(wire.LeaseRequest{Demands: []wire.LeaseDemand{{Endpoint: strings.Repeat("x", 33<<20)}}})
		Expect(err).NotTo(HaveOccurred())
		_, err = wire.Unpack[wire.LeaseRequest](packed)
		Expect(err).To(MatchError(ContainSubstring("raise the bound")))
		_, err = wire.Unpack[wire.LeaseRequest](packed[:len(packed)/2])
		Expect(err).To(HaveOccurred())
	})
})
