package bench_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/bench"
)

func policyNamed(name string) bench.Policy {
	for _, p := range bench.Policies() {
		if p.Name == name {
			return p
		}
	}
	Fail("no policy " + name)
	return bench.Policy{}
}

func replay(d bench.Deployment, name, policy string) *bench.Outcome {
	c, err := bench.FindCase(bench.Cases(60*time.Second), name)
	Expect(err).NotTo(HaveOccurred())
	return bench.Replay(d, c, policyNamed(policy), bench.Seed)
}

var _ = Describe("decisions under load in virtual time", func() {
	for _, d := range []bench.Deployment{bench.Buscodigo(), bench.Jordan()} {
		It("returns the same figures in every run of "+d.Name, func() {
			first := replay(d, "1.3", bench.PolicyOurs)
			Expect(replay(d, "1.3", bench.PolicyOurs)).To(Equal(first))
		})

		It("preempts no gold or silver request at 1.3 times the sustainable load in "+d.Name, func() {
			o := replay(d, "1.3", bench.PolicyOurs)
			Expect(o.Tier("gold").Preemptions + o.Tier("silver").Preemptions).To(BeZero())
			Expect(o.Tier("gold").StallMean).To(BeZero())
		})

		It("keeps control traffic below its limit and goodput well above the reservation policy's in "+d.Name, func() {
			o := replay(d, "1.3", bench.PolicyOurs)
			Expect(o.ControlBytesPerSecond).To(BeNumerically("<", 23000))
			Expect(o.Goodput).To(BeNumerically(">", 1.5*replay(d, "1.3", bench.PolicyReservation).Goodput))
		})

		It("preempts no gold or silver request and refuses no gold one while half the boxes are partitioned in "+d.Name, func() {
			o := replay(d, "cut", bench.PolicyOurs)
			Expect(o.Tier("gold").Preemptions + o.Tier("silver").Preemptions).To(BeZero())
			Expect(o.Tier("gold").Refused).To(BeZero())
		})
	}
})
