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

		ProbeInterval: 500 * time.Millisecond,
		MinProbes:     2,
	}
	BeforeEach(func() {
		now = time.Now()
		r = core.NewReachability(rules)
	})
	fail := func(endpoint string, listed int) bool { return r.RecordFailure(now, service, endpoint, listed) }
	cutOff := func() {
		for _, endpoint := range []string{"a", "b", "c"} {
			fail(endpoint, 9)
		}
		Expect(r.RecordProbe(now, service, false)).To(Equal(core.ReachabilityChange{IsCutOff: true}))
	}

	It("ends for a service when enough of its endpoints fail in a row and so does a probe", func() {
		Expect(fail("a", 9)).To(BeFalse())
		Expect(fail("a", 9)).To(BeFalse(), "the same endpoint again")
		Expect(fail("b", 9)).To(BeFalse())
		Expect(fail("c", 9)).To(BeTrue())
		Expect(fail("d", 9)).To(BeFalse(), "the probe is under way")
		Expect(r.IsCutOff(service)).To(BeFalse())
		Expect(r.RecordProbe(now, service, false)).To(Equal(core.ReachabilityChange{IsCutOff: true}))
		Expect(r.IsCutOff(service)).To(BeTrue())
		Expect(r.IsCutOff("engines")).To(BeFalse())
		Expect(r.Unreachable()).To(ConsistOf(core.UnreachableService{
			Service:   service,
			Since:     now,
			Endpoints: []string{"a", "b", "c", "d"},
		}))
	})

	It("outlasts failures of few endpoints while others answer, and old ones", func() {
		for _, endpoint := range []string{"a", "b", "a", "b"} {
			Expect(fail(endpoint, 9)).To(BeFalse())
		}
		r.RecordAnswer(service)
		Expect(fail("c", 9)).To(BeFalse())
		now = now.Add(rules.Memory + time.Second)
		Expect(fail("d", 9)).To(BeFalse())
		Expect(fail("e", 9)).To(BeFalse())
	})

	It("outlasts failures of many endpoints if a probe reaches one, or one answers meanwhile", func() {
		for _, endpoint := range []string{"a", "b", "c"} {
			fail(endpoint, 9)
		}
		Expect(r.RecordProbe(now, service, true)).To(BeZero())
		Expect(fail("a", 9)).To(BeFalse())
		Expect(fail("b", 9)).To(BeFalse())
		Expect(fail("c", 9)).To(BeTrue())
		r.RecordAnswer(service)
		fail("a", 9)
		Expect(r.RecordProbe(now, service, false)).To(BeZero(), "a late one")
		Expect(r.IsCutOff(service)).To(BeFalse())
	})

	It("ends with all endpoints of a small service", func() {
		Expect(fail("a", 2)).To(BeFalse())
		Expect(fail("b", 2)).To(BeTrue())
	})

	It("returns with enough successful probes in a row, and not with answers", func() {
		cutOff()
		r.RecordAnswer(service)
		Expect(r.IsCutOff(service)).To(BeTrue())
		Expect(r.DueProbes(now)).To(BeEmpty())
		probe := func(reached bool) time.Duration {
			now = now.Add(rules.ProbeInterval)
			Expect(r.DueProbes(now)).To(ConsistOf(service))
			Expect(r.DueProbes(now)).To(BeEmpty())
			return r.RecordProbe(now, service, reached).Lasted
		}
		Expect(probe(true)).To(BeZero())
		Expect(probe(false)).To(BeZero())
		Expect(probe(true)).To(BeZero())
		Expect(probe(true)).To(Equal(4 * rules.ProbeInterval))
		Expect(r.IsCutOff(service)).To(BeFalse())
		Expect(r.RecordProbe(now, service, true)).To(BeZero(), "a late one")
		Expect(fail("a", 9)).To(BeFalse())
	})
})
