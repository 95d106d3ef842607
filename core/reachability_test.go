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
	failAs := func(kind core.SendFailure, endpoint string, listed int) bool {
		return r.RecordFailure(now, service, endpoint, listed, kind)
	}
	fail := func(endpoint string, listed int) bool { return failAs(core.FailedConnect, endpoint, listed) }
	failAll := func(kind core.SendFailure) {
		for _, endpoint := range []string{"a", "b", "c"} {
			failAs(kind, endpoint, 9)
		}
	}
	isCutOff := core.ReachabilityChange{IsCutOff: true}
	cutOff := func() {
		failAll(core.FailedConnect)
		Expect(r.RecordProbe(now, service, core.ProbeUnreachable)).To(Equal(isCutOff))
	}

	It("ends for a service when enough of its endpoints fail in a row and so does a probe", func() {
		Expect(fail("a", 9)).To(BeFalse())
		Expect(fail("a", 9)).To(BeFalse(), "the same endpoint again")
		Expect(fail("b", 9)).To(BeFalse())
		Expect(fail("c", 9)).To(BeTrue())
		Expect(fail("d", 9)).To(BeFalse(), "the probe is under way")
		Expect(r.IsCutOff(service)).To(BeFalse())
		Expect(r.RecordProbe(now, service, core.ProbeUnreachable)).To(Equal(core.ReachabilityChange{IsCutOff: true}))
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
		r.RecordAnswer(now, service)
		Expect(fail("c", 9)).To(BeFalse())
		now = now.Add(rules.Memory + time.Second)
		Expect(fail("d", 9)).To(BeFalse())
		Expect(fail("e", 9)).To(BeFalse())
	})

	It("outlasts failures of many endpoints if a probe reaches one, or one answers meanwhile", func() {
		for _, endpoint := range []string{"a", "b", "c"} {
			fail(endpoint, 9)
		}
		Expect(r.RecordProbe(now, service, core.ProbeAnswered)).To(BeZero())
		Expect(fail("a", 9)).To(BeFalse())
		Expect(fail("b", 9)).To(BeFalse())
		Expect(fail("c", 9)).To(BeFalse(), "the probe was just now")
		now = now.Add(rules.ProbeInterval)
		Expect(fail("c", 9)).To(BeTrue())
		r.RecordAnswer(now, service)
		fail("a", 9)
		Expect(r.RecordProbe(now, service, core.ProbeUnreachable)).To(BeZero(), "a late one")
		Expect(r.IsCutOff(service)).To(BeFalse())
	})

	It("ends with all endpoints of a small service", func() {
		Expect(fail("a", 2)).To(BeFalse())
		Expect(fail("b", 2)).To(BeTrue())
	})

	It("returns with enough successful probes in a row, and not with answers", func() {
		cutOff()
		r.RecordAnswer(now, service)
		Expect(r.IsCutOff(service)).To(BeTrue())
		Expect(r.DueProbes(now)).To(BeEmpty())
		probe := func(result core.ProbeResult) time.Duration {
			now = now.Add(rules.ProbeInterval)
			Expect(r.DueProbes(now)).To(ConsistOf(service))
			Expect(r.DueProbes(now)).To(BeEmpty())
			return r.RecordProbe(now, service, result).Lasted
		}
		Expect(probe(core.ProbeAnswered)).To(BeZero())
		Expect(probe(core.ProbeSilent)).To(BeZero())
		Expect(probe(core.ProbeAnswered)).To(BeZero())
		Expect(probe(core.ProbeAnswered)).To(Equal(4 * rules.ProbeInterval))
		Expect(r.IsCutOff(service)).To(BeFalse())
		Expect(r.RecordProbe(now, service, core.ProbeAnswered)).To(BeZero(), "a late one")
	})

	It("is doubted at the first failure for a while after it returned", func() {
		cutOff()
		for range rules.MinProbes {
			now = now.Add(rules.ProbeInterval)
			r.RecordProbe(now, service, core.ProbeAnswered)
		}
		r.RecordAnswer(now, service)
		Expect(fail("a", 9)).To(BeTrue())
		r.RecordAnswer(now, service)
		now = now.Add(rules.Memory + time.Second)
		Expect(fail("a", 9)).To(BeFalse())
	})

	DescribeTable("ends, is in doubt or stays, by how sends failed and what the probe met",
		func(kind core.SendFailure, result core.ProbeResult, change core.ReachabilityChange) {
			failAll(kind)
			Expect(r.RecordProbe(now, service, result)).To(Equal(change))
			Expect(r.IsCutOff(service)).To(Equal(change.IsCutOff))
			Expect(r.IsInDoubt(service)).To(Equal(change.IsInDoubt))
			Expect(r.AcceptsConnections(service)).To(Equal(change.IsCutOff && result == core.ProbeBroken))
			r.RecordAnswer(now, service)
			Expect(r.IsCutOff(service)).To(Equal(change.IsCutOff && result == core.ProbeUnreachable), "after an answer")
		},
		Entry(nil, core.FailedConnect, core.ProbeBroken, core.ReachabilityChange{IsCutOff: true}),
		Entry(nil, core.FailedBroken, core.ProbeUnreachable, core.ReachabilityChange{IsCutOff: true}),
		Entry(nil, core.FailedBroken, core.ProbeBroken, core.ReachabilityChange{IsCutOff: true}),
		Entry(nil, core.FailedBroken, core.ProbeSilent, core.ReachabilityChange{IsInDoubt: true}),
		Entry(nil, core.FailedBroken, core.ProbeAnswered, core.ReachabilityChange{}),
		Entry(nil, core.FailedSilent, core.ProbeBroken, core.ReachabilityChange{IsCutOff: true}),
		Entry(nil, core.FailedSilent, core.ProbeUnreachable, core.ReachabilityChange{IsCutOff: true}),
		Entry(nil, core.FailedSilent, core.ProbeSilent, core.ReachabilityChange{IsInDoubt: true}),
		Entry(nil, core.FailedSilent, core.ProbeAnswered, core.ReachabilityChange{}),
	)

	It("is in doubt over silent endpoints until another box serves, one answers, or long after", func() {
		doubt := func() {
			GinkgoHelper()
			now = now.Add(rules.Memory)
			failAll(core.FailedSilent)
			Expect(r.RecordProbe(now, service, core.ProbeSilent)).To(Equal(core.ReachabilityChange{IsInDoubt: true}))
		}
		doubt()
		Expect(r.RecordServedElsewhere(now, service, now.Add(-time.Millisecond))).To(BeZero(), "forwarded before")
		Expect(r.RecordServedElsewhere(now, service, now)).To(Equal(isCutOff))
		Expect(r.AcceptsConnections(service)).To(BeTrue())
		now = now.Add(time.Second)
		Expect(r.RecordAnswer(now, service)).To(Equal(core.ReachabilityChange{Lasted: time.Second}))
		Expect(r.IsCutOff(service)).To(BeFalse())

		doubt()
		r.RecordAnswer(now, service)
		Expect(r.IsInDoubt(service)).To(BeFalse())
		Expect(r.RecordServedElsewhere(now, service, now)).To(BeZero())

		doubt()
		now = now.Add(rules.ProbeInterval)
		Expect(r.DueProbes(now)).To(ConsistOf(service))
		Expect(r.RecordProbe(now, service, core.ProbeSilent)).To(BeZero())
		Expect(r.IsInDoubt(service)).To(BeTrue())
		now = now.Add(rules.Memory)
		Expect(r.DueProbes(now)).To(BeEmpty())
		Expect(r.IsInDoubt(service)).To(BeFalse())

		doubt()
		Expect(r.RecordProbe(now, service, core.ProbeUnreachable)).To(Equal(isCutOff))
		Expect(r.AcceptsConnections(service)).To(BeFalse())
	})

	It("may be at fault once sends failed at several endpoints other than by silence", func() {
		for _, kind := range []core.SendFailure{core.FailedSilent, core.FailedBroken} {
			failAs(kind, "a", 9)
			failAs(core.FailedSilent, "b", 9)
			Expect(r.IsSuspect(service)).To(BeFalse())
		}
		failAs(core.FailedConnect, "b", 9)
		Expect(r.IsSuspect(service)).To(BeTrue())
	})
})
