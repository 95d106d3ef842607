package core_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/core"
)

var _ = Describe("a box's reachability", func() {
	const service = "plain"
	var r *core.Reachability
	var now time.Time
	rules := core.ReachabilityRules{
		MinFailed: 3,
		Memory:    10 * time.Second,
	}
	BeforeEach(func() {
		now = time.Now()
		r = core.NewReachability(rules)
	})
	fail := func(endpoint string, listed int) bool { return r.RecordFailure(now, service, endpoint, listed) }

	It("ends for a service when enough of its endpoints fail in a row, and returns with an answer", func() {
		Expect(fail("a", 9)).To(BeFalse())
		Expect(fail("a", 9)).To(BeFalse(), "the same endpoint again")
		Expect(fail("b", 9)).To(BeFalse())
		Expect(r.IsCutOff(service)).To(BeFalse())
		Expect(fail("c", 9)).To(BeTrue())
		Expect(fail("d", 9)).To(BeFalse(), "it is known already")
		Expect(r.IsCutOff(service)).To(BeTrue())
		Expect(r.IsCutOff("engines")).To(BeFalse())
		Expect(r.Unreachable()).To(ConsistOf(core.UnreachableService{
			Service:   service,
			Since:     now,
			Endpoints: []string{"a", "b", "c", "d"},
		}))
		Expect(r.RecordAnswer(now.Add(time.Second), service)).To(Equal(time.Second))
		Expect(r.IsCutOff(service)).To(BeFalse())
		Expect(r.RecordAnswer(now, service)).To(BeZero())
	})

	It("outlasts failures of few endpoints while others answer, and old ones", func() {
		for _, endpoint := range []string{"a", "b", "a", "b"} {
			Expect(fail(endpoint, 9)).To(BeFalse())
		}
		r.RecordAnswer(now, service)
		Expect(fail("c", 9)).To(BeFalse())
		now = now.Add(rules.Memory + time.Second)
		Expect(fail("d", 9)).To(BeFalse())
		Expect(fail("e", 9)).To(BeFalse())
	})

	It("ends with all endpoints of a small service", func() {
		Expect(fail("a", 2)).To(BeFalse())
		Expect(fail("b", 2)).To(BeTrue())
	})
})
