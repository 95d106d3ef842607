package admission_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/admission"
	"dillsaddle.example/dillsaddle/routing"
)

var _ = Describe("memory reserved for moves", func() {
	now := time.Unix(1_800_000_000, 0)
	engine := routing.Endpoint{
		ID:    "e",
		Slots: 2,
	}
	req := admission.Requirements{
		Tokens: 1000,
		Memory: 10000,
	}
	newBalancer := func(report routing.Report) *admission.Balancer {
		b := admission.NewBalancer("zone-a", func() float64 { return 0 })
		report.Endpoint = "e"
		report.Total = 10000
		b.Memory(now, report)
		return b
	}

	// Guards against prompts and copies of other boxes that take the room of a move, and against
	// room that stays reserved after the move has failed.
	It("counts once for each run, until it is released or too old", func() {
		b := newBalancer(routing.Report{Used: 4000})
		use := func(at time.Time) float64 { return b.Estimate(at, engine, req).MemoryUse }
		Expect(use(now)).To(BeNumerically("~", 0.5))
		b.Reserve(now, "e", "r", 2000)
		b.Reserve(now, "e", "r", 3000)
		Expect(use(now)).To(BeNumerically("~", 0.8))
		Expect(use(now.Add(4 * time.Second))).To(BeNumerically("~", 0.5))
		b.Release(now, "e", "r")
		Expect(use(now)).To(BeNumerically("~", 0.5))
	})

	DescribeTable("room for a copy now",
		func(report routing.Report, moves int, tokens int, expected bool) {
			b := newBalancer(report)
			for i := range moves {
				b.Reserve(now, "e", string(rune('a'+i)), 1000)
			}
			Expect(b.HasRoomNow(now, engine, tokens)).To(Equal(expected))
		},
		Entry("is there", routing.Report{Used: 9000, Running: 1}, 0, 1000, true),
		Entry("isn't, for lack of memory", routing.Report{Used: 9000, Running: 1}, 0, 1001, false),
		Entry("isn't, because of another move's memory", routing.Report{Used: 8500}, 1, 1000, false),
		Entry("isn't, because moves take the slots", routing.Report{Used: 1000}, 2, 1000, false),
		Entry("isn't, because prompts wait", routing.Report{Used: 1000, Waiting: 1}, 0, 1000, false),
	)
})
